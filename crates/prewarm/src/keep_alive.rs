//! Keep-alives: which classes are kept warm on which workers, and until when.
//!
//! Keep-alives exist only on available workers, and are limited by each worker's budget and capacity and by the
//! share of the fleet's capacity.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use thiserror::Error;

use crate::place::{Kind, Worker};
use crate::{Effect, Micros};

/// A class that is kept warm on a worker.
#[derive(Clone, Copy, Debug)]
struct KeepAlive {
    until: Micros,
    /// Whether this member called the worker. If not, the responsible member is assumed to have called it.
    is_own: bool,
}

/// A demand to keep the class of a kind warm on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand<'a> {
    /// The index of the kind.
    pub kind_index: usize,
    pub class: &'a Arc<str>,
    /// The index of the worker.
    pub worker_index: usize,
    pub until: Micros,
    /// Whether this member is to call the worker. If not, another member is assumed to, and the keep-alive only
    /// counts towards the limits.
    pub calls_worker: bool,
    /// Whether the worker has loaded the class or is about to load it for a job, so that no budget is needed.
    pub is_loaded: bool,
}

/// Why a demand was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum Rejection {
    #[error("the share of the fleet's capacity is used up")]
    OverShare,
    #[error("the worker's budget or capacity is used up")]
    OverBudget,
    #[error("too many effects are pending")]
    QueueFull,
}

/// The active keep-alives and the limits on them.
#[derive(Debug, Default)]
pub(crate) struct KeepAlives {
    pub workers: Vec<Worker>,
    /// The indices of the available workers by zone, to avoid a search through all workers for each kind.
    by_zone: BTreeMap<Arc<str>, Vec<usize>>,
    /// The maximum number of keep-alives.
    max_keep_alives: usize,
    max_warm_share: f64,
    /// Keep-alives by worker index and kind index.
    active: BTreeMap<(usize, usize), KeepAlive>,
    pub effects: VecDeque<Effect>,
}

/// The maximum number of pending effects.
const MAX_PENDING_EFFECTS: usize = 4_096;

impl KeepAlives {
    pub fn new(max_warm_share: f64) -> KeepAlives {
        KeepAlives {
            max_warm_share: max_warm_share.clamp(0.0, 1.0),
            ..KeepAlives::default()
        }
    }

    /// Replaces the workers, and drops the keep-alives on those that are no longer available.
    pub fn set_workers(&mut self, workers: &[Worker]) {
        let old = std::mem::replace(&mut self.workers, workers.to_vec());
        let mut index_of: BTreeMap<&str, usize> = BTreeMap::new();
        let mut capacity = 0;
        self.by_zone.clear();
        for (index, worker) in self.workers.iter().enumerate() {
            if !worker.is_available() {
                continue;
            }
            index_of.insert(&worker.name, index);
            capacity += u64::from(worker.max_classes);
            let in_zone = self.by_zone.entry(worker.zone.clone()).or_default();
            in_zone.push(index);
        }
        self.max_keep_alives = (capacity as f64 * self.max_warm_share) as usize;
        for ((index, kind_index), keep_alive) in std::mem::take(&mut self.active) {
            if let Some(index) = index_of.get(&*old[index].name) {
                self.active.insert((*index, kind_index), keep_alive);
            }
        }
        // A pending call must not reach a worker that is no longer available.
        self.effects
            .retain(|Effect::Prepare { worker, .. }| index_of.contains_key(&**worker));
    }

    /// The indices of the available workers for a kind, in the order in which they are kept warm.
    pub fn worker_order(&self, kind: &Kind) -> Vec<usize> {
        let mut order = self.by_zone.get(&kind.zone).cloned().unwrap_or_default();
        order.sort_by_cached_key(|index| kind.sort_key(&self.workers[*index]));
        order
    }

    /// The maximum number of keep-alives over all workers and classes.
    pub fn max_keep_alives(&self) -> usize {
        self.max_keep_alives
    }

    /// When the keep-alive of a kind on a worker ends; 0 if there is none.
    pub fn ends_at(&self, worker_index: usize, kind_index: usize) -> Micros {
        let keep_alive = self.active.get(&(worker_index, kind_index));
        keep_alive.map_or(0, |keep_alive| keep_alive.until)
    }

    /// Drops the keep-alives that have ended.
    pub fn expire(&mut self, now: Micros) {
        self.active.retain(|_, keep_alive| keep_alive.until > now);
    }

    /// Drops the keep-alives of a kind for which other members were assumed to have called.
    pub fn retain_own(&mut self, kind_index: usize) {
        self.active
            .retain(|key, keep_alive| key.1 != kind_index || keep_alive.is_own);
    }

    /// Adds or extends a keep-alive within the limits. Nothing changes if the current one already lasts long
    /// enough.
    pub fn demand(&mut self, now: Micros, demand: Demand<'_>) -> Result<(), Rejection> {
        self.expire(now);
        let key = (demand.worker_index, demand.kind_index);
        let current = self.active.get(&key).copied();
        let calls_worker = demand.calls_worker;
        let is_met =
            |current: KeepAlive| current.until >= demand.until && (current.is_own || !calls_worker);
        if demand.until <= now || current.is_some_and(is_met) {
            return Ok(());
        }
        if calls_worker && self.effects.len() >= MAX_PENDING_EFFECTS {
            return Err(Rejection::QueueFull);
        }
        // A keep-alive assumed of another member is checked again, because the limits may have been lowered.
        if current.is_none_or(|current| calls_worker && !current.is_own) {
            self.check_capacity(demand.worker_index, current.is_some())?;
        }
        let worker = &mut self.workers[demand.worker_index];
        debug_assert!(
            worker.is_available(),
            "demand for an unavailable worker: {worker:?}"
        );
        if current.is_none() && calls_worker && !demand.is_loaded {
            worker.budget = worker.budget.checked_sub(1).ok_or(Rejection::OverBudget)?;
        }
        let keep_alive = KeepAlive {
            until: current.map_or(demand.until, |current| current.until.max(demand.until)),
            is_own: calls_worker || current.is_some_and(|current| current.is_own),
        };
        self.active.insert(key, keep_alive);
        if calls_worker {
            self.effects.push_back(Effect::Prepare {
                worker: worker.name.clone(),
                class: demand.class.clone(),
                keep_ms: (keep_alive.until - now).div_ceil(1_000),
            });
        }
        Ok(())
    }

    /// Checks that a worker and the fleet have capacity for one keep-alive. With `is_counted`, it is already among
    /// the active ones.
    fn check_capacity(&self, worker_index: usize, is_counted: bool) -> Result<(), Rejection> {
        let counted = usize::from(is_counted);
        if self.active.len() - counted >= self.max_keep_alives {
            return Err(Rejection::OverShare);
        }
        let on_worker = self
            .active
            .range((worker_index, 0)..(worker_index + 1, 0))
            .count()
            - counted;
        if on_worker >= self.workers[worker_index].max_classes as usize {
            return Err(Rejection::OverBudget);
        }
        Ok(())
    }
}
