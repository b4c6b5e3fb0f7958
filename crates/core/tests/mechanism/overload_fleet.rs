//! A fleet of schedulers and workers with clients that come again, in virtual time, for service after a blow.
//!
//! It owns the workers' queues, the clients and the clock. It must never assert: the tests do, from what was
//! earned in each second.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

/// How a fleet is.
#[derive(Clone)]
pub struct Plan {
    pub schedulers: u32,
    pub workers: usize,
    /// Slots of a worker.
    pub slots: usize,
    /// What comes in, as a share of what all workers can do.
    pub load: f64,
    /// One in ten schedulers gets so many times what the others get.
    pub uneven: f64,
    /// Chance that a rejected client stays away as long as the retry-after says; the others come again at once.
    pub honour: f64,
    pub seed: u64,
}

/// How long a job of each class runs at a worker of speed 1, on average.
const RUNNING_TIME: [f64; 2] = [120e3, 240e3];
const TRIES: u32 = 4;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrival,
    Again(usize),
    Arrives(usize, Sent),
    Ends(usize, Sent),
    Timer(usize),
    Probed(usize, usize),
}

/// A scheduler's attempt at a client's job, which is its request of that number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    d: usize,
    job: usize,
    id: u128,
    attempt: u32,
}

#[derive(Default)]
struct Worker {
    down: bool,
    busy: usize,
    queue: VecDeque<Sent>,
}

struct ClientJob {
    class: usize,
    first: Micros,
    work: f64,
    tries: u32,
    done: bool,
}

/// What was requested in a second, and what it earned.
#[derive(Clone, Copy, Default, Debug)]
pub struct Second {
    pub requested: f64,
    pub in_time: f64,
    pub late: f64,
    /// Jobs of the top tier that were requested, and that ended in time.
    pub top: f64,
    pub top_in_time: f64,
}

pub struct Fleet {
    pub plan: Plan,
    pub now: Micros,
    pub seconds: Vec<Second>,
    pub schedulers: Vec<Scheduler>,
    workers: Vec<Worker>,
    settings: Settings,
    due: BinaryHeap<Reverse<(Micros, u64, What)>>,
    jobs: Vec<ClientJob>,
    /// Which job a scheduler's request is, and its attempts so far.
    requests: Vec<(usize, u32)>,
    count: u64,
    rng: fastrand::Rng,
}

/// Two classes of which the second is the top tier, and one probe a job.
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
            count: 0,
            rng: fastrand::Rng::with_seed(plan.seed),
            plan,
        };
        for d in 0..all {
            let new = fleet.new_scheduler(d);
            fleet.schedulers.push(new);
            fleet.send_list(d);
        }
        fleet.at(START, What::Arrival);
        fleet
    }

    fn new_scheduler(&mut self, d: usize) -> Scheduler {
        let settings = Settings {
            zone: d as u32 % 3,
            ..self.settings.clone()
        };
        Scheduler::new(settings, self.rng.u64(..)).expect("usable")
    }

    fn at(&mut self, at: Micros, what: What) {
        self.count += 1;
        self.due.push(Reverse((at, self.count, what)));
    }

    fn send_list(&mut self, d: usize) {
        let rows: Vec<Row> = (0..self.plan.workers as u32)
            .map(|w| Row {
                zone: w % 3,
                condition: if self.workers[w as usize].down {
                    Condition::Leaving
                } else {
                    Condition::Active
                },
                ..row(w)
            })
            .collect();
        self.event(
            d,
            Event::List {
                kind: ListKind::Snapshot,
                rows: &rows,
            },
        );
    }

    /// The first so many workers drain, or are there again.
    pub fn drain(&mut self, so_many: usize, down: bool) {
        self.workers[..so_many]
            .iter_mut()
            .for_each(|w| w.down = down);
        (0..self.schedulers.len()).for_each(|d| self.send_list(d));
    }

    fn second(&mut self, at: Micros) -> &mut Second {
        let n = ((at - START) / (1_000 * MS)) as usize;
        if self.seconds.len() <= n {
            self.seconds.resize(n + 1, Second::default());
        }
        &mut self.seconds[n]
    }

    fn event(&mut self, d: usize, event: Event<'_>) {
        let now = self.now;
        self.schedulers[d].on_event(now, event);
        let mut actions = Vec::new();
        self.schedulers[d].dispatch(now, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, worker, .. } => {
                    let (job, attempt) = self.requests[id.0 as usize];
                    self.requests[id.0 as usize].1 += 1;
                    let sent = Sent {
                        d,
                        job,
                        id: id.0,
                        attempt,
                    };
                    self.at(now + 2 * MS, What::Arrives(worker.0 as usize, sent));
                }
                Action::Reject { id, retry_after } => {
                    let job = self.requests[id.0 as usize].0;
                    if self.jobs[job].tries < TRIES {
                        let stays = self.rng.f64() < self.plan.honour;
                        let wait = retry_after
                            .filter(|_| stays)
                            .unwrap_or(self.rng.u64(10..90) * MS);
                        self.at(now + wait, What::Again(job));
                    }
                }
                Action::Wake { after } => self.at(now + after, What::Timer(d)),
                Action::Probe { worker } => {
                    self.at(now + 5 * MS, What::Probed(d, worker.0 as usize));
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
            self.at(self.now + run as Micros, What::Ends(w, sent));
            self.event(
                sent.d,
                Event::Started {
                    id: RequestId(sent.id),
                    attempt: sent.attempt,
                },
            );
        }
    }

    fn offer(&mut self, job: usize) {
        let all = self.schedulers.len();
        let busy = all.div_ceil(10);
        let weight = busy as f64 * self.plan.uneven + (all - busy) as f64;
        let d = match self.rng.f64() * weight {
            x if x < busy as f64 * self.plan.uneven => self.rng.usize(..busy),
            _ if all > busy => self.rng.usize(busy..all),
            _ => 0,
        };
        let remaining = (self.jobs[job].first + 5_000 * MS).saturating_sub(self.now);
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
        self.event(d, arrival(id, request));
    }

    fn on_arrival(&mut self) {
        let class = usize::from(self.rng.f64() < 0.45);
        let work = RUNNING_TIME[class] * (0.4 + 0.6 * -(1.0 - self.rng.f64()).ln());
        self.jobs.push(ClientJob {
            class,
            first: self.now,
            work,
            tries: 0,
            done: false,
        });
        let priority_weight = self.settings.classes[class].priority_weight;
        self.second(self.now).requested += priority_weight;
        self.second(self.now).top += class as f64;
        self.offer(self.jobs.len() - 1);
        let mean_run = 0.55 * RUNNING_TIME[0] + 0.45 * RUNNING_TIME[1];
        let gap = mean_run / (self.plan.load * (self.plan.workers * self.plan.slots) as f64);
        let gap = -gap * (1.0 - self.rng.f64()).ln();
        self.at(self.now + gap as Micros, What::Arrival);
    }

    fn on_end(&mut self, w: usize, sent: Sent) {
        self.workers[w].busy -= 1;
        self.start_jobs(w);
        let (job, now) = (&mut self.jobs[sent.job], self.now);
        let (first, class, took) = (
            job.first,
            &self.settings.classes[job.class],
            now - job.first,
        );
        let priority_weight = if std::mem::replace(&mut job.done, true) {
            0.0
        } else {
            class.priority_weight
        };
        let in_time =
            took as f64 <= class.latency_objective.as_micros_f64() + class.stretch * job.work;
        let top = if in_time && priority_weight > 10.0 {
            1.0
        } else {
            0.0
        };
        let second = self.second(first);
        second.top_in_time += top;
        *if in_time {
            &mut second.in_time
        } else {
            &mut second.late
        } += priority_weight;
        let (id, attempt, ending) = (RequestId(sent.id), sent.attempt, Ending::Delivered);
        self.event(
            sent.d,
            Event::Settled {
                id,
                attempt,
                ending,
                finished: true,
                report: None,
            },
        );
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
                What::Again(job) => self.offer(job),
                What::Timer(d) => self.event(d, Event::Timer),
                What::Probed(d, w) => {
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
                        d,
                        Event::Probed {
                            worker,
                            ending,
                            report,
                        },
                    );
                }
                What::Arrives(w, sent) => {
                    self.workers[w].queue.push_back(sent);
                    self.start_jobs(w);
                }
                What::Ends(w, sent) => self.on_end(w, sent),
            }
        }
        self.now = end;
    }
}
