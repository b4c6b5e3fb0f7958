//! Serves the requests on one client connection and decides when the connection ends.
//!
//! hyper reads the requests through a [`Reader`], which passes them on one at a time. An eviction is declined, and a
//! shutdown waits, where closing the connection would cut off a request that has arrived, even in part, or a response.
//! The wait for a request that is still arriving is bounded. The close itself is in `lingering_close`.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Body;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::super::connection_state::Eviction;
use super::super::memory::Holder;
use super::super::reader::{Reader, MAX_HEAD_BYTES};
use super::super::transient::{is_transient, peek};
use super::super::workers::ClientConnection;
use super::super::Net;
use super::clients::{Client, Clients};
use super::handle::respond;

/// In a shutdown, how long a connection is served on before each check whether it can close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The response to an accepted request that is still unanswered when its connection ends.
const BAD_GATEWAY: &[u8] =
    b"HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// The responses to an unanswered request and to malformed input that follows it.
const BAD_GATEWAY_THEN_BAD_REQUEST: &[u8] =
    b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n\
    HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// The response to malformed input.
const BAD_REQUEST: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Serves a connection until its client ends it, it is evicted, or the process shuts down. Counts a response that the
/// end cuts off.
pub(super) async fn serve_connection(
    net: &Rc<Net>,
    clients: &Clients,
    client: &Rc<Client>,
    stream: Rc<RefCell<TcpStream>>,
) {
    let client_connection = ClientConnection::new(&stream);
    let service = service_fn(|request| async {
        let mut response = respond(net, clients, client, &client_connection, request).await;
        let size = response.body().size_hint().lower() as usize;
        client
            .state
            .charge_response(net.memory.charge(Holder::Responses, size));
        if client.state.close_after_response.get()
            || net.shutdown.has_handed_over()
            || net.shutdown.is_closing()
        {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        client.idle_since.set(Some(net.clock.now()));
        client.state.answered();
        clients.limit_idle(net.config.sockets, net.clock.now());
        Ok::<_, Infallible>(response)
    });
    let reader = TokioIo::new(Reader::new(
        stream.clone(),
        client.state.clone(),
        &net.memory,
    ));
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(reader, service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => Some(result),
        cause = close_cause(net, clients, client, &stream) => match cause {
            CloseCause::Requested => None,
            CloseCause::Shutdown => finish_in_shutdown(net, client, &stream, connection).await,
        },
    };
    match result {
        Some(result) => count_malformed(net, client, result),
        None if client.state.has_pending_response() => {
            net.counters.clients.unfinished_responses.increment();
        }
        None => {}
    }
}

/// Why the server closes a connection.
enum CloseCause {
    /// It was asked to close, and no request or response would be cut off.
    Requested,
    /// The process is shutting down.
    Shutdown,
}

/// Waits until the server has to close the connection.
async fn close_cause(
    net: &Net,
    clients: &Clients,
    client: &Client,
    stream: &Rc<RefCell<TcpStream>>,
) -> CloseCause {
    let mut closing = net.shutdown.closing.subscribe();
    loop {
        tokio::select! {
            biased;
            _ = closing.wait_for(|closing| *closing) => return CloseCause::Shutdown,
            () = client.close.notified() => {}
        }
        if can_close(client, stream) {
            return CloseCause::Requested;
        }
        // A request has arrived meanwhile, at least in part, so another connection has to be chosen.
        client.state.evicted.set(Eviction::None);
        client.close_requested.set(false);
        clients.changed.notify_one();
    }
}

/// Serves a connection in a shutdown until it can close; returns hyper's result if the connection ended by itself.
///
/// Prevents the close from cutting off a request that has arrived but was not read yet (a connection accepted last has
/// never been read), one that is still arriving, and a response for which the client waits. These may go on until the
/// time of the last answer; a request that is being processed has its own deadline.
async fn finish_in_shutdown<C: Future<Output = hyper::Result<()>>>(
    net: &Net,
    client: &Client,
    stream: &Rc<RefCell<TcpStream>>,
    mut connection: Pin<&mut C>,
) -> Option<hyper::Result<()>> {
    loop {
        tokio::select! {
            biased;
            result = connection.as_mut() => return Some(result),
            () = tokio::time::sleep(CLOSE_CHECK_INTERVAL) => {}
        }
        let last_answer = net.shutdown.last_answer_at();
        let past_last_answer = last_answer.is_none_or(|last| Instant::now() >= last);
        if can_close(client, stream) || past_last_answer && client.idle_since.get().is_some() {
            return None;
        }
    }
}

/// Returns whether the connection can close without cutting off a request or response. The runtime's view of the socket
/// is as old as its last poll, so the system is asked whether bytes have arrived since. Overdue requests and responses
/// do not keep the connection open, nor does an unanswered request once malformed input has waited too long behind it.
fn can_close(client: &Client, stream: &Rc<RefCell<TcpStream>>) -> bool {
    let now = Instant::now();
    if client.state.malformed_overdue(now) {
        return true;
    }
    // After a transient error, bytes may have arrived.
    let may_have_unread_bytes = || match peek(&stream.borrow()) {
        Ok(unread) => unread > 0,
        Err(error) => is_transient(&error),
    };
    client.idle_since.get().is_some()
        && (client.state.overdue(now)
            || client.state.is_eviction_due(now, may_have_unread_bytes())
            || client.state.transfer(now) != Some(true) && !may_have_unread_bytes())
}

/// Counts malformed input, whether the reader or hyper detected it. hyper itself responds to what it detects.
fn count_malformed(net: &Net, client: &Client, result: hyper::Result<()>) {
    if client.state.is_malformed() || result.is_err_and(|e| e.is_parse()) {
        net.counters.clients.bad_requests.increment();
    }
}

/// Returns the bytes to write on a connection that hyper has finished with: a response to the request that is still
/// unanswered, because its client shut down its sending side or malformed input followed, and a response to malformed
/// input. A client that has closed the connection ignores both.
pub(super) fn final_response(client: &Client) -> &'static [u8] {
    let unanswered = client.idle_since.get().is_none();
    if unanswered && client.state.is_malformed() {
        return BAD_GATEWAY_THEN_BAD_REQUEST;
    }
    if unanswered {
        return BAD_GATEWAY;
    }
    if client.state.is_rejected() {
        return BAD_REQUEST;
    }
    b""
}
