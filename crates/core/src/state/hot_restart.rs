//! State that a scheduler process hands over to its successor in a hot restart.
//!
//! The successor ignores values that no predecessor can have learned.

use super::list::RETAINED_WORKERS;
use super::settings::MAX_SPAN;
use super::start_times::WorkerStart;
use super::Scheduler;
use crate::interface::{ClassEstimates, Estimates, WorkerId};
use crate::scheduler::failure_detection::Backoff;

impl Scheduler {
    /// Sets how many processes of this scheduler are running, this one included.
    pub fn set_process_count(&mut self, processes: usize) {
        self.other_processes = processes.saturating_sub(1);
    }

    /// The estimates of load and running times for the successor.
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

    /// Takes over the predecessor's estimates. An unusable concurrency limit is ignored. The running times
    /// are ignored as a whole if any value is unusable or the number of classes differs.
    pub fn resume_estimates(&mut self, estimates: &Estimates) {
        if is_usable(estimates.concurrency_limit) {
            self.resume_concurrency_limit(estimates.concurrency_limit);
        }
        let has_same_class_count = estimates.classes.len() == self.classes.len();
        let are_usable = estimates.classes.iter().all(ClassEstimates::are_usable);
        if !has_same_class_count || !is_usable(estimates.mean_run) || !are_usable {
            return;
        }
        self.mean_run = estimates.mean_run;
        for (class, resumed) in self.classes.iter_mut().zip(&estimates.classes) {
            class.run = resumed.run;
            class.work = resumed.work;
            class.served = resumed.served;
        }
    }

    /// The backoff from a worker, which may have ended, or that of the predecessor if the worker is not
    /// listed here yet. `None` if neither is known.
    pub(crate) fn backoff_from(&self, worker: WorkerId) -> Option<Backoff> {
        match self.workers.find(worker) {
            Some(index) => Some(self.workers[index].health.backoff),
            None => self.resumed_backoffs.get(&worker).copied(),
        }
    }

    /// The start of a worker, if it is still warming up. For a worker that is not listed here yet, the start
    /// that the predecessor knew.
    pub(crate) fn warming_start(&self, worker: WorkerId) -> Option<WorkerStart> {
        let Some(index) = self.workers.find(worker) else {
            let start = self.start_times.resumed(worker)?;
            let age = self.micros_since(start.since);
            return (age < self.settings.ramp.as_micros_f64()).then_some(start);
        };
        let listing = &self.workers[index].listing;
        let is_warming_up = self.warm_up_progress(index) < 1.0;
        is_warming_up.then_some(WorkerStart {
            listed: listing.online_since,
            since: listing.started_at,
        })
    }

    /// Takes over the start of a worker that was warming up at the predecessor.
    pub(crate) fn resume_warming(&mut self, worker: WorkerId, start: WorkerStart) {
        self.start_times.resume(worker, start);
    }

    /// Takes over the predecessor's backoff from a worker. It is applied when the worker is first listed
    /// here.
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

/// Whether a predecessor can have learned this value.
fn is_usable(value: f64) -> bool {
    (1e-3..MAX_SPAN.as_micros_f64()).contains(&value)
}
