//! The file in which a process records ids for the other processes of its scheduler: a ring of records of fixed size.
//!
//! The process has its file locked while it runs. The file stays when the process ends, so that a process that starts
//! later knows the ids too, and is removed by another one when all of its records have expired.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use oakshed_core::facade::Micros;
use rustix::fs::{flock, FlockOperation};

use super::super::clock::{monotonic_clock, wall_clock};
use super::record::{Record, RECORD_BYTES};
use super::{FILE_PREFIX, RETENTION};

/// How many records are read by one call.
const READ_RECORDS: usize = 64;

/// The file of this process.
pub(super) struct Journal {
    file: File,
    path: PathBuf,
    capacity: u64,
    next: u64,
    newest: Option<Micros>,
}

impl Journal {
    /// Creates an empty file for this many records, whose name no file has had before.
    pub(super) fn create(directory: &Path, capacity: usize) -> io::Result<Journal> {
        let process = std::process::id();
        let path = directory.join(format!("{FILE_PREFIX}{process}.{}", wall_clock()));
        let mut options = OpenOptions::new();
        let file = options.write(true).create_new(true).open(&path)?;
        flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        file.set_len((capacity * RECORD_BYTES) as u64)?;
        Ok(Journal {
            file,
            path,
            capacity: capacity as u64,
            next: 1,
            newest: None,
        })
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// Appends a record, over the oldest one if the ring is full. An error is ignored: the record then holds in this
    /// process only.
    pub(super) fn append(&mut self, record: Record) {
        let offset = offset(self.next, self.capacity);
        _ = self.file.write_all_at(&record.encode(self.next), offset);
        self.next += 1;
        self.newest = Some(record.at);
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        let now = monotonic_clock();
        if self.newest.is_none_or(|at| at + RETENTION <= now) {
            _ = fs::remove_file(&self.path);
        }
    }
}

/// The file of another process, which is closed once that has ended and all of its records have been read.
pub(super) struct JournalReader {
    file: Option<File>,
    has_owner_ended: bool,
    path: PathBuf,
    capacity: u64,
    next: u64,
    newest: Option<Micros>,
}

impl JournalReader {
    /// `None` if the file cannot be read, or is not complete yet.
    pub(super) fn open(path: &Path) -> Option<JournalReader> {
        let file = File::open(path).ok()?;
        let capacity = file.metadata().ok()?.len() / RECORD_BYTES as u64;
        let mut reader = JournalReader {
            file: Some(file),
            has_owner_ended: false,
            path: path.to_owned(),
            capacity,
            next: 1,
            newest: None,
        };
        reader.next = reader.oldest_sequence()?;
        Some(reader)
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// The oldest sequence number in the ring; 1 if it is not full.
    fn oldest_sequence(&self) -> Option<u64> {
        let last_slot = self.capacity.checked_sub(1)?;
        if self.sequences_from(last_slot).is_empty() {
            return Some(1);
        }
        let blocks = (0..self.capacity).step_by(READ_RECORDS);
        blocks.flat_map(|slot| self.sequences_from(slot)).min()
    }

    /// The sequence numbers of the complete records in a block of slots.
    fn sequences_from(&self, slot: u64) -> Vec<u64> {
        let mut buffer = [0; READ_RECORDS * RECORD_BYTES];
        let read = self.read_at(&mut buffer, slot * RECORD_BYTES as u64);
        let records = buffer[..read].chunks_exact(RECORD_BYTES);
        let decoded = records.filter_map(Record::decode);
        decoded.map(|(_, sequence)| sequence).collect()
    }

    /// Appends the records that were written since the last call.
    pub(super) fn read_new(&mut self, records: &mut Vec<Record>) {
        let mut buffer = [0; READ_RECORDS * RECORD_BYTES];
        loop {
            let offset = offset(self.next, self.capacity);
            let read = self.read_at(&mut buffer, offset);
            let mut found = 0;
            for bytes in buffer[..read].chunks_exact(RECORD_BYTES) {
                match Record::decode(bytes) {
                    // A higher number is that of a record that has overwritten the next one.
                    Some((record, sequence)) if sequence >= self.next => {
                        records.push(record);
                        self.next = sequence + 1;
                        self.newest = Some(record.at);
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

    /// The time of the last record that was read.
    pub(super) fn newest(&self) -> Option<Micros> {
        self.newest
    }

    /// Reads what is there; 0 bytes if nothing can be read.
    fn read_at(&self, buffer: &mut [u8], offset: u64) -> usize {
        let read = self.file.as_ref().map(|file| file.read_at(buffer, offset));
        read.and_then(Result::ok).unwrap_or(0)
    }

    /// Finds out whether the process still runs. One that has ended writes no more records.
    pub(super) fn check_owner(&mut self) {
        if let Some(file) = &self.file {
            self.has_owner_ended = flock(file, FlockOperation::NonBlockingLockShared).is_ok();
            _ = flock(file, FlockOperation::Unlock);
        }
    }

    /// Whether the process had ended when that was last checked.
    pub(super) fn has_owner_ended(&self) -> bool {
        self.has_owner_ended
    }

    /// Closes the file, whose records have all been read.
    pub(super) fn close(&mut self) {
        self.file = None;
    }

    /// Whether nothing that has been read of the file is of use any more.
    pub(super) fn has_expired(&self) -> bool {
        let Some(newest) = self.newest else {
            return self.is_unmodified_for(RETENTION);
        };
        let now = monotonic_clock();
        // A time yet to come was recorded before the system was started.
        newest + RETENTION <= now || newest > now
    }

    fn is_unmodified_for(&self, time: Micros) -> bool {
        let modified = fs::metadata(&self.path).and_then(|data| data.modified());
        let unmodified = modified.ok().and_then(|at| at.elapsed().ok());
        unmodified.is_some_and(|unmodified| unmodified.as_micros() >= u128::from(time))
    }
}

/// Where the record of a sequence number is.
fn offset(sequence: u64, capacity: u64) -> u64 {
    (sequence - 1) % capacity * RECORD_BYTES as u64
}
