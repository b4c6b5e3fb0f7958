//! The network layer of the scheduler: sockets, HTTP and the platform's protocol, around the core's [`Facade`].
//!
//! All decisions are made by the facade; this layer carries out its steps and reports back what it observes. `Net`
//! holds the state of the submodules. `serve` starts the process, `timer` runs the facade's timer, and `reload` and
//! `shutdown` handle signals.
//!
//! Dependencies between the submodules are acyclic: `front` uses `durable` and `workers`, and `durable` uses `workers`.
//! All three use `answers` and `forwarded_request`, which use none of them. Attempts report their events through the
//! trait `workers::AttemptObserver`.

mod admin;
mod answers;
mod clock;
mod coalesce;
mod collect_body;
mod connection_state;
mod counters;
pub mod workers;

pub mod discovery;
mod durable;
mod error;
mod exclusions;
mod executed_ids;
mod forwarded_request;
pub mod front;
mod hot_restart;
mod memory;
mod peers;
mod reader;
mod reload;
mod request_error;
mod serve;
mod shutdown;
mod timer;
mod transient;

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;

use tokio::net::TcpStream;

use crate::config::Config;
pub(crate) use clock::{wall_clock, Clock};
use counters::Counters;
pub use error::{ListenError, ServeError};
use oakshed_core::facade::{Entry, Facade, ListKind, Micros, Observation, Step};
use oakshed_core::figures::RequestCounts;
pub use serve::serve;
use shutdown::Shutdown;
pub use transient::retry_at_start;

/// File descriptors reserved for uses other than client and worker connections: standard streams, the runtime, the
/// listener, discovery, and connections that are being closed.
const RESERVED_SOCKETS: usize = 32;
/// The fewest file descriptors for clients, and for workers, however low the limit is.
const MIN_SOCKET_SHARE: usize = 4;

/// Shuts down the sending side of a connection.
pub(crate) fn shutdown_write(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write)
}

/// The shared state of the process.
pub(crate) struct Net {
    pub config: Config,
    pub clock: Clock,
    pub facade: RefCell<Facade>,
    pub workers: workers::Workers,
    pub discovery: discovery::DiscoveryState,
    pub shutdown: Shutdown,
    pub counters: Counters,
    pub memory: Rc<memory::Memory>,
    /// Counts of requests by outcome, for the metrics.
    pub request_counts: RequestCounts,
    /// Startup is complete: requests may be served if the endpoint list has ready workers.
    pub started: Cell<bool>,
    pub open_requests: Rc<forwarded_request::OpenRequests>,
    pub hot_restart: hot_restart::HotRestart,
    pub executed_ids: Rc<executed_ids::ExecutedIds>,
    pub exclusions: exclusions::Exclusions,
    /// Durable jobs, if operators have enabled them.
    pub durable: Option<durable::DurableJobs>,
    /// The exchange of state with other schedulers, if operators have enabled it.
    pub peers: Option<peers::Peers>,
}

impl Net {
    fn new(
        config: Config,
        clock: Clock,
        facade: Facade,
        executed_ids: Rc<executed_ids::ExecutedIds>,
        durable: Option<durable::DurableJobs>,
    ) -> Net {
        // A process that has a list spreads its first call over a quarter only.
        let first_call_jitter = match config.cached_list {
            Some(_) => config.settings.poll_quarter().as_micros(),
            None => Micros::MAX,
        };
        Net {
            clock,
            workers: workers::Workers::new(clock, &config.settings),
            discovery: discovery::DiscoveryState::new(
                config.discovery,
                &config.settings,
                facade.poll_jitter().min(first_call_jitter),
            ),
            shutdown: Shutdown::new(clock),
            counters: Counters::default(),
            memory: memory::Memory::new(config.memory, config.settings.classes.len()),
            request_counts: RequestCounts::new(config.settings.classes.len()),
            started: Cell::new(false),
            open_requests: Rc::default(),
            hot_restart: hot_restart::HotRestart::default(),
            executed_ids,
            exclusions: exclusions::Exclusions::default(),
            durable,
            peers: None,
            facade: RefCell::new(facade),
            config,
        }
    }

    /// Reports an observation to the facade.
    pub(crate) fn report(&self, observation: Observation<'_>) {
        self.facade
            .borrow_mut()
            .report(self.clock.now(), observation);
    }

    /// Reports an endpoint list, preceded by the wall-clock time against which the start times in it are compared.
    pub(crate) fn report_list(&self, kind: ListKind, entries: &[Entry]) {
        self.report(Observation::WallClock(wall_clock()));
        self.report(Observation::List(kind, entries));
    }

    /// Waits for the next step of a request.
    pub(crate) async fn next_step(&self, request: oakshed_core::facade::Handle) -> Step {
        poll_fn(|cx| self.facade.borrow_mut().poll_step(request, cx.waker())).await
    }

    /// Whether a request that arrived now could be served.
    pub(crate) fn can_serve(&self) -> bool {
        let facade = self.facade.borrow();
        self.started.get() && self.workers.any_ready(|name| !facade.is_excluded(name))
    }

    /// Whether clients may be sent here: requests can be served, or a start has waited for the endpoint list for as long
    /// as it may, and rejects them.
    pub(crate) fn is_ready(&self) -> bool {
        self.can_serve() || self.started.get() && self.discovery.has_reached_ready_limit()
    }

    /// The most client connections, by descriptors and by memory.
    pub(crate) fn client_share(&self) -> usize {
        let limit = self.memory.client_connection_limit();
        self.socket_share().min(limit).max(MIN_SOCKET_SHARE)
    }

    /// The most connections to workers, by descriptors and by memory.
    pub(crate) fn worker_share(&self) -> usize {
        let limit = self.memory.worker_connection_limit();
        self.socket_share().min(limit).max(MIN_SOCKET_SHARE)
    }

    /// The number of file descriptors for clients, and for workers. During a hot restart the processes share the limit.
    fn socket_share(&self) -> usize {
        let admin_sockets = if self.config.admin.is_some() {
            admin::MAX_SOCKETS
        } else {
            0
        };
        let sockets = self.config.sockets / self.hot_restart.process_count();
        (sockets.saturating_sub(RESERVED_SOCKETS + admin_sockets) / 2).max(MIN_SOCKET_SHARE)
    }
}
