//! Input and output types of the state machine.

use std::rc::Rc;

use oakshed_core::facade::{Ending, Micros};

use super::Provisional;
use crate::record::{Answer, JobId, JobPayload, Lease, Outcome};

/// Settings and capacity limits of the state machine. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Whether workers implement the lease protocol.
    pub leases: bool,
    /// Validity of a lease without a heartbeat.
    pub lease: Micros,
    /// Time for which answers are retained.
    pub retention: Micros,
    /// Maximum number of open jobs.
    pub max_open: usize,
    /// Maximum number of jobs, including finished ones.
    pub max_jobs: usize,
    /// Maximum total size of payloads and answers, in bytes.
    pub max_bytes: usize,
}

/// Names of the classes and tenants, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
}

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Submitted {
    /// The job is open, from this submission or an earlier one. The reply is that it is accepted; the answer follows
    /// as [`Effect::Answer`].
    Open(Provisional<()>),
    /// The job is finished, and its answer is being written. It follows as [`Effect::Answer`].
    Ending,
    /// The job is finished, with this answer, which is durable.
    Finished(Answer),
    /// The key belongs to a job with a different payload.
    Conflict(Provisional<()>),
    /// A capacity limit is reached, the disk is full, or too many bytes of records are not durable yet.
    Busy,
}

/// The outcome of a client's request to cancel a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// The job is cancelled, by this request or an earlier one, and never ran.
    Cancelled,
    /// The job may have been sent to a worker, or has another answer.
    TooLate,
    /// The job is unknown.
    UnknownJob,
}

/// An action for the caller to perform. It is returned only once the records that it depends on are durable.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send an attempt to a worker, and report its end with `on_ended`.
    Attempt {
        /// The job.
        id: JobId,
        /// The attempt's fencing token.
        token: u64,
        /// Name of the worker.
        worker: Rc<str>,
        /// Time at which the attempt times out.
        until: Micros,
        /// Time by which the whole request must have been written.
        write_deadline: Micros,
        /// The request to send.
        payload: Rc<JobPayload>,
    },
    /// Close an attempt's connection. Its end need not be reported.
    Stop {
        /// The job.
        id: JobId,
        /// The attempt's fencing token.
        token: u64,
    },
    /// Fence an attempt: tell the worker not to start the job with a token up to this one, and ask for the
    /// job's status. The reply is reported with `on_fence_reply`.
    Fence {
        /// The job.
        id: JobId,
        /// The fencing token.
        token: u64,
        /// Name of the worker.
        worker: Rc<str>,
        /// Whether the endpoint list is confirmed. `on_fence_reply` gets this value, or false if the list does not name
        /// this worker alone at its address.
        confirmed: bool,
    },
    /// Notify a worker that the scheduler has stored its result durably. The notification may be lost.
    NotifyResultStored {
        /// The job.
        id: JobId,
        /// The fencing token.
        token: u64,
        /// Name of the worker.
        worker: Rc<str>,
    },
    /// Send the job's final answer to all clients that wait for it.
    Answer(JobId, Answer),
    /// Trim the log: records before this number are no longer needed.
    Trim(u64),
}

/// A worker's reply to a fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FenceReply {
    /// The worker's status of the job.
    pub status: FenceStatus,
    /// Time since which the worker's job history is complete, in Unix milliseconds.
    pub since_ms: u64,
}

/// The status of a fenced job at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceStatus {
    /// The job has not started, and will not start with a token up to the fenced one.
    Never,
    /// The job is running.
    Running,
    /// The job has ended with this result.
    Done(Vec<u8>),
    /// The job has started, and will not yield a result.
    Failed,
}

/// The end of an attempt, as observed on its connection.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The worker returned a result.
    Result(Vec<u8>),
    /// The attempt ended without a result; never [`Ending::Delivered`].
    NoResult(Ending),
}

/// The status of a job, for clients and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct JobStatus {
    /// The final answer, once it is durable.
    pub answer: Option<Answer>,
    /// Number of the attempts that are still recorded, not counting those whose lease is not durable yet.
    pub attempts: usize,
    /// Leases of a finished job's indeterminate attempts.
    pub indeterminate: Vec<Lease>,
    /// Outcome of the indeterminate attempts, once one is settled.
    pub outcome: Option<Outcome>,
}

/// The machine's boot identifier and uptime. Changes of the wall clock affect neither.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Boot {
    /// Boot identifier, or 0 if it is unknown.
    pub id: u128,
    /// Time since the machine booted, in microseconds.
    pub uptime: Micros,
}

/// Counters since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs accepted.
    pub accepted: u64,
    /// Submissions of a job that was already known.
    pub resubmitted: u64,
    /// Submissions rejected because the key belongs to a job with a different payload.
    pub conflicts: u64,
    /// Submissions rejected for lack of capacity.
    pub busy: u64,
    /// Fences sent.
    pub fences: u64,
    /// Attempts that were indeterminate when their job finished.
    pub indeterminate: u64,
    /// Outcomes recorded for finished jobs with indeterminate attempts.
    pub settled: u64,
    /// Invariant violations. A debug build panics instead of counting.
    pub invariant_violations: u64,
}

/// Current sizes of the state machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// Number of open jobs.
    pub open: usize,
    /// Number of finished jobs that await settlement.
    pub indeterminate: usize,
    /// Number of all jobs.
    pub jobs: usize,
    /// Total size of payloads and answers, in bytes.
    pub bytes: usize,
}
