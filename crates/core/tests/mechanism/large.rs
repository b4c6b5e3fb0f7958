//! A thousand workers and a thousand schedulers: one of these, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

const MANY: u32 = 1_024;

fn fleet() -> Settings {
    let obligations = Settings {
        cold_share: 0.3,
        ramp: Span::from_millis(9_000),
        fall_multiple: 3.0,
        fall_span: Span::from_millis(2_000),
        ..settings()
    };
    Settings {
        schedulers: MANY,
        list_on_request: true,
        poll_interval: Span::from_millis(10_000),
        reports_start: true,
        ..obligations
    }
}

fn rows(of: impl Iterator<Item = u32>, condition: Condition) -> Vec<Row> {
    of.map(|w| Row {
        zone: w % 3,
        condition,
        ..row(w)
    })
    .collect()
}

/// Serves jobs, several at a time; returns how many each worker got.
fn serve(harness: &mut Harness, jobs: usize) -> BTreeMap<u64, u32> {
    let mut got: BTreeMap<u64, u32> = BTreeMap::new();
    for _ in 0..jobs / 8 {
        let open: Vec<_> = (0..8)
            .filter_map(|_| {
                let (id, actions) = harness.request(0);
                sent_to(&actions, id).map(|worker| (id, worker))
            })
            .collect();
        harness.now += MS;
        for (id, _) in &open {
            _ = harness.started(*id, 0);
        }
        harness.now += 40 * MS;
        for (id, worker) in open {
            harness.settled(id, 0, Ending::Delivered);
            *got.entry(worker.0).or_default() += 1;
        }
    }
    got
}

#[test]
fn one_of_a_thousand_schedulers_uses_all_workers_but_draining_ones() {
    let mut harness = Harness::new(fleet(), 0);
    harness.list(ListKind::Snapshot, &rows(0..MANY, Condition::Active));
    assert_eq!(harness.scheduler.members().listed, MANY as usize);
    let got = serve(&mut harness, 4 * MANY as usize);
    assert_eq!(got.values().sum::<u32>(), 4 * MANY, "all are sent");
    // Random picks of two leave a few out; a limit below a thousand anywhere would leave out many.
    assert!(
        got.len() > MANY as usize * 9 / 10,
        "{} workers are used",
        got.len()
    );
    assert!(got.values().all(|n| *n <= 20), "{:?}", got.values().max());
    // Two in three drain, in one delta.
    harness.list(
        ListKind::Delta,
        &rows((0..MANY).filter(|w| w % 3 > 0), Condition::Leaving),
    );
    let got = serve(&mut harness, MANY as usize);
    assert!(
        got.keys().all(|w| w % 3 == 0),
        "a job went to a draining worker"
    );
    assert!(got.values().sum::<u32>() > MANY / 2);
    // They come back as others, each cold: to each at most its part.
    let (anew, now) = ((0..MANY).filter(|w| w % 3 > 0), harness.now);
    let anew: Vec<Row> = rows(anew, Condition::Active)
        .into_iter()
        .map(|r| Row {
            online_since: now,
            ..r
        })
        .collect();
    harness.list(ListKind::Delta, &anew);
    let got = serve(&mut harness, 256);
    let (cold, most) = got
        .iter()
        .filter(|(w, _)| *w % 3 > 0)
        .fold((0, 0), |(n, most), (_, g)| (n + g, most.max(*g)));
    assert!(
        most <= 1,
        "one of a thousand schedulers sent a cold worker {most} jobs, {cold} in all"
    );
}

/// Guards against polls that come closer in a fleet of a thousand than in one of hundreds.
#[test]
fn first_polls_of_a_thousand_schedulers_use_the_longest_jitter() {
    let mut at = BTreeSet::new();
    for seed in 0..u64::from(MANY) {
        let mut scheduler = Scheduler::new(fleet(), seed).expect("usable settings");
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
            now += after.min().expect("a timer until it polls");
            actions.clear();
            scheduler.on_event(now, Event::Timer);
            scheduler.dispatch(now, &mut actions);
        }
        at.insert((now - START, seed));
    }
    let last = at.last().expect("some").0;
    assert!(last <= 7_100 * MS, "the last polls after {} ms", last / MS);
    let second = |s: u64| {
        at.range((s * 1_000 * MS, 0)..((s + 1) * 1_000 * MS, 0))
            .count()
    };
    let most = (0..8).map(second).max().expect("some");
    assert!(most <= MANY as usize / 5, "{most} poll within one second");
}

/// The worker that each of some keys is at home at.
fn homes(harness: &mut Harness) -> Vec<Option<WorkerId>> {
    let home = |key: u64| {
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
    (0..300).map(home).collect()
}

/// Guards against a ring that is brought up to date by changes and is not the one of a scheduler that got the list at
/// once: a key would have another home at each scheduler.
#[test]
fn keys_have_the_same_workers_after_deltas_as_after_a_snapshot() {
    let keyed = || {
        let mut settings = fleet();
        settings.classes[0].effect = Effect::Safe;
        settings.cold_share = 1.0;
        settings
    };
    let mut changed = Harness::new(keyed(), 0);
    changed.list(ListKind::Snapshot, &rows(0..200, Condition::Active));
    for step in 0..20 {
        homes(&mut changed);
        changed.list(
            ListKind::Delta,
            &rows(step * 8..step * 8 + 8, Condition::Leaving),
        );
        changed.list(
            ListKind::Delta,
            &rows(200 + step * 2..202 + step * 2, Condition::Active),
        );
    }
    // One comes back into use, and most drain at once, so that the ring is made anew.
    changed.list(ListKind::Delta, &rows(0..1, Condition::Active));
    let after = homes(&mut changed);
    changed.list(ListKind::Delta, &rows(0..220, Condition::Left));
    let few = homes(&mut changed);

    let mut fresh = Harness::new(keyed(), 0);
    let present = rows((0..1).chain(160..240), Condition::Active);
    fresh.list(ListKind::Snapshot, &present);
    assert_eq!(after, homes(&mut fresh));
    fresh.list(ListKind::Snapshot, &rows(220..240, Condition::Active));
    assert_eq!(few, homes(&mut fresh));
    assert!(after != few, "their homes do not move with the list");
}

/// Prints what a change of the list costs, by its length: a whole list, and one row of it.
#[test]
fn list_changes() {
    for n in [14, 200, MANY, 4 * MANY] {
        let mut harness = Harness::new(fleet(), n);
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
        println!("{n} workers: a whole list takes {whole} us, a change of one {one} us");
        assert_eq!(harness.scheduler.members().listed, n as usize);
    }
}
