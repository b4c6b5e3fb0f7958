//! The C library's own functions, looked up once each.

use std::ffi::CStr;
use std::sync::atomic::{AtomicPtr, Ordering};

/// One function of the C library by its name.
pub(crate) struct Real {
    name: &'static CStr,
    address: AtomicPtr<libc::c_void>,
}

impl Real {
    pub(crate) const fn new(name: &'static CStr) -> Real {
        Real {
            name,
            address: AtomicPtr::new(std::ptr::null_mut()),
        }
    }

    /// Its address: the next definition after this shared object's.
    pub(crate) fn address(&self) -> *mut libc::c_void {
        let known = self.address.load(Ordering::Relaxed);
        if !known.is_null() {
            return known;
        }
        // SAFETY: the name is a C string that lives as long as the program.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        assert!(!found.is_null(), "the C library has no {:?}", self.name);
        self.address.store(found, Ordering::Relaxed);
        found
    }
}
