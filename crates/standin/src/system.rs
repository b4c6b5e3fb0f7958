//! What the system knows of a process and of sockets, by `/proc`.

use std::net::SocketAddr;

use crate::program::Program;

/// Descriptors that the program holds.
#[must_use]
pub fn descriptors(program: &Program) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).map_or(0, |d| d.count())
}

/// Connections to an address that are in a state, as the system numbers these: 01 is established, 02 is
/// being dialled.
///
/// # Panics
/// Panics when the address is not one of IPv4, or the system lists no connections.
#[must_use]
pub fn connections(address: SocketAddr, state: &str) -> usize {
    let SocketAddr::V4(v4) = address else {
        panic!("{address} is not of IPv4")
    };
    let entry = format!(
        "{:08X}:{:04X} {state} ",
        u32::from_ne_bytes(v4.ip().octets()),
        v4.port()
    );
    std::fs::read_to_string("/proc/net/tcp")
        .expect("the system's list")
        .matches(&entry)
        .count()
}

/// Bytes that have come from an address, and that nobody has read.
///
/// # Panics
/// Panics when the address is not one of IPv4, or the system's list cannot be read.
#[must_use]
pub fn unread_from(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else {
        panic!("{address} is not of IPv4")
    };
    let entry = format!(
        " {:08X}:{:04X} ",
        u32::from_ne_bytes(v4.ip().octets()),
        v4.port()
    );
    let list = std::fs::read_to_string("/proc/net/tcp").expect("the system's list");
    // Of each socket: its own address, the other one, its state, and the bytes that it has to send and to be read.
    let of = |line: &str| {
        let (own, rest) = line.split_once(&entry)?;
        let queue = rest
            .split([' ', ':'])
            .nth(2)
            .filter(|_| own.matches(':').count() == 2)?;
        Some(usize::from_str_radix(queue, 16).expect("a number"))
    };
    list.lines().filter_map(of).sum()
}

/// Bytes that have come to an address, on connections that it accepted or not, and that nobody has read.
///
/// # Panics
/// Panics when the address is not one of IPv4, or the system's list cannot be read.
#[must_use]
pub fn unread_at(address: SocketAddr) -> usize {
    let connections = connections_at(address);
    connections.iter().map(|c| c.unread).sum()
}

/// Bytes that were written at an address, and that the other end has not acknowledged.
///
/// # Panics
/// Panics when the address is not one of IPv4, or the system's list cannot be read.
#[must_use]
pub fn unacknowledged_at(address: SocketAddr) -> usize {
    let connections = connections_at(address);
    connections.iter().map(|c| c.unacknowledged).sum()
}

/// Connections to an address that neither end has closed, as the system sees them at this address.
///
/// # Panics
/// Panics when the address is not one of IPv4, or the system's list cannot be read.
#[must_use]
pub fn established_at(address: SocketAddr) -> usize {
    let connections = connections_at(address);
    connections.iter().filter(|c| c.is_established).count()
}

/// A connection at a local address, with the bytes that the system holds for it.
struct LocalConnection {
    is_established: bool,
    unacknowledged: usize,
    unread: usize,
}

/// The connections at a local address; a listening socket is none.
fn connections_at(address: SocketAddr) -> Vec<LocalConnection> {
    let SocketAddr::V4(v4) = address else {
        panic!("{address} is not of IPv4")
    };
    let own = format!(
        ": {:08X}:{:04X} ",
        u32::from_ne_bytes(v4.ip().octets()),
        v4.port()
    );
    let list = std::fs::read_to_string("/proc/net/tcp").expect("the system's list");
    // Of each socket: its own address, the other one, its state (01 is established, 0A listens), and what it has to send
    // and to be read.
    let of = |line: &str| {
        let (_, rest) = line.split_once(&own)?;
        let mut fields = rest.split(' ').skip(1);
        let state = fields.next().filter(|state| *state != "0A")?;
        let (unacknowledged, unread) = fields.next()?.split_once(':')?;
        let number = |digits| usize::from_str_radix(digits, 16).expect("a number");
        Some(LocalConnection {
            is_established: state == "01",
            unacknowledged: number(unacknowledged),
            unread: number(unread),
        })
    };
    list.lines().filter_map(of).collect()
}
