//! The exchange of rows: whom a member compares itself with, and its answers to digests.

use std::net::SocketAddr;

use super::Node;
use crate::budget::TrafficClass;
use crate::datagram::DatagramError;
use crate::exchange::{self, MissingRows, MAX_DIGEST_OWNERS};
use crate::message::{chunks, Body, Digest};
use crate::rows::Owner;
use crate::Micros;

/// Datagrams of rows in one answer.
const ROW_DATAGRAMS: usize = 3;
/// Datagrams of members in one answer.
const MEMBER_DATAGRAMS: usize = 2;
/// Bytes of a datagram beside its body: what an answer needs of the budget.
const DATAGRAM_OVERHEAD: usize = 90;
/// How long a death is passed on in exchanges at least: 5 s.
const DEATH_NOTICE_PERIOD: Micros = 5_000_000;
/// And for how many rounds of digests at least: with many owners a round takes longer than that, and who has
/// missed the update would never learn of it.
const DEATH_NOTICE_ROUNDS: u64 = 3;
/// At least one exchange in so many goes to a dead member, in case that it lives behind a partition; as many
/// as there are dead among all, but no more than half.
const DEAD_EXCHANGE_DIVISOR: usize = 4;

impl Node {
    /// Answers a digest with what its sender lacks, and requests what is lacking here.
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

    /// A peer takes members for alive that are dead here: it is notified of those that died recently. Not of
    /// those that died long ago: behind a partition these are alive, and would be declared dead there too. But
    /// it is notified if it is one of them itself, and comes back.
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

    /// Sends the next digest to a member, sometimes to a dead one.
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
        let live_members = self.live_members.len();
        if dead == 0 {
            return false;
        }
        let share = dead
            .min(live_members)
            .max((dead + live_members) / DEAD_EXCHANGE_DIVISOR);
        self.rng.usize(..dead + live_members) < share
    }
}
