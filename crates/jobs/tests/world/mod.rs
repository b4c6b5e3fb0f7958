//! A simulation around the state machine: scheduler, log, disk, workers, network and clients on virtual time.
//!
//! This module owns the time, the order of events and the randomness, all from one seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use fastrand::Rng;
use oakshed_core::facade::{ListKind, Micros};
use oakshed_jobs::fault::FaultyDirectory;
use oakshed_jobs::machine::{FenceReply, FenceStatus};
use oakshed_jobs::record::{JobId, Key};

mod clients;
mod coverage;
mod effects;
mod faults;
mod invariants;
mod scheduler;
mod workers;

use clients::Client;
pub use coverage::Coverage;
use invariants::Truth;
use scheduler::Scheduler;
use workers::{Connection, Worker, WorkerMessage};

const MS: Micros = 1_000;
const S: Micros = 1_000 * MS;
const HOUR: Micros = 3_600 * S;
/// When the simulation begins: some day in Unix time.
const EPOCH: Micros = 1_700_000_000 * S;
/// For how long a keyed job may be sent again.
const KEYED_WINDOW: Micros = 7_500 * MS;
/// How long the simulation goes on once faults have stopped.
const TIME_WITHOUT_FAULTS: Micros = 100 * S;

/// An attempt and the connection that carries it.
#[derive(Clone, Copy, Debug)]
struct AttemptRef {
    connection: u64,
    id: JobId,
    token: u64,
}

/// A fence, and the scheduler process that sent it.
#[derive(Clone, Copy, Debug)]
struct FenceRef {
    process: u64,
    id: JobId,
    token: u64,
    confirmed: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Client(usize),
    /// A client's patience ends, if it is still at that try.
    LosesPatience(usize, u32),
    Synced(u64),
    Tick(u64),
    /// A request's last byte reaches its worker.
    Arrive {
        attempt: AttemptRef,
        class: usize,
    },
    RunEnds {
        worker: usize,
        process: u64,
        attempt: AttemptRef,
    },
    WorkerSays {
        attempt: AttemptRef,
        message: WorkerMessage,
    },
    FenceArrives {
        fence: FenceRef,
        worker: usize,
        worker_process: u64,
    },
    FenceReplied {
        fence: FenceRef,
        reply: Option<FenceReply>,
    },
    Kill {
        boot: bool,
    },
    Start,
    OutageEnds,
    RestartWorker(usize),
    List,
    InjectFault,
}

/// The machine's present boot.
#[derive(Clone, Copy)]
struct MachineBoot {
    id: u128,
    at: Micros,
}

/// What is drawn once for a whole simulation.
#[derive(Clone, Copy)]
struct Setup {
    /// Workers implement leases.
    leases: bool,
    /// Workers remember their jobs over a restart.
    workers_keep_memory: bool,
    /// The list says of old workers only that they started long ago.
    starts_unknown: bool,
}

pub struct World {
    rng: Rng,
    verbose: bool,
    now: Micros,
    count: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: Vec<Option<Event>>,
    disk: FaultyDirectory,
    scheduler: Option<Scheduler>,
    /// The number of scheduler processes so far.
    processes: u64,
    boot: MachineBoot,
    workers: Vec<Worker>,
    connections: Vec<Connection>,
    clients: Vec<Client>,
    truth: HashMap<JobId, Truth>,
    setup: Setup,
    faults_stopped: bool,
    faults_stop_at: Micros,
    violation: Option<String>,
    coverage: Coverage,
    were_indeterminate: HashSet<JobId>,
}

impl World {
    /// Runs the simulation of a seed. An error is the first violation of an invariant.
    pub fn run(seed: u64, verbose: bool) -> Result<Coverage, String> {
        let mut world = World::new(seed, verbose);
        world.after(0, Event::Start);
        world.add_clients();
        for _ in 0..world.rng.usize(1..8) {
            let at = world.rng.u64(0..8 * S);
            world.after(at, Event::InjectFault);
        }
        world.run_events()?;
        world.check_end()?;
        Ok(world.coverage)
    }

    fn new(seed: u64, verbose: bool) -> World {
        let mut rng = Rng::with_seed(seed);
        let setup = Setup {
            leases: rng.u32(0..4) > 0,
            workers_keep_memory: rng.bool(),
            starts_unknown: rng.u32(0..4) == 0,
        };
        let worker_count = rng.usize(2..5);
        World {
            verbose,
            now: EPOCH,
            count: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            disk: FaultyDirectory::default(),
            scheduler: None,
            processes: 0,
            boot: MachineBoot {
                id: 1,
                at: EPOCH - 5 * HOUR,
            },
            workers: (0..worker_count).map(Worker::new).collect(),
            connections: Vec::new(),
            clients: Vec::new(),
            truth: HashMap::new(),
            setup,
            faults_stopped: false,
            faults_stop_at: EPOCH + rng.u64(3..9) * S,
            violation: None,
            coverage: Coverage::default(),
            were_indeterminate: HashSet::new(),
            rng,
        }
    }

    fn add_clients(&mut self) {
        let jobs = self.rng.usize(3..14);
        for n in 0..jobs {
            let key = [n as u8, 7];
            let client = Client {
                id: JobId::of(b"owner", Key::Idempotency(&key)),
                class: self.rng.usize(0..2),
                detached: self.rng.u32(0..4) == 0,
                tries: 0,
                done: false,
                awaits_answer: false,
                until: 0,
            };
            let first = self.rng.u64(0..4 * S);
            // Some jobs have two clients, or one that sends twice.
            for _ in 0..1 + usize::from(self.rng.u32(0..6) == 0) {
                self.clients.push(client.clone());
                let at = first + self.rng.u64(0..200 * MS);
                self.after(at, Event::Client(self.clients.len() - 1));
            }
        }
    }

    fn run_events(&mut self) -> Result<(), String> {
        let end = self.faults_stop_at + TIME_WITHOUT_FAULTS;
        while let Some(Reverse((at, _, place))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if !self.faults_stopped && at >= self.faults_stop_at {
                self.stop_faults();
            }
            let event = self.events[place].take().expect("once");
            self.handle(event);
            self.settle();
            if let Some(why) = self.violation.take() {
                return Err(why);
            }
        }
        Ok(())
    }

    fn after(&mut self, span: Micros, event: Event) {
        self.count += 1;
        self.events.push(Some(event));
        self.queue.push(Reverse((
            self.now + span,
            self.count,
            self.events.len() - 1,
        )));
    }

    fn violation(&mut self, why: String) {
        self.violation.get_or_insert(why);
    }

    fn log(&self, what: impl FnOnce() -> String) {
        if self.verbose {
            println!("{:>9.3} {}", (self.now - EPOCH) as f64 / 1e6, what());
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        !self.faults_stopped && self.rng.u32(0..1_000) < per_mille
    }

    fn delay(&mut self) -> Micros {
        match self.rng.u32(0..100) {
            0..=2 if !self.faults_stopped => self.rng.u64(100 * MS..4 * S),
            3..=9 => self.rng.u64(5 * MS..60 * MS),
            _ => self.rng.u64(50..2 * MS),
        }
    }

    fn handle(&mut self, event: Event) {
        if !matches!(event, Event::Tick(_)) {
            self.log(|| format!("{event:?}"));
        }
        match event {
            Event::Client(n) => self.run_client(n),
            Event::LosesPatience(n, tries) => {
                let client = &self.clients[n];
                if client.tries == tries && client.until <= self.now && !client.awaits_answer {
                    self.run_client(n);
                }
            }
            Event::Tick(process) => self.tick(process),
            Event::Synced(process) => self.synced(process),
            Event::Arrive { attempt, class } => self.arrive(attempt, class),
            Event::RunEnds {
                worker,
                process,
                attempt,
            } => self.run_ends(worker, process, attempt),
            Event::WorkerSays { attempt, message } => self.on_worker_message(attempt, message),
            Event::FenceArrives {
                fence,
                worker,
                worker_process,
            } => self.fenced(fence, worker, worker_process),
            Event::FenceReplied { fence, reply } => self.on_fence_reply(fence, reply),
            Event::Kill { boot } => self.kill(boot),
            Event::Start => self.start(),
            Event::OutageEnds => _ = self.disk.set_outage(None),
            Event::RestartWorker(worker) => self.restart_worker(worker),
            Event::List => self.list(ListKind::Snapshot),
            Event::InjectFault => self.inject_fault(),
        }
    }

    fn on_fence_reply(&mut self, fence: FenceRef, reply: Option<FenceReply>) {
        self.coverage
            .note(match reply.as_ref().map(|reply| &reply.status) {
                Some(FenceStatus::Never) => "fence never",
                Some(FenceStatus::Running) => "fence running",
                Some(FenceStatus::Done(_)) => "fence done",
                Some(FenceStatus::Failed) => "fence failed",
                None => "fence lost",
            });
        let FenceRef {
            process,
            id,
            token,
            confirmed,
        } = fence;
        self.with_scheduler(|scheduler, now| {
            if scheduler.process == process {
                let facade = &mut scheduler.facade;
                scheduler
                    .jobs
                    .on_fence_reply(now, id, token, reply, confirmed, facade);
            }
        });
    }

    /// Calls the running scheduler, if any, with the time of its own clock.
    fn with_scheduler<T>(&mut self, act: impl FnOnce(&mut Scheduler, Micros) -> T) -> Option<T> {
        let scheduler = self.scheduler.as_mut()?;
        let now = self.now.wrapping_add_signed(scheduler.skew);
        Some(act(scheduler, now))
    }
}
