//! The network side of the program: sockets, HTTP and the platform's protocol, around the facade.
//!
//! This file owns `Net`, which holds the parts together; what a function needs of one part alone it is passed. `serve`
//! is the way of a start, `timer` the time of the decisions, `reload` and `shutdown` what follows a signal, `clock` and
//! `counters` what their names say. It must never decide on a request: each step comes from the facade, and what is
//! seen goes back to it.
//!
//! The parts use one another in one direction: `front` uses `durable` and `workers`, `durable` uses
//! `workers`, and `workers` neither. `answers` and `forwarded_request` are leaves: all three use them, and they
//! use none of the three. What an attempt has to say goes back through the trait `workers::AttemptObserver`.

mod admin;
mod answers;
mod clock;
mod counters;
pub mod workers;

pub mod discovery;
mod durable;
mod error;
mod exclusions;
mod forwarded_request;
pub mod front;
mod hot_restart;
mod peers;
mod reader;
mod reload;
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
use oakshed_core::facade::{Entry, Facade, ListKind, Observation, Step};
use oakshed_core::figures::RequestCounts;
pub use serve::serve;
use shutdown::Shutdown;
pub use transient::retry_at_start;

/// Descriptors for what is not a client or a worker: standard streams, the runtime's own, the
/// listener, discovery, and what is on its way from closed to gone.
const RESERVED_SOCKETS: usize = 32;
/// Where hardly any are left beside those, so many are for clients, and as many for workers.
const LEAST_SHARE: usize = 4;
/// Tells the other side that nothing more will come.
pub(crate) fn end_sending(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write)
}

/// The parts of the process, each of which owns what its name says.
pub(crate) struct Net {
    pub config: Config,
    pub clock: Clock,
    pub facade: RefCell<Facade>,
    pub workers: workers::Workers,
    pub discovery: discovery::DiscoveryState,
    pub shutdown: Shutdown,
    pub counters: Counters,
    /// What became of requests, for operators.
    pub request_counts: RequestCounts,
    /// The start is complete: requests may be served as far as the endpoint list allows.
    pub started: Cell<bool>,
    pub open_requests: Rc<forwarded_request::OpenRequests>,
    pub hot_restart: hot_restart::HotRestart,
    pub exclusions: exclusions::Exclusions,
    /// Durable jobs, where the operators have switched them on.
    pub durable: Option<durable::DurableJobs>,
    /// What schedulers share, where the operators have switched that on.
    pub peers: Option<peers::Peers>,
}

impl Net {
    fn new(
        config: Config,
        clock: Clock,
        facade: Facade,
        durable: Option<durable::DurableJobs>,
    ) -> Net {
        Net {
            clock,
            facade: RefCell::new(facade),
            workers: workers::Workers::new(clock, &config.settings),
            discovery: discovery::DiscoveryState::new(config.discovery),
            shutdown: Shutdown::new(clock),
            counters: Counters::default(),
            request_counts: RequestCounts::new(config.settings.classes.len()),
            started: Cell::new(false),
            open_requests: Rc::default(),
            hot_restart: hot_restart::HotRestart::default(),
            exclusions: exclusions::Exclusions::default(),
            durable,
            peers: None,
            config,
        }
    }

    pub(crate) fn report(&self, observation: Observation<'_>) {
        self.facade
            .borrow_mut()
            .report(self.clock.now(), observation);
    }

    /// Reports an endpoint list, with the wall clock by which its workers' starts are to be judged.
    pub(crate) fn report_list(&self, kind: ListKind, entries: &[Entry]) {
        self.report(Observation::WallClock(wall_clock()));
        self.report(Observation::List(kind, entries));
    }

    pub(crate) async fn next_step(&self, request: oakshed_core::facade::Handle) -> Step {
        poll_fn(|cx| self.facade.borrow_mut().poll_step(request, cx.waker())).await
    }

    /// Whether requests that come now can be served.
    pub(crate) fn can_serve(&self) -> bool {
        let facade = self.facade.borrow();
        self.started.get() && self.workers.any_ready(|name| !facade.is_excluded(name))
    }

    /// Descriptors for clients, and as many for workers. Two processes of this scheduler share them.
    pub(crate) fn socket_share(&self) -> usize {
        let operators = if self.config.admin.is_some() {
            admin::SOCKETS
        } else {
            0
        };
        let sockets = self.config.sockets / self.hot_restart.process_count();
        (sockets.saturating_sub(RESERVED_SOCKETS + operators) / 2).max(LEAST_SHARE)
    }
}
