//! What callers see of proposals: their figures, and the notifications.

use crate::FAILURE_KINDS;

/// Why a proposal no longer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The worker fails no more than its peers.
    Recovered,
    /// All evidence of it has expired.
    Expired,
    /// It restarted.
    Restarted,
    /// It was removed from the endpoint list.
    Removed,
    /// There is an earlier proposal for the same worker, as after a partition.
    Superseded,
}

/// The evidence against a worker, the same on every member.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceSummary {
    /// The half window in which it was proposed.
    pub proposed_in: u32,
    /// The half window from which on it was worse.
    pub since: u32,
    /// First tries that ended since, without what others explain.
    pub attempts: u32,
    /// The failures among them.
    pub failures: u32,
    /// The failures to be expected, by its peers.
    pub expected: f64,
    /// The natural logarithm of the e-value.
    pub evidence: f64,
    /// Members that saw failures.
    pub witnesses: u32,
    /// The zones of these members.
    pub zones: u32,
    /// Failures by kind: error, reset, unresponsive, no connection, late start, second answer.
    pub kinds: [u32; FAILURE_KINDS],
}

/// A notification for the caller, to be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A worker is proposed for quarantine.
    Proposed {
        /// The worker's name.
        worker: String,
        /// Its start, in milliseconds of Unix time.
        started: u64,
        /// The number of the proposal: the fleet's next.
        number: u32,
        /// The evidence against it.
        summary: EvidenceSummary,
        /// Whether this member made it: one log line for the fleet.
        by_this_member: bool,
    },
    /// A proposal no longer stands.
    Withdrawn {
        /// The worker's name.
        worker: String,
        /// Its start, in milliseconds of Unix time.
        started: u64,
        /// The number it had.
        number: u32,
        /// Why.
        reason: Reason,
        /// Whether this member withdrew it.
        by_this_member: bool,
    },
    /// A class fails more than before on all workers: no worker is proposed for that.
    ClassDegraded {
        /// The class by number.
        class: usize,
        /// The part of its tries that fails now.
        rate: f64,
        /// The part that failed before.
        before: f64,
    },
}
