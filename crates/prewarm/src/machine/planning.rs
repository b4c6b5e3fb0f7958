//! Planning: when each kind is due, and which workers are kept warm for it.

use super::{Prewarm, Target};
use crate::gaps::AgeRange;
use crate::keep_alive::{Demand, Rejection};
use crate::slots::SLOT;
use crate::{Config, Micros, SECOND};

/// The time constant of the moving mean of the arrival rate, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 60.0;
/// One call covers the length of an age range divided by this, within the configured limits.
const CALLS_PER_RANGE: u64 = 8;

fn micros(seconds: f64) -> Micros {
    (seconds * SECOND as f64) as Micros
}

/// The keep-alive to demand within one age range.
struct Plan {
    /// When the worker must start loading.
    from: Micros,
    /// When the demanded keep-alive ends.
    until: Micros,
    /// The longest keep-alive of one call.
    length: Micros,
}

impl Plan {
    /// `last` is the time of the level's last arrival.
    fn new(range: AgeRange, last: Micros, now: Micros, config: &Config) -> Plan {
        let lead = config.load_time + SECOND;
        let length = (micros(range.to - range.from) / CALLS_PER_RANGE)
            .clamp(config.min_keep_alive, config.max_keep_alive);
        Plan {
            from: last + micros(range.from).saturating_sub(lead),
            until: (last + micros(range.to)).min(now + length),
            length,
        }
    }

    /// When a keep-alive that ends at `until` is to be renewed.
    fn renewal(&self, until: Micros, now: Micros) -> Micros {
        until.saturating_sub(self.length / 2).max(now + SECOND)
    }
}

impl Prewarm {
    /// Advances the time: closes slots, updates the models, and calls the workers that should be warm.
    pub fn tick(&mut self, now: Micros) {
        for arrivals in self.slots.close(now) {
            let entry = &mut self.kinds[arrivals.kind_index];
            entry
                .model
                .record_arrivals(arrivals.at, SLOT, arrivals.count, &self.config);
            entry.next_plan = 0;
            let since =
                arrivals.at.saturating_sub(entry.rate_updated).max(SLOT) as f64 / SECOND as f64;
            let rate = f64::from(arrivals.count) / since;
            entry.rate += (rate - entry.rate) * (1.0 - (-since / RATE_TIME_CONSTANT_S).exp());
            entry.rate_updated = arrivals.at;
        }
        self.keep_alives.expire(now);
        for kind_index in 0..self.kinds.len() {
            if self.kinds[kind_index].next_plan <= now {
                self.kinds[kind_index].next_plan = self.plan(now, kind_index);
            }
        }
    }

    /// Plans all levels of a kind, and returns when the kind is due again.
    fn plan(&mut self, now: Micros, kind_index: usize) -> Micros {
        let entry = &self.kinds[kind_index];
        let levels = entry.model.levels().min(entry.worker_order.len());
        (0..levels)
            .map(|level| self.plan_level(now, kind_index, level))
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Plans one level of a kind, and returns when the level is due again.
    fn plan_level(&mut self, now: Micros, kind_index: usize, level: usize) -> Micros {
        let on_time_share = self.slots.on_time_share();
        let entry = &mut self.kinds[kind_index];
        let worker_index = entry.worker_order[level];
        let Some(last) = entry.model.last_arrival(level) else {
            return Micros::MAX;
        };
        let age = now.saturating_sub(last);
        let warm_ranges = entry.model.warm_ranges(level, on_time_share, &self.config);
        let Some(range) = warm_ranges.iter().find(|range| age < micros(range.to)) else {
            return Micros::MAX;
        };
        let plan = Plan::new(*range, last, now, &self.config);
        if last + age < plan.from {
            return plan.from;
        }
        let ends_at = self.keep_alives.ends_at(worker_index, kind_index);
        if ends_at >= plan.until.min(now + plan.length / 2 + 1) {
            return plan.renewal(ends_at, now);
        }
        let is_responsible = self.kinds[kind_index].is_responsible;
        let target = Target {
            kind_index,
            worker_index,
        };
        if !self.demand(now, target, plan.until, is_responsible, false) {
            return now + SECOND;
        }
        self.counts.prewarm_calls += u64::from(is_responsible);
        plan.renewal(plan.until, now)
    }

    /// Demands a keep-alive, and returns false if the limits reject it.
    pub(super) fn demand(
        &mut self,
        now: Micros,
        target: Target,
        until: Micros,
        calls_worker: bool,
        is_loaded: bool,
    ) -> bool {
        let demand = Demand {
            kind_index: target.kind_index,
            class: &self.kinds[target.kind_index].kind.class,
            worker_index: target.worker_index,
            until,
            calls_worker,
            is_loaded,
        };
        match self.keep_alives.demand(now, demand) {
            Ok(()) => return true,
            Err(Rejection::OverShare) => self.counts.over_share += 1,
            Err(Rejection::OverBudget) => self.counts.over_budget += 1,
            Err(Rejection::QueueFull) => self.counts.queue_full += 1,
        }
        false
    }
}
