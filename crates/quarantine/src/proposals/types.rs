//! The public types of proposals: their evidence, and the effects that callers are notified by.

use crate::FAILURE_KINDS;

/// Why a proposal no longer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The worker no longer fails more often than its peers.
    Recovered,
    /// The evidence has expired.
    Expired,
    /// The worker restarted.
    Restarted,
    /// The worker was removed from the endpoint list.
    Removed,
    /// An earlier proposal for the same worker stands, for example after a partition healed.
    Superseded,
}

/// The evidence that a proposal was made with. It is the same on every member.
#[derive(Clone, Debug, PartialEq)]
pub struct EvidenceSummary {
    /// The interval in which the worker was proposed.
    pub proposed_in: u32,
    /// The interval in which the worker began to fail more often.
    pub since: u32,
    /// First attempts since then, without failing members and paths.
    pub attempts: u32,
    /// Failures of these attempts.
    pub failures: u32,
    /// The failures to be expected at the peers' rate.
    pub expected: f64,
    /// The natural logarithm of the e-value.
    pub evidence: f64,
    /// The number of members that observed failures.
    pub witnesses: u32,
    /// The number of zones of these members.
    pub zones: u32,
    /// Failures by kind: error, reset, timeout, failed connection, late start, duplicate response.
    pub kinds: [u32; FAILURE_KINDS],
}

/// A notification that the caller logs.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A worker was proposed for quarantine.
    Proposed {
        /// The worker's name.
        worker: String,
        /// Its start, in milliseconds of Unix time.
        started: u64,
        /// The proposal's number in the fleet.
        number: u32,
        /// The evidence against it.
        summary: EvidenceSummary,
        /// Whether this member made the proposal, so that one member of the fleet logs it.
        by_this_member: bool,
    },
    /// A proposal no longer stands.
    Withdrawn {
        /// The worker's name.
        worker: String,
        /// Its start, in milliseconds of Unix time.
        started: u64,
        /// The proposal's number in the fleet.
        number: u32,
        /// Why it no longer stands.
        reason: Reason,
        /// Whether this member withdrew the proposal.
        by_this_member: bool,
    },
    /// A class fails more than before on all workers. No worker is proposed for that.
    ClassDegraded {
        /// The index of the class in [`Config::classes`](crate::Config::classes).
        class: usize,
        /// The current failure rate.
        rate: f64,
        /// The long-term failure rate.
        before: f64,
    },
}
