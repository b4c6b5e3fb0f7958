//! Transient failures of reads that check a socket for new data: they show neither that there is none nor that the peer
//! has closed.

use std::io::{BufReader, Write};
use std::time::Duration;

use oakshed_fault_injection::{Faults, Switch};
use oakshed_standin::*;

use super::streams::connect_from;
use super::{for_each_row, start_with_faults, LONG_OBJECTIVE};

/// The source address of a client, so that fault rows can select its connection.
const CLIENT: &str = "127.0.0.9:0";
/// Transient errors of a read.
const ERRORS: [&str; 2] = ["ENOMEM", "ENOBUFS"];
/// The duration of the fault; the program reads from a closing connection several times within it.
const FAULT_DURATION: Duration = Duration::from_millis(200);
/// The most rounds that are tried, as an update of the list may cross the end of the call for it.
const MAX_ROUNDS: usize = 10;

/// Guards against closing a connection during a shutdown while a request that has arrived temporarily cannot be read.
#[test]
fn unreadable_request_does_not_close_its_connection() {
    const AT_LOG: usize = 0;
    const AT_RECV: usize = 1;
    for_each_row(ERRORS, |error| {
        let worker = good();
        let discovery = Discovery::new(&[("s-1", worker.address)]);
        let faults = Faults::new(&format!(
            "write STOP 1/1 0 0 on=pipe:; recv {error} 1/1 0 0 on=127.0.0.9:"
        ));
        let mut program = start_with_faults(&discovery, &faults, &LONG_OBJECTIVE);
        let mut client = connect_from(CLIENT, program.address);
        assert_eq!(
            send_on(&mut client, &request("transfer", "first")).status(),
            200
        );
        program.signal("-TERM");
        until("the signal", || {
            program.log().contains("shutdown requested")
        });
        faults.switch(AT_LOG, Switch::On);
        until("the stop at the log line on closing", || {
            program.is_stopped()
        });
        faults.switch(AT_LOG, Switch::Off);
        faults.switch(AT_RECV, Switch::On);
        client
            .write_all(request("transfer", "last").as_bytes())
            .expect("written");
        program.signal("-CONT");
        std::thread::sleep(FAULT_DURATION);
        faults.switch(AT_RECV, Switch::Off);
        let answer = Message::read(&mut BufReader::new(client)).map(|answer| answer.status());
        assert_eq!(answer, Some(200), "{error}");
        assert_eq!(program.wait().code(), Some(0), "{error}");
        assert!(faults.strikes(AT_RECV) > 2, "{error}");
    });
}

/// Guards against writing a request to a worker whose drain has arrived but is unread: if the check for an unread
/// update of the list fails, there may be one.
#[test]
fn failed_check_for_a_list_update_assumes_one() {
    for_each_row(ERRORS, |error| {
        let is_checked = (0..MAX_ROUNDS).any(|_| drain_with_failed_read(error));
        assert!(is_checked, "{error}: each list crossed the end of a call");
    });
}

/// Returns whether the drain arrived in answer to the open call; otherwise the round has checked nothing.
fn drain_with_failed_read(error: &str) -> bool {
    const AT_CLIENT: usize = 0;
    const AT_DISCOVERY: usize = 1;
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    // Only the first check fails.
    let faults = Faults::new(&format!(
        "recv STOP 1/1 0 0 on=127.0.0.9:; recv {error} 1/1000000 0 0 on={}",
        discovery.peer.address
    ));
    let program = start_with_faults(&discovery, &faults, &LONG_OBJECTIVE);
    let calls = || {
        let seen = discovery.peer.seen.lock().unwrap();
        let calls = seen.iter().map(|call| call.first.clone());
        calls.collect::<Vec<String>>()
    };
    until("a watch", || {
        calls().iter().any(|call| call.contains("from="))
    });
    // Leaves an idle connection to the worker.
    assert_eq!(program.send(&request("transfer", "first")).status(), 200);
    let mut client = connect_from(CLIENT, program.address);
    faults.switch(AT_CLIENT, Switch::On);
    client
        .write_all(request("transfer", "last").as_bytes())
        .expect("written");
    until("the read of the request", || program.is_stopped());
    faults.switch(AT_CLIENT, Switch::Off);
    let before = calls().len();
    discovery.set("s-1", "draining");
    until("the list's arrival", || {
        unread_from(discovery.peer.address) > 0
    });
    faults.switch(AT_DISCOVERY, Switch::On);
    program.signal("-CONT");
    let answer = Message::read(&mut BufReader::new(client)).map(|answer| answer.status());
    until("the next call", || calls().len() > before);
    let list_arrived = calls()[before].contains(&format!("from={}&", discovery.number()));
    if list_arrived {
        assert_eq!(answer, Some(503), "{error}");
        assert_eq!(worker.count(), 1, "{error}: sent to a draining worker");
        assert_eq!(faults.strikes(AT_DISCOVERY), 1, "{error}: no read failed");
    }
    list_arrived
}
