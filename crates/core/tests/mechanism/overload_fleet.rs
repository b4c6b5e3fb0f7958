//! Simulates a fleet of schedulers and workers, with clients that retry rejected jobs, for the overload tests.
//!
//! The simulation runs in virtual time and counts, for each second, the jobs requested and those served on time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

/// Parameters of a simulated fleet.
#[derive(Clone)]
pub struct Plan {
    pub schedulers: u32,
    pub workers: usize,
    /// Slots of each worker.
    pub slots: usize,
    /// Arriving work as a share of the capacity of all workers.
    pub load: f64,
    /// One in ten schedulers gets this multiple of the others' traffic.
    pub skew: f64,
    /// Chance that a client waits for the retry-after of a rejection. Otherwise it retries within 90 ms.
    pub honour_chance: f64,
    pub seed: u64,
}

/// Mean running time of each class, in microseconds.
const RUNNING_TIME_US: [f64; 2] = [120e3, 240e3];
/// Maximum number of requests that a client sends for one job.
const MAX_TRIES: u32 = 4;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A client has a new job.
    NewJob,
    /// The client of a job sends it again.
    Retry(usize),
    /// An attempt reaches a worker.
    Arrives(usize, Sent),
    /// An attempt ends at a worker.
    Ends(usize, Sent),
    /// A scheduler's timer expires.
    Timer(usize),
    /// The answer to a scheduler's probe of a worker arrives.
    Probed(usize, usize),
}

/// An attempt that a scheduler has sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    scheduler: usize,
    /// Index of the client's job.
    job: usize,
    /// Request id.
    id: u128,
    attempt: u32,
}

#[derive(Default)]
struct Worker {
    is_draining: bool,
    busy: usize,
    queue: VecDeque<Sent>,
}

struct ClientJob {
    class: usize,
    first_requested: Micros,
    work: f64,
    tries: u32,
    done: bool,
}

/// The jobs first requested within one second, by their outcome. Jobs are weighted by priority unless noted.
#[derive(Clone, Copy, Default, Debug)]
pub struct SecondStats {
    pub requested: f64,
    pub on_time: f64,
    pub late: f64,
    /// Number of top-tier jobs.
    pub top: f64,
    /// Number of top-tier jobs that ended on time.
    pub top_on_time: f64,
}

pub struct Fleet {
    pub plan: Plan,
    pub now: Micros,
    pub seconds: Vec<SecondStats>,
    pub schedulers: Vec<Scheduler>,
    workers: Vec<Worker>,
    settings: Settings,
    /// Future events by time. The number keeps events of the same time in order.
    due: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    jobs: Vec<ClientJob>,
    /// The job of each request, and its number of attempts.
    requests: Vec<(usize, u32)>,
    event_count: u64,
    rng: fastrand::Rng,
}

/// Returns settings with two classes, of which the second is the top tier, and with probes.
fn fleet_settings(schedulers: u32) -> Settings {
    let class = |latency_objective, stretch, priority_weight, effect| Class {
        latency_objective: Span::from_millis(latency_objective),
        stretch,
        priority_weight,
        scope: Scope::All,
        window: Span::from_millis(7_500),
        ..class(priority_weight, effect)
    };
    Settings {
        schedulers,
        classes: vec![
            class(120, 2.0, 10.0, Effect::Unsafe),
            class(150, 2.5, 30.0, Effect::Keyed),
        ],
        max_attempts: 4,
        reports: Reports::Probe,
        may_probe: true,
        may_cancel: false,
        cross_zone_cost: 0.03,
        fifo_workers: true,
        ..settings()
    }
}

impl Fleet {
    pub fn new(plan: Plan) -> Fleet {
        let all = plan.schedulers as usize;
        let mut fleet = Fleet {
            now: START,
            seconds: Vec::new(),
            schedulers: Vec::new(),
            workers: (0..plan.workers).map(|_| Worker::default()).collect(),
            settings: fleet_settings(plan.schedulers),
            due: BinaryHeap::new(),
            jobs: Vec::new(),
            requests: Vec::new(),
            event_count: 0,
            rng: fastrand::Rng::with_seed(plan.seed),
            plan,
        };
        for scheduler in 0..all {
            let new = fleet.new_scheduler(scheduler);
            fleet.schedulers.push(new);
            fleet.send_list(scheduler);
        }
        fleet.schedule(START, SimEvent::NewJob);
        fleet
    }

    fn new_scheduler(&mut self, scheduler: usize) -> Scheduler {
        let settings = Settings {
            zone: scheduler as u32 % 3,
            ..self.settings.clone()
        };
        Scheduler::new(settings, self.rng.u64(..)).expect("usable")
    }

    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.event_count += 1;
        self.due.push(Reverse((at, self.event_count, event)));
    }

    fn send_list(&mut self, scheduler: usize) {
        let rows: Vec<Row> = (0..self.plan.workers as u32)
            .map(|w| Row {
                zone: w % 3,
                condition: if self.workers[w as usize].is_draining {
                    Condition::Leaving
                } else {
                    Condition::Active
                },
                ..row(w)
            })
            .collect();
        self.event(
            scheduler,
            Event::List {
                kind: ListKind::Snapshot,
                rows: &rows,
            },
        );
    }

    /// Drains the first workers, or makes them active again.
    pub fn drain(&mut self, workers: usize, is_draining: bool) {
        self.workers[..workers]
            .iter_mut()
            .for_each(|w| w.is_draining = is_draining);
        (0..self.schedulers.len()).for_each(|scheduler| self.send_list(scheduler));
    }

    fn second(&mut self, at: Micros) -> &mut SecondStats {
        let n = ((at - START) / (1_000 * MS)) as usize;
        if self.seconds.len() <= n {
            self.seconds.resize(n + 1, SecondStats::default());
        }
        &mut self.seconds[n]
    }

    fn event(&mut self, scheduler: usize, event: Event<'_>) {
        let now = self.now;
        self.schedulers[scheduler].on_event(now, event);
        let mut actions = Vec::new();
        self.schedulers[scheduler].dispatch(now, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, worker, .. } => {
                    let (job, attempt) = self.requests[id.0 as usize];
                    self.requests[id.0 as usize].1 += 1;
                    let sent = Sent {
                        scheduler,
                        job,
                        id: id.0,
                        attempt,
                    };
                    self.schedule(now + 2 * MS, SimEvent::Arrives(worker.0 as usize, sent));
                }
                Action::Reject { id, retry_after } => {
                    let job = self.requests[id.0 as usize].0;
                    if self.jobs[job].tries < MAX_TRIES {
                        let is_honoured = self.rng.f64() < self.plan.honour_chance;
                        let wait = retry_after
                            .filter(|_| is_honoured)
                            .unwrap_or(self.rng.u64(10..90) * MS);
                        self.schedule(now + wait, SimEvent::Retry(job));
                    }
                }
                Action::Wake { after } => self.schedule(now + after, SimEvent::Timer(scheduler)),
                Action::Probe { worker } => {
                    self.schedule(now + 5 * MS, SimEvent::Probed(scheduler, worker.0 as usize));
                }
                _ => {}
            }
        }
    }

    fn start_jobs(&mut self, w: usize) {
        while self.workers[w].busy < self.plan.slots {
            let Some(sent) = self.workers[w].queue.pop_front() else {
                return;
            };
            self.workers[w].busy += 1;
            let run = self.jobs[sent.job].work * (0.7 + 0.6 * self.rng.f64());
            self.schedule(self.now + run as Micros, SimEvent::Ends(w, sent));
            self.event(
                sent.scheduler,
                Event::Started {
                    id: RequestId(sent.id),
                    attempt: sent.attempt,
                },
            );
        }
    }

    /// Sends a job to a random scheduler, unless its client has less than 50 ms left.
    fn request(&mut self, job: usize) {
        let all = self.schedulers.len();
        let busy = all.div_ceil(10);
        let total_weight = busy as f64 * self.plan.skew + (all - busy) as f64;
        let scheduler = match self.rng.f64() * total_weight {
            x if x < busy as f64 * self.plan.skew => self.rng.usize(..busy),
            _ if all > busy => self.rng.usize(busy..all),
            _ => 0,
        };
        let remaining = (self.jobs[job].first_requested + 5_000 * MS).saturating_sub(self.now);
        if remaining < 50 * MS {
            return;
        }
        self.jobs[job].tries += 1;
        self.requests.push((job, 0));
        let id = RequestId(self.requests.len() as u128 - 1);
        let class = self.jobs[job].class as u32;
        let request = Job {
            remaining,
            ..crate::common::job(class)
        };
        self.event(scheduler, arrival(id, request));
    }

    fn on_new_job(&mut self) {
        let class = usize::from(self.rng.f64() < 0.45);
        let work = RUNNING_TIME_US[class] * (0.4 + 0.6 * -(1.0 - self.rng.f64()).ln());
        self.jobs.push(ClientJob {
            class,
            first_requested: self.now,
            work,
            tries: 0,
            done: false,
        });
        let priority_weight = self.settings.classes[class].priority_weight;
        self.second(self.now).requested += priority_weight;
        self.second(self.now).top += class as f64;
        self.request(self.jobs.len() - 1);
        let mean_run = 0.55 * RUNNING_TIME_US[0] + 0.45 * RUNNING_TIME_US[1];
        let gap = mean_run / (self.plan.load * (self.plan.workers * self.plan.slots) as f64);
        let gap = -gap * (1.0 - self.rng.f64()).ln();
        self.schedule(self.now + gap as Micros, SimEvent::NewJob);
    }

    fn on_end(&mut self, w: usize, sent: Sent) {
        self.workers[w].busy -= 1;
        self.start_jobs(w);
        let (job, now) = (&mut self.jobs[sent.job], self.now);
        let (first_requested, class, elapsed) = (
            job.first_requested,
            &self.settings.classes[job.class],
            now - job.first_requested,
        );
        let priority_weight = if std::mem::replace(&mut job.done, true) {
            0.0
        } else {
            class.priority_weight
        };
        let on_time =
            elapsed as f64 <= class.latency_objective.as_micros_f64() + class.stretch * job.work;
        let top = if on_time && priority_weight > 10.0 {
            1.0
        } else {
            0.0
        };
        let second = self.second(first_requested);
        second.top_on_time += top;
        *if on_time {
            &mut second.on_time
        } else {
            &mut second.late
        } += priority_weight;
        let (id, attempt, ending) = (RequestId(sent.id), sent.attempt, Ending::Delivered);
        self.event(
            sent.scheduler,
            Event::Settled {
                id,
                attempt,
                ending,
                finished: true,
                report: None,
            },
        );
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
                SimEvent::NewJob => self.on_new_job(),
                SimEvent::Retry(job) => self.request(job),
                SimEvent::Timer(scheduler) => self.event(scheduler, Event::Timer),
                SimEvent::Probed(scheduler, w) => {
                    let backlog = Some(self.workers[w].queue.len() as f64);
                    let outstanding =
                        Some((self.workers[w].queue.len() + self.workers[w].busy) as f64);
                    let report = Some(Report {
                        backlog,
                        outstanding,
                        ..Report::default()
                    });
                    let (worker, ending) = (WorkerId(w as u64), Ending::Delivered);
                    self.event(
                        scheduler,
                        Event::Probed {
                            worker,
                            ending,
                            report,
                        },
                    );
                }
                SimEvent::Arrives(w, sent) => {
                    self.workers[w].queue.push_back(sent);
                    self.start_jobs(w);
                }
                SimEvent::Ends(w, sent) => self.on_end(w, sent),
            }
        }
        self.now = end;
    }
}
