//! The concurrency limit: what lowers it, what lifts it, and what must not change it.
//!
//! It owns the limit's tests. It must never set the limit: only events move it.

use oakshed_core::interface::*;

use crate::common::*;
use crate::fill_until_queued;

#[test]
fn declined_job_lowers_the_limit_and_goes_elsewhere() {
    let count = |shed: u32| {
        let mut harness = Harness::new(settings(), 6);
        for _ in 0..shed {
            let (id, actions) = harness.request(1);
            if sent_to(&actions, id).is_some() {
                harness.settled(id, 0, Ending::Declined);
            }
        }
        fill_until_queued(&mut harness, 1).len()
    };
    assert!(count(12) < count(0), "{} against {}", count(12), count(0));

    let mut harness = Harness::new(settings(), 6);
    let (id, actions) = harness.request(1);
    let first = sent_to(&actions, id).expect("sent at once");
    let again = sent_to(&harness.settled(id, 0, Ending::Declined), id)
        .expect("a job that never ran is sent again");
    assert_ne!(first, again);
}

#[test]
fn job_handed_back_by_a_draining_worker_does_not_lower_the_limit() {
    let limit = |drained: bool| {
        let mut harness = Harness::new(settings(), 12);
        let mut out = Vec::new();
        for _ in 0..20 {
            let (id, actions) = harness.request(1);
            if let Some(worker) = sent_to(&actions, id) {
                out.push((id, worker));
            }
        }
        for (id, worker) in out.drain(..10) {
            if drained {
                let mut draining = row(worker.0 as u32);
                draining.condition = Condition::Leaving;
                harness.list(ListKind::Delta, &[draining]);
            }
            harness.settled(id, 0, Ending::Declined);
            if drained {
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
        "{} against {}",
        limit(true),
        limit(false)
    );
}

#[test]
fn failures_of_a_dead_worker_do_not_lower_the_limit() {
    let room = |failures: u32| {
        let mut harness = Harness::new(settings(), 12);
        let mut dead = None;
        let mut failed = 0;
        for _ in 0..400 {
            let (id, actions) = harness.request(1);
            let Some(worker) = sent_to(&actions, id) else {
                continue;
            };
            if failed < failures && *dead.get_or_insert(worker) == worker {
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
    assert!(room(6) + 2.0 >= room(0), "{} against {}", room(6), room(0));
}

#[test]
fn limit_increases_on_served_jobs_where_starts_are_not_reported() {
    // Guards against checking whether the limit is in use after the served job was counted out.
    let mut harness = Harness::new(
        Settings {
            reports_start: false,
            schedulers: 8,
            ..settings()
        },
        4,
    );
    let mut out = std::collections::VecDeque::new();
    let mut most = 0;
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
        most = most.max(out.len());
    }
    assert!(most > 6, "never more than {most} out, from a limit of 4");
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
    // Worker 0 swallows jobs until the limit is full of them; the others serve at once.
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
        "only {served_late} of 40 jobs were served once the worker was unresponsive"
    );
}

/// Guards against learning of queues only at their end: jobs that should have started bring the limit to what is
/// at work while they wait, not to what is out.
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
    // Nothing was done: a job at a time is what is left, whatever comes in.
    assert!(
        limit <= 1.0 && out > 10,
        "a limit of {limit}, and {out} wait"
    );
}

#[test]
fn wide_job_waits_for_all_its_slots() {
    // Guards against a wide job blocking a worker's queue while it waits there for the last slot.
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
    // Guards against cutting the limit to the few jobs that are in flight just after a restart.
    let room = |late: bool| {
        let mut harness = Harness::new(settings(), 12);
        let (id, _) = harness.request(0);
        harness.now += if late { 390 * MS } else { MS };
        harness.started(id, 0);
        harness.settled(id, 0, Ending::Delivered);
        fill_until_queued(&mut harness, 0).len()
    };
    assert!(
        2 * room(true) + 2 >= room(false) && room(false) > 12,
        "{} of {}",
        room(true),
        room(false)
    );
}

/// What a predecessor hands over whose limit is below one job.
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

/// Guards against rounding such a limit once: then it may stay at no job at all for ever.
#[test]
fn limit_below_one_job_still_sends() {
    let estimates = estimates_with_small_limit();
    let sends = |seed: u64| {
        let mut harness = Harness::with_seed(
            Settings {
                schedulers: 50,
                ..settings()
            },
            2,
            seed,
        );
        harness.scheduler.resume_estimates(&estimates);
        let mut sent = 0;
        for _ in 0..20 {
            harness.now += 400 * MS;
            harness.request(0);
            let open = std::mem::take(&mut harness.actions);
            for action in open {
                let Action::Send { id, .. } = action else {
                    continue;
                };
                harness.started(id, 0);
                harness.settled(id, 0, Ending::Delivered);
                sent += 1;
            }
        }
        sent
    };
    let sends: Vec<_> = (0..20).map(sends).collect();
    assert!(
        sends.iter().all(|&n| n > 0) && sends.iter().any(|&n| n < 18),
        "{sends:?}"
    );
}

/// Guards against a limit that falls with each job that a worker hands back as it drains unknown to the list.
#[test]
fn worker_that_declines_everything_lowers_the_limit_once() {
    let limit_after = |refusals: u32| {
        let mut harness = Harness::new(settings(), 6);
        let mut left = refusals;
        while left > 0 {
            let (id, actions) = harness.request(0);
            harness.now += MS;
            match sent_to(&actions, id) {
                Some(WorkerId(0)) => {
                    harness.settled(id, 0, Ending::Declined);
                    harness.event(Event::Cancelled { id });
                    left -= 1;
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

/// Guards against parts of a fleet's figures that are less than a job: of 300 schedulers, one with five times
/// the mean traffic, and a tenant of which little comes, had their jobs rejected while the fleet had room.
#[test]
fn one_of_hundreds_serves_several_times_the_mean() {
    let tenants = vec![100.0, 1_000.0];
    let mut harness = Harness::new(
        Settings {
            schedulers: 300,
            tenants,
            ..settings()
        },
        180,
    );
    let (mut out, mut ended, mut queued) = (std::collections::VecDeque::new(), 0, 0);
    for n in 0..2_000u64 {
        harness.now += 10 * MS; // runs take 200 ms: 20 are out
        let (id, actions) = harness.request((n % 2) as u32);
        match sent_to(&actions, id) {
            Some(_) => out.push_back((harness.now, id)),
            None => queued += 1,
        }
        // One of ten starts late.
        if let Some(&(at, id)) = out.get(out.len().saturating_sub(2)).filter(|_| n % 10 > 0) {
            assert!(at <= harness.now);
            harness.started(id, 0);
        }
        while out.front().is_some_and(|(at, _)| {
            at + 200 * MS + 350 * MS * u64::from(ended % 10 == 0) <= harness.now
        }) {
            let (_, id) = out.pop_front().expect("seen");
            harness.started(id, 0);
            harness.settled(id, 0, Ending::Delivered);
            ended += 1;
        }
    }
    assert!(queued < 40, "{queued} of 2000 were not sent at once");
}
