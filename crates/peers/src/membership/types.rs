//! Identities of members, timing parameters, and the actions for the caller.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::budget::TrafficClass;
use crate::rows::Owner;
use crate::Micros;

/// One incarnation of a member at an address. A member that was declared dead by mistake returns
/// with the same incarnation and the next generation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The member's name and incarnation.
    pub owner: Owner,
    /// Increases each time the member is declared dead by mistake.
    pub generation: u16,
    /// The address on which the member listens.
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

/// An entry for a member, as members exchange it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownMember {
    /// The member's identity.
    pub identity: Identity,
    /// SWIM's incarnation number, which increases with each suspicion that the member refutes.
    pub swim_incarnation: u16,
}

/// The timing parameters of membership, in microseconds.
#[derive(Clone, Debug)]
pub struct MembershipTiming {
    /// The interval between probes.
    pub probe_interval: Micros,
    /// How long to wait for an answer before other members are asked to probe.
    pub probe_timeout: Micros,
    /// How long a suspect has to refute the suspicion before it is declared dead.
    pub suspicion_timeout: Micros,
    /// The interval between pings that notify a suspect of the suspicion.
    pub suspect_ping_interval: Micros,
    /// The interval between rounds of gossip.
    pub gossip_interval: Micros,
    /// How long a dead member is retained.
    pub dead_retention: Micros,
    /// The interval between announcements to a dead member or a join address.
    pub rejoin_interval: Micros,
    /// A timer that is handled later than this indicates that the process was stalled.
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

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a foca packet.
    Send {
        /// The destination.
        to: SocketAddr,
        /// The packet.
        bytes: Vec<u8>,
        /// The priority of the packet.
        class: TrafficClass,
    },
    /// Send an address the current identity of this process,
    /// [`Membership::me`](super::Membership::me).
    SendSelf(SocketAddr),
    /// Send a new member a few of the other members. foca's own answer is a packet full of members,
    /// which is too much when hundreds of processes start at once and ask the same few join
    /// addresses.
    SendInitialMembers(SocketAddr),
    /// A member joined.
    Joined(Identity),
    /// This process suspects a member that did not answer.
    Suspected(Owner),
    /// A member was declared dead.
    Died(Owner),
}
