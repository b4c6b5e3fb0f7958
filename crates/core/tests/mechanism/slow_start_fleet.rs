//! Simulates a fleet of schedulers and workers in virtual time for the slow-start tests, and records when jobs arrive
//! at each worker.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

/// Wall clocks, as offsets from the clock of the simulation in microseconds.
#[derive(Clone, Copy)]
pub struct WallClock {
    /// The clock with which the list stamps worker starts.
    pub list_offset: i64,
    /// The clock that schedulers read.
    pub scheduler_offset: i64,
}

/// Parameters of a simulated fleet.
#[derive(Clone)]
pub struct Plan {
    pub settings: Settings,
    pub workers: usize,
    /// Slots of a warm worker.
    pub slots: f64,
    /// Mean running time of jobs.
    pub run: Micros,
    /// Arriving work as a share of the capacity of all workers when warm.
    pub load: f64,
    /// One in ten schedulers gets this multiple of the others' traffic.
    pub skew: f64,
    /// Minimum slots of a job; the maximum is 1.
    pub min_slots: f64,
    /// Processes of each scheduler, all of which get requests.
    pub processes: usize,
    /// `None` if the list stamps worker starts with the clock of the simulation.
    pub wall_clock: Option<WallClock>,
    pub seed: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A client sends a request.
    Request,
    /// A job arrives at a worker: worker, scheduler, incarnation of the scheduler, and request id.
    Arrives(usize, usize, u32, u128),
    /// A job ends at a worker, with the same fields.
    Ends(usize, usize, u32, u128),
    /// The timer of a scheduler's incarnation expires.
    Timer(usize, u32),
}

#[derive(Default)]
pub struct Worker {
    /// The last start; 0 if the worker was running from the beginning.
    pub start: Micros,
    /// All starts, including the last one.
    pub starts: Vec<Micros>,
    /// The times at which jobs arrived.
    pub arrivals: Vec<Micros>,
    busy: f64,
    queue: VecDeque<(usize, u32, u128)>,
}

pub struct Fleet {
    pub plan: Plan,
    pub now: Micros,
    pub workers: Vec<Worker>,
    pub rows: Vec<Row>,
    pub schedulers: Vec<Scheduler>,
    /// Incarnation of each scheduler; events of earlier ones are ignored.
    incarnations: Vec<u32>,
    /// Future events by time. The number keeps events of the same time in order.
    due: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    /// Slots of each request's job.
    slots: Vec<f64>,
    event_count: u64,
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
            incarnations: vec![0; all],
            due: BinaryHeap::new(),
            slots: Vec::new(),
            event_count: 0,
            rng: fastrand::Rng::with_seed(plan.seed),
            plan,
        };
        for scheduler in 0..all {
            let new = fleet.new_scheduler(scheduler);
            fleet.schedulers.push(new);
            fleet.send_list(scheduler, ListKind::Cached);
        }
        fleet.schedule(START, SimEvent::Request);
        fleet
    }

    fn new_scheduler(&mut self, scheduler: usize) -> Scheduler {
        let settings = Settings {
            zone: scheduler as u32 % 3,
            ..self.plan.settings.clone()
        };
        let mut new = Scheduler::new(settings, self.rng.u64(..)).expect("usable");
        new.set_process_count(self.plan.processes);
        new
    }

    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.event_count += 1;
        self.due.push(Reverse((at, self.event_count, event)));
    }

    pub fn send_list(&mut self, scheduler: usize, kind: ListKind) {
        let rows = self.rows.clone();
        self.list(scheduler, kind, rows);
    }

    fn list(&mut self, scheduler: usize, kind: ListKind, rows: Vec<Row>) {
        if let Some(clock) = self.plan.wall_clock {
            let wall = self.now.saturating_add_signed(clock.scheduler_offset);
            self.event(scheduler, Event::WallClock { wall });
        }
        self.event(scheduler, Event::List { kind, rows: &rows });
    }

    /// Steps the wall clock of the schedulers.
    pub fn step_wall_clock(&mut self, by: i64) {
        if let Some(clock) = &mut self.plan.wall_clock {
            clock.scheduler_offset += by;
        }
    }

    /// Steps the clock with which the list stamps worker starts.
    pub fn step_list_clock(&mut self, by: i64) {
        if let Some(clock) = &mut self.plan.wall_clock {
            clock.list_offset += by;
        }
    }

    pub fn send_list_to_all(&mut self, kind: ListKind) {
        (0..self.schedulers.len()).for_each(|scheduler| self.send_list(scheduler, kind));
    }

    /// Kills a scheduler. Its successor starts with the current list.
    pub fn restart_scheduler(&mut self, scheduler: usize) {
        self.incarnations[scheduler] += 1;
        self.schedulers[scheduler] = self.new_scheduler(scheduler);
        self.send_list(scheduler, ListKind::Cached);
    }

    /// Kills a scheduler. Its successor starts with an older cached list and may send nothing until discovery
    /// confirms it.
    pub fn restart_scheduler_from_cache(&mut self, scheduler: usize, cached: &[Row]) {
        self.incarnations[scheduler] += 1;
        self.schedulers[scheduler] = self.new_scheduler(scheduler);
        let unconfirmed = |row: &Row| Row {
            condition: Condition::Leaving,
            ..*row
        };
        let rows = cached.iter().map(unconfirmed).collect();
        self.list(scheduler, ListKind::Cached, rows);
    }

    /// Restarts a worker. `send_list_to_all` then notifies the schedulers.
    pub fn restart_worker(&mut self, w: usize) {
        let before = std::mem::take(&mut self.workers[w]);
        let (start, mut starts) = (self.now, before.starts);
        starts.push(start);
        self.workers[w] = Worker {
            arrivals: before.arrivals,
            start,
            starts,
            ..Worker::default()
        };
        let stamps = self.plan.wall_clock.map_or(0, |clock| clock.list_offset);
        self.rows[w].online_since = start.saturating_add_signed(stamps);
    }

    /// Lists a worker as active or draining, without a restart.
    pub fn set_active(&mut self, w: usize, is_active: bool) {
        self.rows[w].condition = if is_active {
            Condition::Active
        } else {
            Condition::Leaving
        };
    }

    /// Returns the share of its full capacity that a worker has at a time.
    pub fn capacity_share(&self, w: usize, at: Micros) -> f64 {
        match self.workers[w].start {
            0 => 1.0,
            start => self.capacity_share_after(at - start),
        }
    }

    /// Returns the share of its full capacity that a worker has some time after its start.
    pub fn capacity_share_after(&self, span: Micros) -> f64 {
        let s = &self.plan.settings;
        (s.cold_share + (1.0 - s.cold_share) * span as f64 / s.ramp.as_micros_f64()).min(1.0)
    }

    /// Returns the number of average jobs that a warm worker completes in a span.
    pub fn warm_jobs(&self, span: Micros) -> f64 {
        let mean = (1.0 + self.plan.min_slots) / 2.0;
        self.plan.slots / mean * span as f64 / self.plan.run as f64
    }

    fn event(&mut self, scheduler: usize, event: Event<'_>) {
        let now = self.now;
        self.schedulers[scheduler].on_event(now, event);
        let mut actions = Vec::new();
        self.schedulers[scheduler].dispatch(now, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, worker, .. } => {
                    self.schedule(
                        now + MS,
                        SimEvent::Arrives(
                            worker.0 as usize,
                            scheduler,
                            self.incarnations[scheduler],
                            id.0,
                        ),
                    );
                }
                Action::Wake { after } => self.schedule(
                    now + after,
                    SimEvent::Timer(scheduler, self.incarnations[scheduler]),
                ),
                _ => {}
            }
        }
    }

    fn start_jobs(&mut self, w: usize) {
        let room = (self.plan.slots * self.capacity_share(w, self.now)).max(1.0);
        while let Some(&(scheduler, incarnation, id)) = self.workers[w].queue.front() {
            let slots = self.slots[id as usize];
            if self.workers[w].busy + slots > room + 1e-9 {
                return;
            }
            self.workers[w].queue.pop_front();
            self.workers[w].busy += slots;
            let run = (self.plan.run as f64 * (0.5 + self.rng.f64())) as Micros;
            self.schedule(
                self.now + run,
                SimEvent::Ends(w, scheduler, incarnation, id),
            );
            if self.incarnations[scheduler] == incarnation {
                self.event(
                    scheduler,
                    Event::Started {
                        id: RequestId(id),
                        attempt: 0,
                    },
                );
            }
        }
    }

    fn on_request(&mut self) {
        let all = self.schedulers.len();
        let busy = all.div_ceil(10);
        let total_weight = busy as f64 * self.plan.skew + (all - busy) as f64;
        let scheduler = match self.rng.f64() * total_weight {
            x if x < busy as f64 * self.plan.skew => self.rng.usize(..busy),
            _ if all > busy => self.rng.usize(busy..all),
            _ => 0,
        };
        let slots = self.plan.min_slots + (1.0 - self.plan.min_slots) * self.rng.f64();
        self.slots.push(slots);
        let id = RequestId(self.slots.len() as u128 - 1);
        let request = Job {
            slots: Some(slots),
            ..job(0)
        };
        self.event(scheduler, arrival(id, request));
        let mean = 1e6 / (self.plan.load * self.plan.workers as f64 * self.warm_jobs(1_000_000));
        let gap = -mean * (1.0 - self.rng.f64()).ln();
        self.schedule(self.now + gap as Micros, SimEvent::Request);
    }

    /// Runs the simulation for a time.
    pub fn run_for(&mut self, span: Micros) {
        let end = self.now + span;
        while self.due.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.due.pop() else {
                break;
            };
            self.now = at;
            match event {
                SimEvent::Request => self.on_request(),
                SimEvent::Timer(s, incarnation) if self.incarnations[s] == incarnation => {
                    self.event(s, Event::Timer);
                }
                SimEvent::Timer(..) => {}
                SimEvent::Arrives(w, s, incarnation, id) => {
                    self.workers[w].arrivals.push(at);
                    self.workers[w].queue.push_back((s, incarnation, id));
                    self.start_jobs(w);
                }
                SimEvent::Ends(w, s, incarnation, id) => {
                    self.workers[w].busy =
                        (self.workers[w].busy - self.slots[id as usize]).max(0.0);
                    self.start_jobs(w);
                    if self.incarnations[s] == incarnation {
                        let (id, ending) = (RequestId(id), Ending::Delivered);
                        self.event(
                            s,
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
