//! One scheduler process: its start from the disk, its syncs, and the effects that it carries out.
//!
//! It is the shell that the program has around the state machine.

use std::collections::HashMap;
use std::rc::Rc;
use std::task::Waker;

use oakshed_core::facade::{
    Entry, Facade, ListKind, Micros, Observation as SchedulerEvent, Settings,
};
use oakshed_core::interface::{Class, Effect as Kind, Scope, Span};
use oakshed_jobs::fault::FaultyDirectory;
use oakshed_jobs::log::{encode_all, Backlog, Log, LogError, Recovered};
use oakshed_jobs::machine::{Boot, Jobs, Limits, Names};
use oakshed_jobs::record::JobId;

use super::{Event, World, EPOCH, HOUR, KEYED_WINDOW, MS, S};

/// The size of a segment of the log.
const SEGMENT: usize = 16 << 10;

pub(super) struct Scheduler {
    /// Which process this is, counted from 1.
    pub(super) process: u64,
    pub(super) facade: Facade,
    pub(super) jobs: Jobs,
    pub(super) log: Log<FaultyDirectory>,
    /// How far its wall clock is off.
    pub(super) skew: i64,
    pub(super) syncing: Option<Backlog>,
    pub(super) waiting: HashMap<JobId, Vec<usize>>,
    pub(super) connections: HashMap<(JobId, u64), u64>,
    pub(super) tick_at: Micros,
    /// Who listens where an old list says that a worker does, until a confirmed one comes.
    pub(super) strangers: HashMap<Rc<str>, Option<usize>>,
}

fn settings() -> Settings {
    let class = |effect, window| Class {
        latency_objective: Span::from_millis(300),
        stretch: 2.0,
        deadline: Span::from_millis(5_000),
        priority_weight: 1.0,
        priority: 0,
        effect,
        scope: Scope::All,
        window: Span::from_micros(window),
        kind: None,
    };
    Settings {
        classes: vec![class(Kind::Unsafe, 0), class(Kind::Keyed, KEYED_WINDOW)],
        list_on_request: true,
        connect_timeout: Span::from_millis(100),
        ..Settings::default()
    }
}

fn limits(leases: bool) -> Limits {
    Limits {
        leases,
        lease: 400 * MS,
        retention: 30 * S,
        max_open: 50,
        max_jobs: 200,
        max_bytes: 1 << 20,
    }
}

fn names() -> Names {
    Names {
        classes: vec!["transfer".into(), "new-plate".into()],
        tenants: vec!["owner".into()],
    }
}

impl World {
    pub(super) fn start(&mut self) {
        if self.scheduler.is_some() {
            return;
        }
        let skew = match self.rng.u32(0..4) {
            0 if self.processes > 0 => {
                self.coverage.note("clock jumped");
                self.rng.i64(-(HOUR as i64)..HOUR as i64)
            }
            _ => 0,
        };
        let Some((log, recovered)) = self.open_log() else {
            return;
        };
        for record in &recovered.records {
            self.log(|| format!("  read {record:?}"));
        }
        if recovered.torn_tail.is_some() {
            self.coverage.note("torn");
        }
        self.processes += 1;
        self.restore(log, recovered, skew);
        let is_old = self.chance(500);
        if is_old {
            self.old_list();
        } else {
            self.list(ListKind::Cached);
        }
        // A watch that continues from a cached list's number is answered once something changes.
        let wait = if is_old {
            self.rng.u64(0..3 * S)
        } else {
            self.delay()
        };
        self.after(wait, Event::List);
        self.after(0, Event::Tick(self.processes));
    }

    /// Opens the log; where the disk fails, the start is repeated later.
    fn open_log(&mut self) -> Option<(Log<FaultyDirectory>, Recovered)> {
        match Log::open(self.disk.clone(), SEGMENT) {
            Ok(opened) => return Some(opened),
            Err(LogError::Io { .. }) => {
                self.coverage.note("start delayed");
                if self.disk.has_stopped() {
                    self.disk.crash(&mut self.rng);
                }
                self.after(50 * MS, Event::Start);
            }
            Err(error) => self.violation(format!("the log cannot be opened: {error}")),
        }
        None
    }

    fn restore(&mut self, log: Log<FaultyDirectory>, recovered: Recovered, skew: i64) {
        let now = self.now.wrapping_add_signed(skew);
        let boot = Boot {
            id: self.boot.id,
            uptime: self.now - self.boot.at,
        };
        let limits = limits(self.setup.leases);
        let jobs = Jobs::restore(
            limits,
            names(),
            recovered.records,
            log.next_record(),
            now,
            boot,
        );
        let facade = Facade::new(settings(), self.rng.u64(..)).expect("usable settings");
        self.scheduler = Some(Scheduler {
            process: self.processes,
            facade,
            jobs,
            log,
            skew,
            syncing: None,
            waiting: HashMap::new(),
            connections: HashMap::new(),
            tick_at: Micros::MAX,
            strangers: HashMap::new(),
        });
    }

    /// Which worker listens at the address that the scheduler has for this name.
    pub(super) fn listener(&self, worker: &str) -> Option<usize> {
        let scheduler = self.scheduler.as_ref();
        if let Some(stranger) = scheduler.and_then(|scheduler| scheduler.strangers.get(worker)) {
            return *stranger;
        }
        self.workers
            .iter()
            .position(|candidate| *candidate.name == *worker)
    }

    /// The scheduler gets an endpoint list.
    pub(super) fn list(&mut self, kind: ListKind) {
        let entries: Vec<Entry> = self
            .workers
            .iter()
            .map(|worker| entry(worker.name.clone(), worker.listed))
            .collect();
        let starts: Vec<u64> = self
            .workers
            .iter()
            .map(|worker| {
                if self.setup.starts_unknown && worker.start < EPOCH {
                    0
                } else {
                    worker.start / MS
                }
            })
            .collect();
        self.with_scheduler(|scheduler, now| {
            let facade = &mut scheduler.facade;
            facade.report(now, SchedulerEvent::List(kind, &entries));
            scheduler.strangers.clear();
            let names = entries.iter().map(|entry| &entry.worker);
            let confirmed = kind != ListKind::Cached;
            scheduler
                .jobs
                .on_endpoint_list(now, names.zip(starts), confirmed, facade);
        });
    }

    pub(super) fn tick(&mut self, process: u64) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let is_due = scheduler.process == process && scheduler.tick_at <= self.now;
        if is_due || scheduler.tick_at == Micros::MAX {
            scheduler.tick_at = Micros::MAX;
        }
    }

    /// Carries out the effects of the state machine, and begins a sync where there is something to write.
    pub(super) fn settle(&mut self) {
        for _ in 0..1_000 {
            let Some(scheduler) = &mut self.scheduler else {
                return;
            };
            let now = self.now.wrapping_add_signed(scheduler.skew);
            let due = scheduler.facade.tick(now, Waker::noop());
            let next = scheduler
                .jobs
                .tick(now, &mut scheduler.facade, Waker::noop());
            let at = [due.next, next].into_iter().flatten().min();
            if let Some(effect) = scheduler.jobs.effect() {
                self.carry_out(effect);
                continue;
            }
            if self.begin_sync() {
                continue;
            }
            if let Some(at) = at {
                self.schedule_tick(at.max(now + 1));
            }
            return;
        }
        self.violation("it never comes to rest".into());
    }

    /// Begins a sync of the records that wait, unless one is under way; returns whether it did.
    fn begin_sync(&mut self) -> bool {
        let Some(scheduler) = &mut self.scheduler else {
            return false;
        };
        if scheduler.syncing.is_some() {
            return false;
        }
        let (first, records) = scheduler.jobs.records();
        if records.is_empty() {
            return false;
        }
        let (frames, lengths) = encode_all(first, first - 1, &records);
        let mut backlog = Backlog::default();
        backlog.push(frames, lengths, first + records.len() as u64 - 1);
        scheduler.syncing = Some(backlog);
        let process = scheduler.process;
        let wait = self.rng.u64(200..8 * MS);
        self.after(wait, Event::Synced(process));
        true
    }

    /// `at` is a time of the scheduler's clock.
    fn schedule_tick(&mut self, at: Micros) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let at = at.wrapping_add_signed(-scheduler.skew);
        if at < scheduler.tick_at {
            scheduler.tick_at = at;
            let process = scheduler.process;
            self.after(at - self.now, Event::Tick(process));
        }
    }

    /// The time of a sync is over: it succeeds, or fails and is retried.
    pub(super) fn synced(&mut self, process: u64) {
        let Some(scheduler) = self
            .scheduler
            .as_mut()
            .filter(|scheduler| scheduler.process == process)
        else {
            return;
        };
        let Some(mut backlog) = scheduler.syncing.take() else {
            return;
        };
        let now = self.now.wrapping_add_signed(scheduler.skew);
        let before = scheduler.log.next_record();
        let outcome = backlog.flush(&mut scheduler.log);
        let durable = scheduler.log.next_record();
        if durable > before {
            let facade = &mut scheduler.facade;
            scheduler.jobs.on_synced(now, durable - 1, facade);
        }
        if outcome.is_err() {
            self.coverage.note("sync failed");
            scheduler.syncing = Some(backlog);
            if self.disk.has_stopped() {
                return self.handle(Event::Kill { boot: false });
            }
            let wait = self.rng.u64(MS..S);
            self.after(wait, Event::Synced(process));
        }
        self.check_capacity();
    }

    pub(super) fn check_capacity(&mut self) {
        let Some(scheduler) = self.scheduler.as_mut() else {
            return;
        };
        scheduler.log.preallocate();
        let has_capacity = scheduler.log.has_capacity();
        scheduler.jobs.set_disk_full(!has_capacity);
        if !has_capacity {
            self.coverage.note("disk full");
        }
    }
}

/// An entry of an endpoint list.
pub(super) fn entry(name: Rc<str>, condition: oakshed_core::facade::Condition) -> Entry {
    Entry {
        worker: name,
        zone: 0,
        kind: 0,
        cell: 0,
        weight: 1.0,
        condition,
        online_since: 0,
    }
}
