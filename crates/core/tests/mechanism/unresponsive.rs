//! Tests that unresponsive workers are detected soon, and that neither an unresponsive connection nor a long-running
//! job makes a worker count as unresponsive.

use oakshed_core::interface::*;

use crate::common::*;

/// Only one connection to the worker hangs. Until the deadlines of its jobs, they must neither keep other jobs from
/// the worker nor hold slots.
#[test]
fn unresponsive_connection_does_not_make_its_worker_unresponsive() {
    let settings = Settings {
        fifo_workers: true,
        progress_every: Span::from_millis(200),
        ..settings()
    };
    for is_started in [false, true] {
        let mut harness = Harness::new(settings.clone(), 1);
        // One unstarted job could keep others from the worker, and so could as many running jobs as the limit allows.
        let lost: Vec<RequestId> = (0..if is_started { 14 } else { 1 })
            .map(|_| harness.request(0).0)
            .collect();
        lost.iter()
            .filter(|_| is_started)
            .for_each(|id| _ = harness.started(*id, 0));
        let mut sends = 0;
        for _ in 0..40 {
            // Every job that is sent starts and is served, including those sent in response to these events.
            let mut actions = harness.request(0).1;
            actions.extend(harness.wait(50 * MS));
            while let Some(action) = actions.pop() {
                let Action::Send { id, .. } = action else {
                    continue;
                };
                sends += 1;
                actions.extend(harness.started(id, 0));
                harness.now += 10 * MS;
                actions.extend(harness.settled(id, 0, Ending::Delivered));
            }
            harness.wait(100 * MS);
        }
        assert!(sends >= 25, "{sends} of 40 sent, started: {is_started}");
        // When the connection recovers, its jobs are tracked again and their ends are accepted.
        harness.event(Event::Progress {
            id: lost[0],
            attempt: 0,
        });
        harness.settled(lost[0], 0, Ending::Error);
        harness.wait(100 * MS);
        let (id, actions) = harness.request(0);
        assert!(sent_to(&actions, id).is_some());
    }
}

#[test]
fn unresponsive_worker_gets_no_jobs_long_before_the_deadline() {
    let mut harness = Harness::new(settings(), 2);
    harness.serve(1, 40, 100 * MS);
    let mut to_unresponsive = 0;
    for round in 0..40 {
        let (id, actions) = harness.request(1);
        match sent_to(&actions, id) {
            // Worker 0 accepts jobs and never responds.
            Some(WorkerId(0)) if round > 10 => to_unresponsive += 1,
            Some(WorkerId(1)) => {
                harness.now += MS;
                harness.started(id, 0);
                harness.now += 100 * MS;
                harness.settled(id, 0, Ending::Delivered);
                continue;
            }
            _ => {}
        }
        harness.now += 100 * MS;
    }
    assert!(
        to_unresponsive <= 3,
        "{to_unresponsive} jobs went to the unresponsive worker"
    );
}

#[test]
fn long_running_job_does_not_make_its_worker_unresponsive() {
    // With many schedulers, each often has only one job at a worker. A long one must not cause a backoff.
    let mut harness = Harness::new(settings(), 1);
    harness.serve(1, 60, 100 * MS);
    let (long, _) = harness.request(1);
    harness.started(long, 0);
    harness.now += 250 * MS;
    let (id, actions) = harness.request(0);
    assert_eq!(sent_to(&actions, id), Some(WorkerId(0)));
    harness.now += 250 * MS; // a job whose start is overdue does cause one
    let (id, actions) = harness.request(0);
    assert_eq!(sent_to(&actions, id), None);
}

#[test]
fn unreachable_workers_are_detected_while_their_jobs_fill_the_limit() {
    // Detection must not depend on worker selection, which stops once jobs at unreachable workers use up the limit.
    // All other jobs were then queued until the deadlines of those.
    let mut harness = Harness::new(
        Settings {
            schedulers: 16,
            ..settings()
        },
        12,
    );
    harness.serve(1, 40, 100 * MS);
    let (mut running, mut served_late) = (std::collections::VecDeque::new(), 0);
    let mut seen = harness.actions.len();
    for round in 0..300 {
        harness.now += 10 * MS;
        harness.request(1);
        while seen < harness.actions.len() {
            seen += 1;
            let Action::Send {
                id,
                worker: WorkerId(8..),
                ..
            } = harness.actions[seen - 1]
            else {
                continue;
            };
            harness.started(id, 0);
            running.push_back((round + 10, id));
            served_late += u32::from(round >= 200);
        }
        while let Some((_, id)) = running
            .front()
            .copied()
            .filter(|job: &(u32, RequestId)| job.0 <= round)
        {
            running.pop_front();
            harness.settled(id, 0, Ending::Delivered);
        }
    }
    assert!(
        served_late > 30,
        "only {served_late} of 100 jobs were served with two thirds of the workers unreachable"
    );
}
