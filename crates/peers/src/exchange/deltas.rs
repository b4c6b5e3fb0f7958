//! Packing the rows that a peer lacks into datagrams, and merging those that come.

use super::{hash, owners_by_hash, unique_owner, MissingRows, MAX_HASH};
use crate::message::{Delta, OwnerRef, PackedRow};
use crate::rows::{Key, Owner, Row, Rows};

/// Bytes of a datagram's body beside the deltas: its kind, the newest window, the number of deltas.
const BODY_OVERHEAD: usize = 8;
/// Bytes of a delta's owner by its hash.
const HASHED_OWNER_LENGTH: usize = 5;
/// Bytes of a delta beside its owner and versions: windows and the number of rows.
const DELTA_OVERHEAD: usize = 7;
/// Bytes of a packed row beside its numbers and subject: the table, and the lengths of subject and counts.
const ROW_OVERHEAD: usize = 3;

/// How many bytes a number takes as a varint.
fn varint_length(number: u64) -> usize {
    (70 - (number | 1).leading_zeros() as usize) / 7
}

/// Rows of one owner, as many as fit.
struct Packed {
    rows: Vec<PackedRow>,
    /// The newest window of the owner.
    newest: u32,
    /// The version of the last row.
    last: u64,
    /// Whether further rows did not fit.
    is_cut: bool,
    /// The bytes that are left.
    space: usize,
}

/// Packs an owner's rows after a version into so many bytes.
fn pack_rows(rows: &Rows, owner: &Owner, since: u64, space: usize) -> Packed {
    let newest = rows
        .newer_than(owner, since)
        .map(|row| row.key.window)
        .max()
        .unwrap_or(0);
    let mut packed = Packed {
        rows: Vec::new(),
        newest,
        last: since,
        is_cut: false,
        space,
    };
    for row in rows.newer_than(owner, since) {
        let packed_row = PackedRow {
            version: row.version - packed.last,
            table: row.key.table,
            windows_back: newest - row.key.window,
            subject: row.key.subject.to_vec(),
            counts: row.counts,
        };
        let Some(space) = packed.space.checked_sub(row_length(&packed_row)) else {
            packed.is_cut = true;
            break;
        };
        packed.space = space;
        packed.last = row.version;
        packed.rows.push(packed_row);
    }
    packed
}

/// The encoded length of a row, in bytes.
fn row_length(row: &PackedRow) -> usize {
    let counts: usize = row
        .counts
        .iter()
        .map(|count| varint_length(u64::from(*count)))
        .sum();
    varint_length(row.version)
        + varint_length(u64::from(row.windows_back))
        + row.subject.len()
        + counts
        + ROW_OVERHEAD
}

/// Packs missing rows into one datagram of at most `space` bytes. What is packed is removed from `missing`,
/// or advanced in it. The newest window of all deltas comes first.
pub fn pack_deltas(rows: &Rows, missing: &mut Vec<MissingRows>, space: usize) -> (u32, Vec<Delta>) {
    let mut deltas: Vec<(u32, Delta)> = Vec::new();
    let mut remaining = space.saturating_sub(BODY_OVERHEAD);
    let mut completed = 0;
    for missing in missing.iter_mut() {
        let owner = missing.owner.clone();
        let since = missing.since;
        let owner_length = if missing.known_by_hash {
            HASHED_OWNER_LENGTH
        } else {
            2 + owner.name.len() + varint_length(owner.incarnation)
        };
        let header = owner_length + 2 * varint_length(since) + DELTA_OVERHEAD;
        let Some(space) = remaining.checked_sub(header) else {
            break;
        };
        let packed = pack_rows(rows, &owner, since, space);
        if packed.rows.is_empty() && packed.is_cut {
            break;
        }
        let (last, is_cut) = (packed.last, packed.is_cut);
        // Where there are no rows, all of them have expired.
        if !packed.rows.is_empty() {
            remaining = packed.space;
            deltas.push((packed.newest, delta(rows, missing, packed)));
        }
        if is_cut {
            missing.since = last;
            break;
        }
        completed += 1;
    }
    missing.drain(..completed);
    let newest = deltas.iter().map(|(newest, _)| *newest).max().unwrap_or(0);
    let deltas = deltas.into_iter().map(|(own, delta)| Delta {
        windows_back: newest - own,
        ..delta
    });
    (newest, deltas.collect())
}

/// The delta of packed rows; `back` is set once all deltas of the datagram are known.
fn delta(rows: &Rows, missing: &MissingRows, packed: Packed) -> Delta {
    let owner = &missing.owner;
    let known = rows
        .known()
        .find(|(candidate, _)| *candidate == owner)
        .map_or(packed.last, |(_, known)| known);
    let up_to = if packed.is_cut {
        packed.last
    } else {
        known.max(packed.last)
    };
    let owner = if missing.known_by_hash {
        OwnerRef::Hash(hash(owner))
    } else {
        OwnerRef::Full(owner.clone())
    };
    Delta {
        owner,
        since: missing.since,
        covered: up_to - missing.since,
        windows_back: 0,
        rows: packed.rows,
    }
}

/// Merges the deltas of a datagram. Returns false where one is malformed: versions or windows beyond their
/// types.
pub fn merge_deltas(rows: &mut Rows, newest: u32, deltas: Vec<Delta>) -> bool {
    let all = owners_by_hash(rows, 0, MAX_HASH);
    let owners: Vec<Option<Owner>> = deltas
        .iter()
        .map(|delta| match &delta.owner {
            OwnerRef::Full(owner) => Some(owner.clone()),
            OwnerRef::Hash(hash) => unique_owner(&all, *hash).map(|hashed| hashed.owner.clone()),
        })
        .collect();
    for (delta, owner) in deltas.into_iter().zip(owners) {
        if merge_delta(rows, newest, delta, owner).is_none() {
            return false;
        }
    }
    true
}

/// Merges one delta; nothing where it is malformed. `owner` is absent where its rows have expired here since
/// the digest.
fn merge_delta(rows: &mut Rows, newest: u32, delta: Delta, owner: Option<Owner>) -> Option<()> {
    let up_to = delta.since.checked_add(delta.covered)?;
    let newest = newest.checked_sub(delta.windows_back)?;
    let Some(owner) = owner else {
        return Some(());
    };
    let mut version = delta.since;
    for packed in delta.rows {
        version = version.checked_add(packed.version)?;
        let key = Key {
            table: packed.table,
            window: newest.checked_sub(packed.windows_back)?,
            subject: packed.subject.into(),
        };
        let row = Row {
            version,
            key,
            counts: packed.counts,
        };
        // What is rejected is counted there; it would only come again if it delayed the rest.
        let _ = rows.merge(&owner, row);
    }
    if version > up_to {
        return None;
    }
    rows.advance(&owner, delta.since, up_to);
    Some(())
}
