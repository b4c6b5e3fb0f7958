//! Quarantine proposals: workers whose jobs fail more often than their peers'.
//!
//! The crate collects evidence and makes proposals; staff exclude a worker, or do not. Time (microseconds of Unix
//! time) and the seed are passed in; rows and effects are returned as values.

mod attribution;
mod classify;
mod code;
mod counter;
mod detector;
mod machine;
mod proposals;
mod store;
pub mod trial;

use std::sync::Arc;

pub use code::NameTable;
pub use counter::{AttemptCounter, RowTotals, RowUpdate};
pub use detector::{log_evidence, threshold};
pub use machine::Quarantine;
pub use oakshed_peers::{rows::Owner, Micros};
pub use proposals::{Effect, EvidenceSummary, Reason};

/// The table of shared rows that holds tries and their ends by worker.
pub const TABLE: u8 = 2;

/// How many kinds of failure there are.
pub const FAILURE_KINDS: usize = 6;

/// How a job's first try on a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Success,
    /// The worker reported a failure.
    Error,
    /// The connection broke with the job on it.
    Reset,
    /// No answer in time.
    Timeout,
    /// No connection could be made.
    ConnectFailed,
    /// The worker started the job too late.
    LateStart,
    /// A second answer came for a job that had ended: a failure without a try of its own.
    DuplicateResponse,
}

impl Outcome {
    /// The index among the kinds of failure; nothing for an answer.
    #[must_use]
    pub fn failure_kind(self) -> Option<usize> {
        match self {
            Outcome::Success => None,
            Outcome::Error => Some(0),
            Outcome::Reset => Some(1),
            Outcome::Timeout => Some(2),
            Outcome::ConnectFailed => Some(3),
            Outcome::LateStart => Some(4),
            Outcome::DuplicateResponse => Some(5),
        }
    }
}

/// The state of a worker, by the endpoint list and staff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// In slow start.
    SlowStart,
    /// In full use: the only state in which its failures are evidence.
    Ready,
    /// Draining.
    Draining,
    /// Excluded by staff.
    Excluded,
}

/// A worker as the endpoint list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Its name in the list.
    pub name: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// How many jobs it takes at a time.
    pub capacity: u32,
    /// When it started, in milliseconds of Unix time.
    pub started: u64,
    /// Its state.
    pub state: WorkerState,
}

/// The settings; the same on every member except `me` and `zone`.
#[derive(Clone, Debug)]
pub struct Config {
    /// This incarnation of this member.
    pub me: Owner,
    /// This member's zone.
    pub zone: Arc<str>,
    /// The classes by name, at most 32, in the settings' order.
    pub classes: Vec<Arc<str>>,
    /// The length of a window of the shared rows, in microseconds. Evidence is taken in halves of it.
    pub window: Micros,
    /// How many windows are retained.
    pub retained_windows: u32,
    /// How long rows of a half that ended are waited for, in microseconds.
    pub allowed_lateness: Micros,
    /// How long after its start a worker counts as cold whatever its state says, in microseconds.
    pub warmup: Micros,
    /// At most one false proposal in this many worker-hours.
    pub worker_hours_per_false_proposal: f64,
    /// Proposals and exclusions stay at or under this share of a zone's capacity.
    pub max_zone_share: f64,
    /// The budget of the rows of all members, in bytes a second into each member.
    pub bytes_per_second: u32,
    /// The most cells of evidence (a cell: half window, worker, member, class).
    pub max_cells: usize,
}

impl Config {
    /// The defaults for a member.
    #[must_use]
    pub fn new(me: Owner, zone: &str, classes: &[&str]) -> Config {
        Config {
            me,
            zone: zone.into(),
            classes: classes.iter().map(|&c| c.into()).collect(),
            window: 10_000_000,
            retained_windows: 60,
            allowed_lateness: 2_000_000,
            warmup: 60_000_000,
            worker_hours_per_false_proposal: 1_000.0,
            max_zone_share: 0.2,
            bytes_per_second: 4_096,
            max_cells: 400_000,
        }
    }

    /// The half window (slot) that contains this time.
    #[must_use]
    pub fn interval_at(&self, at: Micros) -> u32 {
        u32::try_from(at / (self.window / 2).max(1)).unwrap_or(u32::MAX)
    }
}
