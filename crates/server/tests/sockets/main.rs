//! The program from outside: it is started, and spoken to over sockets. One test for each thing
//! that its protocol promises, and for each failure found.

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
mod start;
mod starting;
mod stop;
mod terms;
mod workers;

#[path = "../common/readiness.rs"]
mod readiness;
#[path = "../common/requests.rs"]
mod requests;
#[path = "../common/settings.rs"]
mod settings;

use oakshed_standin::*;

/// An address at which connections never come up: its queue is full, and nobody accepts.
fn unreachable_address() -> (std::net::SocketAddr, Vec<socket2::Socket>) {
    let new = || {
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket")
    };
    let listener = new();
    let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("a port");
    listener.listen(0).expect("listening");
    let address = listener
        .local_addr()
        .expect("its address")
        .as_socket()
        .expect("one of IP");
    let mut sockets = vec![listener];
    for _ in 0..4 {
        let socket = new();
        socket.set_nonblocking(true).expect("set");
        _ = socket.connect(&address.into());
        sockets.push(socket);
    }
    (address, sockets)
}

/// A worker that serves with this result, one request for each message that is sent.
fn gated_worker(result: &'static str) -> (Peer, std::sync::mpsc::Sender<()>) {
    let (open, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let peer = Peer::new(move |message, stream| {
        _ = gate.lock().unwrap().recv();
        done(message, stream, result)
    });
    (peer, open)
}

/// The log of a program that was stopped by a signal, once the last counts stand in it.
fn log_after_stop(program: &Program) -> String {
    until("the log's last counts", || {
        program.log().contains("stopped")
    });
    program.log()
}

/// Whether a connection was closed and not reset; to be called once the program has let go of it.
fn closed_without_reset(client: &std::net::TcpStream) -> bool {
    client.take_error().expect("its state").is_none()
}
