//! Which members may poll discovery for the endpoint list when hundreds start at once.
//!
//! The join addresses of the settings come first, in their order, as all members know these before they know
//! each other; then the living by rendezvous hash (Thaler and Ravishankar, 'Using name-based mappings to
//! increase hit rates', IEEE/ACM ToN 6(1), 1998). After a bounded time each member polls, whatever its peers
//! say.

use std::net::SocketAddr;

use sha2::{Digest, Sha256};

use crate::rows::Owner;
use crate::Micros;

/// How many members poll in one turn.
const POLLS_PER_TURN: u64 = 2;

/// The times of polling, in microseconds.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// How long a member that is no join address waits at least, to discover the others.
    pub min_delay: Micros,
    /// How long the members of a turn may be silent before those of the next one poll.
    pub turn_interval: Micros,
    /// After this each member polls; it is spread over as much again, by the hash of the name.
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

/// The fleet as one member knows it.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// This member.
    pub me: &'a Owner,
    /// Its address.
    pub address: SocketAddr,
    /// The others that are alive as far as is known.
    pub live_members: &'a [(Owner, SocketAddr)],
    /// The join addresses of the settings.
    pub join_addresses: &'a [SocketAddr],
    /// How many members there are by the settings.
    pub configured_members: usize,
}

/// The weight of a member in the rendezvous hash.
fn weight(owner: &Owner) -> u64 {
    let incarnation = owner.incarnation.to_le_bytes();
    let hash = Sha256::digest([owner.name.as_bytes(), b"/list", &incarnation].concat());
    u64::from_be_bytes([
        hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7],
    ])
}

/// After how long since its start this process may poll, as long as no list has come. `is_dead`: whether a
/// join address is known to be dead.
///
/// At first each member knows few of the others, and would take itself for one of the first: so it waits at
/// least for the rank that its hash has among as many members as the settings name.
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

/// The rank of a member that is no join address.
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
