//! The exchange of endpoint lists between members: they compare versions, and send chunks to
//! members with an older list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{Effect, Node};
use crate::budget::TrafficClass;
use crate::endpoint_list::{ListChunk, ListUpdate, ListVersion, Worker};
use crate::message::Body;
use crate::rows::Owner;
use crate::Micros;

/// The number of members that are notified of a new list.
const NOTIFIED_MEMBERS: usize = 4;
/// The minimum interval between requests for a list, and between answers to the same member: 0.2 s.
const MIN_LIST_INTERVAL: Micros = 200_000;
/// The interval at which a process without a list polls members: 0.1 s.
pub(super) const POLL_INTERVAL: Micros = 100_000;
/// The number of polls after which the interval is longer.
const FAST_POLLS: u32 = 100;
/// The interval between polls after that: 1 s.
const SLOW_POLL_INTERVAL: Micros = 10 * POLL_INTERVAL;

/// The progress of sending the list's chunks to a member.
pub(super) struct SendProgress {
    at: Micros,
    /// The index of the next chunk.
    next: usize,
}

/// The state of the exchange with all members.
pub(super) struct ListExchange {
    progress: BTreeMap<SocketAddr, SendProgress>,
    /// When this member last requested a list.
    last_request: Micros,
    /// When the next member is polled. Never, once there is a list.
    pub(super) next_poll: Micros,
    poll_count: u32,
}

impl ListExchange {
    pub(super) fn new(next_poll: Micros) -> ListExchange {
        ListExchange {
            progress: BTreeMap::new(),
            last_request: 0,
            next_poll,
            poll_count: 0,
        }
    }
}

impl Node {
    /// Handles an endpoint list sent by this member's discovery service.
    pub fn on_discovery_list(&mut self, now: Micros, number: u64, list: &[Worker]) {
        if self.endpoint_list.on_discovery_list(now, number, list) {
            self.announce_list_version(now);
        }
    }

    /// Handles a chunk of a member's list.
    pub(super) fn on_list_chunk(&mut self, now: Micros, from: &Owner, chunk: ListChunk) {
        let updates = self.endpoint_list.apply_chunk(now, chunk);
        let is_complete = updates
            .iter()
            .any(|update| matches!(update, ListUpdate::Complete { .. }));
        for update in updates {
            let from = from.clone();
            self.effects.push_back(Effect::List { from, update });
        }
        if is_complete {
            self.announce_list_version(now);
        }
    }

    /// Compares list versions with a member. The one with the newer list sends the changes, the one
    /// with the older list requests them.
    pub(super) fn compare_lists(&mut self, now: Micros, from: SocketAddr, theirs: ListVersion) {
        let ours = self.endpoint_list.version();
        if theirs.discovery != ours.discovery || theirs.number == ours.number {
            return;
        }
        if theirs.number < ours.number {
            return self.send_list(now, from, theirs);
        }
        if now >= self.lists.last_request + MIN_LIST_INTERVAL {
            self.lists.last_request = now;
            self.send(now, from, TrafficClass::List, &Body::ListVersion(ours));
        }
    }

    /// Sends the chunks that a member lacks, as far as the budget allows, and resumes from there at
    /// the member's next request. If each answer started with the same chunk, the last chunks of a
    /// list longer than one burst would never be sent.
    fn send_list(&mut self, now: Micros, to: SocketAddr, theirs: ListVersion) {
        let is_recent = |progress: &SendProgress| now < progress.at + MIN_LIST_INTERVAL;
        if self.lists.progress.get(&to).is_some_and(is_recent) {
            return;
        }
        if self.lists.progress.len() >= self.max_members {
            self.lists
                .progress
                .retain(|_, progress| is_recent(progress));
        }
        let mut chunks = self.endpoint_list.chunks(now, theirs);
        let count = chunks.len().max(1);
        let next = match self.lists.progress.get(&to) {
            Some(progress) => progress.next % count,
            None => self.rng.usize(..count),
        };
        chunks.rotate_left(next);
        let mut sent = 0;
        for chunk in chunks {
            if !self.send(now, to, TrafficClass::List, &Body::ListChunk(chunk)) {
                break;
            }
            sent += 1;
        }
        let progress = SendProgress {
            at: now,
            next: next + sent,
        };
        self.lists.progress.insert(to, progress);
    }

    /// Notifies a few random members of the version of a new list, which they can then request.
    fn announce_list_version(&mut self, now: Micros) {
        self.lists.progress.clear();
        let live_members: Vec<SocketAddr> = self.live_members.values().copied().collect();
        for to in self.rng.choose_multiple(live_members, NOTIFIED_MEMBERS) {
            let version = Body::ListVersion(self.endpoint_list.version());
            self.send(now, to, TrafficClass::List, &version);
        }
    }

    /// Polls a random member for its list while there is none here.
    pub(super) fn poll_for_list(&mut self, now: Micros) {
        if now >= self.lists.next_poll {
            self.lists.poll_count += 1;
            let interval = if self.lists.poll_count < FAST_POLLS {
                POLL_INTERVAL
            } else {
                SLOW_POLL_INTERVAL
            };
            self.lists.next_poll = now + interval;
            let live_members: Vec<SocketAddr> = self.live_members.values().copied().collect();
            if let Some(to) = self.rng.choice(live_members) {
                let version = Body::ListVersion(self.endpoint_list.version());
                self.send(now, to, TrafficClass::List, &version);
            }
        }
        if self.endpoint_list.version().number > 0 {
            self.lists.next_poll = Micros::MAX;
        }
    }
}
