//! Stalls of 0.15 s between reading the clock and a write.
//!
//! The process is stopped right before a system call, and the test resumes it. The handling of disconnects, the
//! deadlines, and the remaining time that is forwarded to workers must allow for such a stall.

use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use oakshed_fault_injection::{Faults, Switch};
use oakshed_standin::*;

use super::connect::closing_worker;
use super::streams::connect_from;
use super::{for_each_row, run_exclusively, start_with_faults, LONG_OBJECTIVE, MAX_PROCESS_PAUSE};

/// The source address of clients, so that fault rows can select their connections.
const CLIENT: &str = "127.0.0.9";
/// By how much the deadline forwarded to a worker may exceed the remaining time of the client.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// What the program subtracts from the remaining time before it forwards it. Delays of the test itself may be as long.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// An upper bound for the number of calls of one kind that a request causes.
const MAX_CALLS: u64 = 16;

/// The call before which the process is stopped.
#[derive(Clone, Copy, Debug)]
enum StopAt {
    /// A read of the request, or the check whether its client is still connected.
    ClientRecv,
    /// The check for an unread update of the list, when the request has been assigned to a connection.
    DiscoveryRecv,
    /// A read from an idle connection to a worker.
    WorkerRecv,
    /// The connect to a worker.
    WorkerConnect,
}

impl StopAt {
    fn row(self, worker: &Peer, discovery: &Discovery) -> String {
        let (worker, discovery) = (worker.address, discovery.peer.address);
        match self {
            StopAt::ClientRecv => format!("recv STOP 1/1 0 0 on={CLIENT}:"),
            StopAt::DiscoveryRecv => format!("recv STOP 1/1 0 0 on={discovery}"),
            StopAt::WorkerRecv => format!("recv STOP 1/1 0 0 on={worker}"),
            StopAt::WorkerConnect => format!("connect STOP 1/1 0 0 on={worker}"),
        }
    }
}

fn connect_client(program: &Program) -> TcpStream {
    connect_from(&format!("{CLIENT}:0"), program.address)
}

fn has_arrived(worker: &Peer, id: &str) -> bool {
    let seen = worker.seen.lock().unwrap();
    seen.iter()
        .any(|message| message.field("req-id") == Some(id))
}

/// Waits until a row has had its effect `strikes` times and the process is stopped, or until the client can read an
/// answer. Returns whether the process is stopped.
fn wait_for_stop_or_answer(
    program: &Program,
    faults: &Faults,
    row: usize,
    strikes: u64,
    client: &TcpStream,
) -> bool {
    client.set_nonblocking(true).expect("set");
    let mut is_stopped = false;
    until("a stop or an answer", || {
        is_stopped = faults.strikes(row) >= strikes && program.is_stopped();
        is_stopped || client.peek(&mut [0]).is_ok()
    });
    client.set_nonblocking(false).expect("set");
    is_stopped
}

/// Guards against an attempt that begins although its client has disconnected during a stall before the first byte. The
/// process is stopped at each call of a kind in turn.
#[test]
fn no_attempt_begins_after_disconnect_during_stall() {
    let rows = [
        StopAt::ClientRecv,
        StopAt::DiscoveryRecv,
        StopAt::WorkerRecv,
        StopAt::WorkerConnect,
    ];
    for_each_row(rows, disconnect_at_each_call);
}

/// Disconnects the client while the process is stopped. Returns whether its attempt had not begun.
fn disconnect(program: &Program, worker: &Peer, client: TcpStream, id: &str) -> bool {
    client.shutdown(Shutdown::Both).expect("closed");
    std::thread::sleep(MAX_PROCESS_PAUSE);
    let has_begun = has_arrived(worker, id);
    program.signal("-CONT");
    !has_begun
}

fn disconnect_at_each_call(stop_at: StopAt) {
    let worker = match stop_at {
        StopAt::WorkerConnect => closing_worker(),
        _ => good(),
    };
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let faults = Faults::new(&stop_at.row(&worker, &discovery));
    let mut program = start_with_faults(&discovery, &faults, &LONG_OBJECTIVE);
    let mut disconnected: Vec<String> = Vec::new();
    for round in 0..MAX_CALLS {
        // Leaves an idle connection to the worker, unless that closes its connections.
        let next = program.send(&request("transfer", &format!("next-{round}")));
        assert_eq!(next.status(), 200, "{stop_at:?}");
        let id = format!("disconnected-{round}");
        let mut client = connect_client(&program);
        let passed_calls = disconnected.len() as u64;
        let before = faults.strikes(0);
        faults.switch(0, Switch::On);
        client
            .write_all(request("transfer", &id).as_bytes())
            .expect("written");
        let mut strikes = before + 1;
        let mut is_stopped = wait_for_stop_or_answer(&program, &faults, 0, strikes, &client);
        while is_stopped && strikes <= before + passed_calls {
            program.signal("-CONT");
            strikes += 1;
            is_stopped = wait_for_stop_or_answer(&program, &faults, 0, strikes, &client);
        }
        faults.switch(0, Switch::Off);
        let was_before_attempt = is_stopped && disconnect(&program, &worker, client, &id);
        if was_before_attempt {
            disconnected.push(id);
        } else if !disconnected.is_empty() {
            break;
        }
        // Otherwise the connection was not idle yet, as the end of the answer before had not been read, and another one
        // was opened, which is read only after the attempt.
    }
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0));
    assert!(
        !disconnected.is_empty(),
        "{stop_at:?}: no stop before an attempt"
    );
    for id in &disconnected {
        assert!(
            !has_arrived(&worker, id),
            "{stop_at:?}: the attempt of {id} has begun"
        );
    }
}

/// A worker that records the arrival time and the deadline header of each request.
struct TimedWorker {
    worker: Peer,
    deadlines: Arc<Mutex<Vec<(Instant, Duration)>>>,
}

impl TimedWorker {
    fn start() -> TimedWorker {
        let deadlines: Arc<Mutex<Vec<(Instant, Duration)>>> = Arc::default();
        let recorded = deadlines.clone();
        let worker = Peer::new(move |message, stream| {
            let ms = message.field("req-deadline-ms").expect("a time").parse();
            let ms = Duration::from_millis(ms.expect("a number"));
            recorded.lock().unwrap().push((Instant::now(), ms));
            done(message, stream, "made")
        });
        TimedWorker { worker, deadlines }
    }

    /// Starts the program with this worker. Row 0 stops it before the check for an unread update of the list, and row 1
    /// before it writes a request.
    fn start_program(&self) -> (Program, Faults) {
        let discovery = Discovery::new(&[("s-1", self.worker.address)]);
        let faults = Faults::new(&format!(
            "recv STOP 1/1 0 0 on={}; send STOP 1/1 0 0 on={}",
            discovery.peer.address, self.worker.address
        ));
        (
            start_with_faults(&discovery, &faults, &LONG_OBJECTIVE),
            faults,
        )
    }
}

fn with_deadline(id: &str, deadline: Duration) -> String {
    request("transfer", id).replace("Ms: 5000", &format!("Ms: {}", deadline.as_millis()))
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Guards against forwarding a deadline that was computed before a stall, and against one without a margin for a stall
/// right after its computation.
#[test]
fn forwarded_deadline_allows_for_a_stall() {
    const DEADLINE: Duration = Duration::from_secs(3);
    const FIRST_STOP: Duration = Duration::from_millis(400);
    let _guard = run_exclusively();
    let timed = TimedWorker::start();
    let (program, faults) = timed.start_program();
    let mut round = 0;
    until("a round without delays by the machine", || {
        round += 1;
        let (mut client, strikes) = (program.connect(), [0, 1].map(|row| faults.strikes(row)));
        faults.switch(0, Switch::On);
        let sent = Instant::now();
        client
            .write_all(with_deadline(&format!("id-{round}"), DEADLINE).as_bytes())
            .expect("written");
        let first = strikes[0] + 1;
        assert!(wait_for_stop_or_answer(
            &program, &faults, 0, first, &client
        ));
        let was_read = Instant::now();
        faults.switch(0, Switch::Off);
        faults.switch(1, Switch::On);
        std::thread::sleep(FIRST_STOP);
        let resumed = Instant::now();
        program.signal("-CONT");
        let second = strikes[1] + 1;
        assert!(wait_for_stop_or_answer(
            &program, &faults, 1, second, &client
        ));
        faults.switch(1, Switch::Off);
        sleep_until(resumed + MAX_PROCESS_PAUSE);
        program.signal("-CONT");
        let answer = Message::read(&mut BufReader::new(client)).expect("an answer");
        assert_eq!(answer.status(), 200);
        let (arrived, forwarded) = *timed.deadlines.lock().unwrap().last().expect("a request");
        // The deadline accounts for the first stop, which the program measures when it writes.
        assert!(
            forwarded + DEADLINE_MARGIN <= DEADLINE - (resumed - was_read),
            "{forwarded:?} after {:?}",
            resumed - was_read
        );
        // If the stall was not longer than tolerated, the worker was given at most the remaining time and the slack.
        let in_time =
            (was_read - sent) + (arrived - resumed) <= MAX_PROCESS_PAUSE + DEADLINE_MARGIN;
        let left = DEADLINE.saturating_sub(arrived - sent);
        assert!(
            !in_time || forwarded <= left + DEADLINE_SLACK,
            "{forwarded:?}, {left:?} left"
        );
        in_time
    });
}

/// Guards against an attempt that begins shortly before its deadline and, because of a stall, is written more than 0.1
/// s after it.
#[test]
fn attempt_is_not_begun_shortly_before_its_deadline() {
    const DEADLINE: Duration = Duration::from_millis(600);
    const REMAINING: Duration = Duration::from_millis(30);
    let _guard = run_exclusively();
    let timed = TimedWorker::start();
    let (mut program, faults) = timed.start_program();
    let mut client = program.connect();
    faults.switch(0, Switch::On);
    client
        .write_all(with_deadline("late", DEADLINE).as_bytes())
        .expect("written");
    assert!(wait_for_stop_or_answer(&program, &faults, 0, 1, &client));
    let was_read = Instant::now();
    faults.switch(0, Switch::Off);
    faults.switch(1, Switch::On);
    sleep_until(was_read + DEADLINE - REMAINING);
    program.signal("-CONT");
    assert!(
        !wait_for_stop_or_answer(&program, &faults, 1, 1, &client),
        "the request is being written"
    );
    let answer = Message::read(&mut BufReader::new(client)).expect("an answer");
    assert_eq!(answer.status(), 503);
    faults.switch(1, Switch::Off);
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0));
    assert_eq!(timed.worker.count(), 0);
}
