//! What one process of a scheduler hands to its successor, and what they share while both live.
//!
//! It owns the forms in which that leaves and comes in. It must never take in a figure that is none.

use super::list::RETAINED_WORKERS;
use super::settings::MAX_SPAN;
use super::start_times::WorkerStart;
use super::Scheduler;
use crate::interface::{ClassEstimates, Estimates, WorkerId};
use crate::scheduler::failure_detection::Backoff;

impl Scheduler {
    /// So many processes of this scheduler live, this one included.
    pub fn share(&mut self, processes: usize) {
        self.sharing_processes = processes.saturating_sub(1);
    }

    /// What the successor should know of load and running times.
    #[must_use]
    pub fn estimates(&self) -> Estimates {
        let classes = self.classes.iter().map(|class| ClassEstimates {
            run: class.run,
            work: class.work,
            served: class.served,
        });
        Estimates {
            concurrency_limit: self.concurrency_limit(),
            mean_run: self.mean_run,
            classes: classes.collect(),
        }
    }

    /// Takes that over. What is no figure, or of other classes, is left out.
    pub fn resume_estimates(&mut self, estimates: &Estimates) {
        if is_usable(estimates.concurrency_limit) {
            self.resume_concurrency_limit(estimates.concurrency_limit);
        }
        let is_of_these_classes = estimates.classes.len() == self.classes.len();
        let are_usable = estimates.classes.iter().all(ClassEstimates::are_usable);
        if !is_of_these_classes || !is_usable(estimates.mean_run) || !are_usable {
            return;
        }
        self.mean_run = estimates.mean_run;
        for (class, resumed) in self.classes.iter_mut().zip(&estimates.classes) {
            class.run = resumed.run;
            class.work = resumed.work;
            class.served = resumed.served;
        }
    }

    /// The backoff from a worker, which may be over.
    pub(crate) fn backoff_from(&self, worker: WorkerId) -> Option<Backoff> {
        let index = self.workers.find(worker)?;
        Some(self.workers[index].health.backoff)
    }

    /// The start of a worker that is warming up.
    pub(crate) fn warming_start(&self, worker: WorkerId) -> Option<WorkerStart> {
        let index = self.workers.find(worker)?;
        let listing = &self.workers[index].listing;
        let is_cold = self.warm_up_progress(index) < 1.0;
        is_cold.then_some(WorkerStart {
            listed: listing.online_since,
            since: listing.warming_since,
        })
    }

    /// Takes over from the predecessor when a worker that is warming up has started.
    pub(crate) fn resume_warming(&mut self, worker: WorkerId, start: WorkerStart) {
        self.start_times.resume(worker, start);
    }

    /// Takes over the predecessor's backoff from a worker, once that is listed.
    pub(crate) fn resume_backoff(&mut self, worker: WorkerId, backoff: Backoff) {
        if self.resumed_backoffs.len() < RETAINED_WORKERS {
            self.resumed_backoffs.insert(worker, backoff);
        }
    }
}

impl ClassEstimates {
    fn are_usable(&self) -> bool {
        is_usable(self.run) && is_usable(self.work) && is_usable(self.served)
    }
}

/// Whether a figure can be one that a predecessor has learned.
fn is_usable(figure: f64) -> bool {
    (1e-3..MAX_SPAN.as_micros_f64()).contains(&figure)
}
