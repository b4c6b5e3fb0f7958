//! Joining the fleet, and rejoining after a partition: when announcements are sent, and to which
//! addresses.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use foca::State;

use super::types::Identity;
use super::Membership;
use crate::rows::Owner;
use crate::Micros;

/// The interval between the first requests for members: 0.25 s.
pub(super) const JOIN_INTERVAL: Micros = 250_000;
/// The number of requests sent at that interval.
const FAST_JOIN_REQUESTS: u32 = 8;
/// The interval between later requests, which discover members that were missed: 10 s.
const SLOW_JOIN_INTERVAL: Micros = 10_000_000;
/// One in this many requests goes to a join address, and the others go to members.
const REQUESTS_PER_SEED: u32 = 8;

impl Membership {
    /// Asks a random member or join address for the members that it knows.
    pub(super) fn request_members(&mut self, now: Micros) {
        self.join_requests += 1;
        let live_members = self.live_members();
        let interval = if live_members.is_empty() || self.join_requests < FAST_JOIN_REQUESTS {
            JOIN_INTERVAL
        } else {
            SLOW_JOIN_INTERVAL
        };
        self.next_join = now + interval;
        let use_seed = live_members.is_empty() || self.join_requests % REQUESTS_PER_SEED == 0;
        let picked = match self.rng.choice(&live_members) {
            Some(id) if !use_seed => Some(id.clone()),
            _ => self
                .rng
                .choice(&self.join)
                .map(|at| placeholder_identity(*at)),
        };
        self.announce(picked);
    }

    /// Announces this process to a random dead member, or to a join address at which no member is
    /// known. After a partition heals, the two sides meet again only through such announcements.
    pub(super) fn announce_to_dead(&mut self) {
        let mut candidates: Vec<Identity> = self
            .foca
            .iter_membership_state()
            .filter(|member| member.state() == State::Down)
            .map(|member| member.id().clone())
            .collect();
        candidates.sort();
        // There may be as many join addresses as members, so each lookup must not scan all members.
        let mut known: BTreeSet<SocketAddr> = candidates.iter().map(|id| id.address).collect();
        known.extend(self.foca.iter_members().map(|member| member.id().address));
        let unknown = self.join.iter().filter(|at| !known.contains(at));
        candidates.extend(unknown.map(|at| placeholder_identity(*at)));
        let picked = self.rng.choice(&candidates).cloned();
        self.announce(picked);
    }

    fn announce(&mut self, to: Option<Identity>) {
        if let Some(to) = to {
            // A failed announcement is repeated later, like one that is lost.
            let _ = self.foca.announce(to, &mut self.runtime);
        }
    }
}

/// An identity for an address whose member is unknown. The process at that address answers an
/// announcement regardless of the name in it.
fn placeholder_identity(address: SocketAddr) -> Identity {
    Identity {
        owner: Owner::new("?", 0),
        generation: 0,
        address,
    }
}
