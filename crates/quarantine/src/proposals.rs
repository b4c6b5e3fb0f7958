//! The proposals of the fleet, read from the rows of all members.
//!
//! Each incarnation of a worker has at most one standing proposal: the earliest that was not withdrawn, as both sides
//! of a partition may make one. Which proposals stand depends on the rows alone and not on their order.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::attribution::TotalEvidence;
use crate::code::PROPOSAL_TAG;
use crate::counter::RowUpdate;
use crate::{Owner, FAILURE_KINDS};

mod row;
mod types;

use row::{
    big_endian, encode_counts, withdrawal_reason, withdrawal_state, ProposalId, Withdrawal,
    FIRST_FAILURE_KIND, STANDING, SUBJECT_HEADER_LENGTH,
};
pub(crate) use row::{row_name, Proposal, WorkerIncarnation};
pub use types::{Effect, EvidenceSummary, Reason};

/// The maximum number of stored proposals, and of stored withdrawals.
const MAX_PROPOSALS: usize = 1_024;

/// The member responsible for a key: the one with the highest hash of the key and its name (rendezvous hashing; Thaler
/// and Ravishankar, 'Using name-based mappings to increase hit rates', IEEE/ACM ToN 1998).
pub(crate) fn responsible<'a>(
    key: &str,
    alive: impl Iterator<Item = &'a Owner>,
) -> Option<&'a Owner> {
    alive.max_by_key(|owner| {
        let hash = Sha256::digest([key.as_bytes(), &[0], owner.name.as_bytes()].concat());
        (hash, (*owner).clone())
    })
}

/// The proposals of the fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proposals {
    /// All proposals, each with the last window of its rows.
    known: BTreeMap<WorkerIncarnation, BTreeMap<Proposal, u32>>,
    withdrawn: BTreeMap<ProposalId, Withdrawal>,
    /// The standing proposals that the caller was notified of.
    announced: BTreeMap<WorkerIncarnation, Proposal>,
    /// The proposals that this member made or withdrew.
    own: BTreeSet<ProposalId>,
    /// The state that was published in each row, by window and subject.
    published_states: BTreeMap<(u32, Vec<u8>), u32>,
    updates: Vec<RowUpdate>,
    count: usize,
    pub(crate) rejected: u64,
}

impl Proposals {
    /// Merges a row of a proposal, of this or another member.
    pub(crate) fn merge(&mut self, window: u32, subject: &[u8], counts: &[u32]) {
        let [PROPOSAL_TAG, rest @ ..] = subject else {
            return;
        };
        let max_counts = FIRST_FAILURE_KIND + FAILURE_KINDS;
        if rest.len() < SUBJECT_HEADER_LENGTH
            || counts.is_empty()
            || counts.len() > max_counts
            || counts[0] == 0
        {
            return;
        }
        let (header, name) = rest.split_at(SUBJECT_HEADER_LENGTH);
        let incarnation = (name.to_vec(), big_endian(&header[6..]));
        let mut proposal = Proposal {
            proposed_in: big_endian(&header[..4]) as u32,
            number: big_endian(&header[4..6]) as u32,
            counts: counts.to_vec(),
        };
        if counts[0] > STANDING {
            self.merge_withdrawal(window, proposal.id(&incarnation), counts[0]);
        }
        proposal.counts[0] = STANDING;
        // Rows omit zeros at the end. Without them here too, equal proposals compare as equal.
        while proposal.counts.last() == Some(&0) {
            proposal.counts.pop();
        }
        if self.count >= MAX_PROPOSALS {
            self.rejected += 1;
            return;
        }
        let proposals = self.known.entry(incarnation).or_default();
        let before = proposals.len();
        let last = proposals.entry(proposal).or_default();
        *last = (*last).max(window);
        self.count += proposals.len() - before;
    }

    fn merge_withdrawal(&mut self, window: u32, id: ProposalId, state: u32) {
        if self.withdrawn.len() >= MAX_PROPOSALS {
            self.rejected += 1;
            return;
        }
        let withdrawal = self.withdrawn.entry(id).or_default();
        withdrawal.state = withdrawal.state.max(state);
        withdrawal.last_window = withdrawal.last_window.max(window);
    }

    /// Removes proposals and withdrawals without a row since window `oldest`.
    pub(crate) fn expire(&mut self, oldest: u32) {
        self.known.retain(|_, proposals| {
            proposals.retain(|_, last| *last >= oldest);
            !proposals.is_empty()
        });
        self.count = self.known.values().map(BTreeMap::len).sum();
        self.withdrawn
            .retain(|_, withdrawal| withdrawal.last_window >= oldest);
        self.published_states
            .retain(|(window, _), _| *window >= oldest);
        let known = &self.known;
        self.own
            .retain(|(incarnation, ..)| known.contains_key(incarnation));
    }

    /// The standing proposals: the earliest that was not withdrawn of each incarnation of a worker.
    pub(crate) fn standing(&self) -> BTreeMap<&WorkerIncarnation, &Proposal> {
        self.known
            .keys()
            .filter_map(|incarnation| Some((incarnation, self.standing_of(incarnation)?)))
            .collect()
    }

    /// The standing proposal of one incarnation of a worker.
    fn standing_of(&self, incarnation: &WorkerIncarnation) -> Option<&Proposal> {
        let is_withdrawn =
            |proposal: &Proposal| self.withdrawn.contains_key(&proposal.id(incarnation));
        self.known
            .get(incarnation)?
            .keys()
            .find(|proposal| !is_withdrawn(proposal))
    }

    /// Makes a proposal with the next number, published in `window`.
    pub(crate) fn propose(
        &mut self,
        window: u32,
        name: &str,
        started: u64,
        proposed_in: u32,
        evidence: &TotalEvidence,
    ) {
        let known = self.known.values().flat_map(BTreeMap::keys);
        let numbers = known.map(|proposal| proposal.number);
        let withdrawn = self.withdrawn.keys().map(|(_, _, number)| *number);
        let last = numbers.chain(withdrawn).max().unwrap_or(0);
        let proposal = Proposal {
            proposed_in,
            number: (last + 1).min(0xffff),
            counts: encode_counts(evidence, proposed_in),
        };
        let incarnation = (row_name(name), started & 0xffff_ffff_ffff);
        self.own.insert(proposal.id(&incarnation));
        self.push_update(window, &incarnation, &proposal);
    }

    /// Withdraws a standing proposal.
    pub(crate) fn withdraw(
        &mut self,
        window: u32,
        incarnation: &WorkerIncarnation,
        reason: Reason,
    ) {
        let Some(mut proposal) = self.standing_of(incarnation).cloned() else {
            return;
        };
        proposal.counts[0] = withdrawal_state(reason);
        self.own.insert(proposal.id(incarnation));
        self.push_update(window, incarnation, &proposal);
    }

    /// Publishes a standing proposal again if its last row is `max_age` windows old, so that it does not expire.
    pub(crate) fn refresh(&mut self, window: u32, incarnation: &WorkerIncarnation, max_age: u32) {
        let Some(proposal) = self.standing_of(incarnation).cloned() else {
            return;
        };
        let proposals = self.known.get(incarnation);
        let last = proposals.and_then(|proposals| proposals.get(&proposal));
        if last.copied().unwrap_or(0) + max_age <= window {
            self.push_update(window, incarnation, &proposal);
        }
    }

    fn push_update(&mut self, window: u32, incarnation: &WorkerIncarnation, proposal: &Proposal) {
        let mut row_subject = vec![PROPOSAL_TAG];
        row_subject.extend(proposal.proposed_in.to_be_bytes());
        row_subject.extend((proposal.number as u16).to_be_bytes());
        row_subject.extend(&incarnation.1.to_be_bytes()[2..]);
        row_subject.extend(&incarnation.0);
        let counts = &proposal.counts;
        let before = self
            .published_states
            .insert((window, row_subject.clone()), counts[0]);
        // Updates add to the row's counts. Within a window only the state grows, so only its increase is published.
        let increments = match before {
            Some(state) => vec![counts[0].saturating_sub(state)],
            None => counts.clone(),
        };
        self.merge(window, &row_subject, counts);
        self.updates
            .push(RowUpdate::new(window, row_subject, &increments));
    }

    /// Returns the updates of rows to publish.
    pub(crate) fn take_updates(&mut self) -> Vec<RowUpdate> {
        let mut updates = std::mem::take(&mut self.updates);
        updates.retain(|update| !update.increments.is_empty());
        updates
    }

    /// Returns the changes since the last call. `name` returns a worker's full name by its name in rows.
    pub(crate) fn effects(&mut self, name: impl Fn(&[u8]) -> Option<Arc<str>>) -> Vec<Effect> {
        let standing: BTreeMap<WorkerIncarnation, Proposal> = self
            .standing()
            .into_iter()
            .map(|(incarnation, proposal)| (incarnation.clone(), proposal.clone()))
            .collect();
        let name = |row_name: &[u8]| match name(row_name) {
            Some(name) => name.to_string(),
            None => String::from_utf8_lossy(row_name).into_owned(),
        };
        let mut effects = Vec::new();
        for (incarnation, proposal) in &self.announced {
            if standing.get(incarnation) != Some(proposal) {
                let is_superseded = standing.contains_key(incarnation);
                let worker = name(&incarnation.0);
                effects.push(self.withdrawn_effect(worker, incarnation, proposal, is_superseded));
            }
        }
        for (incarnation, proposal) in &standing {
            if self.announced.get(incarnation) != Some(proposal) {
                effects.push(Effect::Proposed {
                    worker: name(&incarnation.0),
                    started: incarnation.1,
                    number: proposal.number,
                    summary: proposal.summary(),
                    by_this_member: self.own.contains(&proposal.id(incarnation)),
                });
            }
        }
        self.announced = standing;
        effects
    }

    fn withdrawn_effect(
        &self,
        worker: String,
        incarnation: &WorkerIncarnation,
        proposal: &Proposal,
        is_superseded: bool,
    ) -> Effect {
        let id = proposal.id(incarnation);
        let withdrawal = self.withdrawn.get(&id);
        let reason = match withdrawal {
            Some(withdrawal) => withdrawal_reason(withdrawal.state),
            None if is_superseded => Reason::Superseded,
            None => Reason::Expired,
        };
        Effect::Withdrawn {
            worker,
            started: incarnation.1,
            number: proposal.number,
            reason,
            by_this_member: withdrawal.is_some() && self.own.contains(&id),
        }
    }

    /// The standing proposals, each with its worker's incarnation, its number and its evidence.
    pub(crate) fn list(&self) -> Vec<(&WorkerIncarnation, u32, EvidenceSummary)> {
        self.standing()
            .into_iter()
            .map(|(incarnation, proposal)| (incarnation, proposal.number, proposal.summary()))
            .collect()
    }
}
