//! A simulated fleet: schedulers and workers in zones, jobs, and injected faults.
//!
//! Detectors get only the endpoint list and the outcomes of attempts.

use std::sync::Arc;

use super::{Scenario, BEGIN};
use crate::{Outcome, Worker, WorkerState};

/// An injected fault, which lasts from minute 3 to minute 6 of every ten. No worker is the cause of any of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// 40% of the attempts of one class fail on all workers. A fifth of the workers get most of this class.
    Class,
    /// 50% of one scheduler's attempts fail on all workers.
    Member,
    /// 50% of the attempts from one zone to another fail.
    Path,
    /// Workers restart and fail 20% of attempts for 50 s, although they are listed as ready after 20 s.
    Cold,
    /// Workers drain, reset half of the attempts meanwhile, and restart.
    Drain,
    /// The workers of one zone cannot be reached from the other zones.
    Partition,
    /// One worker cannot be reached from the other zones.
    Lone,
    /// One worker cannot be reached from one zone.
    Link,
    /// One job in 100 fails on any worker, and all its retries go to one worker.
    Poison,
    /// 8% of the attempts fail on all workers.
    All,
}

impl Fault {
    /// All faults with their names.
    pub const ALL: [(&'static str, Fault); 11] = [
        ("none", Fault::None),
        ("class", Fault::Class),
        ("member", Fault::Member),
        ("path", Fault::Path),
        ("cold", Fault::Cold),
        ("drain", Fault::Drain),
        ("partition", Fault::Partition),
        ("lone", Fault::Lone),
        ("link", Fault::Link),
        ("poison", Fault::Poison),
        ("all", Fault::All),
    ];
}

/// A finished attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The scheduler that made the attempt.
    pub scheduler: usize,
    /// The worker that ran it.
    pub worker: usize,
    /// The index of the job's class.
    pub class: usize,
    /// Whether it was the job's first attempt.
    pub first: bool,
    /// The outcome of the attempt.
    pub outcome: Outcome,
}

/// The simulated fleet.
#[derive(Debug)]
pub struct SimulatedFleet {
    scenario: Scenario,
    rng: fastrand::Rng,
    bad_worker: usize,
    /// When each worker started, in seconds of Unix time.
    started: Vec<u64>,
    /// The listed state of each worker.
    states: Vec<WorkerState>,
    /// The next change of each worker's state: second and state.
    next_states: Vec<Option<(u64, WorkerState)>>,
}

/// The share and the failure rate of each class. The mean failure rate is 1%.
const CLASSES: [(f64, f64); 3] = [(0.6, 0.008), (0.3, 0.01), (0.1, 0.022)];

/// The share of the third class that goes to the first workers only.
const CONCENTRATED_SHARE: f64 = 0.7;
/// The number of these workers.
const CONCENTRATED_WORKERS: usize = 12;
/// The maximum number of retries of a job.
const RETRIES: usize = 3;
/// The worker that retries of poison jobs go to.
const POISONED_WORKER: usize = 7;

impl SimulatedFleet {
    /// The number of zones. Schedulers and workers are assigned to them in turn.
    pub const ZONES: usize = 3;
    /// The number of workers.
    pub const WORKERS: usize = 60;
    /// The names of the workers.
    pub const NAMES: [&'static str; 60] = [
        "w00", "w01", "w02", "w03", "w04", "w05", "w06", "w07", "w08", "w09", "w10", "w11", "w12",
        "w13", "w14", "w15", "w16", "w17", "w18", "w19", "w20", "w21", "w22", "w23", "w24", "w25",
        "w26", "w27", "w28", "w29", "w30", "w31", "w32", "w33", "w34", "w35", "w36", "w37", "w38",
        "w39", "w40", "w41", "w42", "w43", "w44", "w45", "w46", "w47", "w48", "w49", "w50", "w51",
        "w52", "w53", "w54", "w55", "w56", "w57", "w58", "w59",
    ];

    /// Creates the fleet of a scenario.
    #[must_use]
    pub fn new(scenario: &Scenario) -> SimulatedFleet {
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let bad_worker = rng.usize(0..Self::WORKERS);
        SimulatedFleet {
            scenario: scenario.clone(),
            rng,
            bad_worker,
            started: vec![BEGIN - 3_600; Self::WORKERS],
            states: vec![WorkerState::Ready; Self::WORKERS],
            next_states: vec![None; Self::WORKERS],
        }
    }

    /// The scenario of this fleet.
    #[must_use]
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// The worker that is degraded, if the scenario has one.
    #[must_use]
    pub fn bad_worker(&self) -> usize {
        self.bad_worker
    }

    /// The name of a zone.
    #[must_use]
    pub fn zone_name(&self, zone: usize) -> Arc<str> {
        ["east", "north", "west"][zone].into()
    }

    /// The index of a worker, from its name.
    #[must_use]
    pub fn number(name: &str) -> usize {
        name[1..].parse().unwrap_or(usize::MAX)
    }

    /// The current endpoint list.
    #[must_use]
    pub fn list(&self) -> Vec<Worker> {
        let each = |n: usize| Worker {
            name: Self::NAMES[n].into(),
            zone: self.zone_name(n % Self::ZONES),
            capacity: 8,
            started: self.started[n] * 1_000,
            state: self.states[n],
        };
        (0..Self::WORKERS).map(each).collect()
    }

    /// The number of the ten-minute cycle while its fault lasts, or `None`.
    fn cycle(&self, second: u64) -> Option<usize> {
        (180..360)
            .contains(&(second % 600))
            .then_some((second / 600) as usize)
    }

    /// Advances to a second. Returns whether the endpoint list changed.
    pub fn advance(&mut self, second: u64) -> bool {
        let mut changed = false;
        for n in 0..Self::WORKERS {
            if let Some((_, state)) = self.next_states[n].filter(|(at, _)| *at <= second) {
                if self.states[n] == WorkerState::Draining {
                    self.started[n] = BEGIN + second;
                }
                self.states[n] = state;
                self.next_states[n] = None;
                changed = true;
            }
        }
        if self.cycle(second).is_some() && second % 20 == 0 {
            let n = self.rng.usize(0..Self::WORKERS);
            let is_free = self.states[n] == WorkerState::Ready && self.next_states[n].is_none();
            match self.scenario.fault {
                Fault::Cold if is_free => {
                    self.started[n] = BEGIN + second;
                    self.states[n] = WorkerState::SlowStart;
                    self.next_states[n] = Some((second + 20, WorkerState::Ready));
                    changed = true;
                }
                Fault::Drain if is_free => {
                    self.states[n] = WorkerState::Draining;
                    self.next_states[n] = Some((second + 30, WorkerState::Ready));
                    changed = true;
                }
                _ => {}
            }
        }
        changed
    }

    /// The probability that an attempt fails, and the outcome if it does.
    fn failure_of(
        &self,
        second: u64,
        scheduler: usize,
        worker: usize,
        class: usize,
    ) -> (f64, Outcome) {
        let zone = scheduler % Self::ZONES;
        let worker_zone = worker % Self::ZONES;
        let mut base = CLASSES[class].1;
        if let Some((times, _)) = self
            .scenario
            .degraded
            .filter(|(_, from)| second >= *from && worker == self.bad_worker)
        {
            base = (base * times).min(1.0);
        }
        let regular = (base, Outcome::Error);
        let Some(cycle) = self.cycle(second) else {
            return regular;
        };
        let target_zone = (cycle + 1) % Self::ZONES;
        match self.scenario.fault {
            Fault::Class if class == 2 => (0.4, Outcome::Error),
            Fault::Member if scheduler == cycle % self.scenario.schedulers => (0.5, Outcome::Reset),
            Fault::Path if zone == cycle % Self::ZONES && worker_zone == target_zone => {
                (0.5, Outcome::Timeout)
            }
            Fault::Cold
                if second < self.started[worker] - BEGIN.min(self.started[worker]) + 50
                    && self.started[worker] > BEGIN =>
            {
                (0.2, Outcome::LateStart)
            }
            Fault::Drain if self.states[worker] == WorkerState::Draining => (0.5, Outcome::Reset),
            Fault::Partition if worker_zone == target_zone && zone != worker_zone => {
                (1.0, Outcome::ConnectFailed)
            }
            Fault::Lone if worker == cycle * 7 % Self::WORKERS && zone != worker_zone => {
                (1.0, Outcome::ConnectFailed)
            }
            Fault::Link if worker == cycle * 7 % Self::WORKERS && zone == target_zone => {
                (1.0, Outcome::ConnectFailed)
            }
            Fault::All => (0.08, Outcome::Error),
            _ => regular,
        }
    }

    /// Runs the jobs of a second. `on_end` is called for each attempt.
    pub fn run_jobs(&mut self, second: u64, mut on_end: impl FnMut(Attempt)) {
        let mut at = 0.0;
        loop {
            at -= (1.0 - self.rng.f64()).ln() / self.scenario.rate;
            if at >= 1.0 {
                return;
            }
            self.run_job(second, &mut on_end);
        }
    }

    /// Runs one job: its first attempt, and up to three retries while attempts fail.
    fn run_job(&mut self, second: u64, on_end: &mut impl FnMut(Attempt)) {
        let scheduler = self.rng.usize(0..self.scenario.schedulers);
        let class = self.draw_class();
        // The first workers get most of the attempts of the third class.
        let is_concentrated = class == 2 && self.rng.f64() < CONCENTRATED_SHARE;
        let candidates = if is_concentrated {
            CONCENTRATED_WORKERS
        } else {
            Self::WORKERS
        };
        let worker = self.rng.usize(0..candidates);
        let is_poison = self.scenario.fault == Fault::Poison
            && self.cycle(second).is_some()
            && self.rng.u32(0..100) == 0;
        let mut attempt = Attempt {
            scheduler,
            worker,
            class,
            first: true,
            outcome: Outcome::Success,
        };
        attempt.outcome = self.draw_outcome(second, attempt, is_poison);
        on_end(attempt);
        for _ in 0..RETRIES {
            if attempt.outcome == Outcome::Success {
                return;
            }
            attempt.first = false;
            attempt.worker = if is_poison {
                POISONED_WORKER
            } else {
                self.rng.usize(0..Self::WORKERS)
            };
            attempt.outcome = self.draw_outcome(second, attempt, is_poison);
            on_end(attempt);
        }
    }

    fn draw_class(&mut self) -> usize {
        match self.rng.f64() {
            drawn if drawn < CLASSES[0].0 => 0,
            drawn if drawn < CLASSES[0].0 + CLASSES[1].0 => 1,
            _ => 2,
        }
    }

    fn draw_outcome(&mut self, second: u64, attempt: Attempt, is_poison: bool) -> Outcome {
        let (probability, failure) =
            self.failure_of(second, attempt.scheduler, attempt.worker, attempt.class);
        if is_poison || self.rng.f64() < probability {
            failure
        } else {
            Outcome::Success
        }
    }
}
