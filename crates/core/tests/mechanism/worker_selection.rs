//! Where a job goes: what fits, free slots, zones, keys, and where it may be sent again.
//!
//! It owns the pick's tests. It must never depend on one draw: counts over many decide.

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

#[test]
fn worker_that_reports_free_slots_is_preferred() {
    let with_reports = Settings {
        reports: Reports::Answers,
        ..settings()
    };
    let mut bench = Bench::new(with_reports, 2);
    let report = |worker: WorkerId, more: f64| Report {
        free_slots: Some(more + if worker.0 == 0 { 6.0 } else { 1.0 }),
        outstanding: Some(1.0),
        ..Report::default()
    };
    // Both are observed once: the second job goes where the first is not.
    let both: Vec<_> = (0..2).map(|_| bench.request(0)).collect();
    for (id, actions) in both {
        let worker = sent(&actions, id).expect("sent");
        bench.served_with(id, report(worker, 0.0));
    }
    let mut chosen = [0, 0];
    for round in 0..60 {
        let (id, actions) = bench.request(0);
        bench.now += 20 * MS;
        let Some(worker) = sent(&actions, id) else {
            continue;
        };
        if round > 20 {
            chosen[worker.0 as usize] += 1;
        }
        let jiggle = f64::from(round) / 1000.0;
        bench.served_with(id, report(worker, jiggle));
    }
    assert!(chosen[0] > 2 * chosen[1], "{chosen:?}");
}

/// Guards against a belief that keeps itself alive: among many workers that report their load in answers alone, a
/// first answer or two with less than a slot free stood for all others, nothing was sent any more, and so nothing
/// better was ever reported; four in ten of a customer's requests were rejected, by a tenth of the schedulers.
#[test]
fn stale_reports_of_few_workers_block_no_job() {
    for free in [0.0, 0.5] {
        let mut bench = Bench::new(
            Settings {
                reports: Reports::Answers,
                ..settings()
            },
            60,
        );
        let full = Some(Report {
            free_slots: Some(free),
            outstanding: Some(4.0),
            ..Report::default()
        });
        let mut sent_on = 0;
        for n in 0..40 {
            let (id, actions) = bench.request(0);
            sent_on += u32::from(sent(&actions, id).is_some());
            bench.now += 100 * MS;
            let report = full.filter(|_| n < 8);
            bench.event(Event::Settled {
                id,
                attempt: 0,
                ending: Ending::Delivered,
                finished: true,
                report,
            });
            bench.now += 400 * MS;
        }
        assert!(
            sent_on >= 38,
            "{sent_on} of 40 were sent on, {free} slots free reported by a few workers"
        );
    }
}

/// Guards against paying for crossings while the own zone has slots free, and against waiting for it
/// when it has none.
#[test]
fn own_zone_is_preferred_where_crossings_are_charged() {
    let bench = |cross_zone_cost: f64| {
        let mut bench = Bench::new(
            Settings {
                cross_zone_cost,
                ..settings()
            },
            9,
        );
        let far: Vec<Row> = (3..9)
            .map(|w| Row {
                zone: 1 + w / 6,
                ..row(w)
            })
            .collect();
        bench.list(ListKind::Delta, &far);
        bench
    };
    let near = |cross_zone_cost: f64| {
        let mut bench = bench(cross_zone_cost);
        let mut near = 0;
        for _ in 0..100 {
            let (id, actions) = bench.request(0);
            near += u32::from(sent(&actions, id).is_some_and(|w| w.0 < 3));
            bench.started(id, 0);
            bench.now += 20 * MS;
            bench.settled(id, 0, Ending::Delivered);
        }
        near
    };
    assert!(near(0.0) < 60, "{}", near(0.0));
    assert!(near(0.03) > 85, "{}", near(0.03));
    let mut bench = bench(0.03);
    let mut far = 0;
    for _ in 0..48 {
        let (id, actions) = bench.request(0);
        far += u32::from(sent(&actions, id).is_some_and(|w| w.0 >= 3));
    }
    assert!(far >= 10, "{far} of 48 that are all open");
}

#[test]
fn class_kind_decides_which_workers_fit() {
    let mut with_kind = settings();
    with_kind.classes[1].kind = Some(1);
    let mut bench = Bench::new(with_kind, 6);
    let fast = Row { kind: 1, ..row(4) };
    bench.list(ListKind::Delta, &[fast]);
    for _ in 0..4 {
        let (id, actions) = bench.request(1);
        assert_eq!(
            sent(&actions, id),
            Some(WorkerId(4)),
            "only its kind runs it"
        );
        bench.settled(id, 0, Ending::Delivered);
    }
}

#[test]
fn keyed_retry_stays_in_its_group() {
    let mut bench = Bench::new(settings(), 6);
    let (id, actions) = bench.request(2);
    let first = sent(&actions, id).expect("sent");
    let again = sent(&bench.settled(id, 0, Ending::Dropped), id).expect("keyed is sent again");
    assert_eq!(
        first.0 / 3,
        again.0 / 3,
        "within the cell that drops its repeats"
    );
}

/// Zones of which the settings know no name share a number, and may be two.
#[test]
fn keyed_retry_finds_no_group_in_an_unknown_zone() {
    for scope in [Scope::Zone, Scope::Cell] {
        let mut unknown = settings();
        unknown.classes[2].scope = scope;
        let mut bench = Bench::new(unknown, 0);
        let rows: Vec<Row> = (0..6)
            .map(|w| Row {
                zone: UNKNOWN,
                cell: 0,
                ..row(w)
            })
            .collect();
        bench.list(ListKind::Snapshot, &rows);
        let (id, actions) = bench.request(2);
        assert!(sent(&actions, id).is_some());
        assert!(
            sent(&bench.settled(id, 0, Ending::Dropped), id).is_none(),
            "{scope:?}"
        );
    }
}

#[test]
fn late_start_is_not_duplicated_and_retries_are_spread() {
    // Guards against second copies that load a late fleet further, and against all schedulers sending
    // again to the same workers: the two at the head of the list drew three times the others' jobs.
    let mut all = settings();
    all.classes[2].scope = Scope::All;
    let mut again = std::collections::HashSet::new();
    for seed in 0..40 {
        let mut bench = Bench::seeded(all.clone(), 30, seed);
        let (keyed, _) = bench.request(2);
        for _ in 0..20 {
            assert!(
                sent(&bench.wait(10 * MS), keyed).is_none(),
                "a copy of what may yet start"
            );
        }
        again.extend(sent(&bench.settled(keyed, 0, Ending::Dropped), keyed));
    }
    assert!(
        again.len() >= 15,
        "40 that were sent again went to {} of 30 workers",
        again.len()
    );
}

#[test]
fn key_has_the_same_workers_at_every_scheduler() {
    let place = |seed: u64| {
        let mut d = Scheduler::new(settings(), seed).expect("usable");
        let rows: Vec<Row> = (0..30).map(row).collect();
        d.on_event(
            START,
            Event::List {
                kind: ListKind::Cached,
                rows: &rows,
            },
        );
        let mut used = Vec::new();
        for n in 0..12u64 {
            let (id, now) = (RequestId(u128::from(n)), START + n * 50 * MS);
            let keyed = Job {
                key: Some(77),
                ..job(0)
            };
            d.on_event(now, arrival(id, keyed));
            let mut actions = Vec::new();
            d.dispatch(now, &mut actions);
            used.extend(sent(&actions, id).map(|w| w.0));
            let (ending, finished, report) = (Ending::Delivered, true, None);
            d.on_event(
                now + 20 * MS,
                Event::Settled {
                    id,
                    attempt: 0,
                    ending,
                    finished,
                    report,
                },
            );
        }
        used.sort_unstable();
        used.dedup();
        used
    };
    let (one, other) = (place(1), place(2));
    assert!(one.len() <= 2, "{one:?}");
    assert_eq!(one, other);
}

#[test]
fn keys_are_spread_evenly_over_workers() {
    // Guards against one place a worker on the ring: some were home to five times their share.
    let mut keyed = settings();
    keyed.classes[0].effect = Effect::Safe;
    let mut bench = Bench::new(keyed, 20);
    let mut jobs = [0u32; 20];
    for key in 0..2_000u64 {
        let id = RequestId(u128::from(key) + 1);
        bench.now += 10 * MS;
        let keyed = Job {
            key: Some(key * 7_919),
            ..job(0)
        };
        let request = arrival(id, keyed);
        let Some(WorkerId(worker)) = sent(&bench.event(request), id) else {
            panic!("queued")
        };
        jobs[worker as usize] += 1;
        bench.started(id, 0);
        bench.settled(id, 0, Ending::Delivered);
    }
    assert!(jobs.iter().all(|&n| (50..200).contains(&n)), "{jobs:?}");
}

/// Guards against staying in a zone that others fill. With one job in flight at a time, own counts show nothing of
/// it, and a crossing costs more slots than a full worker seems to lack.
#[test]
fn zone_with_late_starts_is_avoided_where_crossings_are_charged() {
    let crossed = |wait: Micros| {
        let mut bench = Bench::new(
            Settings {
                cross_zone_cost: 0.03,
                schedulers: 48,
                ..settings()
            },
            0,
        );
        let rows: Vec<Row> = (0..6)
            .map(|w| Row {
                zone: w % 2,
                ..row(w)
            })
            .collect();
        bench.list(ListKind::Snapshot, &rows);
        bench.serve(0, 30, 100 * MS); // what runs take is known
        let mut crossed = 0;
        for _ in 0..40 {
            let (id, actions) = bench.request(0);
            let Some(worker) = sent(&actions, id) else {
                continue;
            };
            let home = worker.0 % 2 == 0;
            bench.now += if home { wait } else { MS };
            bench.started(id, 0);
            bench.now += 100 * MS;
            bench.settled(id, 0, Ending::Delivered);
            crossed += u32::from(!home);
        }
        crossed
    };
    assert_eq!(crossed(MS), 0, "home where it starts at once");
    assert!(crossed(150 * MS) > 8, "{} of 40", crossed(150 * MS));
}
