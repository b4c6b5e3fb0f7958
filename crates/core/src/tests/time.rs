//! Arithmetic of instants and spans at the ends of their range.

use crate::time::{Instant, Span};

#[test]
fn time_since_a_later_instant_is_zero() {
    let (earlier, later) = (Instant::from_micros(3), Instant::from_micros(10));
    assert_eq!(later.saturating_since(earlier), Span::from_micros(7));
    assert_eq!(earlier.saturating_since(later), Span::from_micros(0));
}

#[test]
fn saturating_arithmetic_stays_in_range() {
    let span = Span::from_millis(1);
    assert_eq!(Instant::MAX.saturating_add(span), Instant::MAX);
    assert_eq!(Instant::ZERO.saturating_sub(span), Instant::ZERO);
}

#[test]
fn conversion_from_f64_truncates_and_saturates() {
    let micros = |mean| Span::from_micros_f64(mean).as_micros();
    assert_eq!(micros(2.9), 2);
    assert_eq!((micros(-5.0), micros(f64::NAN)), (0, 0));
    assert_eq!(micros(f64::INFINITY), u64::MAX);
}
