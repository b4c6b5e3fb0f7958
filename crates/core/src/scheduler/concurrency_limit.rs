//! Limits how many slots this scheduler may have in flight at all workers together.
//!
//! The limit grows additively on prompt starts and shrinks on late ones. It depends only on totals,
//! never on a single worker or request.

use super::waits::FAST_LEARNING_RATE;
use crate::scheduler::Scheduler;
use crate::time::{Instant, Span};

/// Initial limit, in slots per listed worker. Deliberately large: the first late starts halve it
/// repeatedly.
pub(super) const INITIAL_SLOTS_PER_WORKER: f64 = 8.0;
/// The initial limit allows for this multiple of a scheduler's even share of the workers, as some
/// schedulers receive several times the mean load.
const INITIAL_SKEW: f64 = 16.0;
/// Increase of the limit per slot of a prompt start. The limit is in equilibrium when a quarter of
/// the starts are late.
const INCREASE_STEP: f64 = 0.1;
/// Decrease of the limit per slot of a late start or an overload rejection.
const DECREASE_STEP: f64 = 0.3;
/// Lower bound of the factor that is applied to the limit once per feedback round.
const DECREASE_FACTOR: f64 = 0.5;
/// Slots by which the limit may exceed twice the slots in flight. At low rates, jobs arrive in
/// bursts of several times the mean.
const HEADROOM_SLOTS: f64 = 4.0;
/// Lower bound of the limit when little arrives, in slots; it rises to one slot with the arrivals.
/// Keeps feedback coming at any scale.
const MIN_LIMIT_SLOTS: f64 = 0.25;

/// The recent demand on this scheduler, which determines the minimum limit.
struct Demand {
    /// Slots that were running recently, without those waiting to start.
    utilisation: f64,
    /// Slots that would be running if all arrivals were served.
    arrivals: f64,
}

impl Demand {
    /// The lower bound of the limit, whatever the feedback: the utilisation plus one standard
    /// deviation of a Poisson process, if that much arrives. The arrivals alone cannot be the
    /// bound, because with repeats they may exceed the capacity of all workers, and queues outlast
    /// a burst.
    fn min_limit(&self) -> f64 {
        let with_deviation = self.utilisation + self.utilisation.sqrt();
        self.utilisation
            .max(with_deviation.min(self.arrivals))
            .max(self.arrivals.clamp(MIN_LIMIT_SLOTS, 1.0))
    }

    /// The target of a round's decrease: the utilisation plus two standard deviations, and one
    /// slot.
    fn decrease_floor(&self) -> f64 {
        self.utilisation + 2.0 * self.utilisation.sqrt() + 1.0
    }
}

/// The limit on slots in flight, adapted by additive increase and multiplicative decrease.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// In slots; 0 until the first list arrives.
    limit: f64,
    /// A random fraction added before the limit is rounded down. Without it, a limit below one job
    /// would never allow a send.
    rounding: f64,
    /// Moving average of the share of late starts.
    late_share: f64,
    /// End of the current feedback round. The limit is halved at most once per round.
    round_until: Instant,
}

impl ConcurrencyLimit {
    /// Sets the initial limit from the number of active workers and of schedulers that share them,
    /// unless a limit is already set.
    pub(super) fn initialize(&mut self, workers: usize, schedulers: u32) {
        if self.limit == 0.0 && workers > 0 {
            let share = (INITIAL_SKEW / f64::from(schedulers)).min(1.0);
            self.limit = (INITIAL_SLOTS_PER_WORKER * share * workers as f64).max(HEADROOM_SLOTS);
        }
    }

    /// The whole number of slots that may be in flight.
    fn allowed_slots(&self, demand: &Demand) -> f64 {
        (self.limit.max(demand.min_limit()) + self.rounding).floor()
    }

    /// Draws a new rounding fraction once per round while nothing is in flight. Otherwise a limit
    /// below one job might never allow a send.
    fn redraw_rounding(&mut self, now: Instant, round: f64, rng: &mut fastrand::Rng) {
        if now >= self.round_until {
            self.rounding = rng.f64();
            self.round_until = now + Span::from_micros_f64(round);
        }
    }

    /// Raises the limit for a prompt start, if the limit is being used.
    fn increase(&mut self, slots: f64, in_flight: f64, rng: &mut fastrand::Rng) {
        self.late_share -= FAST_LEARNING_RATE * self.late_share;
        if 2.0 * (in_flight + slots) + HEADROOM_SLOTS > self.limit {
            self.limit += INCREASE_STEP * slots * (0.5 + rng.f64());
        }
    }

    /// Lowers the limit by one step for each late start. If late starts are more frequent than in
    /// equilibrium, it also moves the limit towards the recent utilisation, at most by half and
    /// once per feedback round of jittered length. The slots in flight are not the target because
    /// they include queued jobs.
    fn decrease(
        &mut self,
        slots: f64,
        demand: &Demand,
        now: Instant,
        round: f64,
        rng: &mut fastrand::Rng,
    ) {
        self.late_share += FAST_LEARNING_RATE * (1.0 - self.late_share);
        let equilibrium_share = INCREASE_STEP / (INCREASE_STEP + DECREASE_STEP);
        if now >= self.round_until && self.late_share > equilibrium_share {
            self.round_until = now + Span::from_micros_f64(round * (0.75 + 0.5 * rng.f64()));
            let halved = self.limit * DECREASE_FACTOR;
            self.limit = self.limit.min(demand.decrease_floor().max(halved));
            self.rounding = rng.f64();
        }
        self.limit = (self.limit - DECREASE_STEP * slots).max(demand.min_limit());
    }
}

impl Scheduler {
    /// The current limit, in slots.
    pub(crate) fn concurrency_limit(&self) -> f64 {
        self.concurrency_limit.limit
    }

    /// Takes over a limit learned by another process.
    pub(crate) fn resume_concurrency_limit(&mut self, limit: f64) {
        self.concurrency_limit.limit = limit;
    }

    /// Records that a job with this many slots started in time.
    pub(super) fn increase_limit(&mut self, slots: f64) {
        self.concurrency_limit
            .increase(slots, self.in_flight.slots, &mut self.rng);
    }

    /// Records that a job with this many slots was declined or starts too late.
    pub(super) fn decrease_limit(&mut self, slots: f64) {
        let demand = self.demand();
        self.concurrency_limit
            .decrease(slots, &demand, self.now, self.mean_run, &mut self.rng);
    }

    /// The whole number of slots that may be in flight, not counting those at unresponsive workers.
    pub(super) fn allowed_slots(&mut self) -> f64 {
        if self.in_flight.slots == 0.0 {
            self.concurrency_limit
                .redraw_rounding(self.now, self.mean_run, &mut self.rng);
        }
        self.concurrency_limit.allowed_slots(&self.demand())
    }

    fn demand(&self) -> Demand {
        Demand {
            utilisation: self.rates.utilisation(self.now, self.mean_run),
            arrivals: self.rates.arrivals.last * self.mean_run,
        }
    }
}
