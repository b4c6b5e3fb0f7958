//! Encodes proposals and withdrawals in rows.

use sha2::{Digest, Sha256};

use super::types::{EvidenceSummary, Reason};
use crate::attribution::TotalEvidence;
use crate::FAILURE_KINDS;

/// An incarnation of a worker: its [`row_name`], and its start in milliseconds of Unix time.
pub(crate) type WorkerIncarnation = (Vec<u8>, u64);

/// A proposal as it stands in rows. The order of its fields decides which of two proposals is the earlier.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Proposal {
    /// The interval in which it was made.
    pub(super) proposed_in: u32,
    /// Its number in the fleet.
    pub(super) number: u32,
    /// The counts of its row: the state, then the evidence.
    pub(super) counts: Vec<u32>,
}

/// Identifies a proposal by the worker's incarnation, the interval and the number, whatever its counts are.
pub(super) type ProposalId = (WorkerIncarnation, u32, u32);

impl Proposal {
    pub(super) fn id(&self, incarnation: &WorkerIncarnation) -> ProposalId {
        (incarnation.clone(), self.proposed_in, self.number)
    }

    /// Decodes the evidence from the counts.
    pub(super) fn summary(&self) -> EvidenceSummary {
        let count = |index: usize| self.counts.get(index).copied().unwrap_or(0);
        let mut kinds = [0; FAILURE_KINDS];
        for (index, kind) in kinds.iter_mut().enumerate() {
            *kind = count(FIRST_FAILURE_KIND + index);
        }
        EvidenceSummary {
            proposed_in: self.proposed_in,
            since: self.proposed_in.saturating_sub(count(7)),
            attempts: count(1),
            failures: count(2),
            expected: f64::from(count(3)) / 100.0,
            evidence: f64::from(count(4)) / 100.0,
            witnesses: count(5),
            zones: count(6),
            kinds,
        }
    }
}

/// The withdrawal of a proposal.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Withdrawal {
    /// The reason, as the state in the row's first count.
    pub(super) state: u32,
    /// The last window of the withdrawal's rows.
    pub(super) last_window: u32,
}

/// The maximum length of a worker's name in rows, in bytes.
const MAX_NAME_LENGTH: usize = 51;
/// The length of the hash that replaces the end of longer names, in bytes.
const NAME_HASH_LENGTH: usize = 16;
/// The bytes of a row's subject between its tag and the worker's name: interval, number and the worker's start.
pub(super) const SUBJECT_HEADER_LENGTH: usize = 12;
/// The index in the counts at which the failures by kind begin.
pub(super) const FIRST_FAILURE_KIND: usize = 8;
/// The state of a proposal that was not withdrawn.
pub(super) const STANDING: u32 = 1;
/// The limit of each count of the evidence, below the most that a count of a row can reach.
const MAX_FIGURE: u32 = 999_999;

/// A worker's name as it stands in rows. The end of a long name is replaced by a hash.
pub(crate) fn row_name(name: &str) -> Vec<u8> {
    if name.len() <= MAX_NAME_LENGTH {
        return name.as_bytes().to_vec();
    }
    let start = &name.as_bytes()[..MAX_NAME_LENGTH - NAME_HASH_LENGTH];
    [start, &Sha256::digest(name)[..NAME_HASH_LENGTH]].concat()
}

/// Encodes the evidence for a new proposal as the counts of its row.
pub(super) fn encode_counts(evidence: &TotalEvidence, proposed_in: u32) -> Vec<u32> {
    let hundredths = |figure: f64| ((figure * 100.0).max(0.0) as u32).min(MAX_FIGURE);
    let mut counts = vec![
        STANDING,
        evidence.attempts.min(MAX_FIGURE),
        evidence.failures.min(MAX_FIGURE),
        hundredths(evidence.expected),
        hundredths(evidence.log_evidence),
        evidence.witnesses as u32,
        evidence.zones as u32,
        proposed_in.saturating_sub(evidence.from),
    ];
    counts.extend(evidence.kinds.map(|failures| failures.min(MAX_FIGURE)));
    counts
}

/// The state that encodes the reason of a withdrawal.
pub(super) fn withdrawal_state(reason: Reason) -> u32 {
    match reason {
        Reason::Recovered | Reason::Superseded => 2,
        Reason::Expired => 3,
        Reason::Restarted => 4,
        Reason::Removed => 5,
    }
}

/// The reason that a state encodes.
pub(super) fn withdrawal_reason(state: u32) -> Reason {
    match state {
        0..=2 => Reason::Recovered,
        3 => Reason::Expired,
        4 => Reason::Restarted,
        _ => Reason::Removed,
    }
}

/// Decodes a big-endian number.
pub(super) fn big_endian(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}
