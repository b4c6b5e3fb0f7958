//! One request and its attempts, as they are recorded.
//!
//! It owns these records and what a request just come in is taken to need. It must never hold more of a
//! request than a decision needs.

use super::settings::MAX_SPAN;
use super::{ClassIndex, QueuedRequest, Scheduler, Tier, WorkerIndex};
use crate::interface::{Job, Micros, RequestId};
use crate::time::{Instant, Span};

/// The most slots that a job is taken to need. Prevents a figure beside which sums of slots lose
/// all others: they would not come back to what they were when the job ends.
const MOST_SLOTS: f64 = 1_024.0;

/// One attempt of a request.
pub(crate) struct Attempt {
    pub worker: WorkerIndex,
    pub sent: Instant,
    pub started: Option<Instant>,
    /// When it was last observed.
    pub observed_at: Instant,
    /// It has not ended.
    pub is_open: bool,
    /// Its connection is unresponsive, though its worker is not: it is not counted there.
    pub is_lost: bool,
    /// It was counted as one that started too late.
    pub is_late: bool,
    pub may_have_run: bool,
    /// It was not sent, for a fault of this machine.
    pub is_local_fault: bool,
    /// What it took of its worker's slow-start budget.
    pub cost: f64,
    /// It tries a worker that is backed off from.
    pub is_trial: bool,
}

impl Attempt {
    /// An attempt that is sent to a worker now.
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

    /// An attempt of an earlier process that has ended and may have run.
    pub(super) fn inherited(worker: WorkerIndex, sent: Instant) -> Self {
        Attempt {
            is_open: false,
            ..Attempt::open(worker, sent)
        }
    }
}

/// What an attempt was that has started.
pub(crate) struct StartedAttempt {
    pub worker: WorkerIndex,
    pub class: ClassIndex,
    pub slots: f64,
    /// How long it waited to start, in microseconds.
    pub waited: f64,
}

/// What an attempt was that has ended.
pub(crate) struct EndedAttempt {
    pub worker: WorkerIndex,
    pub class: ClassIndex,
    pub slots: f64,
    pub size: f64,
    pub sent: Instant,
    pub started: Option<Instant>,
}

/// A probe that a request has waited for, or waits for.
#[derive(Clone, Copy)]
pub(crate) struct RequestProbe {
    pub worker: WorkerIndex,
    pub sent: Instant,
}

/// One request that is owed an answer, or has attempts without an outcome.
#[derive(Default)]
pub(crate) struct Request {
    pub class: ClassIndex,
    pub tier: Tier,
    pub slots: f64,
    pub memory: f64,
    pub key: Option<u64>,
    /// Work as hinted.
    pub hint: Option<f64>,
    /// The hint against the class's mean; 1 without a hint.
    pub size: f64,
    pub latency_objective: Instant,
    /// The last moment at which an attempt can still meet the latency objective.
    pub dispatch_deadline: Instant,
    pub deadline: Instant,
    pub attempts: Vec<Attempt>,
    /// How many attempts have not ended.
    pub open: u32,
    /// The probe before its first attempt.
    pub probe: Option<RequestProbe>,
    /// When its first attempt failed for a fault of this machine.
    pub first_local_fault: Option<Instant>,
    /// Until when it backs off for the last of these.
    pub backs_off_until: Option<Instant>,
    /// It has its final answer.
    pub is_answered: bool,
}

impl Request {
    /// A request just come in. Sizes that are no sizes count as absent. A job takes one slot at least:
    /// prevents jobs of none, which no limit and no slow-start budget would count.
    pub(crate) fn new(job: &Job, class: ClassIndex, attempts: Vec<Attempt>) -> Self {
        Request {
            class,
            attempts,
            slots: usable_or(job.slots, 1.0).clamp(1.0, MOST_SLOTS),
            memory: usable_or(job.memory, 0.0),
            key: job.key,
            hint: job.hint.map(usable_hint),
            size: 1.0,
            ..Request::default()
        }
    }

    /// Its place in its tier's queue.
    pub(super) fn queue_entry(&self, id: RequestId) -> QueuedRequest {
        QueuedRequest {
            dispatch_deadline: self.dispatch_deadline,
            id,
        }
    }

    /// The first attempt that may have run.
    pub(crate) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }
}

/// A hint in microseconds, a year at most.
fn usable_hint(hint: Micros) -> f64 {
    Span::from_micros(hint).min(MAX_SPAN).as_micros_f64()
}

fn usable_or(size: Option<f64>, default: f64) -> f64 {
    let usable = size.filter(|size| size.is_finite() && *size >= 0.0);
    usable.unwrap_or(default)
}

impl Scheduler {
    /// What a job of the class may lose to waiting and still meet its latency objective, in microseconds.
    pub(crate) fn slack(&self, class: ClassIndex) -> f64 {
        let settings = self.settings.class(class);
        settings.latency_objective.as_micros_f64()
            + (settings.stretch - 1.0).max(0.0) * self.classes[class].work
    }
}
