//! Selects the better of two random workers that fit a request.
//!
//! The draws take the machine kind, the zone and, for a job with a key, the consistent-hash ring
//! into account. Selection sends nothing, and updates nothing but slow-start budgets.

use super::concurrency_limit::INITIAL_SLOTS_PER_WORKER;
use super::load_estimate::QUEUED_START_SHARE;
use super::local_faults::LOCAL_FAULT_PENALTY_SLOTS;
use crate::interface::{RequestId, Scope};
use crate::scheduler::Scheduler;
use crate::state::{BoundGroup, Request, Worker, WorkerIndex};

/// Upper bound on the random draws for two fitting workers, and on the queued jobs without a
/// fitting worker that are skipped in a tier.
pub(super) const MAX_DRAWS: usize = 8;
/// Mean penalty of a worker in another zone, in slots, at a `cross_zone_cost` of 1 (the value of the
/// whole result).
const CROSS_ZONE_SLOTS: f64 = 160.0;
/// The number of fitting workers that are compared.
const CHOICES: u32 = 2;

/// What all draws for one request have in common.
struct SelectionCriteria {
    /// The machine kind required by the class.
    kind: Option<u32>,
    /// The group to which a keyed request that may have run is bound.
    group: Option<BoundGroup>,
    /// The position of the request's key on the ring.
    home: Option<usize>,
    /// The penalty of a worker in another zone, in slots.
    zone_cost: f64,
    /// Whether every other draw is from the own zone.
    prefers_own_zone: bool,
    /// Where iteration over the workers of a group begins.
    start: usize,
}

/// A worker that fits the request.
struct Candidate {
    worker: WorkerIndex,
    /// Penalties less expected free slots.
    load: f64,
}

/// The best candidate so far.
#[derive(Default)]
struct Choice {
    best: Option<Candidate>,
    /// The number of candidates compared.
    compared: u32,
}

impl Choice {
    fn is_best(&self, w: WorkerIndex) -> bool {
        self.best.as_ref().is_some_and(|best| best.worker == w)
    }

    fn compare(&mut self, candidate: Candidate) {
        let is_no_better = |best: &Candidate| best.load <= candidate.load;
        if !self.best.as_ref().is_some_and(is_no_better) {
            self.best = Some(candidate);
        }
        self.compared += 1;
    }
}

impl Scheduler {
    /// Selects the better of two random fitting workers. If there is none, the job stays queued.
    /// Every other draw is from the own zone if crossing zones has a price. The draws for a key
    /// follow the ring from its position, so that data fetched there is reused. For a keyed job
    /// bound to a group, the live workers are searched from a random position.
    pub(super) fn select_worker(&mut self, id: RequestId) -> Option<WorkerIndex> {
        let criteria = self.selection_criteria(id)?;
        let mut choice = Choice::default();
        if let Some(w) = self.probed_worker(id) {
            if self.fits(id, w, criteria.group) {
                if self.workers[w].wait.mean == 0.0 {
                    return Some(w);
                }
                choice.compare(Candidate {
                    worker: w,
                    load: self.load(w, criteria.zone_cost),
                });
            }
        }
        let draws = match criteria.group {
            Some(_) => self.pools.live.len(),
            None => MAX_DRAWS,
        };
        for draw in 0..draws {
            let w = self.draw(&criteria, draw)?;
            if choice.is_best(w) || !self.fits(id, w, criteria.group) {
                continue;
            }
            choice.compare(Candidate {
                worker: w,
                load: self.load(w, criteria.zone_cost) + self.local_fault_penalty(id, w),
            });
            if choice.compared == CHOICES {
                break;
            }
        }
        choice.best.map(|best| best.worker)
    }

    /// Determines what the draws for a request have in common, including its random price of
    /// crossing zones.
    fn selection_criteria(&mut self, id: RequestId) -> Option<SelectionCriteria> {
        let request = self.requests.get(&id)?;
        let kind = self.settings.class(request.class).kind;
        let key = request.key;
        let group = self.group_of(request);
        let home = key.map(|key| self.home(key));
        // A random price per job prevents all jobs from crossing at the same moment.
        let zone_cost = 2.0 * self.rng.f64() * CROSS_ZONE_SLOTS * self.settings.cross_zone_cost;
        let prefers_own_zone = self.settings.cross_zone_cost > 0.0
            && !self.pools.own_zone.is_empty()
            && self.zone_wait_penalty(self.settings.own_zone()) < zone_cost;
        Some(SelectionCriteria {
            kind,
            group: group.filter(|group| group.scope != Scope::All),
            home,
            zone_cost,
            prefers_own_zone,
            start: self.rng.usize(..self.pools.live.len().max(1)),
        })
    }

    /// The worker that answered this request's probe, unless the last attempt failed there with a
    /// local fault.
    fn probed_worker(&self, id: RequestId) -> Option<WorkerIndex> {
        let probe = self.requests.get(&id)?.probe?;
        let has_answered = self.workers[probe.worker].health.probed_at >= probe.sent;
        (has_answered && !self.failed_locally_at(id, probe.worker)).then_some(probe.worker)
    }

    /// Draws a worker: the next one for a group, the next one on the ring, or a random one.
    fn draw(&mut self, criteria: &SelectionCriteria, draw: usize) -> Option<WorkerIndex> {
        if criteria.group.is_some() {
            let live = &self.pools.live;
            let place = (criteria.start + draw) % live.len();
            return Some(live.workers[place]);
        }
        let pool = match criteria.kind {
            Some(kind) => self.pools.by_kind.get(&kind)?,
            None if criteria.prefers_own_zone && draw % 2 == 0 => &self.pools.own_zone,
            None => &self.pools.live,
        };
        match criteria.home {
            Some(home) if !self.ring.is_empty() => Some(self.ring.worker_after(home, draw)),
            _ => pool.draw(&mut self.rng),
        }
    }

    /// The penalty of the worker at which the last attempt failed with a local fault, in slots.
    fn local_fault_penalty(&self, id: RequestId, w: WorkerIndex) -> f64 {
        if self.failed_locally_at(id, w) {
            LOCAL_FAULT_PENALTY_SLOTS
        } else {
            0.0
        }
    }

    /// The load by which workers are compared, in slots: the penalties less the expected free
    /// slots.
    fn load(&self, w: WorkerIndex, zone_cost: f64) -> f64 {
        let is_other_zone = self.workers[w].listing.zone != self.settings.own_zone();
        let crossing = zone_cost * f64::from(u8::from(is_other_zone));
        crossing + self.wait_penalty(w) - self.expected_free(w)
    }

    /// Whether a request may be sent to a worker now and the worker has capacity for it.
    fn fits(&mut self, id: RequestId, w: WorkerIndex, group: Option<BoundGroup>) -> bool {
        let request = &self.requests[&id];
        let may_go_there = self.is_available(w)
            && group.is_none_or(|group| self.is_in_group(group, w))
            && !was_tried_at(request, w)
            && self.has_kind_for(request, w);
        may_go_there && self.has_capacity_for(request, w) && self.slow_start_allows(w)
    }

    /// Whether a worker is of the machine kind required by the request's class.
    fn has_kind_for(&self, request: &Request, w: WorkerIndex) -> bool {
        let kind = self.settings.class(request.class).kind;
        kind.is_none_or(|kind| kind == self.workers[w].listing.kind)
    }

    /// Whether a worker is expected to have enough slots and memory for a request, and no queue.
    fn has_capacity_for(&self, request: &Request, w: WorkerIndex) -> bool {
        let worker = &self.workers[w];
        let free_memory = worker.load.free_memory;
        let has_memory = self.freshness(w) < 0.5 || free_memory.is_none_or(|m| m >= request.memory);
        let least = request.slots.clamp(1.0, INITIAL_SLOTS_PER_WORKER);
        let has_slots = self.expected_free(w) + worker.load.rounding >= least;
        has_memory && !self.has_queue(worker, request) && has_slots
    }

    /// Whether a job of this scheduler is waiting at a worker and should have started by now.
    fn has_queue(&self, worker: &Worker, request: &Request) -> bool {
        let at_worker = &worker.in_flight;
        at_worker.unstarted > 0
            && at_worker.excluded_slots == 0.0
            && self.micros_since(at_worker.last_sent)
                > QUEUED_START_SHARE * self.slack(request.class)
    }
}

/// Whether a request had an attempt at a worker, other than one that failed with a local fault.
fn was_tried_at(request: &Request, w: WorkerIndex) -> bool {
    let mut attempts = request.attempts.iter();
    attempts.any(|attempt| attempt.worker == w && !attempt.is_local_fault)
}
