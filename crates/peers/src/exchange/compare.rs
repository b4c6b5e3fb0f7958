//! The comparison of a peer's digest with the stored rows.

use super::{decode_states, encode_states, owners_by_hash, unique_owner, HashedOwner, OwnerState};
use crate::endpoint_list::ListVersion;
use crate::message::Digest;
use crate::rows::{Owner, Rows};

/// An owner some of whose rows a peer lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingRows {
    /// The owner.
    pub owner: Owner,
    /// The version after which the missing rows begin.
    pub since: u64,
    /// Whether the owner's hash identifies it to the peer.
    pub known_by_hash: bool,
}

/// The differences between the sender of a digest and this member.
#[derive(Clone, Debug, Default)]
pub struct Difference {
    /// The rows that the sender lacks, starting with the owner that has the most of them.
    pub missing: Vec<MissingRows>,
    /// The owners that are alive according to this member, but not according to the sender.
    pub alive_here: Vec<Owner>,
    /// The owners that are alive according to the sender, but not according to this member.
    pub alive_there: Vec<Owner>,
    /// The digest that requests the rows this member lacks, if there are any.
    pub request: Option<Digest>,
}

/// Compares a digest with the stored rows. Returns `None` if the digest is malformed.
#[must_use]
pub fn compare(rows: &Rows, digest: &Digest, list_version: ListVersion) -> Option<Difference> {
    let theirs = decode_states(digest)?;
    let ours = owners_by_hash(rows, digest.first, digest.last);
    let mut difference = Difference::default();
    let mut missing = Vec::new();
    for HashedOwner { hash, owner, state } in &ours {
        let their_state = match theirs.binary_search_by_key(hash, |(hash, _)| *hash) {
            Ok(at) => theirs[at].1,
            Err(_) if digest.complete => None,
            Err(_) => continue,
        };
        let OwnerState {
            known_version,
            alive,
        } = their_state.unwrap_or_default();
        if state.alive && !alive {
            difference.alive_here.push((*owner).clone());
        }
        if !state.alive && alive {
            difference.alive_there.push((*owner).clone());
        }
        if known_version < state.known_version {
            let rows = MissingRows {
                owner: (*owner).clone(),
                since: known_version,
                known_by_hash: their_state.is_some() && unique_owner(&ours, *hash).is_some(),
            };
            missing.push((state.known_version - known_version, rows));
        }
    }
    missing.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.owner.cmp(&b.1.owner)));
    difference.missing = missing.into_iter().map(|(_, rows)| rows).collect();
    if digest.complete {
        difference.request = missing_here(digest, &theirs, &ours, list_version);
    }
    Some(difference)
}

/// The digest of the owners that the sender has newer information on, or `None` if there are none.
fn missing_here(
    digest: &Digest,
    theirs: &[(u32, Option<OwnerState>)],
    ours: &[HashedOwner<'_>],
    list_version: ListVersion,
) -> Option<Digest> {
    let missing = theirs.iter().filter_map(|(hash, their_state)| {
        let their_state = their_state.as_ref()?;
        let own = unique_owner(ours, *hash).map(|hashed| hashed.state);
        let is_behind = own.is_none_or(|own| {
            own.known_version < their_state.known_version || their_state.alive && !own.alive
        });
        is_behind.then_some((*hash, own))
    });
    let states = encode_states(missing, digest.first);
    if states.is_empty() {
        return None;
    }
    Some(Digest {
        complete: false,
        states,
        list_version,
        ..*digest
    })
}
