//! The encoding of evidence in rows: a list's names as numbers, tries as gaps, failures one row a cell.
//!
//! A row is only decoded against the names that it was encoded with. Bytes of any origin are rejected without a
//! panic.

use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::{Worker, FAILURE_KINDS};

/// The most cells in a row of tries: two counts each and one at the end stay below 64.
const MAX_CELLS: usize = 31;
/// The most classes.
const MAX_CLASSES: usize = 32;
/// The tag of rows of tries; the lowest bit is the half of the window.
const ATTEMPTS_TAG: u8 = 2;
/// The tag of rows of failures, likewise.
const FAILURES_TAG: u8 = 4;
/// A unit of tries is less than two to the power of this.
const MAX_UNIT_BITS: u8 = 16;
/// The highest count that is believed.
const MAX_COUNT: u32 = 1 << 20;
/// The most bytes of a varint.
const MAX_VARINT_LENGTH: u32 = 5;
/// Bytes of a row beside its subject and counts: version, table, window and lengths.
const ROW_OVERHEAD: u32 = 10;
/// The tag of proposals.
pub(crate) const PROPOSAL_TAG: u8 = 6;

/// The names that rows refer to by number: workers and zones by name, classes as in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameTable {
    pub(crate) workers: Vec<Arc<str>>,
    pub(crate) zones: Vec<Arc<str>>,
    pub(crate) classes: usize,
    /// Identifies the set of names: two bytes of SHA-256.
    pub(crate) digest: [u8; 2],
}

impl NameTable {
    /// The names of an endpoint list.
    #[must_use]
    pub fn new(workers: &[Worker], classes: &[Arc<str>], own_zone: &Arc<str>) -> NameTable {
        let mut names: Vec<Arc<str>> = workers.iter().map(|w| w.name.clone()).collect();
        let mut zones: Vec<Arc<str>> = workers.iter().map(|w| w.zone.clone()).collect();
        zones.push(own_zone.clone());
        names.sort();
        names.dedup();
        zones.sort();
        zones.dedup();
        let mut hash = Sha256::new();
        for (tag, list) in [(b'w', &names), (b'h', &zones)] {
            for name in list {
                hash.update([&[tag], name.as_bytes(), &[0]].concat());
            }
        }
        for class in classes {
            hash.update([b"c", class.as_bytes(), &[0]].concat());
        }
        let hash = hash.finalize();
        NameTable {
            workers: names,
            zones,
            classes: classes.len().clamp(1, MAX_CLASSES),
            digest: [hash[0], hash[1]],
        }
    }

    /// The number of a worker's cell for a class; nothing where either is not known.
    pub(crate) fn cell(&self, worker: &str, class: usize) -> Option<u32> {
        let at = self.workers.binary_search_by(|w| (**w).cmp(worker)).ok()?;
        (class < self.classes).then(|| (at * self.classes + class) as u32)
    }

    pub(crate) fn zone(&self, zone: &str) -> Option<u16> {
        self.zones
            .binary_search_by(|h| (**h).cmp(zone))
            .ok()
            .and_then(|at| u16::try_from(at).ok())
    }
}

/// A decoded row of evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DecodedRow {
    /// 0 or 1: the half of the window.
    pub(crate) half: u32,
    pub(crate) zone: u16,
    pub(crate) cells: Vec<CellCounts>,
}

/// A cell, its tries, and its failures by kind.
type CellCounts = (u32, u32, [u32; FAILURE_KINDS]);

/// The rows of tries of one half window: cells in order, counts in units of `2^coarse`.
pub(crate) fn encode_attempts(
    names: &NameTable,
    half: u32,
    zone: u16,
    unit_bits: u8,
    cells: &[(u32, u32)],
) -> Vec<(Vec<u8>, Vec<u32>)> {
    let mut rows = Vec::new();
    // Most counts are one where there are many schedulers: the low bit says whether a count follows.
    for (chunk, cells) in cells.chunks(MAX_CELLS).enumerate() {
        let mut counts = Vec::new();
        let mut next = 0;
        for &(cell, attempts) in cells {
            let gap = cell - next;
            next = cell + 1;
            counts.push(gap * 2 + u32::from(attempts > 1));
            if attempts > 1 {
                counts.push(attempts);
            }
        }
        // A gap of zero at the end would be omitted.
        counts.push(1);
        let mut subject = vec![
            ATTEMPTS_TAG | half as u8,
            names.digest[0],
            names.digest[1],
            unit_bits,
        ];
        write_varint(&mut subject, u32::from(zone));
        write_varint(&mut subject, chunk as u32);
        rows.push((subject, counts));
    }
    rows
}

/// The subject of a cell's row of failures.
pub(crate) fn failure_subject(names: &NameTable, half: u32, zone: u16, cell: u32) -> Vec<u8> {
    let mut subject = vec![FAILURES_TAG | half as u8, names.digest[0], names.digest[1]];
    write_varint(&mut subject, u32::from(zone));
    write_varint(&mut subject, cell);
    subject
}

/// A number as a varint (LEB128): seven bits a byte, the lowest first, the high bit where more follow. One byte
/// for each of the first 128 zones, and no bound below that of the type.
fn write_varint(subject: &mut Vec<u8>, mut number: u32) {
    while number >= 0x80 {
        subject.push(number as u8 | 0x80);
        number >>= 7;
    }
    subject.push(number as u8);
}

/// Takes a varint from the front; nothing where there is none, or one that is too long.
fn read_varint(bytes: &mut &[u8]) -> Option<u32> {
    let mut number = 0_u32;
    for group in 0..MAX_VARINT_LENGTH {
        let (byte, rest) = bytes.split_first()?;
        *bytes = rest;
        number |= u32::from(byte & 0x7f).checked_mul(1 << (7 * group))?;
        if byte & 0x80 == 0 {
            return Some(number);
        }
    }
    None
}

/// The bytes of a row as members exchange it: version, table, window, lengths, subject, counts as varints.
pub(crate) fn encoded_size(subject: &[u8], counts: &[u32]) -> u32 {
    let varint = |number: u32| (32 - number.max(1).leading_zeros()).div_ceil(7);
    let counts: u32 = counts.iter().map(|count| varint(*count)).sum();
    ROW_OVERHEAD + subject.len() as u32 + counts
}

/// The digest of the names that a row was encoded with; nothing where it is no row of evidence.
pub(crate) fn names_digest(subject: &[u8]) -> Option<[u8; 2]> {
    match subject {
        [tag, a, b, _, ..] if [ATTEMPTS_TAG, FAILURES_TAG].contains(&(tag & !1)) => Some([*a, *b]),
        _ => None,
    }
}

/// Decodes a row of evidence against the names that it was encoded with.
pub(crate) fn decode(names: &NameTable, subject: &[u8], counts: &[u32]) -> Option<DecodedRow> {
    let [tag, a, b, rest @ ..] = subject else {
        return None;
    };
    let kind = tag & !1;
    let (unit_bits, mut rest) = match (kind, rest) {
        (ATTEMPTS_TAG, [unit_bits, rest @ ..]) if *unit_bits < MAX_UNIT_BITS => (*unit_bits, rest),
        (FAILURES_TAG, rest) => (0, rest),
        _ => return None,
    };
    let zone = read_varint(&mut rest)?;
    // Of failures the cell; of tries the chunk, which only makes subjects distinct.
    let number = read_varint(&mut rest)?;
    if [*a, *b] != names.digest || zone as usize >= names.zones.len() || !rest.is_empty() {
        return None;
    }
    let max_cells = (names.workers.len() * names.classes) as u32;
    let cells = if kind == ATTEMPTS_TAG {
        decode_attempts(max_cells, unit_bits, counts)?
    } else {
        vec![decode_failures(max_cells, number, counts)?]
    };
    Some(DecodedRow {
        half: u32::from(tag & 1),
        zone: u16::try_from(zone).ok()?,
        cells,
    })
}

/// Decodes the counts of a row of tries.
fn decode_attempts(max_cells: u32, unit_bits: u8, counts: &[u32]) -> Option<Vec<CellCounts>> {
    let mut cells = Vec::new();
    let mut next = 0_u32;
    let mut counts = counts.split_last()?.1.iter();
    while let Some(&gap) = counts.next() {
        let attempts = if gap & 1 == 1 { *counts.next()? } else { 1 };
        let cell = next.checked_add(gap / 2).filter(|cell| *cell < max_cells)?;
        next = cell + 1;
        let unit_bits = unit_bits.min(10);
        cells.push((
            cell,
            attempts.min(MAX_COUNT) << unit_bits,
            [0; FAILURE_KINDS],
        ));
    }
    Some(cells)
}

/// Decodes the counts of a row of failures.
fn decode_failures(max_cells: u32, cell: u32, counts: &[u32]) -> Option<CellCounts> {
    if cell >= max_cells || counts.len() > FAILURE_KINDS {
        return None;
    }
    let mut kinds = [0; FAILURE_KINDS];
    for (kind, count) in kinds.iter_mut().zip(counts) {
        *kind = (*count).min(MAX_COUNT);
    }
    Some((cell, 0, kinds))
}
