//! Short reads and writes on non-blocking sockets, of a single byte each.
//!
//! Requests, answers, the streams of workers and endpoint lists must stay complete, wherever they are split.

use std::sync::atomic::Ordering;

use oakshed_fault_injection::{Faults, Switch};
use oakshed_standin::*;

use super::streams::{assert_one_run_each, CONNECTION_ERRORS};
use super::{for_each_row, start_with_faults, LONG_OBJECTIVE};

/// All or most reads or writes, on connections of clients, workers and discovery.
const ROWS: [&str; 6] = [
    "recv SHORT 1/1 0 0 on=127.0.0.1:",
    "recv SHORT p0.9 0 0 on=127.0.0.1:",
    "send SHORT 1/1 0 0 on=127.0.0.1:",
    "send SHORT p0.9 0 0 on=127.0.0.1:",
    "recv SHORT p0.9 0 0 on=127.0.0.1:; send SHORT p0.9 0 0 on=127.0.0.1:",
    "recv SHORT 1/1 0 0 on=127.0.0.1:; send SHORT 1/1 0 0 on=127.0.0.1:",
];
/// A part of each worker's result. With its repetitions the result is longer than one read of a stream.
const RESULT_CHUNK: &str = "made byte for byte, ";
const REPETITIONS: usize = 40;
/// The minimum number of short calls in each row.
const MIN_STRIKES: u64 = 50;

#[test]
fn short_reads_and_writes_are_completed() {
    for_each_row(ROWS, check_short_calls);
}

fn check_short_calls(row: &str) {
    let result = RESULT_CHUNK.repeat(REPETITIONS);
    let worker = || {
        let result = result.clone();
        Peer::new(move |message, stream| done(message, stream, &result))
    };
    let workers = [worker(), worker()];
    let discovery = Discovery::new(&[("s-1", workers[0].address), ("s-2", workers[1].address)]);
    let faults = Faults::new(row);
    let mut program = start_with_faults(&discovery, &faults, &LONG_OBJECTIVE);
    for index in 0..=row.matches(';').count() {
        faults.switch(index, Switch::On);
    }
    let mut reused = program.connect();
    let mut send = |id: &str| {
        // Two requests in sequence on one connection, and one on a new connection.
        for class in ["transfer", "new-plate"] {
            let text = request(class, &format!("{class}-{id}")).replace("5c0f", id);
            let answer = send_on(&mut reused, &text);
            assert_eq!(
                (answer.status(), answer.body),
                (200, result.clone().into()),
                "{row}"
            );
        }
        let answer = program.send(&request("transfer", &format!("new-{id}")));
        assert_eq!(
            (answer.status(), answer.body),
            (200, result.clone().into()),
            "{row}"
        );
    };
    send("first");
    // A delta and an indented snapshot are applied completely.
    for (is_indented, lifecycle, ready) in [(false, "draining", 1), (true, "ready", 2)] {
        discovery.indented.store(is_indented, Ordering::SeqCst);
        discovery.set("s-1", lifecycle);
        until("the list", || {
            let list = format!("list {} (", discovery.number());
            let log = program.log();
            let newest = log.lines().rfind(|line| line.contains(&list));
            newest.is_some_and(|line| line.contains(&format!("{ready} workers ready")))
        });
        let before = workers[0].count();
        send(lifecycle);
        assert!(
            ready == 2 || workers[0].count() == before,
            "{row}: sent to a draining worker"
        );
    }
    for message in workers.iter().flat_map(|w| w.seen.lock().unwrap().clone()) {
        let deadline: Option<u64> = message
            .field("req-deadline-ms")
            .and_then(|ms| ms.parse().ok());
        assert!(deadline.is_some_and(|ms| ms <= 5_000), "{row}: {message:?}");
        assert_eq!(message.body, b"body", "{row}");
    }
    let runs: usize = workers.iter().map(Peer::count).sum();
    assert_eq!(runs, 9, "{row}");
    drop(reused);
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0), "{row}");
    assert!(
        faults.strikes(0) > MIN_STRIKES,
        "{row}: {} strikes",
        faults.strikes(0)
    );
}

/// A connection to a worker breaks while a request is written in pieces: the request did not run, and goes to another
/// worker.
#[test]
fn connection_failure_during_a_request_is_invisible_to_clients() {
    for_each_row(CONNECTION_ERRORS, |error| {
        let workers = [good(), good()];
        let first = workers[0].address;
        let faults = Faults::new(&format!(
            "seed 7; send {error} 1/150 0 0 on={first}; send SHORT 1/1 0 0 on={first}"
        ));
        let discovery = Discovery::new(&[("s-1", first), ("s-2", workers[1].address)]);
        let program = start_with_faults(&discovery, &faults, &LONG_OBJECTIVE);
        faults.switch(1, Switch::On);
        let mut transfers = 0;
        // The first failure comes before the first byte of a request, the next ones come within a request.
        faults.switch(0, Switch::On);
        until("three broken connections", || {
            let text = request("transfer", &format!("transfer-{transfers}"));
            assert_eq!(program.send(&text).status(), 200, "{error}");
            transfers += 1;
            faults.strikes(0) >= 3
        });
        assert_one_run_each(&workers, transfers, error);
    });
}
