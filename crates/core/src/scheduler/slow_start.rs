//! Slow start: how much work a worker gets that has just started.
//!
//! It owns the budgets of such workers. It must never hold back a worker that is warm.

use crate::scheduler::Scheduler;
use crate::state::WorkerIndex;
use crate::time::{Instant, Span};

/// Share of a worker's slow-start budget that is used; the rest is for chance, and for workers below the
/// mean.
const USED_BUDGET_SHARE: f64 = 0.8;
/// The part of a span's budget that may be saved up.
const MAX_SAVED_SHARE: f64 = 0.5;
/// Slots that all schedulers together count as the throughput of a warm worker at the least.
const MIN_THROUGHPUT_SLOTS: f64 = 0.5;

/// What may still be sent to a worker that warms up, in slot-microseconds of work.
#[derive(Default)]
pub(crate) struct SlowStartBudget {
    /// Below 0, nothing may be sent until it has grown.
    balance: f64,
    /// As of when.
    updated_at: Instant,
}

impl SlowStartBudget {
    /// Nothing was saved up before this moment. Prevents credit that all schedulers save up while none may
    /// send to the worker.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.updated_at = now;
    }

    /// Begins with a debt, in slot-microseconds.
    pub(crate) fn begin_in_debt(&mut self, debt: f64) {
        self.balance = -debt;
    }

    /// Takes the cost of an attempt, in slot-microseconds.
    pub(crate) fn spend(&mut self, cost: f64) {
        self.balance -= cost;
    }

    /// Gives the cost of an attempt back that has not reached the worker.
    pub(crate) fn give_back(&mut self, cost: f64) {
        self.balance += cost;
    }

    /// Lets it grow since it was last counted, at a rate in slots, but for no more than half a span; whether
    /// anything may be sent.
    fn grow(&mut self, now: Instant, rate: f64, span: Span) -> bool {
        let grown = self.balance + rate * now.saturating_since(self.updated_at).as_micros_f64();
        self.balance = grown.min(MAX_SAVED_SHARE * rate * span.as_micros_f64());
        self.updated_at = now;
        grown > 0.0
    }
}

impl Scheduler {
    /// Prevents pushing over a worker that has just started. Each scheduler sends it the multiple of its own
    /// throughput at a warm worker (work done, not waiting: that is no capacity), in step with the slowest
    /// allowed ramp: if all do, the sum stays under the multiple of what the worker can do. Below one job a
    /// span, a random first debt (see `enter_all`) decides whose job is the one.
    pub(super) fn slow_start_allows(&mut self, w: WorkerIndex) -> bool {
        let capacity_share = self.warm_up_progress(w);
        if capacity_share >= 1.0 {
            return true;
        }
        let settings = &self.settings;
        // Two processes of this scheduler, while both live, each count what they have done themselves.
        let min_throughput = MIN_THROUGHPUT_SLOTS
            / f64::from(settings.schedulers)
            / (1 + self.sharing_processes) as f64;
        // A large one gets no more than the mean: what is believed of sizes is rough.
        let size = self.relative_capacity(w).min(1.0);
        let throughput = self
            .rates
            .throughput_per_worker(self.now, self.mean_run)
            .max(min_throughput);
        let rate = USED_BUDGET_SHARE * settings.fall_multiple * capacity_share * size * throughput;
        let span = settings.fall_span;
        self.workers[w].slow_start.grow(self.now, rate, span)
    }
}
