//! The table of client connections, and the choice of those to evict.
//!
//! A connection is not evicted while a request on it is being processed, or while its response is written and makes
//! progress. The order among the others is in `eviction`. A connection whose request takes too long in all, or whose
//! response its client no longer waits for, is closed regardless.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use oakshed_core::facade::Micros;
use tokio::sync::Notify;

use super::super::connection_state::{ConnectionState, Eviction};
use super::super::Net;
use super::eviction::{Crowding, EvictionRank};

/// How long a new connection has to send its first request before it ranks first for eviction, and how long a used one
/// must have been idle before [`Clients::limit_idle`] closes it; in microseconds.
pub(super) const GRACE_PERIOD: Micros = 200_000;
/// How long a connection must have been idle to be closed when descriptors run out, in microseconds. Its client is
/// then unlikely to be about to use it.
pub(super) const IDLE_THRESHOLD: Micros = 1_000_000;
/// How many lingering connections may hold descriptors beyond the clients' share. These come out of the reserve for
/// connections that are being closed. Beyond this number, the oldest is closed early when a new connection needs its
/// place.
const LINGERING_ALLOWANCE: usize = 4;
/// For how long connections count as crowded after a new one had to wait for a place, in microseconds.
const CROWDED_PERIOD: Micros = 100_000;
/// The interval between two checks for overdue connections.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The state of a client's connection.
pub(super) struct Client {
    /// Since when no complete request has been in progress; `None` while one is.
    pub(super) idle_since: Cell<Option<Micros>>,
    /// Whether a complete request has ever arrived.
    pub(super) has_sent_request: Cell<bool>,
    /// Whether the connection has been asked to close, or is closing by itself.
    pub(super) close_requested: Cell<bool>,
    /// Since when the connection has been in its lingering close.
    pub(super) lingering_since: Cell<Option<Micros>>,
    /// Notifies the connection's task that it should close.
    pub(super) close: Notify,
    pub(super) state: Rc<ConnectionState>,
}

impl Client {
    fn request_close(&self) {
        self.close_requested.set(true);
        self.close.notify_one();
    }

    /// Asks the connection to close although its request still arrives, unless the rest of it has arrived by then.
    fn evict_slow(&self) {
        self.state.evicted.set(Eviction::SlowRequest);
        self.request_close();
    }

    /// Asks the connection to close although its client may still wait for the rest of the response.
    fn evict_stalled(&self) {
        self.state.evicted.set(Eviction::StalledResponse);
        self.request_close();
    }
}

/// All open client connections.
#[derive(Default)]
pub(super) struct Clients {
    pub(super) open: RefCell<Vec<Rc<Client>>>,
    /// Notified when a connection closes, begins to linger or declines its eviction.
    pub(super) changed: Notify,
    /// When new connections last had to wait for a place.
    last_crowded_at: Cell<Option<Micros>>,
}

impl Clients {
    /// Asks the connection that ranks first for eviction to close; returns whether there was one. Within a rank, the
    /// one that has been idle longest comes first.
    ///
    /// A connection is not a candidate while its request is being processed, or while its client still reads the
    /// response. The order prevents hundreds of clients that send nothing or partial requests from displacing ordinary
    /// ones. It also prevents the connection accepted last from being evicted every time.
    fn close_first_ranked(&self, now: Micros, share: usize) -> bool {
        let open = self.open.borrow();
        let remaining = || open.iter().filter(|c| !c.close_requested.get());
        let crowding = Crowding::of(remaining().map(Rc::as_ref), share);
        let ranked = |c: &Rc<Client>| {
            let since = c.idle_since.get()?;
            Some((crowding.rank(c, now, since)?, since))
        };
        let first = remaining()
            .filter_map(|c| Some((ranked(c)?, c)))
            .min_by_key(|(key, _)| *key);
        match first {
            Some(((EvictionRank::SlowRequest, _), client)) => client.evict_slow(),
            Some(((EvictionRank::StalledResponse, _), client)) => client.evict_stalled(),
            Some((_, client)) => client.request_close(),
            None => return false,
        }
        true
    }

    /// Asks the connection that has been idle longest to close, if that is longer than [`IDLE_THRESHOLD`]. Connections
    /// with a partial request or an unwritten response do not count as idle.
    pub(super) fn close_idle(&self, now: Micros) {
        let instant = tokio::time::Instant::now();
        let open = self.open.borrow();
        let remaining = open.iter().filter(|c| !c.close_requested.get());
        let inactive = remaining.filter(|c| c.state.transfer(instant).is_none());
        let idle = inactive.filter_map(|c| {
            Some((
                c.idle_since
                    .get()
                    .filter(|since| now > since + IDLE_THRESHOLD)?,
                c,
            ))
        });
        if let Some((_, client)) = idle.min_by_key(|(since, _)| *since) {
            client.request_close();
        }
    }

    /// Returns whether another connection may be accepted. If the open connections exhaust the share and the allowance
    /// for lingering ones, also tells the one that has lingered longest to close.
    pub(super) fn has_capacity(&self, share: usize) -> bool {
        let open = self.open.borrow();
        let lingering = || open.iter().filter(|c| c.lingering_since.get().is_some());
        let below_limit = open.len() < share + LINGERING_ALLOWANCE;
        if !below_limit {
            if let Some(oldest) = lingering().min_by_key(|c| c.lingering_since.get()) {
                oldest.close.notify_one();
            }
        }
        below_limit && open.len() - lingering().count() < share
    }

    /// Evicts one connection unless an earlier request to close is still pending; returns whether one was asked to
    /// close.
    pub(super) fn evict_one(&self, now: Micros, share: usize) -> bool {
        let is_closing =
            |c: &Rc<Client>| c.close_requested.get() && c.lingering_since.get().is_none();
        let close_pending = self.open.borrow().iter().any(is_closing);
        !close_pending && self.close_first_ranked(now, share)
    }

    /// Notes that new connections have to wait for a place.
    pub(super) fn on_crowded(&self, now: Micros) {
        self.last_crowded_at.set(Some(now));
    }

    /// Whether new connections had to wait for a place within [`CROWDED_PERIOD`].
    pub(super) fn is_crowded(&self, now: Micros) -> bool {
        let last = self.last_crowded_at.get();
        last.is_some_and(|at| now < at + CROWDED_PERIOD)
    }

    pub(super) async fn all_closed(&self) {
        while !self.open.borrow().is_empty() {
            self.changed.notified().await;
        }
    }

    /// Closes the longest-idle connection that has sent a request if there are too many of these: more than three
    /// quarters of a third of `sockets`. Prevents clients that send one request and stay connected from keeping others
    /// out: the platform opens connections for requests only up to a third of the descriptors, and turns ordinary
    /// clients away beyond that.
    pub(super) fn limit_idle(&self, sockets: usize, now: Micros) {
        let open = self.open.borrow();
        let used = || {
            open.iter()
                .filter(|c| c.has_sent_request.get() && !c.close_requested.get())
        };
        let limit = sockets / 3 * 3 / 4;
        if open.len() > limit && used().count() > limit {
            // The response to a request that was answered just now may not be written completely yet.
            let instant = tokio::time::Instant::now();
            let idle = used().filter(|c| c.state.transfer(instant).is_none());
            let idle = idle.filter_map(|c| {
                Some((
                    c.idle_since
                        .get()
                        .filter(|since| now > since + GRACE_PERIOD)?,
                    c,
                ))
            });
            if let Some((_, client)) = idle.min_by_key(|(since, _)| *since) {
                client.request_close();
            }
        }
    }
}

/// Periodically closes connections whose request takes too long to arrive, or whose client does not read the response
/// and no longer waits for it.
/// This includes connections on which nothing was ever sent, but not those that are idle between requests.
pub(super) async fn close_overdue(net: Rc<Net>, clients: Rc<Clients>) {
    loop {
        tokio::time::sleep(OVERDUE_CHECK_INTERVAL).await;
        let now = tokio::time::Instant::now();
        for client in clients
            .open
            .borrow()
            .iter()
            .filter(|c| !c.close_requested.get() && c.state.overdue(now))
        {
            net.counters.clients.overdue_requests.increment();
            client.request_close();
        }
    }
}
