//! Types of the facade's interface: request handles, steps, observations and hot-restart state.
//!
//! They are independent of sockets, serialization formats and async runtimes.

use std::rc::Rc;

use crate::interface::{Ending, Endpoint, Estimates, ListKind, Micros, Report};

/// Identifies a request in the facade.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Handle(pub(super) u64);

/// An entry of the endpoint list with the worker's name, which is the same at every scheduler. Other names are
/// already resolved to indices of the settings.
pub type Entry = Endpoint<Rc<str>>;

/// The next step in handling a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send an attempt to a worker.
    Attempt {
        /// Number of the attempt, counted from 0 for each request.
        attempt: usize,
        /// Name of the worker in the endpoint list.
        worker: Rc<str>,
        /// When the attempt times out.
        until: Micros,
        /// Time from which nothing more of it may be written; an attempt that is incomplete by then never ran.
        write_deadline: Micros,
    },
    /// Final answer: the result of an attempt.
    Serve {
        /// Number of that attempt.
        attempt: usize,
    },
    /// Final answer: rejected; the client may retry.
    Reject {
        /// How long the client should wait before it retries.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed; the job may or may not have run.
    Fail,
    /// Cancel an attempt and report it as [`Ending::Revoked`].
    Cancel {
        /// Number of the attempt.
        attempt: usize,
    },
}

/// An observation to report to the scheduler.
#[derive(Clone, Copy, Debug)]
pub enum Observation<'a> {
    /// The current wall-clock time, by which the endpoint list stamps worker starts.
    WallClock(Micros),
    /// The endpoint list or a change to it; no entries if the poll failed.
    List(ListKind, &'a [Entry]),
    /// The job of an attempt started to run.
    Started(Handle, usize),
    /// The job of an attempt reported progress.
    Progress(Handle, usize),
    /// An attempt ended.
    Ended(Handle, usize, Ending, Option<Report>),
    /// A probe ended: whether the worker answered, and with which load report.
    Probed(&'a Rc<str>, bool, Option<Report>),
    /// A probe was not sent because this machine lacked a resource for it.
    NotProbed(&'a Rc<str>),
}

/// Pending work that does not belong to a request.
#[derive(Debug, Default, PartialEq)]
pub struct Due {
    /// When to call `tick` next, unless its waker is woken earlier.
    pub next: Option<Micros>,
    /// Whether to request the endpoint list from discovery again.
    pub subscribe: bool,
    /// Names of the workers to probe for their load.
    pub probes: Vec<Rc<str>>,
}

/// A worker that is warming up, as handed to the successor.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmingWorker {
    /// Name of the worker.
    pub worker: Rc<str>,
    /// Its start time in the endpoint list. A different one means that the worker has restarted.
    pub start: Micros,
    /// How long it has been warming up.
    pub age: Micros,
}

/// Observations handed to the successor. Times are durations because the two processes have different clocks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// Load and running-time estimates.
    pub estimates: Estimates,
    /// Workers to which nothing is sent for now.
    pub backoffs: Vec<WorkerBackoff>,
}

/// The remaining backoff of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerBackoff {
    /// Name of the worker.
    pub worker: Rc<str>,
    /// Time for which nothing may be sent to it.
    pub left: Micros,
    /// Number of backoffs since it last answered.
    pub trials: u32,
}
