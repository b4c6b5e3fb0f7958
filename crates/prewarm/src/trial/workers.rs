//! A model of workers: what each has loaded, until when, and what runs on it.
//!
//! It counts the two figures of the contest: jobs that found no warm worker, and idle warm worker-seconds (loading
//! ahead included).

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::place::{Kind, Worker};
use crate::Micros;

#[derive(Clone, Copy, Debug, Default)]
struct Loaded {
    /// Loaded, or loading until then.
    from: Micros,
    /// Kept until then; while a job of the class runs it stays, too.
    until: Micros,
    /// Idle warm time is counted from here.
    idle: Micros,
}

/// Where a job went.
pub struct Placement {
    /// The worker's name.
    pub worker: Arc<str>,
    /// How long the job took, loading included.
    pub took: Micros,
}

/// The worker that a job goes to.
struct Choice {
    place: usize,
    is_warm: bool,
    is_crowded: bool,
}

/// The workers.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    /// The workers as policies see them.
    pub workers: Vec<Worker>,
    orders: BTreeMap<Kind, Vec<usize>>,
    busy: Vec<Micros>,
    loaded: BTreeMap<(usize, Arc<str>), Loaded>,
    load: Micros,
    /// Jobs that came.
    pub jobs: u64,
    /// Jobs that found no warm worker.
    pub cold: u64,
    /// Jobs that found all workers of the zone busy: they go to the first, and count as cold.
    pub crowded: u64,
    /// Idle warm time over all workers and classes, in microseconds.
    pub idle: Micros,
    /// Calls to load a class, or to keep it warm.
    pub calls: u64,
}

impl WorkerModel {
    /// `each` workers in each of `zones` zones; loading takes `load`.
    #[must_use]
    pub fn new(each: usize, zones: usize, load: Micros) -> WorkerModel {
        let workers: Vec<Worker> = (0..each * zones)
            .map(|n| Worker {
                name: format!("w{n}").into(),
                zone: format!("H{}", n % zones).into(),
                supports_prewarm: true,
                ready: true,
                unavailable: false,
                budget: u32::MAX,
                max_classes: 64,
            })
            .collect();
        WorkerModel {
            busy: vec![0; workers.len()],
            workers,
            orders: BTreeMap::new(),
            loaded: BTreeMap::new(),
            load,
            jobs: 0,
            cold: 0,
            crowded: 0,
            idle: 0,
            calls: 0,
        }
    }

    fn place(&self, name: &str) -> Option<usize> {
        self.workers.iter().position(|w| &*w.name == name)
    }

    /// A worker loads a class if it has not, and keeps it warm for that long.
    pub fn prepare(&mut self, now: Micros, worker: &str, class: &Arc<str>, keep: Micros) {
        self.calls += 1;
        let Some(place) = self.place(worker) else {
            return;
        };
        let busy = self.busy[place];
        let fresh = Loaded {
            from: now + self.load,
            until: 0,
            idle: now,
        };
        let key = (place, class.clone());
        if let Some(old) = self
            .loaded
            .get(&key)
            .copied()
            .filter(|l| l.until.max(l.idle) < now)
        {
            self.idle += old.until.saturating_sub(old.idle);
            self.loaded.remove(&key);
        }
        let loaded = self.loaded.entry(key).or_insert(fresh);
        loaded.until = loaded.until.max(now + keep);
        debug_assert!(loaded.idle <= busy.max(now));
    }

    /// A job comes: to the first free worker in the kind's order that is warm, else to the first free one.
    pub fn job(&mut self, now: Micros, kind: &Kind, runs: Micros) -> Placement {
        let choice = self.choose(now, kind);
        let place = choice.place;
        self.jobs += 1;
        self.cold += u64::from(!choice.is_warm);
        self.crowded += u64::from(choice.is_crowded);
        let took = runs + if choice.is_warm { 0 } else { self.load };
        let end = now.max(self.busy[place]) + took;
        self.busy[place] = end;
        let key = (place, kind.class.clone());
        let old = self.loaded.get(&key).copied().unwrap_or_default();
        // What was idle until now, or until it was dropped.
        self.idle += old.until.min(now).saturating_sub(old.idle);
        let loaded = Loaded {
            from: if choice.is_warm {
                old.from
            } else {
                now + self.load
            },
            until: if old.until >= now { old.until } else { 0 },
            idle: end,
        };
        self.loaded.insert(key, loaded);
        Placement {
            worker: self.workers[place].name.clone(),
            took,
        }
    }

    fn choose(&mut self, now: Micros, kind: &Kind) -> Choice {
        let workers = &self.workers;
        let order = self.orders.entry(kind.clone()).or_insert_with(|| {
            let place = |name: &str| workers.iter().position(|worker| &*worker.name == name);
            kind.worker_order(workers)
                .iter()
                .filter_map(|worker| place(&worker.name))
                .collect()
        });
        let is_warm = |place: &usize| {
            let loaded = self.loaded.get(&(*place, kind.class.clone()));
            loaded.is_some_and(|l| l.from <= now && l.until.max(l.idle) >= now)
        };
        let mut free = order.iter().copied().filter(|w| self.busy[*w] <= now);
        let warm = free.clone().find(is_warm);
        let first_free = free.next();
        Choice {
            place: warm.or(first_free).unwrap_or(order[0]),
            is_warm: warm.is_some(),
            is_crowded: first_free.is_none(),
        }
    }

    /// The scenario ends: what is still warm counts until then.
    pub fn end(&mut self, now: Micros) {
        for loaded in self.loaded.values() {
            self.idle += loaded.until.min(now).saturating_sub(loaded.idle);
        }
        self.loaded.clear();
    }
}
