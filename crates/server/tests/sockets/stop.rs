//! A stop in order: what arrives late is answered still.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use oakshed_standin::*;

use super::readiness::READY;
use super::{closed_without_reset, descriptors};

#[test]
fn sigterm_serves_on_for_a_while_answers_all_and_exits_with_0() {
    let (open, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let worker = Peer::new(move |message, stream| {
        if message.field("req-id") == Some("slow") {
            _ = gate.lock().unwrap().recv();
        }
        done(message, stream, "made")
    });
    let mut program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let (mut slow, mut reused, unused) = (program.connect(), program.connect(), program.connect());
    let mut half = program.connect();
    half.write_all(b"POST /tra").expect("half a head");
    slow.write_all(request("transfer", "slow").as_bytes())
        .expect("written");
    until("the slow attempt", || worker.count() == 1);
    program.signal("-TERM");
    until("the signal", || {
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
    until("the closing", || program.log().contains("closing"));
    assert_eq!(
        reused.read(&mut [0]).expect("an end"),
        0,
        "idle connections are closed"
    );
    open.send(()).expect("released");
    let answer = Message::read(&mut BufReader::new(&mut slow)).expect("the slow answer");
    assert_eq!(
        (answer.status(), answer.field("connection")),
        (200, Some("close"))
    );
    assert_eq!(program.wait().code(), Some(0));
    drop((unused, half));
}

/// Guards against a request taken late in a stop that waits for its deadline, at a worker or for one, when
/// SIGKILL comes first (3.7 s after SIGTERM, as the longest deadline is over 3 s).
#[test]
fn late_requests_of_a_shutdown_are_answered_before_the_kill() {
    std::thread::scope(|s| {
        // One whose last byte comes late has arrived late, whenever it began.
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
                client.write_all(&text.as_bytes()[..begun]).expect("begun");
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

/// Guards against a stop that takes longer than short deadlines leave (1.7 s with 1 s): with a hanging worker, half
/// a body, a client that takes none of its answers, and one that rests until the end.
#[test]
fn shutdown_with_short_deadlines_ends_before_the_kill() {
    let worker = Peer::new(|message, stream| match message.field("req-id") {
        Some("hangs") => true,
        _ => done(message, stream, &"made ".repeat(8_000)),
    });
    let edits = [(r#""give-up-ms":5000"#, r#""give-up-ms":1000"#)];
    let mut program =
        Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 1024, &edits);
    let (mut greedy, resting) = (program.connect(), program.connect());
    // More answers than the system holds for a client that reads none.
    let all: String = (0..160)
        .map(|n| request("transfer", &format!("untaken-{n}")))
        .collect();
    greedy.write_all(all.as_bytes()).expect("written");
    let mut before = 0;
    until("no answer more", || {
        std::thread::sleep(std::time::Duration::from_millis(300));
        std::mem::replace(&mut before, worker.count()) == worker.count()
    });
    assert!((1..160).contains(&before), "{before} answers are written");
    let (mut hangs, mut half) = (program.connect(), program.connect());
    let text = request("transfer", "half");
    half.write_all(&text.as_bytes()[..text.len() - 2])
        .expect("half of it");
    hangs
        .write_all(request("transfer", "hangs").as_bytes())
        .expect("written");
    let start = std::time::Instant::now();
    program.signal("-TERM");
    let answer = Message::read(&mut BufReader::new(hangs))
        .expect("an answer")
        .status();
    assert!([502, 503].contains(&answer), "{answer}");
    assert_eq!(program.wait().code(), Some(0));
    assert!(start.elapsed().as_millis() < 1_700, "{:?}", start.elapsed());
    drop((half, greedy, resting));
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
    until("the signal", || {
        program.log().contains("shutdown requested")
    });
    // It gets no time on its core, while the system still accepts and takes bytes for it. When it
    // goes on, it is to close already.
    program.signal("-STOP");
    clients.extend((0..20).map(|_| program.connect()));
    for (n, client) in clients.iter_mut().enumerate() {
        client
            .write_all(request("transfer", &format!("last-{n}")).as_bytes())
            .expect("written");
    }
    std::thread::sleep(std::time::Duration::from_secs(2));
    program.signal("-CONT");
    for client in &mut clients {
        assert_eq!(
            Message::read(&mut BufReader::new(client))
                .expect("an answer")
                .status(),
            200
        );
    }
    drop(clients);
    assert_eq!(program.wait().code(), Some(0));
}

/// Guards against a stop that takes all that waits to be accepted at once, whatever it may hold.
#[test]
fn accept_queue_is_answered_within_the_descriptors_at_shutdown() {
    let worker = good();
    let mut program = Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 64, &[]);
    assert_eq!(program.send(&request("transfer", "first")).status(), 200);
    program.signal("-TERM");
    until("the signal", || {
        program.log().contains("shutdown requested")
    });
    program.signal("-STOP");
    let mut clients: Vec<_> = (0..90).map(|_| program.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client
            .write_all(request("transfer", &format!("last-{n}")).as_bytes())
            .expect("written");
    }
    std::thread::sleep(std::time::Duration::from_secs(2)); // it is to close when it goes on
    program.signal("-CONT");
    let most = std::thread::scope(|s| {
        let answers = s.spawn(|| {
            let answer = |client| {
                Message::read(&mut BufReader::new(client))
                    .expect("an answer")
                    .status()
            };
            clients
                .into_iter()
                .map(answer)
                .all(|status| [200, 503].contains(&status))
        });
        let mut most = 0;
        while !answers.is_finished() {
            most = most.max(descriptors(&program));
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        assert!(answers.join().expect("no panic"), "each is answered");
        most
    });
    assert!((1..=64).contains(&most), "{most} descriptors");
    assert_eq!(program.wait().code(), Some(0));
}

/// What is left of the time until SIGKILL where the longest deadline is this, in milliseconds.
fn until_kill(longest: u64) -> Duration {
    Duration::from_millis(longest.min(3_000) + 700)
}

/// Guards against a stop that SIGKILL cuts off: with any deadlines, workers that hang through the whole of it, clients
/// that send as long as they can, SIGHUP with the first SIGTERM and a second one later, each request that was read has
/// one whole answer, and the process has ended in time.
#[test]
fn shutdown_answers_all_before_the_kill_for_all_deadlines() {
    std::thread::scope(|s| {
        for longest in [50, 300, 3_000, 60_000] {
            for cancelling in ["true", "false"] {
                s.spawn(move || stopped_in_time(longest, cancelling));
            }
        }
    });
}

fn stopped_in_time(longest: u64, cancelling: &str) {
    let worker = Peer::new(|message, stream| match message.field("req-id") {
        Some(id) if id.starts_with("hangs") => true,
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
            .write_all(text(&format!("hangs-{n}")).as_bytes())
            .expect("written");
    }
    // They are at the worker, or have had their time.
    until("the attempts", || worker.count() >= 1);
    let start = Instant::now();
    program.signal("-HUP");
    program.signal("-TERM");
    let address = program.address;
    let unanswered = std::thread::scope(|s| {
        // On one connection after the other, for as long as it stays open and new ones are accepted.
        let sending: Vec<_> = (0..6)
            .map(|n| {
                let text = &text;
                s.spawn(move || {
                    let mut unanswered = 0;
                    for round in 0.. {
                        let Ok(mut client) = TcpStream::connect(address) else {
                            return unanswered;
                        };
                        client.set_read_timeout(Some(PATIENCE)).expect("a limit");
                        let mut reader = BufReader::new(client.try_clone().expect("a clone"));
                        for again in 0.. {
                            let kind = if n % 2 == 0 { "hangs" } else { "made" };
                            let id = format!("{kind}-{n}-{round}-{again}");
                            if client.write_all(text(&id).as_bytes()).is_err() {
                                break;
                            }
                            // The end of a connection may cross a request; one that is cut off, or reset, is lost.
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
        std::thread::sleep(until_kill(longest) / 4);
        program.signal("-TERM");
        let answers = waiting
            .drain(..)
            .map(|client| Message::read(&mut BufReader::new(client)));
        let statuses: Vec<_> = answers
            .map(|answer| answer.expect("an answer").status())
            .collect();
        assert!(
            statuses.iter().all(|status| [502, 503].contains(status)),
            "{longest} ms: {statuses:?}"
        );
        assert_eq!(program.wait().code(), Some(0));
        let took = start.elapsed();
        assert!(
            took < until_kill(longest),
            "{longest} ms, cancelling {cancelling}: ended after {took:?}"
        );
        sending
            .into_iter()
            .map(|client| client.join().expect("it has ended"))
            .sum::<usize>()
    });
    assert_eq!(
        unanswered, 0,
        "{longest} ms, cancelling {cancelling}: reset"
    );
}
