//! Worker selection: the better of two random workers that fit a request.
//!
//! It owns the random draws, the cost of another zone and the walk over the consistent-hash ring. It must
//! never send, nor change what is believed of a worker but for its slow-start budget.

use super::concurrency_limit::INITIAL_SLOTS_PER_WORKER;
use super::load_estimate::QUEUED_START_SHARE;
use super::local_faults::LOCAL_FAULT_PENALTY_SLOTS;
use crate::interface::{RequestId, Scope};
use crate::scheduler::Scheduler;
use crate::state::{BoundGroup, Request, Worker, WorkerIndex};

/// Random draws for a fitting pair, and queued jobs looked past that found none.
pub(super) const MAX_DRAWS: usize = 8;
/// Slots that a worker in another zone counts as busier, for a price of the whole result.
const CROSS_ZONE_SLOTS: f64 = 160.0;

/// How many fitting workers are compared.
const CHOICES: u32 = 2;

/// Which workers may be drawn for a request, and how.
struct SelectionCriteria {
    /// The machine kind that its class needs.
    kind: Option<u32>,
    /// The group that a keyed request which may have run is bound to.
    group: Option<BoundGroup>,
    /// Where on the ring the workers of its key begin.
    home: Option<usize>,
    /// What a worker in another zone counts as busier, in slots.
    zone_cost: f64,
    /// Every other draw is from the own zone.
    prefers_own_zone: bool,
    /// Where the walk through a group begins.
    start: usize,
}

/// A worker that fits.
struct Candidate {
    worker: WorkerIndex,
    /// In slots.
    load: f64,
}

/// The best worker so far.
#[derive(Default)]
struct Choice {
    best: Option<Candidate>,
    /// How many workers were compared.
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
    /// The better of two random fitting workers, or none: then the job stays queued. Every other draw is
    /// from the own zone where crossings are charged, and all from a key's home on the ring, where what was
    /// fetched is used again; the group that a keyed job is bound to is gone through, from a random place.
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

    /// Draws what holds for all draws of a request.
    fn selection_criteria(&mut self, id: RequestId) -> Option<SelectionCriteria> {
        let request = self.requests.get(&id)?;
        let kind = self.settings.class(request.class).kind;
        let key = request.key;
        let group = self.group_of(request);
        let home = key.map(|key| self.home(key));
        // The price of a crossing is drawn anew for each job: else all would cross at the same moment.
        let zone_cost = 2.0 * self.rng.f64() * CROSS_ZONE_SLOTS * self.settings.cross_price;
        let prefers_own_zone = self.settings.cross_price > 0.0
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

    /// The worker whose answer to a probe this request has waited for.
    fn probed_worker(&self, id: RequestId) -> Option<WorkerIndex> {
        let probe = self.requests.get(&id)?.probe?;
        let has_answered = self.workers[probe.worker].health.probed_at >= probe.sent;
        (has_answered && !self.failed_locally_at(id, probe.worker)).then_some(probe.worker)
    }

    /// Draws a worker: the next of a group, the next on the ring, or one at random.
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
            Some(home) if !self.ring.is_empty() => Some(self.ring.worker_behind(home, draw)),
            _ => pool.draw(&mut self.rng),
        }
    }

    /// What a worker counts as busier, in slots, where the last attempt failed for a fault of this machine.
    fn local_fault_penalty(&self, id: RequestId, w: WorkerIndex) -> f64 {
        if self.failed_locally_at(id, w) {
            LOCAL_FAULT_PENALTY_SLOTS
        } else {
            0.0
        }
    }

    /// What the selection compares, in slots: expected free ones and what a send costs extra.
    fn load(&self, w: WorkerIndex, zone_cost: f64) -> f64 {
        let is_other_zone = self.workers[w].listing.zone != self.settings.own_zone();
        let crossing = zone_cost * f64::from(u8::from(is_other_zone));
        crossing + self.wait_penalty(w) - self.expected_free(w)
    }

    /// Whether a request may be sent to a worker now, and there is capacity for it.
    fn fits(&mut self, id: RequestId, w: WorkerIndex, group: Option<BoundGroup>) -> bool {
        let request = &self.requests[&id];
        let may_go_there = self.is_available(w)
            && group.is_none_or(|group| self.is_in_group(group, w))
            && !was_tried_at(request, w)
            && self.has_kind_for(request, w);
        may_go_there && self.has_capacity_for(request, w) && self.slow_start_allows(w)
    }

    /// Whether a worker is of the kind that a request's class needs.
    fn has_kind_for(&self, request: &Request, w: WorkerIndex) -> bool {
        let kind = self.settings.class(request.class).kind;
        kind.is_none_or(|kind| kind == self.workers[w].listing.kind)
    }

    /// Whether a worker is expected to have the slots and the memory that a request takes, and no queue.
    fn has_capacity_for(&self, request: &Request, w: WorkerIndex) -> bool {
        let worker = &self.workers[w];
        let free_memory = worker.load.free_memory;
        let has_memory = self.freshness(w) < 0.5 || free_memory.is_none_or(|m| m >= request.memory);
        let least = request.slots.clamp(1.0, INITIAL_SLOTS_PER_WORKER);
        let has_slots = self.expected_free(w) + worker.load.rounding >= least;
        has_memory && !self.has_queue(worker, request) && has_slots
    }

    /// Whether an own job waits at a worker that should have started.
    fn has_queue(&self, worker: &Worker, request: &Request) -> bool {
        let at_worker = &worker.in_flight;
        at_worker.unstarted > 0
            && at_worker.excluded_slots == 0.0
            && self.since(at_worker.last_sent) > QUEUED_START_SHARE * self.slack(request.class)
    }
}

/// Whether a request had an attempt at a worker that was not for a fault of this machine.
fn was_tried_at(request: &Request, w: WorkerIndex) -> bool {
    let mut attempts = request.attempts.iter();
    attempts.any(|attempt| attempt.worker == w && !attempt.is_local_fault)
}
