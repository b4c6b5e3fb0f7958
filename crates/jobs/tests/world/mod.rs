//! Deterministic simulation of a scheduler process with its log and disk, its workers, network and clients.
//!
//! This module has the event queue, simulated time and the random number generator. A seed determines a run
//! completely.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};

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
mod older_build;
mod replies;
mod scheduler;
mod workers;

use clients::Client;
pub use coverage::Coverage;
use invariants::GroundTruth;
use scheduler::Scheduler;
use workers::{Connection, ConnectionEvent, Worker};

/// One millisecond in microseconds.
const MS: Micros = 1_000;
const S: Micros = 1_000 * MS;
const HOUR: Micros = 3_600 * S;
/// Start of the simulation, in microseconds of Unix time.
const EPOCH: Micros = 1_700_000_000 * S;
/// Time for which a keyed job may be sent again after the first attempt that ran.
const KEYED_WINDOW: Micros = 7_500 * MS;
/// Simulated time after the last fault, in which everything must recover.
const TIME_WITHOUT_FAULTS: Micros = 100 * S;

/// Identifies an attempt and the connection that carries it.
#[derive(Clone, Copy, Debug)]
struct AttemptRef {
    connection: u64,
    id: JobId,
    token: u64,
}

/// Identifies a fence and the scheduler process that sent it.
#[derive(Clone, Copy, Debug)]
struct FenceRef {
    process: u64,
    id: JobId,
    token: u64,
    confirmed: bool,
}

/// An event in the queue. Workers and clients are given by their indices.
#[derive(Clone, Debug)]
enum Event {
    /// A client sends its next request.
    ClientRequest(usize),
    /// A client's wait for an answer or a status times out, unless it has made another try since the given one.
    ClientTimeout(usize, u32),
    /// A client cancels a job.
    Cancel(JobId),
    /// A sync by the given scheduler process ends.
    SyncEnds(u64),
    /// A timer of the given scheduler process expires.
    Tick(u64),
    /// A worker has received an attempt's complete request.
    RequestArrives {
        attempt: AttemptRef,
        class: usize,
        /// Whether the request carries the lease's fields.
        leased: bool,
    },
    /// A worker process has run a job to its end.
    JobEnds {
        worker: usize,
        process: u64,
        attempt: AttemptRef,
        /// Whether the job's request carried the lease's fields.
        leased: bool,
    },
    /// Something happens on the connection of an attempt.
    Connection {
        attempt: AttemptRef,
        event: ConnectionEvent,
    },
    /// A worker process receives a fence.
    FenceArrives {
        fence: FenceRef,
        worker: usize,
        worker_process: u64,
    },
    /// A fence is answered, or is lost if there is no reply.
    FenceReplyArrives {
        fence: FenceRef,
        reply: Option<FenceReply>,
    },
    /// The scheduler process is killed, with a reboot of its machine or without.
    KillScheduler {
        reboot: bool,
    },
    /// The given scheduler process is killed if a reply waits for a sync.
    KillBeforeSync(u64),
    StartScheduler,
    OutageEnds,
    RestartWorker(usize),
    /// The jobs that were indeterminate at the last kill must still be known.
    CheckIndeterminate,
    /// An operator settles a job.
    Settle,
    /// The scheduler receives the current endpoint list.
    ListArrives,
    InjectFault,
}

/// The current boot of the scheduler's machine.
#[derive(Clone, Copy)]
struct MachineBoot {
    id: u128,
    booted_at: Micros,
}

/// Properties of the workers that stay the same during a simulation.
#[derive(Clone, Copy)]
struct Setup {
    /// Whether workers implement the lease protocol, and the scheduler may use it.
    leases: bool,
    /// Whether each scheduler process may have another lease setting, and be of an older build.
    settings_change: bool,
    /// Whether workers keep their job history across restarts.
    workers_keep_history: bool,
    /// Whether endpoint lists give 0, long ago, as the start time of workers that started before the simulation.
    unspecified_starts: bool,
}

/// The state of a simulation.
pub struct World {
    rng: Rng,
    /// Whether to print each event.
    verbose: bool,
    now: Micros,
    /// Number of events scheduled so far. Orders events of the same time.
    event_count: u64,
    /// Time, number and index in `events` of each future event.
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: Vec<Option<Event>>,
    disk: FaultyDirectory,
    /// The running scheduler process, if there is one.
    scheduler: Option<Scheduler>,
    /// Number of scheduler processes started so far.
    processes: u64,
    boot: MachineBoot,
    workers: Vec<Worker>,
    connections: Vec<Connection>,
    clients: Vec<Client>,
    truth: HashMap<JobId, GroundTruth>,
    /// The jobs that an operator has settled, until a scheduler process confirms the settlement.
    settlements: BTreeSet<JobId>,
    setup: Setup,
    /// Whether the last scheduler process used leases.
    last_leases: bool,
    faults_stopped: bool,
    faults_stop_at: Micros,
    /// The first violation of an invariant.
    violation: Option<String>,
    coverage: Coverage,
    /// Jobs that were indeterminate when the scheduler was killed after the faults had stopped.
    indeterminate_at_kill: HashSet<JobId>,
}

impl World {
    /// Runs the simulation for a seed. The error describes the first violation of an invariant.
    pub fn run(seed: u64, verbose: bool) -> Result<Coverage, String> {
        let mut world = World::new(seed, verbose);
        world.schedule(0, Event::StartScheduler);
        world.add_clients();
        for _ in 0..world.rng.usize(0..3) {
            let at = world.rng.u64(0..12 * S);
            world.schedule(at, Event::Settle);
        }
        for _ in 0..world.rng.usize(1..8) {
            let at = world.rng.u64(0..8 * S);
            world.schedule(at, Event::InjectFault);
        }
        world.run_events()?;
        world.check_end()?;
        Ok(world.coverage)
    }

    fn new(seed: u64, verbose: bool) -> World {
        let mut rng = Rng::with_seed(seed);
        let setup = Setup {
            leases: rng.u32(0..4) > 0,
            settings_change: rng.u32(0..3) == 0,
            workers_keep_history: rng.bool(),
            unspecified_starts: rng.u32(0..4) == 0,
        };
        let worker_count = rng.usize(2..5);
        World {
            verbose,
            now: EPOCH,
            event_count: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            disk: FaultyDirectory::default(),
            scheduler: None,
            processes: 0,
            boot: MachineBoot {
                id: 1,
                booted_at: EPOCH - 5 * HOUR,
            },
            workers: (0..worker_count).map(Worker::new).collect(),
            connections: Vec::new(),
            clients: Vec::new(),
            truth: HashMap::new(),
            settlements: BTreeSet::new(),
            last_leases: setup.leases,
            setup,
            faults_stopped: false,
            faults_stop_at: EPOCH + rng.u64(3..9) * S,
            violation: None,
            coverage: Coverage::default(),
            indeterminate_at_kill: HashSet::new(),
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
                polls_answer: false,
                waits_until: 0,
            };
            let first = self.rng.u64(0..4 * S);
            // Some jobs have two clients, which is equivalent to one client that sends a duplicate.
            for _ in 0..1 + usize::from(self.rng.u32(0..6) == 0) {
                self.clients.push(client.clone());
                let at = first + self.rng.u64(0..200 * MS);
                self.schedule(at, Event::ClientRequest(self.clients.len() - 1));
            }
        }
    }

    fn run_events(&mut self) -> Result<(), String> {
        let end = self.faults_stop_at + TIME_WITHOUT_FAULTS;
        while let Some(Reverse((at, _, index))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if !self.faults_stopped && at >= self.faults_stop_at {
                self.stop_faults();
            }
            let event = self.events[index]
                .take()
                .expect("each event is queued once");
            self.handle(event);
            self.process_effects();
            if let Some(violation) = self.violation.take() {
                return Err(violation);
            }
        }
        Ok(())
    }

    /// Schedules an event after a delay.
    fn schedule(&mut self, delay: Micros, event: Event) {
        self.event_count += 1;
        self.events.push(Some(event));
        self.queue.push(Reverse((
            self.now + delay,
            self.event_count,
            self.events.len() - 1,
        )));
    }

    fn report_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    /// Prints a message with the simulated time in seconds, in a verbose run.
    fn trace(&self, message: impl FnOnce() -> String) {
        if self.verbose {
            println!("{:>9.3} {}", (self.now - EPOCH) as f64 / 1e6, message());
        }
    }

    /// Returns true with the given probability, in thousandths, until faults stop, and false from then on.
    fn chance(&mut self, per_mille: u32) -> bool {
        !self.faults_stopped && self.rng.u32(0..1_000) < per_mille
    }

    /// Returns a random delay of the network, which is sometimes long.
    fn network_delay(&mut self) -> Micros {
        match self.rng.u32(0..100) {
            0..=2 if !self.faults_stopped => self.rng.u64(100 * MS..4 * S),
            3..=9 => self.rng.u64(5 * MS..60 * MS),
            _ => self.rng.u64(50..2 * MS),
        }
    }

    fn handle(&mut self, event: Event) {
        if !matches!(event, Event::Tick(_)) {
            self.trace(|| format!("{event:?}"));
        }
        match event {
            Event::ClientRequest(n) => self.run_client(n),
            Event::ClientTimeout(n, tries) => {
                let client = &self.clients[n];
                if client.tries == tries && client.waits_until <= self.now {
                    self.run_client(n);
                }
            }
            Event::Cancel(id) => self.cancel(id),
            Event::Tick(process) => self.on_tick(process),
            Event::SyncEnds(process) => self.end_sync(process),
            Event::RequestArrives {
                attempt,
                class,
                leased,
            } => self.on_request(attempt, class, leased),
            Event::JobEnds {
                worker,
                process,
                attempt,
                leased,
            } => self.on_job_end(worker, process, attempt, leased),
            Event::Connection { attempt, event } => self.on_connection_event(attempt, event),
            Event::FenceArrives {
                fence,
                worker,
                worker_process,
            } => self.on_fence(fence, worker, worker_process),
            Event::FenceReplyArrives { fence, reply } => self.on_fence_reply(fence, reply),
            Event::KillScheduler { reboot } => self.kill_scheduler(reboot),
            Event::KillBeforeSync(process) => self.kill_before_sync(process),
            Event::CheckIndeterminate => self.check_indeterminate_after_kill(),
            Event::Settle => self.settle_job(),
            Event::StartScheduler => self.start_scheduler(),
            Event::OutageEnds => _ = self.disk.set_outage(None),
            Event::RestartWorker(worker) => self.restart_worker(worker),
            Event::ListArrives => self.report_list(ListKind::Snapshot),
            Event::InjectFault => self.inject_fault(),
        }
    }

    fn on_fence_reply(&mut self, fence: FenceRef, reply: Option<FenceReply>) {
        self.coverage
            .count(match reply.as_ref().map(|reply| &reply.status) {
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

    /// Calls a function with the running scheduler and the time of its clock. Does nothing if no scheduler runs.
    fn with_scheduler<T>(&mut self, call: impl FnOnce(&mut Scheduler, Micros) -> T) -> Option<T> {
        let scheduler = self.scheduler.as_mut()?;
        let now = self.now.wrapping_add_signed(scheduler.clock_offset);
        Some(call(scheduler, now))
    }
}
