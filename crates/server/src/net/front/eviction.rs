//! The order in which client connections are evicted when there is no place for a new one.
//!
//! Requests that still arrive and responses for which clients still wait are protected, but only as long as they leave
//! most connections to others: beyond a part of the connections, the oldest of them are evicted too.

use oakshed_core::facade::Micros;
use tokio::time::Instant;

use super::clients::{Client, GRACE_PERIOD, IDLE_THRESHOLD};

/// The part of the connections that requests which arrive in pieces may occupy, as a divisor.
const SLOW_REQUESTS_DIVISOR: usize = 4;
/// The part of the connections that responses which are not read may occupy, as a divisor.
const STALLED_RESPONSES_DIVISOR: usize = 2;

/// The rank of a connection; the first one is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// No request yet, after the grace period.
    NoRequest,
    /// A partial request that makes no progress, or such a response for which no client waits any more.
    Stalled,
    /// A request that arrives slowly, while such requests occupy too many connections.
    SlowRequest,
    /// Idle between requests, but only for longer than the threshold while slow requests occupy too many connections.
    Idle,
    /// No request yet, within the grace period.
    New,
    /// A response that is not read although its client may wait for it, while such responses occupy too many
    /// connections.
    StalledResponse,
}

/// Which kinds of protected connections occupy too many of all.
pub(super) struct Crowding {
    instant: Instant,
    slow_requests: bool,
    stalled_responses: bool,
}

impl Crowding {
    /// Counts the connections; `share` is how many there may be.
    pub(super) fn of<'a>(clients: impl Iterator<Item = &'a Client>, share: usize) -> Crowding {
        let instant = Instant::now();
        let (mut in_pieces, mut stalled) = (0, 0);
        for client in clients {
            in_pieces += usize::from(client.state.is_request_in_pieces());
            stalled += usize::from(client.state.is_response_stalled(instant));
        }
        Crowding {
            instant,
            slow_requests: in_pieces > share / SLOW_REQUESTS_DIVISOR,
            stalled_responses: stalled > share / STALLED_RESPONSES_DIVISOR,
        }
    }

    /// The rank of a connection that has been without a complete request since `since`; `None` if it is protected.
    pub(super) fn rank(&self, client: &Client, now: Micros, since: Micros) -> Option<EvictionRank> {
        let state = &client.state;
        match state.transfer(self.instant) {
            Some(_) if self.slow_requests && state.is_request_slow(self.instant) => {
                Some(EvictionRank::SlowRequest)
            }
            Some(true) if self.stalled_responses && state.is_response_stalled(self.instant) => {
                Some(EvictionRank::StalledResponse)
            }
            Some(true) => None,
            Some(false) => Some(EvictionRank::Stalled),
            None if client.has_sent_request.get() => {
                let may_be_used = self.slow_requests && now < since + IDLE_THRESHOLD;
                (!may_be_used).then_some(EvictionRank::Idle)
            }
            None if now > since + GRACE_PERIOD => Some(EvictionRank::NoRequest),
            None => Some(EvictionRank::New),
        }
    }
}
