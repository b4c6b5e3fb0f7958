//! Detects unresponsive and failing workers, and backs off from them.
//!
//! The module defines the response timeouts, the exponential backoff and the effect of a manual
//! exclusion. It ends no request: attempts at such a worker run until their deadlines.

use std::collections::VecDeque;

use super::attempts::LATE_START_SHARE;
use crate::interface::WorkerId;
use crate::scheduler::Scheduler;
use crate::state::{IndexRemap, WorkerIndex};
use crate::time::{Instant, Span};

/// Time without an observation after which a worker with unstarted jobs is unresponsive, in mean
/// running times. Also the base of the backoff.
pub(super) const RESPONSE_TIMEOUT_RUNS: f64 = 1.5;
/// The timeout for a worker whose jobs have all started, which may run for some time.
const RUNNING_RESPONSE_TIMEOUT_RUNS: f64 = 4.0;
/// Upper bound on the number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 4;
/// Lower end of the jitter factor of a backoff, whose mean is 1.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// Width of the range of the jitter factor.
const JITTER_RANGE: f64 = 0.5;
/// Consecutive errors after which a worker is failing and is backed off from.
pub(super) const ERROR_THRESHOLD: u32 = 2;

/// The backoff from one worker. Each failed trial doubles it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    /// No job is sent to the worker before this time; [`Instant::ZERO`] if there is no backoff.
    until: Instant,
    /// Backoffs since the worker last answered. A job sent after one of them is a trial.
    trials: u32,
}

impl Backoff {
    /// A backoff that began in another process.
    pub(crate) fn new(until: Instant, trials: u32) -> Self {
        Backoff { until, trials }
    }

    /// The end of the backoff.
    pub(crate) fn until(&self) -> Instant {
        self.until
    }

    /// The number of backoffs since the worker last answered.
    pub(crate) fn trials(&self) -> u32 {
        self.trials
    }

    /// Whether jobs may be sent to the worker, even if only as a trial.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Whether the next job sent to the worker is a trial.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.trials > 0
    }

    /// Ends the backoff, when the worker answers, restarts or is included again by an operator.
    pub(crate) fn clear(&mut self) {
        *self = Backoff::default();
    }

    /// Revokes a trial that did not reach the worker; the next one may be sent immediately.
    pub(crate) fn revoke_trial(&mut self, now: Instant) {
        self.trials = self.trials.saturating_sub(1);
        self.until = now;
    }

    /// Begins a backoff of `span` microseconds, jittered, and doubled for each preceding one.
    pub(crate) fn begin(&mut self, now: Instant, span: f64, rng: &mut fastrand::Rng) {
        let jittered = span * (MIN_JITTER_FACTOR + JITTER_RANGE * rng.f64());
        let doublings = self.trials.min(MAX_DOUBLINGS);
        let doubled = jittered * f64::from(1u32 << doublings);
        self.until = now + Span::from_micros_f64(doubled);
        self.trials += 1;
    }
}

/// An entry of the watch queue.
struct Watched {
    worker: WorkerIndex,
    /// When the worker was last checked.
    checked_at: Instant,
}

/// The workers with attempts of this scheduler, in the order of their last checks.
#[derive(Default)]
pub(crate) struct WatchQueue {
    queue: VecDeque<Watched>,
}

impl WatchQueue {
    fn push(&mut self, worker: WorkerIndex, checked_at: Instant) {
        self.queue.push_back(Watched { worker, checked_at });
    }

    /// Removes the first worker if its last check is at least `span` microseconds ago.
    fn pop_due(&mut self, now: Instant, span: f64) -> Option<WorkerIndex> {
        let first = self.queue.front()?;
        let elapsed = now.saturating_since(first.checked_at).as_micros_f64();
        if elapsed < span.max(1.0) {
            return None;
        }
        self.queue.pop_front().map(|watched| watched.worker)
    }

    /// Removes workers that are no longer known and updates the indices of the others.
    pub(crate) fn retain(&mut self, moves: &IndexRemap) {
        self.queue
            .retain_mut(|watched| moves.apply(&mut watched.worker));
    }
}

impl Scheduler {
    /// Adds a worker to the watch queue unless it is already there.
    pub(crate) fn watch(&mut self, w: WorkerIndex) {
        let health = &mut self.workers[w].health;
        if !std::mem::replace(&mut health.is_watched, true) {
            self.watch_queue.push(w, self.now);
        }
    }

    /// The next worker with attempts in flight whose last check is at least `span` microseconds
    /// ago.
    fn next_due_for_check(&mut self, span: f64) -> Option<WorkerIndex> {
        while let Some(w) = self.watch_queue.pop_due(self.now, span) {
            if self.workers[w].in_flight.open > 0 {
                self.watch_queue.push(w, self.now);
                return Some(w);
            }
            self.workers[w].health.is_watched = false;
        }
        None
    }

    /// Records a sign of life from a worker, which ends its backoff unless it is failing.
    pub(super) fn observe_worker(&mut self, w: WorkerIndex) {
        self.include_in_flight(w);
        let worker = &mut self.workers[w];
        let health = &mut worker.health;
        health.unobserved_since = self.now;
        if health.errors < ERROR_THRESHOLD {
            health.backoff.clear();
        }
        worker.load.rounding = self.rng.f64();
    }

    /// Backs off from workers that accept jobs without answering them (crashed, hung or
    /// partitioned) long before the deadlines of those jobs; afterwards only occasional trials are
    /// sent. This cannot be left to worker selection, which does not run while such jobs use up the
    /// limit.
    pub(super) fn detect_unresponsive(&mut self) {
        while let Some(w) = self.next_due_for_check(self.mean_run / 2.0) {
            self.mark_stalled_as_lost(w);
            self.count_overdue_starts(w);
            if self.is_unresponsive(w) {
                // Its jobs would otherwise hold slots of the limit until their deadlines.
                self.exclude_from_in_flight(w);
                if !self.workers[w].health.backoff.is_on_trial() {
                    self.back_off_worker(w);
                }
            }
        }
    }

    /// Whether a worker with attempts in flight has exceeded its response timeout.
    fn is_unresponsive(&self, w: WorkerIndex) -> bool {
        let worker = &self.workers[w];
        let timeout = if worker.in_flight.unstarted > 0 {
            RESPONSE_TIMEOUT_RUNS
        } else {
            RUNNING_RESPONSE_TIMEOUT_RUNS
        };
        self.micros_since(worker.health.unobserved_since) > timeout * self.mean_run
    }

    /// Counts attempts that should have started by now as late starts. Otherwise a queue would be
    /// noticed only when the jobs at its end start.
    fn count_overdue_starts(&mut self, w: WorkerIndex) {
        for attempt in self.workers[w].in_flight.attempts.clone() {
            let Some(request) = self.requests.get(&attempt.request) else {
                continue;
            };
            if request.is_answered {
                continue;
            }
            let slots = request.slots;
            let record = &request.attempts[attempt.number];
            let waited = self.micros_since(record.sent);
            let is_overdue = record.started.is_none()
                && waited > LATE_START_SHARE * self.slack(request.class)
                && self.mark_late(attempt);
            if is_overdue {
                self.observe_wait(w, waited);
                self.mark_full(w);
                self.decrease_limit(slots);
            }
        }
    }

    /// Begins a backoff from an unresponsive, failing or draining worker.
    pub(super) fn back_off_worker(&mut self, w: WorkerIndex) {
        let span = RESPONSE_TIMEOUT_RUNS * self.mean_run;
        let backoff = &mut self.workers[w].health.backoff;
        backoff.begin(self.now, span, &mut self.rng);
    }

    /// Handles a manual exclusion or its end. A worker that is included again loses its backoff and
    /// load estimate. Jobs at an excluded worker are left to finish.
    pub(super) fn on_exclusion(&mut self, worker: WorkerId, is_excluded: bool) {
        let has_changed = if is_excluded {
            self.manual_exclusions.insert(worker)
        } else {
            self.manual_exclusions.remove(&worker)
        };
        if !has_changed {
            return;
        }
        let Some(w) = self.workers.find(worker) else {
            return;
        };
        if !is_excluded {
            let worker = &mut self.workers[w];
            worker.health.backoff.clear();
            worker.load.observed_at = None;
        }
        self.refill_pools();
    }
}
