//! Counters of requests and attempts, and their log format.
//!
//! Scheduling decisions do not depend on these counters.

/// Counts of requests by outcome, of attempts and of invariant violations since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests received.
    pub taken: u64,
    /// Requests answered with a worker's result.
    pub served: u64,
    /// Rejected requests.
    pub rejected: u64,
    /// Failed requests.
    pub failed: u64,
    /// Requests whose client disconnected before the final answer.
    pub cancelled: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Ended attempts by [`Ending`](crate::interface::Ending), in the order of its variants.
    pub ended: [u64; 9],
    /// Invariant violations; in debug builds these panic instead.
    pub invariant_violations: u64,
}

/// Names of the endings in the log, in the order of the variants of [`Ending`](crate::interface::Ending).
const ENDING_NAMES: [&str; 9] = [
    "delivered",
    "error",
    "shed",
    "expired",
    "dial_failed",
    "dropped",
    "revoked",
    "unused",
    "local_fault",
];

/// Formats the counters for the log, under the names that operators rely on.
impl std::fmt::Display for Tally {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "taken={} served={} ", self.taken, self.served)?;
        write!(f, "refused={} failed={} ", self.rejected, self.failed)?;
        write!(f, "gone={} ", self.cancelled)?;
        write!(f, "broken={} ", self.invariant_violations)?;
        write!(f, "attempts={}", self.attempts)?;
        for (word, count) in ENDING_NAMES.iter().zip(self.ended) {
            write!(f, " {word}={count}")?;
        }
        Ok(())
    }
}
