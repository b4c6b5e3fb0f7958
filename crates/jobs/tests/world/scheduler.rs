//! Simulated scheduler process: startup from the log, endpoint lists, timers and syncs.
//!
//! It drives the real state machine, facade and log, as the server does.

use std::collections::HashMap;
use std::rc::Rc;
use std::task::Waker;

use oakshed_core::facade::{Entry, Facade, ListKind, Micros, Observation, Settings};
use oakshed_core::interface::{Class, Effect as ClassEffect, Scope, Span};
use oakshed_jobs::fault::FaultyDirectory;
use oakshed_jobs::log::{encode_all, Backlog, Log, LogError, Recovered};
use oakshed_jobs::machine::{Boot, Jobs, Limits, Names};
use oakshed_jobs::record::JobId;

use super::older_build;
use super::replies::PendingReply;
use super::workers::FIRST_START_MS;
use super::{Event, World, EPOCH, HOUR, KEYED_WINDOW, MS, S};

/// Size of a segment file in bytes.
const SEGMENT_SIZE: usize = 16 << 10;

/// A running scheduler process.
pub(super) struct Scheduler {
    /// Number of the process, counted from 1.
    pub(super) process: u64,
    pub(super) facade: Facade,
    pub(super) jobs: Jobs,
    pub(super) log: Log<FaultyDirectory>,
    /// Difference between its clock and simulated time, in microseconds.
    pub(super) clock_offset: i64,
    /// Whether its attempts carry the lease's fields, and it fences workers.
    pub(super) leases: bool,
    /// Whether it writes its log as builds did that do not record which attempts carried the lease's fields.
    pub(super) is_older_build: bool,
    /// The records of the sync that is in progress.
    pub(super) syncing: Option<Backlog>,
    /// The clients that wait for the answer of each job.
    pub(super) waiting: HashMap<JobId, Vec<usize>>,
    /// The replies that wait for a sync.
    pub(super) pending_replies: Vec<PendingReply>,
    /// The open connection of each attempt, by job and token.
    pub(super) connections: HashMap<(JobId, u64), u64>,
    /// Simulated time of the next scheduled tick, or the maximum if there is none.
    pub(super) tick_at: Micros,
    /// The worker, if any, that listens at the address of each name in a stale list. Cleared by the next list.
    pub(super) stale_addresses: HashMap<Rc<str>, Option<usize>>,
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
        classes: vec![
            class(ClassEffect::Unsafe, 0),
            class(ClassEffect::Keyed, KEYED_WINDOW),
        ],
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
    /// Starts a scheduler process from the log, unless one is running.
    pub(super) fn start_scheduler(&mut self) {
        if self.scheduler.is_some() {
            return;
        }
        let clock_offset = match self.rng.u32(0..4) {
            0 if self.processes > 0 => {
                self.coverage.count("clock stepped");
                self.rng.i64(-(HOUR as i64)..HOUR as i64)
            }
            _ => 0,
        };
        let Some((log, recovered)) = self.open_log() else {
            return;
        };
        for record in &recovered.records {
            self.trace(|| format!("  read {record:?}"));
        }
        if recovered.torn_tail.is_some() {
            self.coverage.count("torn tail");
        }
        self.processes += 1;
        self.restore(log, recovered, clock_offset);
        let is_stale = self.chance(500);
        if is_stale {
            self.report_stale_list();
        } else {
            self.report_list(ListKind::Cached);
        }
        // A watch that continues from a cached list's generation is answered only once the list changes.
        let wait = if is_stale {
            self.rng.u64(0..3 * S)
        } else {
            self.network_delay()
        };
        self.schedule(wait, Event::ListArrives);
        self.schedule(0, Event::Tick(self.processes));
        self.apply_settlements();
    }

    /// Opens the log. After an I/O error the start is scheduled again.
    fn open_log(&mut self) -> Option<(Log<FaultyDirectory>, Recovered)> {
        match Log::open(self.disk.clone(), SEGMENT_SIZE) {
            Ok(opened) => return Some(opened),
            Err(LogError::Io { .. }) => {
                self.coverage.count("start retried");
                if self.disk.has_stopped() {
                    self.disk.crash(&mut self.rng);
                }
                self.schedule(50 * MS, Event::StartScheduler);
            }
            Err(error) => self.report_violation(format!("the log cannot be opened: {error}")),
        }
        None
    }

    /// Restores the state machine from the recovered records.
    fn restore(&mut self, log: Log<FaultyDirectory>, recovered: Recovered, clock_offset: i64) {
        let now = self.now.wrapping_add_signed(clock_offset);
        let boot = Boot {
            id: self.boot.id,
            uptime: self.now - self.boot.booted_at,
        };
        let mut leases = self.setup.leases;
        let mut is_older_build = false;
        if self.setup.settings_change && !self.faults_stopped {
            leases &= self.rng.bool();
            is_older_build = self.rng.u32(0..4) == 0;
        }
        if leases != self.last_leases {
            self.coverage.count("lease setting changed");
        }
        self.last_leases = leases;
        let limits = limits(leases);
        let jobs = Jobs::restore(
            limits,
            names(),
            recovered.records,
            log.next_record(),
            now,
            boot,
        );
        let facade = Facade::new(settings(), self.rng.u64(..)).expect("the settings are valid");
        self.scheduler = Some(Scheduler {
            process: self.processes,
            facade,
            jobs,
            log,
            clock_offset,
            leases,
            is_older_build,
            syncing: None,
            waiting: HashMap::new(),
            pending_replies: Vec::new(),
            connections: HashMap::new(),
            tick_at: Micros::MAX,
            stale_addresses: HashMap::new(),
        });
    }

    /// Returns the worker that listens at the address that the scheduler has for a name.
    pub(super) fn receiver(&self, worker: &str) -> Option<usize> {
        let scheduler = self.scheduler.as_ref();
        if let Some(receiver) =
            scheduler.and_then(|scheduler| scheduler.stale_addresses.get(worker))
        {
            return *receiver;
        }
        self.workers
            .iter()
            .position(|candidate| *candidate.name == *worker)
    }

    /// Reports the current endpoint list to the scheduler.
    pub(super) fn report_list(&mut self, kind: ListKind) {
        let entries: Vec<Entry> = self
            .workers
            .iter()
            .map(|worker| list_entry(worker.name.clone(), worker.listed_condition))
            .collect();
        let starts: Vec<u64> = self
            .workers
            .iter()
            .map(|worker| {
                if self.setup.unspecified_starts && worker.started_at < EPOCH {
                    0
                } else {
                    worker.started_at / MS
                }
            })
            .collect();
        self.with_scheduler(|scheduler, now| {
            let facade = &mut scheduler.facade;
            facade.report(now, Observation::List(kind, &entries));
            scheduler.stale_addresses.clear();
            let names = entries.iter().map(|entry| &entry.worker);
            let confirmed = kind != ListKind::Cached;
            scheduler
                .jobs
                .on_endpoint_list(now, names.zip(starts), confirmed, facade);
        });
    }

    /// Clears the scheduled tick of a scheduler process; [`World::process_effects`] calls the state machine and
    /// schedules the next one.
    pub(super) fn on_tick(&mut self, process: u64) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let is_due = scheduler.process == process && scheduler.tick_at <= self.now;
        if is_due || scheduler.tick_at == Micros::MAX {
            scheduler.tick_at = Micros::MAX;
        }
    }

    /// Calls the state machine, performs its effects and starts a sync, until there is nothing left to do at the
    /// current time.
    pub(super) fn process_effects(&mut self) {
        for _ in 0..1_000 {
            let Some(scheduler) = &mut self.scheduler else {
                return;
            };
            let now = self.now.wrapping_add_signed(scheduler.clock_offset);
            let due = scheduler.facade.tick(now, Waker::noop());
            let next = scheduler
                .jobs
                .tick(now, &mut scheduler.facade, Waker::noop());
            let at = [due.next, next].into_iter().flatten().min();
            if let Some(effect) = scheduler.jobs.effect() {
                self.perform(effect);
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
        self.report_violation("the state machine returns effects without end".into());
    }

    /// Starts a sync of the new records, unless one is in progress. Returns whether it started one.
    fn begin_sync(&mut self) -> bool {
        let Some(scheduler) = &mut self.scheduler else {
            return false;
        };
        if scheduler.syncing.is_some() {
            return false;
        }
        let (first, mut records) = scheduler.jobs.records();
        if records.is_empty() {
            return false;
        }
        if scheduler.is_older_build {
            let start_ms = (!self.setup.unspecified_starts).then_some(FIRST_START_MS);
            older_build::rewrite(&mut records, start_ms.unwrap_or(0));
            self.coverage.count("older build");
        }
        let (frames, lengths) = encode_all(first, first - 1, &records);
        let mut backlog = Backlog::default();
        backlog.push(frames, lengths, first + records.len() as u64 - 1);
        scheduler.syncing = Some(backlog);
        let process = scheduler.process;
        let wait = self.rng.u64(200..8 * MS);
        self.schedule(wait, Event::SyncEnds(process));
        true
    }

    /// Schedules a tick, unless an earlier one is scheduled. `at` is a time of the scheduler's clock.
    fn schedule_tick(&mut self, at: Micros) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let at = at.wrapping_add_signed(-scheduler.clock_offset);
        if at < scheduler.tick_at {
            scheduler.tick_at = at;
            let process = scheduler.process;
            self.schedule(at - self.now, Event::Tick(process));
        }
    }

    /// Ends a sync, which succeeds, or fails and is retried.
    pub(super) fn end_sync(&mut self, process: u64) {
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
        let now = self.now.wrapping_add_signed(scheduler.clock_offset);
        let before = scheduler.log.next_record();
        let result = backlog.flush(&mut scheduler.log);
        let durable = scheduler.log.next_record();
        if durable > before {
            let facade = &mut scheduler.facade;
            scheduler.jobs.on_synced(now, durable - 1, facade);
            self.deliver_replies();
        }
        if result.is_err() {
            self.coverage.count("sync failed");
            if let Some(scheduler) = &mut self.scheduler {
                scheduler.syncing = Some(backlog);
            }
            if self.disk.has_stopped() {
                return self.handle(Event::KillScheduler { reboot: false });
            }
            let wait = self.rng.u64(MS..S);
            self.schedule(wait, Event::SyncEnds(process));
        }
        self.check_capacity();
    }

    /// Reports to the state machine whether the disk has space for another segment.
    pub(super) fn check_capacity(&mut self) {
        let Some(scheduler) = self.scheduler.as_mut() else {
            return;
        };
        scheduler.log.preallocate();
        let has_capacity = scheduler.log.has_capacity();
        scheduler.jobs.set_disk_full(!has_capacity);
        if !has_capacity {
            self.coverage.count("disk full");
        }
    }
}

/// Returns an entry of an endpoint list.
pub(super) fn list_entry(name: Rc<str>, condition: oakshed_core::facade::Condition) -> Entry {
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
