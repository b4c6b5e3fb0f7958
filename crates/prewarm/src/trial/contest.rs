//! The simulation of one policy on one scenario: delivery of rows, faults, and the resulting costs.

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
const STALL_DURATION: Micros = 60 * SECOND;
/// The delay until other machines detect that a machine is down or partitioned.
const DETECTION_DELAY: Micros = 5 * SECOND;
/// How long before a restart the snapshots are taken.
const SNAPSHOT_AGE: Micros = 60 * SECOND;
/// The shortest delay of a row.
const MIN_ROW_DELAY: Micros = 300_000;
/// The range of the random delay added to it.
const ROW_JITTER: Micros = 1_200_000;
const HOUR: Micros = 3_600 * SECOND;

/// A shared row on its way to one machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RowMessage {
    to: usize,
    owner: u32,
    window: u32,
    kind_index: usize,
    counts: Vec<u32>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Row(RowMessage),
    Members,
    Snapshot,
    Restart,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    setup: &'a Setup,
    workers: WorkerModel,
    machines: Vec<Prewarm>,
    /// When each machine is to be ticked.
    next_tick: Vec<Micros>,
    names: Vec<Arc<str>>,
    subjects: Vec<Vec<u8>>,
    /// The window and counts of the row of each owner and kind.
    rows: BTreeMap<(u32, usize), (u32, Vec<u32>)>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    event_count: u64,
    rng: fastrand::Rng,
    snapshots: Vec<Vec<u8>>,
}

/// Runs a policy on a scenario and returns its costs after [`Setup::measure_after`].
#[must_use]
pub fn run(scenario: &Scenario, policy: Policy, setup: &Setup, seed: u64) -> Cost {
    let mut simulation = Simulation::new(scenario, policy, setup, seed);
    simulation.schedule_faults();
    let mut before = Cost::default();
    let mut second = START / SECOND;
    for job in &scenario.jobs {
        while second <= job.at / SECOND {
            let now = second * SECOND;
            if now - START == setup.measure_after {
                before = simulation.cost();
            }
            simulation.advance_to(now);
            second += 1;
        }
        simulation.dispatch_job(job);
    }
    simulation.workers.finish(START + scenario.length);
    let all = simulation.cost();
    Cost {
        jobs: all.jobs - before.jobs,
        cold_starts: all.cold_starts - before.cold_starts,
        idle_s: all.idle_s - before.idle_s,
        calls: all.calls - before.calls,
        all_busy: all.all_busy - before.all_busy,
    }
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, setup: &'a Setup, seed: u64) -> Simulation<'a> {
        let count = match policy {
            Policy::None | Policy::Fixed(_) => 0,
            Policy::LocalOnly => setup.schedulers as usize,
            Policy::Shared(machines) => machines,
            Policy::Central => 1,
        };
        let kinds = scenario.kinds.iter();
        let mut simulation = Simulation {
            scenario,
            policy,
            setup,
            workers: WorkerModel::new(setup.workers_per_zone, setup.zones, setup.config.load_time),
            machines: Vec::new(),
            next_tick: vec![Micros::MAX; count],
            names: (0..count).map(|n| format!("s{n}").into()).collect(),
            subjects: kinds.map(|(kind, _)| kind.subject(0)).collect(),
            rows: BTreeMap::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            rng: fastrand::Rng::with_seed(seed),
            snapshots: vec![Vec::new(); count],
        };
        simulation.machines = (0..count).map(|n| simulation.machine(n)).collect();
        simulation
    }

    fn cost(&self) -> Cost {
        Cost {
            jobs: self.workers.jobs,
            cold_starts: self.workers.cold_starts,
            idle_s: self.workers.idle_time as f64 / SECOND as f64,
            calls: self.workers.calls,
            all_busy: self.workers.all_busy,
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
            stall_interval,
            partition_duration,
            restart,
            ..
        } = self.setup.faults;
        let end = START + self.scenario.length;
        let mut at = START;
        while stall_interval > 0 && at < end {
            at += stall_interval;
            // Others detect a stall after 5 s and its end after 1 s.
            self.push(at + DETECTION_DELAY, Event::Members);
            self.push(at + STALL_DURATION + SECOND, Event::Members);
        }
        at = START;
        while partition_duration > 0 && at < end {
            at += HOUR;
            self.push(at + DETECTION_DELAY, Event::Members);
            self.push(at + partition_duration + 2 * SECOND, Event::Members);
        }
        if let Some((at, with_snapshot)) = restart {
            if with_snapshot {
                self.push(START + at - SNAPSHOT_AGE, Event::Snapshot);
            }
            self.push(START + at, Event::Restart);
        }
    }

    /// Whether a machine is stalled at a time.
    fn is_down(&self, machine: usize, at: Micros) -> bool {
        let interval = self.setup.faults.stall_interval;
        if interval == 0 || at < START + interval {
            return false;
        }
        let turn = (at - START) / interval;
        (at - START) % interval < STALL_DURATION && turn as usize % self.machines.len() == machine
    }

    /// Whether the machines are partitioned at a time.
    fn is_partitioned(&self, at: Micros) -> bool {
        let partition_duration = self.setup.faults.partition_duration;
        partition_duration > 0 && at >= START + HOUR && (at - START) % HOUR < partition_duration
    }

    /// Which half a machine belongs to during a partition.
    fn side(&self, number: usize) -> bool {
        2 * (number % self.machines.len().max(1)) < self.machines.len()
    }

    /// Handles the events up to `now`, and ticks the machines that are due.
    fn advance_to(&mut self, now: Micros) {
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > now {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            match event {
                Event::Row(row) => self.deliver_row(at, now, row),
                Event::Members => self.update_members(at, now),
                Event::Snapshot => {
                    let machines = self.machines.iter();
                    self.snapshots = machines.map(|machine| machine.snapshot(now)).collect();
                }
                Event::Restart => self.restart(now),
            }
        }
        for n in 0..self.machines.len() {
            if self.next_tick[n] <= now && !self.is_down(n, now) {
                self.machines[n].tick(now);
                self.apply_effects(n, now);
                self.next_tick[n] = self.machines[n].next_wake().unwrap_or(Micros::MAX);
            }
        }
    }

    /// Delivers a row, or retries a second later if its receiver cannot be reached.
    fn deliver_row(&mut self, at: Micros, now: Micros, row: RowMessage) {
        let to = row.to;
        let is_unreachable =
            self.is_partitioned(at) && self.side(to) != self.side(row.owner as usize);
        if is_unreachable || self.is_down(to, at) {
            return self.push(at + SECOND, Event::Row(row));
        }
        let owner = format!("o{}", row.owner);
        let subject = &self.subjects[row.kind_index];
        self.machines[to].merge_row(now, &owner, row.window, subject, &row.counts);
        self.next_tick[to] = self.next_tick[to].min(now);
    }

    /// Tells each machine which members it can reach.
    fn update_members(&mut self, at: Micros, now: Micros) {
        let is_partitioned = self.is_partitioned(at - DETECTION_DELAY) && self.is_partitioned(at);
        for n in 0..self.machines.len() {
            let mut live = Vec::new();
            for other in 0..self.machines.len() {
                let is_unreachable = is_partitioned && self.side(other) != self.side(n);
                if !self.is_down(other, at) && !is_unreachable {
                    live.push(self.names[other].clone());
                }
            }
            self.machines[n].set_members(&live);
            self.next_tick[n] = now;
        }
    }

    /// Restarts all machines, from their snapshots if there are any.
    fn restart(&mut self, now: Micros) {
        for n in 0..self.machines.len() {
            self.machines[n] = self.machine(n);
            if !self.snapshots[n].is_empty() {
                let restored = self.machines[n].restore(now, &self.snapshots[n]);
                debug_assert_eq!(restored, Ok(()));
            }
            self.next_tick[n] = now;
        }
    }

    fn apply_effects(&mut self, machine: usize, now: Micros) {
        while let Some(Effect::Prepare {
            worker,
            class,
            keep_ms,
        }) = self.machines[machine].poll_effect()
        {
            self.workers.prepare(now, &worker, &class, keep_ms * 1_000);
        }
    }

    fn dispatch_job(&mut self, job: &Job) {
        let kind = &self.scenario.kinds[job.kind_index].0;
        let Placement { worker, duration } = self.workers.run_job(job.at, kind, job.running_time);
        let owner = job.receiver % self.setup.schedulers;
        let machine = match self.policy {
            Policy::None => return,
            Policy::Fixed(keep) => {
                let length = duration + keep;
                return self.workers.prepare(job.at, &worker, &kind.class, length);
            }
            Policy::LocalOnly => owner as usize,
            Policy::Shared(machines) => owner as usize % machines,
            Policy::Central => 0,
        };
        // A job sent to a stalled machine is retried on the next one.
        let machine = if self.is_down(machine, job.at) {
            (machine + 1) % self.machines.len()
        } else {
            machine
        };
        let records_own_arrival = self.records_own_arrivals();
        if records_own_arrival {
            self.machines[machine].record_arrival(job.at, kind, Some(&worker));
            self.machines[machine].record_running_time(kind, duration);
        } else {
            self.machines[machine].keep_warm(job.at, kind, &worker);
        }
        self.apply_effects(machine, job.at);
        let next = self.machines[machine].next_wake().unwrap_or(Micros::MAX);
        self.next_tick[machine] = self.next_tick[machine].min(next);
        if matches!(self.policy, Policy::Shared(_)) {
            self.send_row(job, duration, owner, records_own_arrival.then_some(machine));
        }
    }

    /// Whether machines record their own arrivals at once. If not, they know them only from rows.
    fn records_own_arrivals(&self) -> bool {
        match self.policy {
            Policy::Shared(machines) => machines >= self.setup.schedulers as usize,
            _ => true,
        }
    }

    /// Adds a job to the owner's row and sends the row to the other machines.
    fn send_row(&mut self, job: &Job, duration: Micros, owner: u32, sender: Option<usize>) {
        let window = Slots::window(job.at);
        let row = self
            .rows
            .entry((owner, job.kind_index))
            .or_insert((window, Vec::new()));
        if row.0 != window {
            *row = (window, Vec::new());
        }
        let counts = &mut row.1;
        counts.resize(RUNNING_TIME_JOBS + 1, 0);
        counts[(job.at % WINDOW / SLOT) as usize] += 1;
        counts[RUNNING_TIME_SUM] += duration.div_ceil(RUNNING_TIME_UNIT) as u32;
        counts[RUNNING_TIME_JOBS] += 1;
        let counts = counts.clone();
        let Faults {
            row_delay,
            row_loss,
            ..
        } = self.setup.faults;
        for to in 0..self.machines.len() {
            if Some(to) == sender || self.rng.f64() < row_loss {
                continue;
            }
            let at = job.at + MIN_ROW_DELAY + self.rng.u64(..ROW_JITTER) + row_delay;
            let row = RowMessage {
                to,
                owner,
                window,
                kind_index: job.kind_index,
                counts: counts.clone(),
            };
            self.push(at, Event::Row(row));
        }
    }
}

/// The longest fixed keep-alive, in seconds, with no more idle time than `idle_s`, and its cost. A longer one
/// only has fewer cold starts, so this is the best fixed keep-alive within that idle time.
#[must_use]
pub fn fixed_with_equal_idle(scenario: &Scenario, setup: &Setup, idle_s: f64) -> (f64, Cost) {
    let mut low = 0.0_f64;
    let mut high = 86_400.0_f64;
    let mut best = (0.0, run(scenario, Policy::None, setup, 0));
    for _ in 0..16 {
        let middle = (low.max(1.0) * high).sqrt();
        let length = (middle * SECOND as f64) as Micros;
        let cost = run(scenario, Policy::Fixed(length), setup, 0);
        if cost.idle_s <= idle_s {
            low = middle;
            best = (middle, cost);
        } else {
            high = middle;
        }
    }
    best
}
