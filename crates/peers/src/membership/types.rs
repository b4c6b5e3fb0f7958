//! The types of membership: identities, its pace, and the actions for the caller.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::budget::TrafficClass;
use crate::rows::Owner;
use crate::Micros;

/// One incarnation of a member at an address. A member that was declared dead by mistake comes back as the
/// next generation of the same incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Name and incarnation.
    pub owner: Owner,
    /// Grows each time that it was declared dead by mistake.
    pub generation: u16,
    /// Where it listens.
    pub address: SocketAddr,
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Identity {
            generation: self.generation.checked_add(1)?,
            ..self.clone()
        })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        let rank = |id: &Identity| (id.owner.incarnation, id.generation, id.owner.name.clone());
        rank(self) > rank(other)
    }
}

/// A member as another one knows it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownMember {
    /// Its identity.
    pub identity: Identity,
    /// SWIM's incarnation number: it grows with each suspicion that the member refutes.
    pub swim_incarnation: u16,
}

/// The pace of membership, in microseconds.
#[derive(Clone, Debug)]
pub struct MembershipTiming {
    /// Between two probes.
    pub probe_interval: Micros,
    /// How long an answer may take before others are asked to probe.
    pub probe_timeout: Micros,
    /// How long a suspect has to refute the suspicion.
    pub suspicion_timeout: Micros,
    /// Between two notifications of a suspect by the member that suspects it.
    pub suspect_ping_interval: Micros,
    /// Between two rounds of gossip.
    pub gossip_interval: Micros,
    /// How long a dead member is retained.
    pub dead_retention: Micros,
    /// Between two announcements to a dead member or a join address.
    pub rejoin_interval: Micros,
    /// Timers that come later than this mean that this process was stalled.
    pub stall_threshold: Micros,
}

impl Default for MembershipTiming {
    fn default() -> Self {
        MembershipTiming {
            probe_interval: 500_000,
            probe_timeout: 200_000,
            suspicion_timeout: 1_200_000,
            suspect_ping_interval: 120_000,
            gossip_interval: 200_000,
            dead_retention: 120_000_000,
            rejoin_interval: 1_000_000,
            stall_threshold: 400_000,
        }
    }
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a packet of foca's.
    Send {
        /// The address.
        to: SocketAddr,
        /// The packet.
        bytes: Vec<u8>,
        /// How urgent it is.
        class: TrafficClass,
    },
    /// Notify an address who this process is now, as [`Membership::me`](super::Membership::me).
    SendSelf(SocketAddr),
    /// Send a new member a few others. The library's own answer is a packet full of them: hundreds that start
    /// at once call the same few join addresses.
    SendInitialMembers(SocketAddr),
    /// A member joined.
    Joined(Identity),
    /// A member did not answer this process.
    Suspected(Owner),
    /// A member was declared dead.
    Died(Owner),
}
