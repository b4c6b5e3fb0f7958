//! How long own jobs waited at workers and in zones, lately: what the pick is to make of it.
//!
//! It owns what is learned of waits, and for how long that counts. It must never pick.

use rustc_hash::FxHashMap;

use crate::scheduler::Scheduler;
use crate::state::{Wait, WorkerIndex, Zone};
use crate::time::Instant;

/// Weight of a start in the share of late ones, and in its zone's wait.
pub(super) const FAST_LEARNING_RATE: f64 = 0.15;
/// Mean running times for which a worker's wait counts: it passes, and is tried again. Where it is contacted
/// less often than that, until it is contacted again, but no longer than faults last.
const WAIT_LIFETIME_RUNS: f64 = 8.0;
const MAX_CONTACT_GAP_MICROS: f64 = 8e6;
/// Slots that a worker counts busier for each mean running time that own jobs waited there lately: a
/// late start outweighs a crossing. The last few count.
const SLOTS_PER_WAIT: f64 = 12.0;
const WAIT_LEARNING_RATE: f64 = 0.5;

/// How long own jobs waited in each zone, lately.
#[derive(Default)]
pub(super) struct ZoneWaits {
    waits: FxHashMap<Zone, Wait>,
}

impl ZoneWaits {
    fn of(&self, zone: Zone) -> Wait {
        self.waits.get(&zone).copied().unwrap_or_default()
    }
}

impl Scheduler {
    /// How far a wait that was learned then of one among so many still holds: 1 just learned, 0 long ago.
    pub(super) fn wait_freshness(&self, observed_at: Instant, workers: usize) -> f64 {
        let contact_gap = (workers as f64 / self.rates.arrivals.last).min(MAX_CONTACT_GAP_MICROS);
        (-self.since(observed_at) / (WAIT_LIFETIME_RUNS * self.mean_run + contact_gap)).exp()
    }

    /// What own jobs waited there lately, in slots: at the worker, or where none was there, in its zone.
    /// Guards against staying in a zone that others fill, or that is lost: own counts show nothing of it.
    pub(super) fn wait_penalty(&self, w: WorkerIndex) -> f64 {
        let worker = &self.workers[w];
        let freshness = self.wait_freshness(worker.wait.observed_at, self.pools.live.len());
        SLOTS_PER_WAIT * freshness * worker.wait.mean / self.mean_run
            + (1.0 - freshness) * self.zone_wait_penalty(worker.listing.zone)
    }

    pub(super) fn zone_wait_penalty(&self, zone: Zone) -> f64 {
        let wait = self.zone_waits.of(zone);
        let mean = self.wait_freshness(wait.observed_at, 0) * wait.mean;
        SLOTS_PER_WAIT * mean / self.mean_run
    }

    pub(super) fn observe_wait(&mut self, w: WorkerIndex, waited: f64) {
        let wait = self.workers[w].wait;
        let previous = self.wait_freshness(wait.observed_at, self.pools.live.len()) * wait.mean;
        self.workers[w].wait = Wait {
            mean: previous + WAIT_LEARNING_RATE * (waited - previous),
            observed_at: self.now,
        };
        let zone = self.workers[w].listing.zone;
        let wait = self.zone_waits.of(zone);
        let previous = self.wait_freshness(wait.observed_at, 0) * wait.mean;
        let wait = Wait {
            mean: previous + FAST_LEARNING_RATE * (waited - previous),
            observed_at: self.now,
        };
        self.zone_waits.waits.insert(zone, wait);
    }
}
