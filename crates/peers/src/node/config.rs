//! The configuration of a member, and the effects that it returns.

use std::net::SocketAddr;

use crate::endpoint_list::ListUpdate;
use crate::membership::MembershipTiming;
use crate::rows::{Limits, Owner};
use crate::Micros;

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name and incarnation.
    pub me: Owner,
    /// Where others reach it.
    pub address: SocketAddr,
    /// The installation's name.
    pub installation: String,
    /// The key of the MAC; the installation's name where there is none.
    pub key: Option<Vec<u8>>,
    /// Addresses that are called for the other members.
    pub join: Vec<SocketAddr>,
    /// The discovery service, as the settings name it.
    pub discovery: String,
    /// The most members.
    pub max_members: usize,
    /// The most workers.
    pub max_workers: usize,
    /// How far clocks may differ, in microseconds.
    pub skew: Micros,
    /// The most bytes sent in a second, over time.
    pub max_bytes_per_second: u64,
    /// The most bytes sent at once.
    pub max_burst_bytes: u64,
    /// Between two exchanges of rows, in microseconds.
    pub exchange_interval: Micros,
    /// The age beyond which a peer's endpoint list is ignored, in microseconds.
    pub max_list_age: Micros,
    /// The bounds of the rows.
    pub limits: Limits,
    /// The pace of membership.
    pub timing: MembershipTiming,
}

impl Config {
    /// The defaults for all but identity and address.
    #[must_use]
    pub fn new(
        me: Owner,
        address: SocketAddr,
        installation: &str,
        join: Vec<SocketAddr>,
    ) -> Config {
        Config {
            me,
            address,
            installation: installation.to_owned(),
            key: None,
            join,
            discovery: String::new(),
            max_members: 4_096,
            max_workers: 4_096,
            skew: 60_000_000,
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
        /// The address.
        to: SocketAddr,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A member joined.
    Joined(Owner),
    /// A member did not answer this process.
    Suspected(Owner),
    /// A member was declared dead.
    Died(Owner),
    /// A member's endpoint list changes something.
    List {
        /// The member.
        from: Owner,
        /// The change.
        update: ListUpdate,
    },
}

/// What a member has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendStats {
    /// Bytes sent.
    pub bytes: u64,
    /// Datagrams that were not sent, as they would have exceeded the budget.
    pub over_budget: u64,
    /// How often this process was found stalled.
    pub stalls: u64,
}
