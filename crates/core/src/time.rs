//! Distinct types for points in time and durations, in whole microseconds.
//!
//! An [`Instant`] is on the clock of this process, which may start at any value and is monotonic; a
//! [`Span`] is the difference of two instants. Moving averages of durations are `f64` microseconds
//! instead, because they need the fraction. Nothing in this module reads a clock.

use std::ops::{Add, Div, Mul, Sub};
use std::time::Duration;

/// A point in time on the monotonic clock of this process, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(u64);

/// A duration in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Instant {
    /// The origin of the clock. Fields use it for "not yet".
    pub const ZERO: Instant = Instant(0);
    /// The latest instant. As a due time it means "never".
    pub const MAX: Instant = Instant(u64::MAX);

    /// Creates an instant from a clock reading in microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Instant(micros)
    }

    /// Returns the clock reading in microseconds.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn saturating_since(self, earlier: Instant) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Returns the instant `span` later, saturating at [`Instant::MAX`].
    #[must_use]
    pub const fn saturating_add(self, span: Span) -> Self {
        Instant(self.0.saturating_add(span.0))
    }

    /// Returns the instant `span` earlier, saturating at [`Instant::ZERO`].
    #[must_use]
    pub const fn saturating_sub(self, span: Span) -> Self {
        Instant(self.0.saturating_sub(span.0))
    }
}

impl Span {
    /// A span of zero length.
    pub const ZERO: Span = Span(0);

    /// Creates a span from a number of microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Span(micros)
    }

    /// Creates a span from a number of milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Span(millis * 1_000)
    }

    /// Creates a span from a number of microseconds, truncating the fraction. Negative values and
    /// NaN give zero, values out of range the longest span.
    #[must_use]
    pub const fn from_micros_f64(micros: f64) -> Self {
        Span(micros as u64)
    }

    /// Returns the length in microseconds.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Converts to the duration type of the standard library.
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Returns the length in microseconds, for arithmetic with moving averages.
    #[must_use]
    pub const fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }
}

impl Add<Span> for Instant {
    type Output = Instant;

    fn add(self, span: Span) -> Instant {
        Instant(self.0 + span.0)
    }
}

impl Sub<Instant> for Instant {
    type Output = Span;

    fn sub(self, earlier: Instant) -> Span {
        Span(self.0 - earlier.0)
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0 + other.0)
    }
}

impl Sub for Span {
    type Output = Span;

    fn sub(self, other: Span) -> Span {
        Span(self.0 - other.0)
    }
}

impl Mul<u64> for Span {
    type Output = Span;

    fn mul(self, factor: u64) -> Span {
        Span(self.0 * factor)
    }
}

impl Div<u64> for Span {
    type Output = Span;

    fn div(self, divisor: u64) -> Span {
        Span(self.0 / divisor)
    }
}
