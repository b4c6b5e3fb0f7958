//! The history of a trial as its checks read it: schedulers, workers, requests and calls.

use oakshed_standin::fleet::{Arrival, Call};

use crate::history::{Request, Span};

/// A list that a scheduler has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedList {
    /// When it logged the list.
    pub at: u64,
    /// The list's number.
    pub number: u64,
}

/// A scheduler, as its checkers see it.
#[derive(Clone, Debug, Default)]
pub struct SchedulerFacts {
    /// Its name.
    pub name: String,
    /// When its processes ran.
    pub incarnations: Vec<Span>,
    /// When each of its processes could be connected to.
    pub listens: Vec<u64>,
    /// When it was stopped (SIGSTOP), and not yet continued.
    pub stops: Vec<Span>,
    /// The lists that it has received.
    pub received: Vec<ReceivedList>,
    /// When it could not reach discovery, or could not get its answers.
    pub cut_off: Vec<Span>,
    /// When it was told to move to another discovery (SIGHUP).
    pub reloads: Vec<u64>,
}

impl SchedulerFacts {
    /// The incarnation that ran at that time.
    pub(super) fn incarnation_at(&self, at: u64) -> Option<&Span> {
        self.incarnations.iter().find(|span| span.overlaps(at, at))
    }

    /// When its time limits start, as of `at`: at `from`, or later at the start of its incarnation or at the end
    /// of a stop or of a time without discovery. None where it did not run then, or is still stopped or cut off.
    pub(super) fn limits_start(&self, from: u64, at: u64) -> Option<u64> {
        let incarnation = self.incarnation_at(at)?;
        let mut start = from.max(incarnation.from);
        let hindrances = self.stops.iter().chain(&self.cut_off);
        for span in hindrances.filter(|span| span.overlaps(from, at)) {
            let end = span.to.filter(|to| *to <= at)?;
            start = start.max(end);
        }
        Some(start)
    }
}

/// Numbers of lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListRange {
    /// The first.
    pub first: u64,
    /// The one after the last; without it the range is open.
    pub end: Option<u64>,
}

impl ListRange {
    /// Whether the list of that number is in the range.
    #[must_use]
    pub fn contains(&self, number: u64) -> bool {
        number >= self.first && self.end.is_none_or(|end| number < end)
    }
}

/// Where a worker runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
}

/// A worker, as its checkers see it.
#[derive(Clone, Debug, Default)]
pub struct WorkerFacts {
    /// Its name.
    pub name: String,
    /// The zone and the cell in which repeats of a request are dropped.
    pub place: Place,
    /// The requests that arrived.
    pub arrivals: Vec<Arrival>,
    /// When connections to it were opened.
    pub opened: Vec<u64>,
    /// Jobs that it runs in a second when warm.
    pub jobs_per_second: f64,
    /// The lists in which it is draining or gone.
    pub drains: Vec<ListRange>,
    /// When discovery had these lists.
    pub drained: Vec<Span>,
    /// When it started cold.
    pub starts: Vec<u64>,
}

/// The input of all checks.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// The schedulers, by their index.
    pub schedulers: Vec<SchedulerFacts>,
    /// The workers.
    pub workers: Vec<WorkerFacts>,
    /// The requests that ended.
    pub requests: Vec<Request>,
    /// Discovery's calls.
    pub calls: Vec<Call>,
    /// The classes of requests.
    pub classes: Vec<ClassFacts>,
    /// The list is pushed: schedulers count as notified of what the agent has, whether or not a watch is open.
    pub pushed: bool,
}

/// A class, as the checkers see it.
#[derive(Clone, Debug, Default)]
pub struct ClassFacts {
    /// Its name.
    pub name: String,
    /// How repeats of a request are dropped.
    pub repeats: Option<RepeatRule>,
}

/// How repeats of a request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatRule {
    /// The workers that drop repeats of one another's requests.
    pub scope: Scope,
    /// For how long from the first run, in microseconds.
    pub window: u64,
}

/// The workers that drop repeats of one another's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}
