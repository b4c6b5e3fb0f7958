//! Exponential backoff from a worker.

use crate::scheduler::failure_detection::Backoff;
use crate::time::Instant;

const SPAN: f64 = 1_000.0;

fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

/// The spans of consecutive backoffs without an answer in between, in microseconds.
fn spans(failures: usize) -> Vec<u64> {
    let mut backoff = Backoff::default();
    let mut rng = fastrand::Rng::with_seed(3);
    let mut begin = |_| {
        backoff.begin(Instant::ZERO, SPAN, &mut rng);
        backoff.until().as_micros()
    };
    (0..failures).map(&mut begin).collect()
}

#[test]
fn backoff_doubles_four_times_with_jitter() {
    for (n, span) in spans(8).into_iter().enumerate() {
        let mean = SPAN * f64::from(1 << n.min(4));
        let factor = span as f64 / mean;
        assert!(
            (0.74..=1.25).contains(&factor),
            "backoff {n} has a jitter factor of {factor}"
        );
    }
}

#[test]
fn clearing_ends_the_backoff_and_resets_its_doubling() {
    let mut backoff = Backoff::new(at(5_000), 3);
    assert!(backoff.is_on_trial() && !backoff.is_over(at(4_999)) && backoff.is_over(at(5_000)));
    backoff.clear();
    assert!(!backoff.is_on_trial() && backoff.is_over(at(0)));
}

#[test]
fn unsent_trial_is_not_counted() {
    let mut backoff = Backoff::new(at(5_000), 3);
    backoff.revoke_trial(at(1_000));
    assert_eq!((backoff.until(), backoff.trials()), (at(1_000), 2));
}
