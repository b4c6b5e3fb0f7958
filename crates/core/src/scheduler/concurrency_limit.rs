//! The concurrency limit: how many own slots may be in flight at all workers together.
//!
//! It owns the additive increase on prompt starts and the multiplicative decrease on late ones. It must never
//! look at a single worker or request.

use super::waits::FAST_LEARNING_RATE;
use crate::scheduler::Scheduler;
use crate::time::{Instant, Span};

/// The initial limit: slots for each listed worker. Large on purpose; the first late starts bring it down by
/// halves.
pub(super) const INITIAL_SLOTS_PER_WORKER: f64 = 8.0;
/// The initial limit is for so many times a scheduler's part of the fleet, as some get several times the
/// mean.
const INITIAL_SKEW: f64 = 16.0;
/// What a prompt start adds to the limit, per slot: it rests at a quarter late.
const INCREASE_STEP: f64 = 0.1;
/// What a late start or an overload rejection takes from the limit, per slot.
const DECREASE_STEP: f64 = 0.3;
/// The part of the limit that the decrease of a round leaves at the least.
const DECREASE_FACTOR: f64 = 0.5;
/// Slots by which the limit may lie over twice what is in flight: few jobs come in bursts of several times a
/// mean.
const HEADROOM_SLOTS: f64 = 4.0;
/// The least limit in slots, where little arrives; where more does, one. Keeps feedback coming on any size.
const MIN_LIMIT_SLOTS: f64 = 0.25;

/// The own demand of late, on which the least limit rests.
struct Demand {
    /// Slots that were at work lately, without those that were waiting.
    utilisation: f64,
    /// Slots that would be at work if all arrivals were served.
    arrivals: f64,
}

impl Demand {
    /// The utilisation and its chance, if so much arrives, whatever was learned. No part of the arrivals
    /// alone: they may be more than all workers can do, repeats included, and queues outlive a burst.
    fn min_limit(&self) -> f64 {
        let with_deviation = self.utilisation + self.utilisation.sqrt();
        self.utilisation
            .max(with_deviation.min(self.arrivals))
            .max(self.arrivals.clamp(MIN_LIMIT_SLOTS, 1.0))
    }

    /// What the decrease of a round comes down to: the utilisation and twice its chance.
    fn decrease_floor(&self) -> f64 {
        self.utilisation + 2.0 * self.utilisation.sqrt() + 1.0
    }
}

/// The limit on own slots in flight, in additive increase and multiplicative decrease.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// In slots; 0 until the first list.
    limit: f64,
    /// Added before the limit is rounded down: a limit below one job would otherwise never send.
    rounding: f64,
    /// The share of late starts among the last ones.
    late_share: f64,
    /// Until when a round of feedback lasts: the limit is halved at most once in each.
    round_until: Instant,
}

impl ConcurrencyLimit {
    /// Sets the initial limit for so many active workers, shared by so many schedulers, unless there is one.
    pub(super) fn initialize(&mut self, workers: usize, schedulers: u32) {
        if self.limit == 0.0 && workers > 0 {
            let share = (INITIAL_SKEW / f64::from(schedulers)).min(1.0);
            self.limit = (INITIAL_SLOTS_PER_WORKER * share * workers as f64).max(HEADROOM_SLOTS);
        }
    }

    /// The whole slots that may be in flight now.
    fn allowed_slots(&self, demand: &Demand) -> f64 {
        (self.limit.max(demand.min_limit()) + self.rounding).floor()
    }

    /// Draws the rounding anew once a round, as nothing is in flight: a limit below one job is rounded at
    /// random, or it might never send.
    fn redraw_rounding(&mut self, now: Instant, round: f64, rng: &mut fastrand::Rng) {
        if now >= self.round_until {
            self.rounding = rng.f64();
            self.round_until = now + Span::from_micros_f64(round);
        }
    }

    /// Additive increase, where the limit is in use: a job of so many slots has started in time.
    fn increase(&mut self, slots: f64, in_flight: f64, rng: &mut fastrand::Rng) {
        self.late_share -= FAST_LEARNING_RATE * self.late_share;
        if 2.0 * (in_flight + slots) + HEADROOM_SLOTS > self.limit {
            self.limit += INCREASE_STEP * slots * (0.5 + rng.f64());
        }
    }

    /// Decrease by a step for each late start. Where many are late, a limit above the utilisation, and its
    /// chance, comes down there by half, once in a round of feedback of jittered length: what is in flight
    /// would count queues as well.
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
    /// The limit as learned, in slots.
    pub(crate) fn concurrency_limit(&self) -> f64 {
        self.concurrency_limit.limit
    }

    /// Takes over a limit that another process has learned.
    pub(crate) fn resume_concurrency_limit(&mut self, limit: f64) {
        self.concurrency_limit.limit = limit;
    }

    /// A job of so many slots has started in time.
    pub(super) fn increase_limit(&mut self, slots: f64) {
        self.concurrency_limit
            .increase(slots, self.in_flight.slots, &mut self.rng);
    }

    /// A job of so many slots was declined, or starts too late.
    pub(super) fn decrease_limit(&mut self, slots: f64) {
        let demand = self.demand();
        self.concurrency_limit
            .decrease(slots, &demand, self.now, self.mean_run, &mut self.rng);
    }

    /// The whole slots that may be in flight now, those at unresponsive workers left out.
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
