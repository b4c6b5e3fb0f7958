//! The rows of proposals: how a proposal and its withdrawal are encoded.

use sha2::{Digest, Sha256};

use super::types::{EvidenceSummary, Reason};
use crate::attribution::TotalEvidence;
use crate::FAILURE_KINDS;

/// A worker's start: its tag, and its start in milliseconds of Unix time.
pub(crate) type WorkerIncarnation = (Vec<u8>, u64);

/// A proposal as rows have it. The earliest counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Proposal {
    /// The half window in which it was made.
    pub(super) proposed_in: u32,
    pub(super) number: u32,
    pub(super) counts: Vec<u32>,
}

/// What identifies a proposal of a subject, whatever its counts are.
pub(super) type ProposalId = (WorkerIncarnation, u32, u32);

impl Proposal {
    pub(super) fn id(&self, subject: &WorkerIncarnation) -> ProposalId {
        (subject.clone(), self.proposed_in, self.number)
    }

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

/// Why and when a proposal was withdrawn.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Withdrawal {
    /// The first count of its row.
    pub(super) state: u32,
    /// The last window of its rows.
    pub(super) last_window: u32,
}

/// The longest tag, in bytes.
const MAX_NAME_LENGTH: usize = 51;
/// Bytes of a hash at the end of a long name's tag.
const NAME_HASH_LENGTH: usize = 16;
/// Bytes of a row's subject before the tag: when it was made, its number, the worker's start.
pub(super) const SUBJECT_HEADER_LENGTH: usize = 12;
/// The index of the first count of failures by kind.
pub(super) const FIRST_FAILURE_KIND: usize = 8;
/// The state of a proposal that stands.
pub(super) const STANDING: u32 = 1;
/// The highest value of a figure.
const MAX_FIGURE: u32 = 999_999;

/// A worker's name as rows have it: long ones end in a hash.
pub(crate) fn row_name(name: &str) -> Vec<u8> {
    if name.len() <= MAX_NAME_LENGTH {
        return name.as_bytes().to_vec();
    }
    let start = &name.as_bytes()[..MAX_NAME_LENGTH - NAME_HASH_LENGTH];
    [start, &Sha256::digest(name)[..NAME_HASH_LENGTH]].concat()
}

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

/// The state of a withdrawn proposal's row.
pub(super) fn withdrawal_state(reason: Reason) -> u32 {
    match reason {
        Reason::Recovered | Reason::Superseded => 2,
        Reason::Expired => 3,
        Reason::Restarted => 4,
        Reason::Removed => 5,
    }
}

pub(super) fn withdrawal_reason(state: u32) -> Reason {
    match state {
        0..=2 => Reason::Recovered,
        3 => Reason::Expired,
        4 => Reason::Restarted,
        _ => Reason::Removed,
    }
}

/// The number of big-endian bytes.
pub(super) fn big_endian(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}
