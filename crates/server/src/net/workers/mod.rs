//! The worker client: the table of workers with their addresses, and the pool of connections to them.
//!
//! - `attempt` sends a request over a `connection`; `stream_reader` reads the job stream that `stream` defines.
//! - `write_guard` checks each write immediately before it is made, with the help of `client` (is the client still
//!   connected?) and `deadline` (the remaining time sent to the worker).
//! - `probe` makes calls that start no job, and `fault` recognizes local causes of failed connections.
//!
//! New work goes only to workers that are listed as ready. This module does not depend on its callers, which follow
//! their attempts through `AttemptObserver`; of its sibling modules it uses the shared state, `forwarded_request`,
//! `answers` and the socket helpers.

mod attempt;
mod client;
mod connection;
mod deadline;
mod fault;
mod line_buffer;
mod probe;
mod stream;
mod stream_reader;
#[cfg(test)]
mod tests;
mod write_guard;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::counters::WorkerCounters;
use super::{Clock, Net};
use crate::list::UpdateKind;
use connection::{Socket, SocketSlot};
use oakshed_core::facade::{Condition, Entry, Micros, Settings, Span};

pub(crate) use attempt::{start_attempt, Attempt, AttemptDeadlines, AttemptObserver};
pub(crate) use client::ClientConnection;
pub(crate) use connection::{Connection, ConnectionError};
pub(crate) use probe::{call_lease_endpoint, probe};

/// The time limit for connecting if the settings have none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time in which a reduced idle limit doubles again, in microseconds.
const IDLE_LIMIT_DOUBLING_TIME: Micros = 20_000_000;
/// The lower bound of a reduced idle limit, in microseconds.
const MIN_IDLE_LIMIT: Micros = 10_000;
/// The interval between two checks for expired idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Workers that are not ready are removed from the table once they outnumber the ready ones by more than this.
const MAX_UNREADY: usize = 4_096;

struct Worker {
    address: SocketAddr,
    /// Whether the list names it, ready or not.
    listed: bool,
    ready: bool,
    /// Idle connections and the time since when they are idle, newest last.
    idle: Vec<(Micros, Connection)>,
}

/// An idle limit that was reduced after an idle connection was reset.
#[derive(Clone, Copy)]
struct ReducedIdleLimit {
    limit: Micros,
    reduced_at: Micros,
}

/// All workers that discovery has named, and the connections to them.
pub(crate) struct Workers {
    clock: Clock,
    /// The upper bound of the idle limit: half of the time after which the workers close idle connections.
    max_idle: Micros,
    connect_timeout: Duration,
    by_name: RefCell<FxHashMap<Rc<str>, Worker>>,
    /// The number of ready workers.
    ready: Cell<usize>,
    /// The number of sockets that are open or being opened.
    open_sockets: Rc<Cell<usize>>,
    /// The number of attempts that were written in full.
    written_attempts: Cell<u64>,
    /// The connections on which an update of the endpoint list may arrive.
    watches: RefCell<Vec<Rc<Socket>>>,
    /// `None` until an idle connection has been reset.
    reduced_idle_limit: Cell<Option<ReducedIdleLimit>>,
}

impl Workers {
    /// Creates an empty table.
    pub(super) fn new(clock: Clock, settings: &Settings) -> Workers {
        Workers {
            clock,
            max_idle: (settings.idle_close / 2).as_micros(),
            // Zero means that no limit is set, and as a time-out would make every connection fail.
            connect_timeout: match settings.connect_timeout {
                Span::ZERO => DEFAULT_CONNECT_TIMEOUT,
                limit => limit.as_duration(),
            },
            by_name: RefCell::default(),
            ready: Cell::new(0),
            open_sockets: Rc::default(),
            written_attempts: Cell::new(0),
            watches: RefCell::default(),
            reduced_idle_limit: Cell::new(None),
        }
    }

    /// Applies an update of the endpoint list. Workers that a snapshot does not name are no longer ready. The cost of a
    /// delta depends on its own length only, not on the number of workers.
    pub(crate) fn update<'a>(
        &self,
        kind: UpdateKind,
        list: impl Iterator<Item = (&'a Entry, SocketAddr)>,
    ) {
        let mut by_name = self.by_name.borrow_mut();
        let mut ready = self.ready.get();
        if kind == UpdateKind::Snapshot {
            for worker in by_name.values_mut() {
                worker.listed = false;
                worker.ready = false;
            }
            ready = 0;
        }
        for (entry, address) in list {
            let new = || Worker {
                address,
                listed: false,
                ready: false,
                idle: Vec::new(),
            };
            let worker = by_name.entry(entry.worker.clone()).or_insert_with(new);
            if worker.address != address {
                worker.idle.clear();
            }
            worker.address = address;
            worker.listed = entry.condition != Condition::Left;
            ready -= usize::from(worker.ready);
            worker.ready = entry.condition == Condition::Active;
            ready += usize::from(worker.ready);
            if !worker.ready {
                worker.idle.clear();
            }
        }
        if kind == UpdateKind::Snapshot {
            for worker in by_name.values_mut().filter(|worker| !worker.ready) {
                worker.idle.clear();
            }
        }
        self.ready.set(ready);
        // Bounds the table where machines are replaced over months, each with a new id.
        if by_name.len() > 2 * ready + MAX_UNREADY {
            by_name.retain(|_, worker| worker.ready);
        }
    }

    pub(crate) fn ready_count(&self) -> usize {
        self.ready.get()
    }

    /// Whether a ready worker's name satisfies the predicate.
    pub(crate) fn any_ready(&self, predicate: impl Fn(&str) -> bool) -> bool {
        self.by_name
            .borrow()
            .iter()
            .any(|(name, worker)| worker.ready && predicate(name))
    }

    /// Whether the endpoint list allows new work to be sent to a worker.
    pub(crate) fn is_ready(&self, name: &str) -> bool {
        self.ready_address(name).is_some()
    }

    /// The number of sockets to workers that are open or being opened.
    pub(crate) fn sockets(&self) -> usize {
        self.open_sockets.get()
    }

    /// The number of attempts whose requests were written in full, whatever their outcome.
    pub(crate) fn written_attempts(&self) -> u64 {
        self.written_attempts.get()
    }

    /// Registers a connection on which updates of the endpoint list arrive, until the returned guard is dropped.
    pub(crate) fn track_watch(&self, connection: &Connection) -> OpenWatch<'_> {
        connection.socket.has_unread_update.set(false);
        self.watches.borrow_mut().push(connection.socket.clone());
        OpenWatch(self, connection.socket.clone())
    }

    /// Whether an update of the endpoint list has arrived, or may have, that is not applied yet.
    fn has_unread_update(&self) -> bool {
        self.watches
            .borrow()
            .iter()
            .any(|s| s.has_unread_update.get() || s.may_have_unread_bytes())
    }

    /// The last known address of a worker, ready or not. New work must not be sent there.
    fn last_address(&self, name: &str) -> Option<SocketAddr> {
        self.by_name.borrow().get(name).map(|worker| worker.address)
    }

    /// The address of a worker if the list names it there, and no other one: an answer from there is this worker's.
    pub(crate) fn exclusive_address(&self, name: &str) -> Option<SocketAddr> {
        let by_name = self.by_name.borrow();
        let address = by_name.get(name)?.address;
        let mut at_address = by_name
            .iter()
            .filter(|(_, worker)| worker.listed && worker.address == address);
        let (listed_name, _) = at_address.next()?;
        (at_address.next().is_none() && **listed_name == *name).then_some(address)
    }

    fn ready_address(&self, name: &str) -> Option<SocketAddr> {
        self.by_name
            .borrow()
            .get(name)
            .filter(|worker| worker.ready)
            .map(|worker| worker.address)
    }

    /// Takes the newest idle connection to a worker that is still usable.
    fn take_idle(&self, counters: &WorkerCounters, name: &str) -> Option<Connection> {
        let mut by_name = self.by_name.borrow_mut();
        let worker = by_name.get_mut(name)?;
        while let Some((since, mut connection)) = worker.idle.pop() {
            let idle = self.clock.now().saturating_sub(since);
            if idle < self.idle_limit() && !connection.is_dead() && connection.sender.is_ready() {
                connection.idle = Some(idle);
                return Some(connection);
            }
            counters.dead_idle.increment();
        }
        None
    }

    /// Returns a connection to the pool, or closes it if the worker is no longer ready or has another address.
    fn put_back(&self, name: &str, connection: Connection) {
        if let Some(worker) = self
            .by_name
            .borrow_mut()
            .get_mut(name)
            .filter(|worker| worker.ready && worker.address == connection.address)
        {
            worker.idle.push((self.clock.now(), connection));
        }
    }

    /// Reserves a socket within the budget `limit`. If the budget is used up, the connection that has been idle for
    /// longest is closed to make room.
    fn reserve_slot(&self, limit: usize) -> Option<SocketSlot> {
        if self.open_sockets.get() >= limit && !self.close_longest_idle() {
            return None;
        }
        Some(SocketSlot::new(&self.open_sockets))
    }

    /// Closes the connection that has been idle for longest. Returns false if there is no idle connection.
    pub(crate) fn close_longest_idle(&self) -> bool {
        let mut by_name = self.by_name.borrow_mut();
        let oldest = by_name
            .values_mut()
            .filter(|worker| !worker.idle.is_empty())
            .min_by_key(|worker| worker.idle[0].0);
        oldest.map(|worker| worker.idle.remove(0)).is_some()
    }

    /// How long a connection may be idle and be used again, in microseconds: half of the time that workers allow, and
    /// less for a while after an idle connection was reset. A device on the path may forget connections sooner than the
    /// settings say, and a request written to such a connection cannot be repeated safely, so it may fail.
    fn idle_limit(&self) -> Micros {
        let Some(ReducedIdleLimit { limit, reduced_at }) = self.reduced_idle_limit.get() else {
            return self.max_idle;
        };
        let elapsed = self.clock.now().saturating_sub(reduced_at);
        let doublings = elapsed as f64 / IDLE_LIMIT_DOUBLING_TIME as f64;
        self.max_idle
            .min((limit as f64 * doublings.exp2()) as Micros)
    }

    /// Reduces the idle limit after a connection was reset that had been idle for this time.
    fn reduce_idle_limit(&self, idle: Micros) {
        let limit = self.idle_limit().min(idle) / 2;
        self.reduced_idle_limit.set(Some(ReducedIdleLimit {
            limit: limit.max(MIN_IDLE_LIMIT),
            reduced_at: self.clock.now(),
        }));
    }

    /// Closes the connections that have reached the idle limit or were closed by the worker.
    fn close_expired(&self) {
        let now = self.clock.now();
        let limit = self.idle_limit();
        for worker in self.by_name.borrow_mut().values_mut() {
            worker.idle.retain(|(since, connection)| {
                now < since + limit && !connection.sender.is_closed()
            });
        }
    }
}

/// A call for the endpoint list that is under way. It is dropped in the same poll of the task in which the answer is
/// applied.
pub(crate) struct OpenWatch<'a>(&'a Workers, Rc<Socket>);

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        self.0
            .watches
            .borrow_mut()
            .retain(|socket| !Rc::ptr_eq(socket, &self.1));
    }
}

/// The address of a worker, if new work may be sent there: it is listed as ready and not excluded by an operator.
fn eligible_address(net: &Net, to: &str) -> Option<SocketAddr> {
    net.workers
        .ready_address(to)
        .filter(|_| !net.facade.borrow().is_excluded(to))
}

/// Closes expired idle connections at regular intervals, for as long as the process runs.
pub(crate) async fn close_expired_connections(net: Rc<Net>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        net.workers.close_expired();
    }
}
