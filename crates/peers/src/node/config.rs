//! The configuration of a member, its effects and its statistics.

use std::net::SocketAddr;

use crate::endpoint_list::ListUpdate;
use crate::membership::MembershipTiming;
use crate::rows::{Limits, Owner};
use crate::Micros;

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct Config {
    /// The member's name and incarnation.
    pub me: Owner,
    /// The address at which other members reach it.
    pub address: SocketAddr,
    /// The name of the installation.
    pub installation: String,
    /// The key of the MAC. Without one, the installation's name is used.
    pub key: Option<Vec<u8>>,
    /// The addresses at which the member announces itself to join the fleet.
    pub join_addresses: Vec<SocketAddr>,
    /// The address of the discovery service as configured. If it is empty, members are not polled
    /// for an endpoint list.
    pub discovery: String,
    /// The maximum number of members.
    pub max_members: usize,
    /// The maximum number of workers.
    pub max_workers: usize,
    /// The maximum difference between clocks, in microseconds.
    pub max_clock_skew: Micros,
    /// The maximum number of bytes sent per second, on average.
    pub max_bytes_per_second: u64,
    /// The maximum number of bytes sent in a burst.
    pub max_burst_bytes: u64,
    /// The interval between exchanges of rows, in microseconds.
    pub exchange_interval: Micros,
    /// The age beyond which a peer's endpoint list is ignored, in microseconds.
    pub max_list_age: Micros,
    /// The limits of the rows.
    pub limits: Limits,
    /// The timing parameters of membership.
    pub timing: MembershipTiming,
}

impl Config {
    /// Creates a configuration with defaults for the remaining fields.
    #[must_use]
    pub fn new(
        me: Owner,
        address: SocketAddr,
        installation: &str,
        join_addresses: Vec<SocketAddr>,
    ) -> Config {
        Config {
            me,
            address,
            installation: installation.to_owned(),
            key: None,
            join_addresses,
            discovery: String::new(),
            max_members: 4_096,
            max_workers: 4_096,
            max_clock_skew: 60_000_000,
            max_bytes_per_second: 4_096,
            max_burst_bytes: 12_288,
            exchange_interval: 500_000,
            max_list_age: 600_000_000,
            limits: Limits::default(),
            timing: MembershipTiming::default(),
        }
    }
}

/// An effect for the caller to carry out, or to log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// The destination.
        to: SocketAddr,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A member joined.
    Joined(Owner),
    /// This process suspects a member that did not answer.
    Suspected(Owner),
    /// A member was declared dead.
    Died(Owner),
    /// A member's endpoint list leads to an update.
    List {
        /// The member that sent the list.
        from: Owner,
        /// The update.
        update: ListUpdate,
    },
}

/// Statistics of what a member has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendStats {
    /// Bytes sent.
    pub bytes: u64,
    /// Datagrams rejected because the budget was exhausted.
    pub over_budget: u64,
    /// The number of stalls of this process that were detected.
    pub stalls: u64,
}
