//! Decides where and when each request is sent, and when it is rejected.
//!
//! The mechanism follows the acceptor of "Web Server Support for Tiered Services" (HPL-1999-160).
//! Jobs wait in one queue per tier and are dispatched in strict tier order while this scheduler's
//! slots in flight are below a learned concurrency limit; basic jobs are the first to be rejected.
//! docs/design.md describes the extensions.
//!
//! | module | concern |
//! | --- | --- |
//! | `admission` | tiers, queue thresholds j and k, rejections, order of dispatch |
//! | `concurrency_limit` | how many slots this scheduler may have in flight |
//! | `worker_selection` | better of two random workers, cross-zone cost, consistent-hash ring |
//! | `load_estimate`, `waits` | worker estimates from reports, running times and waits |
//! | `failure_detection` | unresponsive and failing workers, and their backoff |
//! | `slow_start` | work budget of a worker that has just started |
//! | `attempts`, `retry`, `local_faults` | starts and ends of attempts, retries, faults of this machine |
//! | `probing` | probes of a worker's queue length before a send |
//! | `discovery_polling` | when the endpoint list is requested, and what it changes |
//!
//! This module defines the [`Scheduler`], passes each event to the module concerned and sets the
//! timer. The interface is in `interface/`, the records of workers and requests are in `state/`.
//! The scheduler does no I/O and never reads a clock.

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

/// The resolution of the clock, and the shortest duration of anything that must take time.
const CLOCK_RESOLUTION: Span = Span::from_micros(1);

/// The decisions and the state of one scheduler.
#[derive(Default)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Instant,
    pub(crate) actions: Vec<Action>,
    /// When the timer fires; [`Instant::MAX`] if none is set.
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
    /// Translates start times in the endpoint list to the clock of this process.
    pub(crate) start_times: StartTimes,
    /// Workers that operators have excluded. Kept apart from the endpoint list, because no list
    /// update lifts an exclusion.
    pub(crate) manual_exclusions: FxHashSet<WorkerId>,
    pub(crate) watch_queue: WatchQueue,
    /// Backoffs taken over from the predecessor, for workers that are not listed here yet.
    pub(crate) resumed_backoffs: FxHashMap<WorkerId, Backoff>,

    // Load
    /// The mean running time of jobs over all workers, in microseconds.
    pub(crate) mean_run: f64,
    pub(crate) in_flight: InFlight,
    pub(crate) rates: Rates,
    pub(crate) reports: ReportStatistics,
    kind_slowdowns: KindSlowdowns,
    zone_waits: ZoneWaits,
    concurrency_limit: ConcurrencyLimit,

    /// Other live processes of this scheduler, as during a hot restart.
    pub(crate) other_processes: usize,
    /// No worker may be used until discovery has confirmed the endpoint list.
    awaits_confirmation: bool,
    discovery_polling: DiscoveryPolling,
}

impl Scheduler {
    /// Creates a scheduler without any observations; `seed` is its only source of randomness.
    ///
    /// # Errors
    ///
    /// Returns the first setting that cannot be used.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let tiers = TierOrder::new(&settings.classes);
        // The latency objective serves as the running time until jobs have run.
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
        // Requests beyond a tenant's share are queued in a second set of tiers below the first.
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

    /// Handles one event. Events of unknown or ended requests, attempts and workers are ignored.
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

    /// Handles an observation of an attempt or a probe.
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
            // Nothing is decided on a streaming response: the client owns the attempt.
            _ => {}
        }
    }

    /// Handles a timer event. The event may come from an earlier timer that has been replaced.
    fn on_timer(&mut self) {
        if self.wake_at <= self.now {
            self.wake_at = Instant::MAX;
        }
    }

    /// Decides on all queued requests, and appends the actions since the last call to `actions`.
    pub fn dispatch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.now = Instant::from_micros(now);
        self.detect_unresponsive();
        self.rescale_pools();
        self.requeue_backed_off();
        self.reject_expired();
        self.reject_undispatchable();
        self.dispatch_queued();
        self.poll_discovery();
        self.set_timer();
        actions.append(&mut self.actions);
    }

    /// Sets a single timer for the earliest due time, or none if nothing is pending.
    fn set_timer(&mut self) {
        let backoff_end = self.backoffs.next_end().unwrap_or(Instant::MAX);
        let mut next = self.discovery_polling.due_at().min(backoff_end);
        if let Some(deadline) = self.queues.first_deadline() {
            // Queued jobs are reconsidered as estimates age, and rejected by their deadline.
            let retry_at = self.now + Span::from_micros_f64(self.mean_run / 16.0);
            next = next.min(deadline).min(retry_at);
        }
        self.wake_by(next.max(self.now + self.settings.tick.max(CLOCK_RESOLUTION)));
    }
}

/// Assigns classes to tiers by priority weight, then by priority; classes equal in both share a
/// tier. Tier 0 is the highest.
struct TierOrder {
    ranks: Vec<Rank>,
}

/// The key by which classes are sorted into tiers.
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
        Tier::from_top(above.unwrap_or(0))
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
