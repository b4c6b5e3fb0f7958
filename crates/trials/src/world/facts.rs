//! The input of the checks, taken from a fleet.

use oakshed_standin::fleet::FleetWorker;

use super::World;
use crate::checks::{Facts, SchedulerFacts, WorkerFacts};
use crate::scheduler::Scheduler;

impl World {
    /// The history so far, as the checks read it.
    #[must_use]
    pub fn facts(&self) -> Facts {
        let scheduler = |(n, s): (usize, &Scheduler)| SchedulerFacts {
            name: s.name.clone(),
            incarnations: s.incarnations.clone(),
            listens: s.listens(),
            stops: s.stops.clone(),
            received: s.received_lists(),
            reloads: s.reloads.clone(),
            cut_off: self
                .cut_off
                .get(&n)
                .into_iter()
                .flatten()
                .chain(&self.down)
                .copied()
                .collect(),
        };
        let options = &self.setup.worker;
        let deployment = &self.setup.deployment;
        let mean = options.service.as_secs_f64() * deployment.mean_factor();
        let jobs_per_second = options.slots as f64 / mean;
        let worker = |(n, (name, worker)): (usize, &(String, FleetWorker))| WorkerFacts {
            name: name.clone(),
            place: deployment.place(n),
            arrivals: worker.arrivals(),
            opened: worker.opened(),
            jobs_per_second,
            drains: self.drains.get(name).cloned().unwrap_or_default(),
            drained: self.drained.get(name).cloned().unwrap_or_default(),
            starts: self.starts.get(name).cloned().unwrap_or_default(),
        };
        Facts {
            schedulers: self.schedulers.iter().enumerate().map(scheduler).collect(),
            workers: self.workers.iter().enumerate().map(worker).collect(),
            requests: self.history.record().requests,
            calls: self.discovery.calls(),
            classes: deployment.facts(),
            pushed: deployment.pushed,
        }
    }
}
