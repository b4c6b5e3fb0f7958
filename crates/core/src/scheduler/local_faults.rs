//! Attempts that fail for a fault of this machine: no descriptor, port or memory for their connection.
//!
//! It owns for how long their requests back off, and what such an attempt leaves behind. It must never
//! count it against the worker or as one of the request's attempts, or end a request that has time left.

use std::collections::BTreeSet;

use crate::interface::RequestId;
use crate::scheduler::Scheduler;
use crate::state::{AttemptId, WorkerIndex};
use crate::time::{Instant, Span};

/// The least backoff, before jitter.
const MIN_BACKOFF: Span = Span::from_millis(10);
/// The part of the time since the request's first such fault that it backs off for: what lasts is tried
/// seldom.
const ELAPSED_DIVISOR: u64 = 4;
/// What each request that backs off adds to the backoff of the next: bounds the tries of all together.
const SPACING: Span = Span::from_micros(200);
/// What a worker counts busier, in slots, for the request whose last attempt there failed so: another
/// address may still have ports.
pub(super) const LOCAL_FAULT_PENALTY_SLOTS: f64 = 100.0;

/// A request that backs off; the order of the fields is that in which the backoffs end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BackingOff {
    until: Instant,
    id: RequestId,
}

/// The requests that back off for a fault of this machine.
#[derive(Default)]
pub(crate) struct LocalFaultBackoffs {
    requests: BTreeSet<BackingOff>,
}

impl LocalFaultBackoffs {
    /// How many requests back off.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// When the next backoff is over.
    pub(super) fn next_end(&self) -> Option<Instant> {
        self.requests.first().map(|first| first.until)
    }

    fn insert(&mut self, id: RequestId, until: Instant) {
        self.requests.insert(BackingOff { until, id });
    }

    fn remove(&mut self, id: RequestId, until: Instant) {
        self.requests.remove(&BackingOff { until, id });
    }

    /// A request whose backoff is over.
    fn first_ended(&self, now: Instant) -> Option<RequestId> {
        let first = self.requests.first()?;
        (first.until <= now).then_some(first.id)
    }
}

impl Scheduler {
    /// Has a request wait for a short, jittered time before it is queued again.
    pub(super) fn back_off_request(&mut self, id: RequestId) {
        let jitter = 0.5 + self.rng.f64();
        let min_span = SPACING * self.backoffs.len() as u64;
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let since = *request.first_local_fault.get_or_insert(now);
        let span = MIN_BACKOFF
            .max((now - since) / ELAPSED_DIVISOR)
            .max(min_span);
        let until = now + Span::from_micros_f64(span.as_micros_f64() * jitter);
        // It is queued again by the time at which what is queued is rejected.
        let until = until.min(request.dispatch_deadline);
        request.backs_off_until = Some(until);
        self.backoffs.insert(id, until);
    }

    /// Queues the requests again whose backoff is over.
    pub(super) fn requeue_backed_off(&mut self) {
        while let Some(id) = self.backoffs.first_ended(self.now) {
            self.clear_backoff(id);
            self.enqueue(id);
        }
    }

    /// Ends a request's backoff, if it has one.
    pub(crate) fn clear_backoff(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(until) = request.backs_off_until.take() {
            self.backoffs.remove(id, until);
        }
    }

    /// Takes back what the sending of an attempt did to its worker: nothing has reached it.
    pub(super) fn undo_send(&mut self, attempt: AttemptId) {
        let Some(request) = self.requests.get(&attempt.request) else {
            return;
        };
        let attempt = &request.attempts[attempt.number];
        let worker = &mut self.workers[attempt.worker];
        worker.slow_start.give_back(attempt.cost);
        if attempt.is_trial {
            worker.health.backoff.take_back_trial(self.now);
        }
    }

    /// Whether the request's last attempt failed so at this worker.
    pub(super) fn failed_locally_at(&self, id: RequestId, w: WorkerIndex) -> bool {
        let last = self
            .requests
            .get(&id)
            .and_then(|request| request.attempts.last());
        last.is_some_and(|attempt| attempt.is_local_fault && attempt.worker == w)
    }
}
