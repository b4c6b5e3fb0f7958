//! Stable text form of the settings, from which fingerprints are computed.
//!
//! During a hot restart, predecessor and successor compare fingerprints, and they may be different versions of
//! the program. The names and their order in this text must therefore stay the same even if fields are renamed.

use std::fmt;

use super::{Class, Settings};

/// Displays settings in the stable form.
pub struct FingerprintForm<'a>(&'a Settings);

impl Settings {
    /// Returns the settings in the stable form from which fingerprints are computed.
    #[must_use]
    pub fn fingerprint_form(&self) -> FingerprintForm<'_> {
        FingerprintForm(self)
    }
}

impl fmt::Display for FingerprintForm<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FingerprintForm(settings) = self;
        let classes: Vec<ClassForm<'_>> = settings.classes.iter().map(ClassForm).collect();
        f.debug_struct("Settings")
            .field("dispatchers", &settings.schedulers)
            .field("zone", &settings.zone)
            .field("classes", &classes)
            .field("tenants", &settings.tenants)
            .field("list_on_request", &settings.list_on_request)
            .field("ask_every", &settings.poll_interval.as_micros())
            .field("weights", &settings.weights)
            .field("tells_start", &settings.reports_start)
            .field("in_order", &settings.fifo_workers)
            .field("progress_every", &settings.progress_every.as_micros())
            .field("reports", &settings.reports)
            .field("may_probe", &settings.may_probe)
            .field("may_cancel", &settings.may_cancel)
            .field("retry_after", &settings.retry_after)
            .field("max_retry_after", &settings.max_retry_after.as_micros())
            .field("max_attempts", &settings.max_attempts)
            .field("idle_close", &settings.idle_close.as_micros())
            .field("connect_timeout", &settings.connect_timeout.as_micros())
            .field("cross_price", &settings.cross_zone_cost)
            .field("tick", &settings.tick.as_micros())
            .field("cold_share", &settings.cold_share)
            .field("ramp", &settings.ramp.as_micros())
            .field("fall_multiple", &settings.fall_multiple)
            .field("fall_span", &settings.fall_span.as_micros())
            .finish()
    }
}

/// Formats one class in the stable form.
struct ClassForm<'a>(&'a Class);

impl fmt::Debug for ClassForm<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ClassForm(class) = self;
        f.debug_struct("Class")
            .field("aim", &class.latency_objective.as_micros())
            .field("stretch", &class.stretch)
            .field("deadline", &class.deadline.as_micros())
            .field("worth", &class.priority_weight)
            .field("priority", &class.priority)
            .field("effect", &class.effect)
            .field("scope", &class.scope)
            .field("window", &class.window.as_micros())
            .field("kind", &class.kind)
            .finish()
    }
}
