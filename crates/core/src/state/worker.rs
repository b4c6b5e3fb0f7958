//! The state of a single worker: its listing, the attempts in flight there, and its observed load and health.
//!
//! Changes to a worker's slots in flight go through this module, which updates the totals over all workers
//! with them. Whether a worker is unresponsive or full is decided in `scheduler`.

use super::Scheduler;
use crate::interface::{Report, RequestId, WorkerId};
use crate::scheduler::failure_detection::Backoff;
use crate::scheduler::slow_start::SlowStartBudget;
use crate::state::{WorkerIndex, Zone};
use crate::time::Instant;

/// Weight of a new report in the moving averages over reports.
const REPORT_SMOOTHING: f64 = 0.05;

/// A worker as this scheduler knows it.
pub(crate) struct Worker {
    pub id: WorkerId,
    pub listing: Listing,
    pub in_flight: WorkerInFlight,
    pub load: ObservedLoad,
    /// How long this scheduler's jobs recently waited there to start.
    pub wait: Wait,
    pub health: Health,
    /// The work that may still be sent to it while it warms up.
    pub slow_start: SlowStartBudget,
}

/// A worker's entry in the endpoint list.
#[derive(Default)]
pub(crate) struct Listing {
    pub zone: Zone,
    pub kind: u32,
    pub cell: u32,
    /// Relative capacity; always positive.
    pub weight: f64,
    /// Whether it is in the list, in any state.
    pub is_listed: bool,
    /// Whether the list reports it as running and accepting jobs.
    pub is_active: bool,
    /// Its start time as given in the list. A change of it shows that the worker has restarted.
    pub online_since: Instant,
    /// The same start time on the clock of this process, from which the warm-up is counted.
    pub started_at: Instant,
}

/// This scheduler's attempts at a worker.
#[derive(Default)]
pub(crate) struct WorkerInFlight {
    /// Slots occupied by the attempts that are counted.
    pub slots: f64,
    /// Of these, slots not counted against the concurrency limit because the worker is unresponsive.
    pub excluded_slots: f64,
    /// The attempts without an outcome, lost ones included.
    pub attempts: Vec<AttemptId>,
    /// How many of them are counted, that is, not lost.
    pub open: u32,
    /// How many of the counted ones are not known to have started.
    pub unstarted: u32,
    /// When the most recent attempt was sent.
    pub last_sent: Instant,
}

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptId {
    pub request: RequestId,
    /// Position among the request's attempts, from 0.
    pub number: usize,
}

impl AttemptId {
    pub(crate) fn new(request: RequestId, number: u32) -> Self {
        AttemptId {
            request,
            number: number as usize,
        }
    }
}

/// A worker's load as known from its reports and from when its jobs start.
#[derive(Default)]
pub(crate) struct ObservedLoad {
    /// The last report, unmodified.
    pub report: Report,
    /// When the last report arrived.
    pub reported_at: Instant,
    /// Free slots as last observed, updated as this scheduler's attempts start and stop counting.
    pub free_slots: f64,
    /// Free memory as last reported.
    pub free_memory: Option<f64>,
    /// The time to which `free_slots` and `free_memory` apply; `None` if nothing was observed.
    pub observed_at: Option<Instant>,
    /// Random share of a slot that is added to the expected free slots, so that fractions are rounded up or
    /// down at random. Redrawn with each observation and each send.
    pub rounding: f64,
}

/// How long this scheduler's jobs recently waited to start at a worker or in a zone.
#[derive(Clone, Copy, Default)]
pub(crate) struct Wait {
    /// Moving average in microseconds.
    pub mean: f64,
    /// When a wait was last observed.
    pub observed_at: Instant,
}

/// Evidence of whether a worker is responsive and able to serve.
#[derive(Default)]
pub(crate) struct Health {
    /// Consecutive errors, with no job served in between.
    pub errors: u32,
    /// Consecutive declines, with no job started or served in between.
    pub declined: u32,
    /// Since when nothing has been observed of the attempts there.
    pub unobserved_since: Instant,
    /// Whether it is in the watch queue.
    pub is_watched: bool,
    /// The backoff during which nothing is sent there.
    pub backoff: Backoff,
    /// When its last probe ended, with an answer or without.
    pub probed_at: Instant,
}

impl Worker {
    /// Creates the record of a worker of which nothing is known yet.
    pub(super) fn new(id: WorkerId) -> Self {
        Worker {
            id,
            listing: Listing::default(),
            in_flight: WorkerInFlight::default(),
            load: ObservedLoad::default(),
            wait: Wait::default(),
            health: Health::default(),
            slow_start: SlowStartBudget::default(),
        }
    }

    /// Discards observations that do not apply to a restarted worker.
    pub(super) fn reset_observations(&mut self) {
        self.load.observed_at = None;
        self.wait.mean = 0.0;
        self.health.backoff.clear();
        self.health.errors = 0;
        self.health.declined = 0;
    }
}

impl Scheduler {
    /// Stops counting the slots in flight at an unresponsive worker against the concurrency limit.
    pub(crate) fn exclude_from_in_flight(&mut self, w: WorkerIndex) {
        self.include_in_flight(w);
        let at_worker = &mut self.workers[w].in_flight;
        at_worker.excluded_slots = at_worker.slots;
        self.in_flight.exclude(at_worker.slots);
    }

    /// Counts the slots of a worker that has responded against the concurrency limit again.
    pub(crate) fn include_in_flight(&mut self, w: WorkerIndex) {
        let excluded = std::mem::take(&mut self.workers[w].in_flight.excluded_slots);
        self.in_flight.include(excluded);
    }

    /// Changes a worker's slots in flight by `by`, and its free slots by the opposite amount.
    pub(super) fn add_slots_in_flight(&mut self, w: WorkerIndex, by: f64) {
        let worker = &mut self.workers[w];
        worker.load.free_slots -= by;
        let at_worker = &mut worker.in_flight;
        at_worker.slots = (at_worker.slots + by).max(0.0);
        let ended = at_worker.excluded_slots.min((-by).max(0.0));
        at_worker.excluded_slots -= ended;
        self.in_flight.include(ended);
        self.in_flight.change(by);
    }

    /// Stores a worker's report and updates the statistics of report changes. Returns whether the
    /// report equals the worker's previous one.
    pub(crate) fn record_report(&mut self, w: WorkerIndex, report: &Report) -> bool {
        let gap = self.micros_since(self.workers[w].load.reported_at);
        let load = &mut self.workers[w].load;
        let is_same = load.report == *report;
        if load.reported_at > Instant::ZERO && gap < self.mean_run {
            let differs = f64::from(u8::from(!is_same));
            self.reports.mean_report_interval +=
                REPORT_SMOOTHING * (gap - self.reports.mean_report_interval);
            self.reports.change_share += REPORT_SMOOTHING * (differs - self.reports.change_share);
        }
        load.reported_at = self.now;
        load.report = *report;
        is_same
    }
}
