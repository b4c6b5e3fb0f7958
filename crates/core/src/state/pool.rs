//! Workers to draw from, each with its chance.
//!
//! It owns the drawing and the chances as last counted. It must never say who may be drawn, or how likely.

use super::Dispatcher;

/// Workers, and the sums of their chances up to each.
#[derive(Default)]
pub(crate) struct Pool {
    pub workers: Vec<usize>,
    up_to: Vec<f64>,
}

impl Pool {
    /// Of these workers; chances are counted later.
    pub(super) fn of(workers: Vec<usize>) -> Self {
        Pool { workers, up_to: Vec::new() }
    }

    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// One at random, by chance.
    pub(crate) fn draw(&self, rng: &mut fastrand::Rng) -> Option<usize> {
        let at = rng.f64() * self.up_to.last()?;
        let found = self.up_to.partition_point(|up_to| *up_to <= at);
        self.workers.get(found.min(self.workers.len() - 1)).copied()
    }

    fn weigh(&mut self, chance: impl Fn(usize) -> f64) {
        let mut sum = 0.0;
        let up_to = |&w: &usize| {
            sum += chance(w);
            sum
        };
        self.up_to = self.workers.iter().map(up_to).collect();
    }
}

impl Dispatcher {
    /// Counts the chances anew: each worker by its size, as what is believed of kinds has changed since.
    /// Cold ones are drawn like others, and kept by their budgets.
    pub(crate) fn weigh_pools(&mut self) {
        self.weighed_at = self.now;
        let sizes: Vec<f64> = (0..self.workers.len()).map(|w| self.raw_size(w)).collect();
        let sum: f64 = self.live.workers.iter().map(|&w| sizes[w]).sum();
        self.size = if sum > 0.0 { sum / self.live.len() as f64 } else { 1.0 };
        let pools = self.live_by_kind.values_mut().chain([&mut self.live, &mut self.near]);
        pools.for_each(|pool| pool.weigh(|w| sizes[w]));
    }
}
