//! Delays the retry of a request whose attempt failed with a local fault: this machine lacked a
//! descriptor, port or memory for the connection.
//!
//! Such an attempt counts neither against the worker nor against the attempts allowed for the
//! request, and a request that has time left is not ended because of it.

use std::collections::BTreeSet;

use crate::interface::RequestId;
use crate::scheduler::Scheduler;
use crate::state::{AttemptId, WorkerIndex};
use crate::time::{Instant, Span};

/// Shortest backoff, before jitter.
const MIN_BACKOFF: Span = Span::from_millis(10);
/// A request backs off for the time since its first local fault divided by this, so that retries
/// become rarer while the fault lasts.
const ELAPSED_DIVISOR: u64 = 4;
/// Each request that is backing off adds this to the minimum backoff of the next one, which limits
/// the rate of all retries together.
const SPACING: Span = Span::from_micros(200);
/// Penalty, in slots, of the worker at which the request's last attempt failed with a local fault.
/// Ports may still be available for another address.
pub(super) const LOCAL_FAULT_PENALTY_SLOTS: f64 = 100.0;

/// A request that is backing off. The field order gives the order in which backoffs end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BackingOff {
    until: Instant,
    id: RequestId,
}

/// The requests that are backing off after a local fault.
#[derive(Default)]
pub(crate) struct LocalFaultBackoffs {
    requests: BTreeSet<BackingOff>,
}

impl LocalFaultBackoffs {
    /// The number of requests that are backing off.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// When the next backoff ends.
    pub(super) fn next_end(&self) -> Option<Instant> {
        self.requests.first().map(|first| first.until)
    }

    fn insert(&mut self, id: RequestId, until: Instant) {
        self.requests.insert(BackingOff { until, id });
    }

    fn remove(&mut self, id: RequestId, until: Instant) {
        self.requests.remove(&BackingOff { until, id });
    }

    /// A request whose backoff has ended.
    fn first_ended(&self, now: Instant) -> Option<RequestId> {
        let first = self.requests.first()?;
        (first.until <= now).then_some(first.id)
    }
}

impl Scheduler {
    /// Makes a request wait for a short, jittered time before it is queued again.
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
        // It must be back in the queue by its dispatch deadline, when queued requests are rejected.
        let until = until.min(request.dispatch_deadline);
        request.backs_off_until = Some(until);
        self.backoffs.insert(id, until);
    }

    /// Queues the requests whose backoff has ended.
    pub(super) fn requeue_backed_off(&mut self) {
        while let Some(id) = self.backoffs.first_ended(self.now) {
            self.clear_backoff(id);
            self.enqueue(id);
        }
    }

    /// Cancels the backoff of a request, if there is one.
    pub(crate) fn clear_backoff(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(until) = request.backs_off_until.take() {
            self.backoffs.remove(id, until);
        }
    }

    /// Reverts the effects of a send on its worker, which the attempt did not reach.
    pub(super) fn undo_send(&mut self, attempt: AttemptId) {
        let Some(request) = self.requests.get(&attempt.request) else {
            return;
        };
        let attempt = &request.attempts[attempt.number];
        let worker = &mut self.workers[attempt.worker];
        worker.slow_start.refund(attempt.cost);
        if attempt.is_trial {
            worker.health.backoff.revoke_trial(self.now);
        }
    }

    /// Whether the request's last attempt was at this worker and failed with a local fault.
    pub(super) fn failed_locally_at(&self, id: RequestId, w: WorkerIndex) -> bool {
        let last = self
            .requests
            .get(&id)
            .and_then(|request| request.attempts.last());
        last.is_some_and(|attempt| attempt.is_local_fault && attempt.worker == w)
    }
}
