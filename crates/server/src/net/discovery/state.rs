//! The state of discovery that the rest of the server reads: its address, the last endpoint list, and the request
//! for a poll.
//!
//! The calls themselves are made by the parent module's task.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{watch, Notify};
use tokio::time::Instant;

use super::confirmation::{Confirmation, ListSource};
use crate::list::EndpointList;
use oakshed_core::facade::{Micros, Settings, Span};

/// The state shared between the discovery task and the rest of the server.
pub(crate) struct DiscoveryState {
    /// The current address, which a configuration reload may change.
    pub(super) address: watch::Sender<SocketAddr>,
    /// Notified when the scheduling core requests a poll.
    pub poll_requested: Notify,
    /// The endpoint list as discovery sent it, with all updates applied.
    pub endpoint_list: RefCell<EndpointList>,
    /// Whether the list may be acted on.
    pub(super) confirmation: RefCell<Confirmation>,
}

impl DiscoveryState {
    /// Creates the state for discovery at `address`, with an empty endpoint list. The first call is made within
    /// `first_call_jitter`.
    pub(in super::super) fn new(
        address: SocketAddr,
        settings: &Settings,
        first_call_jitter: Micros,
    ) -> DiscoveryState {
        let (source, jitter) = if settings.list_on_request {
            let jitter = Span::from_micros(first_call_jitter).as_duration();
            (ListSource::SharedService, jitter)
        } else {
            (ListSource::Agent, Duration::ZERO)
        };
        let confirmation = Confirmation::new(source, Instant::now(), jitter);
        DiscoveryState {
            address: watch::Sender::new(address),
            poll_requested: Notify::new(),
            endpoint_list: RefCell::default(),
            confirmation: RefCell::new(confirmation),
        }
    }

    /// Whether the endpoint list is acted on, and its present source has confirmed it or could not have changed it.
    pub(crate) fn is_list_in_use(&self) -> bool {
        self.confirmation.borrow().is_in_use()
    }

    /// Whether this start reports itself ready although no list was confirmed, because its source has been silent for
    /// too long.
    pub(crate) fn has_reached_ready_limit(&self) -> bool {
        let confirmation = self.confirmation.borrow();
        confirmation.has_reached_ready_limit(Instant::now())
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
