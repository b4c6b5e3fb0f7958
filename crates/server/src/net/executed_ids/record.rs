//! The records of a journal, in their encoded form.
//!
//! Each record has its sequence number and a checksum, so that a reader knows how far the ring is written, and skips
//! what was overwritten before it was read. The form is private to processes that know it.

use oakshed_core::facade::Micros;
use xxhash_rust::xxh3::xxh3_64;

use super::IdHash;

/// The size of an encoded record: the hash of the id, the time, the sequence number with the kind of record, and the
/// checksum.
pub(super) const RECORD_BYTES: usize = 40;
/// Where these begin.
const TIME_AT: usize = 16;
const SEQUENCE_AT: usize = 24;
const CHECKSUM_AT: usize = 32;
/// Set in the sequence number of a record of [`Event::NeverExecuted`].
const NEVER_EXECUTED: u64 = 1 << 63;

/// What has happened to the request with an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// It is about to be written to a worker.
    Executed,
    /// It has not run after all.
    NeverExecuted,
}

/// What a process records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Record {
    pub(super) event: Event,
    pub(super) id: IdHash,
    /// The system's monotonic clock, which all processes share.
    pub(super) at: Micros,
}

pub(super) type EncodedRecord = [u8; RECORD_BYTES];

impl Record {
    pub(super) fn encode(&self, sequence: u64) -> EncodedRecord {
        let flag = match self.event {
            Event::Executed => 0,
            Event::NeverExecuted => NEVER_EXECUTED,
        };
        let mut bytes = [0; RECORD_BYTES];
        bytes[..TIME_AT].copy_from_slice(&self.id.to_le_bytes());
        bytes[TIME_AT..SEQUENCE_AT].copy_from_slice(&self.at.to_le_bytes());
        bytes[SEQUENCE_AT..CHECKSUM_AT].copy_from_slice(&(sequence | flag).to_le_bytes());
        let checksum = xxh3_64(&bytes[..CHECKSUM_AT]);
        bytes[CHECKSUM_AT..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// The record and its sequence number; `None` if it is not written, or only in part.
    pub(super) fn decode(bytes: &[u8]) -> Option<(Record, u64)> {
        let (content, checksum) = bytes.split_at_checked(CHECKSUM_AT)?;
        if xxh3_64(content).to_le_bytes() != checksum {
            return None;
        }
        let (id, content) = content.split_at(TIME_AT);
        let (at, sequence) = content.split_at(SEQUENCE_AT - TIME_AT);
        let sequence = u64::from_le_bytes(sequence.try_into().ok()?);
        let event = if sequence & NEVER_EXECUTED == 0 {
            Event::Executed
        } else {
            Event::NeverExecuted
        };
        let record = Record {
            event,
            id: IdHash::from_le_bytes(id.try_into().ok()?),
            at: Micros::from_le_bytes(at.try_into().ok()?),
        };
        Some((record, sequence & !NEVER_EXECUTED))
    }
}
