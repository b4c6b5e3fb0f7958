//! Tests of worker selection by free slots, zone, machine kind and key, and of the workers to which a job may be
//! retried.

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

#[test]
fn worker_that_reports_free_slots_is_preferred() {
    let with_reports = Settings {
        reports: Reports::Answers,
        ..settings()
    };
    let mut harness = Harness::new(with_reports, 2);
    let report = |worker: WorkerId, extra: f64| Report {
        free_slots: Some(extra + if worker.0 == 0 { 6.0 } else { 1.0 }),
        outstanding: Some(1.0),
        ..Report::default()
    };
    // Both workers are observed once, as the second job goes to the one without the first.
    let both: Vec<_> = (0..2).map(|_| harness.request(0)).collect();
    for (id, actions) in both {
        let worker = sent_to(&actions, id).expect("sent");
        harness.served_with_report(id, report(worker, 0.0));
    }
    let mut chosen = [0, 0];
    for round in 0..60 {
        let (id, actions) = harness.request(0);
        harness.now += 20 * MS;
        let Some(worker) = sent_to(&actions, id) else {
            continue;
        };
        if round > 20 {
            chosen[worker.0 as usize] += 1;
        }
        let jitter = f64::from(round) / 1000.0;
        harness.served_with_report(id, report(worker, jitter));
    }
    assert!(chosen[0] > 2 * chosen[1], "{chosen:?}");
}

/// Where workers report their load only in answers, one or two early reports of less than one free slot were assumed
/// for all workers. As nothing was sent any more, no newer report arrived. Four in ten of a customer's requests were
/// rejected, by a tenth of the schedulers.
#[test]
fn stale_reports_of_few_workers_block_no_job() {
    for free in [0.0, 0.5] {
        let mut harness = Harness::new(
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
        let mut sends = 0;
        for n in 0..40 {
            let (id, actions) = harness.request(0);
            sends += u32::from(sent_to(&actions, id).is_some());
            harness.now += 100 * MS;
            let report = full.filter(|_| n < 8);
            harness.event(Event::Settled {
                id,
                attempt: 0,
                ending: Ending::Delivered,
                finished: true,
                report,
            });
            harness.now += 400 * MS;
        }
        assert!(
            sends >= 38,
            "{sends} of 40 jobs were sent after a few workers had reported {free} free slots"
        );
    }
}

/// Other zones have a cost. Jobs go there only when the scheduler's own zone has no free slots, but do not wait for it
/// then.
#[test]
fn own_zone_is_preferred_where_other_zones_have_a_cost() {
    let harness = |cross_zone_cost: f64| {
        let mut harness = Harness::new(
            Settings {
                cross_zone_cost,
                ..settings()
            },
            9,
        );
        let other_zones: Vec<Row> = (3..9)
            .map(|w| Row {
                zone: 1 + w / 6,
                ..row(w)
            })
            .collect();
        harness.list(ListKind::Delta, &other_zones);
        harness
    };
    let jobs_in_own_zone = |cross_zone_cost: f64| {
        let mut harness = harness(cross_zone_cost);
        let mut in_own_zone = 0;
        for _ in 0..100 {
            let (id, actions) = harness.request(0);
            in_own_zone += u32::from(sent_to(&actions, id).is_some_and(|w| w.0 < 3));
            harness.started(id, 0);
            harness.now += 20 * MS;
            harness.settled(id, 0, Ending::Delivered);
        }
        in_own_zone
    };
    let (free, charged) = (jobs_in_own_zone(0.0), jobs_in_own_zone(0.03));
    assert!(free < 60, "{free} of 100 without a cost");
    assert!(charged > 85, "{charged} of 100 with a cost");
    let mut harness = harness(0.03);
    let mut crossed = 0;
    for _ in 0..48 {
        let (id, actions) = harness.request(0);
        crossed += u32::from(sent_to(&actions, id).is_some_and(|w| w.0 >= 3));
    }
    assert!(crossed >= 10, "{crossed} of 48 jobs left their zone");
}

#[test]
fn class_kind_decides_which_workers_fit() {
    let mut with_kind = settings();
    with_kind.classes[1].kind = Some(1);
    let mut harness = Harness::new(with_kind, 6);
    let fast = Row { kind: 1, ..row(4) };
    harness.list(ListKind::Delta, &[fast]);
    for _ in 0..4 {
        let (id, actions) = harness.request(1);
        assert_eq!(
            sent_to(&actions, id),
            Some(WorkerId(4)),
            "only this worker has the kind that the class requires"
        );
        harness.settled(id, 0, Ending::Delivered);
    }
}

#[test]
fn keyed_retry_stays_in_its_cell() {
    let mut harness = Harness::new(settings(), 6);
    let (id, actions) = harness.request(2);
    let first = sent_to(&actions, id).expect("sent");
    let second =
        sent_to(&harness.settled(id, 0, Ending::Dropped), id).expect("a keyed job is retried");
    assert_eq!(
        first.0 / 3,
        second.0 / 3,
        "retried in another cell, which does not deduplicate it"
    );
}

/// All zones unknown to the settings share one number, so two workers with it may be in different zones.
#[test]
fn keyed_request_is_not_retried_in_an_unknown_zone() {
    for scope in [Scope::Zone, Scope::Cell] {
        let mut settings = settings();
        settings.classes[2].scope = scope;
        let mut harness = Harness::new(settings, 0);
        let rows: Vec<Row> = (0..6)
            .map(|w| Row {
                zone: UNKNOWN,
                cell: 0,
                ..row(w)
            })
            .collect();
        harness.list(ListKind::Snapshot, &rows);
        let (id, actions) = harness.request(2);
        assert!(sent_to(&actions, id).is_some());
        assert!(
            sent_to(&harness.settled(id, 0, Ending::Dropped), id).is_none(),
            "{scope:?}"
        );
    }
}

#[test]
fn late_start_is_not_duplicated_and_retries_are_spread() {
    // Duplicates would add load to a slow fleet. Schedulers must not all retry at the same workers, either: the first
    // two of the list once got three times as many jobs as the others.
    let mut settings = settings();
    settings.classes[2].scope = Scope::All;
    let mut retried_at = std::collections::HashSet::new();
    for seed in 0..40 {
        let mut harness = Harness::with_seed(settings.clone(), 30, seed);
        let (keyed, _) = harness.request(2);
        for _ in 0..20 {
            assert!(
                sent_to(&harness.wait(10 * MS), keyed).is_none(),
                "a duplicate of a job that may still start"
            );
        }
        retried_at.extend(sent_to(&harness.settled(keyed, 0, Ending::Dropped), keyed));
    }
    assert!(
        retried_at.len() >= 15,
        "40 retries went to {} of 30 workers",
        retried_at.len()
    );
}

#[test]
fn key_has_the_same_workers_at_every_scheduler() {
    let workers_of_key = |seed: u64| {
        let mut scheduler = Scheduler::new(settings(), seed).expect("usable");
        let rows: Vec<Row> = (0..30).map(row).collect();
        scheduler.on_event(
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
            scheduler.on_event(now, arrival(id, keyed));
            let mut actions = Vec::new();
            scheduler.dispatch(now, &mut actions);
            used.extend(sent_to(&actions, id).map(|w| w.0));
            let (ending, finished, report) = (Ending::Delivered, true, None);
            scheduler.on_event(
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
    let (one, other) = (workers_of_key(1), workers_of_key(2));
    assert!(one.len() <= 2, "{one:?}");
    assert_eq!(one, other);
}

#[test]
fn keys_are_spread_evenly_over_workers() {
    // With only one position for each worker on the hash ring, some got five times their share of the keys.
    let mut keyed = settings();
    keyed.classes[0].effect = Effect::Safe;
    let mut harness = Harness::new(keyed, 20);
    let mut jobs = [0u32; 20];
    for key in 0..2_000u64 {
        let id = RequestId(u128::from(key) + 1);
        harness.now += 10 * MS;
        let keyed = Job {
            key: Some(key * 7_919),
            ..job(0)
        };
        let request = arrival(id, keyed);
        let Some(WorkerId(worker)) = sent_to(&harness.event(request), id) else {
            panic!("the job is queued")
        };
        jobs[worker as usize] += 1;
        harness.started(id, 0);
        harness.settled(id, 0, Ending::Delivered);
    }
    assert!(jobs.iter().all(|&n| (50..200).contains(&n)), "{jobs:?}");
}

/// Other schedulers fill the own zone. With one job in flight at a time, a scheduler's own counts do not show that, and
/// the cost of another zone exceeds the slots that a full worker seems to lack.
#[test]
fn zone_with_late_starts_is_avoided_where_other_zones_have_a_cost() {
    let jobs_in_other_zone = |wait: Micros| {
        let mut harness = Harness::new(
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
        harness.list(ListKind::Snapshot, &rows);
        harness.serve(0, 30, 100 * MS); // running times are observed
        let mut in_other_zone = 0;
        for _ in 0..40 {
            let (id, actions) = harness.request(0);
            let Some(worker) = sent_to(&actions, id) else {
                continue;
            };
            let is_own_zone = worker.0 % 2 == 0;
            harness.now += if is_own_zone { wait } else { MS };
            harness.started(id, 0);
            harness.now += 100 * MS;
            harness.settled(id, 0, Ending::Delivered);
            in_other_zone += u32::from(!is_own_zone);
        }
        in_other_zone
    };
    let (prompt, late) = (jobs_in_other_zone(MS), jobs_in_other_zone(150 * MS));
    assert_eq!(prompt, 0, "jobs left a zone with prompt starts");
    assert!(late > 8, "{late} of 40 jobs in the other zone");
}
