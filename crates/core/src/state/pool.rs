//! Pools of workers for weighted random draws.
//!
//! A worker is drawn with a probability proportional to its size, its estimated relative capacity. Sizes are
//! computed when the pools are refilled, and then rescaled for a whole machine kind at a time.

use rustc_hash::FxHashMap;

use super::{Scheduler, WorkerIndex};
use crate::time::Instant;

/// The workers of one machine kind in a pool. A new estimate for a kind changes the sizes of all its workers
/// by the same factor, which is stored once here instead of in each size.
struct Group {
    kind: u32,
    workers: Vec<WorkerIndex>,
    /// For each worker the sum of the sizes up to and including it, as of the last refill.
    cumulative_sizes: Vec<f64>,
    /// The size of the first worker as of the last refill.
    first_size: f64,
    /// The factor by which all sizes have changed since the last refill.
    scale: f64,
}

impl Group {
    fn push(&mut self, w: WorkerIndex, size: f64) {
        let before = match self.cumulative_sizes.last() {
            Some(before) => *before,
            None => {
                self.first_size = size;
                0.0
            }
        };
        self.workers.push(w);
        self.cumulative_sizes.push(before + size);
    }

    /// The worker at a point of the scaled cumulative sizes.
    fn worker_at(&self, point: f64) -> Option<WorkerIndex> {
        let found = self
            .cumulative_sizes
            .partition_point(|sum| self.scale * sum <= point);
        self.workers.get(found.min(self.workers.len() - 1)).copied()
    }

    fn sum(&self) -> f64 {
        self.scale * self.cumulative_sizes.last().copied().unwrap_or_default()
    }
}

/// A set of workers, both in ascending order and grouped by machine kind.
#[derive(Default)]
pub(crate) struct Pool {
    pub workers: Vec<WorkerIndex>,
    groups: Vec<Group>,
}

impl Pool {
    /// Removes all workers but keeps the allocated memory for the next refill.
    fn clear(&mut self) {
        self.workers.clear();
        for group in &mut self.groups {
            group.workers.clear();
            group.cumulative_sizes.clear();
        }
    }

    /// Adds a worker with its size. Workers must be added in ascending order.
    fn push(&mut self, w: WorkerIndex, kind: u32, size: f64) {
        self.workers.push(w);
        match self.groups.iter_mut().find(|group| group.kind == kind) {
            Some(group) => group.push(w, size),
            None => {
                self.groups.push(Group {
                    kind,
                    workers: vec![w],
                    cumulative_sizes: vec![size],
                    first_size: size,
                    scale: 1.0,
                });
            }
        }
    }

    /// Drops the groups of machine kinds without workers.
    fn drop_empty_groups(&mut self) {
        self.groups.retain(|group| !group.workers.is_empty());
    }

    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    pub(super) fn contains(&self, w: WorkerIndex) -> bool {
        self.workers.binary_search(&w).is_ok()
    }

    /// Draws a worker at random, with a probability proportional to its size.
    pub(crate) fn draw(&self, rng: &mut fastrand::Rng) -> Option<WorkerIndex> {
        let mut point = rng.f64() * self.sum();
        let (last, others) = self.groups.split_last()?;
        for group in others {
            if point < group.sum() {
                return group.worker_at(point);
            }
            point -= group.sum();
        }
        last.worker_at(point)
    }

    /// The sum of all sizes.
    fn sum(&self) -> f64 {
        self.groups.iter().map(Group::sum).sum()
    }

    /// Rescales each group to the current size of its first worker.
    fn rescale(&mut self, size: impl Fn(WorkerIndex) -> f64) {
        for group in &mut self.groups {
            group.scale = size(group.workers[0]) / group.first_size;
        }
    }
}

/// The pools from which worker selection draws.
pub(crate) struct WorkerPools {
    /// The workers that are active and not manually excluded.
    pub live: Pool,
    /// The live workers in this scheduler's zone.
    pub own_zone: Pool,
    /// The live workers by machine kind.
    pub by_kind: FxHashMap<u32, Pool>,
    /// The mean size of the live workers.
    pub mean_size: f64,
    /// The capacity of the live workers in units of a warm worker: the sum of their warm-up progress.
    pub warm_capacity: f64,
    /// When the sizes were last rescaled.
    rescaled_at: Instant,
}

impl Default for WorkerPools {
    fn default() -> Self {
        WorkerPools {
            live: Pool::default(),
            own_zone: Pool::default(),
            by_kind: FxHashMap::default(),
            mean_size: 1.0,
            warm_capacity: 0.0,
            rescaled_at: Instant::ZERO,
        }
    }
}

impl WorkerPools {
    fn all(&mut self) -> impl Iterator<Item = &mut Pool> {
        let pools = self.by_kind.values_mut();
        pools.chain([&mut self.live, &mut self.own_zone])
    }

    /// Removes all workers but keeps the allocated memory for the next refill.
    fn clear(&mut self) {
        for pool in self.all() {
            pool.clear();
        }
        self.warm_capacity = 0.0;
    }

    /// Drops the pools and groups of machine kinds without workers.
    fn drop_empty(&mut self) {
        self.by_kind.retain(|_, pool| !pool.is_empty());
        self.live.drop_empty_groups();
        self.own_zone.drop_empty_groups();
    }

    /// Rescales all pools to the current sizes, and recomputes the mean size.
    fn rescale(&mut self, now: Instant, size: impl Fn(WorkerIndex) -> f64) {
        self.rescaled_at = now;
        for pool in self.all() {
            pool.rescale(&size);
        }
        let sum = self.live.sum();
        self.mean_size = if sum > 0.0 {
            sum / self.live.len() as f64
        } else {
            1.0
        };
    }
}

impl Scheduler {
    /// Refills all pools with the usable workers.
    pub(crate) fn refill_pools(&mut self) {
        self.remove_inactive_workers();
        let mut pools = std::mem::take(&mut self.pools);
        pools.clear();
        for w in self.workers.indices() {
            if !self.is_usable(w) {
                continue;
            }
            let listing = &self.workers[w].listing;
            let kind = listing.kind;
            let size = self.capacity(w);
            pools.live.push(w, kind, size);
            pools.by_kind.entry(kind).or_default().push(w, kind, size);
            if listing.zone == self.settings.own_zone() {
                pools.own_zone.push(w, kind, size);
            }
            pools.warm_capacity += self.warm_up_progress(w);
        }
        pools.drop_empty();
        pools.rescale(self.now, |w| self.capacity(w));
        self.pools = pools;
    }

    /// Rescales the pools once per mean running time to follow the estimates for machine kinds. Workers that
    /// warm up keep their full size: their slow-start budgets limit what they get.
    pub(crate) fn rescale_pools(&mut self) {
        if self.micros_since(self.pools.rescaled_at) > self.mean_run {
            let mut pools = std::mem::take(&mut self.pools);
            pools.rescale(self.now, |w| self.capacity(w));
            self.pools = pools;
        }
    }

    /// Recomputes the capacity of the live workers while some of them warm up.
    pub(crate) fn update_warm_capacity(&mut self) {
        let live = &self.pools.live;
        if self.pools.warm_capacity < live.len() as f64 {
            let progress = live.workers.iter().map(|&w| self.warm_up_progress(w));
            self.pools.warm_capacity = progress.sum();
        }
    }
}
