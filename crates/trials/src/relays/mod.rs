//! Relays between any two nodes, one for each directed pair, and the faults on them.
//!
//! A relay changes no byte, and keeps the bytes of each connection in order; its buffers are bounded. All relays
//! run in the thread of the caller's `LocalSet`.

mod tcp;
mod udp;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::sync::watch;

use crate::history::History;

/// Addresses of one trial.
pub(crate) struct OwnAddresses {
    /// The trial's number in this process.
    pub(crate) number: u32,
    /// The address of the schedulers.
    pub(crate) schedulers: IpAddr,
    /// The address of all others.
    pub(crate) others: IpAddr,
}

/// Addresses that no other trial and no client of this machine uses: of 127.0.0.0/8, by this process's id. The
/// system picks their ports, and clients' ports at 127.0.0.1.
pub(crate) fn own_addresses() -> OwnAddresses {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let pid = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let ip = |part: u32| {
        let last = 1 + (2 * number + part) % 250;
        IpAddr::V4(Ipv4Addr::new(
            127,
            64 + (pid >> 8) as u8 % 128,
            pid as u8,
            last as u8,
        ))
    };
    OwnAddresses {
        number,
        schedulers: ip(0),
        others: ip(1),
    }
}

/// The faults between one node and another. The default: none.
///
/// `there` is the direction of the node that dials, of requests; `back` that of answers. For datagrams only `there`
/// counts, as each direction is a pair of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// How much later everything arrives.
    pub delay: Duration,
    /// A random further delay of up to so much; bytes of one connection stay in order.
    pub jitter: Duration,
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// Nothing that is sent arrives. Bytes on connections are delayed until the cut is healed, as if retransmitted;
    /// datagrams are lost.
    pub cut_there: bool,
    /// No answer arrives.
    pub cut_back: bool,
    /// Connections are accepted, and bytes delayed both ways, without closing.
    pub stall: bool,
    /// Bytes a second each way on each connection; None: no limit.
    pub rate: Option<u64>,
}

impl Faults {
    /// Nothing arrives either way.
    pub const CUT: Faults = Faults {
        cut_there: true,
        cut_back: true,
        ..Faults {
            loss: 0.0,
            ..Faults::none()
        }
    };

    /// No fault.
    #[must_use]
    pub const fn none() -> Faults {
        Faults {
            delay: Duration::ZERO,
            jitter: Duration::ZERO,
            loss: 0.0,
            cut_there: false,
            cut_back: false,
            stall: false,
            rate: None,
        }
    }

    /// The label of the timeline.
    fn label(&self) -> String {
        let mut labels = Vec::new();
        match (self.cut_there, self.cut_back) {
            (true, true) => labels.push("cut".to_owned()),
            (true, false) => labels.push("cut there".to_owned()),
            (false, true) => labels.push("cut back".to_owned()),
            (false, false) => {}
        }
        if self.stall {
            labels.push("stall".to_owned());
        }
        if !self.delay.is_zero() || !self.jitter.is_zero() {
            let (delay, jitter) = (self.delay.as_millis(), self.jitter.as_millis());
            labels.push(format!("delay {delay}+{jitter}ms"));
        }
        if self.loss > 0.0 {
            labels.push(format!("loss {}%", (self.loss * 100.0).round()));
        }
        if let Some(rate) = self.rate {
            labels.push(format!("{rate} B/s"));
        }
        if labels.is_empty() {
            "heal".to_owned()
        } else {
            labels.join(" ")
        }
    }
}

/// The receiving ends of a pair's controls.
#[derive(Clone)]
struct Controls {
    faults: watch::Receiver<Faults>,
    /// Changes when all connections are to be reset.
    resets: watch::Receiver<u64>,
}

/// A pair's relay: its address, and the sending ends of its controls.
struct Link {
    at: SocketAddr,
    faults: watch::Sender<Faults>,
    resets: watch::Sender<u64>,
}

struct Shared {
    /// Where relays listen.
    ip: IpAddr,
    links: RefCell<BTreeMap<(String, String), Link>>,
    nodes: RefCell<BTreeMap<String, Rc<udp::Node>>>,
    rng: RefCell<fastrand::Rng>,
    history: History,
}

/// All relays of a trial.
#[derive(Clone)]
pub struct Relays(Rc<Shared>);

impl Relays {
    /// Relays that will listen on that address, with a seed for their random numbers.
    #[must_use]
    pub fn new(ip: IpAddr, seed: u64, history: History) -> Relays {
        Relays(Rc::new(Shared {
            ip,
            links: RefCell::default(),
            nodes: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            history,
        }))
    }

    /// The address at which `from` reaches what listens at `target` as `to`.
    ///
    /// # Errors
    /// Those of binding.
    pub async fn tcp(&self, from: &str, to: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = tokio::net::TcpListener::bind((self.0.ip, 0)).await?;
        let at = listener.local_addr()?;
        let controls = self.link(from, to, at);
        let rng = self.0.rng.borrow_mut().fork();
        tokio::task::spawn_local(tcp::run(listener, target, controls, rng));
        Ok(at)
    }

    /// A node that receives datagrams at `real`, and sends from there. Returns the one address at which all others
    /// reach it. A datagram's source identifies its sender.
    ///
    /// # Errors
    /// Those of binding.
    pub async fn udp_node(&self, name: &str, real: SocketAddr) -> io::Result<SocketAddr> {
        let node = udp::Node::bind(name, real, self.0.ip).await?;
        let at = node.at;
        self.0
            .nodes
            .borrow_mut()
            .insert(name.to_owned(), node.clone());
        tokio::task::spawn_local(udp::run(node, self.clone()));
        Ok(at)
    }

    /// The address at which `from` reaches `to` by datagrams. It is the same for all, as members gossip one
    /// another's addresses; the pair's faults are set as those of any.
    ///
    /// # Panics
    /// Where `to` is no node for datagrams.
    #[must_use]
    pub fn udp(&self, from: &str, to: &str) -> SocketAddr {
        let at = self.0.nodes.borrow()[to].at;
        if self.address(from, to).is_none() {
            drop(self.link(from, to, at));
        }
        at
    }

    fn link(&self, from: &str, to: &str, at: SocketAddr) -> Controls {
        let faults = watch::Sender::new(Faults::default());
        let resets = watch::Sender::new(0);
        let controls = Controls {
            faults: faults.subscribe(),
            resets: resets.subscribe(),
        };
        self.0.links.borrow_mut().insert(
            (from.to_owned(), to.to_owned()),
            Link { at, faults, resets },
        );
        controls
    }

    /// Sets the faults from one node to another from now on. Returns whether there is such a pair.
    #[allow(
        clippy::must_use_candidate,
        reason = "most callers set faults of a pair that they have made themselves"
    )]
    pub fn set(&self, from: &str, to: &str, faults: Faults) -> bool {
        let links = self.0.links.borrow();
        let Some(link) = links.get(&(from.to_owned(), to.to_owned())) else {
            return false;
        };
        if link.faults.send_replace(faults) != faults {
            let label = format!("{}->{to}", faults.label());
            self.0.history.event(from, label);
        }
        true
    }

    /// Resets all connections from one node to another; returns whether there is such a pair.
    #[must_use]
    pub fn reset(&self, from: &str, to: &str) -> bool {
        let links = self.0.links.borrow();
        let Some(link) = links.get(&(from.to_owned(), to.to_owned())) else {
            return false;
        };
        link.resets.send_modify(|n| *n += 1);
        self.0.history.event(from, format!("reset->{to}"));
        true
    }

    /// The address of a pair's relay.
    #[must_use]
    pub fn address(&self, from: &str, to: &str) -> Option<SocketAddr> {
        self.0
            .links
            .borrow()
            .get(&(from.to_owned(), to.to_owned()))
            .map(|link| link.at)
    }

    /// The current faults on datagrams from one node to another.
    fn faults(&self, from: &str, to: &str) -> Faults {
        let links = self.0.links.borrow();
        links
            .get(&(from.to_owned(), to.to_owned()))
            .map_or(Faults::none(), |link| *link.faults.borrow())
    }

    fn random(&self) -> f64 {
        self.0.rng.borrow_mut().f64()
    }
}
