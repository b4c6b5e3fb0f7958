//! Builds a fleet: its folder, discovery, relays, workers, and schedulers that are not started yet.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::rc::Rc;

use oakshed_standin::fleet::{now_us, Endpoint, FleetDiscovery, FleetWorker};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

use super::{Folder, Setup, World, CLIENTS, DISCOVERY};
use crate::history::History;
use crate::process::Log;
use crate::relays::{own_addresses, Relays};
use crate::scheduler::Scheduler;
use crate::watchdog::Watchdog;

/// The addresses at which schedulers reach workers, by the scheduler's index and the worker's name.
type WorkerAddresses = Rc<RefCell<BTreeMap<(usize, String), SocketAddr>>>;

/// Lets this process open as many descriptors as the system permits: many relays need many.
fn raise_descriptor_limit() {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let limit = Rlimit {
        current: maximum,
        maximum,
    };
    _ = setrlimit(Resource::Nofile, limit);
}

impl World {
    /// Builds a fleet, with its workers listed as ready and warm; no scheduler is started yet.
    ///
    /// # Errors
    /// Those of sockets and files, and where a program is not built.
    pub async fn new(setup: Setup) -> io::Result<World> {
        raise_descriptor_limit();
        let addresses = own_addresses();
        let folder = Folder::create(addresses.number)?;
        let watchdog = Rc::new(Watchdog::start()?);
        watchdog.folder(&folder.0);
        let history = History::default();
        let relays = Relays::new(addresses.others, setup.seed, history.clone());
        let worker_addresses = WorkerAddresses::default();
        let lookup = worker_addresses.clone();
        let discovery = FleetDiscovery::new(move |caller, worker| {
            lookup.borrow()[&(caller, worker.to_owned())]
        });
        let builder = Builder {
            setup: &setup,
            ip: addresses.others,
            folder: &folder,
            relays: &relays,
            discovery: &discovery,
        };
        let schedulers = builder.schedulers(addresses.schedulers).await?;
        let workers = builder.workers(&schedulers, &worker_addresses).await?;
        builder.list_workers(&workers);
        let began = now_us();
        history.event(DISCOVERY, format!("{}: all ready", discovery.number()));
        Ok(World {
            rng: fastrand::Rng::with_seed(setup.seed),
            setup,
            history,
            relays,
            discovery,
            workers,
            schedulers,
            began,
            drains: BTreeMap::new(),
            drained: BTreeMap::new(),
            down: Vec::new(),
            cut_off: BTreeMap::new(),
            starts: BTreeMap::new(),
            watchdog,
            folder,
        })
    }
}

/// A fleet that is being built.
struct Builder<'a> {
    setup: &'a Setup,
    /// The address of all but the schedulers.
    ip: IpAddr,
    folder: &'a Folder,
    relays: &'a Relays,
    discovery: &'a FleetDiscovery,
}

impl Builder<'_> {
    /// The schedulers with their addresses and relays, at ports of `ip`.
    async fn schedulers(&self, ip: IpAddr) -> io::Result<Vec<Scheduler>> {
        // Bound until all have a port. The ports stay free until the schedulers bind them: nobody else uses this
        // address.
        let reserved: Vec<TcpListener> = (0..self.setup.schedulers)
            .map(|_| TcpListener::bind((ip, 0)))
            .collect::<io::Result<_>>()?;
        let mut schedulers = Vec::new();
        for (n, reserved) in reserved.iter().enumerate() {
            let listen = reserved.local_addr()?;
            schedulers.push(self.scheduler(n, listen).await?);
        }
        Ok(schedulers)
    }

    async fn scheduler(&self, n: usize, listen: SocketAddr) -> io::Result<Scheduler> {
        let name = format!("s{n}");
        let front = self.relays.tcp(CLIENTS, &name, listen).await?;
        let serving = self.discovery.listen(n, self.ip).await?;
        let discovery = self.relays.tcp(&name, DISCOVERY, serving).await?;
        Ok(Scheduler {
            name,
            listen,
            front,
            discovery,
            cached: None,
            process: None,
            incarnations: Vec::new(),
            stops: Vec::new(),
            reloads: Vec::new(),
            log: Log::default(),
            call_faults: None,
        })
    }

    /// Starts the workers, and records the address of each for each scheduler.
    async fn workers(
        &self,
        schedulers: &[Scheduler],
        addresses: &WorkerAddresses,
    ) -> io::Result<Vec<(String, FleetWorker)>> {
        let mut workers = Vec::new();
        for n in 0..self.setup.workers {
            let name = format!("w{n}");
            let mut options = self.setup.worker.clone();
            if self.setup.durable {
                options.ledger = Some(self.folder.0.join(format!("{name}.ledger")));
            }
            let worker = FleetWorker::start(self.ip, options).await?;
            for (s, scheduler) in schedulers.iter().enumerate() {
                let at = if self.setup.relay_workers {
                    let relay = self.relays.tcp(&scheduler.name, &name, worker.address);
                    relay.await?
                } else {
                    worker.address
                };
                addresses.borrow_mut().insert((s, name.clone()), at);
            }
            workers.push((name, worker));
        }
        Ok(workers)
    }

    /// Lists all workers as ready.
    fn list_workers(&self, workers: &[(String, FleetWorker)]) {
        let deployment = &self.setup.deployment;
        self.discovery.set_format(deployment.list_format);
        self.discovery.change(|list| {
            for (n, (name, worker)) in workers.iter().enumerate() {
                // With leases a worker's memory of them begins with its start, just now; else it started long ago.
                let started_ms = if self.setup.durable {
                    worker.since_ms()
                } else {
                    0
                };
                let place = deployment.place(n);
                let entry = Endpoint {
                    lifecycle: "ready",
                    started_ms,
                    since: 0,
                    zone: place.zone,
                    cell: place.cell,
                    weight: 1.0,
                };
                list.insert(name.clone(), entry);
            }
        });
    }
}
