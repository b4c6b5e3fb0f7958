//! Tests of what no socket test can reach: a request written in part, a connection that ends unseen.
//!
//! It owns the table and the connections it tests, on loopback ports. It must never need a backend's answer.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::Request;
use tokio::time::timeout;

use super::super::{Clock, Net};
use super::attempt::{size_of, Sent};
use super::link::Link;
use crate::config::Config;
use oakshed_core::facade::{Condition, Entry, Facade};

/// Guards against a cut-off request that counts as sent, which a transfer pays for with a failure, and
/// against one that counts as unsent though all of it was written, which would run it twice.
#[test]
fn a_request_written_in_part_is_known_from_one_written_in_full() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    socket2::SockRef::from(&listener).set_recv_buffer_size(4_096).expect("a small buffer");
    let address = listener.local_addr().expect("its address");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut link = Link::dial(address).await.expect("a connection");
        socket2::SockRef::from(&*link.socket.stream.borrow())
            .set_send_buffer_size(4_096)
            .expect("a small buffer");
        let (mut peer, _) = listener.accept().expect("accepted");
        let body = Bytes::from(vec![b'x'; 1 << 20]);
        let request = Request::post("/transfer").header(HOST, "x").header(CONTENT_LENGTH, body.len());
        let request = request.body(Full::new(body.clone())).expect("a request");
        let end = size_of(&request, body.len());
        let sent = Sent(RefCell::new(Some((link.socket.clone(), end))));
        let mut response = std::pin::pin!(link.sender.send_request(request));
        // The peer reads nothing: what the system takes comes to a stand.
        let mut last = 0;
        while last == 0 || link.socket.written.get() > last {
            last = link.socket.written.get();
            assert!(timeout(Duration::from_millis(100), response.as_mut()).await.is_err());
        }
        assert!(last < end && !sent.in_full(), "{last} of {end} bytes");
        std::thread::spawn(move || std::io::copy(&mut peer, &mut std::io::sink()));
        let start = std::time::Instant::now();
        while !sent.in_full() {
            assert!(start.elapsed() < Duration::from_secs(20), "never written in full");
            _ = timeout(Duration::from_millis(10), response.as_mut()).await;
        }
        assert_eq!(link.socket.written.get(), end, "it is as long as reckoned");
    });
}

/// A reused connection may have ended without hyper having been told yet: a transfer written to
/// it would be in doubt, and failed.
#[test]
fn a_connection_that_has_ended_is_noticed_before_hyper_is_told() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut link = Link::dial(address).await.expect("a connection");
        link.sender.ready().await.expect("ready");
        assert!(!link.is_dead());
        drop(listener.accept().expect("accepted"));
        // Nothing is awaited from here on, so that hyper has no chance to read.
        let start = std::time::Instant::now();
        while !link.is_dead() {
            assert!(start.elapsed() < Duration::from_secs(20), "its end was never noticed");
        }
        assert!(!link.sender.is_closed());
        let net = net();
        let (backend, condition) = ("s-1".into(), Condition::Active);
        let entry = Entry { backend, zone: 0, kind: 0, cell: 0, weight: 1.0, condition, online_since: 0 };
        net.backends.update(true, std::iter::once((&entry, address)));
        net.backends.put_back(&net, "s-1", link);
        assert!(net.backends.take_idle(&net, "s-1").is_none(), "it is used again");
        assert_eq!(net.counters.borrow().dead_idle, 1);
    });
}

/// What the parts share, without a listener or a task.
fn net() -> Rc<Net> {
    let path = oakshed_standin::config("127.0.0.1:9".parse().expect("an address"), "null", 1_024);
    let var = |name: &str| path.to_str().filter(|_| name == "ROUTER_CONFIG").map(str::to_owned);
    let config = Config::read(var, None);
    _ = std::fs::remove_file(&path);
    let config = config.expect("usable");
    let facade = Facade::new(config.settings.clone(), config.seed).expect("usable");
    Rc::new(Net::new(config, Clock::new(), facade, None))
}
