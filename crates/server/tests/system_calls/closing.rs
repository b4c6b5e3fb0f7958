//! Requests that arrive right after the program has shut down its sending side of a connection.
//!
//! They are not forwarded, and they do not reset the connection. The program is stopped at these moments, which gives
//! clients time to send.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use oakshed_fault_injection::{Faults, Switch};
use oakshed_standin::*;

use super::streams::connect_from;
use super::{for_each_row, run_exclusively, start_limited_with_faults, start_with_faults};

/// The source address of the clients whose connections the program closes, so that fault rows can select them.
const CLIENT: &str = "127.0.0.9:0";
/// For how long the program reads from a connection after it has shut down its sending side, unless it must exit
/// earlier.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// The row that stops the process before it shuts down the sending side of a connection from [`CLIENT`].
const AT_SHUTDOWN: usize = 0;
/// The row that stops the process before it waits for events.
const AT_WAIT: usize = 1;
const ROWS: &str = "shutdown STOP 1/1 0 0 on=127.0.0.9:; epoll_wait STOP 1/1 0 0";

/// What a client has done before the program closes its connection.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// A request was served, and the connection is idle.
    Idle,
    /// Nothing was sent.
    New,
    /// A part of a request was sent.
    Partial,
}

/// Stops the program each time that it has shut down the sending side of connections from [`CLIENT`], before it waits
/// for events again, and calls `while_stopped`, which returns whether further closes are expected. Returns a time
/// shortly before the last close.
fn stop_at_each_close(
    program: &Program,
    faults: &Faults,
    mut while_stopped: impl FnMut() -> bool,
) -> Instant {
    let mut expects_another = true;
    let mut before_close = Instant::now();
    faults.switch(AT_SHUTDOWN, Switch::On);
    let mut closes = faults.strikes(AT_SHUTDOWN);
    while expects_another {
        until("the close of a connection", || {
            let now = Instant::now();
            let is_reached = faults.strikes(AT_SHUTDOWN) > closes;
            if !is_reached {
                before_close = now;
            }
            is_reached && program.is_stopped()
        });
        faults.switch(AT_SHUTDOWN, Switch::Off);
        let waits = faults.strikes(AT_WAIT);
        faults.switch(AT_WAIT, Switch::On);
        program.signal("-CONT");
        until("the wait for events", || {
            faults.strikes(AT_WAIT) > waits && program.is_stopped()
        });
        faults.switch(AT_WAIT, Switch::Off);
        expects_another = while_stopped();
        closes = faults.strikes(AT_SHUTDOWN);
        if expects_another {
            faults.switch(AT_SHUTDOWN, Switch::On);
        }
        program.signal("-CONT");
    }
    before_close
}

/// Whether the client has received the end of the stream.
fn has_ended(client: &TcpStream) -> bool {
    client.set_nonblocking(true).expect("set");
    let peeked = client.peek(&mut [0]);
    client.set_nonblocking(false).expect("set");
    matches!(peeked, Ok(0))
}

/// Sends a request on a connection that the program has closed, and checks that there is no answer.
fn send_after_close(client: &mut TcpStream, id: &str) {
    client
        .write_all(request("transfer", id).as_bytes())
        .expect("written");
    assert_eq!(client.read(&mut [0]).expect("no reset"), 0, "{id}");
}

fn is_reset(client: &TcpStream) -> bool {
    client.take_error().expect("its state").is_some()
}

fn assert_none_forwarded(worker: &Peer) {
    let seen = worker.seen.lock().unwrap();
    let mut ids = seen.iter().filter_map(|message| message.field("req-id"));
    assert!(ids.all(|id| !id.starts_with("late")), "{seen:?}");
}

#[test]
fn request_after_close_at_shutdown_is_neither_reset_nor_forwarded() {
    for_each_row([Kind::Idle, Kind::New, Kind::Partial], |kind| {
        let worker = good();
        let discovery = Discovery::new(&[("s-1", worker.address)]);
        let faults = Faults::new(ROWS);
        let mut program = start_with_faults(&discovery, &faults, &[]);
        let mut client = connect_from(CLIENT, program.address);
        let partial = request("transfer", "late-partial");
        match kind {
            Kind::Idle => {
                let answer = send_on(&mut client, &request("transfer", "first"));
                assert_eq!(answer.status(), 200);
            }
            Kind::New => {}
            Kind::Partial => client
                .write_all(&partial.as_bytes()[..partial.len() - 2])
                .expect("written"),
        }
        program.signal("-TERM");
        let before_close = stop_at_each_close(&program, &faults, || {
            assert!(has_ended(&client), "{kind:?}");
            send_after_close(&mut client, "late");
            false
        });
        // The client keeps the connection open until the program has exited.
        assert_eq!(program.wait().code(), Some(0), "{kind:?}");
        // The rest of a partial request is awaited until the last answers are due, which leaves little time to linger.
        let lingered = before_close.elapsed();
        assert!(
            lingered >= LINGER_TIMEOUT || matches!(kind, Kind::Partial),
            "{kind:?}: {lingered:?}"
        );
        assert!(!is_reset(&client), "{kind:?}");
        assert_none_forwarded(&worker);
    });
}

/// Connections that are evicted at the connection limit are closed in the same way, and new clients do not shorten the
/// time for it.
#[test]
fn request_after_eviction_is_neither_reset_nor_forwarded() {
    const IDLE: usize = 14;
    const EVICTED: usize = 3;
    let _guard = run_exclusively();
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let faults = Faults::new(ROWS);
    let mut program = start_limited_with_faults(&discovery, &faults, 64, &[]);
    let mut idle: Vec<TcpStream> = (0..IDLE)
        .map(|_| connect_from(CLIENT, program.address))
        .collect();
    for (number, client) in idle.iter_mut().enumerate() {
        let answer = send_on(client, &request("transfer", &format!("id-{number}")));
        assert_eq!(answer.status(), 200);
    }
    std::thread::scope(|scope| {
        let program = &program;
        let new_clients = scope.spawn(|| {
            let mut clients: Vec<TcpStream> = (0..5).map(|_| program.connect()).collect();
            for (number, client) in clients.iter_mut().enumerate() {
                let answer = send_on(client, &request("transfer", &format!("new-{number}")));
                assert_eq!(answer.status(), 200);
            }
        });
        let mut closed = [false; IDLE];
        stop_at_each_close(program, &faults, || {
            for (number, client) in idle.iter_mut().enumerate() {
                if !closed[number] && has_ended(client) {
                    closed[number] = true;
                    send_after_close(client, &format!("late-{number}"));
                }
            }
            closed.iter().filter(|closed| **closed).count() < EVICTED
        });
        new_clients.join().expect("all are served");
    });
    // The program has closed all connections once it has exited, while their clients keep them open.
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0));
    assert!(!idle.iter().any(is_reset));
    assert_none_forwarded(&worker);
}
