//! The state of discovery that the rest of the server reads: its address, the last endpoint list, and the request
//! for a poll.
//!
//! The calls themselves are made by the parent module's task.

use std::cell::RefCell;
use std::net::SocketAddr;

use tokio::sync::{watch, Notify};

use crate::list::EndpointList;

/// The state shared between the discovery task and the rest of the server.
pub(crate) struct DiscoveryState {
    /// The current address, which a configuration reload may change.
    pub(super) address: watch::Sender<SocketAddr>,
    /// Notified when the scheduling core requests a poll.
    pub poll_requested: Notify,
    /// The endpoint list as discovery sent it, with all updates applied.
    pub endpoint_list: RefCell<EndpointList>,
}

impl DiscoveryState {
    /// Creates the state for discovery at `address`, with an empty endpoint list.
    pub(in super::super) fn new(address: SocketAddr) -> DiscoveryState {
        DiscoveryState {
            address: watch::Sender::new(address),
            poll_requested: Notify::new(),
            endpoint_list: RefCell::default(),
        }
    }

    /// The current address.
    pub(crate) fn address(&self) -> SocketAddr {
        *self.address.borrow()
    }

    /// Changes the address; the discovery task then drops its watch and polls the new one.
    pub(crate) fn set_address(&self, new: SocketAddr) {
        self.address
            .send_if_modified(|address| std::mem::replace(address, new) != new);
    }
}
