//! State transfer from one process of this scheduler to its successor during a hot restart.
//!
//! The two processes have different clocks, so times are handed over as durations and converted here to the
//! clock of this process. Restoring state from a predecessor must not send anything to a worker.

use std::rc::Rc;

use super::{Facade, HandoverState, WarmingWorker, WorkerBackoff};
use crate::interface::Micros;
use crate::names::worker_id;
use crate::scheduler::failure_detection::Backoff;
use crate::state::WorkerStart;
use crate::time::{Instant, Span};

/// The most bytes that the names of departed workers may have in all when they are handed over.
const MAX_DEPARTED_NAME_BYTES: usize = 256 << 10;
/// Upper bound of a worker's remaining backoff that is restored from the predecessor.
const MAX_RESUMED_BACKOFF: Span = Span::from_millis(60_000);

impl Facade {
    /// Sets how many processes of this scheduler are alive, including this one. Each uses its share of the
    /// scheduler's limits.
    pub fn set_process_count(&mut self, processes: usize) {
        self.scheduler.set_process_count(processes);
    }

    /// Returns the estimates and backoffs for the successor.
    #[must_use]
    pub fn handover_state(&self, now: Micros) -> HandoverState {
        let now = Instant::from_micros(now);
        let mut backoffs = Vec::new();
        for (worker, name) in &self.worker_names {
            let Some(backoff) = self.scheduler.backoff_from(*worker) else {
                continue;
            };
            let left = backoff.until().saturating_since(now).as_micros();
            if left > 0 {
                backoffs.push(WorkerBackoff {
                    worker: name.clone(),
                    left,
                    trials: backoff.trials(),
                });
            }
        }
        HandoverState {
            estimates: self.scheduler.estimates(),
            backoffs,
        }
    }

    /// Restores the predecessor's estimates and backoffs. Unusable values, and estimates of other classes, are
    /// ignored.
    pub fn resume_handover_state(&mut self, now: Micros, state: &HandoverState) {
        let now = Instant::from_micros(now);
        self.scheduler.resume_estimates(&state.estimates);
        for resumed in &state.backoffs {
            let left = Span::from_micros(resumed.left).min(MAX_RESUMED_BACKOFF);
            let backoff = Backoff::new(now.saturating_add(left), resumed.trials);
            let worker = worker_id(&resumed.worker);
            self.scheduler.resume_backoff(worker, backoff);
        }
    }

    /// Returns the workers that are warming up. With this the successor need not derive their start times from
    /// its wall clock.
    #[must_use]
    pub fn warming_workers(&self, now: Micros) -> Vec<WarmingWorker> {
        let now = Instant::from_micros(now);
        let mut warming = Vec::new();
        for (worker, name) in &self.worker_names {
            if let Some(start) = self.scheduler.warming_start(*worker) {
                warming.push(WarmingWorker {
                    worker: name.clone(),
                    start: start.listed.as_micros(),
                    age: now.saturating_since(start.since).as_micros(),
                });
            }
        }
        warming
    }

    /// Restores the workers that are warming up. Must be called before the endpoint list is passed in.
    pub fn resume_warming(&mut self, now: Micros, warming: &[WarmingWorker]) {
        let now = Instant::from_micros(now);
        for resumed in warming {
            let start = WorkerStart {
                listed: Instant::from_micros(resumed.start),
                since: now.saturating_sub(Span::from_micros(resumed.age)),
            };
            let worker = worker_id(&resumed.worker);
            self.scheduler.resume_warming(worker, start);
        }
    }

    /// Returns the names of workers that have left the endpoint list, up to a limit on their total length. Operators
    /// may exclude these too, and the list does not name them.
    #[must_use]
    pub fn departed_workers(&self) -> Vec<Rc<str>> {
        let mut departed = Vec::new();
        let mut bytes = 0;
        for (worker, name) in &self.worker_names {
            if self.scheduler.is_listed(*worker) {
                continue;
            }
            bytes += name.len();
            if bytes > MAX_DEPARTED_NAME_BYTES {
                break;
            }
            departed.push(name.clone());
        }
        departed
    }

    /// Restores the names of workers that left the predecessor's endpoint list.
    pub fn resume_departed(&mut self, departed: Vec<Rc<str>>) {
        for name in departed {
            self.worker_names.entry(worker_id(&name)).or_insert(name);
        }
    }
}
