//! Limits the work sent to a worker that has just started.
//!
//! Each such worker has a budget that grows with its expected capacity. Warm workers are not
//! limited.

use crate::scheduler::Scheduler;
use crate::state::WorkerIndex;
use crate::time::{Instant, Span};

/// Share of the slow-start budget that is used. The rest covers random variation and workers below
/// the mean.
const USED_BUDGET_SHARE: f64 = 0.8;
/// Share of the budget of one `fall_span` that may accumulate.
const MAX_SAVED_SHARE: f64 = 0.5;
/// Lower bound of the throughput assumed for a warm worker, in slots over all schedulers.
const MIN_THROUGHPUT_SLOTS: f64 = 0.5;

/// The work that may still be sent to a worker while it warms up, in slot-microseconds.
#[derive(Default)]
pub(crate) struct SlowStartBudget {
    /// While it is not above 0, nothing is sent.
    balance: f64,
    /// When the balance was last updated.
    updated_at: Instant,
}

impl SlowStartBudget {
    /// Restarts the accumulation of budget now. Otherwise all schedulers would save up budget while
    /// none of them may send to the worker.
    pub(crate) fn restart_accrual(&mut self, now: Instant) {
        self.updated_at = now;
    }

    /// Sets an initial debt, in slot-microseconds.
    pub(crate) fn set_initial_debt(&mut self, debt: f64) {
        self.balance = -debt;
    }

    /// Charges the cost of an attempt, in slot-microseconds.
    pub(crate) fn spend(&mut self, cost: f64) {
        self.balance -= cost;
    }

    /// Refunds the cost of an attempt that did not reach the worker.
    pub(crate) fn refund(&mut self, cost: f64) {
        self.balance += cost;
    }

    /// Adds what has accumulated since the last update at a rate in slots, up to `MAX_SAVED_SHARE`
    /// of a span's budget. Returns whether a job may be sent.
    fn grow(&mut self, now: Instant, rate: f64, span: Span) -> bool {
        let grown = self.balance + rate * now.saturating_since(self.updated_at).as_micros_f64();
        self.balance = grown.min(MAX_SAVED_SHARE * rate * span.as_micros_f64());
        self.updated_at = now;
        grown > 0.0
    }
}

impl Scheduler {
    /// Whether the slow-start budget of a worker permits a send, which protects a worker that has
    /// just started from overload.
    ///
    /// Each scheduler sends such a worker up to a multiple of its own throughput at a warm worker,
    /// scaled by the slowest permitted ramp. If all do so, the sum stays below `fall_multiple`
    /// times the capacity of the worker. Throughput counts completed work only, because waiting
    /// jobs are no capacity. If the budget is below one job per span, the random initial debt set
    /// in `apply_rows` decides which scheduler sends one.
    pub(super) fn slow_start_allows(&mut self, w: WorkerIndex) -> bool {
        let capacity_share = self.warm_up_progress(w);
        if capacity_share >= 1.0 {
            return true;
        }
        let settings = &self.settings;
        // While two processes of this scheduler are alive, each counts only the work it has done
        // itself.
        let min_throughput = MIN_THROUGHPUT_SLOTS
            / f64::from(settings.schedulers)
            / (1 + self.other_processes) as f64;
        // A larger worker gets no more than one of mean capacity, because capacity estimates are
        // imprecise.
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
