//! Workers that are full, err, or cannot be reached, and outages of many.
//!
//! It owns the tests of failing workers. It must never let the list show a failure.

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

#[test]
fn full_worker_is_avoided_for_a_while_without_reports() {
    // Guards against believing in many free slots there: a full worker was tried again at once.
    let mut waited = 0;
    for _ in 0..20 {
        let mut bench = Bench::new(settings(), 1);
        bench.scheduler = Scheduler::new(settings(), waited).expect("usable settings");
        bench.list(ListKind::Cached, &[row(0)]);
        let (id, actions) = bench.request(0);
        assert!(sent(&actions, id).is_some());
        bench.settled(id, 0, Ending::Declined);
        let (id, mut actions) = bench.request(0);
        let start = bench.now;
        while sent(&actions, id).is_none() && bench.now < start + 400 * MS {
            actions = bench.wait(2 * MS);
        }
        waited += bench.now - start;
    }
    assert!(waited > 20 * 35 * MS, "{} ms on average", waited / 20 / MS);
}

/// Guards against a worker whose jobs end in errors at once: it looks free and quick, and drew a fifth of all.
#[test]
fn failing_worker_is_backed_off_from_after_the_second_error() {
    let sends = |errs: &dyn Fn(u32) -> bool| {
        let mut bench = Bench::new(settings(), 4);
        let (mut bad, mut nth) = (0, 0);
        for _ in 0..200 {
            let (id, actions) = bench.request(1);
            bench.now += MS;
            let Some(worker) = sent(&actions, id) else {
                continue;
            };
            bench.started(id, 0);
            if worker == WorkerId(0) {
                bad += 1;
                nth += 1;
                bench.now += MS;
                bench.settled(
                    id,
                    0,
                    if errs(nth) {
                        Ending::Error
                    } else {
                        Ending::Delivered
                    },
                );
            } else {
                bench.now += 100 * MS;
                bench.settled(id, 0, Ending::Delivered);
            }
        }
        bad
    };
    let (always, seldom) = (sends(&|_| true), sends(&|n| n % 5 == 0));
    assert!(always < 25, "{always} of 200");
    assert!(seldom > 30, "{seldom} of 200");
}

/// How many of the attempts of 40 jobs go to the own zone, each of whose workers fails a dial after so long.
fn tries_at_a_lost_zone(fails_after: Micros) -> u32 {
    let mut bench = Bench::new(
        Settings {
            cross_zone_cost: 0.03,
            schedulers: 300,
            ..settings()
        },
        0,
    );
    let rows: Vec<Row> = (0..120)
        .map(|w| Row {
            zone: w % 2,
            ..row(w)
        })
        .collect();
    bench.list(ListKind::Snapshot, &rows);
    bench.serve(0, 30, 100 * MS);
    let mut home = 0;
    for _ in 0..40 {
        let (id, actions) = bench.request(0);
        let mut at = sent(&actions, id);
        for attempt in 0..4 {
            let Some(worker) = at else { break };
            if worker.0 % 2 == 1 {
                bench.started(id, attempt);
                bench.now += 100 * MS;
                bench.settled(id, attempt, Ending::Delivered);
                break;
            }
            home += 1;
            bench.now += fails_after;
            at = sent(&bench.settled(id, attempt, Ending::DialFailed), id);
        }
    }
    home
}

/// Guards against contacting each worker of a lost zone: hundreds of schedulers contact one some times a minute. Also
/// where dials are rejected at once: that was taken for a prompt start.
#[test]
fn zone_is_avoided_when_some_of_its_workers_are_unreachable() {
    let unresponsive = tries_at_a_lost_zone(200 * MS);
    let rejected = tries_at_a_lost_zone(0);
    assert!(
        unresponsive < 60 && rejected < 30,
        "{unresponsive} and {rejected} tries at a zone that is lost"
    );
}

/// Guards against an outage that grows by what is sent again: half of the workers decline at once, or reset what
/// they took, and the list does not show it. Over all schedulers, each of which contacts a worker seldom.
#[test]
fn retries_in_an_outage_are_a_share_of_arrivals() {
    for (ending, most) in [(Ending::DialFailed, 1.45), (Ending::Dropped, 1.25)] {
        let (mut sends, mut requests) = (0, 0);
        for seed in 0..50 {
            let mut bench = Bench::seeded(
                Settings {
                    schedulers: 50,
                    ..settings()
                },
                60,
                seed,
            );
            bench.serve(0, 10, 100 * MS);
            for n in 0..100u32 {
                let (id, actions) = bench.request(n % 2);
                let (mut at, mut attempt) = (sent(&actions, id), 0);
                requests += 1;
                while let Some(worker) = at {
                    sends += 1;
                    if worker.0 < 30 {
                        at = sent(&bench.settled(id, attempt, ending), id);
                        attempt += 1;
                        continue;
                    }
                    bench.started(id, attempt);
                    bench.now += 100 * MS;
                    bench.settled(id, attempt, Ending::Delivered);
                    break;
                }
            }
        }
        let each = f64::from(sends) / f64::from(requests);
        assert!(
            each > 1.0 && each < most,
            "{each} sends for each of {requests} requests where {ending:?}"
        );
    }
}
