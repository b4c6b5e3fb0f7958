//! Membership: SWIM by the library foca, with time and randomness passed in.
//!
//! This module adds a bound on members, and two parts of Lifeguard (Dadgar et al., 'Lifeguard: Local Health
//! Awareness for More Accurate Failure Detection', DSN-W 2018). A process that was stalled suspects itself
//! first: its timers are postponed by the stall, so that what waits in its socket counts before anybody is
//! suspected. And a suspect is notified by the member that suspects it, again and again (section IV-C, buddy
//! system). Whether a member is dead is decided by foca alone.

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

/// The longest packet of foca's within a datagram, in bytes.
const MAX_PACKET_LENGTH: usize = 300;
/// How often each member passes an update on; who misses it learns of it by anti-entropy.
const UPDATE_TRANSMISSIONS: u8 = 4;
/// How many members probe on behalf of another one.
const INDIRECT_PROBES: usize = 3;
/// How many others a new member is sent at first.
const INITIAL_MEMBERS: usize = 4;

/// The membership of one process.
pub struct Membership {
    foca: Foca<Identity, PostcardCodec, FocaRng, NoCustomBroadcast>,
    runtime: Runtime,
    rng: fastrand::Rng,
    timing: MembershipTiming,
    join: Vec<SocketAddr>,
    max_members: usize,
    /// When to call a member or a join address next.
    next_join: Micros,
    join_requests: u32,
    /// When to call a dead member next.
    next_rejoin: Micros,
    /// How often this process was found stalled.
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
    /// A process that knows no member yet; `join` are addresses that are called for the others.
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
        // All of a fleet that starts at once would call in the same moment.
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

    /// This process as the others know it.
    #[must_use]
    pub fn me(&self) -> &Identity {
        self.foca.identity()
    }

    /// The living, without this process, by name and incarnation.
    #[must_use]
    pub fn live_members(&self) -> Vec<Identity> {
        let members = self.foca.iter_members();
        let mut live_members: Vec<Identity> = members.map(|member| member.id().clone()).collect();
        live_members.sort();
        live_members
    }

    /// How many members are known, the retained dead ones among them.
    #[must_use]
    pub fn known(&self) -> usize {
        self.foca.iter_membership_state().len()
    }

    /// Handles a packet of foca's from a peer.
    ///
    /// # Errors
    /// Returns why the packet is rejected: malformed, or naming members that may not be admitted.
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
        // Meant for an earlier incarnation or generation: foca ignores it.
        if header.dst != *self.me() && header.message != Message::Announce {
            self.runtime.actions.push_back(Action::SendSelf(sender));
        }
        self.foca
            .handle_data(bytes, &mut self.runtime)
            .map_err(|_| DatagramError::Malformed)
    }

    /// Members that a peer does not know, as this one knows them.
    #[must_use]
    pub fn alive_among(&self, unknown: &[Owner]) -> Vec<KnownMember> {
        // By order, not one by one: to a new member in a large fleet nearly all are unknown.
        let unknown: BTreeSet<&Owner> = unknown.iter().collect();
        let mut members: Vec<KnownMember> = self
            .foca
            .iter_members()
            .filter(|member| member.state() == State::Alive)
            .filter(|member| unknown.contains(&member.id().owner))
            .map(known_member)
            .collect();
        members.sort();
        members
    }

    /// This process and some others, for a new member at an address.
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

    /// This process, for others.
    #[must_use]
    pub fn self_entry(&self) -> KnownMember {
        KnownMember {
            identity: self.me().clone(),
            swim_incarnation: 0,
        }
    }

    /// Of the members at these addresses, those that foca declared dead, as it knows them.
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

    /// Applies what a peer knows of members that are unknown here, or not known to be dead.
    ///
    /// # Errors
    /// Returns why the members are rejected: malformed, or naming members that may not be admitted.
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
        // The peer passes it on to others as well: no need to do it once more.
        self.foca
            .apply_many(members, false, &mut self.runtime)
            .map_err(|_| DatagramError::Malformed)
    }

    /// Sets the time; after a stall all timers are postponed by its length.
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

    /// Does what is due.
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
            // An error here is a probe that another identity began: foca goes on by itself.
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

    /// Whether a timer would declare a member dead that has refuted the suspicion. foca 1.0 notifies such a
    /// member that it is dead all the same; it would come back as another generation, and who has not learned
    /// of that would suspect it again.
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

    /// When [`Membership::tick`] is to be called next.
    #[must_use]
    pub fn next_wake(&self) -> Micros {
        self.runtime
            .next_wake()
            .min(self.next_join)
            .min(self.next_rejoin)
    }

    /// The next action, in order.
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
