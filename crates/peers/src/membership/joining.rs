//! Joining the fleet, and rejoining after a partition: which addresses are called, and when.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use foca::State;

use super::types::Identity;
use super::Membership;
use crate::rows::Owner;
use crate::Micros;

/// Between two calls for more members at first: 0.25 s.
pub(super) const JOIN_INTERVAL: Micros = 250_000;
/// How many calls are made at that pace.
const FAST_JOIN_REQUESTS: u32 = 8;
/// Between two calls later, in case that a member was missed: 10 s.
const SLOW_JOIN_INTERVAL: Micros = 10_000_000;
/// Of so many calls one goes to a join address, and the others to members.
const REQUESTS_PER_SEED: u32 = 8;

impl Membership {
    /// Calls a member, or a join address, for the members that it knows.
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

    /// After a partition somebody has to call first: a dead member, or a join address that no living member
    /// has.
    pub(super) fn announce_to_dead(&mut self) {
        let mut candidates: Vec<Identity> = self
            .foca
            .iter_membership_state()
            .filter(|member| member.state() == State::Down)
            .map(|member| member.id().clone())
            .collect();
        candidates.sort();
        // The join addresses may be as many as there are members: no search through all of these for each.
        let mut known: BTreeSet<SocketAddr> = candidates.iter().map(|id| id.address).collect();
        known.extend(self.foca.iter_members().map(|member| member.id().address));
        let unknown = self.join.iter().filter(|at| !known.contains(at));
        candidates.extend(unknown.map(|at| placeholder_identity(*at)));
        let picked = self.rng.choice(&candidates).cloned();
        self.announce(picked);
    }

    fn announce(&mut self, to: Option<Identity>) {
        if let Some(to) = to {
            // An announcement that cannot be made is repeated like one that is lost.
            let _ = self.foca.announce(to, &mut self.runtime);
        }
    }
}

/// Any member at an address: who listens there answers whatever the name is.
fn placeholder_identity(address: SocketAddr) -> Identity {
    Identity {
        owner: Owner::new("?", 0),
        generation: 0,
        address,
    }
}
