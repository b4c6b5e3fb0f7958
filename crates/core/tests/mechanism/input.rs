//! Tests of input validation: invalid settings, malformed job sizes, and events about unknown or ended requests.

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

#[test]
fn streaming_attempt_is_neither_cancelled_nor_failed() {
    let mut harness = Harness::new(settings(), 3);
    let (id, _) = harness.request(0);
    let actions = harness.event(Event::Streaming { id });
    assert!(!actions
        .iter()
        .any(|a| matches!(a, Action::Cancel { .. } | Action::Fail { .. })));
}

#[test]
fn invalid_setting_is_named() {
    let with = |change: fn(&mut Settings)| {
        let mut changed = settings();
        change(&mut changed);
        changed
    };
    let invalid: [(Settings, &str); 14] = [
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
    for (n, (settings, name)) in invalid.into_iter().enumerate() {
        let error = Scheduler::new(settings, 1)
            .err()
            .unwrap_or_else(|| panic!("{n}: an invalid {name} was accepted"));
        assert_eq!(error.name, name, "{n}");
    }
}

/// Counts the jobs of the given number of slots that are sent to a cold worker within 2 s.
fn sends_to_cold_worker(slots: f64) -> u32 {
    let mut harness = Harness::new(settings(), 0);
    let cold = Row {
        online_since: START,
        ..row(0)
    };
    harness.list(ListKind::Snapshot, &[cold]);
    let mut sends = 0;
    for _ in 0..400 {
        let (id, actions) = harness.request_with_slots(0, slots);
        if sent_to(&actions, id).is_some() {
            sends += 1;
            harness.started(id, 0);
            harness.settled(id, 0, Ending::Delivered);
        }
        harness.now += 5 * MS;
    }
    sends
}

/// Neither the limit nor a slow-start budget would count a job of 0 slots.
#[test]
fn malformed_slots_count_as_one_slot() {
    let with_one_slot = sends_to_cold_worker(1.0);
    for slots in [0.0, 1e-9, -1.0, f64::NAN] {
        assert_eq!(
            sends_to_cold_worker(slots),
            with_one_slot,
            "jobs of {slots} slots sent to a cold worker"
        );
    }
}

/// Added to a sum of slots, a huge number would absorb all others by rounding.
#[test]
fn huge_slots_do_not_corrupt_slot_counts() {
    let mut harness = harness_with_reported_slots();
    let (huge, actions) = harness.request_with_slots(0, 1e300);
    assert!(sent_to(&actions, huge).is_some(), "a worker fits");
    let (small, _) = harness.request(0);
    let in_flight = harness.scheduler.in_flight_counts().slots;
    assert!(
        in_flight.is_finite() && in_flight < 1e6,
        "{in_flight} slots in flight"
    );
    harness.settled(huge, 0, Ending::Delivered);
    harness.settled(small, 0, Ending::Delivered);
    assert_eq!(
        harness.scheduler.in_flight_counts(),
        InFlightCounts {
            workers: 2,
            ..InFlightCounts::default()
        }
    );
}

/// Returns a harness with two workers that have reported about a hundred free slots.
fn harness_with_reported_slots() -> Harness {
    let mut harness = Harness::new(
        Settings {
            reports: Reports::Answers,
            ..settings()
        },
        2,
    );
    for n in 0..80 {
        let (id, _) = harness.request(0);
        harness.now += 10 * MS;
        let report = Report {
            free_slots: Some(30.0 + f64::from(n)),
            ..Report::default()
        };
        harness.served_with_report(id, report);
    }
    harness
}

#[test]
fn events_of_unknown_or_ended_requests_are_ignored() {
    let mut harness = Harness::new(settings(), 2);
    let id = RequestId(999);
    assert!(harness.started(id, 0).is_empty());
    assert!(harness.settled(id, 0, Ending::Declined).is_empty());
    assert!(harness.event(Event::Cancelled { id }).is_empty());
    assert!(harness
        .event(Event::Probed {
            worker: WorkerId(77),
            ending: Ending::Expired,
            report: None
        })
        .is_empty());
    let (id, _) = harness.request(0);
    harness.settled(id, 0, Ending::Delivered);
    assert!(harness.settled(id, 0, Ending::Delivered).is_empty());
}
