//! Public types of the scheduler: settings, events, actions and ids.
//!
//! Timestamps are integer microseconds on the caller's monotonic clock, which may have any origin.
//! Durations in the settings are [`Span`]s.

mod fingerprint;
mod settings;

pub use crate::time::Span;
pub use fingerprint::FingerprintForm;
pub use settings::{
    Class, Effect, Reports, Scope, Settings, SettingsError, Weights, NOTIFICATION_DEADLINE,
};

/// A timestamp or a duration in microseconds, as used in events and actions. The scheduler converts it to an
/// [`Instant`](crate::time::Instant) or a [`Span`] on entry.
pub type Micros = u64;

/// The longest pause of the process that must be tolerated at any point, including between reading the clock
/// and writing to a socket.
pub const MAX_PROCESS_PAUSE: Span = Span::from_millis(150);

/// Identifies a request; unique for the lifetime of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u128);

/// Identifies a worker. All schedulers must use the same number for a worker (a hash of its address, for
/// example), because consistent hashing places keys by it. The number has no other meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkerId(pub u64);

/// The state of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Running and accepting jobs.
    Active,
    /// Draining: no new jobs may be sent to it.
    Leaving,
    /// Removed from the list.
    Left,
}

/// Stands for a zone, machine kind or cell that the settings do not contain. Two entries with this number may
/// belong to different ones.
pub const UNKNOWN: u32 = u32::MAX;

/// One entry of the endpoint list, whose worker is identified by its number or its name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint<W> {
    /// The worker's number or name.
    pub worker: W,
    /// Index of its zone.
    pub zone: u32,
    /// Index of its machine kind.
    pub kind: u32,
    /// Number of its cell.
    pub cell: u32,
    /// Relative capacity, as defined by [`Settings::weights`]; a value that is not a positive number counts as 1.
    pub weight: f64,
    /// Its state in the list.
    pub condition: Condition,
    /// When it last started, on the caller's clock or on a wall clock (see [`Event::WallClock`]); 0 if that was
    /// long ago.
    pub online_since: Micros,
}

/// An endpoint list entry in the form that the scheduler accepts.
pub type Row = Endpoint<WorkerId>;

impl<W> Endpoint<W> {
    /// Returns the same entry with another identification of the worker.
    #[must_use]
    pub fn with_worker<Other>(&self, worker: Other) -> Endpoint<Other> {
        Endpoint {
            worker,
            zone: self.zone,
            kind: self.kind,
            cell: self.cell,
            weight: self.weight,
            condition: self.condition,
            online_since: self.online_since,
        }
    }
}

/// What an [`Event::List`] carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the rows that changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as cached before a restart.
    Cached,
    /// The complete list, which may no longer be acted on until discovery has confirmed it. Its workers stay known, and
    /// requests that could only be sent to them are rejected.
    Unconfirmed,
    /// No rows: a call to discovery failed or the subscription broke.
    Failed,
    /// No rows: a call failed after waiting for its turn, because discovery receives more calls than it can
    /// answer.
    Overloaded,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The worker returned a result.
    Delivered,
    /// The worker answered with an error; the job may have run.
    Error,
    /// The worker declined the job because of overload; it never ran.
    Declined,
    /// No reply before the deadline; the job may have run.
    Expired,
    /// The connection could not be established; the job never ran.
    DialFailed,
    /// The connection broke; the job may have run.
    Dropped,
    /// Cancelled; the job may have run.
    Revoked,
    /// Never sent.
    Unused,
    /// Not sent because this machine had no file descriptor, port or memory for it. It says nothing about the
    /// worker and does not count against the request's maximum number of attempts.
    LocalFault,
}

/// A worker's load report. Values may be absent, stale or noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory units.
    pub free_memory: Option<f64>,
    /// Requests that the worker has accepted and not finished.
    pub outstanding: Option<f64>,
    /// Requests queued at the worker.
    pub backlog: Option<f64>,
}

/// The properties of a request's job that scheduling decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Index of its class in the settings.
    pub class: u32,
    /// Index of its tenant in the settings, if it names a known one.
    pub tenant: Option<u32>,
    /// Slots it occupies; 1 if not given.
    pub slots: Option<f64>,
    /// Memory units it occupies; 0 if not given.
    pub memory: Option<f64>,
    /// Key of what it needs at a worker (a program, a data set), if given.
    pub key: Option<u64>,
    /// Client's estimate of its running time on a standard core, if given.
    pub hint: Option<Micros>,
    /// Time left until the client gives up on this try.
    pub remaining: Micros,
}

/// An attempt made before the scheduler received the request; the job may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Earlier<W = WorkerId> {
    /// The worker, which may no longer be listed.
    pub worker: W,
    /// How long ago it was sent.
    pub ago: Micros,
}

/// An input of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// The endpoint list, a change to it, or the failure of a poll.
    List {
        /// Whether the rows are complete, partial or absent.
        kind: ListKind,
        /// The rows; empty for a failed poll.
        rows: &'a [Row],
    },
    /// A request arrived and must get exactly one final answer.
    Request {
        /// Its id.
        id: RequestId,
        /// Its job.
        job: Job,
        /// Attempts of a predecessor whose jobs may have run, in order. They count as the first attempts of
        /// this request and have ended.
        earlier: &'a [Earlier],
    },
    /// The job of an attempt started to run.
    Started {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// The running job of an attempt reported progress.
    Progress {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// An attempt ended.
    Settled {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        ending: Ending,
        /// Whether the request has got its final answer.
        finished: bool,
        /// The worker's load report, if one came with the answer.
        report: Option<Report>,
    },
    /// A streamed response began; the client owns the attempt from here on.
    Streaming {
        /// The request.
        id: RequestId,
    },
    /// The client disconnected; the request needs no answer any more.
    Cancelled {
        /// The request.
        id: RequestId,
    },
    /// The process shuts down: the request gets its final answer now, even if attempts are in flight.
    ShuttingDown {
        /// The request.
        id: RequestId,
    },
    /// A probe ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        ending: Ending,
        /// The load report, if the worker answered with one.
        report: Option<Report>,
    },
    /// An operator excluded a worker or included it again. The worker need not be listed.
    Exclusion {
        /// The worker.
        worker: WorkerId,
        /// Whether it is excluded from now on.
        is_excluded: bool,
    },
    /// The current wall-clock time. Required at startup and before each list if the list stamps worker starts
    /// with a wall clock. Without this event, the stamps are taken to be on the caller's clock.
    WallClock {
        /// Wall-clock time, counted from the same epoch as [`Row::online_since`].
        wall: Micros,
    },
    /// A timer set by [`Action::Wake`] expired.
    Timer,
}

/// Counts of what is queued or in flight. All except `workers` are 0 once every request is answered and every
/// attempt has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InFlightCounts {
    /// Requests that have no final answer yet or have attempts in flight.
    pub requests: usize,
    /// Requests waiting to be sent.
    pub queued: usize,
    /// Attempts in flight, summed over the workers.
    pub attempts: usize,
    /// Slots in flight, as counted against the concurrency limit and at the workers.
    pub slots: f64,
    /// Known workers, including those that have left.
    pub workers: usize,
}

/// Load and running-time estimates that a scheduler hands to its successor.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimates {
    /// The concurrency limit: how many of this scheduler's slots may be in flight.
    pub concurrency_limit: f64,
    /// Mean running time of jobs, in microseconds.
    pub mean_run: f64,
    /// Estimates of each class, by its index in the settings.
    pub classes: Vec<ClassEstimates>,
}

/// Running-time estimates of one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassEstimates {
    /// Recent mean running time, in microseconds.
    pub run: f64,
    /// Long-term mean running time, used as the job's own work, in microseconds.
    pub work: f64,
    /// Number of served jobs that `work` is averaged over; small jobs count as a fraction.
    pub served: f64,
}

/// An output of the scheduler, which the caller must carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request.
        id: RequestId,
        /// The worker to send it to.
        worker: WorkerId,
        /// Time by which its last byte must be written; nothing of it may be written later. `None` means no
        /// limit.
        write_deadline: Option<Micros>,
    },
    /// Final answer: rejected; the client may safely retry later.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries, if the settings allow sending that.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed; the job may or may not have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Ask a worker for its load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Subscribe to the endpoint list, or request it if it is sent only on request.
    Subscribe,
    /// Set a timer that triggers an [`Event::Timer`].
    Wake {
        /// Time from now until the event.
        after: Micros,
    },
}
