//! Comparing a digest with the stored rows.

use super::{decode_states, encode_states, owners_by_hash, unique_owner, HashedOwner, OwnerState};
use crate::endpoint_list::ListVersion;
use crate::message::Digest;
use crate::rows::{Owner, Rows};

/// An owner of whom a peer lacks rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingRows {
    /// The owner.
    pub owner: Owner,
    /// The version after which they begin.
    pub since: u64,
    /// Whether the peer knows the owner by its hash.
    pub known_by_hash: bool,
}

/// How the sender of a digest and this member differ.
#[derive(Clone, Debug, Default)]
pub struct Difference {
    /// The rows that the sender lacks, the owner with the most first.
    pub missing: Vec<MissingRows>,
    /// The owners that are alive here, and not there.
    pub alive_here: Vec<Owner>,
    /// The owners that are alive there, and not here.
    pub alive_there: Vec<Owner>,
    /// The digest of what this member lacks, where there is such.
    pub request: Option<Digest>,
}

/// Compares a digest with the stored rows. None: malformed.
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

/// The digest of the owners of whom the sender knows more; nothing where there are none.
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
