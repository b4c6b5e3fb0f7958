//! A simulated fleet: nodes in virtual time, and a network with delay, loss and broken paths.
//!
//! The seed determines all times and the order of events. Nodes interact only by datagrams.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use oakshed_peers::node::{Config, Effect, Node};
use oakshed_peers::rows::Owner;
use oakshed_peers::Micros;

pub const START: Micros = 1_700_000_000_000_000;
pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// The number of datagrams that the socket buffer of a stalled process holds.
const SOCKET_BUFFER_DATAGRAMS: usize = 256;

enum Event {
    Arrive {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Wake(usize),
    Resume(usize),
}

/// An effect reported by a node, or a fault injected into it.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    Joined(Owner),
    Suspected(Owner),
    Died(Owner),
    List(oakshed_peers::endpoint_list::ListUpdate),
    Injected(String),
}

/// An entry of the fleet's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    pub at: Micros,
    pub node: usize,
    pub event: NodeEvent,
}

/// A member of the fleet, and its process while it runs.
pub struct Slot {
    pub name: String,
    pub at: SocketAddr,
    pub node: Option<Node>,
    stalled: bool,
    inbox: Vec<(usize, Vec<u8>)>,
    wake: Micros,
    /// Bytes sent in each second since the start.
    pub sent_bytes: BTreeMap<u64, u64>,
    pub cpu: Duration,
}

pub struct World {
    pub now: Micros,
    pub slots: Vec<Slot>,
    events: BTreeMap<(Micros, u64), Event>,
    event_count: u64,
    rng: fastrand::Rng,
    /// The number of lost datagrams per thousand.
    pub loss: u32,
    /// Pairs of sender and receiver between which all datagrams are lost.
    pub blocked: BTreeSet<(usize, usize)>,
    pub log: Vec<LogEntry>,
    /// The number of rows that each node increments every 3 s.
    pub load: u32,
    next_load: Micros,
    pub configure: fn(&mut Config),
}

/// The number of join addresses: one per 40 members, but at least three.
pub fn seed_count(n: usize) -> usize {
    n.min(3.max(n / 40))
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (n / 250) as u8, (n % 250) as u8 + 1], 7_000))
}

impl World {
    /// Starts `n` nodes at once. The first ones serve as join addresses.
    pub fn new(n: usize, seed: u64, configure: fn(&mut Config)) -> World {
        let slots = (0..n).map(|i| Slot {
            name: format!("n{i}"),
            at: address(i),
            node: None,
            stalled: false,
            inbox: Vec::new(),
            wake: Micros::MAX,
            sent_bytes: BTreeMap::new(),
            cpu: Duration::ZERO,
        });
        let mut world = World {
            now: START,
            slots: slots.collect(),
            events: BTreeMap::new(),
            event_count: 0,
            rng: fastrand::Rng::with_seed(seed),
            loss: 0,
            blocked: BTreeSet::new(),
            log: Vec::new(),
            load: 0,
            next_load: START,
            configure,
        };
        for i in 0..n {
            world.start(i);
        }
        world
    }

    /// Starts or restarts a process, as a new incarnation without state.
    pub fn start(&mut self, i: usize) {
        let join = (0..seed_count(self.slots.len())).map(address).collect();
        let me = Owner::new(&self.slots[i].name, self.now / 1_000);
        let mut config = Config::new(me, address(i), "here", join);
        (self.configure)(&mut config);
        let node = Node::new(config, self.now, self.rng.u64(..));
        self.slots[i].wake = Micros::MAX;
        self.slots[i].node = Some(node);
        self.log_injected(i, "start");
        self.apply_effects(i);
    }

    fn log_event(&mut self, node: usize, event: NodeEvent) {
        let at = self.now;
        self.log.push(LogEntry { at, node, event });
    }

    pub fn log_injected(&mut self, node: usize, what: &str) {
        self.log_event(node, NodeEvent::Injected(what.into()));
    }

    pub fn kill(&mut self, i: usize) {
        self.slots[i].node = None;
        self.log_injected(i, "kill");
    }

    /// Stalls a process. Datagrams that arrive meanwhile wait in its socket buffer.
    pub fn stall(&mut self, i: usize, span: Micros) {
        self.slots[i].stalled = true;
        self.log_injected(i, "stall");
        self.schedule(self.now + span, Event::Resume(i));
    }

    /// Partitions the network into two sides.
    pub fn split(&mut self, side: impl Fn(usize) -> bool) {
        let n = self.slots.len();
        for (a, b) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))) {
            if side(a) != side(b) {
                self.blocked.insert((a, b));
            }
        }
        self.log_injected(0, "split");
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
        self.log_injected(0, "heal");
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    /// Advances the virtual time.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let next = self
                .events
                .first_key_value()
                .map_or(Micros::MAX, |((at, _), _)| *at);
            let load = if self.load > 0 {
                self.next_load
            } else {
                Micros::MAX
            };
            if next.min(load) > end {
                break;
            }
            if load <= next {
                self.now = self.now.max(load);
                self.add_load();
                continue;
            }
            let Some(((at, _), event)) = self.events.pop_first() else {
                break;
            };
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Runs until a condition holds, and returns how long that took. Fails after `max`.
    pub fn run_until(&mut self, max: Micros, what: &str, holds: impl Fn(&World) -> bool) -> Micros {
        let start = self.now;
        while !holds(self) {
            assert!(self.now - start < max, "not within {} ms: {what}", max / MS);
            self.run(20 * MS);
        }
        self.now - start
    }

    fn add_load(&mut self) {
        self.next_load = self.now + 3 * S;
        for i in 0..self.slots.len() {
            for _ in 0..self.load {
                let subject = [b'w', self.rng.u8(..4)];
                let increments = [(0, self.rng.u32(1..20)), (1, self.rng.u32(0..2))];
                let slot = &mut self.slots[i];
                if let Some(node) = slot.node.as_mut().filter(|_| !slot.stalled) {
                    let window = node.rows().window(self.now);
                    node.rows_mut()
                        .raise(window, 1, &subject, &increments)
                        .expect("the row is within the limits");
                }
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive { from, to, bytes } => {
                let slot = &mut self.slots[to];
                if slot.stalled {
                    if slot.inbox.len() < SOCKET_BUFFER_DATAGRAMS {
                        slot.inbox.push((from, bytes));
                    }
                    return;
                }
                let Some(node) = &mut slot.node else { return };
                let begin = Instant::now();
                node.handle(self.now, address(from), &bytes);
                slot.cpu += begin.elapsed();
                self.apply_effects(to);
            }
            Event::Wake(i) => {
                let slot = &mut self.slots[i];
                if slot.stalled || slot.wake > self.now {
                    return;
                }
                slot.wake = Micros::MAX;
                let Some(node) = &mut slot.node else { return };
                let begin = Instant::now();
                node.tick(self.now);
                slot.cpu += begin.elapsed();
                self.apply_effects(i);
            }
            Event::Resume(i) => {
                self.slots[i].stalled = false;
                self.log_injected(i, "resume");
                // Timers first, which is the worst order: waiting datagrams may refute suspicions.
                if let Some(node) = &mut self.slots[i].node {
                    node.tick(self.now);
                }
                for (from, bytes) in std::mem::take(&mut self.slots[i].inbox) {
                    if let Some(node) = &mut self.slots[i].node {
                        node.handle(self.now, address(from), &bytes);
                    }
                }
                self.apply_effects(i);
            }
        }
    }

    /// Carries out a node's effects, and schedules its next wake-up.
    pub fn apply_effects(&mut self, i: usize) {
        while let Some(effect) = self.slots[i].node.as_mut().and_then(Node::poll_effect) {
            let event = match effect {
                Effect::Send { to, bytes } => {
                    self.send(i, to, bytes);
                    continue;
                }
                Effect::Joined(owner) => NodeEvent::Joined(owner),
                Effect::Suspected(owner) => NodeEvent::Suspected(owner),
                Effect::Died(owner) => NodeEvent::Died(owner),
                Effect::List { update, .. } => NodeEvent::List(update),
            };
            self.log_event(i, event);
        }
        let Some(next) = self.slots[i].node.as_ref().map(Node::next_wake) else {
            return;
        };
        let next = next.max(self.now + 1);
        if next < self.slots[i].wake {
            self.slots[i].wake = next;
            self.schedule(next, Event::Wake(i));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= 1_200, "a datagram of {} bytes", bytes.len());
        *self.slots[from]
            .sent_bytes
            .entry((self.now - START) / S)
            .or_default() += bytes.len() as u64;
        let Some(to) = self.slots.iter().position(|slot| slot.at == to) else {
            return;
        };
        let lost = self.rng.u32(..1_000) < self.loss;
        if !lost && !self.blocked.contains(&(from, to)) {
            let at = self.now + 300 + self.rng.u64(..2 * MS);
            self.schedule(at, Event::Arrive { from, to, bytes });
        }
    }

    pub fn alive(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(i, slot)| Some((i, slot.node.as_ref()?)))
    }

    /// Whether every live node knows exactly the other live ones. Both sides are sorted: with a
    /// thousand nodes, searching for each member would take most of a test's time.
    pub fn membership_converged(&self) -> bool {
        let alive: BTreeSet<&Owner> = self.alive().map(|(_, node)| node.rows().me()).collect();
        self.alive().all(|(_, node)| {
            let others = alive
                .iter()
                .copied()
                .filter(|owner| *owner != node.rows().me());
            others.eq(node.live_members().map(|(owner, _)| owner))
        })
    }

    /// The rows stored by a node.
    pub fn stored_rows(node: &Node) -> BTreeMap<(Owner, u32, Vec<u8>), Vec<u32>> {
        let mut all = BTreeMap::new();
        node.rows()
            .for_each_row(1, |owner, window, subject, counts| {
                all.insert((owner.clone(), window, subject.to_vec()), counts.to_vec());
            });
        all
    }

    /// Whether all live nodes have stored the same rows.
    pub fn rows_converged(&self) -> bool {
        let mut contents = self.alive().map(|(_, node)| World::stored_rows(node));
        let Some(first) = contents.next() else {
            return true;
        };
        contents.all(|other| other == first)
    }

    /// The deaths that nodes reported since a time.
    pub fn deaths(&self, since: Micros) -> Vec<(Micros, usize, Owner)> {
        self.log
            .iter()
            .filter(|entry| entry.at >= since)
            .filter_map(|entry| match &entry.event {
                NodeEvent::Died(owner) => Some((entry.at, entry.node, owner.clone())),
                _ => None,
            })
            .collect()
    }

    /// A short label for an event.
    pub fn label(event: &NodeEvent) -> String {
        match event {
            NodeEvent::Joined(owner) => format!("joined {}", owner.name),
            NodeEvent::Suspected(owner) => format!("{}?", owner.name),
            NodeEvent::Died(owner) => format!("dead {}", owner.name),
            NodeEvent::List(update) => format!("list {update:?}"),
            NodeEvent::Injected(what) => what.clone(),
        }
    }

    /// The log as text since a time, one line per event.
    pub fn log_text(&self, since: Micros) -> String {
        let line = |entry: &LogEntry| {
            let label = World::label(&entry.event);
            let ms = (entry.at - START) / MS;
            format!(
                "{:>3}.{:03} {:<4} {label}\n",
                ms / 1_000,
                ms % 1_000,
                self.slots[entry.node].name
            )
        };
        self.log
            .iter()
            .filter(|entry| entry.at >= since)
            .map(line)
            .collect()
    }
}
