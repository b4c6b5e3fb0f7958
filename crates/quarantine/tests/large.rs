//! Fleets of a thousand members and a thousand workers, in up to 600 zones.

use std::sync::Arc;

use oakshed_quarantine::{
    AttemptCounter, Config, Effect, Outcome, Owner, Quarantine, Worker, WorkerState,
};

const BEGIN: u64 = 1_700_000_000;
const FLEET_SIZE: usize = 1_024;

fn zone(n: usize) -> Arc<str> {
    format!("zone-{n:04}").into()
}

fn config(n: usize, zones: usize, classes: &[&str]) -> Config {
    let zone = zone(zones - 1 - n % zones);
    // With a few workers in a zone, the default share would not allow one of them.
    Config {
        bytes_per_second: 1 << 20,
        max_zone_share: 0.5,
        ..Config::new(Owner::new(&format!("s{n}"), 1), &zone, classes)
    }
}

fn list(zones: usize) -> Vec<Worker> {
    let each = |n: usize| Worker {
        name: format!("w{n}").into(),
        zone: zone(n % zones),
        capacity: 4,
        started: (BEGIN - 3_600) * 1_000,
        state: WorkerState::Ready,
    };
    (0..FLEET_SIZE).map(each).collect()
}

/// The counters of all members, with the endpoint list.
fn counters(members: usize, zones: usize, list: &[Worker]) -> Vec<AttemptCounter> {
    let counter = |n| {
        let mut counter = AttemptCounter::new(config(n, zones, &["read"]), n as u64);
        counter.set_members(members);
        counter.set_workers(list);
        counter
    };
    (0..members).map(counter).collect()
}

/// The workers that are proposed after 100 s in which one worker fails half of its jobs and the others one in a
/// hundred.
fn proposed(members: usize, zones: usize, attempts: usize) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(5);
    let list = list(zones);
    let mut counters = counters(members, zones, &list);
    let mut machine = Quarantine::new(config(0, zones, &["read"]), 1);
    machine.set_workers(BEGIN * 1_000_000, &list);
    let mut effects = Vec::new();
    for second in 0..=100 {
        let now = (BEGIN + second) * 1_000_000;
        for (n, counter) in counters.iter_mut().enumerate() {
            for _ in 0..attempts {
                let worker = rng.usize(0..FLEET_SIZE);
                let is_failure = rng.u32(0..1_000) < if worker == 777 { 500 } else { 10 };
                let outcome = if is_failure {
                    Outcome::Reset
                } else {
                    Outcome::Success
                };
                counter.record_attempt(now, &list[worker].name, 0, true, outcome);
            }
            for row in counter.take_updates(now) {
                let owner = Owner::new(&format!("s{n}"), 1);
                machine.merge(&owner, row.window, &row.subject, &row.counts());
            }
        }
        machine.tick(now);
        effects.extend(std::iter::from_fn(|| machine.poll_effect()));
    }
    assert_all_decoded(&machine);
    effects.into_iter().filter_map(proposed_worker).collect()
}

/// Asserts that all rows were decoded and stored.
fn assert_all_decoded(machine: &Quarantine) {
    let table = machine.telemetry_lines();
    let is_complete = |line: &String| line.contains("unread=0 full=0 waiting=0");
    assert!(table.iter().any(is_complete), "{table:?}");
}

fn proposed_worker(effect: Effect) -> Option<String> {
    let Effect::Proposed {
        worker, summary, ..
    } = effect
    else {
        return None;
    };
    assert!(summary.zones > 1 && summary.witnesses > 2, "{summary:?}");
    Some(worker)
}

/// Guards against zones that are numbered in a single byte: with more than 256 zones, evidence would be missing or
/// count for another zone.
#[test]
fn one_of_a_thousand_workers_is_proposed_in_six_hundred_zones() {
    assert_eq!(proposed(24, 600, 200), ["w777"]);
}

#[test]
fn one_of_a_thousand_workers_is_proposed_by_a_thousand_members() {
    assert_eq!(proposed(FLEET_SIZE, 16, 3), ["w777"]);
}

/// Guards against attempts that are left out when one member uses all workers for all classes within an interval, so
/// that they need many rows.
#[test]
fn all_attempts_of_one_member_on_a_thousand_workers_are_decoded() {
    let names: Vec<String> = (0..32).map(|c| format!("c{c}")).collect();
    let classes: Vec<&str> = names.iter().map(String::as_str).collect();
    let (list, now) = (list(16), BEGIN * 1_000_000);
    let large = |n| Config {
        bytes_per_second: 1 << 30,
        ..config(n, 16, &classes)
    };
    let mut counter = AttemptCounter::new(large(1), 1);
    counter.set_workers(&list);
    let mut machine = Quarantine::new(large(0), 1);
    machine.set_workers(now, &list);
    for worker in &list {
        for class in 0..32 {
            counter.record_attempt(now, &worker.name, class, true, Outcome::Success);
        }
    }
    let rows = counter.take_updates(now + 6_000_000);
    let cells: usize = rows.iter().map(|row| row.counts().len() - 1).sum();
    assert_eq!(cells, FLEET_SIZE * 32);
    let distinct: std::collections::BTreeSet<_> = rows.iter().map(|row| &row.subject).collect();
    assert_eq!(
        distinct.len(),
        rows.len(),
        "rows with the same subject would be merged"
    );
    for row in &rows {
        machine.merge(
            &Owner::new("s1", 1),
            row.window,
            &row.subject,
            &row.counts(),
        );
    }
    assert_all_decoded(&machine);
}
