//! What is said to the scheduler: settings, sizes, and events that are unknown, late or not its own.
//!
//! It owns the tests of input. It must never expect more of what cannot be used than that it does no harm.

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

#[test]
fn stream_that_has_begun_belongs_to_the_client() {
    let mut bench = Bench::new(settings(), 3);
    let (id, _) = bench.request(0);
    let actions = bench.event(Event::Streaming { id });
    assert!(!actions
        .iter()
        .any(|a| matches!(a, Action::Cancel { .. } | Action::Fail { .. })));
}

#[test]
fn unusable_setting_is_named() {
    let with = |change: fn(&mut Settings)| {
        let mut wrong = settings();
        change(&mut wrong);
        wrong
    };
    let wrong: [(Settings, &str); 14] = [
        (Settings::default(), "classes"),
        (with(|s| s.schedulers = 0), "schedulers"),
        (with(|s| s.max_attempts = 0), "max_attempts"),
        (with(|s| s.classes[1].priority_weight = f64::NAN), "classes"),
        (with(|s| s.classes[1].stretch = -1.0), "classes"),
        (
            with(|s| s.classes[1].latency_objective = Span::ZERO),
            "classes",
        ),
        (with(|s| s.classes[1].deadline = Span::ZERO), "classes"),
        (
            with(|s| s.classes[1].window = Span::from_micros(u64::MAX)),
            "classes",
        ),
        (
            with(|s| s.idle_close = Span::from_micros(u64::MAX)),
            "times",
        ),
        (
            with(|s| (s.list_on_request, s.poll_interval) = (true, Span::ZERO)),
            "ask_every",
        ),
        (with(|s| s.cold_share = 1.5), "cold_share"),
        (with(|s| s.fall_multiple = f64::INFINITY), "fall_multiple"),
        (with(|s| s.tenants = vec![1.0, -1.0]), "tenants"),
        (with(|s| s.cross_zone_cost = f64::NAN), "cross_price"),
    ];
    for (n, (settings, name)) in wrong.into_iter().enumerate() {
        let error = Scheduler::new(settings, 1)
            .err()
            .unwrap_or_else(|| panic!("{n}: {name} was taken"));
        assert_eq!(error.name, name, "{n}");
    }
}

/// How many jobs of so many slots a cold worker gets within 2 s.
fn sends_to_a_cold_worker(slots: f64) -> u32 {
    let mut bench = Bench::new(settings(), 0);
    let cold = Row {
        online_since: START,
        ..row(0)
    };
    bench.list(ListKind::Snapshot, &[cold]);
    let mut sends = 0;
    for _ in 0..400 {
        let (id, actions) = bench.wide_request(0, slots);
        if sent(&actions, id).is_some() {
            sends += 1;
            bench.started(id, 0);
            bench.settled(id, 0, Ending::Delivered);
        }
        bench.now += 5 * MS;
    }
    sends
}

/// Guards against a job of no slots, which neither the limit nor a slow-start budget would count.
#[test]
fn malformed_slots_count_as_one_slot() {
    let of_one_slot = sends_to_a_cold_worker(1.0);
    for slots in [0.0, 1e-9, -1.0, f64::NAN] {
        assert_eq!(
            sends_to_a_cold_worker(slots),
            of_one_slot,
            "sends of {slots} slots to a cold worker"
        );
    }
}

/// Guards against a job of so many slots that sums of slots lose all others.
#[test]
fn huge_slots_do_not_unbalance_accounts() {
    let mut bench = bench_with_reported_slots();
    let (huge, actions) = bench.wide_request(0, 1e300);
    assert!(sent(&actions, huge).is_some(), "a wide job finds a worker");
    let (small, _) = bench.request(0);
    let in_flight = bench.scheduler.in_flight_counts().slots;
    assert!(
        in_flight.is_finite() && in_flight < 1e6,
        "{in_flight} slots in flight"
    );
    bench.settled(huge, 0, Ending::Delivered);
    bench.settled(small, 0, Ending::Delivered);
    assert_eq!(
        bench.scheduler.in_flight_counts(),
        InFlightCounts {
            workers: 2,
            ..InFlightCounts::default()
        }
    );
}

/// Two workers that have reported some hundred free slots.
fn bench_with_reported_slots() -> Bench {
    let mut bench = Bench::new(
        Settings {
            reports: Reports::Answers,
            ..settings()
        },
        2,
    );
    for n in 0..80 {
        let (id, _) = bench.request(0);
        bench.now += 10 * MS;
        let report = Report {
            free_slots: Some(30.0 + f64::from(n)),
            ..Report::default()
        };
        bench.served_with(id, report);
    }
    bench
}

#[test]
fn events_of_unknown_or_ended_requests_are_ignored() {
    let mut bench = Bench::new(settings(), 2);
    let id = RequestId(999);
    assert!(bench.started(id, 0).is_empty());
    assert!(bench.settled(id, 0, Ending::Declined).is_empty());
    assert!(bench.event(Event::Cancelled { id }).is_empty());
    assert!(bench
        .event(Event::Probed {
            worker: WorkerId(77),
            ending: Ending::Expired,
            report: None
        })
        .is_empty());
    let (id, _) = bench.request(0);
    bench.settled(id, 0, Ending::Delivered);
    assert!(bench.settled(id, 0, Ending::Delivered).is_empty());
}
