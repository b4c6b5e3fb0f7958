//! The order in which members may poll discovery for the endpoint list, which limits the calls when
//! hundreds start at once.
//!
//! Members at the configured join addresses come first, in the configured order, because all
//! members know these before they know each other. The others follow in the order of their
//! rendezvous hashes (Thaler and Ravishankar, 'Using name-based mappings to increase hit rates',
//! IEEE/ACM ToN 6(1), 1998). After a maximum delay each member polls, regardless of its rank.

use std::net::SocketAddr;

use sha2::{Digest, Sha256};

use crate::rows::Owner;
use crate::Micros;

/// The number of members that poll in one turn.
const POLLS_PER_TURN: u64 = 2;

/// The delays before polling, in microseconds.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// The minimum delay of a member that is not at a join address, which gives it time to learn of
    /// the others.
    pub min_delay: Micros,
    /// The interval between turns: if no list has arrived by then, the members of the next turn
    /// poll.
    pub turn_interval: Micros,
    /// The delay after which each member polls in any case. A hash of its name and incarnation adds
    /// up to the same time again, which spreads these polls.
    pub fallback_delay: Micros,
}

impl Default for PollSchedule {
    fn default() -> Self {
        PollSchedule {
            min_delay: 1_000_000,
            turn_interval: 1_000_000,
            fallback_delay: 8_000_000,
        }
    }
}

/// The fleet as known to one member.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// This member.
    pub me: &'a Owner,
    /// This member's address.
    pub address: SocketAddr,
    /// The other members that are known to be alive.
    pub live_members: &'a [(Owner, SocketAddr)],
    /// The configured join addresses.
    pub join_addresses: &'a [SocketAddr],
    /// The configured number of members.
    pub configured_members: usize,
}

/// The weight of a member in the rendezvous hash. Higher weights come first.
fn weight(owner: &Owner) -> u64 {
    let incarnation = owner.incarnation.to_le_bytes();
    let hash = Sha256::digest([owner.name.as_bytes(), b"/list", &incarnation].concat());
    u64::from_be_bytes([
        hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7],
    ])
}

/// The time after its start from which this process may poll if it has not received a list.
/// `is_dead` tells whether the member at a join address is known to be dead.
///
/// At first each member knows few others, and would rank itself among the first. Its rank is
/// therefore at least the one its hash is expected to have among the configured number of members.
pub fn may_poll_after(
    schedule: &PollSchedule,
    fleet: &Fleet<'_>,
    is_dead: impl Fn(SocketAddr) -> bool,
) -> Micros {
    let seeds: Vec<SocketAddr> = fleet
        .join_addresses
        .iter()
        .copied()
        .filter(|at| *at == fleet.address || !is_dead(*at))
        .collect();
    let weight = weight(fleet.me);
    let fallback = schedule.fallback_delay + weight % schedule.fallback_delay.max(1);
    let after = match seeds.iter().position(|at| *at == fleet.address) {
        Some(rank) => rank as u64 / POLLS_PER_TURN * schedule.turn_interval,
        None => {
            let rank = rank(fleet, &seeds, weight);
            (rank / POLLS_PER_TURN * schedule.turn_interval).max(schedule.min_delay)
        }
    };
    after.min(fallback)
}

/// The rank of a member that is not at a join address.
fn rank(fleet: &Fleet<'_>, seeds: &[SocketAddr], own_weight: u64) -> u64 {
    let ranked_before = fleet
        .live_members
        .iter()
        .filter(|(owner, at)| !seeds.contains(at) && weight(owner) > own_weight)
        .count();
    let others = fleet.configured_members.saturating_sub(seeds.len());
    let expected = (u128::from(!own_weight) * others as u128) >> 64;
    seeds.len() as u64 + (ranked_before as u64).max(expected as u64)
}
