//! Failure detection and membership: the SWIM protocol as implemented by foca, with time and
//! randomness passed in.
//!
//! This module adds a limit on members, and two parts of Lifeguard (Dadgar et al., 'Lifeguard:
//! Local Health Awareness for More Accurate Failure Detection', DSN-W 2018):
//!
//! - A process that was stalled suspects itself first. Its timers are postponed by the length of
//!   the stall, so that datagrams waiting in its socket are handled before it suspects any member.
//! - A member that suspects another one notifies it repeatedly, so that it can refute the suspicion
//!   (section IV-C, buddy system).
//!
//! foca alone decides whether a member is dead.

mod admission;
mod joining;
mod runtime;
mod suspicion;
mod types;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Foca, Member, Message, NoCustomBroadcast, PostcardCodec, State, Timer};

use joining::JOIN_INTERVAL;
use runtime::{FocaRng, Runtime};
pub use types::{Action, Identity, KnownMember, MembershipTiming};

use crate::datagram::DatagramError;
use crate::rows::Owner;
use crate::Micros;

/// The maximum length of a foca packet within a datagram, in bytes.
const MAX_PACKET_LENGTH: usize = 300;
/// How often each member sends an update. Members that miss it are updated by anti-entropy.
const UPDATE_TRANSMISSIONS: u8 = 4;
/// How many members are asked to probe a member that did not answer.
const INDIRECT_PROBES: usize = 3;
/// How many other members a new member is sent at first.
const INITIAL_MEMBERS: usize = 4;

/// The membership as one process knows it.
pub struct Membership {
    foca: Foca<Identity, PostcardCodec, FocaRng, NoCustomBroadcast>,
    runtime: Runtime,
    rng: fastrand::Rng,
    timing: MembershipTiming,
    join: Vec<SocketAddr>,
    max_members: usize,
    /// When to ask a member or a join address for members next.
    next_join: Micros,
    join_requests: u32,
    /// When to announce this process to a dead member or a join address next.
    next_rejoin: Micros,
    /// The number of stalls of this process that were detected.
    pub stalls: u64,
}

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(1))
}

fn non_zero(n: usize) -> NonZeroUsize {
    NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN)
}

fn foca_config(timing: &MembershipTiming) -> foca::Config {
    let mut config = foca::Config::simple();
    config.probe_period = duration(timing.probe_interval);
    config.probe_rtt = duration(timing.probe_timeout.min(timing.probe_interval / 2));
    config.num_indirect_probes = non_zero(INDIRECT_PROBES);
    config.max_transmissions = NonZeroU8::new(UPDATE_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN);
    config.suspect_to_down_after = duration(timing.suspicion_timeout);
    config.remove_down_after = duration(timing.dead_retention);
    config.max_packet_size = non_zero(MAX_PACKET_LENGTH);
    config.notify_down_members = true;
    config.periodic_gossip = Some(foca::PeriodicParams {
        frequency: duration(timing.gossip_interval),
        num_members: NonZeroUsize::MIN,
    });
    config
}

impl Membership {
    /// Creates the membership of a process that knows no other members yet. It announces itself at
    /// the `join` addresses.
    #[must_use]
    pub fn new(
        me: Identity,
        join: Vec<SocketAddr>,
        max_members: usize,
        timing: MembershipTiming,
        now: Micros,
        seed: u64,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let foca_rng = FocaRng(rng.fork());
        let join = join.into_iter().filter(|at| *at != me.address).collect();
        // Spreads the first announcements of a fleet whose members start at the same time.
        let next_join = now + rng.u64(0..JOIN_INTERVAL);
        let next_rejoin = now + timing.rejoin_interval + rng.u64(0..timing.rejoin_interval.max(1));
        Membership {
            foca: Foca::new(me, foca_config(&timing), foca_rng, PostcardCodec),
            runtime: Runtime::new(now),
            rng,
            timing,
            join,
            max_members,
            next_join,
            join_requests: 0,
            next_rejoin,
            stalls: 0,
        }
    }

    /// The identity of this process.
    #[must_use]
    pub fn me(&self) -> &Identity {
        self.foca.identity()
    }

    /// The members that are alive, excluding this process, sorted by name and incarnation.
    #[must_use]
    pub fn live_members(&self) -> Vec<Identity> {
        let members = self.foca.iter_members();
        let mut live_members: Vec<Identity> = members.map(|member| member.id().clone()).collect();
        live_members.sort();
        live_members
    }

    /// The number of known members, including retained dead ones.
    #[must_use]
    pub fn known(&self) -> usize {
        self.foca.iter_membership_state().len()
    }

    /// Handles a foca packet from a peer.
    ///
    /// # Errors
    /// Returns an error if the packet is malformed, or names members that may not be admitted.
    pub fn handle(&mut self, now: Micros, from: &Owner, bytes: &[u8]) -> Result<(), DatagramError> {
        self.advance_clock(now);
        let header = self.check_packet(from, bytes)?;
        let sender = header.src.address;
        let runtime = &mut self.runtime;
        if runtime
            .probe_retry
            .as_ref()
            .is_some_and(|retry| retry.to.address == sender)
        {
            runtime.probe_retry = None;
        }
        if runtime
            .suspects
            .get(&sender)
            .is_some_and(|suspect| header.src_incarnation > suspect.swim_incarnation)
        {
            runtime.suspects.remove(&sender);
        }
        // The packet is addressed to an earlier incarnation or generation of this process, so foca
        // ignores it.
        if header.dst != *self.me() && header.message != Message::Announce {
            self.runtime.actions.push_back(Action::SendSelf(sender));
        }
        self.foca
            .handle_data(bytes, &mut self.runtime)
            .map_err(|_| DatagramError::Malformed)
    }

    /// The members among `owners` that are alive, as this process knows them.
    #[must_use]
    pub fn alive_among(&self, owners: &[Owner]) -> Vec<KnownMember> {
        // A set keeps the lookups fast: to a new member of a large fleet, nearly all members are
        // unknown.
        let owners: BTreeSet<&Owner> = owners.iter().collect();
        let mut members: Vec<KnownMember> = self
            .foca
            .iter_members()
            .filter(|member| member.state() == State::Alive)
            .filter(|member| owners.contains(&member.id().owner))
            .map(known_member)
            .collect();
        members.sort();
        members
    }

    /// This process and a few random other members, for a new member at an address.
    pub fn initial_members(&mut self, to: SocketAddr) -> Vec<KnownMember> {
        let others: Vec<KnownMember> = self
            .foca
            .iter_members()
            .filter(|member| member.state() == State::Alive && member.id().address != to)
            .map(known_member)
            .collect();
        let mut members = self.rng.choose_multiple(others, INITIAL_MEMBERS);
        members.push(self.self_entry());
        members
    }

    /// This process as an entry for others.
    #[must_use]
    pub fn self_entry(&self) -> KnownMember {
        KnownMember {
            identity: self.me().clone(),
            swim_incarnation: 0,
        }
    }

    /// The members at these addresses that foca declared dead, as this process knows them.
    #[must_use]
    pub fn declared_dead(&self, addresses: &[SocketAddr]) -> Vec<KnownMember> {
        let mut dead: Vec<KnownMember> = self
            .foca
            .iter_membership_state()
            .filter(|member| member.state() == State::Down)
            .filter(|member| addresses.contains(&member.id().address))
            .map(known_member)
            .collect();
        dead.sort();
        dead
    }

    /// Applies the entries that a peer sent of members that are unknown here, or whose death is
    /// unknown here.
    ///
    /// # Errors
    /// Returns an error if foca rejects the entries, or if they name members that may not be
    /// admitted.
    pub fn apply(
        &mut self,
        now: Micros,
        members: Vec<KnownMember>,
        alive: bool,
    ) -> Result<(), DatagramError> {
        self.advance_clock(now);
        let named = members.iter().map(|member| member.identity.clone());
        self.check_admission(named.collect())?;
        let state = if alive { State::Alive } else { State::Down };
        let members = members
            .into_iter()
            .map(|member| Member::new(member.identity, member.swim_incarnation, state));
        // The peer sends these updates to others itself, so they are not gossiped again.
        self.foca
            .apply_many(members, false, &mut self.runtime)
            .map_err(|_| DatagramError::Malformed)
    }

    /// Advances the clock. If a timer is late by more than the stall threshold, all timers are
    /// postponed by as much.
    fn advance_clock(&mut self, now: Micros) {
        self.runtime.now = self.runtime.now.max(now);
        let Some(((due, _), _)) = self.runtime.timers.first_key_value() else {
            return;
        };
        let late = now.saturating_sub(*due);
        if late > self.timing.stall_threshold {
            self.stalls += 1;
            self.runtime.postpone(late);
        }
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Micros) {
        self.advance_clock(now);
        while let Some(entry) = self.runtime.timers.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let timer = entry.remove();
            if self.is_refuted(&timer) {
                continue;
            }
            // foca returns an error here if the probe was started under another identity of this
            // process, and recovers by itself.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
        }
        self.retry_probe(now);
        self.ping_suspects(now);
        if now >= self.next_join {
            self.request_members(now);
        }
        if now >= self.next_rejoin {
            self.next_rejoin = now + self.timing.rejoin_interval;
            self.announce_to_dead();
        }
    }

    /// Whether a timer would declare a member dead that has refuted the suspicion. foca 1.0
    /// nevertheless notifies such a member that it is dead. The member would return with a new
    /// generation, and would be suspected again by members that have not learned of it.
    fn is_refuted(&self, timer: &Timer<Identity>) -> bool {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = timer
        else {
            return false;
        };
        let is_suspect = |member: &Member<Identity>| {
            member.id() == member_id && member.incarnation() == *incarnation
        };
        !self.foca.iter_membership_state().any(is_suspect)
    }

    /// When [`Membership::tick`] is due next.
    #[must_use]
    pub fn next_wake(&self) -> Micros {
        self.runtime
            .next_wake()
            .min(self.next_join)
            .min(self.next_rejoin)
    }

    /// Returns the next queued action.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.runtime.actions.pop_front()
    }
}

fn known_member(member: &Member<Identity>) -> KnownMember {
    KnownMember {
        identity: member.id().clone(),
        swim_incarnation: member.incarnation(),
    }
}
