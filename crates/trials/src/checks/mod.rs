//! The invariants of a trial, checked on its history alone, as Jepsen's checkers do.
//!
//! Each check returns every violation with its node and time. No check knows which faults were injected, beyond
//! what the history records.

mod discovery_calls;
mod drains;
mod facts;
mod repeats;
mod requests;
mod restarts;
mod shares;
mod slow_start;

pub use discovery_calls::{calls, densest, Calls};
pub use drains::{drained_in_time, notified_after_reload, notified_in_time};
pub use facts::{
    ClassFacts, Facts, ListRange, Place, ReceivedList, RepeatRule, SchedulerFacts, Scope,
    WorkerFacts,
};
pub use repeats::{nothing_runs_twice, repeats_within_scope};
pub use requests::{all_answered, nothing_after_cancellation};
pub use restarts::restarted_in_time;
pub use shares::{
    failed_unsent, no_class_starved, rejecting_all, rejections, retry_deadlines,
    unanswered_requests, ANSWER_SLACK, REJECTING_FOR, REJECTING_LEAST, RETRY_DEADLINE_SLACK,
    STARVED_SPAN,
};
pub use slow_start::{slow_start_budgets, SlowStartRule};

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When, in microseconds of Unix time.
    pub at: u64,
    /// On which node.
    pub node: String,
    /// What happened.
    pub description: String,
}

/// How long after its scheduler was notified a drained worker may still get new requests, in microseconds.
pub const DRAIN_SLACK: u64 = 300_000;
/// Whatever happens to calls and watches, a scheduler counts as notified of a change so long after discovery had
/// it and could be reached, in microseconds.
pub const NOTIFICATION_DEADLINE: u64 = 6_000_000;
/// How long after a reload (SIGHUP) a scheduler counts as notified of the pushed list, in microseconds.
pub const AFTER_RELOAD: u64 = 4_000_000;
/// Requests may be in flight for so long as the window for repeats ends, in microseconds.
pub const REPEAT_SLACK: u64 = 50_000;
/// No attempt of a request begins later than this after its client disconnected, in microseconds: 0.1 s. The rest
/// is for a machine that is busy with other tests, on which what began in time arrived up to 0.5 s late; a request
/// that is queued, or retried, for a disconnected client takes longer than that. Tests on sockets check the 0.1 s
/// themselves.
pub const CANCELLATION_SLACK: u64 = 100_000 + 900_000;
/// Within this a process is ready after its start, in microseconds.
pub const READY_WITHIN: u64 = 10_000_000;
