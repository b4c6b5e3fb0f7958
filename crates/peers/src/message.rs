//! The bodies of datagrams, encoded in postcard's varints.
//!
//! Variants and fields are encoded by their order, so names may change and places may not.

use serde::{Deserialize, Serialize};

use crate::endpoint_list::{ListChunk, ListVersion};
use crate::membership::KnownMember;
use crate::rows::Owner;

/// What a member knows of the owners whose hash lies in a range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Whether it has all known owners of the range, so that the sender lacks all rows of others. Otherwise
    /// it is an answer, and only the owners in it are wanted.
    pub complete: bool,
    /// The first hash of the range.
    pub first: u32,
    /// The last hash of the range.
    pub last: u32,
    /// The version of the sender's endpoint list.
    pub list_version: ListVersion,
    /// The hash, as the distance from the one before, and the state: 0 where the owner is unknown, else one
    /// more than twice the version up to which all rows are known, and one more where the owner is alive.
    pub states: Vec<(u32, u64)>,
}

/// One row in a delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedRow {
    /// The version, as the distance from the row before.
    pub version: u64,
    /// The table.
    pub table: u8,
    /// The window, as the distance back from the delta's newest.
    pub windows_back: u32,
    /// The subject.
    pub subject: Vec<u8>,
    /// The counts.
    pub counts: Vec<u32>,
}

/// An owner, in the shortest form that identifies it to the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerRef {
    /// By its hash in digests: the receiver knows it.
    Hash(u32),
    /// In full.
    Full(Owner),
}

/// Rows of one owner, oldest version first: all that it raised after `since` up to `upto`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The owner.
    pub owner: OwnerRef,
    /// The version after which they begin.
    pub since: u64,
    /// The version up to which nothing is missing, as the distance from `since`.
    pub covered: u64,
    /// The newest window among them, as the distance back from the datagram's newest.
    pub windows_back: u32,
    /// The rows.
    pub rows: Vec<PackedRow>,
}

/// A datagram's body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A packet of the membership library.
    Membership(Vec<u8>),
    /// Members that the receiver did not know.
    Members(Vec<KnownMember>),
    /// Members that were declared dead recently.
    DeadMembers(Vec<KnownMember>),
    /// What the sender knows; the receiver answers with the rest.
    Digest(Digest),
    /// Rows that the receiver lacked, and the newest window among them.
    Rows(u32, Vec<Delta>),
    /// The version of the sender's endpoint list: who has a newer one sends what changed, who has an older
    /// one answers with its own.
    ListVersion(ListVersion),
    /// A chunk of an endpoint list.
    ListChunk(ListChunk),
}

impl Body {
    /// The names of the kinds, for counters.
    pub const KINDS: [&'static str; 7] = [
        "membership",
        "members",
        "dead",
        "digests",
        "rows",
        "numbers",
        "lists",
    ];

    /// Which of [`Body::KINDS`] this is.
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

/// Members in as many datagrams as they need, of at most `max_length` bytes each.
pub(crate) fn chunks(
    members: Vec<KnownMember>,
    max_length: usize,
) -> impl Iterator<Item = Vec<KnownMember>> {
    let mut chunks: Vec<Vec<KnownMember>> = Vec::new();
    let mut left = 0;
    for member in members {
        // Lengths, incarnations, generation and address (IPv6), as varints.
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
