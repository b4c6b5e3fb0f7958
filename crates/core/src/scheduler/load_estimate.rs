//! Estimates the free slots of each worker and how fast it runs jobs.
//!
//! The estimates come from load reports and running times. They only inform worker selection and
//! failure detection, which decide elsewhere.

use rustc_hash::FxHashMap;

use crate::interface::{Report, Reports, Settings, Weights};
use crate::scheduler::Scheduler;
use crate::state::{ClassIndex, WorkerIndex};
use crate::time::Span;

/// Weight of a new observation in moving averages, which thus cover about twenty observations.
pub(super) const LEARNING_RATE: f64 = 0.05;
/// The same for a job's own work, which must not follow a temporary slowdown of all workers.
const WORK_LEARNING_RATE: f64 = 0.004;
/// Free slots assumed of a worker without load reports. With more, a full worker is tried again too
/// soon.
pub(super) const UNREPORTED_FREE_SLOTS: f64 = 4.0;
/// A start after more than this share of its class's slack shows that the worker had a queue.
pub(super) const QUEUED_START_SHARE: f64 = 0.12;

/// Statistics over the load reports of all workers.
#[derive(Default)]
pub(crate) struct ReportStatistics {
    /// Mean of the free slots reported.
    mean_free: f64,
    /// Mean time between two reports of a worker, in microseconds.
    pub mean_report_interval: f64,
    /// Share of the reports that differ from the same worker's previous one.
    pub change_share: f64,
}

impl ReportStatistics {
    pub(super) fn new(settings: &Settings, mean_run: f64) -> Self {
        ReportStatistics {
            mean_free: if settings.uses_load_reports() {
                1.0
            } else {
                UNREPORTED_FREE_SLOTS
            },
            mean_report_interval: mean_run / 2.0,
            change_share: 1.0,
        }
    }

    /// The age of a report in an answer when it arrives, in microseconds, estimated from how often
    /// a worker's report changes between two answers. Probe results are current.
    fn lag(&self, source: Reports) -> f64 {
        match source {
            Reports::Answers => self.mean_report_interval / self.change_share.max(0.01),
            Reports::Probe | Reports::None => 0.0,
        }
    }
}

/// The running time of jobs on a machine kind relative to the means of the jobs' classes.
struct KindSlowdown {
    /// Above 1 if the kind is slower than the mean.
    slowdown: f64,
    /// Number of jobs the estimate is based on, small ones counted in part.
    served: f64,
}

/// The slowdowns of the machine kinds that have run jobs.
#[derive(Default)]
pub(super) struct KindSlowdowns {
    slowdowns: FxHashMap<u32, KindSlowdown>,
}

impl KindSlowdowns {
    /// Records a job that ran `slowdown` times its class's mean on a machine kind.
    fn observe(&mut self, kind: u32, slowdown: f64, weight: f64) {
        let known = self.slowdowns.entry(kind).or_insert(KindSlowdown {
            slowdown: 1.0,
            served: 1.0 / LEARNING_RATE,
        });
        known.served += weight;
        known.slowdown +=
            weight * (1.0 / known.served).max(WORK_LEARNING_RATE) * (slowdown - known.slowdown);
    }

    fn of(&self, kind: u32) -> f64 {
        self.slowdowns
            .get(&kind)
            .map_or(1.0, |known| known.slowdown.max(LEARNING_RATE))
    }
}

impl Scheduler {
    /// Handles a worker's load report.
    pub(super) fn on_report(&mut self, w: WorkerIndex, report: Report) {
        let Some(free) = report.free_slots.filter(|x| x.is_finite()) else {
            return;
        };
        if self.record_report(w, &report) && self.settings.reports == Reports::Answers {
            return; // no new sample
        }
        let lag = self.reports.lag(self.settings.reports);
        let load = &mut self.workers[w].load;
        load.free_slots = free - report.backlog.unwrap_or(0.0);
        load.free_memory = report.free_memory;
        load.observed_at = Some(self.now.saturating_sub(Span::from_micros_f64(lag)));
        self.reports.mean_free += LEARNING_RATE * (free - self.reports.mean_free);
    }

    /// Marks a worker without free slots, whatever it reported, because it declined a job or let
    /// one queue.
    pub(super) fn mark_full(&mut self, w: WorkerIndex) {
        let load = &mut self.workers[w].load;
        load.free_slots = load.free_slots.min(0.0);
        load.observed_at = Some(self.now);
        load.rounding = self.rng.f64();
    }

    /// How far the last observation of a worker is still valid: 1 if new, 0 if outdated or missing.
    pub(super) fn freshness(&self, w: WorkerIndex) -> f64 {
        self.workers[w]
            .load
            .observed_at
            .map_or(0.0, |at| (-self.micros_since(at) / self.mean_run).exp())
    }

    /// The expected free slots of a worker: those last observed, discounted with age towards the
    /// mean of all workers. An unobserved worker counts as having at least one, as with less
    /// nothing would be sent there or observed. A worker with more of this scheduler's jobs than
    /// the mean has fewer free.
    pub(super) fn expected_free(&self, w: WorkerIndex) -> f64 {
        let worker = &self.workers[w];
        let own_mean = self.in_flight.slots / self.pools.live.len().max(1) as f64;
        let size = self.relative_capacity(w);
        let unobserved = (size * self.reports.mean_free).max(1.0);
        let mean = unobserved + size * own_mean - worker.in_flight.slots;
        let fresh = self.freshness(w);
        fresh * worker.load.free_slots + (1.0 - fresh) * mean
    }

    /// Records the running time of a job. Small jobs have less weight: the fixed cost of a run,
    /// scaled up by their size, would make all jobs appear much longer.
    pub(super) fn observe_run(&mut self, class: ClassIndex, w: WorkerIndex, ran: f64, size: f64) {
        let unit = ran / size;
        let weight = size.min(1.0);
        let estimate = &mut self.classes[class];
        estimate.run += LEARNING_RATE * weight * (unit - estimate.run);
        estimate.served += weight;
        estimate.work +=
            (unit - estimate.work) * weight * (1.0 / estimate.served).max(WORK_LEARNING_RATE);
        self.mean_run += LEARNING_RATE * (ran - self.mean_run);
        let slowdown = unit / estimate.work;
        let kind = self.workers[w].listing.kind;
        self.kind_slowdowns.observe(kind, slowdown, weight);
    }

    /// The capacity of a worker: its weight in the endpoint list divided by the slowdown of its
    /// kind.
    pub(crate) fn capacity(&self, w: WorkerIndex) -> f64 {
        let listing = &self.workers[w].listing;
        let weight = if self.settings.weights == Weights::None {
            1.0
        } else {
            listing.weight
        };
        weight / self.kind_slowdowns.of(listing.kind)
    }

    /// The capacity of a worker relative to the mean of the live workers.
    pub(super) fn relative_capacity(&self, w: WorkerIndex) -> f64 {
        self.capacity(w) / self.pools.mean_size
    }
}
