//! Tests that a scheduler keeps making attempts however many workers fail.
//!
//! The operators count a process as down if it rejects all requests for 4 s without making an attempt.

use std::collections::BTreeMap;

use oakshed_core::interface::*;

use crate::common::*;

/// Longest permitted time without an attempt while requests are rejected.
const MAX_REJECTION_TIME: Micros = 4_000 * MS;
/// Minimum number of requests rejected in such a time for it to count.
const MIN_REJECTED: usize = 15;
const ARRIVAL_GAP: Micros = 100 * MS;
const RUNNING_TIME: Micros = 100 * MS;

/// The time for which some workers fail, and the time without faults after it.
const HALF_RUN: Micros = 20_000 * MS;
const FAULTS: [Fault; 4] = [
    Fault::Full,
    Fault::Unreachable,
    Fault::Unresponsive,
    Fault::Errors,
];

/// How workers fail.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Full,
    Unreachable,
    Unresponsive,
    Errors,
}

/// A fleet whose first workers fail during the first half of the run.
struct Fleet {
    fault: Fault,
    workers: u32,
    failing: u32,
}

/// What happens next to an attempt.
#[derive(Clone, Copy)]
enum Due {
    Start,
    End(Ending),
}

/// A simulation of one scheduler with little traffic.
struct Run {
    fleet: Fleet,
    harness: Harness,
    began: Micros,
    /// The next events of attempts, with the attempt's number, by time and request.
    due: BTreeMap<(Micros, RequestId), (u32, Due)>,
    /// Number of attempts of each request.
    attempts_of: BTreeMap<RequestId, u32>,
    attempts: u32,
    last_attempt: Micros,
    /// Requests rejected since the last attempt.
    rejected: usize,
    /// Longest time without an attempt during which at least `MIN_REJECTED` requests were rejected.
    longest_gap: Micros,
}

impl Run {
    fn new(fleet: Fleet, schedulers: u32, seed: u64) -> Self {
        let settings = Settings {
            schedulers,
            ..settings()
        };
        let harness = Harness::with_seed(settings, fleet.workers, seed);
        Run {
            fleet,
            began: harness.now,
            last_attempt: harness.now,
            harness,
            due: BTreeMap::new(),
            attempts_of: BTreeMap::new(),
            attempts: 0,
            rejected: 0,
            longest_gap: 0,
        }
    }

    fn run(&mut self) {
        while self.harness.now < self.began + 2 * HALF_RUN {
            let mut actions = match (self.harness.now - self.began) % ARRIVAL_GAP {
                0 => {
                    self.harness
                        .request(u32::from(self.harness.last_id % 3 == 0))
                        .1
                }
                _ => self.harness.event(Event::Timer),
            };
            while let Some(more) = self.next_due() {
                actions.extend(more);
            }
            for action in actions {
                self.act(action);
            }
            self.harness.now += 10 * MS;
        }
        self.count_gap();
    }

    /// Executes the next due event and returns the resulting actions, or `None` if none is due.
    fn next_due(&mut self) -> Option<Vec<Action>> {
        let now = self.harness.now;
        let (&(at, id), &(attempt, due)) = self.due.first_key_value()?;
        if at > now {
            return None;
        }
        self.due.remove(&(at, id));
        Some(match due {
            Due::Start => {
                let end = Due::End(Ending::Delivered);
                self.due.insert((now + RUNNING_TIME, id), (attempt, end));
                self.harness.started(id, attempt)
            }
            Due::End(ending) => self.harness.settled(id, attempt, ending),
        })
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, worker, .. } => self.begin_attempt(id, worker),
            Action::Reject { .. } | Action::Fail { .. } => self.rejected += 1,
            _ => {}
        }
    }

    fn begin_attempt(&mut self, id: RequestId, worker: WorkerId) {
        let now = self.harness.now;
        self.attempts += 1;
        self.count_gap();
        self.last_attempt = now;
        self.rejected = 0;
        let is_failing = worker.0 < u64::from(self.fleet.failing) && now < self.began + HALF_RUN;
        let (after, due) = if is_failing {
            self.fleet.fault.outcome()
        } else {
            (MS, Due::Start)
        };
        let number = self.attempts_of.entry(id).or_insert(0);
        self.due.insert((now + after, id), (*number, due));
        *number += 1;
    }

    fn count_gap(&mut self) {
        if self.rejected >= MIN_REJECTED {
            self.longest_gap = self.longest_gap.max(self.harness.now - self.last_attempt);
        }
    }
}

impl Fault {
    /// Returns the outcome of an attempt at such a worker, and the time until then.
    fn outcome(self) -> (Micros, Due) {
        match self {
            Fault::Full => (MS, Due::End(Ending::Declined)),
            Fault::Unreachable => (200 * MS, Due::End(Ending::DialFailed)),
            Fault::Unresponsive => (4_900 * MS, Due::End(Ending::Expired)),
            Fault::Errors => (RUNNING_TIME, Due::End(Ending::Error)),
        }
    }
}

/// With little traffic, a low concurrency limit or long backoffs must not keep a scheduler from making attempts.
#[test]
fn no_scheduler_rejects_all_for_four_seconds_while_some_workers_fail() {
    for fault in FAULTS {
        for (workers, failing, schedulers) in [(14, 7, 3), (170, 57, 300), (10, 8, 4)] {
            for seed in 0..4 {
                let fleet = Fleet {
                    fault,
                    workers,
                    failing,
                };
                let mut run = Run::new(fleet, schedulers, seed);
                run.run();
                let (longest, attempts) = (run.longest_gap, run.attempts);
                assert!(
                    longest < MAX_REJECTION_TIME,
                    "{fault:?} at {failing} of {workers} workers, {schedulers} schedulers, seed {seed}: \
                     {longest} us without an attempt, {attempts} attempts in all"
                );
            }
        }
    }
}
