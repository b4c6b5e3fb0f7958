//! The anti-entropy protocol by which two members compare their rows and exchange those that are
//! missing.
//!
//! Members compare one version number per owner. They send the oldest missing rows first, beginning
//! with the owner that has the most of them (van Renesse et al., 'Efficient Reconciliation and Flow
//! Control for Anti-Entropy Protocols', LADIS 2008). The known version of an owner never advances
//! past a gap between its rows.

use crate::endpoint_list::ListVersion;
use crate::message::Digest;
use crate::rows::{Owner, Rows};

mod compare;
mod deltas;

pub use compare::{compare, Difference, MissingRows};
pub use deltas::{merge_deltas, pack_deltas};

/// The maximum number of owners in one digest. At 5 bytes each, they take half a datagram.
pub const MAX_DIGEST_OWNERS: usize = 100;
/// The highest hash of an owner: hashes have 24 bits.
const MAX_HASH: u32 = 0xff_ffff;

/// The hash that identifies an owner in digests. Owners whose hashes collide are treated as unknown
/// and sent in full, which costs bandwidth but loses no data.
#[must_use]
pub fn hash(owner: &Owner) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&owner.incarnation.to_le_bytes());
    hasher.update(owner.name.as_bytes());
    hasher.finalize() & MAX_HASH
}

/// A member's knowledge of an owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct OwnerState {
    /// The version up to which all rows are known.
    known_version: u64,
    alive: bool,
}

impl OwnerState {
    /// Encodes a state for a digest; 0 stands for an unknown owner.
    fn encode(state: Option<OwnerState>) -> u64 {
        let Some(state) = state else {
            return 0;
        };
        1 + 2 * state.known_version.min(u64::MAX >> 2) + u64::from(state.alive)
    }

    fn decode(number: u64) -> Option<OwnerState> {
        let number = number.checked_sub(1)?;
        Some(OwnerState {
            known_version: number >> 1,
            alive: number & 1 == 1,
        })
    }
}

/// An owner with its hash and state.
struct HashedOwner<'a> {
    hash: u32,
    owner: &'a Owner,
    state: OwnerState,
}

/// The owners whose hashes lie in a range, sorted by hash.
fn owners_by_hash(rows: &Rows, first: u32, last: u32) -> Vec<HashedOwner<'_>> {
    let mut found: Vec<HashedOwner<'_>> = rows
        .states()
        .map(|(owner, known_version, alive)| HashedOwner {
            hash: hash(owner),
            owner,
            state: OwnerState {
                known_version,
                alive,
            },
        })
        .filter(|hashed| (first..=last).contains(&hashed.hash))
        .collect();
    found.sort_by(|a, b| (a.hash, a.owner).cmp(&(b.hash, b.owner)));
    found
}

/// The owner with a hash, or `None` if there is none or the hash is ambiguous.
fn unique_owner<'a, 'b>(all: &'b [HashedOwner<'a>], hash: u32) -> Option<&'b HashedOwner<'a>> {
    let at = all.partition_point(|hashed| hashed.hash < hash);
    let found = all.get(at)?;
    let collides = all.get(at + 1).is_some_and(|next| next.hash == hash);
    (found.hash == hash && !collides).then_some(found)
}

/// The position of a member's digests, which cycle through all owners range by range.
#[derive(Clone, Debug, Default)]
pub struct DigestCursor {
    next: u32,
}

impl DigestCursor {
    /// Starts at the given hash. Members should start at different ones, so that they do not all
    /// compare the same range at the same time.
    #[must_use]
    pub fn new(at: u32) -> DigestCursor {
        DigestCursor {
            next: at & MAX_HASH,
        }
    }

    /// The digest of the next range.
    pub fn digest(&mut self, rows: &Rows, list_version: ListVersion) -> Digest {
        let all = owners_by_hash(rows, 0, MAX_HASH);
        let mut first = 0;
        let mut last = MAX_HASH;
        let mut range = &all[..];
        if all.len() > MAX_DIGEST_OWNERS {
            first = self.next;
            range = &all[all.partition_point(|hashed| hashed.hash < first)..];
            if range.len() > MAX_DIGEST_OWNERS {
                // Owners that share a hash stay in the same range.
                let end = range[MAX_DIGEST_OWNERS].hash;
                range = &range[..range.partition_point(|hashed| hashed.hash < end)];
                last = end.saturating_sub(1);
            }
            self.next = if last == MAX_HASH { 0 } else { last + 1 };
        }
        let states = range.iter().map(|hashed| {
            let owner = unique_owner(range, hashed.hash);
            (hashed.hash, owner.map(|hashed| hashed.state))
        });
        Digest {
            complete: true,
            first,
            last,
            list_version,
            states: encode_states(states, first),
        }
    }
}

/// Encodes states in ascending order of their hashes. Of several states with the same hash, only
/// the first is encoded.
fn encode_states(
    states: impl Iterator<Item = (u32, Option<OwnerState>)>,
    first: u32,
) -> Vec<(u32, u64)> {
    let mut encoded: Vec<(u32, u64)> = Vec::new();
    let mut previous = None;
    for (hash, state) in states {
        if previous != Some(hash) {
            let distance = hash - previous.unwrap_or(first);
            encoded.push((distance, OwnerState::encode(state)));
        }
        previous = Some(hash);
    }
    encoded
}

/// Decodes the states of a digest. Returns `None` if the digest is malformed.
fn decode_states(digest: &Digest) -> Option<Vec<(u32, Option<OwnerState>)>> {
    let mut hash = digest.first;
    let mut states = Vec::with_capacity(digest.states.len());
    for (distance, number) in &digest.states {
        hash = hash.checked_add(*distance)?;
        if hash > digest.last.min(MAX_HASH) {
            return None;
        }
        states.push((hash, OwnerState::decode(*number)));
    }
    Some(states)
}
