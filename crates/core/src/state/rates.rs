//! Exponentially decaying rates of arrivals, departures and completed work, over all workers.

use crate::time::Instant;

/// Time constant of the departure rate, in mean running times.
const DEPARTURE_WINDOW_RUNS: f64 = 4.0;
/// Time constant of the rates of arrivals and completed work, in mean running times. It spans some dozens of
/// jobs, even in a large fleet.
const ARRIVAL_WINDOW_RUNS: f64 = 16.0;
/// Lower bound of the observed share of a window, by which counts are divided.
const MIN_OBSERVED_SHARE: f64 = 0.2;

/// A rate's count and observed share, decayed to a point in time.
struct Decayed {
    count: f64,
    observed_share: f64,
}

/// The recent amount per microsecond, as an exponentially decaying count.
///
/// Until the window has passed since the first count, the count is divided by the share of the window that
/// was observed. Otherwise a scheduler that has just started would see next to no arrivals and completed work
/// for seconds, and where most schedulers have restarted, all of them together would send next to nothing to
/// cold workers.
#[derive(Default)]
pub(crate) struct Rate {
    /// The rate at the last count.
    pub last: f64,
    /// The decaying amount divided by the window, as of `counted_at`.
    count: f64,
    /// The share of the window that was observed, approaching 1.
    observed_share: f64,
    counted_at: Instant,
}

impl Rate {
    fn decayed(&self, now: Instant, window: f64) -> Decayed {
        let left = (-(now.saturating_since(self.counted_at).as_micros_f64()) / window).exp();
        let observed_share = if self.counted_at == Instant::ZERO {
            0.0
        } else {
            1.0 - (1.0 - self.observed_share) * left
        };
        Decayed {
            count: self.count * left,
            observed_share,
        }
    }

    fn add(&mut self, now: Instant, amount: f64, window: f64) {
        let decayed = self.decayed(now, window);
        let count = decayed.count + amount / window;
        *self = Rate {
            last: count / decayed.observed_share.max(MIN_OBSERVED_SHARE),
            count,
            observed_share: decayed.observed_share,
            counted_at: now,
        };
    }

    fn at(&self, now: Instant, window: f64, min_observed_share: f64) -> f64 {
        let decayed = self.decayed(now, window);
        decayed.count / decayed.observed_share.max(min_observed_share)
    }
}

/// Completed work, in slot-microseconds.
pub(crate) struct CompletedWork {
    /// From the measured running time.
    pub measured: f64,
    /// From the estimated running time of the job's class. Costs charged to slow-start budgets are estimated
    /// in the same way, so that the number of jobs in a budget does not depend on how accurate the estimate
    /// is.
    pub estimated: f64,
}

/// The rates of a scheduler. The windows scale with the mean running time, which callers pass in
/// microseconds.
#[derive(Default)]
pub(crate) struct Rates {
    /// Requests that arrive.
    pub arrivals: Rate,
    /// Attempts that are sent.
    pub departures: Rate,
    /// Completed work, in slots. Time that jobs spent waiting is not included.
    work: Rate,
    /// Completed work per warm worker at the time of its completion.
    work_per_warm_worker: Rate,
}

impl Rates {
    /// Counts a request that arrives.
    pub(crate) fn count_arrival(&mut self, now: Instant, mean_run: f64) {
        self.arrivals.add(now, 1.0, ARRIVAL_WINDOW_RUNS * mean_run);
    }

    /// Counts an attempt that is sent.
    pub(crate) fn count_departure(&mut self, now: Instant, mean_run: f64) {
        self.departures
            .add(now, 1.0, DEPARTURE_WINDOW_RUNS * mean_run);
    }

    /// Counts completed work. `warm_capacity` is the capacity of the live workers in units of a warm worker.
    /// The work is divided by it on completion and not when the rate is read: when half of a fleet is
    /// replaced, the remaining workers do no more than before.
    pub(crate) fn count_work(
        &mut self,
        now: Instant,
        mean_run: f64,
        work: &CompletedWork,
        warm_capacity: f64,
    ) {
        let window = ARRIVAL_WINDOW_RUNS * mean_run;
        self.work.add(now, work.measured, window);
        let per_worker = work.estimated / warm_capacity.max(1.0);
        self.work_per_warm_worker.add(now, per_worker, window);
    }

    /// Slots that a warm worker has recently kept busy for this scheduler, on average.
    pub(crate) fn throughput_per_worker(&self, now: Instant, mean_run: f64) -> f64 {
        let window = ARRIVAL_WINDOW_RUNS * mean_run;
        self.work_per_warm_worker
            .at(now, window, MIN_OBSERVED_SHARE)
    }

    /// Slots that have recently been busy for this scheduler. After a start the observed time counts as at
    /// least one mean running time; with the larger minimum of the other rates, the concurrency limit, which
    /// has this as its lower bound, would fall to a fraction of the busy slots.
    pub(crate) fn utilisation(&self, now: Instant, mean_run: f64) -> f64 {
        let window = ARRIVAL_WINDOW_RUNS * mean_run;
        self.work.at(now, window, 1.0 / ARRIVAL_WINDOW_RUNS)
    }
}
