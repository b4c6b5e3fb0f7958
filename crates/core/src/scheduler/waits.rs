//! Tracks how long this scheduler's jobs recently waited to start at each worker and in each zone.
//!
//! Worker selection reads the result as a penalty in slots. A wait loses weight with time, so that
//! a worker avoided for its queue is tried again.

use rustc_hash::FxHashMap;

use crate::scheduler::Scheduler;
use crate::state::{Wait, WorkerIndex, Zone};
use crate::time::Instant;

/// Weight of a new observation in the share of late starts and in the wait of a zone.
pub(super) const FAST_LEARNING_RATE: f64 = 0.15;
/// Mean running times for which the wait of a worker remains valid, as queues drain and the worker
/// must be tried again. Where contacts are rarer than that, the mean time between two contacts is
/// added.
const WAIT_LIFETIME_RUNS: f64 = 8.0;
/// Upper bound of that addition, in microseconds: about as long as faults last.
const MAX_CONTACT_GAP_MICROS: f64 = 8e6;
/// Penalty, in slots, per mean running time that jobs recently waited at a worker. It makes a late
/// start outweigh the cost of another zone.
const SLOTS_PER_WAIT: f64 = 12.0;
/// Weight of a new observation in the wait of a worker, which reflects the last few.
const WAIT_LEARNING_RATE: f64 = 0.5;

/// The recent waits of this scheduler's jobs in each zone.
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
    /// The validity of a wait observed at some time: 1 if new, 0 if long ago. `workers` is the
    /// number of workers that this scheduler's jobs are spread over.
    pub(super) fn wait_freshness(&self, observed_at: Instant, workers: usize) -> f64 {
        let contact_gap = (workers as f64 / self.rates.arrivals.last).min(MAX_CONTACT_GAP_MICROS);
        (-self.micros_since(observed_at) / (WAIT_LIFETIME_RUNS * self.mean_run + contact_gap)).exp()
    }

    /// The penalty of a worker for recent waits, in slots. The wait in its zone is used to the
    /// extent that none was observed at the worker itself. Prevents jobs from staying in a zone
    /// that other schedulers fill or that is cut off, which the slots in flight of this scheduler
    /// do not show.
    pub(super) fn wait_penalty(&self, w: WorkerIndex) -> f64 {
        let worker = &self.workers[w];
        let freshness = self.wait_freshness(worker.wait.observed_at, self.pools.live.len());
        SLOTS_PER_WAIT * freshness * worker.wait.mean / self.mean_run
            + (1.0 - freshness) * self.zone_wait_penalty(worker.listing.zone)
    }

    /// The penalty of a zone for recent waits, in slots.
    pub(super) fn zone_wait_penalty(&self, zone: Zone) -> f64 {
        let wait = self.zone_waits.of(zone);
        let mean = self.wait_freshness(wait.observed_at, 0) * wait.mean;
        SLOTS_PER_WAIT * mean / self.mean_run
    }

    /// Records how long a job waited, in microseconds, for the worker and its zone.
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
