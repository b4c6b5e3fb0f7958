//! Tests with workers that are full, return errors or are unreachable, while the endpoint list still shows them as
//! active.

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

#[test]
fn full_worker_is_avoided_for_a_while_without_reports() {
    // The worker was once assumed to have many free slots, and was tried again immediately.
    let mut waited = 0;
    for _ in 0..20 {
        let mut harness = Harness::new(settings(), 1);
        harness.scheduler = Scheduler::new(settings(), waited).expect("usable settings");
        harness.list(ListKind::Cached, &[row(0)]);
        let (id, actions) = harness.request(0);
        assert!(sent_to(&actions, id).is_some());
        harness.settled(id, 0, Ending::Declined);
        let (id, mut actions) = harness.request(0);
        let start = harness.now;
        while sent_to(&actions, id).is_none() && harness.now < start + 400 * MS {
            actions = harness.wait(2 * MS);
        }
        waited += harness.now - start;
    }
    assert!(
        waited > 20 * 35 * MS,
        "{} ms between attempts on average",
        waited / 20 / MS
    );
}

/// A worker whose jobs fail immediately looks idle and fast, and once received a fifth of all jobs.
#[test]
fn failing_worker_is_backed_off_from_after_the_second_error() {
    let jobs_to_failing = |is_error: &dyn Fn(u32) -> bool| {
        let mut harness = Harness::new(settings(), 4);
        let (mut jobs, mut nth) = (0, 0);
        for _ in 0..200 {
            let (id, actions) = harness.request(1);
            harness.now += MS;
            let Some(worker) = sent_to(&actions, id) else {
                continue;
            };
            harness.started(id, 0);
            if worker == WorkerId(0) {
                jobs += 1;
                nth += 1;
                harness.now += MS;
                harness.settled(
                    id,
                    0,
                    if is_error(nth) {
                        Ending::Error
                    } else {
                        Ending::Delivered
                    },
                );
            } else {
                harness.now += 100 * MS;
                harness.settled(id, 0, Ending::Delivered);
            }
        }
        jobs
    };
    let (always, seldom) = (jobs_to_failing(&|_| true), jobs_to_failing(&|n| n % 5 == 0));
    assert!(
        always < 25,
        "{always} of 200 jobs to a worker that always fails"
    );
    assert!(
        seldom > 30,
        "{seldom} of 200 jobs to a worker that fails every fifth job"
    );
}

/// Counts the attempts of 40 jobs at workers of the scheduler's own zone, where every connection attempt fails after
/// the given time.
fn attempts_in_lost_zone(fails_after: Micros) -> u32 {
    let mut harness = Harness::new(
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
    harness.list(ListKind::Snapshot, &rows);
    harness.serve(0, 30, 100 * MS);
    let mut in_own_zone = 0;
    for _ in 0..40 {
        let (id, actions) = harness.request(0);
        let mut worker = sent_to(&actions, id);
        for attempt in 0..4 {
            let Some(to) = worker else { break };
            if to.0 % 2 == 1 {
                harness.started(id, attempt);
                harness.now += 100 * MS;
                harness.settled(id, attempt, Ending::Delivered);
                break;
            }
            in_own_zone += 1;
            harness.now += fails_after;
            worker = sent_to(&harness.settled(id, attempt, Ending::DialFailed), id);
        }
    }
    in_own_zone
}

/// Each of hundreds of schedulers contacts a worker only a few times a minute, so it must not have to try every
/// worker of a lost zone. This includes connections that are refused immediately, which once counted as prompt starts.
#[test]
fn zone_is_avoided_when_some_of_its_workers_are_unreachable() {
    let unresponsive = attempts_in_lost_zone(200 * MS);
    let refused = attempts_in_lost_zone(0);
    assert!(
        unresponsive < 60 && refused < 30,
        "{unresponsive} attempts in the lost zone if dials time out, {refused} if they are refused"
    );
}

/// Half of the workers refuse connections or reset them, which the list does not show. Retries must not multiply the
/// load during the outage, even though each scheduler contacts a worker only rarely.
#[test]
fn retries_in_an_outage_are_a_share_of_arrivals() {
    for (ending, max_ratio) in [(Ending::DialFailed, 1.45), (Ending::Dropped, 1.25)] {
        let (mut sends, mut requests) = (0, 0);
        for seed in 0..50 {
            let mut harness = Harness::with_seed(
                Settings {
                    schedulers: 50,
                    ..settings()
                },
                60,
                seed,
            );
            harness.serve(0, 10, 100 * MS);
            for n in 0..100u32 {
                let (id, actions) = harness.request(n % 2);
                let (mut to, mut attempt) = (sent_to(&actions, id), 0);
                requests += 1;
                while let Some(worker) = to {
                    sends += 1;
                    if worker.0 < 30 {
                        to = sent_to(&harness.settled(id, attempt, ending), id);
                        attempt += 1;
                        continue;
                    }
                    harness.started(id, attempt);
                    harness.now += 100 * MS;
                    harness.settled(id, attempt, Ending::Delivered);
                    break;
                }
            }
        }
        let ratio = f64::from(sends) / f64::from(requests);
        assert!(
            ratio > 1.0 && ratio < max_ratio,
            "{ratio} attempts per request over {requests} requests that end in {ending:?}"
        );
    }
}
