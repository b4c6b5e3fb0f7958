//! The faults: kills and reboots, disks that fail or are full, old endpoint lists, workers replaced.
//!
//! At the end of a simulation they stop, so that everything must recover.

use std::collections::HashMap;
use std::rc::Rc;

use oakshed_core::facade::{Condition, Entry, ListKind, Observation as SchedulerEvent};
use oakshed_jobs::fault::{Operation, Outage};

use super::scheduler::entry;
use super::{Event, MachineBoot, World, EPOCH, HOUR, MS, S};

impl World {
    /// No more faults: whatever is down recovers.
    pub(super) fn stop_faults(&mut self) {
        self.faults_stopped = true;
        self.disk.set_capacity(None);
        self.disk.set_outage(None);
        if self.scheduler.is_none() {
            self.handle(Event::Kill { boot: false });
        }
        for worker in &mut self.workers {
            worker.listed = Condition::Active;
            worker.up = true;
        }
        self.after(0, Event::List);
        // Once more when the answers have expired and the log's old end is trimmed.
        self.after(65 * S, Event::Kill { boot: false });
    }

    /// A list from long before: workers that have left, starts of earlier processes, and other workers at the
    /// addresses of some.
    pub(super) fn old_list(&mut self) {
        self.coverage.note("old list");
        let start_ms = if self.setup.starts_unknown {
            0
        } else {
            (EPOCH - 10 * HOUR) / MS
        };
        let moved = self.rng.usize(0..self.workers.len());
        let count = self.workers.len();
        let mut names: Vec<Rc<str>> = Vec::new();
        let mut strangers = HashMap::new();
        for (n, worker) in self.workers.iter().enumerate() {
            names.push(worker.name.clone());
            strangers.insert(worker.name.clone(), Some((n + moved) % count));
        }
        names.push("s-gone".into());
        strangers.insert("s-gone".into(), None);
        let entries: Vec<Entry> = names
            .iter()
            .map(|name| entry(name.clone(), Condition::Active))
            .collect();
        self.with_scheduler(|scheduler, now| {
            scheduler.strangers = strangers;
            let facade = &mut scheduler.facade;
            facade.report(now, SchedulerEvent::List(ListKind::Cached, &entries));
            let starts = names.iter().map(|name| (name, start_ms));
            scheduler.jobs.on_endpoint_list(now, starts, false, facade);
        });
    }

    pub(super) fn kill(&mut self, boot: bool) {
        self.coverage.note(if boot { "booted" } else { "killed" });
        if self
            .scheduler
            .as_ref()
            .is_some_and(|scheduler| scheduler.jobs.counts().settled > 0)
        {
            self.coverage.note("settled");
        }
        if let Some(scheduler) = self.scheduler.as_ref().filter(|_| self.faults_stopped) {
            self.were_indeterminate = scheduler.jobs.indeterminate().into_iter().collect();
        }
        self.scheduler = None;
        // What a killed process wrote is in the system's cache; a failed sync, or a boot, loses it.
        if boot || self.disk.has_stopped() || self.rng.bool() {
            self.disk.crash(&mut self.rng);
        }
        if boot {
            self.boot = MachineBoot {
                id: self.boot.id + 1,
                at: self.now,
            };
        }
        for n in 0..self.clients.len() {
            if self.clients[n].until > self.now && !self.clients[n].done {
                let wait = self.rng.u64(10 * MS..S);
                self.after(wait, Event::Client(n));
            }
        }
        let down = if self.faults_stopped {
            100 * MS
        } else {
            self.rng.u64(MS..7 * S)
        };
        self.after(down, Event::Start);
    }

    /// The disk fails for a while: some of its calls, or all. Often the program is killed meanwhile.
    fn begin_outage(&mut self) {
        self.coverage.note("outage");
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
        let lasts = self.rng.u64(MS..3 * S);
        self.after(lasts, Event::OutageEnds);
        if self.rng.bool() {
            self.coverage.note("killed during an outage");
            let wait = self.rng.u64(0..lasts);
            let boot = self.rng.u32(0..4) == 0;
            self.after(wait, Event::Kill { boot });
        }
    }

    pub(super) fn inject_fault(&mut self) {
        if self.faults_stopped {
            return;
        }
        match self.rng.u32(0..15) {
            12..=14 => self.begin_outage(),
            0..=3 => self.handle(Event::Kill { boot: false }),
            4 => self.handle(Event::Kill { boot: true }),
            5 => self.disk.fail_next_sync(),
            6 => {
                let capacity = self.rng.usize(0..2);
                self.disk.set_capacity(Some(capacity));
            }
            7 | 8 => {
                // Somewhere among the next writes and syncs.
                let after = self.rng.u32(0..12);
                self.disk.stop_after(after);
            }
            _ => {
                let worker = self.rng.usize(0..self.workers.len());
                self.workers[worker].listed =
                    [Condition::Active, Condition::Leaving][self.rng.usize(0..2)];
                self.handle(Event::RestartWorker(worker));
                let wait = self.delay();
                self.after(wait, Event::List);
            }
        }
    }
}
