//! Failures of accept(2), in normal operation and during a shutdown.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use oakshed_fault_injection::{Faults, Switch};
use oakshed_standin::*;

use super::{for_each_row, run_exclusively, start_with_faults, LONG_OBJECTIVE};

/// The transient errors that accept(2) documents, those of single connections and those of the system.
const ERRORS: [&str; 10] = [
    "ECONNABORTED",
    "EPROTO",
    "ENETDOWN",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EINTR",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
    "EPERM",
];

/// Guards against closing the listener, and with it all connections in its queue, because of an error of one
/// connection.
#[test]
fn accept_error_at_shutdown_does_not_end_the_queue() {
    for_each_row(ERRORS, check_shutdown);
}

fn check_shutdown(error: &str) {
    let faults = Faults::new(&format!("accept {error} 1/2 0 0"));
    let worker = good();
    let mut program = start_with_faults(
        &Discovery::new(&[("s-1", worker.address)]),
        &faults,
        &LONG_OBJECTIVE,
    );
    program.signal("-TERM");
    until("the signal", || {
        program.log().contains("shutdown requested")
    });
    // The process is stopped until it is due to close; the kernel completes the handshakes of new connections
    // meanwhile.
    program.signal("-STOP");
    let mut clients: Vec<TcpStream> = (0..20).map(|_| program.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client
            .write_all(request("transfer", &format!("last-{number}")).as_bytes())
            .expect("written");
    }
    faults.switch(0, Switch::On);
    std::thread::sleep(Duration::from_secs(2));
    program.signal("-CONT");
    for client in clients {
        let answer = Message::read(&mut BufReader::new(client));
        assert_eq!(
            answer.map(|answer| answer.status()),
            Some(200),
            "{error}: {}",
            program.log()
        );
    }
    assert_eq!(program.wait().code(), Some(0), "{error}");
    assert!(
        faults.strikes(0) > 10,
        "{error}: {} strikes",
        faults.strikes(0)
    );
}

/// Guards against closing clients' connections because of errors that do not depend on their number: requests on idle
/// connections would end without an answer.
#[test]
fn accept_error_closes_no_connection_in_use() {
    for_each_row(ERRORS.into_iter().chain(["EMFILE"]), check_serving);
}

fn check_serving(error: &str) {
    let faults = Faults::new(&format!("accept {error} 1/2 0 60000"));
    let worker = good();
    let program = start_with_faults(&Discovery::new(&[("s-1", worker.address)]), &faults, &[]);
    let mut clients: Vec<TcpStream> = (0..8).map(|_| program.connect()).collect();
    for round in 0..25 {
        for (number, client) in clients.iter_mut().enumerate() {
            let answer = send_on(
                client,
                &request("transfer", &format!("kept-{number}-{round}")),
            );
            assert_eq!(answer.status(), 200, "{error}: {}", program.log());
        }
        let answer = program.send(&request("transfer", &format!("new-{round}")));
        assert_eq!(answer.status(), 200, "{error}: {}", program.log());
    }
    assert!(
        faults.strikes(0) > 25,
        "{error}: {} strikes",
        faults.strikes(0)
    );
}

/// While the process is at its descriptor limit, connections that have been idle for long are closed, and those in use
/// are not.
#[test]
fn only_idle_connections_are_evicted_without_descriptors() {
    let _guard = run_exclusively();
    let faults = Faults::new("accept EMFILE 1/1 0 0");
    let worker = good();
    let program = start_with_faults(&Discovery::new(&[("s-1", worker.address)]), &faults, &[]);
    let (mut idle, mut used) = (program.connect(), program.connect());
    assert_eq!(
        send_on(&mut idle, &request("transfer", "idle")).status(),
        200
    );
    faults.switch(0, Switch::On);
    let waiting = program.connect();
    idle.set_nonblocking(true).expect("set");
    let mut round = 0;
    until("the close of the idle connection", || {
        round += 1;
        assert_eq!(
            send_on(&mut used, &request("transfer", &format!("used-{round}"))).status(),
            200
        );
        matches!(std::io::Read::read(&mut idle, &mut [0]), Ok(0))
    });
    for round in 0..50 {
        assert_eq!(
            send_on(&mut used, &request("transfer", &format!("after-{round}"))).status(),
            200
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    faults.switch(0, Switch::Off);
    let mut waiting = waiting;
    assert_eq!(
        send_on(&mut waiting, &request("transfer", "waiting")).status(),
        200
    );
}
