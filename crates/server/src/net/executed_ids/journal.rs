//! The file in which a process records ids for the other process of a hot restart: a ring of records of fixed size.
//!
//! Each record has its sequence number and a checksum, so that a reader knows how far the ring is written, and skips
//! what was overwritten before it was read. The form is private to processes that know it; others ignore the file.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use xxhash_rust::xxh3::xxh3_64;

use super::IdHash;

/// The size of a record: the hash of the id, the sequence number with the kind of record, and the checksum.
const RECORD_BYTES: usize = 32;
/// Where these begin.
const SEQUENCE_AT: usize = 16;
const CHECKSUM_AT: usize = 24;
/// How many records are read by one call.
const READ_RECORDS: usize = 64;
/// Set in the sequence number of a record of [`Record::NeverExecuted`].
const NEVER_EXECUTED: u64 = 1 << 63;

/// What a process records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Record {
    /// A request with this id is about to be written to a worker.
    Executed(IdHash),
    /// Such a request has not run after all.
    NeverExecuted(IdHash),
}

type EncodedRecord = [u8; RECORD_BYTES];

fn encode(record: Record, sequence: u64) -> EncodedRecord {
    let (id, flag) = match record {
        Record::Executed(id) => (id, 0),
        Record::NeverExecuted(id) => (id, NEVER_EXECUTED),
    };
    let mut bytes = [0; RECORD_BYTES];
    bytes[..SEQUENCE_AT].copy_from_slice(&id.to_le_bytes());
    bytes[SEQUENCE_AT..CHECKSUM_AT].copy_from_slice(&(sequence | flag).to_le_bytes());
    let checksum = xxh3_64(&bytes[..CHECKSUM_AT]);
    bytes[CHECKSUM_AT..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// The record and its sequence number; `None` if it is not written, or only in part.
fn decode(bytes: &[u8]) -> Option<(Record, u64)> {
    let (content, checksum) = bytes.split_at_checked(CHECKSUM_AT)?;
    if xxh3_64(content).to_le_bytes() != checksum {
        return None;
    }
    let (id, sequence) = content.split_at(SEQUENCE_AT);
    let id = IdHash::from_le_bytes(id.try_into().ok()?);
    let sequence = u64::from_le_bytes(sequence.try_into().ok()?);
    let record = if sequence & NEVER_EXECUTED == 0 {
        Record::Executed(id)
    } else {
        Record::NeverExecuted(id)
    };
    Some((record, sequence & !NEVER_EXECUTED))
}

/// The file of this process, which is removed when the value is dropped.
pub(super) struct Journal {
    file: File,
    path: PathBuf,
    capacity: u64,
    next: u64,
}

impl Journal {
    /// Creates an empty file for this many records.
    pub(super) fn create(path: PathBuf, capacity: usize) -> io::Result<Journal> {
        let mut options = OpenOptions::new();
        let file = options
            .write(true)
            .create(true)
            .truncate(true)
            .open(&path)?;
        file.set_len((capacity * RECORD_BYTES) as u64)?;
        Ok(Journal {
            file,
            path,
            capacity: capacity as u64,
            next: 1,
        })
    }

    /// Appends a record, over the oldest one if the ring is full. An error is ignored: the record then holds in this
    /// process only.
    pub(super) fn append(&mut self, record: Record) {
        let offset = offset(self.next, self.capacity);
        _ = self.file.write_all_at(&encode(record, self.next), offset);
        self.next += 1;
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        _ = fs::remove_file(&self.path);
    }
}

/// The file of another process.
pub(super) struct JournalReader {
    file: File,
    path: PathBuf,
    capacity: u64,
    next: u64,
}

impl JournalReader {
    /// `None` if the file cannot be read or has no records.
    pub(super) fn open(path: &Path) -> Option<JournalReader> {
        let file = File::open(path).ok()?;
        let capacity = file.metadata().ok()?.len() / RECORD_BYTES as u64;
        let mut reader = JournalReader {
            file,
            path: path.to_owned(),
            capacity,
            next: 1,
        };
        reader.next = reader.oldest_sequence()?;
        Some(reader)
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// The oldest sequence number in the ring; 1 if nothing is written.
    fn oldest_sequence(&self) -> Option<u64> {
        let slots = 1..=self.capacity;
        let sequences = slots.filter_map(|slot| {
            let mut bytes = [0; RECORD_BYTES];
            let offset = offset(slot, self.capacity);
            self.file.read_exact_at(&mut bytes, offset).ok()?;
            Some(decode(&bytes)?.1)
        });
        (self.capacity > 0).then(|| sequences.min().unwrap_or(1))
    }

    /// Appends the records that were written since the last call.
    pub(super) fn read_new(&mut self, records: &mut Vec<Record>) {
        let mut buffer = [0; READ_RECORDS * RECORD_BYTES];
        loop {
            let offset = offset(self.next, self.capacity);
            let Ok(read) = self.file.read_at(&mut buffer, offset) else {
                return;
            };
            let mut found = 0;
            for bytes in buffer[..read].chunks_exact(RECORD_BYTES) {
                match decode(bytes) {
                    // A higher number is that of a record that has overwritten the next one.
                    Some((record, sequence)) if sequence >= self.next => {
                        records.push(record);
                        self.next = sequence + 1;
                        found += 1;
                    }
                    _ => break,
                }
            }
            let is_at_end = offset as usize / RECORD_BYTES + found == self.capacity as usize;
            if found < READ_RECORDS && !(is_at_end && found > 0) {
                return;
            }
        }
    }
}

/// Where the record of a sequence number is.
fn offset(sequence: u64, capacity: u64) -> u64 {
    (sequence - 1) % capacity * RECORD_BYTES as u64
}
