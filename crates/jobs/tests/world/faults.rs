//! Injected faults: killed scheduler processes, reboots, disk outages, full disks, stale endpoint lists and
//! restarted workers.
//!
//! Faults stop before the end of a simulation. After that everything must recover.

use std::collections::HashMap;
use std::rc::Rc;

use oakshed_core::facade::{Condition, Entry, ListKind, Observation};
use oakshed_jobs::fault::{Operation, Outage};

use super::scheduler::list_entry;
use super::{Event, MachineBoot, World, EPOCH, HOUR, MS, S};

impl World {
    /// Ends all faults, and starts whatever is down.
    pub(super) fn stop_faults(&mut self) {
        self.faults_stopped = true;
        self.disk.set_capacity(None);
        self.disk.set_outage(None);
        if self.scheduler.is_none() {
            self.handle(Event::KillScheduler { reboot: false });
        }
        for worker in &mut self.workers {
            worker.listed_condition = Condition::Active;
            worker.is_up = true;
        }
        self.schedule(0, Event::ListArrives);
        // Restarts the scheduler once more after answers have expired and the log has been trimmed.
        self.schedule(65 * S, Event::KillScheduler { reboot: false });
        self.schedule(70 * S, Event::CheckIndeterminate);
    }

    /// Reports a cached list that is out of date: it contains a worker that no longer exists and the start times
    /// of earlier worker processes, and other workers may listen at the addresses in it.
    pub(super) fn report_stale_list(&mut self) {
        self.coverage.count("stale list");
        let start_ms = if self.setup.unspecified_starts {
            0
        } else {
            (EPOCH - 10 * HOUR) / MS
        };
        let shift = self.rng.usize(0..self.workers.len());
        let count = self.workers.len();
        let mut names: Vec<Rc<str>> = Vec::new();
        let mut stale_addresses = HashMap::new();
        for (n, worker) in self.workers.iter().enumerate() {
            names.push(worker.name.clone());
            stale_addresses.insert(worker.name.clone(), Some((n + shift) % count));
        }
        names.push("s-gone".into());
        stale_addresses.insert("s-gone".into(), None);
        let entries: Vec<Entry> = names
            .iter()
            .map(|name| list_entry(name.clone(), Condition::Active))
            .collect();
        self.with_scheduler(|scheduler, now| {
            scheduler.stale_addresses = stale_addresses;
            let facade = &mut scheduler.facade;
            facade.report(now, Observation::List(ListKind::Cached, &entries));
            let starts = names.iter().map(|name| (name, start_ms));
            scheduler.jobs.on_endpoint_list(now, starts, false, facade);
        });
    }

    /// Kills the scheduler process, and starts the next one after some time.
    pub(super) fn kill_scheduler(&mut self, reboot: bool) {
        self.coverage.count(if reboot {
            "machine rebooted"
        } else {
            "process killed"
        });
        if self
            .scheduler
            .as_ref()
            .is_some_and(|scheduler| scheduler.jobs.counts().settled > 0)
        {
            self.coverage.count("settled");
        }
        if let Some(scheduler) = self.scheduler.as_ref().filter(|_| self.faults_stopped) {
            self.indeterminate_at_kill = scheduler.jobs.indeterminate().into_iter().collect();
        }
        self.scheduler = None;
        // The page cache keeps the unsynced writes of a killed process. A reboot or a failed sync loses some of
        // them.
        if reboot || self.disk.has_stopped() || self.rng.bool() {
            self.disk.crash(&mut self.rng);
        }
        if reboot {
            self.boot = MachineBoot {
                id: self.boot.id + 1,
                booted_at: self.now,
            };
        }
        for n in 0..self.clients.len() {
            if self.clients[n].waits_until > self.now && !self.clients[n].done {
                let wait = self.rng.u64(10 * MS..S);
                self.schedule(wait, Event::ClientRequest(n));
            }
        }
        let downtime = if self.faults_stopped {
            100 * MS
        } else {
            self.rng.u64(MS..7 * S)
        };
        self.schedule(downtime, Event::StartScheduler);
    }

    /// Starts an outage of some or all operations of the disk. In half of the outages the scheduler is killed.
    fn begin_outage(&mut self) {
        self.coverage.count("outage");
        let mut operations = Operation::ALL.to_vec();
        if self.rng.bool() {
            operations.retain(|_| self.rng.bool());
        }
        let per_mille = [100, 500, 1_000][self.rng.usize(0..3)];
        self.disk.set_outage(Some(Outage {
            operations,
            per_mille,
            rng: self.rng.fork(),
        }));
        let duration = self.rng.u64(MS..3 * S);
        self.schedule(duration, Event::OutageEnds);
        if self.rng.bool() {
            self.coverage.count("kill during an outage");
            let wait = self.rng.u64(0..duration);
            let reboot = self.rng.u32(0..4) == 0;
            self.schedule(wait, Event::KillScheduler { reboot });
        }
    }

    /// Injects a random fault.
    pub(super) fn inject_fault(&mut self) {
        if self.faults_stopped {
            return;
        }
        match self.rng.u32(0..15) {
            12..=14 => self.begin_outage(),
            0..=3 => self.handle(Event::KillScheduler { reboot: false }),
            4 => self.handle(Event::KillScheduler { reboot: true }),
            5 => self.disk.fail_next_sync(),
            6 => {
                let capacity = self.rng.usize(0..2);
                self.disk.set_capacity(Some(capacity));
            }
            7 | 8 => {
                // The machine stops at one of the next operations that modify the disk.
                let after = self.rng.u32(0..12);
                self.disk.stop_after(after);
            }
            _ => {
                let worker = self.rng.usize(0..self.workers.len());
                self.workers[worker].listed_condition =
                    [Condition::Active, Condition::Leaving][self.rng.usize(0..2)];
                self.handle(Event::RestartWorker(worker));
                let wait = self.network_delay();
                self.schedule(wait, Event::ListArrives);
            }
        }
    }
}
