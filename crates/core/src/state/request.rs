//! Records of a request, its attempts and its probe.
//!
//! They hold only what scheduling decisions need: neither the payload nor the connection of a request is
//! here.

use super::settings::MAX_SPAN;
use super::{ClassIndex, QueuedRequest, Scheduler, Tier, WorkerIndex};
use crate::interface::{Job, Micros, RequestId};
use crate::time::{Instant, Span};

/// Upper bound of the slots that a job may need. A far larger number would swallow all others in the
/// floating-point sums of slots, which would not return to their former values when the job ends.
const MAX_SLOTS_PER_JOB: f64 = 1_024.0;

/// An attempt of a request.
pub(crate) struct Attempt {
    pub worker: WorkerIndex,
    pub sent: Instant,
    pub started: Option<Instant>,
    /// When it was last observed.
    pub observed_at: Instant,
    /// Whether it has not ended.
    pub is_open: bool,
    /// Whether it is left out of its worker's counts, as its connection hangs while the worker is responsive.
    pub is_lost: bool,
    /// Whether it was counted as starting too late.
    pub is_late: bool,
    pub may_have_run: bool,
    /// Whether it was not sent because of a fault on this machine.
    pub is_local_fault: bool,
    /// What it took from its worker's slow-start budget, in slot-microseconds.
    pub cost: f64,
    /// Whether it was a trial of a worker after a backoff.
    pub is_trial: bool,
}

impl Attempt {
    /// Creates an open attempt that was sent to a worker at `sent`.
    pub(super) fn open(worker: WorkerIndex, sent: Instant) -> Self {
        Attempt {
            worker,
            sent,
            started: None,
            observed_at: sent,
            is_open: true,
            is_lost: false,
            is_late: false,
            may_have_run: true,
            is_local_fault: false,
            cost: 0.0,
            is_trial: false,
        }
    }

    /// Creates a closed attempt of a predecessor, which may have run.
    pub(super) fn inherited(worker: WorkerIndex, sent: Instant) -> Self {
        Attempt {
            is_open: false,
            ..Attempt::open(worker, sent)
        }
    }
}

/// Details of an attempt that has just started.
pub(crate) struct StartedAttempt {
    pub worker: WorkerIndex,
    pub class: ClassIndex,
    pub slots: f64,
    /// How long it waited to start, in microseconds.
    pub waited: f64,
}

/// Details of an attempt that has just ended.
pub(crate) struct EndedAttempt {
    pub worker: WorkerIndex,
    pub class: ClassIndex,
    pub slots: f64,
    pub size: f64,
    pub sent: Instant,
    pub started: Option<Instant>,
}

/// The probe that a request waits for or has waited for.
#[derive(Clone, Copy)]
pub(crate) struct RequestProbe {
    pub worker: WorkerIndex,
    pub sent: Instant,
}

/// A request that has not been answered, or has attempts without an outcome.
#[derive(Default)]
pub(crate) struct Request {
    pub class: ClassIndex,
    pub tier: Tier,
    pub slots: f64,
    pub memory: f64,
    pub key: Option<u64>,
    /// The client's estimate of the work, in microseconds.
    pub hint: Option<f64>,
    /// The hint relative to the mean hint of its class; 1 without a hint.
    pub size: f64,
    pub latency_objective: Instant,
    /// The latest time at which it can be dispatched and still meet the latency objective.
    pub dispatch_deadline: Instant,
    pub deadline: Instant,
    pub attempts: Vec<Attempt>,
    /// How many attempts have not ended.
    pub open: u32,
    /// The probe sent on its behalf, if any; there is at most one.
    pub probe: Option<RequestProbe>,
    /// When an attempt first failed because of a fault on this machine.
    pub first_local_fault: Option<Instant>,
    /// The end of its backoff after the latest such failure, while it lasts.
    pub backs_off_until: Option<Instant>,
    /// Whether its final answer has been given.
    pub is_answered: bool,
}

impl Request {
    /// Creates the record of a new request. Negative, infinite and NaN sizes count as absent. A job takes at
    /// least one slot, as neither the concurrency limit nor a slow-start budget would hold back jobs without
    /// slots.
    pub(crate) fn new(job: &Job, class: ClassIndex, attempts: Vec<Attempt>) -> Self {
        Request {
            class,
            attempts,
            slots: usable_or(job.slots, 1.0).clamp(1.0, MAX_SLOTS_PER_JOB),
            memory: usable_or(job.memory, 0.0),
            key: job.key,
            hint: job.hint.map(bounded_hint),
            size: 1.0,
            ..Request::default()
        }
    }

    /// Its entry in the queue of its tier.
    pub(super) fn queue_entry(&self, id: RequestId) -> QueuedRequest {
        QueuedRequest {
            dispatch_deadline: self.dispatch_deadline,
            id,
        }
    }

    /// The earliest attempt that may have run.
    pub(crate) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }
}

/// A hint in microseconds, limited to [`MAX_SPAN`].
fn bounded_hint(hint: Micros) -> f64 {
    Span::from_micros(hint).min(MAX_SPAN).as_micros_f64()
}

fn usable_or(size: Option<f64>, default: f64) -> f64 {
    let usable = size.filter(|size| size.is_finite() && *size >= 0.0);
    usable.unwrap_or(default)
}

impl Scheduler {
    /// How long a job of the class may wait and still meet its latency objective, in microseconds.
    pub(crate) fn slack(&self, class: ClassIndex) -> f64 {
        let settings = self.settings.class(class);
        settings.latency_objective.as_micros_f64()
            + (settings.stretch - 1.0).max(0.0) * self.classes[class].work
    }
}
