//! Ports that are free for the program to listen at, or that nobody listens at, for as long as a test needs them.

use std::net::SocketAddr;

use socket2::{Domain, Socket, Type};

/// A port of loopback that the system gives to nobody who asks for any: neither to another test, nor to a connection.
///
/// A socket is bound to it that does not listen, so that connections are refused; a program that binds to it by name,
/// with `SO_REUSEADDR` set, may listen there. A port that was only found to be free may be taken at once by another
/// test's connection.
pub struct ReservedPort {
    /// Its address.
    pub address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves a port.
    ///
    /// # Panics
    /// Panics when no port can be bound.
    #[must_use]
    pub fn new() -> ReservedPort {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("set");
        socket.set_reuse_port(true).expect("set");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any_port.into()).expect("a port");
        let address = socket.local_addr().expect("its address");
        ReservedPort {
            address: address.as_socket().expect("an address of IP"),
            _socket: socket,
        }
    }
}

impl Default for ReservedPort {
    fn default() -> ReservedPort {
        ReservedPort::new()
    }
}
