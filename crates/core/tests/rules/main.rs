//! The four rules over random legal event sequences, with a fixed seed.

#[path = "../common/mod.rs"]
mod common;
mod steps;
mod world;

use common::*;
use oakshed_core::interface::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use steps::step;
use world::World;

fn check(settings: Settings) {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..150);
    let outcome = runner.run(&steps, |steps| {
        let mut world = World::new(settings.clone());
        for step in steps {
            world.step(step);
        }
        let end = world.now + 20_000 * MS;
        world.wait_until(end);
        let counts = world.scheduler.in_flight_counts();
        assert_eq!(
            counts,
            InFlightCounts {
                workers: 8,
                ..InFlightCounts::default()
            },
            "something was not given back"
        );
        Ok(())
    });
    outcome.expect("the rules hold");
}

#[test]
fn the_rules_hold() {
    check(settings());
}

#[test]
fn the_rules_hold_without_starts_or_cancels() {
    check(Settings {
        reports_start: false,
        may_cancel: false,
        list_on_request: true,
        ..settings()
    });
}

#[test]
fn the_rules_hold_where_load_is_probed() {
    check(Settings {
        may_probe: true,
        reports: Reports::Probe,
        reports_start: false,
        ..settings()
    });
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut bench = Bench::new(settings(), 8);
        for n in 0..200u32 {
            let (id, _) = bench.request(n % 3);
            bench.now += 20 * MS;
            if n % 2 == 0 {
                bench.settled(
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
        bench.actions
    };
    assert_eq!(run(), run());
}
