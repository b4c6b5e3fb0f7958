//! Requests the endpoint list from discovery, and applies the lists that arrive.
//!
//! Polls are jittered and back off after failures. Workers missing from a full
//! list become inactive, but their records are kept.

use crate::interface::{Action, ListKind, Row, Settings};
use crate::scheduler::Scheduler;
use crate::time::{Instant, Span};

/// Up to this many schedulers poll discovery without jitter; each scheduler beyond them adds
/// `POLL_SPACING` to it.
const UNSPACED_SCHEDULERS: u32 = 4;
/// Time that discovery needs to serve a scheduler that starts without a list.
const POLL_SPACING: Span = Span::from_millis(25);
/// Longest jitter of a scheduler without a list. It must be ready within 10 s of its start,
/// including the wait for its turn at discovery and the answer.
const MAX_STARTUP_JITTER: Span = Span::from_millis(7_000);
/// Longest gap after an overload of discovery, in units of `Settings::poll_quarter`. It follows a
/// wait for a turn, which ends after about 2 s, and is what remains of `NOTIFICATION_DEADLINE`.
const OVERLOAD_QUARTERS: u64 = 2;
/// Factor by which the gap between polls grows after an overload of discovery.
const OVERLOAD_FACTOR: f64 = 2.0;
/// Share of the gap after an overload that is always waited, as discovery first processes calls
/// that have timed out.
const OVERLOAD_MIN_WAIT_SHARE: f64 = 0.5;
/// Share of the gap after any other failure that is always waited.
const MIN_WAIT_SHARE: f64 = 0.25;
/// Shortest gap between two polls before jitter, in microseconds, for any settings.
const MIN_POLL_GAP_MICROS: f64 = 20_000.0;
/// The first backoff after a failure is `Settings::poll_quarter` shifted right by this many bits.
const FIRST_BACKOFF_SHIFT: u32 = 4;
/// Upper bound on the number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 4;

/// The schedule of requests for the endpoint list.
#[derive(Default)]
pub(super) struct DiscoveryPolling {
    /// When the next poll is due. [`Instant::ZERO`]: once its jitter is drawn; [`Instant::MAX`]: no
    /// poll is due.
    due_at: Instant,
    /// Consecutive failed polls.
    failures: u32,
}

impl DiscoveryPolling {
    /// Polls begin immediately if the list comes on request, and never otherwise.
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

    /// When the next poll is due; [`Instant::MAX`] if none is.
    pub(super) fn due_at(&self) -> Instant {
        self.due_at
    }

    /// Whether the jitter of the first poll has not been drawn yet.
    fn needs_jitter(&self) -> bool {
        self.due_at == Instant::ZERO
    }

    /// Whether a poll is due. If so, it counts as in flight, and its answer or failure sets the
    /// next one.
    fn take_due(&mut self, now: Instant) -> bool {
        let is_due = now >= self.due_at;
        if is_due {
            self.due_at = Instant::MAX;
        }
        is_due
    }

    /// The exponential backoff after the failures so far, in microseconds before jitter. It stays
    /// within `Settings::poll_quarter`, which allows that much while there is a list to serve from.
    fn backoff(&self, settings: &Settings) -> f64 {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        (settings.poll_quarter().as_micros() >> FIRST_BACKOFF_SHIFT << doublings) as f64
    }

    /// Schedules the next poll after a failure. The share `min_share` of the gap is always waited,
    /// the rest is jittered.
    fn on_failure(&mut self, now: Instant, gap: f64, min_share: f64, rng: &mut fastrand::Rng) {
        let jitter = min_share + (1.0 - min_share) * rng.f64();
        let jittered = gap.max(MIN_POLL_GAP_MICROS) * jitter;
        self.due_at = now + Span::from_micros_f64(jittered);
        self.failures = self.failures.saturating_add(1);
    }

    /// Resets the backoff, as a list has arrived.
    fn on_success(&mut self) {
        self.failures = 0;
    }
}

impl Scheduler {
    /// Requests the list if a poll is due.
    pub(super) fn poll_discovery(&mut self) {
        if self.discovery_polling.needs_jitter() {
            let jitter = self.poll_jitter() * self.rng.f64();
            self.discovery_polling.due_at = self.now + Span::from_micros_f64(jitter);
        }
        if self.discovery_polling.take_due(self.now) {
            self.actions.push(Action::Subscribe);
        }
    }

    /// Handles a list or a failed poll.
    pub(super) fn on_list(&mut self, kind: ListKind, rows: &[Row]) {
        match kind {
            ListKind::Failed => return self.on_poll_failure(),
            ListKind::Overloaded => return self.on_discovery_overloaded(),
            ListKind::Snapshot | ListKind::Cached => self.awaits_confirmation = false,
            ListKind::Unconfirmed => self.awaits_confirmation = true,
            // A list update from a peer, too, which confirms nothing.
            ListKind::Delta => {}
        }
        if kind != ListKind::Unconfirmed {
            self.discovery_polling.on_success();
        }
        if kind != ListKind::Delta {
            for worker in self.workers.iter_mut() {
                worker.listing.is_listed = false;
                worker.listing.is_active = false;
            }
        }
        self.apply_rows(kind, rows);
        self.refill_pools();
        self.concurrency_limit
            .initialize(self.pools.live.len(), self.settings.schedulers);
    }

    /// Backs off after a failed poll. A pushed list counts as requested immediately, so nothing is
    /// spread there.
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

    /// Backs off for longer than after other failures. Discovery still processes calls that have
    /// timed out, so that schedulers that repeat them too early would keep it fully occupied.
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

    /// The poll jitter, in microseconds. It prevents schedulers that start, or lose discovery, at
    /// the same time from failing together: discovery serves calls in turn, and a call that arrives
    /// while too many are waiting fails but still takes its turn. Watches put no load on discovery.
    pub(crate) fn poll_jitter(&self) -> f64 {
        let settings = &self.settings;
        let max_jitter = if self.members().listed == 0 {
            MAX_STARTUP_JITTER
        } else {
            settings.poll_quarter()
        };
        self.uncapped_jitter().min(max_jitter.as_micros_f64())
    }

    /// `POLL_SPACING` for each scheduler beyond `UNSPACED_SCHEDULERS`, in microseconds.
    fn uncapped_jitter(&self) -> f64 {
        let schedulers = self.settings.schedulers;
        let beyond = schedulers.saturating_sub(UNSPACED_SCHEDULERS);
        (POLL_SPACING * u64::from(beyond)).as_micros_f64()
    }
}
