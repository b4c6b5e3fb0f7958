//! Evaluates detectors on a simulated fleet in virtual time.
//!
//! A run simulates schedulers, workers and a fault, and records which workers each detector reports. All randomness is
//! drawn from the scenario's seed, so a run can be repeated exactly.

mod plain;
mod world;

pub use plain::{ConsecutiveFailures, SuccessRateOutliers};
pub use world::{Fault, SimulatedFleet};

use std::collections::VecDeque;

use crate::{AttemptCounter, Config, Effect, Micros, Owner, Quarantine, Reason, RowUpdate, Worker};

/// The start of virtual time, in seconds of Unix time.
pub const BEGIN: u64 = 1_700_000_000;

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The number of schedulers that share the load.
    pub schedulers: usize,
    /// Jobs per second over the whole fleet.
    pub rate: f64,
    /// The fault, which no worker is the cause of.
    pub fault: Fault,
    /// If one worker is degraded: the factor on its failure rate, and the second in which that begins.
    pub degraded: Option<(f64, u64)>,
    /// The length of the run, in seconds.
    pub seconds: u64,
    /// Whether the run ends once the degraded worker was proposed both by shared evidence and by one scheduler's own.
    pub until_found: bool,
    /// The bound on false proposals, as in [`Config`].
    pub worker_hours_per_false_proposal: f64,
    /// The seed of all randomness.
    pub seed: u64,
}

/// The reports of a detector: second and worker.
pub type Detections = Vec<(u64, usize)>;

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    /// Proposals by the shared evidence of all schedulers.
    pub shared: Detections,
    /// Proposals by the first scheduler's own evidence alone.
    pub single_member: Detections,
    /// Reports of [`ConsecutiveFailures`].
    pub consecutive_failures: Detections,
    /// Reports of [`SuccessRateOutliers`].
    pub success_rate_outliers: Detections,
    /// The number of shared proposals that were withdrawn because the worker recovered.
    pub withdrawn: usize,
    /// The highest rate of a member's rows over a minute, in bytes per second.
    pub max_bytes_per_second: f64,
    /// The highest mean rate of a member's rows since the start, in bytes per second.
    pub mean_bytes_per_second: f64,
    /// Failures that were left out because the budget was used up.
    pub dropped_failures: u64,
    /// The worker that is degraded, if the scenario has one.
    pub bad_worker: usize,
}

fn member(n: usize) -> Owner {
    Owner::new(&format!("s{n:03}"), BEGIN * 1_000 - 3_600_000)
}

fn config(n: usize, fleet: &SimulatedFleet) -> Config {
    let classes = ["read", "write", "audit"];
    let config = Config::new(
        member(n),
        &fleet.zone_name(n % SimulatedFleet::ZONES),
        &classes,
    );
    Config {
        worker_hours_per_false_proposal: fleet.scenario().worker_hours_per_false_proposal,
        ..config
    }
}

/// A member that makes proposals, and the row updates in flight to it.
struct Observer {
    machine: Quarantine,
    in_flight: VecDeque<(u64, Owner, RowUpdate)>,
    detections: Detections,
    withdrawn: usize,
}

impl Observer {
    fn new(n: usize, fleet: &SimulatedFleet, list: &[Worker], seed: u64) -> Observer {
        let mut machine = Quarantine::new(config(n, fleet), seed);
        machine.set_workers(BEGIN * 1_000_000, list);
        Observer {
            machine,
            in_flight: VecDeque::new(),
            detections: Vec::new(),
            withdrawn: 0,
        }
    }

    fn advance(&mut self, second: u64) {
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
                    self.detections
                        .push((second, SimulatedFleet::number(&worker)));
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

/// Runs a scenario.
#[must_use]
pub fn run(scenario: &Scenario) -> RunResult {
    let mut run = Run::new(scenario);
    for second in 1..=scenario.seconds {
        run.advance(second);
        if scenario.until_found && run.is_found() {
            break;
        }
    }
    run.into_result()
}

/// The state of a run.
struct Run {
    scenario: Scenario,
    fleet: SimulatedFleet,
    counters: Vec<AttemptCounter>,
    shared: Observer,
    single_member: Observer,
    consecutive_failures: ConsecutiveFailures,
    success_rate_outliers: SuccessRateOutliers,
    result: RunResult,
    /// The bytes that each member had published by the last full minute.
    bytes: Vec<u64>,
}

impl Run {
    fn new(scenario: &Scenario) -> Run {
        let fleet = SimulatedFleet::new(scenario);
        let list = fleet.list();
        let mut counters = Vec::new();
        for n in 0..scenario.schedulers {
            let mut counter =
                AttemptCounter::new(config(n, &fleet), scenario.seed ^ (n as u64 + 1));
            counter.set_members(scenario.schedulers);
            counter.set_workers(&list);
            counter.take_updates(BEGIN * 1_000_000);
            counters.push(counter);
        }
        Run {
            counters,
            shared: Observer::new(0, &fleet, &list, scenario.seed),
            single_member: Observer::new(0, &fleet, &list, scenario.seed),
            consecutive_failures: ConsecutiveFailures::default(),
            success_rate_outliers: SuccessRateOutliers::default(),
            result: RunResult {
                bad_worker: fleet.bad_worker(),
                ..RunResult::default()
            },
            bytes: vec![0; scenario.schedulers],
            scenario: scenario.clone(),
            fleet,
        }
    }

    fn advance(&mut self, second: u64) {
        let now = (BEGIN + second) * 1_000_000;
        if self.fleet.advance(second) {
            // All members get the list within the second, before the second's jobs.
            let list = self.fleet.list();
            self.shared.machine.set_workers(now, &list);
            self.single_member.machine.set_workers(now, &list);
            for counter in &mut self.counters {
                counter.set_workers(&list);
            }
        }
        let counters = &mut self.counters;
        let consecutive_failures = &mut self.consecutive_failures;
        let success_rate_outliers = &mut self.success_rate_outliers;
        self.fleet.run_jobs(second, |attempt| {
            let worker = SimulatedFleet::NAMES[attempt.worker];
            counters[attempt.scheduler].record_attempt(
                now - 1,
                worker,
                attempt.class,
                attempt.first,
                attempt.outcome,
            );
            consecutive_failures.record_attempt(
                second,
                attempt.scheduler,
                attempt.worker,
                attempt.outcome,
            );
            success_rate_outliers.record_attempt(second, attempt.worker, attempt.outcome);
        });
        self.send_rows(second, now);
        self.shared.advance(second);
        self.single_member.advance(second);
    }

    /// Sends the row updates of all members, which arrive one second later.
    fn send_rows(&mut self, second: u64, now: Micros) {
        for (n, counter) in self.counters.iter_mut().enumerate() {
            let owner = member(n);
            for row in counter.take_updates(now) {
                let row = (second + 1, owner.clone(), row);
                if n == 0 {
                    self.single_member.in_flight.push_back(row.clone());
                }
                self.shared.in_flight.push_back(row);
            }
            if second % 60 == 0 {
                let totals = counter.totals();
                let result = &mut self.result;
                let in_minute = (totals.bytes - self.bytes[n]) as f64 / 60.0;
                result.max_bytes_per_second = result.max_bytes_per_second.max(in_minute);
                let mean = totals.bytes as f64 / second as f64;
                result.mean_bytes_per_second = result.mean_bytes_per_second.max(mean);
                if second + 60 > self.scenario.seconds {
                    result.dropped_failures += totals.dropped_failures;
                }
                self.bytes[n] = totals.bytes;
            }
        }
    }

    /// Whether the degraded worker was proposed, both by shared evidence and by one scheduler's own.
    fn is_found(&self) -> bool {
        let since = self.scenario.degraded.map_or(u64::MAX, |(_, from)| from);
        let bad_worker = self.fleet.bad_worker();
        let is_found = |detections: &Detections| {
            detections
                .iter()
                .any(|(at, worker)| *at >= since && *worker == bad_worker)
        };
        is_found(&self.shared.detections) && is_found(&self.single_member.detections)
    }

    fn into_result(self) -> RunResult {
        RunResult {
            withdrawn: self.shared.withdrawn,
            shared: self.shared.detections,
            single_member: self.single_member.detections,
            consecutive_failures: self.consecutive_failures.detections,
            success_rate_outliers: self.success_rate_outliers.detections,
            ..self.result
        }
    }
}
