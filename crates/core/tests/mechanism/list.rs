//! The list of workers: drains, calls that are rejected, slow discovery, and workers that left long ago.
//!
//! It owns the tests of the list. It must never poll discovery: the list comes as events.

use std::collections::VecDeque;

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

#[test]
fn draining_worker_gets_no_jobs() {
    let mut bench = Bench::new(settings(), 2);
    let leaving = Row {
        condition: Condition::Leaving,
        ..row(0)
    };
    bench.list(ListKind::Delta, &[leaving]);
    for _ in 0..8 {
        let (id, actions) = bench.request(0);
        assert_ne!(sent(&actions, id), Some(WorkerId(0)));
    }
    // Absent from a snapshot is departed, too.
    bench.list(ListKind::Snapshot, &[row(2)]);
    for _ in 0..8 {
        let (id, actions) = bench.request(0);
        assert!(matches!(sent(&actions, id), Some(WorkerId(2)) | None));
    }
}

/// Guards against calls that chase each other at discovery that is down, where the settings say nothing of
/// how often to poll: the list is pushed on the simulator's wire, and still watched on sockets.
#[test]
fn failed_polls_are_not_repeated_without_backoff() {
    let mut bench = Bench::new(
        Settings {
            poll_interval: Span::ZERO,
            ..settings()
        },
        3,
    );
    bench.list(ListKind::Failed, &[]);
    let mut polls = 0;
    for _ in 0..1_000 {
        if bench.wait(MS).contains(&Action::Subscribe) {
            polls += 1;
            bench.list(ListKind::Failed, &[]);
        }
    }
    assert!((10..=100).contains(&polls), "{polls} calls in a second");
}

#[test]
fn failed_subscription_is_repeated_and_the_list_retained() {
    let mut bench = Bench::new(
        Settings {
            list_on_request: true,
            ..settings()
        },
        3,
    );
    assert!(bench.actions.contains(&Action::Subscribe));
    bench.list(ListKind::Failed, &[]);
    let mut polls = 0;
    for _ in 0..100 {
        polls += bench
            .wait(10 * MS)
            .iter()
            .filter(|a| **a == Action::Subscribe)
            .count();
    }
    assert_eq!(polls, 1, "once within a second, not in a storm");
    let (id, actions) = bench.request(0);
    assert!(sent(&actions, id).is_some(), "the old list still serves");
}

/// Guards against pauses that grow with the settings' time for polling, or the fleet, beyond the quarter that the
/// sum of `poll_quarter` leaves for each: what changes meanwhile counts as notified. And, where the list is pushed,
/// against any: what discovery knows counts as notified at once.
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
            let mut bench = Bench::new(
                Settings {
                    schedulers,
                    poll_interval: Span::from_micros(poll_interval),
                    list_on_request,
                    ..settings()
                },
                3,
            );
            let most = if list_on_request {
                poll_interval.min(1_500 * MS)
            } else {
                20 * MS
            };
            // The first call of a start with a list, and then one after each failure.
            for n in 0..20 {
                if n > 0 || list_on_request && !bench.actions.contains(&Action::Subscribe) {
                    let polls = |_: &u64| bench.wait(2 * MS).contains(&Action::Subscribe);
                    let after = (1..10_000).find(polls).map(|n| 2 * n);
                    let in_time = after.is_some_and(|ms| ms <= most / MS + 4);
                    assert!(
                        in_time,
                        "poll interval {poll_interval}, {schedulers}: call {n} after {after:?} ms"
                    );
                }
                bench.list(ListKind::Failed, &[]);
            }
        }
    }
}

/// Guards against a table of workers, and of their names, that grows for as long as machines are replaced.
#[test]
fn departed_workers_are_forgotten_unless_jobs_are_in_flight() {
    let mut bench = Bench::new(settings(), 3);
    let (id, actions) = bench.request(2);
    let first = sent(&actions, id).expect("sent");
    for n in 1..300 {
        let rows: Vec<Row> = (100 * n..100 * n + 100).map(row).collect();
        bench.list(ListKind::Snapshot, &rows);
    }
    let counts = bench.scheduler.in_flight_counts();
    assert!(counts.workers < 5_000, "{counts:?} after 29,900 workers");
    assert_eq!(
        (counts.requests, counts.attempts),
        (1, 3),
        "an attempt out, open and not started"
    );
    let (other, actions) = bench.request(0);
    assert!(sent(&actions, other).is_some(), "those listed serve");
    bench.settled(other, 0, Ending::Delivered);
    // What may have run stays in its cell, all of which has left.
    let actions = bench.settled(id, 0, Ending::Dropped);
    assert!(sent(&actions, id).is_none(), "{first:?} is not forgotten");
    bench.wait(6_000 * MS);
    assert_eq!(bench.scheduler.in_flight_counts().requests, 0);
}

/// One of the schedulers that share slow discovery.
struct Client {
    scheduler: Scheduler,
    is_answered: bool,
}

impl Client {
    fn new(seed: u64) -> Self {
        let settings = Settings {
            schedulers: 48,
            list_on_request: true,
            ..settings()
        };
        let mut client = Client {
            scheduler: Scheduler::new(settings, seed).expect("usable"),
            is_answered: false,
        };
        client.list(START, ListKind::Cached, &[row(0)]);
        client
    }

    fn list(&mut self, now: Micros, kind: ListKind, rows: &[Row]) {
        self.scheduler.on_event(now, Event::List { kind, rows });
    }

    /// Whether it polls now.
    fn polls(&mut self, now: Micros) -> bool {
        let mut actions = Vec::new();
        self.scheduler.on_event(now, Event::Timer);
        self.scheduler.dispatch(now, &mut actions);
        actions.contains(&Action::Subscribe)
    }
}

/// Discovery that takes 110 ms a poll, one after the other; a poll that waits for 2 s has failed by then.
#[derive(Default)]
struct SlowDiscovery {
    /// Who has polled, and when.
    queue: VecDeque<(Micros, usize)>,
    busy_until: Micros,
    polls: usize,
}

impl SlowDiscovery {
    fn poll(&mut self, now: Micros, client: usize) {
        self.polls += 1;
        self.queue.push_back((now, client));
    }

    fn answer(&mut self, now: Micros, clients: &mut [Client]) {
        while self.busy_until <= now {
            let Some((since, client)) = self.queue.pop_front() else {
                return;
            };
            self.busy_until = now + 110 * MS;
            let client = &mut clients[client];
            if now - since < 2_000 * MS {
                client.list(now, ListKind::Delta, &[]);
                client.is_answered = true;
            } else {
                client.list(now, ListKind::Failed, &[]);
            }
        }
    }
}

/// 48 schedulers that start at one moment, and discovery that serves calls in turn, 110 ms each, of which
/// one that has waited for 2 s fails but takes its turn all the same. Then it goes down, and all lose their
/// watches.
#[test]
fn simultaneous_starts_are_all_answered_by_slow_discovery() {
    let mut clients: Vec<Client> = (0..48).map(Client::new).collect();
    let mut discovery = SlowDiscovery::default();
    for was_down in [false, true] {
        let begin = START + if was_down { 60_000 * MS } else { 0 };
        for client in clients.iter_mut().filter(|_| was_down) {
            client.is_answered = false;
            client.list(begin, ListKind::Failed, &[]);
        }
        for now in (begin..begin + 20_000 * MS).step_by(10_000) {
            for (n, client) in clients.iter_mut().enumerate() {
                if client.polls(now) {
                    discovery.poll(now, n);
                }
            }
            discovery.answer(now, &mut clients);
        }
        let unanswered = clients.iter().filter(|client| !client.is_answered);
        assert_eq!(unanswered.count(), 0, "not answered within 20 s");
    }
    assert!(discovery.polls < 3 * 96, "{} polls", discovery.polls);
}
