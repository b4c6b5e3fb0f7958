//! Sends requests to workers, and evaluates the start and the end of each attempt.
//!
//! Each kind of ending has its consequences here, for the worker and for the concurrency limit.
//! Whether a request may be sent again is decided in `retry`.

use super::failure_detection::ERROR_THRESHOLD;
use super::load_estimate::QUEUED_START_SHARE;
use crate::interface::{Action, Ending, Report, RequestId};
use crate::scheduler::Scheduler;
use crate::state::{AttemptId, CompletedWork, EndedAttempt, WorkerIndex};
use crate::time::Instant;

/// A job declined after more than this share of its class's slack had already been accepted by the
/// worker.
const LATE_DECLINE_SHARE: f64 = 0.35;
/// A start after more than this share of its class's slack counts as late, because the job is
/// unlikely to meet its latency objective.
pub(super) const LATE_START_SHARE: f64 = 0.75;

impl Scheduler {
    /// Sends a request to a worker and charges its slow-start budget.
    pub(super) fn send(&mut self, id: RequestId, w: WorkerIndex) {
        self.dequeue(id);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let write_deadline = self.retry_policy.write_deadline(request, &self.settings);
        let cost = request.slots * request.size * self.classes[request.class].run;
        let is_trial = self.workers[w].health.backoff.is_on_trial();
        self.open_attempt(id, w, cost, is_trial);
        let worker = &mut self.workers[w];
        worker.slow_start.spend(cost);
        worker.load.rounding = self.rng.f64();
        self.actions.push(Action::Send {
            id,
            worker: worker.id,
            write_deadline: write_deadline.map(Instant::as_micros),
        });
        if is_trial {
            self.back_off_worker(w);
        }
    }

    /// Handles the start of an attempt. Its wait indicates the load of the worker and of all
    /// workers.
    pub(super) fn on_started(&mut self, attempt: AttemptId) {
        let Some(started) = self.start_attempt(attempt) else {
            return;
        };
        let w = started.worker;
        self.workers[w].health.declined = 0;
        self.observe_worker(w);
        self.observe_wait(w, started.waited);
        let slack = self.slack(started.class);
        if started.waited > QUEUED_START_SHARE * slack {
            self.mark_full(w);
        }
        if started.waited <= LATE_START_SHARE * slack {
            self.increase_limit(started.slots);
        } else if self.mark_late(attempt) {
            self.decrease_limit(started.slots);
        }
    }

    /// Handles a progress report of a running attempt.
    pub(super) fn on_progress(&mut self, attempt: AttemptId) {
        if let Some(w) = self.observe_attempt(attempt) {
            self.observe_worker(w);
        }
    }

    /// Handles the end of an attempt: updates the state of its worker, and answers the request or
    /// sends it again.
    pub(super) fn on_settled(
        &mut self,
        attempt: AttemptId,
        ending: Ending,
        is_finished: bool,
        report: Option<Report>,
    ) {
        let Some(ended) = self.close_attempt(attempt, ending) else {
            return;
        };
        if let Some(report) = report {
            self.on_report(ended.worker, report);
        }
        match ending {
            Ending::Delivered => self.on_delivered(&ended),
            Ending::Error => self.on_error(ended.worker),
            Ending::Declined => self.on_declined(&ended),
            Ending::DialFailed | Ending::Dropped | Ending::Expired => self.on_unanswered(&ended),
            Ending::LocalFault => self.undo_send(attempt),
            Ending::Revoked | Ending::Unused => {}
        }
        self.finish_or_retry(attempt.request, ending, is_finished);
    }

    /// Records a job that was served.
    fn on_delivered(&mut self, ended: &EndedAttempt) {
        let health = &mut self.workers[ended.worker].health;
        health.errors = 0;
        health.declined = 0;
        self.observe_worker(ended.worker);
        let ran = self
            .micros_since(ended.started.unwrap_or(ended.sent))
            .max(1.0);
        self.observe_run(ended.class, ended.worker, ran, ended.size);
        let work = CompletedWork {
            measured: ended.slots * ran,
            estimated: ended.slots * ended.size * self.classes[ended.class].run,
        };
        self.update_warm_capacity();
        let warm_capacity = self.pools.warm_capacity;
        self.rates
            .count_work(self.now, self.mean_run, &work, warm_capacity);
        if !self.settings.reports_start {
            self.increase_limit(ended.slots);
        }
    }

    /// Counts an error answer. Several consecutive ones mark the worker as failing.
    fn on_error(&mut self, w: WorkerIndex) {
        self.workers[w].health.errors += 1;
        self.observe_worker(w);
        if self.workers[w].health.errors >= ERROR_THRESHOLD {
            self.back_off_worker(w);
        }
    }

    /// Handles a job that was declined.
    fn on_declined(&mut self, ended: &EndedAttempt) {
        let w = ended.worker;
        // The worker is draining, which the endpoint list may not show yet.
        let is_late = self.micros_since(ended.sent) > LATE_DECLINE_SHARE * self.slack(ended.class);
        if !self.workers[w].listing.is_active || is_late {
            return self.back_off_worker(w);
        }
        // The first of consecutive declines shows that the worker is full. If it declines the next
        // job as well, it is draining or unusable for now, which says nothing about the load of
        // other workers.
        self.workers[w].health.declined += 1;
        if self.workers[w].health.declined > 1 {
            return self.back_off_worker(w);
        }
        self.observe_worker(w);
        self.observe_wait(w, self.slack(ended.class));
        self.mark_full(w);
        self.decrease_limit(ended.slots);
    }

    /// Handles an attempt that ended without an answer from the worker. This says nothing about the
    /// load of other workers: an outage of a zone must not lower the limit.
    fn on_unanswered(&mut self, ended: &EndedAttempt) {
        if ended.started.is_none() {
            // Even an immediate failure, such as a refused connection, must not count as a prompt
            // start.
            self.observe_wait(ended.worker, self.slack(ended.class));
        }
        self.back_off_worker(ended.worker);
    }
}
