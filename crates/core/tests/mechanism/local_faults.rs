//! Tests of attempts that were not sent because this machine lacked a descriptor, port or memory. They must not count
//! against the worker, and the request must be retried while it has time left.

use std::collections::{BTreeMap, VecDeque};

use oakshed_core::interface::*;

use crate::common::*;

/// Returns settings with a latency objective so long that a queued request has seconds left.
fn long_objective() -> Settings {
    let mut settings = settings();
    settings
        .classes
        .iter_mut()
        .for_each(|class| class.latency_objective = Span::from_millis(4_000));
    settings
}

/// Waits until a request is retried. Returns the worker and the waiting time.
fn wait_for_retry(harness: &mut Harness, id: RequestId) -> (WorkerId, Micros) {
    let start = harness.now;
    loop {
        let actions = harness.wait(MS);
        if let Some(worker) = sent_to(&actions, id) {
            return (worker, harness.now - start);
        }
        assert!(
            !rejected(&actions, id) && harness.now < start + 2_000 * MS,
            "not retried within 2 s"
        );
    }
}

#[test]
fn request_backs_off_and_is_sent_to_another_address() {
    let mut harness = Harness::new(long_objective(), 3);
    let (id, actions) = harness.request(1);
    let mut last = sent_to(&actions, id).expect("sent");
    // More than the maximum number of attempts, which local faults do not count towards.
    for n in 0..2 * max_attempts() {
        let actions = harness.settled(id, n, Ending::LocalFault);
        assert!(
            sent_to(&actions, id).is_none() && !rejected(&actions, id),
            "the request must back off"
        );
        let (next, backoff) = wait_for_retry(&mut harness, id);
        assert!(backoff >= 5 * MS, "a backoff of {backoff} us");
        assert_ne!(next, last, "another address may still have free ports");
        last = next;
    }
    harness.settled(id, 2 * max_attempts(), Ending::Delivered);
    assert_eq!(
        harness.scheduler.in_flight_counts(),
        InFlightCounts {
            workers: 3,
            ..InFlightCounts::default()
        }
    );
}

fn max_attempts() -> u32 {
    long_objective().max_attempts
}

/// Local faults once had effects that outlasted them: workers were avoided and assumed to have a queue.
#[test]
fn local_fault_starts_no_backoff_from_the_worker() {
    let mut harness = Harness::new(long_objective(), 3);
    for _ in 0..30 {
        let (id, actions) = harness.request(1);
        if sent_to(&actions, id).is_some() {
            harness.settled(id, 0, Ending::LocalFault);
        }
        harness.event(Event::Cancelled { id });
    }
    let mut jobs_to: BTreeMap<u64, u32> = BTreeMap::new();
    for _ in 0..60 {
        let (id, actions) = harness.request(1);
        let worker = sent_to(&actions, id).expect("sent immediately");
        *jobs_to.entry(worker.0).or_default() += 1;
        harness.started(id, 0);
        harness.now += 10 * MS;
        harness.settled(id, 0, Ending::Delivered);
    }
    assert!(
        jobs_to.len() == 3 && jobs_to.values().all(|n| *n > 8),
        "{jobs_to:?}"
    );
}

/// While the scheduler backs off from a worker, a trial that was not sent must not count as a failed one.
#[test]
fn trial_that_was_not_sent_does_not_lengthen_the_backoff() {
    let mut harness = Harness::new(long_objective(), 1);
    harness.serve(1, 150, 10 * MS); // the length of a backoff depends on observed running times
    let (id, actions) = harness.request(1);
    assert!(sent_to(&actions, id).is_some());
    harness.settled(id, 0, Ending::Dropped);
    for _ in 0..6 {
        let (id, actions) = harness.request(1);
        if sent_to(&actions, id).is_none() {
            wait_for_retry(&mut harness, id);
        }
        harness.settled(id, 0, Ending::LocalFault);
        harness.event(Event::Cancelled { id });
    }
    let (id, actions) = harness.request(1);
    assert!(
        sent_to(&actions, id).is_some(),
        "six failed trials would have doubled the backoff six times"
    );
    harness.settled(id, 0, Ending::Delivered);
}

/// Counts the jobs out of 40 that go to a cold worker after 3 s, during which eight attempts every 50 ms fail with a
/// local fault, or none.
fn jobs_to_cold_worker(has_faults: bool, seed: u64) -> u32 {
    let settings = Settings {
        cold_share: 0.2,
        ..settings()
    };
    let mut harness = Harness::with_seed(settings, 10, seed);
    harness.serve(1, 50, 100 * MS);
    let restarted = Row {
        online_since: harness.now,
        ..row(0)
    };
    harness.list(ListKind::Delta, &[restarted]);
    for _ in 0..60 {
        harness.wait(50 * MS);
        for _ in 0..if has_faults { 8 } else { 0 } {
            let (id, actions) = harness.request(1);
            if sent_to(&actions, id).is_some() {
                harness.settled(id, 0, Ending::LocalFault);
            }
            harness.event(Event::Cancelled { id });
        }
    }
    let mut to_cold = 0;
    for _ in 0..40 {
        let (id, actions) = harness.request(1);
        let to = sent_to(&actions, id);
        to_cold += u32::from(to == Some(WorkerId(0)));
        harness.event(Event::Cancelled { id });
        if to.is_some() {
            harness.settled(id, 0, Ending::Revoked);
        }
    }
    to_cold
}

#[test]
fn slow_start_budget_is_refunded() {
    let without_faults: u32 = (0..20).map(|seed| jobs_to_cold_worker(false, seed)).sum();
    let after_faults: u32 = (0..20).map(|seed| jobs_to_cold_worker(true, seed)).sum();
    assert!(
        without_faults > 20 && 10 * after_faults >= 8 * without_faults,
        "{after_faults} jobs after local faults, {without_faults} without"
    );
}

/// A simulation in which every connection attempt fails locally during some period.
struct FaultRun {
    harness: Harness,
    fault: std::ops::Range<Micros>,
    /// Number of the last attempt of each request.
    attempts: BTreeMap<RequestId, u32>,
    /// Running attempts by the time of their end.
    running: BTreeMap<Micros, (RequestId, u32)>,
    /// Attempts that failed with a local fault.
    failed_attempts: u32,
    served: u32,
    last_served: Micros,
}

impl FaultRun {
    fn new() -> Self {
        let harness = Harness::new(long_objective(), 20);
        FaultRun {
            fault: harness.now + 150 * MS..harness.now + 1_500 * MS,
            attempts: BTreeMap::new(),
            running: BTreeMap::new(),
            failed_attempts: 0,
            served: 0,
            last_served: harness.now,
            harness,
        }
    }

    fn end_jobs(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((id, attempt)) = self.running.remove(&self.harness.now) {
            actions.extend(self.harness.settled(id, attempt, Ending::Delivered));
            self.served += 1;
            self.last_served = self.harness.now;
        }
        actions
    }

    /// Executes an action and returns the actions that it leads to immediately.
    fn act(&mut self, action: Action) -> Vec<Action> {
        match action {
            Action::Send { id, .. } => self.begin_attempt(id),
            Action::Reject { .. } | Action::Fail { .. } => {
                panic!("{action:?} after {} us", self.harness.now - START)
            }
            _ => Vec::new(),
        }
    }

    fn begin_attempt(&mut self, id: RequestId) -> Vec<Action> {
        let last = self.attempts.entry(id);
        let attempt = *last.and_modify(|n| *n += 1).or_default();
        if self.fault.contains(&self.harness.now) {
            self.failed_attempts += 1;
            return self.harness.settled(id, attempt, Ending::LocalFault);
        }
        let actions = self.harness.started(id, attempt);
        // `running` holds at most one attempt for each end time.
        let mut end = self.harness.now + 10 * MS;
        while self.running.contains_key(&end) {
            end += MS;
        }
        self.running.insert(end, (id, attempt));
        actions
    }
}

/// 200 requests arrive per second, and connection attempts fail locally from 0.15 to 1.5 s. All requests are queued
/// and served afterwards, and the number of attempts during the fault is bounded.
#[test]
fn requests_with_time_left_stay_queued_during_a_local_fault() {
    let mut run = FaultRun::new();
    let began = run.harness.now;
    let mut arrived = 0;
    while run.harness.now < began + 6_000 * MS {
        let mut actions = VecDeque::from(run.harness.wait(MS));
        if arrived < 1_000 && (run.harness.now - began) % (5 * MS) == 0 {
            arrived += 1;
            let (_, more) = run.harness.request(arrived % 2);
            actions.extend(more);
        }
        actions.extend(run.end_jobs());
        while let Some(action) = actions.pop_front() {
            actions.extend(run.act(action));
        }
    }
    assert_eq!((arrived, run.served), (1_000, 1_000));
    let last = run.last_served - began;
    assert!(
        last < 5_300 * MS,
        "the last request was served after {last} us"
    );
    assert!(
        run.failed_attempts < 8_000,
        "{} attempts in 1.35 s",
        run.failed_attempts
    );
}

#[test]
fn expired_requests_are_rejected_during_a_local_fault() {
    let mut harness = Harness::new(settings(), 3);
    let (id, actions) = harness.request(0);
    assert!(sent_to(&actions, id).is_some());
    let (start, mut attempt) = (harness.now, 0);
    let mut actions = harness.settled(id, attempt, Ending::LocalFault);
    while !rejected(&actions, id) {
        assert!(harness.now < start + 1_000 * MS, "not rejected within 1 s");
        actions = harness.wait(MS);
        if sent_to(&actions, id).is_some() {
            attempt += 1;
            actions = harness.settled(id, attempt, Ending::LocalFault);
        }
    }
    assert!(
        attempt > 3 && harness.now > start + 200 * MS,
        "{attempt} retries, rejected after {} us",
        harness.now - start
    );
    assert_eq!(
        harness.scheduler.in_flight_counts(),
        InFlightCounts {
            workers: 3,
            ..InFlightCounts::default()
        }
    );
}

#[test]
fn probe_that_was_not_sent_changes_no_estimate() {
    let mut harness = Harness::new(
        Settings {
            may_probe: true,
            reports: Reports::Probe,
            ..long_objective()
        },
        3,
    );
    let (id, actions) = harness.request(0);
    let probed = actions.iter().find_map(|a| {
        if let Action::Probe { worker } = a {
            Some(*worker)
        } else {
            None
        }
    });
    let worker = probed.expect("a worker is probed");
    let actions = harness.event(Event::Probed {
        worker,
        ending: Ending::LocalFault,
        report: None,
    });
    assert_eq!(
        sent_to(&actions, id),
        Some(worker),
        "the worker is selected as if it had not been probed"
    );
}
