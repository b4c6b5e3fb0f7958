//! Integration tests that start the scheduler process and talk to it over sockets.
//!
//! There is a test for each guarantee of its protocol and a regression test for each fault found.

mod answers;
mod attempts;
mod cancelled;
mod change_notification;
mod closing;
mod customers;
mod disconnects;
mod discovery;
mod eviction;
mod faults;
mod forwarding;
mod large;
mod malformed;

mod stages;
mod stalled_clients;
mod start;
mod starting;
mod stop;
mod terms;
mod unresponsive_agent;
mod workers;

#[path = "../common/readiness.rs"]
mod readiness;
#[path = "../common/requests.rs"]
mod requests;
#[path = "../common/settings.rs"]
mod settings;

use oakshed_standin::*;

/// Returns an address at which connections are never established, because the accept queue is full and no connection
/// is accepted from it. The sockets are the listener, first, and the connections that fill the queue.
fn unreachable_address() -> (std::net::SocketAddr, Vec<socket2::Socket>) {
    let new_socket = || {
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("failed to create a socket")
    };
    let listener = new_socket();
    let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("invalid address");
    listener.bind(&any.into()).expect("failed to bind");
    listener.listen(0).expect("failed to listen");
    let address = listener
        .local_addr()
        .expect("no local address")
        .as_socket()
        .expect("not an IP address");
    let mut sockets = vec![listener];
    for _ in 0..4 {
        let socket = new_socket();
        socket.set_nonblocking(true).expect("socket error");
        _ = socket.connect(&address.into());
        sockets.push(socket);
    }
    (address, sockets)
}

/// Starts a worker that answers with `result`, one request for each message sent on the channel.
fn gated_worker(result: &'static str) -> (Peer, std::sync::mpsc::Sender<()>) {
    let (release, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let peer = Peer::new(move |message, stream| {
        _ = gate.lock().unwrap().recv();
        done(message, stream, result)
    });
    (peer, release)
}

/// Waits until a program that was stopped by a signal has logged its final counts, and returns its log.
fn log_after_stop(program: &Program) -> String {
    until("the final counts in the log", || {
        program.log().contains("stopped")
    });
    program.log()
}

/// Returns whether a connection was closed without a reset. Call this once the program has closed its end.
fn closed_without_reset(client: &std::net::TcpStream) -> bool {
    client.take_error().expect("socket error").is_none()
}
