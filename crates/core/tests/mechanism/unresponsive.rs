//! Workers and connections of which nothing is observed: detected soon, and none for another.
//!
//! It owns the tests of unresponsive workers. It must never report what such a worker does.

use oakshed_core::interface::*;

use crate::common::*;

/// Guards against a worker that is kept from jobs, and slots that are occupied, for as long as a client
/// waits, by a connection that has become unresponsive while its worker serves on.
#[test]
fn unresponsive_connection_does_not_mark_its_worker() {
    let with = Settings {
        fifo_workers: true,
        progress_every: Span::from_millis(200),
        ..settings()
    };
    for starts in [false, true] {
        let mut bench = Bench::new(with.clone(), 1);
        // One that waits keeps others from the worker; as many that run as fill the limit do it too.
        let lost: Vec<RequestId> = (0..if starts { 14 } else { 1 })
            .map(|_| bench.request(0).0)
            .collect();
        lost.iter()
            .filter(|_| starts)
            .for_each(|id| _ = bench.started(*id, 0));
        let mut went = 0;
        for _ in 0..40 {
            // Whatever is sent starts at once and is served; what is sent on such an observation, too.
            let mut actions = bench.request(0).1;
            actions.extend(bench.wait(50 * MS));
            while let Some(action) = actions.pop() {
                let Action::Send { id, .. } = action else {
                    continue;
                };
                went += 1;
                actions.extend(bench.started(id, 0));
                bench.now += 10 * MS;
                actions.extend(bench.settled(id, 0, Ending::Delivered));
            }
            bench.wait(100 * MS);
        }
        assert!(went >= 25, "{went} of 40 were sent, started: {starts}");
        // Heard of again, it counts again, and its end is its end.
        bench.event(Event::Progress {
            id: lost[0],
            attempt: 0,
        });
        bench.settled(lost[0], 0, Ending::Error);
        bench.wait(100 * MS);
        let (id, actions) = bench.request(0);
        assert!(sent(&actions, id).is_some());
    }
}

#[test]
fn unresponsive_worker_gets_no_jobs_long_before_the_deadline() {
    let mut bench = Bench::new(settings(), 2);
    bench.serve(1, 40, 100 * MS);
    let mut to_unresponsive = 0;
    for round in 0..40 {
        let (id, actions) = bench.request(1);
        match sent(&actions, id) {
            // Worker 0 takes jobs and says nothing more.
            Some(WorkerId(0)) if round > 10 => to_unresponsive += 1,
            Some(WorkerId(1)) => {
                bench.now += MS;
                bench.started(id, 0);
                bench.now += 100 * MS;
                bench.settled(id, 0, Ending::Delivered);
                continue;
            }
            _ => {}
        }
        bench.now += 100 * MS;
    }
    assert!(
        to_unresponsive <= 3,
        "{to_unresponsive} jobs went to an unresponsive worker"
    );
}

#[test]
fn long_running_job_does_not_make_its_worker_unresponsive() {
    // Guards against backing off, at many schedulers, from each worker whose only own job runs long.
    let mut bench = Bench::new(settings(), 1);
    bench.serve(1, 60, 100 * MS);
    let (long, _) = bench.request(1);
    bench.started(long, 0);
    bench.now += 250 * MS;
    let (id, actions) = bench.request(0);
    assert_eq!(sent(&actions, id), Some(WorkerId(0)));
    bench.now += 250 * MS; // but one that should have started and has not does
    let (id, actions) = bench.request(0);
    assert_eq!(sent(&actions, id), None);
}

#[test]
fn unreachable_workers_are_detected_while_their_jobs_fill_the_limit() {
    // Guards against looking only at workers that are drawn: with the limit full of jobs
    // at cut-off workers none was drawn any more, and all was queued until their deadlines.
    let mut bench = Bench::new(
        Settings {
            schedulers: 16,
            ..settings()
        },
        12,
    );
    bench.serve(1, 40, 100 * MS);
    let (mut running, mut served_late) = (std::collections::VecDeque::new(), 0);
    let mut seen = bench.actions.len();
    for round in 0..300 {
        bench.now += 10 * MS;
        bench.request(1);
        while seen < bench.actions.len() {
            seen += 1;
            let Action::Send {
                id,
                worker: WorkerId(8..),
                ..
            } = bench.actions[seen - 1]
            else {
                continue;
            };
            bench.started(id, 0);
            running.push_back((round + 10, id));
            served_late += u32::from(round >= 200);
        }
        while let Some((_, id)) = running
            .front()
            .copied()
            .filter(|job: &(u32, RequestId)| job.0 <= round)
        {
            running.pop_front();
            bench.settled(id, 0, Ending::Delivered);
        }
    }
    assert!(
        served_late > 30,
        "only {served_late} of 100 jobs were served with two thirds cut off"
    );
}
