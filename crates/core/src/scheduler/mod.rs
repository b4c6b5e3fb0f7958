//! The scheduler: all decisions on requests and workers, a module for each concern.
//!
//! The mechanism is the acceptor of "Web Server Support for Tiered Services" (HPL-1999-160): jobs wait in
//! per-tier queues, leave strictly top tier first while own slots in flight stay under a learned concurrency
//! limit, and basic jobs are rejected first. docs/design.md has what was added.
//!
//! | module | concern |
//! | --- | --- |
//! | `admission` | tiers, the thresholds j and k, rejections, the order of dispatch |
//! | `concurrency_limit` | how many own slots may be in flight |
//! | `worker_selection` | the better of two random workers, zone cost, the consistent-hash ring |
//! | `load_estimate`, `waits` | what reports, running times and waits teach of a worker |
//! | `failure_detection` | unresponsive and failing workers, and the backoff from them |
//! | `slow_start` | the budget of a worker that has just started |
//! | `attempts`, `retry`, `local_faults` | sends, starts, ends; retries; faults of this machine |
//! | `probing` | asking a worker for its queue before a send |
//! | `discovery_polling` | when the endpoint list is requested, and what it changes |
//!
//! This module owns the [`Scheduler`], hands each event to its concern and sets the one timer. The interface
//! is in `interface/`, the records of workers and requests in `state/`. It must never do I/O or read a clock.

use rustc_hash::{FxHashMap, FxHashSet};

use crate::interface::{
    Action, Class, Event, Micros, RequestId, Settings, SettingsError, WorkerId,
};
use crate::state::{
    AttemptId, ClassEstimate, ClassTable, HashRing, InFlight, Rates, Request, StartTimes,
    TenantShares, Tier, TierQueues, WorkerPools, WorkerTable,
};
use crate::time::{Instant, Span};

mod admission;
mod attempts;
mod concurrency_limit;
mod discovery_polling;
pub(crate) mod failure_detection;
mod load_estimate;
mod local_faults;
mod probing;
mod retry;
pub(crate) mod slow_start;
mod waits;
mod worker_selection;

use concurrency_limit::ConcurrencyLimit;
use discovery_polling::DiscoveryPolling;
use failure_detection::{Backoff, WatchQueue};
use load_estimate::{KindSlowdowns, ReportStatistics, LEARNING_RATE};
use local_faults::LocalFaultBackoffs;
use retry::RetryPolicy;
use waits::ZoneWaits;

/// The resolution of the clock: what must take some time takes this at least.
const CLOCK_RESOLUTION: Span = Span::from_micros(1);

/// The decisions of one scheduler.
#[derive(Default)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Instant,
    pub(crate) actions: Vec<Action>,
    /// When the timer is set to go off; [`Instant::MAX`]: never.
    pub(crate) wake_at: Instant,

    // Requests
    pub(crate) classes: ClassTable,
    pub(crate) requests: FxHashMap<RequestId, Request>,
    pub(crate) queues: TierQueues,
    pub(crate) backoffs: LocalFaultBackoffs,
    retry_policy: RetryPolicy,
    tenant_shares: TenantShares,

    // Workers
    pub(crate) workers: WorkerTable,
    pub(crate) pools: WorkerPools,
    pub(crate) ring: HashRing,
    /// Translates the starts in the list to the clock of this process.
    pub(crate) start_times: StartTimes,
    /// Workers that operators have excluded. Apart from the list: nothing in it lifts an exclusion.
    pub(crate) manual_exclusions: FxHashSet<WorkerId>,
    pub(crate) watch_queue: WatchQueue,
    /// The backoffs of the predecessor from workers that are not listed here yet.
    pub(crate) resumed_backoffs: FxHashMap<WorkerId, Backoff>,

    // Load
    /// The mean running time of jobs over the fleet, in microseconds.
    pub(crate) mean_run: f64,
    pub(crate) in_flight: InFlight,
    pub(crate) rates: Rates,
    pub(crate) reports: ReportStatistics,
    kind_slowdowns: KindSlowdowns,
    zone_waits: ZoneWaits,
    concurrency_limit: ConcurrencyLimit,

    /// Processes of this scheduler that live beside this one.
    pub(crate) sharing_processes: usize,
    discovery_polling: DiscoveryPolling,
}

impl Scheduler {
    /// A scheduler that knows nothing yet; `seed` is its only source of randomness.
    ///
    /// # Errors
    ///
    /// Names the first setting that cannot be used.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let tiers = TierOrder::new(&settings.classes);
        // Until jobs have been seen to run, the latency objective stands for the running time.
        let estimate = |class: &Class| {
            ClassEstimate::new(
                tiers.of(class),
                class
                    .latency_objective
                    .max(CLOCK_RESOLUTION)
                    .as_micros_f64(),
                1.0 / LEARNING_RATE,
            )
        };
        let classes = ClassTable::new(settings.classes.iter().map(estimate).collect());
        let mean_run = classes.mean_run();
        // What is beyond a tenant's share is queued in a second set of tiers below the first.
        let sets_of_tiers = if settings.tenants.is_empty() { 1 } else { 2 };
        Ok(Scheduler {
            rng: fastrand::Rng::with_seed(seed),
            wake_at: Instant::MAX,
            classes,
            queues: TierQueues::new(sets_of_tiers * tiers.len()),
            retry_policy: RetryPolicy::new(&settings),
            mean_run,
            reports: ReportStatistics::new(&settings, mean_run),
            discovery_polling: DiscoveryPolling::new(&settings),
            settings,
            ..Scheduler::default()
        })
    }

    /// Takes in one event. What is unknown or already ended is ignored.
    pub fn on_event(&mut self, now: Micros, event: Event<'_>) {
        self.now = Instant::from_micros(now);
        match event {
            Event::List { kind, rows } => self.on_list(kind, rows),
            Event::Request { id, job, earlier } => self.on_request(id, &job, earlier),
            Event::Cancelled { id } => self.finish(id),
            Event::ShuttingDown { id } => self.end(id),
            Event::Exclusion {
                worker,
                is_excluded,
            } => self.on_exclusion(worker, is_excluded),
            Event::WallClock { wall } => {
                let wall = Instant::from_micros(wall);
                self.start_times.observe_wall_clock(self.now, wall);
            }
            Event::Timer => self.on_timer(),
            Event::Streaming { .. }
            | Event::Started { .. }
            | Event::Progress { .. }
            | Event::Settled { .. }
            | Event::Probed { .. } => self.on_observation(event),
        }
    }

    /// Takes in what was observed of an attempt or a probe.
    fn on_observation(&mut self, event: Event<'_>) {
        match event {
            Event::Started { id, attempt } => self.on_started(AttemptId::new(id, attempt)),
            Event::Progress { id, attempt } => self.on_progress(AttemptId::new(id, attempt)),
            Event::Settled {
                id,
                attempt,
                ending,
                finished,
                report,
            } => self.on_settled(AttemptId::new(id, attempt), ending, finished, report),
            Event::Probed {
                worker,
                ending,
                report,
            } => self.on_probed(worker, ending, report),
            // The client owns a stream that has begun.
            _ => {}
        }
    }

    /// The timer has gone off, or an earlier one that was replaced.
    fn on_timer(&mut self) {
        if self.wake_at <= self.now {
            self.wake_at = Instant::MAX;
        }
    }

    /// Decides on everything queued, and hands over all actions since the last call.
    pub fn dispatch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.now = Instant::from_micros(now);
        self.detect_unresponsive();
        self.reweigh_pools();
        self.requeue_backed_off();
        self.reject_expired();
        self.dispatch_queued();
        self.poll_discovery();
        self.set_timer();
        actions.append(&mut self.actions);
    }

    /// One timer for whatever comes first; none where nothing waits.
    fn set_timer(&mut self) {
        let backoff_end = self.backoffs.next_end().unwrap_or(Instant::MAX);
        let mut next = self.discovery_polling.due_at().min(backoff_end);
        if let Some(deadline) = self.queues.first_deadline() {
            // Queued jobs are tried again as estimates age, and rejected before it is too late.
            let retry_at = self.now + Span::from_micros_f64(self.mean_run / 16.0);
            next = next.min(deadline).min(retry_at);
        }
        self.wake_by(next.max(self.now + self.settings.tick.max(CLOCK_RESOLUTION)));
    }
}

/// The tiers of classes: by priority weight, then priority; equals share a tier. Tier 0 is the top.
struct TierOrder {
    ranks: Vec<Rank>,
}

/// What decides on a class's tier.
#[derive(Clone, Copy, PartialEq)]
struct Rank {
    priority_weight: f64,
    priority: i64,
}

impl TierOrder {
    fn new(classes: &[Class]) -> Self {
        let mut ranks: Vec<Rank> = classes.iter().map(Rank::of).collect();
        ranks.sort_by(|a, b| {
            let by_weight = b.priority_weight.total_cmp(&a.priority_weight);
            by_weight.then(b.priority.cmp(&a.priority))
        });
        ranks.dedup();
        TierOrder { ranks }
    }

    fn len(&self) -> usize {
        self.ranks.len()
    }

    fn of(&self, class: &Class) -> Tier {
        let rank = Rank::of(class);
        let above = self.ranks.iter().position(|r| *r == rank);
        Tier::below(above.unwrap_or(0))
    }
}

impl Rank {
    fn of(class: &Class) -> Self {
        Rank {
            priority_weight: class.priority_weight,
            priority: class.priority,
        }
    }
}
