//! Validation of the settings, and properties derived from several of them.

use crate::interface::{Class, Reports, Settings, SettingsError};
use crate::time::Span;

/// Upper bound of all times in the settings, a year. Keeps sums of times from overflowing.
pub(super) const MAX_SPAN: Span = Span::from_millis(366 * 24 * 3_600 * 1_000);
/// Upper bound of settings that are used as factors.
const MAX_MULTIPLE: f64 = 1e6;

impl Settings {
    /// Whether load reports are used. Those from probes are used only where workers do not report when jobs
    /// start.
    pub(crate) fn uses_load_reports(&self) -> bool {
        match self.reports {
            Reports::Answers => true,
            Reports::Probe => self.may_probe && !self.reports_start,
            Reports::None => false,
        }
    }

    /// Checks that the settings can be used.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first unusable setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_times()?;
        self.check_counts()?;
        self.check_classes()?;
        self.check_shares()
    }

    /// Checks that there is a class, and that all times are within bounds.
    fn check_times(&self) -> Result<(), SettingsError> {
        require(
            !self.classes.is_empty(),
            "classes",
            "there must be at least one",
        )?;
        require(
            self.classes.iter().all(has_usable_times),
            "classes",
            "the latency objective (aim-ms) and the deadline (give-up-ms) must be greater than 0, \
             and no time may exceed a year",
        )?;
        let spans = [
            self.poll_interval,
            self.progress_every,
            self.max_retry_after,
            self.idle_close,
            self.connect_timeout,
            self.tick,
            self.ramp,
            self.fall_span,
        ];
        require(
            spans.iter().all(|span| *span <= MAX_SPAN),
            "times",
            "no time may exceed a year",
        )?;
        require(
            !self.list_on_request || self.poll_interval > Span::ZERO,
            "ask_every", // after the operators' key `ask-every-ms`
            "must be greater than 0 where the endpoint list is polled",
        )
    }

    fn check_counts(&self) -> Result<(), SettingsError> {
        require(
            self.schedulers > 0,
            "schedulers",
            "there must be at least one",
        )?;
        require(self.max_attempts > 0, "max_attempts", "must be at least 1")
    }

    fn check_classes(&self) -> Result<(), SettingsError> {
        require(
            self.classes.iter().all(has_usable_factors),
            "classes",
            "the priority weight (importance) and the stretch must be 0 or more, \
             and the stretch at most a million",
        )
    }

    /// Checks the settings that are shares, factors or prices.
    fn check_shares(&self) -> Result<(), SettingsError> {
        require(
            self.tenants.iter().all(|share| is_usable_amount(*share)),
            "tenants",
            "shares must be 0 or more",
        )?;
        require(
            (0.0..=1.0).contains(&self.cold_share),
            "cold_share",
            "must be 0 to 1",
        )?;
        require(
            is_usable_multiple(self.fall_multiple),
            "fall_multiple",
            "must be 0 to a million",
        )?;
        require(
            is_usable_amount(self.cross_zone_cost),
            "cross_price",
            "must be 0 or more",
        )
    }
}

/// Returns an error that names a setting, unless the requirement is met.
fn require(is_met: bool, name: &'static str, why: &'static str) -> Result<(), SettingsError> {
    if is_met {
        Ok(())
    } else {
        Err(SettingsError { name, why })
    }
}

fn has_usable_times(class: &Class) -> bool {
    let shortest = class.latency_objective.min(class.deadline);
    let longest = class
        .latency_objective
        .max(class.deadline)
        .max(class.window);
    shortest > Span::ZERO && longest <= MAX_SPAN
}

fn has_usable_factors(class: &Class) -> bool {
    is_usable_amount(class.priority_weight) && is_usable_multiple(class.stretch)
}

/// Whether a value is finite and 0 or more.
fn is_usable_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn is_usable_multiple(value: f64) -> bool {
    (0.0..=MAX_MULTIPLE).contains(&value)
}
