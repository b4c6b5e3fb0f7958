//! Failures of connect(2) and socket(2), due to this machine, a worker, or the network between them.

use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use oakshed_fault_injection::{Faults, Switch};
use oakshed_standin::*;

use super::{for_each_row, run_exclusively, start_with_faults, LONG_OBJECTIVE};

/// Calls and errors that indicate a fault of this machine.
const LOCAL_FAULTS: [(&str, &str); 11] = [
    ("connect", "EADDRNOTAVAIL"),
    ("connect", "EAGAIN"),
    ("connect", "EINTR"),
    ("connect", "EMFILE"),
    ("connect", "ENFILE"),
    ("connect", "ENOBUFS"),
    ("connect", "ENOMEM"),
    ("socket", "EMFILE"),
    ("socket", "ENFILE"),
    ("socket", "ENOBUFS"),
    ("socket", "ENOMEM"),
];

/// A worker that serves a job in 10 ms and then closes the connection.
pub(super) fn closing_worker() -> Peer {
    Peer::new(|message, stream| {
        std::thread::sleep(Duration::from_millis(10));
        let id = message.field("req-id").expect("an id");
        let body =
            format!("{{\"id\":\"{id}\",\"from\":\"s\",\"state\":\"done\",\"result\":\"made\"}}\n");
        let head = format!(
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).is_ok()
    })
}

/// Sends 200 requests per second, each on a new connection. Returns the number of answers by status; status 0 stands
/// for no answer.
fn send_at_fixed_rate(program: &Program, requests: u32) -> Vec<(u16, u32)> {
    let counts = Mutex::new(std::collections::BTreeMap::new());
    let start = Instant::now();
    std::thread::scope(|scope| {
        for number in 0..requests {
            let due = start + number * Duration::from_millis(5);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let counts = &counts;
            scope.spawn(move || {
                let answer = send_raw(
                    program.address,
                    &request("transfer", &format!("id-{number}")),
                );
                let status = answer.map_or(0, |answer| answer.status());
                *counts.lock().unwrap().entry(status).or_default() += 1;
            });
        }
    });
    counts.into_inner().unwrap().into_iter().collect()
}

/// Guards against workers that are still avoided after a local fault, and against requests that use up their attempts
/// during it.
#[test]
fn requests_are_queued_while_no_port_is_free_and_served_after() {
    let _guard = run_exclusively();
    let workers = [closing_worker(), closing_worker()];
    let faults = Faults::new("connect EADDRNOTAVAIL 1/1 0 0");
    let discovery = Discovery::new(&[("s-1", workers[0].address), ("s-2", workers[1].address)]);
    let program = start_with_faults(&discovery, &faults, &LONG_OBJECTIVE);
    let answers = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_millis(150));
            faults.switch(0, Switch::On);
            std::thread::sleep(Duration::from_millis(1_350));
            faults.switch(0, Switch::Off);
        });
        send_at_fixed_rate(&program, 1_000)
    });
    assert_eq!(
        answers,
        [(200, 1_000)],
        "{} connections failed",
        faults.strikes(0)
    );
    assert!(
        faults.strikes(0) > 100,
        "{} connections failed",
        faults.strikes(0)
    );
}

#[test]
fn local_faults_only_delay_requests() {
    for_each_row(LOCAL_FAULTS, |(call, error)| {
        let workers = [closing_worker(), closing_worker()];
        let faults = Faults::new(&format!("{call} {error} 1/1 0 0"));
        let discovery = Discovery::new(&[("s-1", workers[0].address), ("s-2", workers[1].address)]);
        let program = start_with_faults(&discovery, &faults, &LONG_OBJECTIVE);
        faults.switch(0, Switch::On);
        let answers = std::thread::scope(|scope| {
            scope.spawn(|| {
                std::thread::sleep(Duration::from_millis(300));
                faults.switch(0, Switch::Off);
            });
            send_at_fixed_rate(&program, 100)
        });
        assert_eq!(answers, [(200, 100)], "{call} {error}");
        assert!(
            faults.strikes(0) > 20,
            "{call} {error}: {} strikes",
            faults.strikes(0)
        );
    });
}

/// These errors are attributed to the worker or the network: requests go to another worker, and this one is avoided.
#[test]
fn unreachable_worker_is_replaced_by_another() {
    for_each_row(
        ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "ETIMEDOUT"],
        |error| {
            let workers = [closing_worker(), closing_worker()];
            let faults = Faults::new(&format!(
                "connect {error} 1/1 0 60000 on={}",
                workers[0].address
            ));
            let discovery =
                Discovery::new(&[("s-1", workers[0].address), ("s-2", workers[1].address)]);
            let program = start_with_faults(&discovery, &faults, &LONG_OBJECTIVE);
            assert_eq!(send_at_fixed_rate(&program, 100), [(200, 100)], "{error}");
            let attempts = faults.strikes(0);
            assert!(
                (1..30).contains(&attempts),
                "{error}: {attempts} attempts to connect to an unreachable worker"
            );
        },
    );
}
