//! Attempts that were not sent for a fault of this machine: its workers have no part in it, its requests wait.
//!
//! It owns the tests of that ending. It must never let a worker fail.

use std::collections::{BTreeMap, VecDeque};

use oakshed_core::interface::*;

use crate::common::*;

/// Classes with so long a latency objective that what is queued has seconds left.
fn patient() -> Settings {
    let mut settings = settings();
    settings
        .classes
        .iter_mut()
        .for_each(|class| class.latency_objective = Span::from_millis(4_000));
    settings
}

/// Waits until a request is sent again; returns the worker and how long that took.
fn sent_again(bench: &mut Bench, id: RequestId) -> (WorkerId, Micros) {
    let start = bench.now;
    loop {
        let actions = bench.wait(MS);
        if let Some(worker) = sent(&actions, id) {
            return (worker, bench.now - start);
        }
        assert!(
            !rejected(&actions, id) && bench.now < start + 2_000 * MS,
            "it is queued"
        );
    }
}

#[test]
fn request_backs_off_and_is_sent_to_another_address() {
    let mut bench = Bench::new(patient(), 3);
    let (id, actions) = bench.request(1);
    let mut at = sent(&actions, id).expect("sent");
    // More often than a request has attempts: these are none of them.
    for n in 0..2 * bench_attempts() {
        let actions = bench.settled(id, n, Ending::LocalFault);
        assert!(
            sent(&actions, id).is_none() && !rejected(&actions, id),
            "it backs off"
        );
        let (next, span) = sent_again(&mut bench, id);
        assert!(span >= 5 * MS, "{span}");
        assert_ne!(next, at, "another address may have ports");
        at = next;
    }
    bench.settled(id, 2 * bench_attempts(), Ending::Delivered);
    assert_eq!(
        bench.scheduler.in_flight_counts(),
        InFlightCounts {
            workers: 3,
            ..InFlightCounts::default()
        }
    );
}

fn bench_attempts() -> u32 {
    patient().max_attempts
}

/// Guards against effects that outlive the fault: workers were avoided, and taken to have a queue.
#[test]
fn local_fault_starts_no_backoff_from_the_worker() {
    let mut bench = Bench::new(patient(), 3);
    for _ in 0..30 {
        let (id, actions) = bench.request(1);
        if sent(&actions, id).is_some() {
            bench.settled(id, 0, Ending::LocalFault);
        }
        bench.event(Event::Cancelled { id });
    }
    let mut jobs_to: BTreeMap<u64, u32> = BTreeMap::new();
    for _ in 0..60 {
        let (id, actions) = bench.request(1);
        let worker = sent(&actions, id).expect("sent at once");
        *jobs_to.entry(worker.0).or_default() += 1;
        bench.started(id, 0);
        bench.now += 10 * MS;
        bench.settled(id, 0, Ending::Delivered);
    }
    assert!(
        jobs_to.len() == 3 && jobs_to.values().all(|n| *n > 8),
        "{jobs_to:?}"
    );
}

/// The same of a worker that is really backed off from: a try that never left is no try.
#[test]
fn trial_that_was_not_sent_does_not_lengthen_the_backoff() {
    let mut bench = Bench::new(patient(), 1);
    bench.serve(1, 150, 10 * MS); // what it backs off for is observed first
    let (id, actions) = bench.request(1);
    assert!(sent(&actions, id).is_some());
    bench.settled(id, 0, Ending::Dropped);
    for _ in 0..6 {
        let (id, actions) = bench.request(1);
        if sent(&actions, id).is_none() {
            sent_again(&mut bench, id);
        }
        bench.settled(id, 0, Ending::LocalFault);
        bench.event(Event::Cancelled { id });
    }
    let (id, actions) = bench.request(1);
    assert!(
        sent(&actions, id).is_some(),
        "six trials that left would be six doublings"
    );
    bench.settled(id, 0, Ending::Delivered);
}

/// How many of 40 jobs a cold worker gets after 3 s in which eight attempts at each moment fail for a fault of this
/// machine, or none.
fn sent_to_cold(has_faults: bool, seed: u64) -> u32 {
    let settings = Settings {
        cold_share: 0.2,
        ..settings()
    };
    let mut bench = Bench::seeded(settings, 10, seed);
    bench.serve(1, 50, 100 * MS);
    let restarted = Row {
        online_since: bench.now,
        ..row(0)
    };
    bench.list(ListKind::Delta, &[restarted]);
    for _ in 0..60 {
        bench.wait(50 * MS);
        for _ in 0..if has_faults { 8 } else { 0 } {
            let (id, actions) = bench.request(1);
            if sent(&actions, id).is_some() {
                bench.settled(id, 0, Ending::LocalFault);
            }
            bench.event(Event::Cancelled { id });
        }
    }
    let mut to_cold = 0;
    for _ in 0..40 {
        let (id, actions) = bench.request(1);
        let to = sent(&actions, id);
        to_cold += u32::from(to == Some(WorkerId(0)));
        bench.event(Event::Cancelled { id });
        if to.is_some() {
            bench.settled(id, 0, Ending::Revoked);
        }
    }
    to_cold
}

#[test]
fn slow_start_budget_is_given_back() {
    let plain: u32 = (0..20).map(|seed| sent_to_cold(false, seed)).sum();
    let after_faults: u32 = (0..20).map(|seed| sent_to_cold(true, seed)).sum();
    assert!(
        plain > 20 && 10 * after_faults >= 8 * plain,
        "{after_faults} of {plain}"
    );
}

/// A run in which no connection comes up for some time.
struct FaultRun {
    bench: Bench,
    fault: std::ops::Range<Micros>,
    /// The last attempt of each request.
    attempts: BTreeMap<RequestId, u32>,
    /// What runs, by its end.
    running: BTreeMap<Micros, (RequestId, u32)>,
    /// Attempts that failed for the fault.
    tries: u32,
    served: u32,
    last_served: Micros,
}

impl FaultRun {
    fn new() -> Self {
        let bench = Bench::new(patient(), 20);
        FaultRun {
            fault: bench.now + 150 * MS..bench.now + 1_500 * MS,
            attempts: BTreeMap::new(),
            running: BTreeMap::new(),
            tries: 0,
            served: 0,
            last_served: bench.now,
            bench,
        }
    }

    fn end_jobs(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((id, attempt)) = self.running.remove(&self.bench.now) {
            actions.extend(self.bench.settled(id, attempt, Ending::Delivered));
            self.served += 1;
            self.last_served = self.bench.now;
        }
        actions
    }

    /// Carries out an action; returns what follows from it at once.
    fn act(&mut self, action: Action) -> Vec<Action> {
        match action {
            Action::Send { id, .. } => self.begin_attempt(id),
            Action::Reject { .. } | Action::Fail { .. } => {
                panic!("{action:?} at {}", self.bench.now - START)
            }
            _ => Vec::new(),
        }
    }

    fn begin_attempt(&mut self, id: RequestId) -> Vec<Action> {
        let last = self.attempts.entry(id);
        let attempt = *last.and_modify(|n| *n += 1).or_default();
        if self.fault.contains(&self.bench.now) {
            self.tries += 1;
            return self.bench.settled(id, attempt, Ending::LocalFault);
        }
        let actions = self.bench.started(id, attempt);
        // One an end, so that each moment has its own.
        let mut end = self.bench.now + 10 * MS;
        while self.running.contains_key(&end) {
            end += MS;
        }
        self.running.insert(end, (id, attempt));
        actions
    }
}

/// 200 requests a second, and no connection comes up from 0.15 to 1.5 s: each is queued, and served after it; what is
/// tried meanwhile is bounded.
#[test]
fn requests_with_time_left_stay_queued_during_a_local_fault() {
    let mut run = FaultRun::new();
    let began = run.bench.now;
    let mut taken = 0;
    while run.bench.now < began + 6_000 * MS {
        let mut actions = VecDeque::from(run.bench.wait(MS));
        if taken < 1_000 && (run.bench.now - began) % (5 * MS) == 0 {
            taken += 1;
            let (_, more) = run.bench.request(taken % 2);
            actions.extend(more);
        }
        actions.extend(run.end_jobs());
        while let Some(action) = actions.pop_front() {
            actions.extend(run.act(action));
        }
    }
    assert_eq!((taken, run.served), (1_000, 1_000));
    let last = run.last_served - began;
    assert!(last < 5_300 * MS, "the last at {last}");
    assert!(run.tries < 8_000, "{} tries in 1.35 s", run.tries);
}

#[test]
fn expired_requests_are_rejected_during_a_local_fault() {
    let mut bench = Bench::new(settings(), 3);
    let (id, actions) = bench.request(0);
    assert!(sent(&actions, id).is_some());
    let (start, mut attempt) = (bench.now, 0);
    let mut actions = bench.settled(id, attempt, Ending::LocalFault);
    while !rejected(&actions, id) {
        assert!(
            bench.now < start + 1_000 * MS,
            "an answer is due before the aim has passed"
        );
        actions = bench.wait(MS);
        if sent(&actions, id).is_some() {
            attempt += 1;
            actions = bench.settled(id, attempt, Ending::LocalFault);
        }
    }
    assert!(
        attempt > 3 && bench.now > start + 200 * MS,
        "{attempt} tries, {} us",
        bench.now - start
    );
    assert_eq!(
        bench.scheduler.in_flight_counts(),
        InFlightCounts {
            workers: 3,
            ..InFlightCounts::default()
        }
    );
}

#[test]
fn probe_that_was_not_sent_changes_no_estimate() {
    let mut bench = Bench::new(
        Settings {
            may_probe: true,
            reports: Reports::Probe,
            ..patient()
        },
        3,
    );
    let (id, actions) = bench.request(0);
    let probed = actions.iter().find_map(|a| {
        if let Action::Probe { worker } = a {
            Some(*worker)
        } else {
            None
        }
    });
    let worker = probed.expect("one is probed");
    let actions = bench.event(Event::Probed {
        worker,
        ending: Ending::LocalFault,
        report: None,
    });
    assert_eq!(sent(&actions, id), Some(worker), "it is as good as before");
}
