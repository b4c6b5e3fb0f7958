//! The wall clock with the plan's offset. The monotonic clock is left as it is.

use libc::{c_int, clockid_t, timespec};

use crate::real::Real;
use crate::state::clock_offset;

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

const MS_PER_S: i64 = 1_000;
const NS_PER_MS: i64 = 1_000_000;
const NS_PER_S: i64 = 1_000_000_000;

#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    static REAL: Real = Real::new(c"clock_gettime");
    // SAFETY: the address is that of the function with this signature.
    let real = unsafe { std::mem::transmute::<*mut libc::c_void, ClockGettime>(REAL.address()) };
    // SAFETY: the arguments are passed on as they came.
    let result = unsafe { real(clock, time) };
    if result == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        let offset = clock_offset();
        // SAFETY: the call has succeeded, so the caller's pointer is to a time.
        unsafe { shift(&mut *time, offset) };
    }
    result
}

fn shift(time: &mut timespec, offset_ms: i64) {
    let nanoseconds = time.tv_nsec + offset_ms % MS_PER_S * NS_PER_MS;
    time.tv_sec += offset_ms / MS_PER_S + nanoseconds.div_euclid(NS_PER_S);
    time.tv_nsec = nanoseconds.rem_euclid(NS_PER_S);
}
