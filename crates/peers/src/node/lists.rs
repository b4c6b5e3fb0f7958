//! The exchange of endpoint lists between members: versions are compared, and chunks sent to who has less.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{Effect, Node};
use crate::budget::TrafficClass;
use crate::endpoint_list::{ListChunk, ListUpdate, ListVersion, Worker};
use crate::message::Body;
use crate::rows::Owner;
use crate::Micros;

/// How many members are notified at once of a newer list.
const NOTIFIED_MEMBERS: usize = 4;
/// The shortest interval between two requests for a list, and between two answers to the same member: 0.2 s.
const MIN_LIST_INTERVAL: Micros = 200_000;
/// Between two polls of members by a process without a list: 0.1 s.
pub(super) const POLL_INTERVAL: Micros = 100_000;
/// After so many polls the interval is longer.
const FAST_POLLS: u32 = 100;
/// Between two polls after that: 1 s.
const SLOW_POLL_INTERVAL: Micros = 10 * POLL_INTERVAL;

/// How far the chunks of the list have been sent to a member.
pub(super) struct SendProgress {
    at: Micros,
    /// The index of the next chunk.
    next: usize,
}

/// The state of the exchange.
pub(super) struct ListExchange {
    progress: BTreeMap<SocketAddr, SendProgress>,
    /// When a list was requested last.
    last_request: Micros,
    /// When the next member is polled, as long as there is no list.
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
    /// The own discovery service sent a snapshot of the endpoint list.
    pub fn on_discovery_list(&mut self, now: Micros, number: u64, list: &[Worker]) {
        if self.endpoint_list.on_discovery_list(now, number, list) {
            self.announce_list_version(now);
        }
    }

    /// A chunk of a member's list came.
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

    /// The member with the newer list sends what changed, the one with the older list requests it.
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

    /// Sends the chunks that a member lacks, as far as the budget allows, and on from there when it requests
    /// them again. Guards against a long list of which the chunks beyond one burst never come: each answer
    /// would begin with the same ones.
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

    /// Notifies some members of the version of a newer list, which they request then.
    fn announce_list_version(&mut self, now: Micros) {
        self.lists.progress.clear();
        let live_members: Vec<SocketAddr> = self.live_members.values().copied().collect();
        for to in self.rng.choose_multiple(live_members, NOTIFIED_MEMBERS) {
            let version = Body::ListVersion(self.endpoint_list.version());
            self.send(now, to, TrafficClass::List, &version);
        }
    }

    /// Polls a member for its list, as long as there is none here.
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
