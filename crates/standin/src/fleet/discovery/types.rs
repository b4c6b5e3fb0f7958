//! What a scenario sets of discovery, and what discovery records.

use std::time::Duration;

/// The pace of discovery that serves one call at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// How long a call takes.
    pub per_call: Duration,
    /// How long a call may wait for its turn until it is rejected.
    pub reject_after: Duration,
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Not answered: it still waits, for good perhaps, or its caller disconnected.
    Open,
    /// A snapshot of that number.
    Snapshot(u64),
    /// A delta up to that number.
    Delta(u64),
    /// A watch that ended without a change.
    Unchanged,
    /// 503.
    Rejected,
}

/// One call, as it came and ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// The caller whose address was called.
    pub caller: usize,
    /// When it came.
    pub at: u64,
    /// The number from which it watches; nothing: it requests a snapshot.
    pub from: Option<u64>,
    /// What became of it.
    pub outcome: Outcome,
    /// When it was answered.
    pub done: Option<u64>,
}

/// A worker's entry in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// `ready`, `draining` or `gone`.
    pub lifecycle: &'static str,
    /// When it started, in Unix time milliseconds.
    pub started_ms: u64,
    /// The list's number that changed it last.
    pub since: u64,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Its weight.
    pub weight: f64,
}

/// The format of the answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListFormat {
    /// Changes come as snapshots, in which removed workers are missing.
    pub snapshots_only: bool,
    /// With line breaks and indentation.
    pub indented: bool,
    /// By how much changes are delayed.
    pub delay: Duration,
}
