//! An evaluation in virtual time: schedulers, workers, faults, and what each detector finds.
//!
//! All chance comes from the plan's seed: the same seed gives the same run.

mod plain;
mod world;

pub use plain::{Deviations, InARow};
pub use world::{Fault, World};

use std::collections::VecDeque;

use crate::{AttemptCounter, Config, Effect, Micros, Owner, Quarantine, Reason, RowUpdate, Worker};

/// When the virtual time begins, in seconds of Unix time.
pub const BEGIN: u64 = 1_700_000_000;

/// The plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How many schedulers share the load.
    pub schedulers: usize,
    /// How many jobs a second the fleet has.
    pub rate: f64,
    /// The fault; no worker is the cause of it.
    pub fault: Fault,
    /// A worker that fails so many times more often, and the second from which on it does.
    pub worse: Option<(f64, u64)>,
    /// The length, in seconds.
    pub seconds: u64,
    /// Whether the run ends as soon as the detectors have found the worse worker.
    pub until_found: bool,
    /// The bound to be held: worker-hours to a false proposal.
    pub bound: f64,
    /// The seed of all chance.
    pub seed: u64,
}

/// What a detector reported: the second, and the worker.
pub type Detections = Vec<(u64, usize)>;

/// The outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// The shared proposals.
    pub shared: Detections,
    /// The proposals of the first scheduler by its own evidence alone.
    pub alone: Detections,
    /// Five failures in a row between any scheduler and a worker.
    pub in_a_row: Detections,
    /// Mean less 1.9 deviations over the workers, with the fleet's counts of 30 s.
    pub deviations: Detections,
    /// Shared proposals withdrawn because the worker recovered.
    pub withdrawn: usize,
    /// The most bytes of rows that a member raised in a minute, by second.
    pub bytes_most: f64,
    /// The mean bytes of rows of the member with the most, by second.
    pub bytes_mean: f64,
    /// Failures left out, as the budget did not allow them.
    pub dropped_failures: u64,
    /// Which worker is worse.
    pub bad: usize,
}

fn member(n: usize) -> Owner {
    Owner::new(&format!("s{n:03}"), BEGIN * 1_000 - 3_600_000)
}

fn config(n: usize, world: &World) -> Config {
    let classes = ["read", "write", "audit"];
    let config = Config::new(member(n), &world.zone_name(n % World::ZONES), &classes);
    Config {
        worker_hours_per_false_proposal: world.plan().bound,
        ..config
    }
}

/// A member that makes proposals, and the rows on their way to it.
struct Observer {
    machine: Quarantine,
    in_flight: VecDeque<(u64, Owner, RowUpdate)>,
    detections: Detections,
    withdrawn: usize,
}

impl Observer {
    fn new(n: usize, world: &World, list: &[Worker], seed: u64) -> Observer {
        let mut machine = Quarantine::new(config(n, world), seed);
        machine.set_workers(BEGIN * 1_000_000, list);
        Observer {
            machine,
            in_flight: VecDeque::new(),
            detections: Vec::new(),
            withdrawn: 0,
        }
    }

    fn second(&mut self, second: u64) {
        while self.in_flight.front().is_some_and(|(at, ..)| *at <= second) {
            let Some((_, owner, row)) = self.in_flight.pop_front() else {
                break;
            };
            self.machine
                .merge(&owner, row.window, &row.subject, &row.counts());
        }
        let now = (BEGIN + second) * 1_000_000;
        self.machine.tick(now);
        self.machine.take_updates(now);
        while let Some(effect) = self.machine.poll_effect() {
            match effect {
                Effect::Proposed { worker, .. } => {
                    self.detections.push((second, World::number(&worker)));
                }
                Effect::Withdrawn {
                    reason: Reason::Recovered,
                    ..
                } => self.withdrawn += 1,
                _ => {}
            }
        }
    }
}

/// Runs a plan.
#[must_use]
pub fn run(plan: &Plan) -> Outcomes {
    let mut run = Run::new(plan);
    for second in 1..=plan.seconds {
        run.second(second);
        if plan.until_found && run.is_found() {
            break;
        }
    }
    run.outcomes()
}

/// A run under way.
struct Run {
    plan: Plan,
    world: World,
    counters: Vec<AttemptCounter>,
    shared: Observer,
    alone: Observer,
    in_a_row: InARow,
    deviations: Deviations,
    outcomes: Outcomes,
    /// Bytes that each member has raised until the last full minute.
    bytes: Vec<u64>,
}

impl Run {
    fn new(plan: &Plan) -> Run {
        let world = World::new(plan);
        let list = world.list();
        let mut counters = Vec::new();
        for n in 0..plan.schedulers {
            let mut counter = AttemptCounter::new(config(n, &world), plan.seed ^ (n as u64 + 1));
            counter.set_members(plan.schedulers);
            counter.set_workers(&list);
            counter.take_updates(BEGIN * 1_000_000);
            counters.push(counter);
        }
        Run {
            counters,
            shared: Observer::new(0, &world, &list, plan.seed),
            alone: Observer::new(0, &world, &list, plan.seed),
            in_a_row: InARow::default(),
            deviations: Deviations::default(),
            outcomes: Outcomes {
                bad: world.bad(),
                ..Outcomes::default()
            },
            bytes: vec![0; plan.schedulers],
            plan: plan.clone(),
            world,
        }
    }

    fn second(&mut self, second: u64) {
        let now = (BEGIN + second) * 1_000_000;
        if self.world.second(second) {
            // The list reaches all within the second, after what was in flight.
            let list = self.world.list();
            self.shared.machine.set_workers(now, &list);
            self.alone.machine.set_workers(now, &list);
            for counter in &mut self.counters {
                counter.set_workers(&list);
            }
        }
        let counters = &mut self.counters;
        let in_a_row = &mut self.in_a_row;
        let deviations = &mut self.deviations;
        self.world.jobs(second, |job| {
            let worker = World::NAMES[job.worker];
            counters[job.scheduler].record_attempt(
                now - 1,
                worker,
                job.class,
                job.first,
                job.outcome,
            );
            in_a_row.seen(second, job.scheduler, job.worker, job.outcome);
            deviations.seen(second, job.worker, job.outcome);
        });
        self.send_rows(second, now);
        self.shared.second(second);
        self.alone.second(second);
    }

    /// Sends the rows of all members, which arrive one second later.
    fn send_rows(&mut self, second: u64, now: Micros) {
        for (n, counter) in self.counters.iter_mut().enumerate() {
            let owner = member(n);
            for row in counter.take_updates(now) {
                let row = (second + 1, owner.clone(), row);
                if n == 0 {
                    self.alone.in_flight.push_back(row.clone());
                }
                self.shared.in_flight.push_back(row);
            }
            if second % 60 == 0 {
                let totals = counter.totals();
                let outcomes = &mut self.outcomes;
                let in_minute = (totals.bytes - self.bytes[n]) as f64 / 60.0;
                outcomes.bytes_most = outcomes.bytes_most.max(in_minute);
                let mean = totals.bytes as f64 / second as f64;
                outcomes.bytes_mean = outcomes.bytes_mean.max(mean);
                if second + 60 > self.plan.seconds {
                    outcomes.dropped_failures += totals.dropped_failures;
                }
                self.bytes[n] = totals.bytes;
            }
        }
    }

    /// Whether the worse worker was found, by shared evidence and alone.
    fn is_found(&self) -> bool {
        let since = self.plan.worse.map_or(u64::MAX, |(_, from)| from);
        let bad = self.world.bad();
        let is_found = |detections: &Detections| {
            detections
                .iter()
                .any(|(at, worker)| *at >= since && *worker == bad)
        };
        is_found(&self.shared.detections) && is_found(&self.alone.detections)
    }

    fn outcomes(self) -> Outcomes {
        Outcomes {
            withdrawn: self.shared.withdrawn,
            shared: self.shared.detections,
            alone: self.alone.detections,
            in_a_row: self.in_a_row.detections,
            deviations: self.deviations.detections,
            ..self.outcomes
        }
    }
}
