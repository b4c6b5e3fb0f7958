//! Failures of calls on open connections, due to transient errors or because the connection is broken.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

use oakshed_fault_injection::{Faults, Switch};
use oakshed_standin::*;

use super::{for_each_row, start_with_faults, LONG_OBJECTIVE};

/// Errors that are transient or without consequences: each request runs once and has its result.
const TRANSIENT: [&str; 12] = [
    "send EINTR 1/2 0 60000 on=127.0.0.1:",
    "send ENOBUFS 1/2 0 60000 on=127.0.0.1:",
    "send ENOMEM 1/3 0 60000 on=127.0.0.1:",
    "recv EINTR 1/2 0 60000 on=127.0.0.1:",
    "recv ENOMEM 1/3 0 60000 on=127.0.0.1:",
    "setsockopt ENOMEM 1/1 0 60000",
    "setsockopt ENOBUFS 1/2 0 60000",
    "setsockopt ENOPROTOOPT 1/2 0 60000",
    "shutdown ENOTCONN 1/1 0 60000",
    "shutdown ENOBUFS 1/1 0 60000",
    "epoll_wait EINTR 1/2 0 60000",
    "accept EINTR 1/2 0 60000",
];
/// The number of clients whose connections break.
const FAILING_CLIENTS: u64 = 10;
/// The most calls on one broken connection: the program gives it up and does not keep repeating calls on it.
const MAX_CALLS: u64 = 8;
/// The errors by which a call reports a broken connection.
pub(super) const CONNECTION_ERRORS: [&str; 4] =
    ["ETIMEDOUT", "EHOSTUNREACH", "EPIPE", "ECONNRESET"];

/// How often each job has arrived at the workers.
fn count_runs<'a>(workers: impl IntoIterator<Item = &'a Peer>) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for worker in workers {
        for message in worker.seen.lock().unwrap().iter() {
            *runs
                .entry(message.field("req-id").expect("an id").to_owned())
                .or_default() += 1;
        }
    }
    runs
}

#[test]
fn transient_errors_are_invisible_to_clients() {
    for_each_row(TRANSIENT, |row| {
        let (workers, faults) = ([good(), good()], Faults::new(row));
        let discovery = Discovery::new(&[("s-1", workers[0].address), ("s-2", workers[1].address)]);
        // Other tests cover faults during the start; here they begin when the program is ready.
        faults.switch(0, Switch::Off);
        let mut program = start_with_faults(&discovery, &faults, &LONG_OBJECTIVE);
        faults.switch(0, Switch::On);
        let mut reused = program.connect();
        for number in 0..40 {
            let answer = send_on(&mut reused, &request("transfer", &format!("kept-{number}")));
            assert_eq!(answer.status(), 200, "{row}");
            let answer = program.send(&request("transfer", &format!("new-{number}")));
            assert_eq!(answer.status(), 200, "{row}");
        }
        let runs = count_runs(&workers);
        assert!(
            runs.len() == 80 && runs.values().all(|n| *n == 1),
            "{row}: {runs:?}"
        );
        // The last answer on a connection that the program closes must be complete, too.
        let mut malformed = program.connect();
        malformed.write_all(b"no request\r\n\r\n").expect("written");
        let mut text = String::new();
        malformed
            .read_to_string(&mut text)
            .expect("an orderly close");
        assert!(
            text.starts_with("HTTP/1.1 400 ") && text.ends_with("\r\n\r\n"),
            "{row}: {text:?}"
        );
        drop(reused);
        program.signal("-TERM");
        assert_eq!(program.wait().code(), Some(0), "{row}");
        assert!(faults.strikes(0) > 0, "{row}: no call failed");
    });
}

/// Random failures of calls on a worker's connections: no transfer runs twice, and one is reported as failed only if a
/// call failed while it was in flight.
#[test]
fn failed_worker_connection_causes_no_second_run() {
    for_each_row(connection_failures(), |(call, error)| {
        fail_calls_at_random(call, error);
    });
}

fn fail_calls_at_random(call: &str, error: &str) {
    let workers = [good(), good()];
    let faults = Faults::new(&format!(
        "seed 7; {call} {error} p0.3 0 0 on={}",
        workers[0].address
    ));
    let discovery = Discovery::new(&[("s-1", workers[0].address), ("s-2", workers[1].address)]);
    let program = start_with_faults(&discovery, &faults, &LONG_OBJECTIVE);
    faults.switch(0, Switch::On);
    for number in 0..100 {
        let before = faults.strikes(0);
        let status = program
            .send(&request("transfer", &format!("transfer-{number}")))
            .status();
        let may_fail = call == "recv" && faults.strikes(0) > before;
        assert!(
            status == 200 || status == 502 && may_fail,
            "{call} {error}: {status}"
        );
        assert_eq!(
            program.send(&keyed_request(number)).status(),
            200,
            "{call} {error}"
        );
    }
    assert!(faults.strikes(0) > 0, "{call} {error}");
    assert_one_run_each(&workers, 100, &format!("{call} {error}"));
}

/// A connection to a worker, reused or new, breaks before any byte of a request is written: the request goes to another
/// worker.
#[test]
fn connection_failure_before_a_request_is_invisible_to_clients() {
    for_each_row(CONNECTION_ERRORS, |error| {
        let workers = [good(), good()];
        let faults = Faults::new(&format!("send {error} 1/1 0 0 on={}", workers[0].address));
        let discovery = Discovery::new(&[("s-1", workers[0].address), ("s-2", workers[1].address)]);
        let program = start_with_faults(&discovery, &faults, &LONG_OBJECTIVE);
        let mut transfers = 0;
        let mut send_transfer = || {
            let text = request("transfer", &format!("transfer-{transfers}"));
            assert_eq!(program.send(&text).status(), 200, "{error}");
            transfers += 1;
        };
        for _ in 0..2 {
            let before = workers[0].count();
            until("a request at the first worker", || {
                send_transfer();
                workers[0].count() > before
            });
            faults.switch(0, Switch::On);
            let (seen, strikes) = (workers[0].count(), faults.strikes(0));
            until("a broken connection", || {
                send_transfer();
                faults.strikes(0) > strikes
            });
            assert_eq!(workers[0].count(), seen, "{error}: a request was written");
            faults.switch(0, Switch::Off);
        }
        assert_one_run_each(&workers, transfers, error);
    });
}

/// A connection to a worker breaks after a request was written: a transfer is reported as failed and not sent again, as
/// it may have run, while a keyed request is sent again.
#[test]
fn connection_failure_after_a_request_fails_only_its_transfer() {
    for_each_row(CONNECTION_ERRORS, |error| {
        let breaking = BreakingWorker::start(error);
        let workers = [&breaking.worker, &good()];
        let discovery = Discovery::new(&[("s-1", workers[0].address), ("s-2", workers[1].address)]);
        let program = start_with_faults(&discovery, breaking.faults(), &LONG_OBJECTIVE);
        let mut transfers = 0;
        until("two transfers on broken connections", || {
            let id = format!("transfer-{transfers}");
            let status = program.send(&request("transfer", &id)).status();
            breaking.faults().switch(0, Switch::Off);
            let expected = if breaking.has_failed(&id) { 502 } else { 200 };
            assert_eq!(status, expected, "{error}: {id}");
            transfers += 1;
            breaking.failed_count("transfer") >= 2
        });
        let mut keyed_requests = 0;
        until("a keyed request on a broken connection", || {
            assert_eq!(
                program.send(&keyed_request(keyed_requests)).status(),
                200,
                "{error}"
            );
            breaking.faults().switch(0, Switch::Off);
            keyed_requests += 1;
            breaking.failed_count("plate") >= 1
        });
        assert_one_run_each(workers, transfers, error);
    });
}

/// A worker that answers all requests, but on whose connections the scheduler's reads fail once a request has arrived.
/// Every second request is unaffected, so that the scheduler does not take the worker for dead.
struct BreakingWorker {
    worker: Peer,
    faults: Arc<OnceLock<Faults>>,
    failed: Arc<Mutex<Vec<String>>>,
}

impl BreakingWorker {
    fn start(error: &str) -> BreakingWorker {
        let faults: Arc<OnceLock<Faults>> = Arc::default();
        let failed: Arc<Mutex<Vec<String>>> = Arc::default();
        let skip_next = AtomicBool::new(false);
        let (script_faults, script_failed) = (faults.clone(), failed.clone());
        let worker = Peer::new(move |message, stream| {
            if !skip_next.fetch_xor(true, Ordering::SeqCst) {
                let id = message.field("req-id").expect("an id").to_owned();
                script_failed.lock().unwrap().push(id);
                script_faults
                    .get()
                    .expect("set before the start")
                    .switch(0, Switch::On);
            }
            done(message, stream, "made")
        });
        let row = format!("recv {error} 1/1 0 0 on={}", worker.address);
        assert!(faults.set(Faults::new(&row)).is_ok(), "set once");
        BreakingWorker {
            worker,
            faults,
            failed,
        }
    }

    fn faults(&self) -> &Faults {
        self.faults.get().expect("set at the start")
    }

    /// Whether the connection of this request was broken.
    fn has_failed(&self, id: &str) -> bool {
        self.failed
            .lock()
            .unwrap()
            .iter()
            .any(|failed| failed == id)
    }

    /// The number of such requests whose id has this prefix.
    fn failed_count(&self, prefix: &str) -> usize {
        let failed = self.failed.lock().unwrap();
        failed.iter().filter(|id| id.starts_with(prefix)).count()
    }
}

/// A request with a unique id and idempotency key.
fn keyed_request(number: u32) -> String {
    request("new-plate", &format!("plate-{number}")).replace("5c0f", &format!("key-{number}"))
}

/// Waits until this number of transfers has arrived at the workers, and checks that each ran once.
pub(super) fn assert_one_run_each<'a>(
    workers: impl IntoIterator<Item = &'a Peer>,
    transfers: usize,
    row: &str,
) {
    let workers: Vec<&Peer> = workers.into_iter().collect();
    let runs = || {
        let mut runs = count_runs(workers.iter().copied());
        runs.retain(|id, _| id.starts_with("transfer"));
        runs
    };
    until("all transfers at the workers", || runs().len() >= transfers);
    let runs = runs();
    let repeated: Vec<_> = runs.iter().filter(|(_, count)| **count != 1).collect();
    assert_eq!((runs.len(), repeated), (transfers, vec![]), "{row}");
}

/// A broken connection to a client is closed and does not affect other clients, and its request runs at most once.
#[test]
fn failed_client_connection_affects_no_other() {
    for_each_row(connection_failures(), |(call, error)| {
        check_failing_clients(call, error);
    });
}

fn check_failing_clients(call: &str, error: &str) {
    let row = format!("{call} {error}");
    let faults = Faults::new(&format!("{row} 1/1 0 60000 on=127.0.0.9:"));
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let mut program = start_with_faults(&discovery, &faults, &LONG_OBJECTIVE);
    assert_eq!(program.send(&request("transfer", "first")).status(), 200);
    let descriptors_before = descriptors(&program);
    for number in 0..FAILING_CLIENTS {
        let mut failing = connect_from("127.0.0.9:0", program.address);
        _ = failing.write_all(request("transfer", &format!("broken-{number}")).as_bytes());
        let answer = program.send(&request("transfer", &format!("good-{number}")));
        assert_eq!(answer.status(), 200, "{row}");
        assert!(closes_unanswered(failing), "{row}");
    }
    until("the release of all descriptors", || {
        descriptors(&program) <= descriptors_before
    });
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0), "{row}");
    let strikes = faults.strikes(0);
    assert!(
        (FAILING_CLIENTS..=MAX_CALLS * FAILING_CLIENTS).contains(&strikes),
        "{row}: {strikes} calls failed"
    );
    let runs = count_runs([&worker]);
    let good = runs.keys().filter(|id| id.starts_with("good")).count();
    assert!(
        good as u64 == FAILING_CLIENTS && runs.values().all(|runs| *runs == 1),
        "{row}: {runs:?}"
    );
}

/// Whether a connection is closed or reset without an answer within its read timeout.
fn closes_unanswered(mut client: TcpStream) -> bool {
    match client.read(&mut [0]) {
        Ok(read) => read == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

/// Each call on a connection with each error that reports a broken one.
fn connection_failures() -> impl Iterator<Item = (&'static str, &'static str)> {
    CONNECTION_ERRORS
        .into_iter()
        .flat_map(|error| [("send", error), ("recv", error)])
}

/// Connects from the source address `own`.
pub(super) fn connect_from(own: &str, to: SocketAddr) -> TcpStream {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let own: SocketAddr = own.parse().expect("an address");
    socket.bind(&own.into()).expect("bound");
    socket.connect(&to.into()).expect("connected");
    socket
        .set_read_timeout(Some(PATIENCE))
        .expect("a read timeout");
    socket.into()
}
