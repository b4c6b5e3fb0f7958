//! Short reads and writes of sockets that don't block, as they come about on Linux: the rest is there a moment later.
//!
//! By epoll(7) a short call on such a socket says that nothing more is there, so that a runtime which is notified of
//! edges waits for the next one. A call that was cut down is therefore followed by one: the descriptor is registered
//! anew, as it was, and the system notifies of what is there.

use std::sync::{Mutex, PoisonError};

use libc::{c_int, epoll_event};

use crate::real::Real;

type EpollCtl = unsafe extern "C" fn(c_int, c_int, c_int, *mut epoll_event) -> c_int;

/// A descriptor's registration, as the process made it.
#[derive(Clone, Copy)]
struct Registration {
    epoll: c_int,
    descriptor: c_int,
    events: u32,
    data: u64,
}

/// The latest registration of each descriptor. One that was closed stays, and is replaced or of no effect.
static REGISTRATIONS: Mutex<Vec<Registration>> = Mutex::new(Vec::new());

#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    descriptor: c_int,
    event: *mut epoll_event,
) -> c_int {
    // SAFETY: the arguments are passed on as they came.
    let result = unsafe { real()(epoll, operation, descriptor, event) };
    if result != 0 {
        return result;
    }
    let mut registrations = REGISTRATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    registrations.retain(|known| (known.epoll, known.descriptor) != (epoll, descriptor));
    if operation != libc::EPOLL_CTL_DEL {
        // SAFETY: the call has succeeded, so the caller's pointer is to an event.
        let event = unsafe { event.read_unaligned() };
        registrations.push(Registration {
            epoll,
            descriptor,
            events: event.events,
            data: event.u64,
        });
    }
    result
}

/// Has the system notify anew of what a descriptor is ready for, where it is registered. Keeps the error number.
pub(crate) fn notify_again(descriptor: c_int) {
    let registrations = REGISTRATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    // SAFETY: the C library gives each thread its own place for the error.
    let errno = unsafe { *libc::__errno_location() };
    for known in registrations
        .iter()
        .filter(|known| known.descriptor == descriptor)
    {
        let mut event = epoll_event {
            events: known.events,
            u64: known.data,
        };
        // SAFETY: the event lives as long as the call. It fails where the descriptor was closed, and changes nothing.
        unsafe { real()(known.epoll, libc::EPOLL_CTL_MOD, descriptor, &raw mut event) };
    }
    // SAFETY: as above.
    unsafe { *libc::__errno_location() = errno };
}

fn real() -> EpollCtl {
    static REAL: Real = Real::new(c"epoll_ctl");
    // SAFETY: the address is that of the function with this signature.
    unsafe { std::mem::transmute::<*mut libc::c_void, EpollCtl>(REAL.address()) }
}
