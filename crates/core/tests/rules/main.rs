//! Checks the scheduler's invariants over random sequences of valid events, with a fixed seed.

#[path = "../common/mod.rs"]
mod common;
mod steps;
mod world;

use common::*;
use oakshed_core::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use steps::step;
use world::Model;

fn check_invariants(settings: Settings) {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..150);
    let outcome = runner.run(&steps, |steps| {
        let mut model = Model::new(settings.clone());
        for step in steps {
            model.step(step);
        }
        let end = model.now + 20_000 * MS;
        model.wait_until(end);
        let counts = model.scheduler.in_flight_counts();
        assert_eq!(
            counts,
            InFlightCounts {
                workers: 8,
                ..InFlightCounts::default()
            },
            "requests or slots are still held"
        );
        Ok(())
    });
    outcome.expect("the invariants hold");
}

#[test]
fn invariants_hold() {
    check_invariants(settings());
}

#[test]
fn invariants_hold_without_starts_or_cancels() {
    check_invariants(Settings {
        reports_start: false,
        may_cancel: false,
        list_on_request: true,
        ..settings()
    });
}

#[test]
fn invariants_hold_where_load_is_probed() {
    check_invariants(Settings {
        may_probe: true,
        reports: Reports::Probe,
        reports_start: false,
        ..settings()
    });
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::new(settings(), 8);
        for n in 0..200u32 {
            let (id, _) = harness.request(n % 3);
            harness.now += 20 * MS;
            if n % 2 == 0 {
                harness.settled(
                    id,
                    0,
                    if n % 6 == 0 {
                        Ending::Declined
                    } else {
                        Ending::Delivered
                    },
                );
            }
        }
        harness.actions
    };
    assert_eq!(run(), run());
}
