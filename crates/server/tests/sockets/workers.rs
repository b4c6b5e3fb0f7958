//! Connections to workers: reuse, closing, changes of address, and drains.

use std::io::{BufReader, Write};
use std::sync::atomic::Ordering;

use oakshed_standin::*;

use super::log_after_stop;
use super::requests::assert_all_served;
use super::{connections, gated_worker, unreachable_address};

#[test]
fn worker_connections_are_reused() {
    let worker = good();
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let mut client = program.connect();
    for n in 0..20 {
        assert_eq!(
            send_on(&mut client, &request("transfer", &format!("id-{n}"))).status(),
            200
        );
    }
    program.signal("-TERM");
    let log = log_after_stop(&program);
    let dials = log
        .rsplit("dials: ")
        .next()
        .and_then(|t| t.split(',').next()?.parse::<u32>().ok());
    assert!(dials.is_some_and(|n| n < 20), "{dials:?} of 20");
}

#[test]
fn closing_worker_loses_no_request() {
    let worker = Peer::new(|message, stream| {
        done(message, stream, "made");
        false
    });
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    for n in 1..=20 {
        assert_eq!(
            program
                .send(&request("transfer", &format!("id-{n}")))
                .status(),
            200
        );
        // The kernel may report a close some time after the worker made it.
        until("the close", || {
            worker.ended.load(Ordering::SeqCst) == n && connections(worker.address, "01") == 0
        });
    }
}

/// Idle connections may be dropped sooner than the settings say, for example by the network. After a reset they must be
/// kept for less time, so that few requests are lost on them.
#[test]
fn connections_reset_when_idle_are_retained_for_less_time() {
    let last = std::sync::Mutex::new(std::collections::HashMap::new());
    let worker = Peer::new(move |message, stream| {
        let from = stream.peer_addr().expect("no peer address");
        let before = last.lock().unwrap().remove(&from);
        let fresh = before.is_none_or(|at: std::time::Instant| at.elapsed().as_millis() < 60);
        let served = fresh && done(message, stream, "made");
        last.lock().unwrap().insert(from, std::time::Instant::now());
        served
    });
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let mut failed = 0;
    for n in 0..30 {
        failed += u32::from(
            program
                .send(&request("transfer", &format!("id-{n}")))
                .status()
                == 502,
        );
        // Longer than the worker keeps an idle connection.
        std::thread::sleep(std::time::Duration::from_millis(120));
    }
    assert!((1..=3).contains(&failed), "{failed} of 30");
}

#[test]
fn draining_worker_gets_nothing_new() {
    let workers = [good(), good()];
    let list = [("s-1", workers[0].address), ("s-2", workers[1].address)];
    let discovery = Discovery::new(&list);
    let program = Program::start(&discovery);
    until("an idle connection", || {
        program.send(&request("transfer", "id")).status() == 200
            && connections(workers[0].address, "01") > 0
    });
    discovery.set("s-1", "draining");
    until("the update", || program.log().contains("1 workers ready"));
    let notified = std::time::Instant::now();
    until("the close of its connections", || {
        connections(workers[0].address, "01") == 0
    });
    let took = notified.elapsed();
    assert!(
        took.as_millis() < 2_000,
        "a drained worker's connections were kept as long as others: {took:?}\n{}",
        program.log()
    );
    let before = workers[0].count();
    assert_all_served(&program, "id", 0..10);
    assert_eq!(workers[0].count(), before);
    discovery.set("s-2", "gone");
    until("the update", || program.log().contains("0 workers ready"));
    assert_eq!(program.ready_status(), 503);
    let answer = program.send(&request("transfer", "id-x"));
    assert_eq!(
        answer.status(),
        503,
        "without a ready worker the client is told to retry"
    );
    let wait: f64 = answer
        .field("retry-after")
        .expect("no Retry-After field")
        .parse()
        .expect("not a number");
    assert!(wait > 0.0 && wait <= 2.0);
}

#[test]
fn moved_worker_is_used_at_its_new_address_only() {
    let (before, release) = gated_worker("before");
    let after = good();
    let discovery = Discovery::new(&[("s-1", before.address)]);
    let program = Program::start(&discovery);
    let mut client = program.connect();
    client
        .write_all(request("transfer", "id-1").as_bytes())
        .expect("failed to write");
    until("the attempt", || before.count() == 1);
    discovery.move_to("s-1", after.address);
    until("the update", || program.log().matches("list ").count() >= 2);
    // Frees the connection to the old address, which must not be kept.
    release.send(()).expect("failed to release the worker");
    assert_eq!(
        Message::read(&mut BufReader::new(client))
            .expect("no answer")
            .body,
        b"before"
    );
    for n in 2..6 {
        assert_eq!(
            program.send(&request("transfer", &format!("id-{n}"))).body,
            b"made"
        );
    }
    assert_eq!(before.count(), 1);
}

/// No byte may be written to a worker that was drained or excluded while the connection to it was being established.
#[test]
fn worker_drained_or_excluded_during_dial_gets_nothing() {
    assert_gets_nothing("0 workers ready", |discovery, _| {
        discovery.set("s-1", "draining");
    });
    assert_gets_nothing("excluded", |_, program| {
        assert!(call(program.admin(), "exclude s-1").starts_with("YES"));
    });
}

fn assert_gets_nothing(log_text: &str, remove: impl Fn(&Discovery, &Program)) {
    let (address, mut sockets) = unreachable_address();
    let discovery = Discovery::new(&[("s-1", address)]);
    let edits = [
        (
            r#""connect-timeout-ms":200"#,
            r#""connect-timeout-ms":4000"#,
        ),
        ADMIN,
    ];
    let program = Program::start_with(&discovery, 1024, &edits);
    let dials = || connections(address, "02");
    let (before, mut client) = (dials(), program.connect());
    client
        .write_all(request("transfer", "id-1").as_bytes())
        .expect("failed to write");
    until("the connection attempt", || dials() > before);
    remove(&discovery, &program);
    until("the update", || program.log().contains(log_text));
    // Frees the accept queue, so that the connection is established when the kernel retries it.
    let listener = sockets.remove(0);
    sockets.clear();
    let end = std::time::Instant::now() + PATIENCE;
    listener.set_nonblocking(true).expect("socket error");
    let mut accepted = Vec::new();
    let answer = std::thread::spawn(move || Message::read(&mut BufReader::new(client)));
    while !answer.is_finished() && std::time::Instant::now() < end {
        accepted.extend(listener.accept().ok());
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    assert_eq!(
        answer
            .join()
            .expect("the thread panicked")
            .expect("no answer")
            .status(),
        503
    );
    for (connection, _) in accepted {
        let mut bytes = [std::mem::MaybeUninit::uninit(); 16];
        assert_eq!(
            connection.recv(&mut bytes).unwrap_or(0),
            0,
            "bytes were sent to a drained or excluded worker"
        );
    }
    program.signal("-TERM");
    let log = log_after_stop(&program);
    assert!(log.contains("drained_before_send: 1"), "{log}");
}
