//! The heap of the process: how many bytes are live, and the return of free memory to the system.
//!
//! A program that links this crate uses its allocator, which counts the bytes that the system's allocator hands out.
//!
//! ```
//! let before = oakshed_heap::live_bytes();
//! let buffer = vec![0_u8; 1 << 20];
//! assert!(oakshed_heap::live_bytes() >= before + buffer.len());
//! ```

use std::alloc::System;

use cap::Cap;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// The bytes that are allocated and not freed, without the allocator's own overhead.
#[must_use]
pub fn live_bytes() -> usize {
    ALLOCATOR.allocated()
}

/// Returns free pages to the system. Does nothing where the C library has no such call.
pub fn trim() {
    #[cfg(target_env = "gnu")]
    #[allow(unsafe_code)]
    // SAFETY: `malloc_trim` may be called at any time and from any thread; it changes free memory only.
    unsafe {
        libc::malloc_trim(0);
    }
}
