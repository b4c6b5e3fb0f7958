//! Manual exclusion of workers by operators.
//!
//! An exclusion holds regardless of the endpoint list, and only an operator can end it.

use super::Facade;
use crate::interface::{Event, Micros};
use crate::names::worker_id;

impl Facade {
    /// Excludes a worker: no new jobs are sent to it until [`include`](Facade::include) is called, whatever the
    /// endpoint list says. Returns `false`, without any effect, if the worker is unknown.
    pub fn exclude(&mut self, now: Micros, worker: &str) -> bool {
        self.set_excluded(now, worker, true)
    }

    /// Ends the exclusion of a worker. One call is enough even if the worker was excluded several times.
    /// Returns `false` if the worker is unknown.
    pub fn include(&mut self, now: Micros, worker: &str) -> bool {
        self.set_excluded(now, worker, false)
    }

    /// Restores an exclusion that another process of this scheduler recorded. The worker need not be listed.
    pub fn resume_exclusion(&mut self, now: Micros, worker: &str) {
        self.worker_names
            .entry(worker_id(worker))
            .or_insert_with(|| worker.into());
        self.set_excluded(now, worker, true);
    }

    /// Returns whether an operator has excluded a worker.
    #[must_use]
    pub fn is_excluded(&self, worker: &str) -> bool {
        self.scheduler.is_excluded(worker_id(worker))
    }

    fn set_excluded(&mut self, now: Micros, name: &str, is_excluded: bool) -> bool {
        let worker = worker_id(name);
        let known = self.worker_names.get(&worker);
        if known.is_none_or(|known| **known != *name) {
            return false;
        }
        let event = Event::Exclusion {
            worker,
            is_excluded,
        };
        self.feed(now, event);
        true
    }
}
