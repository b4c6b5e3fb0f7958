//! Tests of the concurrency limit: which events increase or decrease it, and which must not change it.

use oakshed_core::interface::*;

use crate::common::*;
use crate::fill_until_queued;

#[test]
fn declined_job_lowers_the_limit_and_goes_elsewhere() {
    let jobs_sent = |declined: u32| {
        let mut harness = Harness::new(settings(), 6);
        for _ in 0..declined {
            let (id, actions) = harness.request(1);
            if sent_to(&actions, id).is_some() {
                harness.settled(id, 0, Ending::Declined);
            }
        }
        fill_until_queued(&mut harness, 1).len()
    };
    assert!(
        jobs_sent(12) < jobs_sent(0),
        "{} sent after 12 declined jobs, {} without",
        jobs_sent(12),
        jobs_sent(0)
    );

    let mut harness = Harness::new(settings(), 6);
    let (id, actions) = harness.request(1);
    let first = sent_to(&actions, id).expect("a worker is free");
    let second = sent_to(&harness.settled(id, 0, Ending::Declined), id)
        .expect("a job that never ran is retried");
    assert_ne!(first, second);
}

#[test]
fn job_declined_by_a_draining_worker_does_not_lower_the_limit() {
    let limit = |is_draining: bool| {
        let mut harness = Harness::new(settings(), 12);
        let mut out = Vec::new();
        for _ in 0..20 {
            let (id, actions) = harness.request(1);
            if let Some(worker) = sent_to(&actions, id) {
                out.push((id, worker));
            }
        }
        for (id, worker) in out.drain(..10) {
            if is_draining {
                let mut draining = row(worker.0 as u32);
                draining.condition = Condition::Leaving;
                harness.list(ListKind::Delta, &[draining]);
            }
            harness.settled(id, 0, Ending::Declined);
            if is_draining {
                harness.list(ListKind::Delta, &[row(worker.0 as u32)]);
            }
        }
        harness.scheduler.estimates().concurrency_limit
    };
    assert_eq!(
        limit(true),
        Harness::new(settings(), 12)
            .scheduler
            .estimates()
            .concurrency_limit
    );
    assert!(
        limit(false) < limit(true) - 2.0,
        "a limit of {} after draining workers declined jobs, {} after active ones did",
        limit(true),
        limit(false)
    );
}

#[test]
fn failures_of_a_dead_worker_do_not_lower_the_limit() {
    let limit = |failures: u32| {
        let mut harness = Harness::new(settings(), 12);
        let mut dead_worker = None;
        let mut failed = 0;
        for _ in 0..400 {
            let (id, actions) = harness.request(1);
            let Some(worker) = sent_to(&actions, id) else {
                continue;
            };
            if failed < failures && *dead_worker.get_or_insert(worker) == worker {
                harness.settled(id, 0, Ending::DialFailed);
                failed += 1;
            } else {
                harness.started(id, 0);
                harness.now += 300 * MS;
                harness.settled(id, 0, Ending::Delivered);
            }
        }
        harness.scheduler.estimates().concurrency_limit
    };
    assert!(
        limit(6) + 2.0 >= limit(0),
        "a limit of {} after 6 failures, {} without",
        limit(6),
        limit(0)
    );
}

#[test]
fn limit_increases_on_served_jobs_where_starts_are_not_reported() {
    // The limit grows only while it is in use. That check must come before the served job is subtracted.
    let mut harness = Harness::new(
        Settings {
            reports_start: false,
            schedulers: 8,
            ..settings()
        },
        4,
    );
    let mut out = std::collections::VecDeque::new();
    let mut max_in_flight = 0;
    for _ in 0..400 {
        let (_, mut actions) = harness.request(1);
        actions.extend(harness.request(1).1);
        harness.now += 50 * MS;
        if let Some(id) = out.pop_front() {
            actions.extend(harness.settled(id, 0, Ending::Delivered));
        }
        out.extend(actions.iter().filter_map(|a| {
            if let Action::Send { id, .. } = a {
                Some(*id)
            } else {
                None
            }
        }));
        max_in_flight = max_in_flight.max(out.len());
    }
    assert!(
        max_in_flight > 6,
        "at most {max_in_flight} in flight, from an initial limit of 4"
    );
}

#[test]
fn jobs_at_an_unresponsive_worker_do_not_count_against_the_limit() {
    let mut harness = Harness::new(
        Settings {
            schedulers: 8,
            ..settings()
        },
        4,
    );
    harness.serve(1, 40, 100 * MS);
    // Worker 0 accepts jobs without starting them, which would use up the limit. The others serve immediately.
    let mut served_late = 0;
    for round in 0..120 {
        harness.now += 20 * MS;
        let (id, actions) = harness.request(1);
        match sent_to(&actions, id) {
            Some(WorkerId(0)) | None => {}
            Some(_) => {
                harness.started(id, 0);
                harness.settled(id, 0, Ending::Delivered);
                served_late += u32::from(round >= 80);
            }
        }
    }
    assert!(
        served_late > 30,
        "only {served_late} of 40 jobs were served after the worker had become unresponsive"
    );
}

/// Jobs whose start is overdue reduce the limit to the jobs that are running, even while they wait. Otherwise a
/// queue would be noticed only when the jobs at its end start.
#[test]
fn overdue_start_counts_before_the_job_starts() {
    let mut harness = Harness::new(
        Settings {
            schedulers: 100,
            ..settings()
        },
        60,
    );
    let mut out = 0;
    for _ in 0..25 {
        let (id, actions) = harness.request(1);
        out += u32::from(sent_to(&actions, id).is_some());
        harness.wait(240 * MS);
    }
    let limit = harness.scheduler.estimates().concurrency_limit;
    // No job has started, so the limit falls to one job whatever the arrival rate.
    assert!(
        limit <= 1.0 && out > 10,
        "a limit of {limit}, and {out} jobs waiting"
    );
}

#[test]
fn wide_job_waits_for_all_its_slots() {
    // Sent too early, it would wait for its last slot at the worker and block the jobs queued behind it.
    let mut harness = Harness::new(
        Settings {
            reports: Reports::Answers,
            ..settings()
        },
        1,
    );
    let report = |n: f64| {
        Some(Report {
            free_slots: Some(n),
            outstanding: Some(5.0 - n),
            ..Report::default()
        })
    };
    for n in 0..40 {
        let (id, actions) = harness.request(0);
        if sent_to(&actions, id).is_some() {
            harness.started(id, 0);
            harness.now += 20 * MS;
            let (ending, finished, report) =
                (Ending::Delivered, true, report(2.0 + f64::from(n) / 1e3));
            harness.event(Event::Settled {
                id,
                attempt: 0,
                ending,
                finished,
                report,
            });
        }
    }
    let (wide, actions) = harness.request_with_slots(0, 4.0);
    assert!(sent_to(&actions, wide).is_none());
    let (narrow, actions) = harness.request_with_slots(0, 1.0);
    assert!(sent_to(&actions, narrow).is_some());
}

#[test]
fn one_late_start_does_not_collapse_a_restarted_schedulers_limit() {
    // Just after a restart, few jobs are in flight; a late start must not reduce the limit to so few.
    let jobs_sent = |is_late: bool| {
        let mut harness = Harness::new(settings(), 12);
        let (id, _) = harness.request(0);
        harness.now += if is_late { 390 * MS } else { MS };
        harness.started(id, 0);
        harness.settled(id, 0, Ending::Delivered);
        fill_until_queued(&mut harness, 0).len()
    };
    assert!(
        2 * jobs_sent(true) + 2 >= jobs_sent(false) && jobs_sent(false) > 12,
        "{} jobs sent after a late start, {} after a prompt one",
        jobs_sent(true),
        jobs_sent(false)
    );
}

/// Returns the estimates of a predecessor whose limit is below one job.
fn estimates_with_small_limit() -> Estimates {
    let class = ClassEstimates {
        run: 400_000.0,
        work: 400_000.0,
        served: 20.0,
    };
    Estimates {
        concurrency_limit: 0.3,
        mean_run: 400_000.0,
        classes: vec![class; 3],
    }
}

/// If such a limit were rounded only once, it might stay at 0 for ever.
#[test]
fn limit_below_one_job_still_sends() {
    let estimates = estimates_with_small_limit();
    let count_sends = |seed: u64| {
        let mut harness = Harness::with_seed(
            Settings {
                schedulers: 50,
                ..settings()
            },
            2,
            seed,
        );
        harness.scheduler.resume_estimates(&estimates);
        let mut sends = 0;
        for _ in 0..20 {
            harness.now += 400 * MS;
            harness.request(0);
            let actions = std::mem::take(&mut harness.actions);
            for action in actions {
                let Action::Send { id, .. } = action else {
                    continue;
                };
                harness.started(id, 0);
                harness.settled(id, 0, Ending::Delivered);
                sends += 1;
            }
        }
        sends
    };
    let sends: Vec<_> = (0..20).map(count_sends).collect();
    assert!(
        sends.iter().all(|&n| n > 0) && sends.iter().any(|&n| n < 18),
        "{sends:?}"
    );
}

/// A worker may drain before the list shows it. The limit must not decrease with each job that it declines.
#[test]
fn worker_that_declines_everything_lowers_the_limit_once() {
    let limit_after = |rejections: u32| {
        let mut harness = Harness::new(settings(), 6);
        let mut remaining = rejections;
        while remaining > 0 {
            let (id, actions) = harness.request(0);
            harness.now += MS;
            match sent_to(&actions, id) {
                Some(WorkerId(0)) => {
                    harness.settled(id, 0, Ending::Declined);
                    harness.event(Event::Cancelled { id });
                    remaining -= 1;
                }
                Some(_) => _ = harness.settled(id, 0, Ending::Revoked),
                None => {}
            }
            harness.event(Event::Cancelled { id });
            harness.wait(50 * MS);
        }
        harness.scheduler.estimates().concurrency_limit
    };
    assert_eq!(limit_after(1), limit_after(6));
}

/// A scheduler's share of fleet-wide limits and quotas may be less than one job. Of 300 schedulers, one with five
/// times the mean traffic once rejected jobs while the fleet had free capacity, as did those with a tenant that
/// sends little.
#[test]
fn one_of_hundreds_of_schedulers_serves_several_times_the_mean() {
    let tenants = vec![100.0, 1_000.0];
    let mut harness = Harness::new(
        Settings {
            schedulers: 300,
            tenants,
            ..settings()
        },
        180,
    );
    let (mut in_flight, mut ended, mut queued) = (std::collections::VecDeque::new(), 0, 0);
    for n in 0..2_000u64 {
        harness.now += 10 * MS; // jobs run for 200 ms, so 20 are in flight
        let (id, actions) = harness.request((n % 2) as u32);
        match sent_to(&actions, id) {
            Some(_) => in_flight.push_back((harness.now, id)),
            None => queued += 1,
        }
        // One in ten jobs starts late.
        if let Some(&(at, id)) = in_flight
            .get(in_flight.len().saturating_sub(2))
            .filter(|_| n % 10 > 0)
        {
            assert!(at <= harness.now);
            harness.started(id, 0);
        }
        while in_flight.front().is_some_and(|(at, _)| {
            at + 200 * MS + 350 * MS * u64::from(ended % 10 == 0) <= harness.now
        }) {
            let (_, id) = in_flight.pop_front().expect("not empty");
            harness.started(id, 0);
            harness.settled(id, 0, Ending::Delivered);
            ended += 1;
        }
    }
    assert!(
        queued < 40,
        "{queued} of 2,000 jobs were not sent immediately"
    );
}
