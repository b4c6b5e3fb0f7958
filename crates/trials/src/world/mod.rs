//! A whole fleet on loopback: discovery, workers, schedulers as real processes, and relays between them.
//!
//! It owns what is started and ends it when dropped. Whoever plays says when; it must never wait for a
//! moment, only for conditions with a limit.

mod changes;
mod facts;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use oakshed_fault_injection::Faults;
use oakshed_standin::fleet::{now_us, Endpoint, FleetDiscovery, FleetWorker, FleetWorkerOptions};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit, Signal};
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};

use crate::history::{History, Span};
use crate::process::{Log, Process, Start};
use crate::relays::{own_addresses, Relays};
use crate::scheduler::{Known, Scheduler};
use crate::settings::Deployment;
use crate::watchdog::{Watchdog, FOLDERS};

/// The name under which clients stand in relays and timelines.
pub const CLIENTS: &str = "clients";
/// The name of discovery.
pub const DISCOVERY: &str = "discovery";

/// How a fleet is to be.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Schedulers.
    pub schedulers: usize,
    /// Their number in the settings.
    pub balancers: usize,
    /// Workers.
    pub workers: usize,
    /// How these are.
    pub worker: FleetWorkerOptions,
    /// A relay between each scheduler and each worker; else schedulers reach workers themselves.
    pub relay_workers: bool,
    /// Durable jobs with leases.
    pub durable: bool,
    /// Draws the failing system calls of each scheduler's process, where there are to be some.
    pub call_faults: Option<fn(&mut fastrand::Rng) -> Faults>,
    /// The seed of all chances.
    pub seed: u64,
    /// The settings.
    pub deployment: Deployment,
}

impl Setup {
    /// A fleet of so many schedulers and workers, with relays between all.
    #[must_use]
    pub fn new(schedulers: usize, workers: usize, seed: u64) -> Setup {
        let worker = FleetWorkerOptions::default();
        let (relay_workers, durable) = (true, false);
        let deployment = Deployment::default();
        Setup {
            schedulers,
            balancers: schedulers,
            workers,
            worker,
            relay_workers,
            durable,
            call_faults: None,
            seed,
            deployment,
        }
    }
}

/// Lets this process open as many descriptors as the system permits: many relays need many.
fn raise_descriptor_limit() {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let limit = Rlimit {
        current: maximum,
        maximum,
    };
    _ = setrlimit(Resource::Nofile, limit);
}

/// A folder that goes with its trial.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The fleet.
pub struct World {
    /// How it was to be.
    pub setup: Setup,
    /// What happens.
    pub history: History,
    /// The relays: clients to each scheduler, each scheduler to discovery and to each worker.
    pub relays: Relays,
    /// Discovery.
    pub discovery: FleetDiscovery,
    /// The workers with their names.
    pub workers: Vec<(String, FleetWorker)>,
    /// The schedulers.
    pub schedulers: Vec<Scheduler>,
    /// For the chances of whoever plays.
    pub rng: fastrand::Rng,
    /// When it was made, in microseconds of Unix time.
    pub began: u64,
    drains: BTreeMap<String, Vec<(u64, Option<u64>)>>,
    drained: BTreeMap<String, Vec<Span>>,
    /// When discovery was down for all, and when one scheduler was cut off from it.
    down: Vec<Span>,
    cut_off: BTreeMap<usize, Vec<Span>>,
    starts: BTreeMap<String, Vec<u64>>,
    // Processes end before the folder goes: fields are dropped in this order.
    watchdog: Rc<Watchdog>,
    folder: Folder,
}

impl World {
    /// Makes a fleet, with its workers listed as ready and warm; no scheduler is started yet.
    ///
    /// # Errors
    /// Those of sockets and files, and where a program is not built.
    pub async fn new(setup: Setup) -> io::Result<World> {
        raise_descriptor_limit();
        let (number, serving, others) = own_addresses();
        let folder = std::env::temp_dir().join(format!("{FOLDERS}{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let folder = Folder(folder);
        let watchdog = Rc::new(Watchdog::start()?);
        watchdog.folder(&folder.0);
        let history = History::default();
        let relays = Relays::new(others, setup.seed, history.clone());
        let places: Rc<RefCell<BTreeMap<(usize, String), SocketAddr>>> = Rc::default();
        let look = places.clone();
        let discovery =
            FleetDiscovery::new(move |caller, worker| look.borrow()[&(caller, worker.to_owned())]);
        // Ports that stay free until the schedulers take them: nobody else binds at this address.
        let held: Vec<std::net::TcpListener> = (0..setup.schedulers)
            .map(|_| std::net::TcpListener::bind((serving, 0)))
            .collect::<io::Result<_>>()?;
        let mut schedulers = Vec::new();
        for (n, held) in held.iter().enumerate() {
            let (name, listen) = (format!("s{n}"), held.local_addr()?);
            let front = relays.tcp(CLIENTS, &name, listen).await?;
            let discovery = relays
                .tcp(&name, DISCOVERY, discovery.listen(n, others).await?)
                .await?;
            let (held, process, log) = (None, None, Log::default());
            let (lives, stops, reloads) = (Vec::new(), Vec::new(), Vec::new());
            schedulers.push(Scheduler {
                name,
                listen,
                front,
                discovery,
                held,
                process,
                lives,
                stops,
                reloads,
                log,
                call_faults: None,
            });
        }
        drop(held);
        let mut workers = Vec::new();
        for n in 0..setup.workers {
            let mut options = setup.worker.clone();
            if setup.durable {
                options.ledger = Some(folder.0.join(format!("w{n}.ledger")));
            }
            let worker = FleetWorker::start(others, options).await?;
            let name = format!("w{n}");
            for (s, scheduler) in schedulers.iter().enumerate() {
                let at = if setup.relay_workers {
                    relays.tcp(&scheduler.name, &name, worker.address).await?
                } else {
                    worker.address
                };
                places.borrow_mut().insert((s, name.clone()), at);
            }
            workers.push((name, worker));
        }
        discovery.set_format(setup.deployment.list_format);
        discovery.change(|list| {
            for (n, (name, worker)) in workers.iter().enumerate() {
                // Leases go with the memory, which began just now; else they have long been there.
                let started_ms = if setup.durable { worker.since_ms() } else { 0 };
                let (zone, cell) = setup.deployment.place(n);
                let entry = Endpoint {
                    lifecycle: "ready",
                    started_ms,
                    since: 0,
                    zone,
                    cell,
                    weight: 1.0,
                };
                list.insert(name.clone(), entry);
            }
        });
        let rng = fastrand::Rng::with_seed(setup.seed);
        let (drains, drained, starts) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let (down, cut_off) = (Vec::new(), BTreeMap::new());
        let began = now_us();
        history.note(DISCOVERY, format!("{}: all ready", discovery.number()));
        Ok(World {
            setup,
            history,
            relays,
            discovery,
            workers,
            schedulers,
            rng,
            began,
            drains,
            drained,
            down,
            cut_off,
            starts,
            watchdog,
            folder,
        })
    }

    /// Starts a scheduler, which must not run, under its name and address.
    ///
    /// # Errors
    /// Those of files and of starting.
    ///
    /// # Panics
    /// Panics when that scheduler runs already.
    pub fn start(&mut self, s: usize, known: Known) -> io::Result<()> {
        let current = self.discovery.known(s);
        let scheduler = &mut self.schedulers[s];
        assert!(scheduler.process.is_none(), "{} runs", scheduler.name);
        let known = match known {
            Known::No => Value::Null,
            Known::Held => scheduler.held.take().unwrap_or(current),
        };
        let config = self.folder.0.join(format!("{}.json", scheduler.name));
        let text = json!({
            "name": scheduler.name, "seed": format!("{:016x}", self.rng.u64(..)), "known": known,
            "limits": { "cores": 1.0, "memory_mb": 192, "sockets": 1024 },
            "settings": self.setup.deployment.settings(s, self.setup.balancers),
        });
        std::fs::write(&config, text.to_string())?;
        let operator = self.folder.0.join(format!("{}.operator", scheduler.name));
        if self.setup.durable {
            let dir = self.folder.0.join(format!("{}.store", scheduler.name));
            let jobs = json!({ "dir": dir, "leases": true, "lease_ms": 300, "segment_mb": 1 });
            std::fs::write(&operator, json!({ "jobs": jobs }).to_string())?;
        }
        let operator = self.setup.durable.then_some(operator.as_path());
        let (listen, discovery) = (scheduler.listen, scheduler.discovery);
        scheduler.call_faults = self.setup.call_faults.map(|draw| draw(&mut self.rng));
        let faults = scheduler.call_faults.as_ref();
        let start = Start {
            config: &config,
            operator,
            listen,
            discovery,
            faults,
        };
        let word = if known.is_null() {
            "start"
        } else {
            "start, list known"
        };
        self.history.note(&scheduler.name, word);
        scheduler.lives.push(Span {
            from: now_us(),
            to: None,
        });
        scheduler.process = Some(Process::start(
            &start,
            scheduler.log.clone(),
            self.watchdog.clone(),
        )?);
        Ok(())
    }

    /// Starts all that do not run.
    ///
    /// # Errors
    /// As [`World::start`].
    pub fn start_all(&mut self, known: Known) -> io::Result<()> {
        (0..self.schedulers.len()).try_for_each(|s| match self.schedulers[s].process {
            Some(_) => Ok(()),
            None => self.start(s, known),
        })
    }

    /// Kills a scheduler (SIGKILL), whether it runs or is stopped.
    pub async fn kill(&mut self, s: usize) {
        let held = self.discovery.known(s);
        let scheduler = &mut self.schedulers[s];
        let Some(mut process) = scheduler.process.take() else {
            return;
        };
        let had = scheduler
            .lives
            .last()
            .is_some_and(|life| scheduler.told().iter().any(|(at, _)| *at >= life.from));
        scheduler.held = had.then_some(held);
        self.history.note(&scheduler.name, "kill");
        let now = now_us();
        scheduler
            .stops
            .last_mut()
            .filter(|s| s.to.is_none())
            .into_iter()
            .for_each(|s| s.to = Some(now));
        scheduler
            .lives
            .last_mut()
            .into_iter()
            .for_each(|l| l.to = Some(now));
        process.signal(Signal::KILL);
        _ = process.wait().await;
    }

    /// Stops a scheduler (SIGSTOP).
    pub fn stop(&mut self, s: usize) {
        let scheduler = &mut self.schedulers[s];
        let Some(process) = &scheduler.process else {
            return;
        };
        self.history.note(&scheduler.name, "stop");
        scheduler.stops.push(Span {
            from: now_us(),
            to: None,
        });
        process.signal(Signal::STOP);
    }

    /// Continues a stopped scheduler (SIGCONT).
    pub fn go_on(&mut self, s: usize) {
        let scheduler = &mut self.schedulers[s];
        let Some(process) = &scheduler.process else {
            return;
        };
        process.signal(Signal::CONT);
        self.history.note(&scheduler.name, "goes on");
        let now = now_us();
        scheduler
            .stops
            .last_mut()
            .into_iter()
            .for_each(|s| s.to = Some(now));
    }

    /// Tells a scheduler to stop in order (SIGTERM).
    pub fn terminate(&mut self, s: usize) {
        let scheduler = &self.schedulers[s];
        self.history.note(&scheduler.name, "term");
        scheduler
            .process
            .iter()
            .for_each(|process| process.signal(Signal::TERM));
    }

    /// Whether a scheduler has ended by itself, as after SIGTERM or a crash.
    pub fn ended(&mut self, s: usize) -> bool {
        let scheduler = &mut self.schedulers[s];
        let ended = scheduler.process.as_mut().is_some_and(Process::ended);
        if ended {
            scheduler.process = None;
            scheduler
                .lives
                .last_mut()
                .into_iter()
                .for_each(|l| l.to = Some(now_us()));
            self.history.note(&scheduler.name, "ended");
        }
        ended
    }

    /// Whether a scheduler's process is there.
    #[must_use]
    pub fn runs(&self, s: usize) -> bool {
        self.schedulers[s].process.is_some()
    }

    /// The id of a scheduler's process, where it runs.
    pub fn process_id(&self, s: usize) -> Option<u32> {
        self.schedulers[s].process.as_ref().map(Process::pid)
    }

    /// Waits until something holds.
    ///
    /// # Errors
    /// Where it does not within the limit; tells what.
    pub async fn until(
        &mut self,
        what: &str,
        limit: Duration,
        mut holds: impl FnMut(&mut World) -> bool,
    ) -> Result<Duration, String> {
        let start = Instant::now();
        while !holds(self) {
            if start.elapsed() > limit {
                return Err(format!("never came within {limit:?}: {what}"));
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(start.elapsed())
    }
}

/// Runs something in a thread's own runtime, as a trial needs it.
///
/// # Errors
/// Those of the runtime.
pub fn block_on<T>(trial: impl Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, trial))
}
