//! The process's clock: monotonic, with an offset to Unix time that is fixed at startup.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use oakshed_core::facade::Micros;

/// The lowest reading at which a clock may start, in microseconds of Unix time. It is longer than any time span that is
/// subtracted from the present, so that a wall clock near the epoch causes no underflow.
const MIN_START: Micros = 366 * 24 * 3_600 * 1_000_000;

/// A clock that starts at the wall clock's reading and advances with the monotonic clock. Steps of the wall clock do
/// not affect it, and it never runs backwards.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
    /// The wall clock's reading at `start`, at least `MIN_START`.
    unix_start: Micros,
}

impl Clock {
    pub(super) fn new() -> Self {
        Clock {
            start: Instant::now(),
            unix_start: wall_clock().max(MIN_START),
        }
    }

    /// The present time, in microseconds of Unix time according to the wall clock at startup.
    pub(crate) fn now(&self) -> Micros {
        self.unix_start + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to an instant of the runtime's.
    pub(crate) fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(at.saturating_sub(self.unix_start))).into()
    }
}

/// The wall clock's present reading, in microseconds of Unix time. It may be wrong, and may be stepped at any time.
pub(crate) fn wall_clock() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as Micros)
}

/// The system's monotonic clock, in microseconds. All processes of a system read the same one, until it is restarted.
pub(crate) fn monotonic_clock() -> Micros {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    let since = Duration::try_from(now).unwrap_or_default();
    since.as_micros() as Micros
}
