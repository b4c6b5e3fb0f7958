//! The anti-entropy protocol of a member: to which members it sends digests, and how it answers
//! theirs.

use std::net::SocketAddr;

use super::Node;
use crate::budget::TrafficClass;
use crate::datagram::DatagramError;
use crate::exchange::{self, MissingRows, MAX_DIGEST_OWNERS};
use crate::message::{chunks, Body, Digest};
use crate::rows::Owner;
use crate::Micros;

/// The maximum number of datagrams of rows in one answer.
const ROW_DATAGRAMS: usize = 3;
/// The maximum number of datagrams of members in one answer.
const MEMBER_DATAGRAMS: usize = 2;
/// Bytes of a datagram excluding its body, which count against the budget as well.
const DATAGRAM_OVERHEAD: usize = 90;
/// The minimum time for which exchanges notify peers of a death: 5 s.
const DEATH_NOTICE_PERIOD: Micros = 5_000_000;
/// The minimum number of digest cycles for which exchanges notify peers of a death. With many
/// owners a cycle takes longer than [`DEATH_NOTICE_PERIOD`], and a member that missed the update
/// would never learn of the death.
const DEATH_NOTICE_ROUNDS: u64 = 3;
/// At least one in this many exchanges goes to a dead member, which may be alive behind a
/// partition. The share increases with that of the dead members, to a half when as many are dead as
/// alive.
const DEAD_EXCHANGE_DIVISOR: usize = 4;

impl Node {
    /// Answers a digest with the rows that its sender lacks, and requests those that are missing
    /// here.
    pub(super) fn on_digest(
        &mut self,
        now: Micros,
        from: SocketAddr,
        owner: &Owner,
        digest: &Digest,
    ) -> Result<(), DatagramError> {
        self.compare_lists(now, from, digest.list_version);
        let list = self.endpoint_list.version();
        let difference =
            exchange::compare(&self.rows, digest, list).ok_or(DatagramError::Malformed)?;
        if let Some(request) = difference.request {
            self.send(now, from, TrafficClass::Rows, &Body::Digest(request));
        }
        self.notify_of_deaths(now, from, owner, &difference.alive_there);
        let members = self.membership.alive_among(&difference.alive_here);
        for members in chunks(members, self.codec.max_body_length()).take(MEMBER_DATAGRAMS) {
            self.send(now, from, TrafficClass::Rows, &Body::Members(members));
        }
        self.send_rows(now, from, difference.missing);
        Ok(())
    }

    fn send_rows(&mut self, now: Micros, to: SocketAddr, mut missing: Vec<MissingRows>) {
        for _ in 0..ROW_DATAGRAMS {
            let budget = self.budget.available(now, TrafficClass::Rows);
            let space = self
                .codec
                .max_body_length()
                .min(budget.saturating_sub(DATAGRAM_OVERHEAD));
            let (newest, deltas) = exchange::pack_deltas(&self.rows, &mut missing, space);
            if deltas.is_empty() {
                return;
            }
            if !self.send(now, to, TrafficClass::Rows, &Body::Rows(newest, deltas)) {
                return;
            }
        }
    }

    /// Notifies a peer of the recent deaths of members that it takes for alive. Earlier deaths are
    /// not reported: such members may be alive behind a partition, and the peer would declare them
    /// dead too. The peer is always notified if it is dead here itself, so that it can rejoin.
    fn notify_of_deaths(&mut self, now: Micros, to: SocketAddr, peer: &Owner, dead: &[Owner]) {
        let rounds = self.rows.sizes().owners.div_ceil(MAX_DIGEST_OWNERS) as u64;
        let rounds_time = DEATH_NOTICE_ROUNDS * rounds * self.exchange_interval;
        let notice = DEATH_NOTICE_PERIOD.max(rounds_time);
        let addresses: Vec<SocketAddr> = dead
            .iter()
            .chain([peer])
            .filter_map(|owner| {
                let member = self.dead.get(owner)?;
                (owner == peer || now < member.declared_at + notice).then_some(member.address)
            })
            .collect();
        let members = self.membership.declared_dead(&addresses);
        if let Some(members) = chunks(members, self.codec.max_body_length()).next() {
            self.send(now, to, TrafficClass::Update, &Body::DeadMembers(members));
        }
    }

    /// Sends the next digest to a random member, which may be a dead one.
    pub(super) fn send_digest(&mut self, now: Micros) {
        let retention = self.dead_retention;
        self.dead
            .retain(|_, member| now < member.declared_at + retention);
        let to: Option<SocketAddr> = if self.picks_dead_member() {
            let dead: Vec<SocketAddr> = self.dead.values().map(|member| member.address).collect();
            self.rng.choice(dead)
        } else {
            let live_members: Vec<SocketAddr> = self.live_members.values().copied().collect();
            self.rng.choice(live_members)
        };
        if let Some(to) = to {
            let list = self.endpoint_list.version();
            let digest = self.cursor.digest(&self.rows, list);
            self.send(now, to, TrafficClass::Rows, &Body::Digest(digest));
        }
    }

    fn picks_dead_member(&mut self) -> bool {
        let dead = self.dead.len();
        let live = self.live_members.len();
        if dead == 0 {
            return false;
        }
        let share = dead.min(live).max((dead + live) / DEAD_EXCHANGE_DIVISOR);
        self.rng.usize(..dead + live) < share
    }
}
