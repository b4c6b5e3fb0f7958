//! Accepts client connections and serves the requests on them.
//!
//! This file binds the listener and runs the accept loop, up to the limit on open connections and through a shutdown
//! or a hot restart; `run` returns only once every connection has closed. Backing off after accept errors is in
//! `accept`, eviction in `clients`, serving one connection in `connection` and closing it in `lingering_close`. A
//! request is parsed in `request` and answered in `handle`. What happens to a request is the scheduler's decision,
//! which this module only carries out.

mod accept;
mod body;
mod clients;
mod connection;
mod eviction;
mod handle;
mod lingering_close;
mod request;
mod takeover;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::connection_state::ConnectionState;
use super::error::ListenError;
use super::transient::retry_at_start;
use super::Net;
use accept::AcceptBackoff;
use clients::{close_overdue, Client, Clients};
use connection::{final_response, serve_connection};
pub(crate) use lingering_close::lingering_close;
use takeover::Acceptor;

/// The most established connections that the kernel queues for accept.
const LISTEN_BACKLOG: u32 = 1_024;
/// The longest interval between two checks for capacity while the limit on connections is reached.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Binds and listens on `address`. With `shared`, the successor in a hot restart can bind it too (`SO_REUSEPORT`).
pub(crate) fn listen(address: SocketAddr, shared: bool) -> Result<TcpListener, ListenError> {
    let bind = || {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        }?;
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(shared)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    retry_at_start(bind).map_err(|error| ListenError { address, error })
}

/// Accepts and serves connections until the process shuts down or hands over to its successor, then waits until
/// all connections have closed.
pub(crate) async fn run(net: &Rc<Net>, listener: TcpListener) {
    let clients = Rc::new(Clients::default());
    tokio::task::spawn_local(close_overdue(net.clone(), clients.clone()));
    let mut closing = net.shutdown.closing.subscribe();
    let mut closing = pin!(closing.wait_for(|closing| *closing));
    let mut handed_over = net.shutdown.handed_over.subscribe();
    let mut handed_over = pin!(handed_over.wait_for(|handed_over| *handed_over));
    let mut backoff = AcceptBackoff::default();
    let mut acceptor = Acceptor::default();
    loop {
        // At the limit, nothing is accepted until a connection has closed or been evicted.
        while !clients.has_capacity(net.client_share()) {
            clients.on_crowded(net.clock.now());
            if clients.evict_one(net.clock.now(), net.client_share()) {
                net.counters.clients.evicted.increment();
            }
            tokio::select! {
                () = clients.changed.notified() => {}
                () = tokio::time::sleep(CAPACITY_CHECK_INTERVAL) => {}
            }
        }
        let accepted = tokio::select! {
            accepted = acceptor.accept(net, &listener) => accepted,
            _ = &mut closing => break,
            // The successor accepts from the same queue, so the queue is not drained here.
            _ = &mut handed_over => {
                drop(listener);
                net.hot_restart.drop_listener();
                return clients.all_closed().await;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                backoff.reset();
                spawn_connection(net, &clients, stream);
            }
            Err(e) => backoff.on_error(net, &clients, &e).await,
        }
    }
    accept_queued(net, &clients, &listener, backoff).await;
    drop(listener);
    net.hot_restart.drop_listener();
    clients.all_closed().await;
}

/// Drains the listen queue in a shutdown, as queued connections may already carry requests. The queue may hold up to
/// [`LISTEN_BACKLOG`] connections, more than there are descriptors for; the rest are accepted as open ones close. An
/// accept error does not end the loop, since good connections may be queued behind the failed one.
async fn accept_queued(
    net: &Rc<Net>,
    clients: &Rc<Clients>,
    listener: &TcpListener,
    mut backoff: AcceptBackoff,
) {
    while net
        .shutdown
        .last_answer_at()
        .is_none_or(|last| Instant::now() < last)
    {
        match tokio::time::timeout(Duration::ZERO, listener.accept()).await {
            Ok(Ok((stream, _))) => {
                backoff.reset();
                spawn_connection(net, clients, stream);
                while !clients.has_capacity(net.client_share()) {
                    clients.changed.notified().await;
                }
            }
            Ok(Err(e)) => backoff.on_error(net, clients, &e).await,
            // Timed out: the queue is empty.
            Err(_) => return,
        }
    }
}

/// Registers an accepted connection and serves it on a task of its own, up to its close.
fn spawn_connection(net: &Rc<Net>, clients: &Rc<Clients>, stream: TcpStream) {
    _ = stream.set_nodelay(true);
    let client = Rc::new(Client {
        idle_since: Cell::new(Some(net.clock.now())),
        has_sent_request: Cell::new(false),
        close_requested: Cell::new(false),
        lingering_since: Cell::new(None),
        close: Notify::new(),
        state: Rc::new(ConnectionState::new()),
    });
    clients.open.borrow_mut().push(client.clone());
    let net = net.clone();
    let clients = clients.clone();
    tokio::task::spawn_local(async move {
        let stream = Rc::new(RefCell::new(stream));
        serve_connection(&net, &clients, &client, stream.clone()).await;
        client.close_requested.set(true);
        client.lingering_since.set(Some(net.clock.now()));
        clients.changed.notify_one();
        if let Some(stream) = Rc::into_inner(stream).map(RefCell::into_inner) {
            tokio::select! {
                biased;
                () = lingering_close(&stream, final_response(&client), net.shutdown.exit_deadline()) => {}
                () = client.close.notified() => {}
            }
        }
        clients
            .open
            .borrow_mut()
            .retain(|c| !Rc::ptr_eq(c, &client));
        clients.changed.notify_one();
    });
}
