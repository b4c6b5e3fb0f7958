//! A fleet of schedulers and workers in virtual time, for what all schedulers together send cold workers.
//!
//! It owns the workers' queues, the traffic and the clock. It must never assert: the tests do, from what came
//! to each worker and when.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

/// Two wall clocks, as offsets from the clock of the fleet: by which the list stamps starts, and which the
/// schedulers read.
#[derive(Clone, Copy)]
pub struct WallClock {
    pub stamps: i64,
    pub reading: i64,
}

/// How a fleet is.
#[derive(Clone)]
pub struct Plan {
    pub settings: Settings,
    pub workers: usize,
    /// Slots of a warm worker, and how long a job runs there.
    pub slots: f64,
    pub run: Micros,
    /// What comes in, as a share of what all can do when warm.
    pub load: f64,
    /// One in ten schedulers gets so many times what the others get.
    pub uneven: f64,
    /// The least slots of a job; the most is 1.
    pub least_slots: f64,
    /// Processes of each scheduler, all of which get requests.
    pub processes: usize,
    /// Starts are given on the fleet's own clock where there is none.
    pub wall_clock: Option<WallClock>,
    pub seed: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrival,
    /// A worker starts, or ends, a job of a scheduler's life.
    Arrives(usize, usize, u32, u128),
    Ends(usize, usize, u32, u128),
    Timer(usize, u32),
}

#[derive(Default)]
pub struct Worker {
    pub start: Micros,
    /// All starts, the last one included.
    pub starts: Vec<Micros>,
    pub came: Vec<Micros>,
    busy: f64,
    queue: VecDeque<(usize, u32, u128)>,
}

pub struct Fleet {
    pub plan: Plan,
    pub now: Micros,
    pub workers: Vec<Worker>,
    pub rows: Vec<Row>,
    pub schedulers: Vec<Scheduler>,
    lives: Vec<u32>,
    due: BinaryHeap<Reverse<(Micros, u64, What)>>,
    slots: Vec<f64>,
    count: u64,
    rng: fastrand::Rng,
}

impl Fleet {
    pub fn new(plan: Plan) -> Fleet {
        let (all, workers) = (
            plan.settings.schedulers as usize * plan.processes,
            plan.workers,
        );
        let mut fleet = Fleet {
            now: START,
            workers: (0..workers).map(|_| Worker::default()).collect(),
            rows: (0..workers as u32)
                .map(|w| Row {
                    zone: w % 3,
                    ..row(w)
                })
                .collect(),
            schedulers: Vec::new(),
            lives: vec![0; all],
            due: BinaryHeap::new(),
            slots: Vec::new(),
            count: 0,
            rng: fastrand::Rng::with_seed(plan.seed),
            plan,
        };
        for d in 0..all {
            let new = fleet.new_scheduler(d);
            fleet.schedulers.push(new);
            fleet.send_list(d, ListKind::Cached);
        }
        fleet.at(START, What::Arrival);
        fleet
    }

    fn new_scheduler(&mut self, d: usize) -> Scheduler {
        let settings = Settings {
            zone: d as u32 % 3,
            ..self.plan.settings.clone()
        };
        let mut new = Scheduler::new(settings, self.rng.u64(..)).expect("usable");
        new.set_process_count(self.plan.processes);
        new
    }

    fn at(&mut self, at: Micros, what: What) {
        self.count += 1;
        self.due.push(Reverse((at, self.count, what)));
    }

    pub fn send_list(&mut self, d: usize, kind: ListKind) {
        let rows = self.rows.clone();
        self.list(d, kind, rows);
    }

    fn list(&mut self, d: usize, kind: ListKind, rows: Vec<Row>) {
        if let Some(clock) = self.plan.wall_clock {
            let wall = self.now.saturating_add_signed(clock.reading);
            self.event(d, Event::WallClock { wall });
        }
        self.event(d, Event::List { kind, rows: &rows });
    }

    /// The schedulers' wall clock is stepped.
    pub fn step_wall_clock(&mut self, by: i64) {
        if let Some(clock) = &mut self.plan.wall_clock {
            clock.reading += by;
        }
    }

    /// The clock is stepped by which starts are stamped from now on.
    pub fn step_stamps(&mut self, by: i64) {
        if let Some(clock) = &mut self.plan.wall_clock {
            clock.stamps += by;
        }
    }

    pub fn send_list_to_all(&mut self, kind: ListKind) {
        (0..self.schedulers.len()).for_each(|d| self.send_list(d, kind));
    }

    /// A scheduler is killed, and its successor knows the list.
    pub fn restart(&mut self, d: usize) {
        self.lives[d] += 1;
        self.schedulers[d] = self.new_scheduler(d);
        self.send_list(d, ListKind::Cached);
    }

    /// A scheduler is killed, and its successor has only a cached list, by which nothing may be sent until a
    /// list confirms it.
    pub fn restart_from_cache(&mut self, d: usize, cached: &[Row]) {
        self.lives[d] += 1;
        self.schedulers[d] = self.new_scheduler(d);
        let unconfirmed = |row: &Row| Row {
            condition: Condition::Leaving,
            ..*row
        };
        let rows = cached.iter().map(unconfirmed).collect();
        self.list(d, ListKind::Cached, rows);
    }

    /// A worker starts anew; `send_list_to_all` makes it known.
    pub fn replace(&mut self, w: usize) {
        let before = std::mem::take(&mut self.workers[w]);
        let (start, mut starts) = (self.now, before.starts);
        starts.push(start);
        self.workers[w] = Worker {
            came: before.came,
            start,
            starts,
            ..Worker::default()
        };
        let stamps = self.plan.wall_clock.map_or(0, |clock| clock.stamps);
        self.rows[w].online_since = start.saturating_add_signed(stamps);
    }

    /// A worker leaves the list's ready ones, or comes back with its start as it was.
    pub fn use_again(&mut self, w: usize, again: bool) {
        self.rows[w].condition = if again {
            Condition::Active
        } else {
            Condition::Leaving
        };
    }

    /// The share of its capacity that a worker has now.
    pub fn share(&self, w: usize, at: Micros) -> f64 {
        match self.workers[w].start {
            0 => 1.0,
            start => self.share_after(at - start),
        }
    }

    /// The share of its capacity that a worker has so long after its start.
    pub fn share_after(&self, span: Micros) -> f64 {
        let s = &self.plan.settings;
        (s.cold_share + (1.0 - s.cold_share) * span as f64 / s.ramp.as_micros_f64()).min(1.0)
    }

    /// Jobs of mean work that a warm worker does in a span.
    pub fn warm_jobs(&self, span: Micros) -> f64 {
        let mean = (1.0 + self.plan.least_slots) / 2.0;
        self.plan.slots / mean * span as f64 / self.plan.run as f64
    }

    fn event(&mut self, d: usize, event: Event<'_>) {
        let now = self.now;
        self.schedulers[d].on_event(now, event);
        let mut actions = Vec::new();
        self.schedulers[d].dispatch(now, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, worker, .. } => {
                    self.at(
                        now + MS,
                        What::Arrives(worker.0 as usize, d, self.lives[d], id.0),
                    );
                }
                Action::Wake { after } => self.at(now + after, What::Timer(d, self.lives[d])),
                _ => {}
            }
        }
    }

    fn start_jobs(&mut self, w: usize) {
        let room = (self.plan.slots * self.share(w, self.now)).max(1.0);
        while let Some(&(d, life, id)) = self.workers[w].queue.front() {
            let slots = self.slots[id as usize];
            if self.workers[w].busy + slots > room + 1e-9 {
                return;
            }
            self.workers[w].queue.pop_front();
            self.workers[w].busy += slots;
            let run = (self.plan.run as f64 * (0.5 + self.rng.f64())) as Micros;
            self.at(self.now + run, What::Ends(w, d, life, id));
            if self.lives[d] == life {
                self.event(
                    d,
                    Event::Started {
                        id: RequestId(id),
                        attempt: 0,
                    },
                );
            }
        }
    }

    fn on_arrival(&mut self) {
        let all = self.schedulers.len();
        let busy = all.div_ceil(10);
        let weight = busy as f64 * self.plan.uneven + (all - busy) as f64;
        let d = match self.rng.f64() * weight {
            x if x < busy as f64 * self.plan.uneven => self.rng.usize(..busy),
            _ if all > busy => self.rng.usize(busy..all),
            _ => 0,
        };
        let slots = self.plan.least_slots + (1.0 - self.plan.least_slots) * self.rng.f64();
        self.slots.push(slots);
        let id = RequestId(self.slots.len() as u128 - 1);
        let request = Job {
            slots: Some(slots),
            ..job(0)
        };
        self.event(d, arrival(id, request));
        let mean = 1e6 / (self.plan.load * self.plan.workers as f64 * self.warm_jobs(1_000_000));
        let gap = -mean * (1.0 - self.rng.f64()).ln();
        self.at(self.now + gap as Micros, What::Arrival);
    }

    /// Goes on for a time.
    pub fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while self.due.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, what))) = self.due.pop() else {
                break;
            };
            self.now = at;
            match what {
                What::Arrival => self.on_arrival(),
                What::Timer(d, life) if self.lives[d] == life => self.event(d, Event::Timer),
                What::Timer(..) => {}
                What::Arrives(w, d, life, id) => {
                    self.workers[w].came.push(at);
                    self.workers[w].queue.push_back((d, life, id));
                    self.start_jobs(w);
                }
                What::Ends(w, d, life, id) => {
                    self.workers[w].busy =
                        (self.workers[w].busy - self.slots[id as usize]).max(0.0);
                    self.start_jobs(w);
                    if self.lives[d] == life {
                        let (id, ending) = (RequestId(id), Ending::Delivered);
                        self.event(
                            d,
                            Event::Settled {
                                id,
                                attempt: 0,
                                ending,
                                finished: true,
                                report: None,
                            },
                        );
                    }
                }
            }
        }
        self.now = end;
    }
}
