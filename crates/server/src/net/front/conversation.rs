//! One client's connection from its first req to its end.
//!
//! It owns what hyper is told to do with it, and what is left to do once hyper is done. It must never close on
//! a req that has come, or wait without bound for one that has not.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::super::reader::{Reader, LONGEST_HEAD};
use super::super::{end_sending, Net};
use super::clients::{Client, Clients};
use super::handle::respond;

/// How long a connection that is to close is read once more.
const LAST_LOOK: Duration = Duration::from_millis(50);
/// How long a connection that is to close may stand without a req.
const CLOSE_WAIT: Duration = Duration::from_secs(1);
/// The most bytes that are still read from a client after an answer that closes.
const LINGER_BYTES: usize = 256 << 10;
/// The answer to what cannot be read.
const UNREADABLE: &[u8] = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// One connection from its first req to its last.
pub(super) async fn converse(
    net: &Rc<Net>,
    clients: &Clients,
    client: &Rc<Client>,
    stream: Rc<RefCell<TcpStream>>,
) {
    let service = service_fn(|request| async {
        let mut response = respond(net, client, request).await;
        if client.intake.last.get() || *net.handed.borrow() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        client.idle_since.set(Some(net.clock.now()));
        client.intake.answered();
        clients.keep_room(net.config.sockets, net.clock.now());
        Ok::<_, Infallible>(response)
    });
    let reader = TokioIo::new(Reader::new(stream, client.intake.clone()));
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .max_buf_size(LONGEST_HEAD)
        .serve_connection(reader, service);
    let mut connection = pin!(connection);
    let mut closing = net.closing.subscribe();
    loop {
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closing| *closing) => break,
            () = client.close.notified() => {
                let now = tokio::time::Instant::now();
                let comes = client.intake.part(now) == Some(true) && !client.intake.overdue(now);
                if client.idle_since.get().is_some() && !comes {
                    return;
                }
                // A req has come meanwhile, or begun to: another one is to make room.
                client.told_to_close.set(false);
                clients.changed.notify_one();
            }
        }
    }
    // Guards against closing on a req that has arrived but was not read yet: hyper closes a
    // connection without another look, and one accepted last has not been looked at once.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = tokio::time::sleep(LAST_LOOK) => {}
    }
    // Idle: it closes now. Busy: it closes after the answer, which says so.
    connection.as_mut().graceful_shutdown();
    // Guards against a client that has begun a req and never ends it: hyper would wait for it.
    while tokio::time::timeout(CLOSE_WAIT, connection.as_mut()).await.is_err() {
        if client.idle_since.get().is_some() {
            return;
        }
    }
}

/// What is left to do on a connection that hyper is done with: the answer to what cannot be read, of
/// which hyper knows nothing, and reading on for a moment after an answer that closes. The latter
/// guards against a reset, on which a client that still sends may throw the answer away.
pub(super) async fn part(net: &Net, client: &Client, stream: &TcpStream) {
    if client.intake.unreadable.get() {
        net.count(|c| &mut c.bad_reqs);
        _ = stream.writable().await;
        _ = stream.try_write(UNREADABLE);
    } else if !client.intake.last.get() {
        return;
    }
    _ = end_sending(stream);
    let mut buffer = vec![0; 16 << 10];
    let mut left = LINGER_BYTES;
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(n) if (1..left).contains(&n) => left -= n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}
