//! Admits requests to the tier queues, and dispatches or rejects them from there.
//!
//! Sets the deadlines of queued requests, applies the queue thresholds j and k, and orders dispatch
//! by tier. The choice of a worker and changes of the concurrency limit are left to other modules.

use super::load_estimate::LEARNING_RATE;
use super::worker_selection::MAX_DRAWS;
use crate::interface::{Action, Earlier, Effect, Job, RequestId, Scope};
use crate::scheduler::Scheduler;
use crate::state::{QueuedRequest, Request, Tier};
use crate::time::{Instant, Span};

/// Share of the slack that grows with the work of a job, `(stretch - 1) * work`, that is not spent
/// in the queue. Small jobs have less of that slack.
const RESERVED_SLACK: f64 = 0.5;

/// The result of an attempt to dispatch a queued job.
enum DispatchOutcome {
    Sent,
    /// The selected worker is being probed. The job stays queued, with its slots reserved.
    Probing,
    /// No worker fits. The job stays queued.
    NoWorker,
}

impl Scheduler {
    /// Queues a new request in its tier, or rejects it.
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
            // Requests beyond the share have the lowest priority, below all tiers of requests
            // within.
            request.tier = self.queues.beyond_share(request.tier);
        }
        // A request that may have run under a predecessor and must not run again is answered at
        // once.
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

    /// Counts a request of a tenant against this scheduler's part of the tenant's share. Returns
    /// whether the request exceeds it.
    fn is_beyond_share(&mut self, tenant: Option<u32>) -> bool {
        let Some(tenant) = tenant.map(|tenant| tenant as usize) else {
            return false;
        };
        let Some(share) = self.settings.tenants.get(tenant) else {
            return false;
        };
        let rate = share / f64::from(self.settings.schedulers);
        self.tenant_shares.count_request(tenant, rate, self.now)
    }

    /// Sets the deadline, latency objective, dispatch deadline and size of a request.
    fn set_deadlines(&mut self, request: &mut Request, remaining: Span) {
        let class = self.settings.class(request.class);
        let estimate = &mut self.classes[request.class];
        let remaining = remaining.min(class.deadline);
        // The latency objective runs from the first try. A try with less time left than the longest
        // seen for its class counts as a repeat by the client that began correspondingly earlier.
        estimate.longest_remaining = estimate.longest_remaining.max(remaining);
        let elapsed = estimate.longest_remaining - remaining;
        let first_try = self.now.saturating_sub(elapsed);
        request.deadline = self.now + remaining;
        // A hint, even an inaccurate one, is the job's own work; without one, the mean of the class
        // is used.
        request.size = request
            .hint
            .map_or(1.0, |hint| estimate.observe_hint(hint, LEARNING_RATE));
        let work = request.hint.unwrap_or(estimate.work);
        let run = estimate.run * request.size;
        request.latency_objective = (first_try + class.latency_objective)
            .saturating_add(Span::from_micros_f64(class.stretch * work))
            .min(request.deadline);
        // Two ticks are subtracted so that the answer leaves before the objective passes. While
        // everything is slow, jobs with little work can still be in time, so each job has at least
        // a quarter of the objective to find a worker.
        let reserved = run + RESERVED_SLACK * (class.stretch - 1.0).max(0.0) * work;
        let two_ticks = self.settings.tick * 2;
        let latest = request
            .latency_objective
            .saturating_sub(Span::from_micros_f64(reserved) + two_ticks);
        request.dispatch_deadline = latest
            .max(first_try + class.latency_objective / 4)
            .min(request.deadline.saturating_sub(two_ticks));
    }

    /// Whether a basic job would use up its slack in the queue: at j queued jobs in total, or at k
    /// premium ones. Both thresholds scale with the rate of departures.
    fn queues_are_full(&self, dispatch_deadline: Instant) -> bool {
        let total = self.queues.len() as f64;
        let premium = self.queues.len_above_lowest() as f64;
        let time_left = dispatch_deadline.saturating_since(self.now).as_micros_f64();
        let j = (self.rates.departures.last * time_left).max(4.0);
        total >= j || (self.queues.has_premium_tier() && premium >= (j / 4.0).max(4.0))
    }

    /// Rejects queued requests that can no longer meet their latency objective, before it passes. A
    /// request with an attempt in flight only leaves the queue.
    pub(super) fn reject_expired(&mut self) {
        for tier in self.queues.tiers() {
            while let Some(expired) = self.queues.first_expired(tier, self.now) {
                self.give_up(expired.id);
            }
        }
    }

    /// Rejects all queued requests while no worker may be used until the endpoint list is
    /// confirmed: how long that takes is unknown, and elsewhere they may be served.
    pub(super) fn reject_undispatchable(&mut self) {
        if !self.awaits_confirmation {
            return;
        }
        for tier in self.queues.tiers() {
            while let Some(queued) = self.queues.first_from(tier, QueuedRequest::FIRST) {
                self.give_up(queued.id);
            }
        }
    }

    /// Removes a request from its queue, and answers it unless an attempt is in flight.
    fn give_up(&mut self, id: RequestId) {
        self.dequeue(id);
        let request = self.requests.get(&id);
        if request.is_some_and(|request| request.open == 0) {
            self.end(id);
        }
    }

    /// Sends the final answer to a request that was not served: a rejection if a repeat by the
    /// client is harmless, otherwise a failure.
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

    /// Dispatches queued jobs in strict tier order while this scheduler's slots in flight are below
    /// the concurrency limit.
    pub(super) fn dispatch_queued(&mut self) {
        let allowed = self.allowed_slots();
        let mut probing_slots = 0.0;
        for tier in self.queues.tiers() {
            if !self.dispatch_tier(tier, allowed, &mut probing_slots) {
                break;
            }
        }
    }

    /// Dispatches as many jobs of a tier as possible. Returns whether the next tier may follow.
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

    /// Sends a queued job, or first probes the worker selected for it.
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

    /// Whether a job that found no worker indicates that all workers are full. A job restricted to
    /// some workers, or one that needs several slots, does not hold up other jobs.
    fn fits_most_workers(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let needs_kind = self.settings.class(request.class).kind.is_some();
        let is_bound = needs_kind || !request.attempts.is_empty();
        !is_bound && request.slots <= 1.0
    }
}
