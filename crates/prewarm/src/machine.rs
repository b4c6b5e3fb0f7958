//! The prewarming state machine of one member. Its inputs are arrivals, shared rows, the member and worker lists,
//! and the time; its outputs are calls to workers and raises of shared rows.
//!
//! Every member plans all kinds from the same rows. A member that becomes responsible for a kind therefore has
//! its model, and the limits on keep-alives apply to all kinds together. Only the responsible member calls
//! workers ahead of a job.

mod planning;
mod snapshot;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::arrival_model::{ArrivalModel, Forecast};
use crate::keep_alive::KeepAlives;
use crate::place::{Kind, Worker};
use crate::slots::{
    RowKey, Slots, MAX_RUNNING_TIME, RUNNING_TIME_JOBS, RUNNING_TIME_SUM, RUNNING_TIME_UNIT, SLOT,
    WINDOW,
};
use crate::{Config, Micros, SECOND};

pub use snapshot::RestoreError;

/// The maximum number of pending raises.
const MAX_PENDING_RAISES: usize = 4_096;
/// The largest sampling exponent: rows report at least one in 2^16 arrivals.
pub(crate) const MAX_SAMPLING_EXPONENT: u8 = 16;
/// For frequent kinds, the fleet reports one running time per this many seconds.
const RUNNING_TIME_INTERVAL_S: f64 = 20.0;

/// An effect for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Call a worker to load a class if it is not loaded, and to keep it warm for `keep_ms` from now unless an
    /// earlier call lasts longer. The call is idempotent.
    Prepare {
        /// The worker's name.
        worker: Arc<str>,
        /// The class.
        class: Arc<str>,
        /// The duration of the keep-alive, in milliseconds.
        keep_ms: u64,
    },
}

/// An increment of a count in one of this member's shared rows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Raise {
    /// The window of the row.
    pub window: u32,
    /// The subject of the row.
    pub subject: Vec<u8>,
    /// The index of the count.
    pub index: usize,
    /// The increment.
    pub add: u32,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls to keep a class warm after a job, by the member that sent the job.
    pub keep_alive_calls: u64,
    /// Calls ahead of an expected job, by the responsible member.
    pub prewarm_calls: u64,
    /// Demands rejected because the fleet's share was used up.
    pub over_share: u64,
    /// Demands rejected because a worker's budget or capacity was used up.
    pub over_budget: u64,
    /// Demands rejected because too many effects were pending.
    pub queue_full: u64,
    /// Lookups of kinds that are not modelled because [`Config::max_kinds`] was reached.
    pub unmodelled: u64,
    /// Rows with a malformed subject.
    pub malformed_rows: u64,
}

/// A kind, its model and its plan.
struct KindState {
    kind: Kind,
    model: ArrivalModel,
    /// The indices of the available workers, in the order in which they are kept warm.
    worker_order: Vec<usize>,
    /// The member responsible for the kind.
    responsible: Option<Arc<str>>,
    is_responsible: bool,
    /// The window and sampling exponent of the last reported arrival, until a running time is reported in its
    /// row.
    last_report: Option<(u32, u8)>,
    next_plan: Micros,
    /// The moving mean, over about a minute, of arrivals per second in the fleet.
    rate: f64,
    /// The time of the last arrivals included in `rate`.
    rate_updated: Micros,
}

/// A kind and the worker on which it is to be kept warm, both as indices.
#[derive(Clone, Copy)]
struct Target {
    kind_index: usize,
    worker_index: usize,
}

/// The prewarming state machine of one member.
pub struct Prewarm {
    config: Config,
    rng: fastrand::Rng,
    /// The index of each kind in `kinds`.
    index: BTreeMap<Kind, usize>,
    kinds: Vec<KindState>,
    slots: Slots,
    /// Pending increments by window, subject and index.
    raises: BTreeMap<(u32, Vec<u8>, usize), u32>,
    members: Vec<Arc<str>>,
    keep_alives: KeepAlives,
    counts: Counts,
}

impl Prewarm {
    /// Creates a state machine that knows no other members and no workers. `seed` determines the sampling.
    #[must_use]
    pub fn new(config: Config, seed: u64) -> Prewarm {
        let members = vec![config.name.clone()];
        Prewarm {
            keep_alives: KeepAlives::new(config.max_warm_share),
            config,
            rng: fastrand::Rng::with_seed(seed),
            index: BTreeMap::new(),
            kinds: Vec::new(),
            slots: Slots::default(),
            raises: BTreeMap::new(),
            members,
            counts: Counts::default(),
        }
    }

    /// Sets the live members and updates the responsibilities. This member is added if it is missing.
    pub fn set_members(&mut self, live: &[Arc<str>]) {
        let previous = std::mem::replace(&mut self.members, live.to_vec());
        if !self.members.contains(&self.config.name) {
            self.members.push(self.config.name.clone());
        }
        let previous: BTreeSet<&Arc<str>> = previous.iter().collect();
        let current: BTreeSet<&Arc<str>> = self.members.iter().collect();
        let joined: Vec<&Arc<str>> = current.difference(&previous).copied().collect();
        for (kind_index, entry) in self.kinds.iter_mut().enumerate() {
            // Responsibility moves only to members that joined or away from members that left, so that most kinds
            // need no search through all members.
            let remaining = entry.responsible.as_ref().filter(|m| current.contains(m));
            let responsible = match remaining {
                Some(remaining) => {
                    let candidates = joined.iter().copied().chain([remaining]);
                    entry.kind.highest_scoring(candidates)
                }
                None => entry.kind.responsible(&self.members),
            };
            entry.responsible = responsible.cloned();
            let is_responsible = entry.responsible.as_ref() == Some(&self.config.name);
            if is_responsible && !entry.is_responsible {
                // The previous member may have died before it called the workers, so its calls are repeated.
                self.keep_alives.retain_own(kind_index);
                entry.next_plan = 0;
            }
            entry.is_responsible = is_responsible;
        }
    }

    /// Sets the workers and their budgets, and drops the keep-alives on unavailable workers.
    pub fn set_workers(&mut self, workers: &[Worker]) {
        self.keep_alives.set_workers(workers);
        for entry in &mut self.kinds {
            entry.worker_order = self.keep_alives.worker_order(&entry.kind);
            entry.next_plan = 0;
        }
    }

    fn kind_index(&mut self, kind: &Kind) -> Option<usize> {
        if let Some(kind_index) = self.index.get(kind) {
            return Some(*kind_index);
        }
        if self.kinds.len() >= self.config.max_kinds {
            self.counts.unmodelled += 1;
            return None;
        }
        let responsible = kind.responsible(&self.members).cloned();
        self.kinds.push(KindState {
            kind: kind.clone(),
            model: ArrivalModel::default(),
            worker_order: self.keep_alives.worker_order(kind),
            is_responsible: responsible.as_ref() == Some(&self.config.name),
            responsible,
            last_report: None,
            next_plan: Micros::MAX,
            rate: 0.0,
            rate_updated: 0,
        });
        self.index.insert(kind.clone(), self.kinds.len() - 1);
        Some(self.kinds.len() - 1)
    }

    /// Records that this member sends a job to a worker. The arrival is reported to the other members, and the
    /// worker is called to keep the class warm as long as another job is likely enough.
    pub fn record_arrival(&mut self, now: Micros, kind: &Kind, worker: Option<&str>) {
        let Some(kind_index) = self.kind_index(kind) else {
            return;
        };
        self.slots.record_own(now, kind_index);
        self.report_arrival(now, kind_index);
        if let Some(worker) = worker {
            self.keep_warm(now, kind, worker);
        }
    }

    /// Calls a worker that takes a job to keep its class warm as long as another job is likely enough. Unlike
    /// [`Prewarm::record_arrival`], it records no arrival.
    pub fn keep_warm(&mut self, now: Micros, kind: &Kind, worker: &str) {
        let Some(kind_index) = self.kind_index(kind) else {
            return;
        };
        let on_time_share = self.slots.on_time_share();
        let entry = &mut self.kinds[kind_index];
        let workers = &self.keep_alives.workers;
        let is_worker = |index: &usize| &*workers[*index].name == worker;
        let Some(rank) = entry.worker_order.iter().position(is_worker) else {
            return;
        };
        let worker_index = entry.worker_order[rank];
        // A level without jobs uses the default keep-alive.
        if entry.model.levels() <= rank {
            entry.model.ensure_level(rank);
        }
        let max_pause = 2.0 * self.config.load_time as f64 / SECOND as f64;
        let first_range = entry
            .model
            .warm_ranges(rank, on_time_share, &self.config)
            .first();
        let Some(first_range) = first_range.filter(|range| range.from <= max_pause) else {
            return;
        };
        let length = (first_range.to * SECOND as f64) as Micros;
        let until = now + length.min(self.config.max_keep_alive);
        let target = Target {
            kind_index,
            worker_index,
        };
        if self.demand(now, target, until, true, true) {
            self.counts.keep_alive_calls += 1;
        }
    }

    /// Records the running time of a job, and reports it in the row of the kind's last reported arrival.
    pub fn record_running_time(&mut self, kind: &Kind, running_time: Micros) {
        let Some(kind_index) = self.kind_index(kind) else {
            return;
        };
        let running_time = running_time.min(MAX_RUNNING_TIME);
        let entry = &mut self.kinds[kind_index];
        entry.model.record_running_time(running_time);
        if let Some((window, sampling_exponent)) = entry.last_report.take() {
            let units = running_time.div_ceil(RUNNING_TIME_UNIT).max(1) as u32;
            for (index, add) in [(RUNNING_TIME_SUM, units), (RUNNING_TIME_JOBS, 1)] {
                let key = (window, kind.subject(sampling_exponent), index);
                *self.raises.entry(key).or_default() += add;
            }
        }
    }

    /// Reports an arrival to the other members. Arrivals of frequent kinds are sampled.
    fn report_arrival(&mut self, now: Micros, kind_index: usize) {
        let entry = &self.kinds[kind_index];
        let excess = entry.rate / self.config.max_exact_rate.max(1e-9);
        let sampling_exponent = excess
            .log2()
            .ceil()
            .clamp(0.0, f64::from(MAX_SAMPLING_EXPONENT)) as u8;
        let is_drawn = self.rng.u32(..1 << sampling_exponent) == 0;
        if !is_drawn || self.raises.len() >= MAX_PENDING_RAISES {
            return;
        }
        let window = Slots::window(now);
        let index = (now % WINDOW / SLOT) as usize;
        let key = (window, entry.kind.subject(sampling_exponent), index);
        *self.raises.entry(key).or_default() += 1;
        let reported_rate = entry.rate * f64::from(1_u32 << sampling_exponent).recip();
        let reports_running_time = self.rng.f64() * RUNNING_TIME_INTERVAL_S * reported_rate < 1.0;
        self.kinds[kind_index].last_report =
            reports_running_time.then_some((window, sampling_exponent));
    }

    /// Takes the pending increments of this member's shared rows.
    pub fn take_raises(&mut self) -> Vec<Raise> {
        std::mem::take(&mut self.raises)
            .into_iter()
            .map(|((window, subject, index), add)| Raise {
                window,
                subject,
                index,
                add,
            })
            .collect()
    }

    /// Merges the current counts of another member's row. Rows may be merged in any order and repeatedly.
    pub fn merge_row(
        &mut self,
        now: Micros,
        owner: &str,
        window: u32,
        subject: &[u8],
        counts: &[u32],
    ) {
        let Some((kind, sampling_exponent)) = Kind::from_subject(subject) else {
            self.counts.malformed_rows += 1;
            return;
        };
        let Some(kind_index) = self.kind_index(&kind) else {
            return;
        };
        let row = RowKey {
            window,
            owner: xxh3_64(owner.as_bytes()),
            kind_index,
            sampling_exponent,
        };
        let merged = self.slots.merge(now, row, counts);
        let entry = &mut self.kinds[kind_index];
        if let Some(running_time) = merged.mean_running_time {
            entry.model.record_running_time(running_time);
        }
        for at in merged.late_arrivals {
            entry.model.record_late_arrival(at);
            entry.next_plan = 0;
        }
    }

    /// The maximum number of keep-alives over all workers and classes.
    #[must_use]
    pub fn max_keep_alives(&self) -> usize {
        self.keep_alives.max_keep_alives()
    }

    /// Takes the next pending effect, in order.
    pub fn poll_effect(&mut self) -> Option<Effect> {
        self.keep_alives.effects.pop_front()
    }

    /// The earliest time at which [`Prewarm::tick`] has work to do.
    #[must_use]
    pub fn next_wake(&self) -> Option<Micros> {
        let due = self
            .kinds
            .iter()
            .map(|e| e.next_plan)
            .min()
            .filter(|due| *due < Micros::MAX);
        due.into_iter().chain(self.slots.next_close()).min()
    }

    /// The workers for a kind, in the order in which they are kept warm. Jobs should go to the first with free
    /// capacity.
    #[must_use]
    pub fn worker_order(&self, kind: &Kind) -> Vec<Arc<str>> {
        kind.worker_order(&self.keep_alives.workers)
            .into_iter()
            .map(|w| w.name.clone())
            .collect()
    }

    /// Forecasts the arrivals of a kind within a horizon, given in microseconds; `None` if the kind is not
    /// modelled.
    pub fn forecast(&mut self, now: Micros, kind: &Kind, horizon: Micros) -> Option<Forecast> {
        let entry = &mut self.kinds[*self.index.get(kind)?];
        Some(
            entry
                .model
                .forecast(now, horizon, self.slots.on_time_share(), &self.config),
        )
    }

    /// The counters since the start of the process.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The share of slots that other members reported in time.
    #[must_use]
    pub fn on_time_share(&self) -> f64 {
        self.slots.on_time_share()
    }
}
