//! Admission: which requests enter the queues, in which tier, and when they leave them or are rejected.
//!
//! It owns the deadlines of queued requests, the thresholds j and k, and the order of dispatch by tier. It
//! must never choose a worker or change the concurrency limit.

use super::load_estimate::LEARNING_RATE;
use super::worker_selection::MAX_DRAWS;
use crate::interface::{Action, Earlier, Effect, Job, RequestId, Scope};
use crate::scheduler::Scheduler;
use crate::state::{QueuedRequest, Request, Tier};
use crate::time::{Instant, Span};

/// Share of the slack from a job's own work that queueing leaves unused: small jobs have less.
const RESERVED_SLACK: f64 = 0.5;

/// What became of a queued job that was to be dispatched.
enum DispatchOutcome {
    Sent,
    /// Its worker is being probed: it stays queued, and its slots are reserved.
    Probing,
    /// No worker fits: it stays queued.
    NoWorker,
}

impl Scheduler {
    /// A request has come in: it is queued in its tier, or rejected.
    pub(super) fn on_request(&mut self, id: RequestId, job: &Job, earlier: &[Earlier]) {
        let attempts = self.inherit(earlier);
        self.rates.count_arrival(self.now, self.mean_run);
        let is_beyond_share = self.is_beyond_share(job.tenant);
        let Some(class) = self.classes.find(job.class) else {
            let retry_after = None;
            return self.actions.push(Action::Reject { id, retry_after });
        };
        let mut request = Request::new(job, class, attempts);
        self.set_deadlines(&mut request, Span::from_micros(job.remaining));
        request.tier = self.classes[class].tier;
        if is_beyond_share {
            // It has the least priority: it is queued below all tiers within shares.
            request.tier = self.queues.beyond_share(request.tier);
        }
        // What may have run for a predecessor, and may not run again, has its answer at once.
        let cannot_retry = !request.attempts.is_empty() && !self.may_retry(&request);
        let is_basic = self.queues.is_lowest(request.tier);
        let is_rejected =
            cannot_retry || is_basic && self.queues_are_full(request.dispatch_deadline);
        self.requests.insert(id, request);
        self.enqueue(id);
        if is_rejected {
            self.end(id);
        }
    }

    /// Counts a tenant's request against this scheduler's part of its share; whether it is beyond.
    fn is_beyond_share(&mut self, tenant: Option<u32>) -> bool {
        let Some(tenant) = tenant.map(|tenant| tenant as usize) else {
            return false;
        };
        let Some(share) = self.settings.tenants.get(tenant) else {
            return false;
        };
        let rate = share / f64::from(self.settings.schedulers);
        self.tenant_shares.is_exceeded(tenant, rate, self.now)
    }

    /// Sets a request's deadline, its latency objective, the last moment for its dispatch, and its size.
    fn set_deadlines(&mut self, request: &mut Request, remaining: Span) {
        let class = self.settings.class(request.class);
        let estimate = &mut self.classes[request.class];
        let remaining = remaining.min(class.deadline);
        // A client's repeat has less time left than a first try: its objective began with the first.
        estimate.longest_remaining = estimate.longest_remaining.max(remaining);
        let elapsed = estimate.longest_remaining - remaining;
        let first_try = self.now.saturating_sub(elapsed);
        request.deadline = self.now + remaining;
        // A hint is the job's own work, rough as it may be; else the class's mean stands for it.
        request.size = request
            .hint
            .map_or(1.0, |hint| estimate.size(hint, LEARNING_RATE));
        let work = request.hint.unwrap_or(estimate.work);
        let run = estimate.run * request.size;
        request.latency_objective = (first_try + class.latency_objective)
            .saturating_add(Span::from_micros_f64(class.stretch * work))
            .min(request.deadline);
        // Two ticks early, so that the answer is out before the objective passes. When all is slow, jobs
        // with little work can still be in time: they get a moment to find a worker.
        let reserved = run + RESERVED_SLACK * (class.stretch - 1.0).max(0.0) * work;
        let two_ticks = self.settings.tick * 2;
        let latest = request
            .latency_objective
            .saturating_sub(Span::from_micros_f64(reserved) + two_ticks);
        request.dispatch_deadline = latest
            .max(first_try + class.latency_objective / 4)
            .min(request.deadline.saturating_sub(two_ticks));
    }

    /// j and k: with j jobs queued in total, or k premium ones, a basic job would wait out its
    /// slack. Both follow the rate at which jobs leave.
    fn queues_are_full(&self, dispatch_deadline: Instant) -> bool {
        let total = self.queues.len() as f64;
        let premium = self.queues.len_above_lowest() as f64;
        let time_left = dispatch_deadline.saturating_since(self.now).as_micros_f64();
        let j = (self.rates.departures.last * time_left).max(4.0);
        total >= j || (self.queues.has_premium_tier() && premium >= (j / 4.0).max(4.0))
    }

    /// Rejects queued work that cannot meet its latency objective any more, unsent, before that passes.
    pub(super) fn reject_expired(&mut self) {
        for tier in self.queues.tiers() {
            while let Some(expired) = self.queues.first_expired(tier, self.now) {
                self.dequeue(expired.id);
                let request = self.requests.get(&expired.id);
                if request.is_some_and(|request| request.open == 0) {
                    self.end(expired.id);
                }
            }
        }
    }

    /// The final answer of a request that was not served: rejected where that is harmless.
    pub(super) fn end(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let class = self.settings.class(request.class);
        let may_repeat_anywhere = class.effect == Effect::Safe
            || class.effect == Effect::Keyed && class.scope == Scope::All;
        let may_have_run = request.attempts.iter().any(|a| a.may_have_run);
        let answer = if may_repeat_anywhere || !may_have_run {
            let wait = Span::from_micros_f64(self.mean_run).min(self.settings.max_retry_after);
            Action::Reject {
                id,
                retry_after: self.settings.retry_after.then_some(wait.as_micros()),
            }
        } else {
            Action::Fail { id }
        };
        self.actions.push(answer);
        self.finish(id);
    }

    /// Dispatches queued jobs strictly top tier first while own slots in flight stay under the limit.
    pub(super) fn dispatch_queued(&mut self) {
        let allowed = self.allowed_slots();
        let mut probing_slots = 0.0;
        for tier in self.queues.tiers() {
            if !self.dispatch_tier(tier, allowed, &mut probing_slots) {
                break;
            }
        }
    }

    /// Dispatches what it can of a tier; whether the next tier may follow.
    fn dispatch_tier(&mut self, tier: Tier, allowed: f64, probing_slots: &mut f64) -> bool {
        let mut next = QueuedRequest::FIRST;
        let mut skipped = 0;
        let mut is_blocked = false;
        while self.in_flight.counted() + *probing_slots < allowed && skipped <= MAX_DRAWS {
            let Some(queued) = self.queues.first_from(tier, next) else {
                break;
            };
            next = queued.next();
            let id = queued.id;
            match self.dispatch_one(id) {
                DispatchOutcome::Sent => {}
                DispatchOutcome::Probing => *probing_slots += self.requests[&id].slots,
                DispatchOutcome::NoWorker => {
                    skipped += 1;
                    is_blocked |= self.fits_most_workers(id);
                }
            }
        }
        !is_blocked && self.queues.first_from(tier, next).is_none()
    }

    /// Sends a queued job, or has its worker probed first.
    fn dispatch_one(&mut self, id: RequestId) -> DispatchOutcome {
        if self.awaits_probe(id) {
            return DispatchOutcome::Probing;
        }
        let Some(w) = self.select_worker(id) else {
            return DispatchOutcome::NoWorker;
        };
        if self.probe_if_needed(id, w) {
            return DispatchOutcome::Probing;
        }
        self.send(id, w);
        DispatchOutcome::Sent
    }

    /// Whether a job that found no worker shows that all are full: one that can go to some workers only, or
    /// is wide, holds up nobody who could be dispatched.
    fn fits_most_workers(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let needs_kind = self.settings.class(request.class).kind.is_some();
        let is_bound = needs_kind || !request.attempts.is_empty();
        !is_bound && request.slots <= 1.0
    }
}
