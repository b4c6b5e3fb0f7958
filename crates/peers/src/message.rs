//! The bodies of datagrams, encoded by postcard with variable-length integers.
//!
//! Variants and fields are encoded by position: they may be renamed, but not reordered.

use serde::{Deserialize, Serialize};

use crate::endpoint_list::{ListChunk, ListVersion};
use crate::membership::KnownMember;
use crate::rows::Owner;

/// A member's knowledge of the owners whose hashes lie in a range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Whether the digest lists all owners of the range that its sender knows, so that it lacks all
    /// rows of any other owner. Otherwise it is a reply that requests rows of the listed owners
    /// only.
    pub complete: bool,
    /// The lowest hash of the range.
    pub first: u32,
    /// The highest hash of the range.
    pub last: u32,
    /// The version of the sender's endpoint list.
    pub list_version: ListVersion,
    /// The owners in ascending order of their hashes: the difference from the previous hash (at
    /// first, from `first`), and the state. The state is 0 for an unknown owner. Otherwise it is
    /// twice the version up to which all rows are known, plus 1, plus another 1 if the owner is
    /// alive.
    pub states: Vec<(u32, u64)>,
}

/// One row in a delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedRow {
    /// The version, as the difference from the previous row (at first, from [`Delta::since`]).
    pub version: u64,
    /// The table of the row.
    pub table: u8,
    /// The window, as the number of windows before the newest one of the delta.
    pub windows_back: u32,
    /// The subject of the row.
    pub subject: Vec<u8>,
    /// The counts of the row.
    pub counts: Vec<u32>,
}

/// An owner, in the shortest form that identifies it to the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerRef {
    /// The hash that digests use, for an owner known to the receiver.
    Hash(u32),
    /// The name and incarnation.
    Full(Owner),
}

/// Rows of one owner in ascending order of their versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The owner of the rows.
    pub owner: OwnerRef,
    /// The version after which the rows begin.
    pub since: u64,
    /// The number of versions after `since` that the delta covers without a gap.
    pub covered: u64,
    /// The newest window of the owner, as the number of windows before the newest one of the
    /// datagram.
    pub windows_back: u32,
    /// The rows, omitting expired ones.
    pub rows: Vec<PackedRow>,
}

/// The body of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A foca packet.
    Membership(Vec<u8>),
    /// Live members that the receiver does not know.
    Members(Vec<KnownMember>),
    /// Members that were recently declared dead.
    DeadMembers(Vec<KnownMember>),
    /// The versions that the sender knows. The receiver answers with the rows that are missing.
    Digest(Digest),
    /// The newest window of all rows, and the rows that the receiver lacks.
    Rows(u32, Vec<Delta>),
    /// The version of the sender's endpoint list. A receiver with a newer list answers with the
    /// changes, one with an older list answers with its own version.
    ListVersion(ListVersion),
    /// A chunk of an endpoint list.
    ListChunk(ListChunk),
}

impl Body {
    /// The names of the variants, as used in counters.
    pub const KINDS: [&'static str; 7] = [
        "membership",
        "members",
        "dead",
        "digests",
        "rows",
        "numbers",
        "lists",
    ];

    /// The index of the variant in [`Body::KINDS`].
    #[must_use]
    pub fn kind(&self) -> usize {
        match self {
            Body::Membership(_) => 0,
            Body::Members(_) => 1,
            Body::DeadMembers(_) => 2,
            Body::Digest(_) => 3,
            Body::Rows(..) => 4,
            Body::ListVersion(_) => 5,
            Body::ListChunk(_) => 6,
        }
    }
}

/// Splits members into chunks of at most `max_length` bytes.
pub(crate) fn chunks(
    members: Vec<KnownMember>,
    max_length: usize,
) -> impl Iterator<Item = Vec<KnownMember>> {
    let mut chunks: Vec<Vec<KnownMember>> = Vec::new();
    let mut left = 0;
    for member in members {
        // An upper bound: name and its length, incarnation, generation, IPv6 address and SWIM
        // incarnation, as varints.
        let length = member.identity.owner.name.len() + 1 + 10 + 3 + 21 + 3;
        if length > left {
            chunks.push(Vec::new());
            left = max_length.saturating_sub(4);
        }
        left = left.saturating_sub(length);
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(member);
        }
    }
    chunks.into_iter()
}
