//! Applies the endpoint list to the worker table, and removes workers that have long left it.
//!
//! A worker that any request still refers to is never removed. Manual exclusions are stored by worker id,
//! apart from the table, and so outlast both list updates and removals.

use super::{Request, Retained, Scheduler, WorkerIndex, Zone};
use crate::figures::Members;
use crate::interface::{Condition, Effect, ListKind, Row, Scope, WorkerId};
use crate::time::Instant;

/// Weights below this, or above its reciprocal, count as 1: floating-point sums over a wider range would
/// lose the smaller terms.
const MIN_WEIGHT: f64 = 1e-6;

/// How many workers the table may hold in addition to twice the active ones before inactive workers are
/// removed. Also bounds the backoffs and starts that are taken over from a predecessor for workers not listed
/// yet.
pub(super) const RETAINED_WORKERS: usize = 4_096;

/// The group of workers to which a keyed request is bound once it may have run.
#[derive(Clone, Copy)]
pub(crate) struct BoundGroup {
    pub scope: Scope,
    /// Any worker of the group.
    pub member: WorkerIndex,
}

/// The result of applying a row of the list.
pub(super) struct AppliedRow {
    pub worker: WorkerIndex,
    /// Whether the worker has restarted or has become usable again.
    pub is_fresh: bool,
}

impl Scheduler {
    /// The group of workers to which a request is bound: that of the first attempt which may have run. `None`
    /// if no attempt may have run or its class is not keyed.
    pub(crate) fn group_of(&self, request: &Request) -> Option<BoundGroup> {
        let class = self.settings.class(request.class);
        let first = request.first_that_may_have_run()?;
        (class.effect == Effect::Keyed).then_some(BoundGroup {
            scope: class.scope,
            member: first.worker,
        })
    }

    /// Whether a worker belongs to a group, whose workers drop repeats of what any of them has run.
    pub(crate) fn is_in_group(&self, group: BoundGroup, w: WorkerIndex) -> bool {
        let member = &self.workers[group.member].listing;
        let other = &self.workers[w].listing;
        let is_same_zone = member.zone.is_same_known(other.zone);
        match group.scope {
            Scope::All => true,
            Scope::Zone => is_same_zone,
            Scope::Cell => is_same_zone && member.cell == other.cell,
        }
    }

    /// Applies the rows of a list. The slow-start budget of a worker that has restarted or become usable
    /// again begins with a random debt of up to the mean cost of one job, so that not all schedulers send
    /// their first job to it at once.
    pub(crate) fn apply_rows(&mut self, kind: ListKind, rows: &[Row]) {
        for row in rows.iter().filter(|row| row.online_since > 0) {
            let start = Instant::from_micros(row.online_since);
            self.start_times.observe_start(self.now, start);
        }
        for row in rows {
            let applied = self.apply_row(row);
            if applied.is_fresh {
                let debt = self.rng.f64() * self.mean_run;
                let worker = &mut self.workers[applied.worker];
                worker.slow_start.set_initial_debt(debt);
            }
        }
        let has_listed = self.workers.iter().any(|worker| worker.listing.is_listed);
        let is_from_discovery = matches!(kind, ListKind::Snapshot | ListKind::Delta);
        if is_from_discovery && has_listed {
            self.start_times.observe_list(self.now);
        }
    }

    /// Applies a row of the list. The slow-start budget of a worker that has restarted or become usable again
    /// starts to grow only now: otherwise every scheduler would hold credit from the time when none could
    /// send there.
    pub(super) fn apply_row(&mut self, row: &Row) -> AppliedRow {
        let has_restarted = self.update_listing(row);
        let w = self.workers.find_or_add(row.worker);
        let listing = &self.workers[w].listing;
        let is_usable_again = listing.online_since > Instant::ZERO
            && listing.is_active
            && !self.pools.live.contains(w);
        let is_fresh = has_restarted || is_usable_again;
        let worker = &mut self.workers[w];
        if is_fresh {
            worker.slow_start.restart_accrual(self.now);
        }
        if let Some(backoff) = self.resumed_backoffs.remove(&row.worker) {
            worker.health.backoff = backoff;
        }
        AppliedRow {
            worker: w,
            is_fresh,
        }
    }

    /// Updates a worker's listing from a row. Returns whether the worker has restarted.
    fn update_listing(&mut self, row: &Row) -> bool {
        let online_since = Instant::from_micros(row.online_since);
        let started_at = self
            .start_times
            .translate(self.now, row.worker, online_since);
        let w = self.workers.find_or_add(row.worker);
        let worker = &mut self.workers[w];
        let listing = &mut worker.listing;
        listing.zone = Zone::new(row.zone);
        listing.kind = row.kind;
        listing.cell = row.cell;
        listing.weight = usable_weight(row.weight);
        listing.is_active = row.condition == Condition::Active;
        listing.is_listed = row.condition != Condition::Left;
        let has_restarted = listing.online_since != online_since;
        listing.online_since = online_since;
        if has_restarted {
            listing.started_at = started_at;
            worker.reset_observations();
        }
        has_restarted
    }

    /// The share of its full capacity that a worker has at least reached while it warms up; 1 once it is
    /// warm.
    pub(crate) fn warm_up_progress(&self, w: WorkerIndex) -> f64 {
        let (settings, since) = (&self.settings, self.workers[w].listing.started_at);
        if since == Instant::ZERO || self.micros_since(since) >= settings.ramp.as_micros_f64() {
            return 1.0;
        }
        settings.cold_share
            + (1.0 - settings.cold_share) * self.micros_since(since) / settings.ramp.as_micros_f64()
    }

    /// Whether a worker is known. Active workers always are.
    #[must_use]
    pub fn knows(&self, worker: WorkerId) -> bool {
        self.workers.find(worker).is_some()
    }

    /// Whether a worker is in the endpoint list.
    pub(crate) fn is_listed(&self, worker: WorkerId) -> bool {
        let index = self.workers.find(worker);
        index.is_some_and(|w| self.workers[w].listing.is_listed)
    }

    /// The number of known workers.
    pub(crate) fn known_workers(&self) -> usize {
        self.workers.len()
    }

    /// Whether a worker is active and not manually excluded.
    pub(crate) fn is_usable(&self, w: WorkerIndex) -> bool {
        let worker = &self.workers[w];
        worker.listing.is_active && !self.is_excluded(worker.id)
    }

    /// Whether a worker is manually excluded by operators.
    #[must_use]
    pub fn is_excluded(&self, worker: WorkerId) -> bool {
        self.manual_exclusions.contains(&worker)
    }

    /// Whether jobs may be sent to a worker now, apart from what a particular job requires. Worker selection
    /// and the figures for operators both use this.
    pub(crate) fn is_available(&self, w: WorkerIndex) -> bool {
        self.is_usable(w) && self.workers[w].health.backoff.is_over(self.now)
    }

    /// Counts the listed workers and those among them that are not available now.
    #[must_use]
    pub fn members(&self) -> Members {
        let mut members = Members::default();
        for w in self.workers.indices() {
            if self.workers[w].listing.is_listed {
                members.listed += 1;
                members.unavailable += usize::from(!self.is_available(w));
            }
        }
        members
    }

    /// Removes inactive workers to which no request refers, once there are many of them. The table would
    /// otherwise grow without bound in a fleet where each replaced machine gets a new id.
    pub(super) fn remove_inactive_workers(&mut self) {
        if self.workers.len() <= RETAINED_WORKERS {
            return;
        }
        let active = self.workers.iter().filter(|w| w.listing.is_active).count();
        if self.workers.len() <= 2 * active + RETAINED_WORKERS {
            return;
        }
        let mut retained = Retained::active(&self.workers);
        for request in self.requests.values() {
            for attempt in &request.attempts {
                retained.add(attempt.worker);
            }
            if let Some(probe) = request.probe {
                retained.add(probe.worker);
            }
        }
        let moves = self.workers.retain(&retained);
        self.ring.clear();
        self.watch_queue.retain(&moves);
        for request in self.requests.values_mut() {
            if let Some(probe) = &mut request.probe {
                moves.apply(&mut probe.worker);
            }
            for attempt in &mut request.attempts {
                moves.apply(&mut attempt.worker);
            }
        }
    }
}

fn usable_weight(weight: f64) -> f64 {
    if (MIN_WEIGHT..=1.0 / MIN_WEIGHT).contains(&weight) {
        weight
    } else {
        1.0
    }
}
