//! Tests of the rates of arrivals and completed work.

use crate::state::{CompletedWork, Rates};
use crate::time::Instant;

/// The mean running time in these tests, in microseconds.
const MEAN_RUN: f64 = 100_000.0;

fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

#[test]
fn steady_arrivals_give_their_rate() {
    let mut rates = Rates::default();
    let gap = 10_000;
    for n in 1..=1_000 {
        rates.count_arrival(at(n * gap), MEAN_RUN);
    }
    let relative = rates.arrivals.last * gap as f64;
    assert!(
        (0.95..1.05).contains(&relative),
        "measured {relative} times the rate"
    );
}

/// A scheduler that has just started must not underestimate arrivals because its window is not full yet.
#[test]
fn rate_after_a_start_is_relative_to_the_observed_time() {
    let mut rates = Rates::default();
    let gap = 10_000;
    for n in 1..=100 {
        rates.count_arrival(at(n * gap), MEAN_RUN);
    }
    let relative = rates.arrivals.last * gap as f64;
    assert!(
        (0.9..1.15).contains(&relative),
        "measured {relative} times the rate"
    );
}

#[test]
fn utilisation_decays_when_no_work_is_completed() {
    let mut rates = Rates::default();
    let work = CompletedWork {
        measured: MEAN_RUN,
        estimated: MEAN_RUN,
    };
    for n in 1..=100 {
        rates.count_work(at(n * 50_000), MEAN_RUN, &work, 4.0);
    }
    let now = 100 * 50_000;
    let busy = rates.utilisation(at(now), MEAN_RUN);
    assert!(
        (1.8..2.2).contains(&busy),
        "expected two busy slots, got {busy}"
    );
    let per_worker = rates.throughput_per_worker(at(now), MEAN_RUN);
    assert!(
        (0.45..0.55).contains(&per_worker),
        "expected half a slot on each of four workers, got {per_worker}"
    );
    let later = rates.utilisation(at(now + 8_000_000), MEAN_RUN);
    assert!(
        later < 0.02,
        "{later} busy slots after five windows without work"
    );
}
