//! Encodes evidence in the subjects and counts of shared rows.
//!
//! Workers, zones and classes are numbered by a [`NameTable`], and a cell is a pair of worker and class. Attempts
//! are packed with many cells to a row, as gaps between the cells' numbers; failures have one row for each cell. A
//! row is decoded only with the name table that it was encoded with, which it identifies by a digest. Malformed
//! rows are rejected without a panic, as they arrive from the network.

use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::{Worker, FAILURE_KINDS};

/// The maximum number of cells in a row of attempts: two counts for each and one at the end fit into the 64 counts
/// that a row may have.
const MAX_CELLS: usize = 31;
/// The maximum number of classes.
const MAX_CLASSES: usize = 32;
/// The tag of rows of attempts. The lowest bit is the half of the window.
const ATTEMPTS_TAG: u8 = 2;
/// The tag of rows of failures, with the half of the window in the lowest bit too.
const FAILURES_TAG: u8 = 4;
/// The exclusive upper limit of a row's unit bits: attempts are counted in units of `2^unit_bits`.
const MAX_UNIT_BITS: u8 = 16;
/// The limit that decoded counts are reduced to, so that a malformed row cannot report an implausible number.
const MAX_COUNT: u32 = 1 << 20;
/// The maximum length of a varint, in bytes.
const MAX_VARINT_LENGTH: u32 = 5;
/// The bytes of a row besides its subject and counts: version, table, window and lengths.
const ROW_OVERHEAD: u32 = 10;
/// The tag of rows of proposals.
pub(crate) const PROPOSAL_TAG: u8 = 6;

/// The names that rows refer to by number. Workers and zones are in the order of their names, classes in the order
/// of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameTable {
    pub(crate) workers: Vec<Arc<str>>,
    pub(crate) zones: Vec<Arc<str>>,
    pub(crate) classes: usize,
    /// The first two bytes of the names' SHA-256, which identify the table in rows.
    pub(crate) digest: [u8; 2],
}

impl NameTable {
    /// The table for an endpoint list, the configured classes and this member's zone.
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

    /// The number of the cell for a worker and class, or `None` if either is unknown.
    pub(crate) fn cell(&self, worker: &str, class: usize) -> Option<u32> {
        let at = self.workers.binary_search_by(|w| (**w).cmp(worker)).ok()?;
        (class < self.classes).then(|| (at * self.classes + class) as u32)
    }

    /// The number of a zone, or `None` if it is unknown.
    pub(crate) fn zone(&self, zone: &str) -> Option<u16> {
        self.zones
            .binary_search_by(|h| (**h).cmp(zone))
            .ok()
            .and_then(|at| u16::try_from(at).ok())
    }
}

/// A row of attempts or failures, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DecodedRow {
    /// The half of the window, 0 or 1.
    pub(crate) half: u32,
    /// The number of the reporting member's zone.
    pub(crate) zone: u16,
    pub(crate) cells: Vec<CellCounts>,
}

/// The number of a cell, its attempts, and its failures by kind.
type CellCounts = (u32, u32, [u32; FAILURE_KINDS]);

/// Encodes the attempts of one interval as rows of subject and counts. `cells` are in ascending order, with their
/// attempts in units of `2^unit_bits`.
pub(crate) fn encode_attempts(
    names: &NameTable,
    half: u32,
    zone: u16,
    unit_bits: u8,
    cells: &[(u32, u32)],
) -> Vec<(Vec<u8>, Vec<u32>)> {
    let mut rows = Vec::new();
    // With many schedulers most counts are one and are omitted: the lowest bit tells whether a count follows.
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
        // Rows drop zeros at the end, so a last gap of zero would be lost without another count after it.
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

/// The subject of the row for a cell's failures.
pub(crate) fn failure_subject(names: &NameTable, half: u32, zone: u16, cell: u32) -> Vec<u8> {
    let mut subject = vec![FAILURES_TAG | half as u8, names.digest[0], names.digest[1]];
    write_varint(&mut subject, u32::from(zone));
    write_varint(&mut subject, cell);
    subject
}

/// Appends a number as a varint (LEB128): seven bits in each byte, the lowest first, with the high bit set where
/// more follow. The first 128 zones take one byte, and all values of the type can be written.
fn write_varint(subject: &mut Vec<u8>, mut number: u32) {
    while number >= 0x80 {
        subject.push(number as u8 | 0x80);
        number >>= 7;
    }
    subject.push(number as u8);
}

/// Takes a varint from the front of `bytes`. Returns `None` if it is incomplete or too long.
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

/// The length of a row in the form that members exchange, in bytes, with the counts as varints.
pub(crate) fn encoded_size(subject: &[u8], counts: &[u32]) -> u32 {
    let varint = |number: u32| (32 - number.max(1).leading_zeros()).div_ceil(7);
    let counts: u32 = counts.iter().map(|count| varint(*count)).sum();
    ROW_OVERHEAD + subject.len() as u32 + counts
}

/// The digest of the name table that a row was encoded with, or `None` for rows other than evidence.
pub(crate) fn names_digest(subject: &[u8]) -> Option<[u8; 2]> {
    match subject {
        [tag, a, b, _, ..] if [ATTEMPTS_TAG, FAILURES_TAG].contains(&(tag & !1)) => Some([*a, *b]),
        _ => None,
    }
}

/// Decodes a row of evidence. Returns `None` if it is malformed or was encoded with another name table.
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
    // The cell of a row of failures. In a row of attempts it is the chunk, which only makes subjects distinct.
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

/// Decodes the counts of a row of attempts.
fn decode_attempts(max_cells: u32, unit_bits: u8, counts: &[u32]) -> Option<Vec<CellCounts>> {
    let mut cells = Vec::new();
    let mut next = 0_u32;
    let mut counts = counts.split_last()?.1.iter();
    while let Some(&gap) = counts.next() {
        let attempts = if gap & 1 == 1 { *counts.next()? } else { 1 };
        let cell = next.checked_add(gap / 2).filter(|cell| *cell < max_cells)?;
        next = cell + 1;
        // With MAX_COUNT at 2^20, the product stays within a u32.
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
