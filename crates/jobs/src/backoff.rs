//! Jittered exponential backoff for disk operations that are retried without a limit.

use std::time::Duration;

/// Upper bound of the first delay.
const INITIAL_DELAY: Duration = Duration::from_millis(10);
/// Upper bound of every delay.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// The retry delays of one failing operation.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Upper bound of the next delay.
    next_bound: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff {
            next_bound: INITIAL_DELAY,
        }
    }
}

impl Backoff {
    /// Returns the delay before the next retry, between half of the current bound and all of it, and
    /// doubles the bound.
    pub fn delay(&mut self) -> Duration {
        let bound = self.next_bound;
        self.next_bound = (bound * 2).min(MAX_DELAY);
        bound.mul_f64(0.5 + fastrand::f64() / 2.0)
    }
}
