//! Tests of the endpoint list: draining workers, failed polls, slow discovery, and workers that left long ago.

use std::collections::VecDeque;

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

#[test]
fn draining_worker_gets_no_jobs() {
    let mut harness = Harness::new(settings(), 2);
    let leaving = Row {
        condition: Condition::Leaving,
        ..row(0)
    };
    harness.list(ListKind::Delta, &[leaving]);
    for _ in 0..8 {
        let (id, actions) = harness.request(0);
        assert_ne!(sent_to(&actions, id), Some(WorkerId(0)));
    }
    // A worker missing from a snapshot gets no jobs, either.
    harness.list(ListKind::Snapshot, &[row(2)]);
    for _ in 0..8 {
        let (id, actions) = harness.request(0);
        assert!(matches!(sent_to(&actions, id), Some(WorkerId(2)) | None));
    }
}

/// Guards against requests that wait for the confirmation of a list, for an unknown time: those that are queued when the
/// list becomes unconfirmed are rejected, and so are later ones, until a list is confirmed. Attempts in flight go on.
#[test]
fn requests_are_rejected_while_the_list_is_unconfirmed() {
    let mut harness = Harness::new(settings(), 1);
    let (running, actions) = harness.request(0);
    assert_eq!(sent_to(&actions, running), Some(WorkerId(0)));
    let leaving = Row {
        condition: Condition::Leaving,
        ..row(0)
    };
    harness.list(ListKind::Delta, &[leaving]);
    let (queued, actions) = harness.request(0);
    assert!(!rejected(&actions, queued), "{actions:?}");
    let actions = harness.list(ListKind::Unconfirmed, &[leaving]);
    assert!(rejected(&actions, queued) && !rejected(&actions, running));
    let (late, actions) = harness.request(0);
    assert!(rejected(&actions, late));
    // An update from a peer confirms nothing.
    harness.list(ListKind::Delta, &[leaving]);
    let (later, actions) = harness.request(0);
    assert!(rejected(&actions, later));
    let actions = harness.settled(running, 0, Ending::Delivered);
    assert!(!rejected(&actions, running) && !failed(&actions, running));
    harness.list(ListKind::Snapshot, &[row(0)]);
    let (served, actions) = harness.request(0);
    assert_eq!(sent_to(&actions, served), Some(WorkerId(0)));
}

/// Where the list is pushed, the settings contain no poll interval. With sockets the list is watched by calls even
/// then, which must not be repeated in a tight loop while discovery is down.
#[test]
fn failed_polls_are_not_repeated_without_backoff() {
    let mut harness = Harness::new(
        Settings {
            poll_interval: Span::ZERO,
            ..settings()
        },
        3,
    );
    harness.list(ListKind::Failed, &[]);
    let mut polls = 0;
    for _ in 0..1_000 {
        if harness.wait(MS).contains(&Action::Subscribe) {
            polls += 1;
            harness.list(ListKind::Failed, &[]);
        }
    }
    assert!((10..=100).contains(&polls), "{polls} calls within a second");
}

#[test]
fn failed_poll_is_repeated_and_the_list_is_retained() {
    let mut harness = Harness::new(
        Settings {
            list_on_request: true,
            ..settings()
        },
        3,
    );
    assert!(harness.actions.contains(&Action::Subscribe));
    harness.list(ListKind::Failed, &[]);
    let mut polls = 0;
    for _ in 0..100 {
        polls += harness
            .wait(10 * MS)
            .iter()
            .filter(|a| **a == Action::Subscribe)
            .count();
    }
    assert_eq!(polls, 1, "polls within a second after a failure");
    let (id, actions) = harness.request(0);
    assert!(
        sent_to(&actions, id).is_some(),
        "the previous list is still used"
    );
}

/// Changes count as delivered after a fixed time, even during a backoff. Whatever the poll interval and the size of
/// the fleet, a backoff must therefore stay within the share that `Settings::poll_quarter` allows it. Where the list
/// is pushed, changes count as delivered immediately, and no backoff beyond the minimum is allowed.
#[test]
fn poll_backoff_is_a_quarter_of_the_interval_at_most() {
    let fleets = [
        (10_000, 300),
        (1_200_000, 1),
        (60_000, 300),
        (2_000, 3),
        (500, 1),
        (500, 300),
        (0, 300),
    ];
    for (poll_interval, schedulers) in fleets {
        for list_on_request in [poll_interval > 0, false] {
            let poll_interval = poll_interval * MS;
            let mut harness = Harness::new(
                Settings {
                    schedulers,
                    poll_interval: Span::from_micros(poll_interval),
                    list_on_request,
                    ..settings()
                },
                3,
            );
            let max_backoff = if list_on_request {
                poll_interval.min(1_500 * MS)
            } else {
                20 * MS
            };
            // The first poll follows a start with a list, each later one a failure.
            for n in 0..20 {
                if n > 0 || list_on_request && !harness.actions.contains(&Action::Subscribe) {
                    let is_polled = |_: &u64| harness.wait(2 * MS).contains(&Action::Subscribe);
                    let after = (1..10_000).find(is_polled).map(|n| 2 * n);
                    let in_time = after.is_some_and(|ms| ms <= max_backoff / MS + 4);
                    assert!(
                        in_time,
                        "poll interval {poll_interval} us, {schedulers} schedulers: poll {n} after {after:?} ms"
                    );
                }
                harness.list(ListKind::Failed, &[]);
            }
        }
    }
}

/// The tables of workers and names must not grow without bound as machines are replaced.
#[test]
fn departed_workers_are_forgotten_unless_jobs_are_in_flight() {
    let mut harness = Harness::new(settings(), 3);
    let (id, actions) = harness.request(2);
    let first = sent_to(&actions, id).expect("sent");
    for n in 1..300 {
        let rows: Vec<Row> = (100 * n..100 * n + 100).map(row).collect();
        harness.list(ListKind::Snapshot, &rows);
    }
    let counts = harness.scheduler.in_flight_counts();
    assert!(
        counts.workers < 5_000,
        "{counts:?} after 29,900 workers were listed"
    );
    assert_eq!(
        (counts.requests, counts.attempts),
        (1, 3),
        "the attempt counts as in flight, open and unstarted"
    );
    let (other, actions) = harness.request(0);
    assert!(
        sent_to(&actions, other).is_some(),
        "listed workers get jobs"
    );
    harness.settled(other, 0, Ending::Delivered);
    // The job may have run, so it may be retried only in its cell, whose workers have all left.
    let actions = harness.settled(id, 0, Ending::Dropped);
    assert!(
        sent_to(&actions, id).is_none(),
        "retried although the cell of {first:?} has left"
    );
    harness.wait(6_000 * MS);
    assert_eq!(harness.scheduler.in_flight_counts().requests, 0);
}

/// One of the schedulers that poll a slow discovery.
struct PollingScheduler {
    scheduler: Scheduler,
    is_answered: bool,
}

impl PollingScheduler {
    fn new(seed: u64) -> Self {
        let settings = Settings {
            schedulers: 48,
            list_on_request: true,
            ..settings()
        };
        let mut polling = PollingScheduler {
            scheduler: Scheduler::new(settings, seed).expect("usable"),
            is_answered: false,
        };
        polling.list(START, ListKind::Cached, &[row(0)]);
        polling
    }

    fn list(&mut self, now: Micros, kind: ListKind, rows: &[Row]) {
        self.scheduler.on_event(now, Event::List { kind, rows });
    }

    /// Triggers the timer and returns whether the scheduler polls.
    fn polls(&mut self, now: Micros) -> bool {
        let mut actions = Vec::new();
        self.scheduler.on_event(now, Event::Timer);
        self.scheduler.dispatch(now, &mut actions);
        actions.contains(&Action::Subscribe)
    }
}

/// Discovery that answers one poll at a time, 110 ms each. A poll that has waited for 2 s fails.
#[derive(Default)]
struct SlowDiscovery {
    /// The time and the scheduler of each waiting poll.
    queue: VecDeque<(Micros, usize)>,
    busy_until: Micros,
    polls: usize,
}

impl SlowDiscovery {
    fn poll(&mut self, now: Micros, scheduler: usize) {
        self.polls += 1;
        self.queue.push_back((now, scheduler));
    }

    fn answer(&mut self, now: Micros, schedulers: &mut [PollingScheduler]) {
        while self.busy_until <= now {
            let Some((since, scheduler)) = self.queue.pop_front() else {
                return;
            };
            self.busy_until = now + 110 * MS;
            let scheduler = &mut schedulers[scheduler];
            if now - since < 2_000 * MS {
                scheduler.list(now, ListKind::Delta, &[]);
                scheduler.is_answered = true;
            } else {
                scheduler.list(now, ListKind::Failed, &[]);
            }
        }
    }
}

/// 48 schedulers start at once and poll a discovery that answers calls in turn, where timed-out calls take their
/// turn as well. Later it fails, and all schedulers lose their watches at once.
#[test]
fn simultaneous_starts_are_all_answered_by_slow_discovery() {
    let mut schedulers: Vec<PollingScheduler> = (0..48).map(PollingScheduler::new).collect();
    let mut discovery = SlowDiscovery::default();
    for is_outage in [false, true] {
        let begin = START + if is_outage { 60_000 * MS } else { 0 };
        for scheduler in schedulers.iter_mut().filter(|_| is_outage) {
            scheduler.is_answered = false;
            scheduler.list(begin, ListKind::Failed, &[]);
        }
        for now in (begin..begin + 20_000 * MS).step_by(10_000) {
            for (n, scheduler) in schedulers.iter_mut().enumerate() {
                if scheduler.polls(now) {
                    discovery.poll(now, n);
                }
            }
            discovery.answer(now, &mut schedulers);
        }
        let unanswered = schedulers.iter().filter(|scheduler| !scheduler.is_answered);
        assert_eq!(
            unanswered.count(),
            0,
            "schedulers without an answer after 20 s"
        );
    }
    assert!(discovery.polls < 3 * 96, "{} polls", discovery.polls);
}
