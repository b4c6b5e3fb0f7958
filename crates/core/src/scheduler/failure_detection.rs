//! Failure detection: workers that are unresponsive or failing, and the backoff from them.
//!
//! It owns the patience with a worker, the doubling backoff, and what a manual exclusion changes. It must
//! never end a request: its attempts there are left to their deadlines.

use std::collections::VecDeque;

use super::attempts::LATE_START_SHARE;
use crate::interface::WorkerId;
use crate::scheduler::Scheduler;
use crate::state::{Moves, WorkerIndex};
use crate::time::{Instant, Span};

/// Mean running times without an observation until a worker with jobs to start is unresponsive.
pub(super) const RESPONSE_TIMEOUT_RUNS: f64 = 1.5;
/// The same for a worker whose jobs have all started: they may run for some time.
const RUNNING_RESPONSE_TIMEOUT_RUNS: f64 = 4.0;
/// The backoff from an unresponsive or failing worker doubles this often at most.
const MAX_DOUBLINGS: u32 = 4;
/// The least factor of the jitter of a backoff, whose mean is 1.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// How much the factor may be above the least.
const JITTER_RANGE: f64 = 0.5;
/// Errors in a row from which on a worker is backed off from as a failing one.
pub(super) const ERROR_THRESHOLD: u32 = 2;

/// The backoff from one worker: until when nothing is sent there, doubling with each trial in vain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    /// Nothing is sent there before; [`Instant::ZERO`]: it may get jobs at any time.
    until: Instant,
    /// Backoffs since the worker last answered: what is sent there after one is a trial.
    trials: u32,
}

impl Backoff {
    /// A backoff that another process has begun.
    pub(crate) fn new(until: Instant, trials: u32) -> Self {
        Backoff { until, trials }
    }

    /// Until when nothing is sent there.
    pub(crate) fn until(&self) -> Instant {
        self.until
    }

    /// How many backoffs there were since the worker last answered.
    pub(crate) fn trials(&self) -> u32 {
        self.trials
    }

    /// Whether something may be sent there, be it as a trial.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }

    /// Whether what is sent there is a trial.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.trials > 0
    }

    /// Ends it: the worker has answered, has started anew or is taken back by hand.
    pub(crate) fn clear(&mut self) {
        *self = Backoff::default();
    }

    /// Takes a trial back that has not reached the worker: the next one may be sent at once.
    pub(crate) fn take_back_trial(&mut self, now: Instant) {
        self.trials = self.trials.saturating_sub(1);
        self.until = now;
    }

    /// Begins a backoff of a span, jittered and doubled for each one before.
    pub(crate) fn begin(&mut self, now: Instant, span: f64, rng: &mut fastrand::Rng) {
        let jittered = span * (MIN_JITTER_FACTOR + JITTER_RANGE * rng.f64());
        let doublings = self.trials.min(MAX_DOUBLINGS);
        let doubled = jittered * f64::from(1u32 << doublings);
        self.until = now + Span::from_micros_f64(doubled);
        self.trials += 1;
    }
}

/// A worker in the watch queue.
struct Watched {
    worker: WorkerIndex,
    /// When it was last looked at.
    checked_at: Instant,
}

/// The workers with own attempts, in the order in which they were last looked at.
#[derive(Default)]
pub(crate) struct WatchQueue {
    queue: VecDeque<Watched>,
}

impl WatchQueue {
    fn push(&mut self, worker: WorkerIndex, checked_at: Instant) {
        self.queue.push_back(Watched { worker, checked_at });
    }

    /// Takes out the first worker, unless it was looked at within a span, in microseconds.
    fn pop_due(&mut self, now: Instant, span: f64) -> Option<WorkerIndex> {
        let first = self.queue.front()?;
        let elapsed = now.saturating_since(first.checked_at).as_micros_f64();
        if elapsed < span.max(1.0) {
            return None;
        }
        self.queue.pop_front().map(|watched| watched.worker)
    }

    /// Forgets the workers that are not known any more.
    pub(crate) fn retain(&mut self, moves: &Moves) {
        self.queue
            .retain_mut(|watched| moves.apply(&mut watched.worker));
    }
}

impl Scheduler {
    /// Has a worker with own attempts looked at from now on.
    pub(crate) fn watch(&mut self, w: WorkerIndex) {
        let health = &mut self.workers[w].health;
        if !std::mem::replace(&mut health.is_watched, true) {
            self.watch_queue.push(w, self.now);
        }
    }

    /// The next worker with own attempts that was not looked at for a span, in microseconds.
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

    /// A worker has shown that it is alive: its backoff is over, unless it fails.
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

    /// Prevents waiting for workers that take jobs and answer none (vanished, hung, cut off): no sends long
    /// before a deadline, then sparing trials. Not in the selection: with the limit full of such jobs nobody
    /// is drawn.
    pub(super) fn detect_unresponsive(&mut self) {
        while let Some(w) = self.next_due_for_check(self.mean_run / 2.0) {
            self.lose_without_progress(w);
            self.count_overdue_starts(w);
            if self.is_unresponsive(w) {
                // Its jobs would occupy the limit's slots until their deadlines.
                self.exclude_from_in_flight(w);
                if !self.workers[w].health.backoff.is_on_trial() {
                    self.back_off_worker(w);
                }
            }
        }
    }

    /// Whether a worker with own attempts was not observed for too long.
    fn is_unresponsive(&self, w: WorkerIndex) -> bool {
        let worker = &self.workers[w];
        let timeout = if worker.in_flight.unstarted > 0 {
            RESPONSE_TIMEOUT_RUNS
        } else {
            RUNNING_RESPONSE_TIMEOUT_RUNS
        };
        self.since(worker.health.unobserved_since) > timeout * self.mean_run
    }

    /// Prevents observing a queue only once its end is reached: what should have started counts as
    /// a late start at once.
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
            let waited = self.since(record.sent);
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

    /// Operators exclude a worker, or include it again. What was bad of a worker before is void once it is
    /// used again; what waits at it now is left to finish.
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
