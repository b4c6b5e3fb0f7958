//! A model of workers: the classes they have loaded, and the jobs they run.
//!
//! It measures the two costs of a policy: jobs that found no warm worker, and the time that workers were warm and
//! idle. The time to load a class ahead of a job counts as idle.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::place::{Kind, Worker};
use crate::Micros;

#[derive(Clone, Copy, Debug, Default)]
struct LoadedClass {
    /// The end of loading.
    loaded_at: Micros,
    /// The end of the keep-alive. The class also stays loaded while one of its jobs runs.
    warm_until: Micros,
    /// The end of the last job of the class, or the start of loading. Idle time is counted from here.
    idle_since: Micros,
}

/// The worker that ran a job, and for how long.
pub struct Placement {
    /// The worker's name.
    pub worker: Arc<str>,
    /// The running time of the job, including loading.
    pub duration: Micros,
}

/// The worker selected for a job.
struct Selection {
    worker_index: usize,
    is_warm: bool,
    all_busy: bool,
}

/// The workers and the costs measured on them.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    /// The workers as given to the state machines.
    pub workers: Vec<Worker>,
    worker_orders: BTreeMap<Kind, Vec<usize>>,
    busy_until: Vec<Micros>,
    loaded: BTreeMap<(usize, Arc<str>), LoadedClass>,
    load_time: Micros,
    /// The number of jobs.
    pub jobs: u64,
    /// Jobs that found no warm worker.
    pub cold_starts: u64,
    /// Jobs that found all workers of the zone busy. They queue on the first worker and count as cold starts.
    pub all_busy: u64,
    /// Idle warm time over all workers and classes, in microseconds.
    pub idle_time: Micros,
    /// Calls to load a class or keep it warm.
    pub calls: u64,
}

impl WorkerModel {
    /// Creates `per_zone` workers in each of `zones` zones, which take `load_time` to load a class.
    #[must_use]
    pub fn new(per_zone: usize, zones: usize, load_time: Micros) -> WorkerModel {
        let workers: Vec<Worker> = (0..per_zone * zones)
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
            busy_until: vec![0; workers.len()],
            workers,
            worker_orders: BTreeMap::new(),
            loaded: BTreeMap::new(),
            load_time,
            jobs: 0,
            cold_starts: 0,
            all_busy: 0,
            idle_time: 0,
            calls: 0,
        }
    }

    fn worker_index(&self, name: &str) -> Option<usize> {
        self.workers.iter().position(|w| &*w.name == name)
    }

    /// Calls a worker to load a class if it is not loaded, and to keep it warm for `keep`.
    pub fn prepare(&mut self, now: Micros, worker: &str, class: &Arc<str>, keep: Micros) {
        self.calls += 1;
        let Some(worker_index) = self.worker_index(worker) else {
            return;
        };
        let busy_until = self.busy_until[worker_index];
        let new_class = LoadedClass {
            loaded_at: now + self.load_time,
            warm_until: 0,
            idle_since: now,
        };
        let key = (worker_index, class.clone());
        if let Some(old) = self
            .loaded
            .get(&key)
            .copied()
            .filter(|l| l.warm_until.max(l.idle_since) < now)
        {
            self.idle_time += old.warm_until.saturating_sub(old.idle_since);
            self.loaded.remove(&key);
        }
        let loaded = self.loaded.entry(key).or_insert(new_class);
        loaded.warm_until = loaded.warm_until.max(now + keep);
        debug_assert!(loaded.idle_since <= busy_until.max(now));
    }

    /// Runs a job on the first worker in the kind's order that is free and warm, otherwise on the first free one.
    pub fn run_job(&mut self, now: Micros, kind: &Kind, running_time: Micros) -> Placement {
        let selected = self.select(now, kind);
        let worker_index = selected.worker_index;
        self.jobs += 1;
        self.cold_starts += u64::from(!selected.is_warm);
        self.all_busy += u64::from(selected.all_busy);
        let duration = running_time + if selected.is_warm { 0 } else { self.load_time };
        let end = now.max(self.busy_until[worker_index]) + duration;
        self.busy_until[worker_index] = end;
        let key = (worker_index, kind.class.clone());
        let old = self.loaded.get(&key).copied().unwrap_or_default();
        // The class was idle until now, or until its keep-alive ended.
        self.idle_time += old.warm_until.min(now).saturating_sub(old.idle_since);
        let loaded = LoadedClass {
            loaded_at: if selected.is_warm {
                old.loaded_at
            } else {
                now + self.load_time
            },
            warm_until: if old.warm_until >= now {
                old.warm_until
            } else {
                0
            },
            idle_since: end,
        };
        self.loaded.insert(key, loaded);
        Placement {
            worker: self.workers[worker_index].name.clone(),
            duration,
        }
    }

    fn select(&mut self, now: Micros, kind: &Kind) -> Selection {
        let workers = &self.workers;
        let order = self.worker_orders.entry(kind.clone()).or_insert_with(|| {
            let worker_index = |name: &str| workers.iter().position(|worker| &*worker.name == name);
            kind.worker_order(workers)
                .iter()
                .filter_map(|worker| worker_index(&worker.name))
                .collect()
        });
        let is_warm = |worker_index: &usize| {
            let loaded = self.loaded.get(&(*worker_index, kind.class.clone()));
            loaded.is_some_and(|l| l.loaded_at <= now && l.warm_until.max(l.idle_since) >= now)
        };
        let mut free = order.iter().copied().filter(|w| self.busy_until[*w] <= now);
        let warm = free.clone().find(is_warm);
        let first_free = free.next();
        Selection {
            worker_index: warm.or(first_free).unwrap_or(order[0]),
            is_warm: warm.is_some(),
            all_busy: first_free.is_none(),
        }
    }

    /// Ends the scenario, and counts the idle time of the classes that are still warm.
    pub fn finish(&mut self, now: Micros) {
        for loaded in self.loaded.values() {
            self.idle_time += loaded.warm_until.min(now).saturating_sub(loaded.idle_since);
        }
        self.loaded.clear();
    }
}
