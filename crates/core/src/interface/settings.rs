//! Settings of a scheduler: request classes, limits, and the capabilities of workers and discovery.
//!
//! This module defines the types and their defaults; `Settings::check` in `state` validates them.

use crate::time::Span;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: may be repeated at any worker.
    Safe,
    /// May be repeated within a group of workers that deduplicates requests for a limited time.
    Keyed,
    /// Must never run more than once.
    Unsafe,
}

/// The group of workers that deduplicates a [keyed](Effect::Keyed) request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer counts as on time within this plus `stretch` times the job's own work.
    pub latency_objective: Span,
    /// Multiple of the job's own work that is added to `latency_objective`.
    pub stretch: f64,
    /// How long a client waits in total, over all its tries.
    pub deadline: Span,
    /// Weight of one request relative to requests of other classes.
    pub priority_weight: f64,
    /// Priority among classes of equal `priority_weight`.
    pub priority: i64,
    /// Whether its requests may run more than once.
    pub effect: Effect,
    /// For keyed classes: the workers that deduplicate requests.
    pub scope: Scope,
    /// For keyed classes: how long requests are deduplicated, counted from the first send.
    pub window: Span,
    /// Index of the only machine kind that can run it; `None` for any kind.
    pub kind: Option<u32>,
}

/// How workers' load reports are delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// With answers and with probe results.
    Answers,
    /// With probe results only.
    Probe,
    /// Not at all.
    None,
}

/// The meaning of the weights in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// No meaning: always 1.
    None,
    /// The exact or approximate size of a worker.
    Size,
    /// Its size divided by one plus its jobs in flight per core, as of some time ago; changes with each list.
    Live,
}

/// A change counts as delivered to a scheduler this long after discovery knew it and was reachable, whether or
/// not it has arrived. The protocol sets this limit, and it takes precedence over all other timing settings.
pub const NOTIFICATION_DEADLINE: Span = Span::from_millis(6_000);

/// The settings of one scheduler. The default is a single scheduler with a pushed endpoint list, no load
/// reports and no classes; at least one class must be added.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of schedulers that share the workers, including this one.
    pub schedulers: u32,
    /// Index of this scheduler's zone.
    pub zone: u32,
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// Quota of each tenant in requests per second, over all schedulers. Requests beyond it get the lowest
    /// priority. Empty if there are no tenants.
    pub tenants: Vec<f64>,
    /// The endpoint list is sent only on request.
    pub list_on_request: bool,
    /// Polling interval without a subscription (`ask-every-ms` in the operators' settings).
    pub poll_interval: Span,
    /// The meaning of the weights in the endpoint list.
    pub weights: Weights,
    /// Workers report when a job starts.
    pub reports_start: bool,
    /// Workers start queued jobs strictly in the order of arrival.
    pub fifo_workers: bool,
    /// How often workers report the progress of a job; 0 if never.
    pub progress_every: Span,
    /// How load reports are delivered.
    pub reports: Reports,
    /// Workers may be probed.
    pub may_probe: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Rejections may carry a retry-after.
    pub retry_after: bool,
    /// Longest retry-after that clients honour.
    pub max_retry_after: Span,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Time after which an idle connection is closed.
    pub idle_close: Span,
    /// Time within which a connection must be established.
    pub connect_timeout: Span,
    /// Cost of an attempt in another zone, as a fraction of the value of one request; 0 if free.
    pub cross_zone_cost: f64,
    /// Minimum time between two batches of decisions.
    pub tick: Span,
    /// Minimum share of its capacity that a worker has right after its start.
    pub cold_share: f64,
    /// Time after its start by which a worker has its full capacity.
    pub ramp: Span,
    /// Multiple of its present capacity beyond which load overwhelms a warming worker.
    pub fall_multiple: f64,
    /// Period over which the load for `fall_multiple` is counted.
    pub fall_span: Span,
}

impl Settings {
    /// Returns a quarter of the time after which a change counts as delivered even to a scheduler whose call
    /// failed: of `NOTIFICATION_DEADLINE`, or of four times `poll_interval` if that is shorter.
    ///
    /// All calls to discovery share this time budget:
    ///
    /// - one quarter at most for the backoff after the failure;
    /// - two quarters for a call that gets no answer, or for a call that fails and the backoff after it,
    ///   including connecting and waiting for a turn at discovery;
    /// - one quarter for connecting, the turn and the answer of the next call.
    ///
    /// An unresponsive watch is detected within two quarters of `NOTIFICATION_DEADLINE`. The other two are
    /// enough for two calls, or for a failed call, a backoff and another call. The budget contains no grace
    /// period for draining workers, and at most one quarter for the turns of all schedulers.
    #[must_use]
    pub fn poll_quarter(&self) -> Span {
        if self.poll_interval == Span::ZERO {
            NOTIFICATION_DEADLINE / 4
        } else {
            self.poll_interval.min(NOTIFICATION_DEADLINE / 4)
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            schedulers: 1,
            zone: 0,
            classes: Vec::new(),
            tenants: Vec::new(),
            list_on_request: false,
            poll_interval: Span::from_millis(10_000),
            weights: Weights::None,
            reports_start: true,
            fifo_workers: false,
            progress_every: Span::ZERO,
            reports: Reports::None,
            may_probe: false,
            may_cancel: true,
            retry_after: true,
            max_retry_after: Span::from_millis(2_000),
            max_attempts: 6,
            idle_close: Span::from_millis(60_000),
            connect_timeout: Span::from_millis(120),
            cross_zone_cost: 0.0,
            tick: Span::from_millis(2),
            cold_share: 0.3,
            ramp: Span::from_millis(10_000),
            fall_multiple: 3.0,
            fall_span: Span::from_millis(3_000),
        }
    }
}

/// An invalid setting and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the setting.
    pub name: &'static str,
    /// Why it is invalid.
    pub why: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "invalid setting '{}': {}", self.name, self.why)
    }
}

impl std::error::Error for SettingsError {}
