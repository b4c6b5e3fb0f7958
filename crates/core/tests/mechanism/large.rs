//! Tests of one scheduler, in virtual time, in a fleet of about a thousand schedulers and a thousand workers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

/// Number of schedulers, and of workers.
const FLEET_SIZE: u32 = 1_024;

fn fleet_settings() -> Settings {
    let slow_start = Settings {
        cold_share: 0.3,
        ramp: Span::from_millis(9_000),
        fall_multiple: 3.0,
        fall_span: Span::from_millis(2_000),
        ..settings()
    };
    Settings {
        schedulers: FLEET_SIZE,
        list_on_request: true,
        poll_interval: Span::from_millis(10_000),
        reports_start: true,
        ..slow_start
    }
}

fn rows(workers: impl Iterator<Item = u32>, condition: Condition) -> Vec<Row> {
    workers
        .map(|w| Row {
            zone: w % 3,
            condition,
            ..row(w)
        })
        .collect()
}

/// Serves jobs, eight at a time, and returns the number at each worker.
fn serve(harness: &mut Harness, jobs: usize) -> BTreeMap<u64, u32> {
    let mut jobs_at: BTreeMap<u64, u32> = BTreeMap::new();
    for _ in 0..jobs / 8 {
        let sent: Vec<_> = (0..8)
            .filter_map(|_| {
                let (id, actions) = harness.request(0);
                sent_to(&actions, id).map(|worker| (id, worker))
            })
            .collect();
        harness.now += MS;
        for (id, _) in &sent {
            _ = harness.started(*id, 0);
        }
        harness.now += 40 * MS;
        for (id, worker) in sent {
            harness.settled(id, 0, Ending::Delivered);
            *jobs_at.entry(worker.0).or_default() += 1;
        }
    }
    jobs_at
}

#[test]
fn one_of_a_thousand_schedulers_uses_all_workers_but_draining_ones() {
    let mut harness = Harness::new(fleet_settings(), 0);
    harness.list(ListKind::Snapshot, &rows(0..FLEET_SIZE, Condition::Active));
    assert_eq!(harness.scheduler.members().listed, FLEET_SIZE as usize);
    let jobs = serve(&mut harness, 4 * FLEET_SIZE as usize);
    assert_eq!(jobs.values().sum::<u32>(), 4 * FLEET_SIZE, "all are sent");
    // The best of two random draws leaves out a few workers. Any internal limit on the number of workers would
    // leave out many.
    assert!(
        jobs.len() > FLEET_SIZE as usize * 9 / 10,
        "{} workers are used",
        jobs.len()
    );
    assert!(jobs.values().all(|n| *n <= 20), "{jobs:?}");
    // Two thirds of the workers drain, in one delta.
    harness.list(
        ListKind::Delta,
        &rows((0..FLEET_SIZE).filter(|w| w % 3 > 0), Condition::Leaving),
    );
    let jobs = serve(&mut harness, FLEET_SIZE as usize);
    assert!(
        jobs.keys().all(|w| w % 3 == 0),
        "a job went to a draining worker"
    );
    assert!(jobs.values().sum::<u32>() > FLEET_SIZE / 2);
    // They are replaced by cold workers, which get no more than their slow-start budget.
    let (replaced, now) = ((0..FLEET_SIZE).filter(|w| w % 3 > 0), harness.now);
    let replaced: Vec<Row> = rows(replaced, Condition::Active)
        .into_iter()
        .map(|r| Row {
            online_since: now,
            ..r
        })
        .collect();
    harness.list(ListKind::Delta, &replaced);
    let jobs = serve(&mut harness, 256);
    let (cold_jobs, max_at_one) = jobs
        .iter()
        .filter(|(w, _)| *w % 3 > 0)
        .fold((0, 0), |(sum, max), (_, n)| (sum + n, max.max(*n)));
    assert!(
        max_at_one <= 1,
        "one of a thousand schedulers sent {max_at_one} jobs to one cold worker, {cold_jobs} to all of them"
    );
}

/// In a fleet of a thousand, first polls must be spread as far as in one of hundreds.
#[test]
fn first_polls_of_a_thousand_schedulers_use_the_longest_jitter() {
    let mut polls = BTreeSet::new();
    for seed in 0..u64::from(FLEET_SIZE) {
        let mut scheduler = Scheduler::new(fleet_settings(), seed).expect("usable settings");
        let (mut now, mut actions) = (START, Vec::new());
        scheduler.on_event(now, Event::Timer);
        scheduler.dispatch(now, &mut actions);
        while !actions.iter().any(|a| matches!(a, Action::Subscribe)) {
            let after = actions.iter().filter_map(|a| {
                if let Action::Wake { after } = a {
                    Some(*after)
                } else {
                    None
                }
            });
            now += after.min().expect("a timer is set until the first poll");
            actions.clear();
            scheduler.on_event(now, Event::Timer);
            scheduler.dispatch(now, &mut actions);
        }
        polls.insert((now - START, seed));
    }
    let last = polls.last().expect("not empty").0;
    assert!(
        last <= 7_100 * MS,
        "the last first poll comes after {} ms",
        last / MS
    );
    let polls_in_second = |s: u64| {
        polls
            .range((s * 1_000 * MS, 0)..((s + 1) * 1_000 * MS, 0))
            .count()
    };
    let max_per_second = (0..8).map(polls_in_second).max().expect("not empty");
    assert!(
        max_per_second <= FLEET_SIZE as usize / 5,
        "{max_per_second} polls within one second"
    );
}

/// Returns the worker to which each of 300 keys is sent.
fn placements(harness: &mut Harness) -> Vec<Option<WorkerId>> {
    let placement = |key: u64| {
        let id = RequestId(u128::from(key) + 1);
        harness.now += 50 * MS;
        let keyed = Job {
            key: Some(key * 7_919),
            ..job(0)
        };
        let request = arrival(id, keyed);
        let worker = sent_to(&harness.event(request), id);
        harness.started(id, 0);
        harness.now += 20 * MS;
        harness.settled(id, 0, Ending::Delivered);
        worker
    };
    (0..300).map(placement).collect()
}

/// A hash ring updated by deltas must equal the one built from a snapshot. Otherwise schedulers would place the same
/// key at different workers.
#[test]
fn keys_have_the_same_workers_after_deltas_as_after_a_snapshot() {
    let keyed = || {
        let mut settings = fleet_settings();
        settings.classes[0].effect = Effect::Safe;
        settings.cold_share = 1.0;
        settings
    };
    let mut changed = Harness::new(keyed(), 0);
    changed.list(ListKind::Snapshot, &rows(0..200, Condition::Active));
    for step in 0..20 {
        placements(&mut changed);
        changed.list(
            ListKind::Delta,
            &rows(step * 8..step * 8 + 8, Condition::Leaving),
        );
        changed.list(
            ListKind::Delta,
            &rows(200 + step * 2..202 + step * 2, Condition::Active),
        );
    }
    // One worker becomes active again, and then most leave at once, so that the ring is rebuilt.
    changed.list(ListKind::Delta, &rows(0..1, Condition::Active));
    let after = placements(&mut changed);
    changed.list(ListKind::Delta, &rows(0..220, Condition::Left));
    let few = placements(&mut changed);

    let mut fresh = Harness::new(keyed(), 0);
    let present = rows((0..1).chain(160..240), Condition::Active);
    fresh.list(ListKind::Snapshot, &present);
    assert_eq!(after, placements(&mut fresh));
    fresh.list(ListKind::Snapshot, &rows(220..240, Condition::Active));
    assert_eq!(few, placements(&mut fresh));
    assert!(after != few, "the placements do not follow the list");
}

/// Prints the time that the scheduler takes to apply a complete list and a delta of one row, for several sizes.
#[test]
fn print_time_of_list_changes() {
    for n in [14, 200, FLEET_SIZE, 4 * FLEET_SIZE] {
        let mut harness = Harness::new(fleet_settings(), n);
        let all = rows(0..n, Condition::Active);
        let time = |harness: &mut Harness, kind, rows: &[Row]| {
            let begin = Instant::now();
            for _ in 0..20 {
                harness.list(kind, rows);
            }
            begin.elapsed().as_micros() / 20
        };
        let (whole, one) = (
            time(&mut harness, ListKind::Snapshot, &all),
            time(&mut harness, ListKind::Delta, &all[..1]),
        );
        println!("{n} workers: a snapshot takes {whole} us, a delta of one row {one} us");
        assert_eq!(harness.scheduler.members().listed, n as usize);
    }
}
