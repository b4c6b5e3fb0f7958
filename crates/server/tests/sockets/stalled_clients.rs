//! Clients that read nothing for a while as their response is written: the network between may be cut off, and what is
//! left of the response must arrive once it is back.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use oakshed_standin::*;

/// More than the socket of a scheduler holds for a client with small buffers.
const RESULT_BYTES: usize = 60_000;
/// The segment size of an Ethernet.
const SEGMENT_BYTES: u32 = 1_400;
const RECEIVE_BUFFER_BYTES: usize = 2_048;
/// Longer than a request or response may stall where no client waits for it (2.4 s).
const LONG_PAUSE: Duration = Duration::from_secs(3);
/// Longer than a response may stall before its connection counts as one that can close (0.5 s).
const SHORT_PAUSE: Duration = Duration::from_millis(1_200);
/// Several of the checks for connections that can close, which a shutdown makes every 50 ms.
const CLOSE_CHECKS: Duration = Duration::from_millis(300);

fn worker_with_large_results() -> Peer {
    Peer::new(|message, stream| done(message, stream, &"x".repeat(RESULT_BYTES)))
}

/// Connects with a small receive buffer and small segments. Otherwise the system would take a complete response at once.
fn connect(address: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("failed to create a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("socket error");
    socket.set_tcp_mss(SEGMENT_BYTES).expect("socket error");
    socket.connect(&address.into()).expect("failed to connect");
    let stream = TcpStream::from(socket);
    stream
        .set_read_timeout(Some(PATIENCE))
        .expect("socket error");
    stream
}

/// Sends a request and waits until its response is stalled, with a part of it not yet written to the socket.
fn stalled_client(program: &Program, text: &str) -> TcpStream {
    let mut client = connect(program.address);
    client.write_all(text.as_bytes()).expect("failed to write");
    let local = client.local_addr().expect("no local address");
    until("a response that the client does not read", || {
        unacknowledged_at(program.address) > 0 && unread_at(local) > 0
    });
    let in_transit = unacknowledged_at(program.address) + unread_at(local);
    assert!(in_transit < RESULT_BYTES, "{in_transit} bytes were written");
    client
}

#[track_caller]
fn assert_complete_response(client: TcpStream) {
    let response = Message::read(&mut BufReader::new(client)).expect("no complete response");
    assert_eq!(
        (response.status(), response.body.len()),
        (200, RESULT_BYTES)
    );
}

/// Guards against a response that is cut off because nothing of it could be written for 2.4 s, although its client
/// still waits for it.
#[test]
fn stalled_response_is_completed_within_the_deadline() {
    let worker = worker_with_large_results();
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let client = stalled_client(&program, &request("transfer", "id-1"));
    std::thread::sleep(LONG_PAUSE);
    assert_complete_response(client);
}

/// Guards against the same in a shutdown, which closes connections that make no progress.
#[test]
fn stalled_response_is_completed_in_a_shutdown() {
    let worker = worker_with_large_results();
    let mut program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let client = stalled_client(&program, &request("transfer", "id-1"));
    program.signal("-TERM");
    until("the close of connections in the log", || {
        program.log().contains("closing: ")
    });
    std::thread::sleep(CLOSE_CHECKS);
    assert_complete_response(client);
    assert_eq!(program.wait().code(), Some(0));
}

/// Guards against the same at the limit on descriptors, where connections that make no progress are evicted first.
#[test]
fn stalled_response_is_completed_when_descriptors_run_out() {
    let worker = worker_with_large_results();
    let program = Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 64, &[]);
    let client = stalled_client(&program, &request("transfer", "id-1"));
    std::thread::sleep(SHORT_PAUSE);
    let _idle: Vec<_> = (0..60).map(|_| program.connect()).collect();
    assert_eq!(
        program.send(&request("transfer", "id-2")).status(),
        200,
        "no place for a new client"
    );
    assert_complete_response(client);
}

/// Guards against connections of clients that never read, which would stay open for good.
#[test]
fn connection_of_a_client_that_never_reads_is_closed_after_its_deadline() {
    let worker = worker_with_large_results();
    let mut program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let start = Instant::now();
    let text = request("transfer", "id-1").replace("Deadline-Ms: 5000", "Deadline-Ms: 3000");
    let mut client = stalled_client(&program, &text);
    until("the close", || established_at(program.address) == 0);
    let elapsed = start.elapsed();
    assert!(
        (Duration::from_millis(3_500)..Duration::from_secs(5)).contains(&elapsed),
        "closed after {elapsed:?}"
    );
    let mut rest = Vec::new();
    _ = client.read_to_end(&mut rest);
    assert!(rest.len() < RESULT_BYTES, "{} bytes came", rest.len());
    program.signal("-TERM");
    program.wait();
    let log = program.log();
    assert!(log.contains("unfinished_responses: 1 "), "{log}");
}

/// Guards against an error in the midst of a response: malformed input that follows the request ends the connection only
/// behind the response to it.
#[test]
fn malformed_input_does_not_cut_off_the_response_before_it() {
    let worker = worker_with_large_results();
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let mut client = stalled_client(&program, &request("transfer", "id-1"));
    client
        .write_all(b"no request\r\n\r\n")
        .expect("failed to write");
    until("the malformed input is read", || {
        unread_at(program.address) == 0
    });
    let mut reader = BufReader::new(client);
    let responses =
        [(); 3].map(|()| Message::read(&mut reader).map(|m| (m.status(), m.body.len())));
    assert_eq!(responses, [Some((200, RESULT_BYTES)), Some((400, 0)), None]);
}
