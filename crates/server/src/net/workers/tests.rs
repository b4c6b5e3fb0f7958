//! Tests of cases that cannot be brought about from outside the process: a request written in part, a connection closed
//! before hyper notices, and a process paused between building a request and writing it.
//!
//! They use loopback sockets, and no test needs an answer of a worker.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::{Method, Request};
use oakshed_standin::{until, Message};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::super::executed_ids::ExecutedIds;
use super::super::forwarded_request::ForwardedRequest;
use super::super::{Clock, Net};
use super::attempt::{encoded_len, WriteProgress};
use super::client::{Cancellation, ClientConnection};
use super::connection::Connection;
use crate::config::Config;
use crate::list::UpdateKind;
use oakshed_core::facade::{Condition, Entry, Facade};

/// A partly written request that counted as sent would make a transfer fail without need; a complete one that counted
/// as unsent would be run twice.
#[test]
fn a_partly_written_request_is_distinguished_from_a_complete_one() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    socket2::SockRef::from(&listener)
        .set_recv_buffer_size(4_096)
        .expect("a small buffer");
    let address = listener.local_addr().expect("its address");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut connection = Connection::dial(address).await.expect("a connection");
        socket2::SockRef::from(&*connection.socket.stream.borrow())
            .set_send_buffer_size(4_096)
            .expect("a small buffer");
        let (mut peer, _) = listener.accept().expect("accepted");
        let body = Bytes::from(vec![b'x'; 1 << 20]);
        let request = Request::post("/transfer")
            .header(HOST, "x")
            .header(CONTENT_LENGTH, body.len());
        let request = request.body(Full::new(body.clone())).expect("a request");
        let end = encoded_len(&request, body.len());
        let progress = WriteProgress(RefCell::new(Some((connection.socket.clone(), end))));
        let mut response = std::pin::pin!(connection.sender.send_request(request));
        // The peer reads nothing, so that the socket buffers fill up and writing stops.
        let mut last = 0;
        while last == 0 || connection.socket.written.get() > last {
            last = connection.socket.written.get();
            assert!(timeout(Duration::from_millis(100), response.as_mut())
                .await
                .is_err());
        }
        assert!(
            last < end && !progress.is_complete(),
            "{last} of {end} bytes"
        );
        std::thread::spawn(move || std::io::copy(&mut peer, &mut std::io::sink()));
        let start = std::time::Instant::now();
        while !progress.is_complete() {
            assert!(
                start.elapsed() < Duration::from_secs(20),
                "never written in full"
            );
            _ = timeout(Duration::from_millis(10), response.as_mut()).await;
        }
        assert_eq!(connection.socket.written.get(), end, "the computed length");
    });
}

/// The peer may close an idle connection before hyper notices. A transfer written to it would be indeterminate, and so
/// fail.
#[test]
fn a_closed_connection_is_detected_before_hyper_knows() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut connection = Connection::dial(address).await.expect("a connection");
        connection.sender.ready().await.expect("ready");
        assert!(!connection.is_dead());
        drop(listener.accept().expect("accepted"));
        // Nothing is awaited from here on, so that hyper cannot read from the socket.
        let start = std::time::Instant::now();
        while !connection.is_dead() {
            assert!(
                start.elapsed() < Duration::from_secs(20),
                "the close was not detected"
            );
        }
        assert!(!connection.sender.is_closed());
        let net = net_with_worker(address);
        net.workers.put_back("s-1", connection);
        assert!(
            net.workers
                .take_idle(&net.counters.workers, "s-1")
                .is_none(),
            "a closed connection is reused"
        );
        assert_eq!(net.counters.workers.dead_idle.get(), 1);
    });
}

/// The server's shared state, without a listener or tasks.
fn net() -> Rc<Net> {
    let path = oakshed_standin::config("127.0.0.1:9".parse().expect("an address"), "null", 1_024);
    let var = |name: &str| {
        path.to_str()
            .filter(|_| name == "ROUTER_CONFIG")
            .map(str::to_owned)
    };
    let config = Config::read(var, None);
    _ = std::fs::remove_file(&path);
    let config = config.expect("usable");
    let facade = Facade::new(config.settings.clone(), config.seed).expect("usable");
    let clock = Clock::new();
    let executed_ids = ExecutedIds::new(config.memory);
    Rc::new(Net::new(config, clock, facade, executed_ids, None))
}

/// The same, with one worker in the endpoint list.
fn net_with_worker(address: SocketAddr) -> Rc<Net> {
    let net = net();
    let (worker, condition) = ("s-1".into(), Condition::Active);
    let entry = Entry {
        worker,
        zone: 0,
        kind: 0,
        cell: 0,
        weight: 1.0,
        condition,
        online_since: 0,
    };
    net.workers
        .update(UpdateKind::Snapshot, std::iter::once((&entry, address)));
    net
}

/// Runs a future on this thread, with a runtime of its own.
fn block_on_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// A request to a worker whose client waits for `wait` from now.
fn forwarded(net: &Net, wait: Duration) -> ForwardedRequest {
    let headers = HeaderMap::from_iter([(HOST, HeaderValue::from_static("x"))]);
    let (target, id) = (
        "/transfer".parse().expect("a path"),
        HeaderValue::from_static("id-1"),
    );
    let (method, body) = (Method::POST, Bytes::from_static(b"body"));
    let deadline = net.clock.now() + wait.as_micros() as u64;
    ForwardedRequest {
        method,
        target,
        headers,
        id,
        body,
        deadline,
        reservation: None,
    }
}

/// Builds a request, runs `pause` in place of a pause of the process, and sends the request. Returns whether it was
/// written.
async fn send_after_pause(
    net: &Rc<Net>,
    connection: &mut Connection,
    forwarded: &ForwardedRequest,
    cancellation: Cancellation,
    pause: impl FnOnce(),
) -> bool {
    let request = forwarded.request(net.clock.now()).expect("a request");
    let size = encoded_len(&request, forwarded.body.len());
    let job = Some((forwarded.deadline, Rc::new(cancellation)));
    let end = connection.guard_request(net, &"s-1".into(), size, forwarded.deadline, job);
    let response = connection.sender.send_request(request);
    pause();
    _ = timeout(Duration::from_millis(100), response).await; // no worker answers
    connection.socket.written.get() == end
}

/// The worker must be told the time that its client has left when the request is written, not when it was built.
#[test]
fn the_deadline_sent_is_what_is_left_as_the_head_is_written() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    block_on_local(async {
        let net = net_with_worker(address);
        // The value after the pause has as many digits as before, or fewer. The last request must begin 50 ms before its
        // deadline, so that its pause may end 50 ms late on a busy machine.
        for (wait, pause_ms) in [(5_000, 200), (1_100, 200), (130, 30)] {
            let mut connection = Connection::dial(address).await.expect("a connection");
            let (peer, _) = listener.accept().expect("accepted");
            let forwarded = forwarded(&net, Duration::from_millis(wait));
            let pause = || std::thread::sleep(Duration::from_millis(pause_ms));
            let left_before = forwarded.deadline - net.clock.now();
            assert!(
                send_after_pause(
                    &net,
                    &mut connection,
                    &forwarded,
                    Cancellation::default(),
                    pause
                )
                .await
            );
            let message = Message::read(&mut BufReader::new(peer)).expect("a request");
            let sent: u64 = message
                .field("req-deadline-ms")
                .expect("a deadline")
                .parse()
                .expect("a number");
            let most = left_before / 1_000 - pause_ms;
            assert!(sent <= most, "{sent} ms sent, {most} ms left of {wait}");
            assert_eq!(message.body, b"body");
        }
    });
}

/// Guards against an attempt that begins more than 0.1 s after its client has given up, because the process is paused
/// for 0.15 s right after it has checked the clock. With less than 50 ms left, nothing is begun.
#[test]
fn attempt_is_not_begun_if_a_pause_could_delay_its_write_beyond_the_grace() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    block_on_local(async {
        let net = net_with_worker(address);
        for (spent, begins) in [(0, true), (470, false)] {
            let mut connection = Connection::dial(address).await.expect("a connection");
            let forwarded = forwarded(&net, Duration::from_millis(500));
            let pause = || std::thread::sleep(Duration::from_millis(spent));
            let began = send_after_pause(
                &net,
                &mut connection,
                &forwarded,
                Cancellation::default(),
                pause,
            )
            .await;
            assert_eq!(began, begins, "after {spent} ms of 500");
        }
    });
}

/// The client may close its connection before the runtime notices; no attempt is begun for it then.
#[test]
fn nothing_is_written_for_a_client_that_disconnected_while_the_process_was_paused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let clients = TcpListener::bind("127.0.0.1:0").expect("a port");
    type Disconnect = fn(std::net::TcpStream);
    let cases: [(&str, Disconnect, bool); 6] = [
        ("stays", std::mem::forget, true),
        (
            "sends another request and stays",
            |mut client| {
                client.write_all(b"POST /").expect("written");
                std::mem::forget(client);
            },
            true,
        ),
        ("closes", drop, false),
        (
            "shuts down its sending side",
            |client| {
                client.shutdown(Shutdown::Write).expect("ended");
                std::mem::forget(client);
            },
            false,
        ),
        (
            "resets",
            |client| {
                socket2::SockRef::from(&client)
                    .set_linger(Some(Duration::ZERO))
                    .expect("set");
            },
            false,
        ),
        (
            "sends another request and closes",
            |mut client| client.write_all(b"POST /").expect("written"),
            false,
        ),
    ];
    block_on_local(async {
        let net = net_with_worker(address);
        for (name, disconnect, begins) in cases {
            let client = std::net::TcpStream::connect(clients.local_addr().expect("its address"))
                .expect("connected");
            let (accepted, _) = clients.accept().expect("accepted");
            accepted.set_nonblocking(true).expect("set");
            let stream = Rc::new(RefCell::new(
                TcpStream::from_std(accepted).expect("registered"),
            ));
            let cancellation = || Cancellation::new(Some(ClientConnection::new(&stream)));
            let mut connection = Connection::dial(address).await.expect("a connection");
            let (mut peer, _) = listener.accept().expect("accepted");
            let forwarded = forwarded(&net, Duration::from_secs(5));
            let pause = || {
                disconnect(client);
                until(name, || cancellation().is_cancelled() != begins);
            };
            let began =
                send_after_pause(&net, &mut connection, &forwarded, cancellation(), pause).await;
            drop(connection);
            // On another thread, because this one has to close the connection.
            let received = tokio::task::spawn_blocking(move || {
                let mut received = Vec::new();
                peer.read_to_end(&mut received).expect("the end of stream");
                received
            });
            let received = received.await.expect("read");
            assert_eq!(
                (began, !received.is_empty()),
                (begins, begins),
                "a client that {name}"
            );
        }
    });
}
