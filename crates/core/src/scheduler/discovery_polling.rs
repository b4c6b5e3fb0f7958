//! Discovery polling: when the endpoint list is requested, and what a list or its failure changes.
//!
//! It owns the jitter and the backoff of polls. It must never drop a worker of which the list has nothing.

use crate::interface::{Action, ListKind, Row, Settings};
use crate::scheduler::Scheduler;
use crate::time::{Instant, Span};

/// Where more schedulers than this share discovery, each leaves it `POLL_SPACING` for every one beyond.
const UNSPACED_SCHEDULERS: u32 = 4;
/// What a start without a list needs of discovery.
const POLL_SPACING: Span = Span::from_millis(25);
/// The longest such jitter: a start is ready within 10 s, the turn and the answer included.
const MAX_STARTUP_JITTER: Span = Span::from_millis(7_000);
/// How often the poll jitter's quarter fits into the longest gap after discovery was overloaded. With the
/// wait for a turn before it, which ends after some 2 s, this is what `NOTIFICATION_DEADLINE` leaves.
const OVERLOAD_QUARTERS: u64 = 2;
/// How many times the usual gap polls keep after discovery was overloaded.
const OVERLOAD_FACTOR: f64 = 2.0;
/// The share of such a gap that is waited in any case: discovery first works off calls that have timed out.
const OVERLOAD_MIN_WAIT_SHARE: f64 = 0.5;
/// The share of another gap that is waited in any case.
const MIN_WAIT_SHARE: f64 = 0.25;
/// The least gap between two polls, in microseconds, whatever the settings say.
const MIN_POLL_GAP_MICROS: f64 = 20_000.0;
/// The first backoff after a failure is the poll jitter's quarter shifted right by so many bits.
const FIRST_BACKOFF_SHIFT: u32 = 4;
/// The backoff doubles this often at most.
const MAX_DOUBLINGS: u32 = 4;

/// When the endpoint list is requested next.
#[derive(Default)]
pub(super) struct DiscoveryPolling {
    /// When the next poll is due; [`Instant::ZERO`]: as soon as its jitter is drawn; [`Instant::MAX`]: none
    /// is due.
    due_at: Instant,
    /// Polls that have failed in a row.
    failures: u32,
}

impl DiscoveryPolling {
    /// Polling that begins at once where the list comes on request, and else never.
    pub(super) fn new(settings: &Settings) -> Self {
        let due_at = if settings.list_on_request {
            Instant::ZERO
        } else {
            Instant::MAX
        };
        DiscoveryPolling {
            due_at,
            failures: 0,
        }
    }

    /// When the next poll is due; [`Instant::MAX`]: none is.
    pub(super) fn due_at(&self) -> Instant {
        self.due_at
    }

    /// Whether the first poll still needs its jitter.
    fn needs_jitter(&self) -> bool {
        self.due_at == Instant::ZERO
    }

    /// Whether a poll is due, which is then under way: its answer, or its failure, sets the next one.
    fn take_due(&mut self, now: Instant) -> bool {
        let is_due = now >= self.due_at;
        if is_due {
            self.due_at = Instant::MAX;
        }
        is_due
    }

    /// The doubling gap after the failures so far, before jitter, within the quarter of the polling interval
    /// that `poll_quarter` leaves for it while there is a list to serve from.
    fn backoff(&self, settings: &Settings) -> f64 {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        (settings.poll_quarter().as_micros() >> FIRST_BACKOFF_SHIFT << doublings) as f64
    }

    /// A poll has failed: the next one follows after the gap, of which the least share is always waited.
    fn on_failure(&mut self, now: Instant, gap: f64, min_share: f64, rng: &mut fastrand::Rng) {
        let jitter = min_share + (1.0 - min_share) * rng.f64();
        let jittered = gap.max(MIN_POLL_GAP_MICROS) * jitter;
        self.due_at = now + Span::from_micros_f64(jittered);
        self.failures = self.failures.saturating_add(1);
    }

    /// A list has come.
    fn on_success(&mut self) {
        self.failures = 0;
    }
}

impl Scheduler {
    /// Requests the list where a poll is due.
    pub(super) fn poll_discovery(&mut self) {
        if self.discovery_polling.needs_jitter() {
            let jitter = self.poll_jitter() * self.rng.f64();
            self.discovery_polling.due_at = self.now + Span::from_micros_f64(jitter);
        }
        if self.discovery_polling.take_due(self.now) {
            self.actions.push(Action::Subscribe);
        }
    }

    /// Takes in a list, or the failure of a poll.
    pub(super) fn on_list(&mut self, kind: ListKind, rows: &[Row]) {
        match kind {
            ListKind::Failed => return self.on_poll_failure(),
            ListKind::Overloaded => return self.on_discovery_overloaded(),
            ListKind::Snapshot | ListKind::Delta | ListKind::Cached => {}
        }
        self.discovery_polling.on_success();
        if kind != ListKind::Delta {
            for worker in self.workers.iter_mut() {
                worker.listing.is_listed = false;
                worker.listing.is_active = false;
            }
        }
        self.enter_all(kind, rows);
        self.refill_pools();
        self.concurrency_limit
            .initialize(self.pools.live.len(), self.settings.schedulers);
    }

    /// Backs off. Where the list is pushed, what comes counts as requested at once: nothing is spread.
    fn on_poll_failure(&mut self) {
        let gap = if self.settings.list_on_request {
            let backoff = self.discovery_polling.backoff(&self.settings);
            self.poll_jitter().max(backoff)
        } else {
            0.0
        };
        self.discovery_polling
            .on_failure(self.now, gap, MIN_WAIT_SHARE, &mut self.rng);
    }

    /// Backs off for longer: calls that have timed out take their turns all the same, so that a fleet which
    /// repeats them too soon keeps discovery busy with nothing else.
    fn on_discovery_overloaded(&mut self) {
        if !self.settings.list_on_request {
            return self.on_poll_failure();
        }
        let max_gap = (self.settings.poll_quarter() * OVERLOAD_QUARTERS).as_micros_f64();
        let backoff = self.discovery_polling.backoff(&self.settings);
        let gap = (OVERLOAD_FACTOR * self.uncapped_jitter())
            .min(max_gap)
            .max(backoff);
        self.discovery_polling
            .on_failure(self.now, gap, OVERLOAD_MIN_WAIT_SHARE, &mut self.rng);
    }

    /// The poll jitter, in microseconds. Prevents many that start, or lose discovery, at one moment from
    /// failing together: it serves calls in turn, and one that comes while too many wait fails, but takes its
    /// turn all the same. Watches cost it nothing.
    pub(crate) fn poll_jitter(&self) -> f64 {
        let settings = &self.settings;
        let max_jitter = if self.members().listed == 0 {
            MAX_STARTUP_JITTER
        } else {
            settings.poll_quarter()
        };
        self.uncapped_jitter().min(max_jitter.as_micros_f64())
    }

    /// `POLL_SPACING` for each scheduler of the fleet, in microseconds.
    fn uncapped_jitter(&self) -> f64 {
        let schedulers = self.settings.schedulers;
        let beyond = schedulers.saturating_sub(UNSPACED_SCHEDULERS);
        (POLL_SPACING * u64::from(beyond)).as_micros_f64()
    }
}
