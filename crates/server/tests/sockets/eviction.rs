//! Which client connections are evicted when descriptors run out.

use std::io::{BufReader, Read, Write};
use std::sync::atomic::Ordering;

use oakshed_standin::*;

use super::descriptors;
use super::readiness::READY;
use super::requests::assert_all_served;

#[test]
fn idle_clients_are_evicted_when_descriptors_run_out() {
    let worker = good();
    let program = Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 64, &[]);
    let mut idle: Vec<_> = (0..60).map(|_| program.connect()).collect();
    idle[0].write_all(b"POST /tra").expect("failed to write");
    let mut last = program.connect();
    assert_eq!(
        send_on(&mut last, &request("transfer", "id-1")).status(),
        200
    );
    let open = descriptors(&program);
    assert!(open <= 64, "{open} descriptors");
}

/// Hundreds of connections that send nothing or a partial head, far more than the limits allow, must not displace jobs.
/// Every job comes on a new connection, and some take 2 s to be written.
#[test]
fn idle_connections_do_not_displace_slowly_written_jobs() {
    let worker = good();
    let program = Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 96, &[]);
    let (stop, at) = (std::sync::atomic::AtomicBool::new(false), program.address);
    std::thread::scope(|s| {
        s.spawn(|| {
            let mut idle = std::collections::VecDeque::new();
            for n in 0..3_000 {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let Ok(mut stream) = std::net::TcpStream::connect(at) else {
                    continue;
                };
                if n % 2 == 0 {
                    _ = stream.write_all(b"POST /transfer HTTP/1.1\r\nHo");
                }
                idle.push_back(stream);
                if idle.len() > 400 {
                    idle.pop_front();
                }
                std::thread::sleep(std::time::Duration::from_millis(2)); // about 500 per second
            }
        });
        let slow: Vec<_> = (0..4)
            .map(|n| {
                s.spawn(move || {
                    let text = request("transfer", &format!("slow-{n}"));
                    let mut stream = std::net::TcpStream::connect(at).expect("failed to connect");
                    stream
                        .set_read_timeout(Some(PATIENCE))
                        .expect("socket error");
                    for piece in text.as_bytes().chunks(text.len() / 19) {
                        stream.write_all(piece).expect("failed to write");
                        // Simulates a slow client.
                        std::thread::sleep(std::time::Duration::from_millis(100));
                    }
                    Message::read(&mut BufReader::new(stream))
                        .expect("no answer")
                        .status()
                })
            })
            .collect();
        assert_all_served(&program, "quick", 0..60);
        let slow: Vec<u16> = slow
            .into_iter()
            .map(|t| t.join().expect("the client panicked"))
            .collect();
        stop.store(true, Ordering::SeqCst);
        assert_eq!(slow, [200; 4]);
    });
}

/// A new client at the connection limit, where all others have sent a request before, must not be evicted for being the
/// only one that has not.
#[test]
fn new_client_has_time_for_its_request_at_the_connection_limit() {
    let worker = good();
    let program = Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 64, &[]);
    let mut clients: Vec<_> = (0..14).map(|_| program.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            send_on(client, &request("transfer", &format!("id-{n}"))).status(),
            200
        );
    }
    let mut new: Vec<_> = (0..8).map(|_| program.connect()).collect();
    for (n, client) in new.iter_mut().enumerate() {
        assert_eq!(
            send_on(client, &request("transfer", &format!("new-{n}"))).status(),
            200
        );
    }
    assert_eq!(
        clients[0].read(&mut [0]).map_or(0, |n| n),
        0,
        "the connection idle longest should be closed"
    );
}

/// Clients that send one request and stay connected must not use up the connections that the platform allows: it opens
/// connections for requests only up to a third of the descriptors.
#[test]
fn idle_connections_stay_within_their_share_of_descriptors() {
    let worker = good();
    let program = Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 96, &[]);
    let mut clients: Vec<_> = (0..30).map(|_| program.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            send_on(client, &request("transfer", &format!("id-{n}"))).status(),
            200
        );
    }
    // Longer than a connection must have been idle to be closed.
    std::thread::sleep(std::time::Duration::from_millis(300));
    assert_eq!(
        send_on(&mut clients[20], &request("transfer", "once-more")).status(),
        200
    );
    let limit = Some(std::time::Duration::from_secs(2));
    clients[0].set_read_timeout(limit).expect("socket error");
    assert_eq!(
        clients[0].read(&mut [0]).expect("no orderly close"),
        0,
        "24 of 32 connections should be kept, not this one"
    );
    assert_eq!(
        send_on(&mut clients[20], &request("transfer", "again")).status(),
        200
    );
}

/// Idle clients must leave descriptors for calls to discovery. It fails while they connect, so that each call needs a
/// new descriptor, and the process limit (`ulimit -n`) equals the configured one.
#[test]
fn descriptors_remain_for_discovery_and_new_clients() {
    for sockets in [64, 256] {
        let worker = good();
        let down = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
        let (list, is_down) = (
            Discovery::new(&[("s-1", worker.address)]).known(),
            down.clone(),
        );
        let discovery = Peer::new(move |_, stream| {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                list.len()
            );
            !is_down.load(Ordering::SeqCst) && stream.write_all(answer.as_bytes()).is_ok()
        });
        let path = config(discovery.address, "null", sockets);
        let limited = format!("ulimit -n {sockets} && exec \"$0\" serve");
        let mut command = std::process::Command::new("sh");
        command
            .args(["-c", &limited])
            .arg(Program::binary())
            .env("ROUTER_CONFIG", &path)
            .env_remove("TMPDIR");
        let mut program = Program::run(&mut command, path);
        let mut idle: Vec<_> = (0..2 * sockets).map(|_| program.connect()).collect();
        let calls = discovery.count();
        until("discovery calls despite idle clients", || {
            discovery.count() > calls + 1
        });
        idle.extend((0..sockets).map(|_| program.connect()));
        assert_eq!(program.send(READY).status(), 503);
        down.store(false, Ordering::SeqCst);
        until("the list", || program.send(READY).status() == 200);
        for n in 0..8 {
            idle.push(program.connect());
            assert_eq!(
                program
                    .send(&request("transfer", &format!("id-{n}")))
                    .status(),
                200
            );
        }
        program.signal("-TERM");
        assert_eq!(program.wait().code(), Some(0));
        assert!(
            !program.log().contains("accept failed"),
            "{}",
            program.log()
        );
        drop(idle);
    }
}
