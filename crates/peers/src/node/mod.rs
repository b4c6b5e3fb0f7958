//! A member of the fleet: membership, rows and endpoint list, combined into one state machine.
//!
//! Incoming datagrams are authenticated and then handled by the module in charge; outgoing ones are
//! subject to the budget. No state is kept for senders that fail authentication.

mod anti_entropy;
mod config;
mod lists;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

pub use config::{Config, Effect, SendStats};

use crate::budget::{Budget, TrafficClass};
use crate::datagram::{DatagramCodec, DatagramError, DropCounts};
use crate::endpoint_list::EndpointListCache;
use crate::exchange::{self, DigestCursor};
use crate::membership::{Action, Identity, Membership};
use crate::message::Body;
use crate::rows::{Limits, Owner, Rows};
use crate::snapshot::Snapshot;
use crate::Micros;
use lists::{ListExchange, POLL_INTERVAL};

/// The number of tracked senders, as a multiple of the maximum number of members.
const SENDERS_PER_MEMBER: usize = 2;
/// After a membership update or a healed partition, the next exchange follows within the usual
/// interval divided by this.
const URGENT_EXCHANGE_DIVISOR: u64 = 5;

/// A member that was declared dead.
struct DeadMember {
    address: SocketAddr,
    declared_at: Micros,
}

/// A member of the fleet.
pub struct Node {
    codec: DatagramCodec,
    membership: Membership,
    rows: Rows,
    endpoint_list: EndpointListCache,
    lists: ListExchange,
    budget: Budget,
    cursor: DigestCursor,
    rng: fastrand::Rng,
    installation: String,
    live_members: BTreeMap<Owner, SocketAddr>,
    dead: BTreeMap<Owner, DeadMember>,
    next_exchange: Micros,
    exchange_interval: Micros,
    dead_retention: Micros,
    max_members: usize,
    effects: VecDeque<Effect>,
    dropped: DropCounts,
    sent_bytes_by_kind: [u64; Body::KINDS.len()],
}

impl Node {
    /// Creates a member that knows no others yet.
    #[must_use]
    pub fn new(config: Config, now: Micros, seed: u64) -> Node {
        let mut rng = fastrand::Rng::with_seed(seed);
        let membership = membership(&config, now, rng.u64(..));
        let cursor = DigestCursor::new(rng.u32(..));
        let next_exchange = now + rng.u64(0..config.exchange_interval.max(1));
        let next_poll = if config.discovery.is_empty() {
            Micros::MAX
        } else {
            now + rng.u64(0..POLL_INTERVAL)
        };
        let limits = Limits {
            max_clock_skew: config.max_clock_skew,
            ..config.limits
        };
        let max_senders = SENDERS_PER_MEMBER * config.max_members;
        let key = config.key.as_deref();
        let me = config.me.clone();
        Node {
            codec: DatagramCodec::new(
                &config.installation,
                key,
                me,
                config.max_clock_skew,
                max_senders,
            ),
            membership,
            rows: Rows::new(config.me, limits, now),
            endpoint_list: EndpointListCache::new(
                &config.discovery,
                config.max_workers,
                config.max_list_age,
            ),
            lists: ListExchange::new(next_poll),
            budget: Budget::new(config.max_bytes_per_second, config.max_burst_bytes, now),
            cursor,
            installation: config.installation,
            live_members: BTreeMap::new(),
            dead: BTreeMap::new(),
            next_exchange,
            exchange_interval: config.exchange_interval,
            dead_retention: config.timing.dead_retention,
            max_members: config.max_members,
            effects: VecDeque::new(),
            dropped: DropCounts::default(),
            sent_bytes_by_kind: [0; Body::KINDS.len()],
            rng,
        }
    }

    /// The shared rows.
    #[must_use]
    pub fn rows(&self) -> &Rows {
        &self.rows
    }

    /// The shared rows, for incrementing own counts.
    pub fn rows_mut(&mut self) -> &mut Rows {
        &mut self.rows
    }

    /// The cached endpoint list.
    #[must_use]
    pub fn endpoint_list(&self) -> &EndpointListCache {
        &self.endpoint_list
    }

    /// The members known to be alive, excluding this process, sorted by name and incarnation.
    pub fn live_members(&self) -> impl Iterator<Item = (&Owner, SocketAddr)> {
        self.live_members.iter().map(|(owner, at)| (owner, *at))
    }

    /// Whether the member at an address is known to be dead.
    #[must_use]
    pub fn is_dead(&self, at: SocketAddr) -> bool {
        self.dead.values().any(|dead| dead.address == at)
    }

    /// The number of dropped datagrams by reason.
    #[must_use]
    pub fn dropped(&self) -> DropCounts {
        self.dropped
    }

    /// Statistics of what was sent.
    #[must_use]
    pub fn send_stats(&self) -> SendStats {
        SendStats {
            bytes: self.budget.sent,
            over_budget: self.budget.over_budget,
            stalls: self.membership.stalls,
        }
    }

    /// Bytes sent by variant, in the order of [`Body::KINDS`].
    #[must_use]
    pub fn sent_bytes_by_kind(&self) -> [u64; Body::KINDS.len()] {
        self.sent_bytes_by_kind
    }

    /// A snapshot of the shared state.
    #[must_use]
    pub fn snapshot(&self, now: Micros) -> Snapshot {
        let members = self.live_members.values().copied().collect();
        Snapshot::of(&self.rows, now, &self.installation, members)
    }

    /// Restores the snapshot of an earlier incarnation at start-up.
    pub fn restore(&mut self, snapshot: Snapshot) {
        snapshot.restore(&mut self.rows);
    }

    /// Sets the wall clock. To be called before datagrams are handled or created.
    pub fn observe_wall_clock(&mut self, now: Micros, wall: Micros) {
        self.codec.observe_wall_clock(now, wall);
    }

    /// Handles a received datagram.
    pub fn handle(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.rows.expire(now);
        if let Err(error) = self.handle_datagram(now, from, bytes) {
            self.dropped.count(error);
        }
        self.apply_membership_actions(now);
    }

    fn handle_datagram(
        &mut self,
        now: Micros,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<(), DatagramError> {
        let (owner, body) = self.codec.decode(now, bytes)?;
        if self.dead.contains_key(&owner) {
            // A partition has healed, so the rows of both sides are compared soon.
            self.schedule_early_exchange(now);
        }
        match postcard::from_bytes(body).map_err(|_| DatagramError::Malformed)? {
            Body::Membership(packet) => self.membership.handle(now, &owner, &packet)?,
            Body::Digest(digest) => self.on_digest(now, from, &owner, &digest)?,
            Body::Members(members) => {
                self.membership.apply(now, members, true)?;
                // A peer that sent these entries may have further ones.
                self.schedule_early_exchange(now);
            }
            Body::DeadMembers(members) => self.membership.apply(now, members, false)?,
            Body::Rows(newest, deltas) => {
                if !exchange::merge_deltas(&mut self.rows, newest, deltas) {
                    return Err(DatagramError::Implausible);
                }
            }
            Body::ListVersion(theirs) => self.compare_lists(now, from, theirs),
            Body::ListChunk(chunk) => self.on_list_chunk(now, &owner, chunk),
        }
        Ok(())
    }

    fn schedule_early_exchange(&mut self, now: Micros) {
        let soon = now + self.exchange_interval / URGENT_EXCHANGE_DIVISOR;
        self.next_exchange = self.next_exchange.min(soon);
    }

    /// Sends a datagram if the budget allows it. Returns whether it was sent.
    fn send(&mut self, now: Micros, to: SocketAddr, class: TrafficClass, body: &Body) -> bool {
        let kind = body.kind();
        let body = postcard::to_allocvec(body).unwrap_or_default();
        let Some(bytes) = self.codec.encode(now, &body) else {
            debug_assert!(
                false,
                "a body of {} bytes exceeds the maximum length",
                body.len()
            );
            return false;
        };
        if !self.budget.try_consume(now, class, bytes.len()) {
            return false;
        }
        self.sent_bytes_by_kind[kind] += bytes.len() as u64;
        self.effects.push_back(Effect::Send { to, bytes });
        true
    }

    /// Handles everything that is due. To be called at [`Node::next_wake`] at the latest: a call
    /// that is late by more than the stall threshold counts as a stall of this process.
    pub fn tick(&mut self, now: Micros) {
        self.rows.expire(now);
        self.membership.tick(now);
        self.apply_membership_actions(now);
        self.poll_for_list(now);
        if now >= self.next_exchange {
            self.next_exchange = now + self.exchange_interval;
            self.send_digest(now);
        }
    }

    /// Carries out the actions that membership has queued.
    fn apply_membership_actions(&mut self, now: Micros) {
        while let Some(action) = self.membership.poll_action() {
            match action {
                Action::Send { to, bytes, class } => {
                    self.send(now, to, class, &Body::Membership(bytes));
                }
                Action::SendSelf(to) => {
                    let me = vec![self.membership.self_entry()];
                    self.send(now, to, TrafficClass::Update, &Body::Members(me));
                }
                Action::SendInitialMembers(to) => {
                    let members = self.membership.initial_members(to);
                    self.send(now, to, TrafficClass::List, &Body::Members(members));
                }
                Action::Joined(id) => self.on_joined(id),
                Action::Suspected(owner) => self.effects.push_back(Effect::Suspected(owner)),
                Action::Died(owner) => self.on_died(now, owner),
            }
        }
    }

    fn on_joined(&mut self, id: Identity) {
        self.dead
            .retain(|owner, dead| *owner != id.owner && dead.address != id.address);
        self.rows.set_alive(&id.owner, true);
        // A new generation of a member that is already known is not reported.
        if self
            .live_members
            .insert(id.owner.clone(), id.address)
            .is_none()
        {
            self.effects.push_back(Effect::Joined(id.owner));
        }
    }

    fn on_died(&mut self, now: Micros, owner: Owner) {
        self.rows.set_alive(&owner, false);
        if let Some(address) = self.live_members.remove(&owner) {
            let dead = DeadMember {
                address,
                declared_at: now,
            };
            self.dead.insert(owner.clone(), dead);
            self.effects.push_back(Effect::Died(owner));
        }
    }

    /// The time by which [`Node::tick`] has to be called.
    #[must_use]
    pub fn next_wake(&self) -> Micros {
        self.membership
            .next_wake()
            .min(self.next_exchange)
            .min(self.lists.next_poll)
    }

    /// Returns the next queued effect.
    pub fn poll_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }
}

fn membership(config: &Config, now: Micros, seed: u64) -> Membership {
    let me = Identity {
        owner: config.me.clone(),
        generation: 0,
        address: config.address,
    };
    let join_addresses = config.join_addresses.clone();
    Membership::new(
        me,
        join_addresses,
        config.max_members,
        config.timing.clone(),
        now,
        seed,
    )
}
