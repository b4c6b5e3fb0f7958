//! Load estimates: how many slots a worker has free, and how fast it runs jobs.
//!
//! It owns what reports and running times teach. It must never choose a worker or back off from one.

use rustc_hash::FxHashMap;

use crate::interface::{Report, Reports, Settings, Weights};
use crate::scheduler::Scheduler;
use crate::state::{ClassIndex, WorkerIndex};
use crate::time::Span;

/// Weight of a new observation in learned means: the last twenty count.
pub(super) const LEARNING_RATE: f64 = 0.05;
/// The same for a job's work, which must not follow a fleet that slows down for a while.
const WORK_LEARNING_RATE: f64 = 0.004;
/// Free slots a worker is taken to have where no reports come: with more, a full one is tried too soon.
pub(super) const UNREPORTED_FREE_SLOTS: f64 = 4.0;
/// Share of a class's slack: a start this late shows that the worker had a queue.
pub(super) const QUEUED_START_SHARE: f64 = 0.12;

/// What the reports of all workers have shown together.
#[derive(Default)]
pub(crate) struct ReportStatistics {
    /// The mean of the free slots reported.
    mean_free: f64,
    /// The mean time between two reports of a worker, in microseconds.
    pub mean_gap: f64,
    /// The share of the reports that differ from the worker's one before.
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
            mean_gap: mean_run / 2.0,
            change_share: 1.0,
        }
    }

    /// How old a report in an answer is when it comes: learned from how often the same worker's
    /// report has changed between two answers. Probe results are fresh.
    fn lag(&self, source: Reports) -> f64 {
        match source {
            Reports::Answers => self.mean_gap / self.change_share.max(0.01),
            Reports::Probe | Reports::None => 0.0,
        }
    }
}

/// How long a machine kind runs a job against the mean of the job's class.
struct KindSlowdown {
    /// Over 1 where the kind is slower.
    slowdown: f64,
    /// Of how many jobs that was learned, small ones counted in part.
    served: f64,
}

/// The paces of the machine kinds that have run jobs.
#[derive(Default)]
pub(super) struct KindSlowdowns {
    slowdowns: FxHashMap<u32, KindSlowdown>,
}

impl KindSlowdowns {
    /// A job of the kind has run for so many times the class's mean, and counts with a weight.
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
    /// Takes in a worker's report.
    pub(super) fn on_report(&mut self, w: WorkerIndex, report: Report) {
        let Some(free) = report.free_slots.filter(|x| x.is_finite()) else {
            return;
        };
        if self.is_repeated_report(w, &report) && self.settings.reports == Reports::Answers {
            return; // the same old sample again
        }
        let lag = self.reports.lag(self.settings.reports);
        let load = &mut self.workers[w].load;
        load.free_slots = free - report.backlog.unwrap_or(0.0);
        load.free_memory = report.free_memory;
        load.observed_at = Some(self.now.saturating_sub(Span::from_micros_f64(lag)));
        self.reports.mean_free += LEARNING_RATE * (free - self.reports.mean_free);
    }

    /// A worker that declined a job or let it queue has no slot now, whatever it reported.
    pub(super) fn mark_full(&mut self, w: WorkerIndex) {
        let load = &mut self.workers[w].load;
        load.free_slots = load.free_slots.min(0.0);
        load.observed_at = Some(self.now);
        load.rounding = self.rng.f64();
    }

    /// How far the last observation of a worker still holds: 1 fresh, 0 stale or never observed.
    pub(super) fn freshness(&self, w: WorkerIndex) -> f64 {
        self.workers[w]
            .load
            .observed_at
            .map_or(0.0, |at| (-self.since(at) / self.mean_run).exp())
    }

    /// Free slots as last observed, discounted by age towards the fleet's mean, or one, which stands for the
    /// unobserved (with less, nothing would be sent or observed); one with more own jobs has fewer free.
    pub(super) fn expected_free(&self, w: WorkerIndex) -> f64 {
        let worker = &self.workers[w];
        let own_mean = self.in_flight.slots / self.pools.live.len().max(1) as f64;
        let size = self.relative_capacity(w);
        let unobserved = (size * self.reports.mean_free).max(1.0);
        let mean = unobserved + size * own_mean - worker.in_flight.slots;
        let fresh = self.freshness(w);
        fresh * worker.load.free_slots + (1.0 - fresh) * mean
    }

    /// Small jobs count for less: what a run costs whatever its size would else make all look far longer.
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

    /// What a worker can do: its weight in the list, by how fast its kind has run jobs.
    pub(crate) fn raw_size(&self, w: WorkerIndex) -> f64 {
        let listing = &self.workers[w].listing;
        let weight = if self.settings.weights == Weights::None {
            1.0
        } else {
            listing.weight
        };
        weight / self.kind_slowdowns.of(listing.kind)
    }

    /// The same against the mean of all.
    pub(super) fn relative_capacity(&self, w: WorkerIndex) -> f64 {
        self.raw_size(w) / self.pools.mean_size
    }
}
