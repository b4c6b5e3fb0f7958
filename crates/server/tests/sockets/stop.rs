//! Shutdown: requests that still arrive are answered, and the process ends before SIGKILL.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use oakshed_standin::*;

use super::readiness::READY;
use super::{closed_without_reset, descriptors};

#[test]
fn sigterm_serves_for_a_while_answers_all_and_exits_with_0() {
    let (release, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let worker = Peer::new(move |message, stream| {
        if message.field("req-id") == Some("slow") {
            _ = gate.lock().unwrap().recv();
        }
        done(message, stream, "made")
    });
    let mut program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let (mut slow, mut reused, unused) = (program.connect(), program.connect(), program.connect());
    let mut partial = program.connect();
    partial.write_all(b"POST /tra").expect("failed to write");
    slow.write_all(request("transfer", "slow").as_bytes())
        .expect("failed to write");
    until("the slow attempt", || worker.count() == 1);
    program.signal("-TERM");
    until("the start of the shutdown", || {
        program.log().contains("shutdown requested")
    });
    assert_eq!(
        send_on(&mut reused, &request("transfer", "id-1")).status(),
        200
    );
    assert_eq!(
        program.send(&request("transfer", "id-2")).status(),
        200,
        "on a new connection"
    );
    until("the closing of connections", || {
        program.log().contains("closing")
    });
    assert_eq!(
        reused.read(&mut [0]).expect("no orderly close"),
        0,
        "idle connections should be closed"
    );
    release.send(()).expect("failed to release the worker");
    let answer =
        Message::read(&mut BufReader::new(&mut slow)).expect("no answer to the slow request");
    assert_eq!(
        (answer.status(), answer.field("connection")),
        (200, Some("close"))
    );
    assert_eq!(program.wait().code(), Some(0));
    drop((unused, partial));
}

/// A request that arrives late in a shutdown must be answered before SIGKILL instead of waiting for its deadline, at a
/// worker or for one. SIGKILL comes 3.7 s after SIGTERM where the longest deadline is over 3 s.
#[test]
fn late_requests_of_a_shutdown_are_answered_before_the_kill() {
    std::thread::scope(|s| {
        // A request arrives with its last byte, whenever it began.
        for (lifecycle, begun, expected, sent) in [
            ("ready", false, 502, 1),
            ("ready", true, 502, 1),
            ("draining", false, 503, 0),
        ] {
            s.spawn(move || {
                let worker = Peer::new(|_, _| true);
                let discovery = Discovery::new(&[("s-1", worker.address)]);
                let mut program = Program::start(&discovery);
                let mut client = program.connect();
                assert_eq!(send_on(&mut client, READY).status(), 200);
                discovery.set("s-1", lifecycle);
                until("the update", || {
                    (send_on(&mut client, READY).status() == 200) == (lifecycle == "ready")
                });
                let text = request("transfer", "id-1");
                let begun = if begun { text.len() - 2 } else { 0 };
                client
                    .write_all(&text.as_bytes()[..begun])
                    .expect("failed to write");
                let start = std::time::Instant::now();
                program.signal("-TERM");
                std::thread::sleep(std::time::Duration::from_secs(1));
                assert_eq!(send_on(&mut client, &text[begun..]).status(), expected);
                assert_eq!((worker.count(), program.wait().code()), (sent, Some(0)));
                assert!(
                    start.elapsed().as_millis() < 3_700,
                    "{lifecycle}: {:?}",
                    start.elapsed()
                );
            });
        }
    });
}

/// SIGKILL comes after 1.7 s where the longest deadline is 1 s. The shutdown must end by then despite a hanging worker,
/// a partial body, a client that does not read its answers and an idle client.
#[test]
fn shutdown_with_short_deadlines_ends_before_the_kill() {
    let worker = Peer::new(|message, stream| match message.field("req-id") {
        Some("hanging") => true,
        _ => done(message, stream, &"made ".repeat(8_000)),
    });
    let edits = [(r#""give-up-ms":5000"#, r#""give-up-ms":1000"#)];
    let mut program =
        Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 1024, &edits);
    let (mut not_reading, idle) = (program.connect(), program.connect());
    // More answers than the kernel buffers for a client that reads none.
    let all: String = (0..160)
        .map(|n| request("transfer", &format!("unread-{n}")))
        .collect();
    not_reading
        .write_all(all.as_bytes())
        .expect("failed to write");
    let mut before = 0;
    until("the end of the answers", || {
        std::thread::sleep(std::time::Duration::from_millis(300));
        std::mem::replace(&mut before, worker.count()) == worker.count()
    });
    assert!((1..160).contains(&before), "{before} answers are written");
    let (mut hanging, mut partial) = (program.connect(), program.connect());
    let text = request("transfer", "partial");
    partial
        .write_all(&text.as_bytes()[..text.len() - 2])
        .expect("failed to write");
    hanging
        .write_all(request("transfer", "hanging").as_bytes())
        .expect("failed to write");
    let start = std::time::Instant::now();
    program.signal("-TERM");
    let answer = Message::read(&mut BufReader::new(hanging))
        .expect("no answer")
        .status();
    assert!([502, 503].contains(&answer), "{answer}");
    assert_eq!(program.wait().code(), Some(0));
    assert!(start.elapsed().as_millis() < 1_700, "{:?}", start.elapsed());
    drop((partial, not_reading, idle));
}

#[test]
fn requests_arrived_before_connections_close_are_answered() {
    let worker = good();
    let mut program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let mut clients: Vec<_> = (0..20).map(|_| program.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            send_on(client, &request("transfer", &format!("first-{n}"))).status(),
            200
        );
    }
    program.signal("-TERM");
    until("the start of the shutdown", || {
        program.log().contains("shutdown requested")
    });
    // While the process is stopped, the kernel still completes connections and receives bytes for it. When it resumes,
    // the time to close connections has come.
    program.signal("-STOP");
    clients.extend((0..20).map(|_| program.connect()));
    for (n, client) in clients.iter_mut().enumerate() {
        client
            .write_all(request("transfer", &format!("last-{n}")).as_bytes())
            .expect("failed to write");
    }
    std::thread::sleep(std::time::Duration::from_secs(2));
    program.signal("-CONT");
    for client in &mut clients {
        assert_eq!(
            Message::read(&mut BufReader::new(client))
                .expect("no answer")
                .status(),
            200
        );
    }
    drop(clients);
    assert_eq!(program.wait().code(), Some(0));
}

/// A shutdown must not accept the whole accept queue at once, beyond its limit of descriptors.
#[test]
fn accept_queue_is_answered_within_the_descriptors_at_shutdown() {
    let worker = good();
    let mut program = Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 64, &[]);
    assert_eq!(program.send(&request("transfer", "first")).status(), 200);
    program.signal("-TERM");
    until("the start of the shutdown", || {
        program.log().contains("shutdown requested")
    });
    program.signal("-STOP");
    let mut clients: Vec<_> = (0..90).map(|_| program.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client
            .write_all(request("transfer", &format!("last-{n}")).as_bytes())
            .expect("failed to write");
    }
    // The time to close connections comes while the process is stopped.
    std::thread::sleep(std::time::Duration::from_secs(2));
    program.signal("-CONT");
    let max_descriptors = std::thread::scope(|s| {
        let answers = s.spawn(|| {
            let answer = |client| {
                Message::read(&mut BufReader::new(client))
                    .expect("no answer")
                    .status()
            };
            clients
                .into_iter()
                .map(answer)
                .all(|status| [200, 503].contains(&status))
        });
        let mut max_descriptors = 0;
        while !answers.is_finished() {
            max_descriptors = max_descriptors.max(descriptors(&program));
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        assert!(
            answers.join().expect("the thread panicked"),
            "not every request was answered"
        );
        max_descriptors
    });
    assert!(
        (1..=64).contains(&max_descriptors),
        "{max_descriptors} descriptors"
    );
    assert_eq!(program.wait().code(), Some(0));
}

/// Returns the time from SIGTERM to SIGKILL for a longest deadline in milliseconds.
fn time_to_kill(longest: u64) -> Duration {
    Duration::from_millis(longest.min(3_000) + 700)
}

/// Each request that was read gets one complete answer, and the process ends before SIGKILL, for deadlines from 50 ms
/// to 60 s. Meanwhile workers hang, clients send for as long as they can, and SIGHUP and a second SIGTERM arrive.
#[test]
fn shutdown_answers_all_before_the_kill_for_all_deadlines() {
    std::thread::scope(|s| {
        for longest in [50, 300, 3_000, 60_000] {
            for cancelling in ["true", "false"] {
                s.spawn(move || assert_stops_in_time(longest, cancelling));
            }
        }
    });
}

fn assert_stops_in_time(longest: u64, cancelling: &str) {
    let worker = Peer::new(|message, stream| match message.field("req-id") {
        Some(id) if id.starts_with("hanging") => true,
        _ => done(message, stream, "made"),
    });
    let deadline = format!(r#""give-up-ms":{longest}"#);
    let cancel = format!(r#""cancelling":{cancelling}"#);
    let edits = [
        (r#""give-up-ms":5000"#, &*deadline),
        (r#""cancelling":true"#, &*cancel),
    ];
    let mut program =
        Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 1024, &edits);
    let text = |id: &str| request("transfer", id).replace("Ms: 5000", &format!("Ms: {longest}"));
    let mut waiting: Vec<_> = (0..4).map(|_| program.connect()).collect();
    for (n, client) in waiting.iter_mut().enumerate() {
        client
            .write_all(text(&format!("hanging-{n}")).as_bytes())
            .expect("failed to write");
    }
    // The requests are at the worker, or their deadlines have passed.
    until("the attempts", || worker.count() >= 1);
    let start = Instant::now();
    program.signal("-HUP");
    program.signal("-TERM");
    let address = program.address;
    let unanswered = std::thread::scope(|s| {
        // Each client uses one connection after the other until no new one is accepted.
        let sending: Vec<_> = (0..6)
            .map(|n| {
                let text = &text;
                s.spawn(move || {
                    let mut unanswered = 0;
                    for round in 0.. {
                        let Ok(mut client) = TcpStream::connect(address) else {
                            return unanswered;
                        };
                        client
                            .set_read_timeout(Some(PATIENCE))
                            .expect("socket error");
                        let mut reader =
                            BufReader::new(client.try_clone().expect("failed to clone the socket"));
                        for again in 0.. {
                            let kind = if n % 2 == 0 { "hanging" } else { "made" };
                            let id = format!("{kind}-{n}-{round}-{again}");
                            if client.write_all(text(&id).as_bytes()).is_err() {
                                break;
                            }
                            // The connection may be closed just as a request is sent. Only one that is reset loses it.
                            let Some(answer) = Message::read(&mut reader) else {
                                unanswered += usize::from(!closed_without_reset(&client));
                                break;
                            };
                            assert!(
                                [200, 502, 503].contains(&answer.status()),
                                "{id}: {}",
                                answer.status()
                            );
                            if answer.field("connection") == Some("close") {
                                break;
                            }
                        }
                    }
                    unanswered
                })
            })
            .collect();
        std::thread::sleep(time_to_kill(longest) / 4);
        program.signal("-TERM");
        let answers = waiting
            .drain(..)
            .map(|client| Message::read(&mut BufReader::new(client)));
        let statuses: Vec<_> = answers
            .map(|answer| answer.expect("no answer").status())
            .collect();
        assert!(
            statuses.iter().all(|status| [502, 503].contains(status)),
            "{longest} ms: {statuses:?}"
        );
        assert_eq!(program.wait().code(), Some(0));
        let took = start.elapsed();
        assert!(
            took < time_to_kill(longest),
            "{longest} ms, cancelling {cancelling}: ended after {took:?}"
        );
        sending
            .into_iter()
            .map(|client| client.join().expect("the client panicked"))
            .sum::<usize>()
    });
    assert_eq!(
        unanswered, 0,
        "{longest} ms, cancelling {cancelling}: requests lost to resets"
    );
}
