//! The relays of datagrams: one socket for each node, at which all others reach it and from which it seems to send.
//!
//! A datagram's source identifies its pair, so that any number of pairs needs one socket for each node. Datagrams
//! from unknown sources are dropped.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::Relays;

/// Larger datagrams are truncated; no member sends any.
const LARGEST_DATAGRAM: usize = 2_048;
/// Delayed datagrams in flight to one node; further ones are lost, as in a full queue.
const MOST_IN_FLIGHT: usize = 4_096;

/// A node that receives and sends datagrams.
pub(super) struct Node {
    pub(super) name: String,
    real: SocketAddr,
    pub(super) at: SocketAddr,
    socket: UdpSocket,
    in_flight: std::cell::Cell<usize>,
}

impl Node {
    pub(super) async fn bind(name: &str, real: SocketAddr, ip: IpAddr) -> io::Result<Rc<Node>> {
        let socket = UdpSocket::bind((ip, 0)).await?;
        Ok(Rc::new(Node {
            name: name.to_owned(),
            real,
            at: socket.local_addr()?,
            socket,
            in_flight: std::cell::Cell::new(0),
        }))
    }
}

/// Forwards the datagrams that others send to a node.
pub(super) async fn run(node: Rc<Node>, relays: Relays) {
    let mut buffer = [0; LARGEST_DATAGRAM];
    loop {
        let Ok((n, source)) = node.socket.recv_from(&mut buffer).await else {
            continue;
        };
        let sender = relays
            .0
            .nodes
            .borrow()
            .values()
            .find(|other| other.real == source)
            .cloned();
        let Some(sender) = sender else { continue };
        let faults = relays.faults(&sender.name, &node.name);
        if faults.cut_there || faults.stall || relays.random() < faults.loss {
            continue;
        }
        let late = faults.delay + faults.jitter.mul_f64(relays.random());
        if late.is_zero() {
            _ = sender.socket.try_send_to(&buffer[..n], node.real);
        } else if node.in_flight.get() < MOST_IN_FLIGHT {
            node.in_flight.set(node.in_flight.get() + 1);
            let (node, bytes) = (node.clone(), buffer[..n].to_vec());
            tokio::task::spawn_local(async move {
                sleep(late).await;
                _ = sender.socket.try_send_to(&bytes, node.real);
                node.in_flight.set(node.in_flight.get() - 1);
            });
        }
    }
}
