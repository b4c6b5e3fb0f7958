//! Detects workers whose jobs fail more often than those of their peers, and proposes them for quarantine.
//!
//! Each scheduler counts the outcomes of its own attempts and shares the counts as rows. From the rows of all
//! members every member computes the same evidence, in intervals of half a window. The crate only proposes:
//! operators decide whether a worker is excluded.
//!
//! The crate does no I/O. Time, in microseconds of Unix time, and the seed are passed in; row updates and effects
//! are returned as values.

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

/// The table of the shared rows that holds attempts, failures and proposals.
pub const TABLE: u8 = 2;

/// The number of failure kinds: the outcomes other than a success.
pub const FAILURE_KINDS: usize = 6;

/// The outcome of an attempt on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker returned a result.
    Success,
    /// The worker reported a failure.
    Error,
    /// The connection was reset while the job was on it.
    Reset,
    /// No response arrived in time.
    Timeout,
    /// No connection could be established.
    ConnectFailed,
    /// The worker started the job too late.
    LateStart,
    /// A second response arrived for a job that had ended. It counts as a failure, but not as another attempt.
    DuplicateResponse,
}

impl Outcome {
    /// The index of the failure kind, or `None` for a success.
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

/// The state of a worker, from the endpoint list and the operators' exclusions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// In slow start, with a reduced share of the load.
    SlowStart,
    /// In full use. Failures are evidence only in this state.
    Ready,
    /// Finishes its jobs and gets no new ones.
    Draining,
    /// Excluded by an operator.
    Excluded,
}

/// A worker as it stands in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// The name in the list.
    pub name: Arc<str>,
    /// The zone that it runs in.
    pub zone: Arc<str>,
    /// The number of jobs that it runs at a time.
    pub capacity: u32,
    /// When it started, in milliseconds of Unix time.
    pub started: u64,
    /// Its current state.
    pub state: WorkerState,
}

/// The settings. All members must have the same values, except for `me` and `zone`.
#[derive(Clone, Debug)]
pub struct Config {
    /// This member, in its current incarnation.
    pub me: Owner,
    /// This member's zone.
    pub zone: Arc<str>,
    /// The names of the classes, at most 32, in the order of the configuration.
    pub classes: Vec<Arc<str>>,
    /// The length of a window of the shared rows, in microseconds. An interval, the step in which evidence is
    /// evaluated, is half of it.
    pub window: Micros,
    /// The number of windows for which rows and evidence are retained.
    pub retained_windows: u32,
    /// How long after the end of an interval its rows may arrive before it is evaluated, in microseconds.
    pub allowed_lateness: Micros,
    /// How long after its start a worker's failures are ignored, whatever its state is, in microseconds.
    pub warmup: Micros,
    /// The bound on false proposals: at most one in this many worker-hours.
    pub worker_hours_per_false_proposal: f64,
    /// The largest share of a zone's capacity that proposed and excluded workers may have together.
    pub max_zone_share: f64,
    /// The budget for the rows of all members, in bytes per second that each member receives.
    pub bytes_per_second: u32,
    /// The maximum number of stored cells. A cell is identified by interval, worker, member and class.
    pub max_cells: usize,
}

impl Config {
    /// The default settings for a member.
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

    /// The number of the interval that contains `at`.
    #[must_use]
    pub fn interval_at(&self, at: Micros) -> u32 {
        u32::try_from(at / (self.window / 2).max(1)).unwrap_or(u32::MAX)
    }
}
