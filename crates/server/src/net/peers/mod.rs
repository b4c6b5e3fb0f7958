//! The exchange with other schedulers (peers): runs the state machine of oakshed-peers on a UDP socket, a timer and a
//! snapshot file.
//!
//! Peers' reports about workers can only restrict scheduling. A worker that a peer reports as leaving gets no new
//! requests, and a worker that only peers list as ready stays unknown.

mod error;
mod snapshot_file;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tracing::{info, warn};

use super::{wall_clock, Clock, Net};
use crate::config::Config;
use crate::list::UpdateKind;
use crate::operator::PeersConfig;
pub use error::PeersError;
use oakshed_core::facade::{Condition, Entry, ListKind, Micros};
use oakshed_peers::datagram::MAX_DATAGRAM_LENGTH;
use oakshed_peers::endpoint_list::{ListUpdate, Worker, WorkerState};
use oakshed_peers::node::{self, Effect, Node};
use oakshed_peers::rows::Owner;

/// The most datagrams that are handled before the timers are checked. After a stall of this process, the datagrams that
/// are already queued are thus handled before any timer fires.
const MAX_DATAGRAMS_PER_WAKE: usize = 512;
/// The incarnations per member whose rows are retained: the current one and recent ones.
const INCARNATIONS_PER_MEMBER: usize = 4;
/// The pause between two attempts to bind while the predecessor still holds the address, and after a failed read.
const RETRY_PERIOD: Duration = Duration::from_millis(200);
/// The least time between two log lines about dropped datagrams.
const DROP_LOG_PERIOD: Micros = 1_000_000;

/// This scheduler's membership among its peers.
pub(crate) struct Peers {
    node: RefCell<Node>,
    listen: SocketAddr,
    socket: RefCell<Option<UdpSocket>>,
    /// The generation of the own endpoint list that was last passed to the node.
    published_generation: Cell<Option<u64>>,
    /// Wakes the task after the own endpoint list has changed, as the node may have datagrams to send.
    list_changed: Notify,
}

/// Binds the socket and creates the node; `None` if the operator's file has no `peers` entry.
pub(super) fn open(config: &Config, now: Micros) -> Result<Option<Peers>, PeersError> {
    let Some(settings) = &config.operator.peers else {
        return Ok(None);
    };
    let key = settings.key()?;
    let socket = match bind(settings.listen) {
        Ok(socket) => Some(socket),
        // The predecessor may still have the address bound: `run` retries.
        Err(e) if e.kind() == io::ErrorKind::AddrInUse => None,
        Err(error) => {
            return Err(PeersError::Bind {
                address: settings.listen,
                error,
            })
        }
    };
    Ok(Some(Peers {
        node: RefCell::new(new_node(config, settings, key, now)),
        listen: settings.listen,
        socket: RefCell::new(socket),
        published_generation: Cell::new(None),
        list_changed: Notify::new(),
    }))
}

/// Creates the state machine, and restores the snapshot, if there is one.
fn new_node(config: &Config, settings: &PeersConfig, key: Option<Vec<u8>>, now: Micros) -> Node {
    let own = Owner::new(&config.name, now / 1_000);
    let mut node_config = node::Config::new(
        own,
        settings.listen,
        &settings.installation,
        settings.join.clone(),
    );
    let snapshot = settings
        .dir
        .as_deref()
        .and_then(|dir| snapshot_file::read(dir, settings, now, node_config.max_clock_skew));
    // The members of the snapshot serve as further join addresses.
    if let Some(snapshot) = &snapshot {
        node_config
            .join_addresses
            .extend(snapshot.members.iter().copied().take(settings.members));
    }
    node_config.key = key;
    node_config.max_members = settings.members;
    node_config.discovery = config.discovery.to_string();
    node_config.limits.max_owners = INCARNATIONS_PER_MEMBER * settings.members;
    // An eighth of the memory, as during a hot restart only half of it may be this process's.
    node_config.limits.max_bytes = node_config.limits.max_bytes.min(config.memory / 8);
    let mut node = Node::new(node_config, now, config.seed ^ now);
    if let Some(snapshot) = snapshot {
        node.restore(snapshot);
    }
    node
}

fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Runs the node until the process shuts down or a successor has taken over.
pub(super) async fn run(net: Rc<Net>) {
    let Some(peers) = &net.peers else { return };
    let socket = bound_socket(peers).await;
    let listen = peers.listen;
    info!(event = "peers", %listen, "peers: listening on {listen}");
    start_snapshots(&net);
    let mut handed_over = net.shutdown.handed_over.subscribe();
    let mut closing = net.shutdown.closing.subscribe();
    let mut drop_log = DropLog::default();
    loop {
        let wake = net.clock.instant(peers.node.borrow().next_wake());
        tokio::select! {
            biased;
            // A successor needs the address, and a process that is closing takes no part any more.
            _ = handed_over.wait_for(|handed_over| *handed_over) => break,
            _ = closing.wait_for(|closing| *closing) => break,
            readable = socket.readable() => {
                if readable.is_err() {
                    tokio::time::sleep(RETRY_PERIOD).await;
                }
                peers.node.borrow_mut().observe_wall_clock(net.clock.now(), wall_clock());
                receive(&net.clock, peers, &socket);
            }
            () = tokio::time::sleep_until(wake) => {}
            () = peers.list_changed.notified() => {}
        }
        let now = net.clock.now();
        peers
            .node
            .borrow_mut()
            .observe_wall_clock(now, wall_clock());
        if peers.node.borrow().next_wake() <= now {
            peers.node.borrow_mut().tick(now);
        }
        execute_effects(&net, peers, &socket);
        drop_log.update(peers, now);
    }
}

/// Returns the socket once it is bound, which may have to wait for the predecessor to release the address.
async fn bound_socket(peers: &Peers) -> UdpSocket {
    let mut socket = peers.socket.take();
    loop {
        if let Some(socket) = socket.take() {
            return socket;
        }
        tokio::time::sleep(RETRY_PERIOD).await;
        socket = bind(peers.listen).ok();
    }
}

/// Starts writing snapshots if the operator's file names a directory for them.
fn start_snapshots(net: &Rc<Net>) {
    let Some(settings) = &net.config.operator.peers else {
        return;
    };
    if let Some(dir) = &settings.dir {
        let write = snapshot_file::write_periodically(net.clone(), dir.clone(), settings.clone());
        tokio::task::spawn_local(write);
    }
}

/// Passes received datagrams to the node.
fn receive(clock: &Clock, peers: &Peers, socket: &UdpSocket) {
    // One byte more than the longest datagram, so that the node can tell a truncated one from a complete one.
    let mut bytes = [0; MAX_DATAGRAM_LENGTH + 1];
    for _ in 0..MAX_DATAGRAMS_PER_WAKE {
        let Ok((n, from)) = socket.try_recv_from(&mut bytes) else {
            break;
        };
        peers
            .node
            .borrow_mut()
            .handle(clock.now(), from, &bytes[..n]);
    }
}

/// Carries out the effects that the node has queued.
fn execute_effects(net: &Rc<Net>, peers: &Peers, socket: &UdpSocket) {
    let mut updates = Vec::new();
    loop {
        let effect = peers.node.borrow_mut().poll_effect();
        match effect {
            None => break,
            // A failed send counts as a datagram lost on the network.
            Some(Effect::Send { to, bytes }) => drop(socket.try_send_to(&bytes, to)),
            Some(Effect::Joined(Owner { name, incarnation })) => {
                info!(
                    event = "joined",
                    member = &*name,
                    life = incarnation,
                    "peers: {name} joined"
                );
            }
            Some(Effect::Suspected(Owner { name, incarnation })) => {
                info!(
                    event = "suspected",
                    member = &*name,
                    life = incarnation,
                    "peers: {name} is suspected"
                );
            }
            Some(Effect::Died(Owner { name, incarnation })) => {
                warn!(
                    event = "dead",
                    member = &*name,
                    life = incarnation,
                    "peers: {name} is dead"
                );
            }
            Some(Effect::List { from, update }) => updates.push((from, update)),
        }
    }
    apply_peer_updates(net, updates);
}

/// Logs the counts of dropped datagrams, once a second at most and only when they have changed.
#[derive(Default)]
struct DropLog {
    logged_total: u64,
    logged_at: Micros,
}

impl DropLog {
    fn update(&mut self, peers: &Peers, now: Micros) {
        let dropped = peers.node.borrow().dropped();
        if dropped.total() == self.logged_total || now < self.logged_at + DROP_LOG_PERIOD {
            return;
        }
        let [cut, version, installation, mac, replayed, malformed, impossible] = dropped.by_reason;
        warn!(
            event = "bad peers",
            cut,
            version,
            installation,
            mac,
            replayed,
            malformed,
            impossible,
            "peers: {} datagrams dropped so far",
            dropped.total()
        );
        self.logged_total = dropped.total();
        self.logged_at = now;
    }
}

/// Passes the list of this scheduler's own discovery to the node, to be shared with the peers.
pub(super) fn publish_list(net: &Net) {
    let Some(peers) = &net.peers else { return };
    // After a reload to another discovery, the list numbers are not comparable with those of the peers.
    if net.discovery.address() != net.config.discovery {
        return;
    }
    let Some(snapshot) = net.discovery.endpoint_list.borrow().snapshot() else {
        return;
    };
    // Without this check, an answer of discovery that brings no new list would replace a newer list from a peer by the
    // own, older one, and the peer's list would be applied and logged again after each such answer.
    if peers
        .published_generation
        .replace(Some(snapshot.generation))
        == Some(snapshot.generation)
    {
        return;
    }
    let worker = |entry: Entry| Worker {
        id: entry.worker.to_string(),
        state: if entry.condition == Condition::Active {
            WorkerState::Ready
        } else {
            WorkerState::Draining
        },
        start: entry.online_since / 1_000,
    };
    let workers: Vec<Worker> = snapshot
        .instances
        .iter()
        .map(|i| worker(i.entry(&net.config.names)))
        .collect();
    peers
        .node
        .borrow_mut()
        .on_discovery_list(net.clock.now(), snapshot.generation, &workers);
    peers.list_changed.notify_one();
}

/// Entries of the own list as changed by peers' updates, with their addresses.
type ChangedEntries = FxHashMap<Rc<str>, (Entry, SocketAddr)>;

/// Applies peers' updates to workers of the own list, as far as they restrict scheduling, in a single delta. With one
/// delta per worker, the loss of a zone would cost one change of the whole list for each of its workers, and an update
/// of a worker's start would undo another update of the same worker.
fn apply_peer_updates(net: &Rc<Net>, updates: Vec<(Owner, ListUpdate)>) {
    if net.discovery.address() != net.config.discovery {
        return;
    }
    let mut changed = ChangedEntries::default();
    for (from, update) in updates {
        let peer = &*from.name;
        match &update {
            ListUpdate::Complete { number, age } => {
                let age_ms = age / 1_000;
                info!(
                    event = "list from peer",
                    number, peer, age_ms, "peers: endpoint list {number} from {peer}"
                );
            }
            ListUpdate::Withdrawn {
                worker,
                state: WorkerState::Removed,
                ..
            } => change_entry(net, &mut changed, peer, worker, Some(Condition::Left), 0),
            ListUpdate::Withdrawn { worker, .. } => {
                change_entry(net, &mut changed, peer, worker, Some(Condition::Leaving), 0);
            }
            ListUpdate::StartedLater { worker, start } => {
                change_entry(net, &mut changed, peer, worker, None, start * 1_000);
            }
        }
    }
    if changed.is_empty() {
        return;
    }
    let (entries, addresses): (Vec<Entry>, Vec<SocketAddr>) = changed.into_values().unzip();
    net.workers
        .update(UpdateKind::Delta, entries.iter().zip(addresses));
    net.report_list(ListKind::Delta, &entries);
}

/// Adds a peer's report on a worker to the changed entries: a new condition, or a later start.
fn change_entry(
    net: &Net,
    changed: &mut ChangedEntries,
    peer: &str,
    worker: &str,
    condition: Option<Condition>,
    start: Micros,
) {
    let endpoint_list = net.discovery.endpoint_list.borrow();
    let Some(own) = endpoint_list.find(worker) else {
        return;
    };
    let (mut entry, address) = match changed.remove(worker) {
        Some(pending) => pending,
        None => (own.entry(&net.config.names), own.host_port),
    };
    if entry.condition == Condition::Active && !net.workers.is_ready(worker) {
        entry.condition = Condition::Leaving;
    }
    entry.condition = condition.unwrap_or(entry.condition);
    entry.online_since = entry.online_since.max(start);
    info!(
        event = "learned",
        worker, peer, "peers: worker {worker} is {:?} according to {peer}", entry.condition
    );
    changed.insert(entry.worker.clone(), (entry, address));
}
