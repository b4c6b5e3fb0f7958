//! Packs the rows that a peer lacks into datagrams, and merges those that are received.

use super::{hash, owners_by_hash, unique_owner, MissingRows, MAX_HASH};
use crate::message::{Delta, OwnerRef, PackedRow};
use crate::rows::{Key, Owner, Row, Rows};

/// Bytes of a body excluding the deltas: its variant, the newest window and the number of deltas.
const BODY_OVERHEAD: usize = 8;
/// Bytes of an owner that is encoded as its hash.
const HASHED_OWNER_LENGTH: usize = 5;
/// Bytes of a delta excluding its owner and versions: the newest window and the number of rows.
const DELTA_OVERHEAD: usize = 7;
/// Bytes of a packed row excluding its numbers and subject: the table, and the lengths of subject
/// and counts.
const ROW_OVERHEAD: usize = 3;

/// The length of a number's varint encoding, in bytes.
fn varint_length(number: u64) -> usize {
    (70 - (number | 1).leading_zeros() as usize) / 7
}

/// The rows of one owner that fit into a datagram.
struct Packed {
    rows: Vec<PackedRow>,
    /// The newest window among the rows after the requested version, including those that did not
    /// fit.
    newest: u32,
    /// The version of the last packed row.
    last: u64,
    /// Whether some rows did not fit.
    is_cut: bool,
    /// The remaining bytes.
    space: usize,
}

/// Packs the rows of an owner that are newer than a version into at most `space` bytes.
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

/// Packs missing rows into the body of one datagram, of at most `space` bytes. Packed rows are
/// removed from `missing`: completed owners are dropped, and the position within a partially packed
/// owner is advanced. Returns the newest window of all deltas, and the deltas.
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
        // If there are no rows, all of them have expired.
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

/// Builds the delta of packed rows. `windows_back` is set when all deltas of the datagram are
/// known.
fn delta(rows: &Rows, missing: &MissingRows, packed: Packed) -> Delta {
    let owner = &missing.owner;
    let known = rows
        .known_versions()
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

/// Merges the deltas of a datagram. Returns false if one is malformed: its versions or windows are
/// out of range.
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

/// Merges one delta. Returns `None` if it is malformed. `owner` is `None` if the owner has been
/// removed here since the digest was sent, or if its hash is ambiguous.
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
        // [`Rows::merge`] counts rejected rows. The known version still advances past them, or the
        // peer would send them again, ahead of all later rows.
        let _ = rows.merge(&owner, row);
    }
    if version > up_to {
        return None;
    }
    rows.advance(&owner, delta.since, up_to);
    Some(())
}
