//! One policy in one scenario: what each member is notified of and when, and what it costs.

mod setup;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use super::scenarios::{Job, Scenario, START};
use super::workers::{Placement, WorkerModel};
use crate::slots::{Slots, RUNNING_TIME_JOBS, RUNNING_TIME_SUM, RUNNING_TIME_UNIT, SLOT, WINDOW};
use crate::{Config, Effect, Micros, Prewarm, SECOND};
pub use setup::{Cost, Faults, Policy, Setup};

/// How long a stalled machine does nothing.
const STALL: Micros = 60 * SECOND;
/// After how long the others know that a machine is down, or cut off.
const DETECTION: Micros = 5 * SECOND;
const HOUR: Micros = 3_600 * SECOND;

/// A row as it was when it was sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RowMessage {
    to: usize,
    owner: u32,
    window: u32,
    kind: usize,
    counts: Vec<u32>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Row(RowMessage),
    Members,
    Snapshot,
    Restart,
}

struct Run<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    setup: &'a Setup,
    workers: WorkerModel,
    machines: Vec<Prewarm>,
    /// When each machine is ticked next.
    wake: Vec<Micros>,
    names: Vec<Arc<str>>,
    subjects: Vec<Vec<u8>>,
    /// The window and counts of each owner's row of a kind.
    rows: BTreeMap<(u32, usize), (u32, Vec<u32>)>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    event_count: u64,
    rng: fastrand::Rng,
    snapshots: Vec<Vec<u8>>,
}

/// Runs a scenario.
#[must_use]
pub fn run(scenario: &Scenario, policy: Policy, setup: &Setup, seed: u64) -> Cost {
    let mut run = Run::new(scenario, policy, setup, seed);
    run.schedule_faults();
    let mut before = Cost::default();
    let mut second = START / SECOND;
    for job in &scenario.jobs {
        while second <= job.at / SECOND {
            let now = second * SECOND;
            if now - START == setup.after {
                before = run.cost();
            }
            run.second(now);
            second += 1;
        }
        run.job(job);
    }
    run.workers.end(START + scenario.length);
    let all = run.cost();
    Cost {
        jobs: all.jobs - before.jobs,
        cold: all.cold - before.cold,
        idle: all.idle - before.idle,
        calls: all.calls - before.calls,
        crowded: all.crowded - before.crowded,
    }
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, setup: &'a Setup, seed: u64) -> Run<'a> {
        let count = match policy {
            Policy::None | Policy::Fixed(_) => 0,
            Policy::Alone => setup.schedulers as usize,
            Policy::Shared(machines) => machines,
            Policy::Central => 1,
        };
        let kinds = scenario.kinds.iter();
        let mut run = Run {
            scenario,
            policy,
            setup,
            workers: WorkerModel::new(setup.workers_per_zone, setup.zones, setup.config.load_time),
            machines: Vec::new(),
            wake: vec![Micros::MAX; count],
            names: (0..count).map(|n| format!("s{n}").into()).collect(),
            subjects: kinds.map(|(kind, _)| kind.subject(0)).collect(),
            rows: BTreeMap::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            rng: fastrand::Rng::with_seed(seed),
            snapshots: vec![Vec::new(); count],
        };
        run.machines = (0..count).map(|n| run.machine(n)).collect();
        run
    }

    fn cost(&self) -> Cost {
        Cost {
            jobs: self.workers.jobs,
            cold: self.workers.cold,
            idle: self.workers.idle as f64 / SECOND as f64,
            calls: self.workers.calls,
            crowded: self.workers.crowded,
        }
    }

    fn machine(&self, number: usize) -> Prewarm {
        let config = Config {
            name: self.names[number].clone(),
            ..self.setup.config.clone()
        };
        let mut machine = Prewarm::new(config, number as u64);
        machine.set_workers(&self.workers.workers);
        if matches!(self.policy, Policy::Shared(_)) {
            machine.set_members(&self.names);
        }
        machine
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn schedule_faults(&mut self) {
        let Faults {
            stall_every,
            split,
            restart,
            ..
        } = self.setup.faults;
        let end = START + self.scenario.length;
        let mut at = START;
        while stall_every > 0 && at < end {
            at += stall_every;
            // Known after 5 s that it is down, and after 1 s that it is up again.
            self.push(at + DETECTION, Event::Members);
            self.push(at + STALL + SECOND, Event::Members);
        }
        at = START;
        while split > 0 && at < end {
            at += HOUR;
            self.push(at + DETECTION, Event::Members);
            self.push(at + split + 2 * SECOND, Event::Members);
        }
        if let Some((at, with_snapshot)) = restart {
            if with_snapshot {
                self.push(START + at - 60 * SECOND, Event::Snapshot);
            }
            self.push(START + at, Event::Restart);
        }
    }

    /// Whether a machine does nothing at that time.
    fn is_down(&self, machine: usize, at: Micros) -> bool {
        let every = self.setup.faults.stall_every;
        if every == 0 || at < START + every {
            return false;
        }
        let turn = (at - START) / every;
        (at - START) % every < STALL && turn as usize % self.machines.len() == machine
    }

    /// Whether the machines are partitioned at that time.
    fn is_split(&self, at: Micros) -> bool {
        let split = self.setup.faults.split;
        split > 0 && at >= START + HOUR && (at - START) % HOUR < split
    }

    /// The side of a machine in a partition.
    fn side(&self, number: usize) -> bool {
        2 * (number % self.machines.len().max(1)) < self.machines.len()
    }

    /// Handles the events until now, and ticks the machines that are due.
    fn second(&mut self, now: Micros) {
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > now {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            match event {
                Event::Row(row) => self.deliver(at, now, row),
                Event::Members => self.set_members(at, now),
                Event::Snapshot => {
                    let machines = self.machines.iter();
                    self.snapshots = machines.map(|machine| machine.snapshot(now)).collect();
                }
                Event::Restart => self.restart(now),
            }
        }
        for n in 0..self.machines.len() {
            if self.wake[n] <= now && !self.is_down(n, now) {
                self.machines[n].tick(now);
                self.carry_out(n, now);
                self.wake[n] = self.machines[n].next_wake().unwrap_or(Micros::MAX);
            }
        }
    }

    /// Delivers a row that was sent, or sends it again where its receiver cannot be reached.
    fn deliver(&mut self, at: Micros, now: Micros, row: RowMessage) {
        let to = row.to;
        let is_cut = self.is_split(at) && self.side(to) != self.side(row.owner as usize);
        if is_cut || self.is_down(to, at) {
            return self.push(at + SECOND, Event::Row(row));
        }
        let owner = format!("o{}", row.owner);
        let subject = &self.subjects[row.kind];
        self.machines[to].merge_row(now, &owner, row.window, subject, &row.counts);
        self.wake[to] = self.wake[to].min(now);
    }

    /// Notifies each machine of the members that it can reach.
    fn set_members(&mut self, at: Micros, now: Micros) {
        let is_split = self.is_split(at - DETECTION) && self.is_split(at);
        for n in 0..self.machines.len() {
            let mut living = Vec::new();
            for other in 0..self.machines.len() {
                let is_cut = is_split && self.side(other) != self.side(n);
                if !self.is_down(other, at) && !is_cut {
                    living.push(self.names[other].clone());
                }
            }
            self.machines[n].set_members(&living);
            self.wake[n] = now;
        }
    }

    /// Restarts all machines, with their snapshots where there are such.
    fn restart(&mut self, now: Micros) {
        for n in 0..self.machines.len() {
            self.machines[n] = self.machine(n);
            if !self.snapshots[n].is_empty() {
                let restored = self.machines[n].restore(now, &self.snapshots[n]);
                debug_assert_eq!(restored, Ok(()));
            }
            self.wake[n] = now;
        }
    }

    fn carry_out(&mut self, machine: usize, now: Micros) {
        while let Some(Effect::Prepare {
            worker,
            class,
            keep_ms,
        }) = self.machines[machine].poll_effect()
        {
            self.workers.prepare(now, &worker, &class, keep_ms * 1_000);
        }
    }

    fn job(&mut self, job: &Job) {
        let kind = &self.scenario.kinds[job.kind].0;
        let Placement { worker, took } = self.workers.job(job.at, kind, job.runs);
        let owner = job.to % self.setup.schedulers;
        let machine = match self.policy {
            Policy::None => return,
            Policy::Fixed(keep) => {
                let length = took + keep;
                return self.workers.prepare(job.at, &worker, &kind.class, length);
            }
            Policy::Alone => owner as usize,
            Policy::Shared(machines) => owner as usize % machines,
            Policy::Central => 0,
        };
        // A job sent to one that is down is sent again to the next.
        let machine = if self.is_down(machine, job.at) {
            (machine + 1) % self.machines.len()
        } else {
            machine
        };
        let is_counted = self.counts_own_arrivals();
        if is_counted {
            self.machines[machine].record_arrival(job.at, kind, Some(&worker));
            self.machines[machine].record_running_time(kind, took);
        } else {
            self.machines[machine].keep_warm(job.at, kind, &worker);
        }
        self.carry_out(machine, job.at);
        let next = self.machines[machine].next_wake().unwrap_or(Micros::MAX);
        self.wake[machine] = self.wake[machine].min(next);
        if matches!(self.policy, Policy::Shared(_)) {
            self.send_row(job, took, owner, is_counted.then_some(machine));
        }
    }

    /// Whether machines know their arrivals before the row of these comes.
    fn counts_own_arrivals(&self) -> bool {
        match self.policy {
            Policy::Shared(machines) => machines >= self.setup.schedulers as usize,
            _ => true,
        }
    }

    /// Sends the owner's row to all other machines.
    fn send_row(&mut self, job: &Job, took: Micros, owner: u32, sender: Option<usize>) {
        let window = Slots::window(job.at);
        let row = self
            .rows
            .entry((owner, job.kind))
            .or_insert((window, Vec::new()));
        if row.0 != window {
            *row = (window, Vec::new());
        }
        let counts = &mut row.1;
        counts.resize(RUNNING_TIME_JOBS + 1, 0);
        counts[(job.at % WINDOW / SLOT) as usize] += 1;
        counts[RUNNING_TIME_SUM] += took.div_ceil(RUNNING_TIME_UNIT) as u32;
        counts[RUNNING_TIME_JOBS] += 1;
        let counts = counts.clone();
        let Faults { late, lost, .. } = self.setup.faults;
        for to in 0..self.machines.len() {
            if Some(to) == sender || self.rng.f64() < lost {
                continue;
            }
            let at = job.at + 300_000 + self.rng.u64(..1_200_000) + late;
            let row = RowMessage {
                to,
                owner,
                window,
                kind: job.kind,
                counts: counts.clone(),
            };
            self.push(at, Event::Row(row));
        }
    }
}

/// The fixed keep-alive that takes as many idle warm seconds, and what it costs: the best of its kind at
/// that price, as its cold starts only fall with its length.
#[must_use]
pub fn fixed_at(scenario: &Scenario, setup: &Setup, idle: f64) -> (f64, Cost) {
    let mut low = 0.0_f64;
    let mut high = 86_400.0_f64;
    let mut best = (0.0, run(scenario, Policy::None, setup, 0));
    for _ in 0..16 {
        let middle = (low.max(1.0) * high).sqrt();
        let length = (middle * SECOND as f64) as Micros;
        let cost = run(scenario, Policy::Fixed(length), setup, 0);
        if cost.idle <= idle {
            low = middle;
            best = (middle, cost);
        } else {
            high = middle;
        }
    }
    best
}
