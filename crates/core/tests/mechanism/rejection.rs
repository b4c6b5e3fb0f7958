//! A scheduler that gets requests goes on trying workers, however many of these are of no use.
//!
//! It owns the operators' term on processes that reject everything for 4 s without an attempt. It must never help:
//! workers do what they were set to do.

use std::collections::BTreeMap;

use oakshed_core::interface::*;

use crate::common::*;

/// A process rejects everything that does so for so long, to so many at least.
const LONGEST_REJECTION: Micros = 4_000 * MS;
const LEAST_REJECTED: usize = 15;
const ARRIVAL_GAP: Micros = 100 * MS;
const RUNNING_TIME: Micros = 100 * MS;

/// The first half of a run, in which some workers are of no use.
const HALF: Micros = 20_000 * MS;
const FAULTS: [Fault; 4] = [
    Fault::Full,
    Fault::Unreachable,
    Fault::Unresponsive,
    Fault::Errors,
];

/// What the workers of no use do.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Full,
    Unreachable,
    Unresponsive,
    Errors,
}

/// Workers of which the first ones are of no use for the first half of the run.
struct Fleet {
    fault: Fault,
    workers: u32,
    useless: u32,
}

/// What is to happen to an attempt.
#[derive(Clone, Copy)]
enum Due {
    Start,
    End(Ending),
}

/// One scheduler that gets a request every now and then.
struct Run {
    fleet: Fleet,
    harness: Harness,
    began: Micros,
    /// By when it is due, the request and the number of the attempt.
    due: BTreeMap<(Micros, RequestId), (u32, Due)>,
    /// How many attempts each request had.
    numbers: BTreeMap<RequestId, u32>,
    attempts: u32,
    last_attempt: Micros,
    /// Since the last attempt.
    rejected: usize,
    /// The longest time without an attempt in which as many as count were rejected.
    longest: Micros,
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
            numbers: BTreeMap::new(),
            attempts: 0,
            rejected: 0,
            longest: 0,
        }
    }

    fn run(&mut self) {
        while self.harness.now < self.began + 2 * HALF {
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

    /// Carries out what is due next, if anything is.
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
        let is_useless = worker.0 < u64::from(self.fleet.useless) && now < self.began + HALF;
        let (after, due) = if is_useless {
            self.fleet.fault.outcome()
        } else {
            (MS, Due::Start)
        };
        let number = self.numbers.entry(id).or_insert(0);
        self.due.insert((now + after, id), (*number, due));
        *number += 1;
    }

    fn count_gap(&mut self) {
        if self.rejected >= LEAST_REJECTED {
            self.longest = self.longest.max(self.harness.now - self.last_attempt);
        }
    }
}

impl Fault {
    /// What becomes of an attempt at such a worker, and after how long.
    fn outcome(self) -> (Micros, Due) {
        match self {
            Fault::Full => (MS, Due::End(Ending::Declined)),
            Fault::Unreachable => (200 * MS, Due::End(Ending::DialFailed)),
            Fault::Unresponsive => (4_900 * MS, Due::End(Ending::Expired)),
            Fault::Errors => (RUNNING_TIME, Due::End(Ending::Error)),
        }
    }
}

/// Guards against a limit, or a backoff, out of which a scheduler with little traffic does not come by itself.
#[test]
fn no_scheduler_rejects_all_for_four_seconds_while_some_workers_fail() {
    for fault in FAULTS {
        for (workers, useless, schedulers) in [(14, 7, 3), (170, 57, 300), (10, 8, 4)] {
            for seed in 0..4 {
                let fleet = Fleet {
                    fault,
                    workers,
                    useless,
                };
                let mut run = Run::new(fleet, schedulers, seed);
                run.run();
                let (longest, attempts) = (run.longest, run.attempts);
                assert!(
                    longest < LONGEST_REJECTION,
                    "{fault:?}, {useless} of {workers}, {schedulers}, seed {seed}: {longest} us, {attempts} attempts"
                );
            }
        }
    }
}
