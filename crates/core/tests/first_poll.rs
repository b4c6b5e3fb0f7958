//! When a start calls discovery first: with a cached list sooner than without one.

use std::task::Waker;

use oakshed_core::facade::{Condition, Entry, Facade, ListKind, Micros, Observation, Settings};
use oakshed_core::interface::{Class, Effect, Scope, Span};

const START: Micros = 1_700_000_000_000_000;
const MS: Micros = 1_000;
/// A fleet whose starts without a list are spread over the most there is.
const SCHEDULERS: u32 = 300;
/// The quarter of `poll_interval` that pauses may take while there is a list.
const QUARTER: Micros = 1_500 * MS;

fn settings() -> Settings {
    let class = Class {
        latency_objective: Span::from_millis(400),
        stretch: 2.0,
        deadline: Span::from_millis(5_000),
        priority_weight: 1.0,
        priority: 0,
        effect: Effect::Safe,
        scope: Scope::All,
        window: Span::ZERO,
        kind: None,
    };
    Settings {
        classes: vec![class],
        list_on_request: true,
        poll_interval: Span::from_millis(6_000),
        schedulers: SCHEDULERS,
        ..Settings::default()
    }
}

fn cached_worker() -> Entry {
    Entry {
        worker: "w-1".into(),
        zone: 0,
        kind: 0,
        cell: 0,
        weight: 1.0,
        condition: Condition::Leaving,
        online_since: 0,
    }
}

/// Prevents a reading of the wall clock, which comes before the list that it is for, from setting the first poll as
/// if there were no list: three hundred restarted schedulers were ready after up to 7 s.
#[test]
fn the_wall_clock_before_a_cached_list_does_not_delay_the_first_poll() {
    for seed in 0..50 {
        let mut facade = Facade::new(settings(), seed).expect("usable settings");
        facade.report(START, Observation::WallClock(START));
        facade.report(
            START,
            Observation::List(ListKind::Cached, &[cached_worker()]),
        );
        let due = facade.tick(START, Waker::noop());
        let first_poll = due.next.expect("a poll is planned");
        assert!(
            due.subscribe || first_poll <= START + QUARTER,
            "seed {seed}: first poll after {} ms",
            (first_poll - START) / MS
        );
    }
}
