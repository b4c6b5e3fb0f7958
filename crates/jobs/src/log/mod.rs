//! Write-ahead log in segment files of equal size, appended in groups and read back at startup.
//!
//! A record counts as durable only after a successful sync. A segment whose write or sync failed is not used
//! any further. The log is not opened if data that had been synced is damaged.
//!
//! # Format, version 1
//!
//! A segment file is named after its first record, `<record number, 20 digits>.log`. It is preallocated at
//! its full size as `spare.log` before it is used, so that an append neither finds the disk full nor changes
//! the length of a file. The file header is [`MAGIC`], whose last byte is the version, and the number of the
//! first record (u64). Frames follow:
//!
//! - length of the payload (u32); 0 marks the end of the segment
//! - CRC-32 of the rest of the frame (u32)
//! - record number (u64)
//! - synced number: all records up to it were durable when the frame was written (u64)
//! - payload: a [`Record`](crate::record::Record) encoded with postcard
//!
//! All integers in headers are little-endian.
//!
//! # Torn writes and damage
//!
//! After a crash, any subset of the writes since the last sync may be on the disk. An unreadable frame is
//! *torn* if no readable frame names its record as synced. A torn frame and everything after it was never
//! confirmed to anyone, and is cut off. Any other unreadable frame is *damage*, and the log is not opened.
//!
//! # Failed writes and syncs
//!
//! After a failed write or sync the segment is *suspect*: the kernel may have dropped any part of the group,
//! and may report the next sync as successful all the same. The segment is never written or synced again.
//! The next append starts a new segment at the first record that is not durable, and the caller passes all
//! such records again. Two consecutive segments may therefore hold the same records; those in the newer
//! segment are used, and the older segment is only read up to the newer one's first record. A suspect segment
//! without a durable record is replaced by its successor, which has the same name.

use std::io;

mod backlog;
mod error;
mod frames;
mod recovery;

pub use backlog::Backlog;
use error::io_error;
pub use error::{Defect, LogError};
use frames::HEADER_LENGTH;
pub use frames::{encode, encode_all, MAGIC, MAX_RECORD_LENGTH};
use recovery::segment_numbers;
pub use recovery::{read_all, Recovered, TornTail};

/// File name of the preallocated segment, which is used next.
const PREALLOCATED: &str = "spare.log";

/// The operations on a directory and its files that the log needs. A write is durable after the next `sync`
/// of its file; `create`, `rename` and `remove` are durable when they return.
pub trait LogDirectory {
    /// An open file.
    type File;
    /// Lists the names of the files in the directory.
    ///
    /// # Errors
    /// Fails when the directory cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Opens an existing file for writing.
    ///
    /// # Errors
    /// Fails when the file is absent or cannot be opened.
    fn open(&self, name: &str) -> io::Result<Self::File>;
    /// Reads a whole file.
    ///
    /// # Errors
    /// Fails when the file is absent or cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates a file of zeros with its disk blocks allocated, or replaces an existing one. After an error a
    /// partial file may be left.
    ///
    /// # Errors
    /// Fails when the file cannot be created, allocated or synced.
    fn create(&self, name: &str, size: usize) -> io::Result<()>;
    /// Writes bytes at an offset.
    ///
    /// # Errors
    /// Fails when not all bytes were written; some of them may have been.
    fn write(&self, file: &Self::File, offset: usize, bytes: &[u8]) -> io::Result<()>;
    /// Makes all writes to the file durable.
    ///
    /// # Errors
    /// Fails when the writes since the last sync may not be durable.
    fn sync(&self, file: &Self::File) -> io::Result<()>;
    /// Renames a file, and replaces any file that has the new name.
    ///
    /// # Errors
    /// Fails when the file is absent or cannot be renamed.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file. Succeeds if the file is absent.
    ///
    /// # Errors
    /// Fails when the file cannot be removed.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// The log, open for writing.
pub struct Log<F: LogDirectory> {
    directory: F,
    /// Size of a segment file in bytes.
    segment_size: usize,
    /// Number of each segment's first record, oldest first.
    segments: Vec<u64>,
    /// The segment that is being written.
    current: F::File,
    /// Offset of the next frame in the current segment.
    offset: usize,
    /// Number of the next record.
    next_record: u64,
    has_preallocated: bool,
    /// Whether the last attempt to preallocate a segment failed because the disk was full.
    disk_full: bool,
    /// Whether a write or sync of the current segment has failed. It must not be written any more.
    suspect: bool,
}

fn segment_name(first: u64) -> String {
    format!("{first:020}.log")
}

impl<F: LogDirectory> Log<F> {
    /// Opens the log in a directory, or creates one, and starts a new segment. A torn tail is cut off. The
    /// call may be repeated after an I/O error, which leaves all confirmed records intact.
    ///
    /// # Errors
    /// Fails when a file or the directory cannot be read or written, when a segment has an unsupported
    /// version, and when a record is damaged.
    pub fn open(directory: F, segment_size: usize) -> Result<(Log<F>, Recovered), LogError> {
        let (recovered, damage) = read_all(&directory)?;
        if let Some(error) = damage.into_iter().next() {
            return Err(error);
        }
        let names = directory
            .list()
            .map_err(io_error("listing the directory"))?;
        let mut segments = segment_numbers(&names);
        let last = segments.last().copied().unwrap_or(1);
        let next = recovered
            .records
            .last()
            .map_or(last, |(number, _)| (number + 1).max(last));
        // Each process starts a new segment, which replaces a last segment without records: that one has the
        // same name.
        if segments.last() == Some(&next) {
            segments.pop();
        } else if !segments.is_empty() {
            rewrite_last_segment(&directory, last, recovered.torn_tail.as_ref())?;
        }
        if names.iter().any(|name| name == PREALLOCATED) {
            directory
                .remove(PREALLOCATED)
                .map_err(io_error("removing an old preallocated segment"))?;
        }
        directory
            .create(PREALLOCATED, segment_size)
            .map_err(io_error("creating a segment"))?;
        let current =
            activate_preallocated(&directory, next).map_err(io_error("creating a segment"))?;
        segments.push(next);
        let mut log = Log {
            directory,
            segment_size,
            segments,
            current,
            offset: HEADER_LENGTH,
            next_record: next,
            has_preallocated: false,
            disk_full: false,
            suspect: false,
        };
        log.preallocate();
        Ok((log, recovered))
    }

    /// Returns the number of the next record to be appended.
    pub fn next_record(&self) -> u64 {
        self.next_record
    }

    /// Returns whether the disk has space for another segment: false only if the last preallocation found the
    /// disk full.
    pub fn has_capacity(&self) -> bool {
        !self.disk_full
    }

    /// Returns whether a segment is preallocated.
    pub fn has_preallocated(&self) -> bool {
        self.has_preallocated
    }

    /// Returns the total size of the segment files in bytes.
    pub fn bytes(&self) -> usize {
        (self.segments.len() + usize::from(self.has_preallocated)) * self.segment_size
    }

    /// Preallocates a segment unless there is one. Returns whether a segment is preallocated.
    pub fn preallocate(&mut self) -> bool {
        self.create_preallocated().is_ok()
    }

    fn create_preallocated(&mut self) -> io::Result<()> {
        if self.has_preallocated {
            return Ok(());
        }
        let created = self.directory.create(PREALLOCATED, self.segment_size);
        self.disk_full = created.as_ref().is_err_and(is_disk_full);
        if created.is_err() {
            // A partial file only takes up disk space; the next attempt creates it again.
            _ = self.directory.remove(PREALLOCATED);
        }
        self.has_preallocated = created.is_ok();
        created
    }

    /// Appends frames with the given lengths and makes them durable. The number of the first record must be
    /// [`Log::next_record`]. After an error all records before [`Log::next_record`] are durable; the caller
    /// passes the others again, and they are written to a new segment.
    ///
    /// # Errors
    /// Fails when a segment cannot be written, synced or created.
    pub fn append(&mut self, frames: &[u8], lengths: &[usize]) -> Result<(), LogError> {
        if lengths.is_empty() {
            return Ok(());
        }
        if self.suspect {
            self.start_segment()?;
            self.suspect = false;
        }
        let result = self.write_frames(frames, lengths);
        self.suspect = result.is_err();
        result
    }

    /// Writes frames to the current segment, and to new ones when it is full.
    fn write_frames(&mut self, frames: &[u8], lengths: &[usize]) -> Result<(), LogError> {
        let mut start = 0;
        let mut end = 0;
        let mut records = 0;
        for &length in lengths {
            if self.offset + (end - start) + length > self.segment_size {
                self.write_and_sync(&frames[start..end], records)?;
                start = end;
                records = 0;
                self.start_segment()?;
            }
            end += length;
            records += 1;
        }
        self.write_and_sync(&frames[start..end], records)
    }

    fn write_and_sync(&mut self, bytes: &[u8], records: u64) -> Result<(), LogError> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.directory
            .write(&self.current, self.offset, bytes)
            .map_err(io_error("writing records"))?;
        self.directory
            .sync(&self.current)
            .map_err(io_error("syncing records"))?;
        self.offset += bytes.len();
        self.next_record += records;
        Ok(())
    }

    /// Starts a new segment at the next record. It replaces a segment with the same first record.
    fn start_segment(&mut self) -> Result<(), LogError> {
        self.create_preallocated()
            .map_err(io_error("preallocating a segment"))?;
        // Cleared first: after an error the file may have been written in part, or renamed already.
        self.has_preallocated = false;
        match activate_preallocated(&self.directory, self.next_record) {
            Ok(file) => self.current = file,
            Err(error) => {
                _ = self.directory.remove(PREALLOCATED);
                return Err(io_error("starting a segment")(error));
            }
        }
        if self.segments.last() != Some(&self.next_record) {
            self.segments.push(self.next_record);
        }
        self.offset = HEADER_LENGTH;
        self.preallocate();
        Ok(())
    }

    /// Removes the segments that hold only records before `oldest_needed`, and returns their number. The call
    /// may be repeated after an error.
    ///
    /// # Errors
    /// Fails when a segment cannot be removed; this segment and all later ones are kept.
    pub fn trim(&mut self, oldest_needed: u64) -> Result<usize, LogError> {
        let mut removed = 0;
        while self.segments.len() > 1 && self.segments[1] <= oldest_needed {
            let file = segment_name(self.segments[0]);
            self.directory
                .remove(&file)
                .map_err(io_error(format!("removing {file}")))?;
            self.segments.remove(0);
            removed += 1;
        }
        Ok(removed)
    }
}

fn is_disk_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}

/// Turns the preallocated file into a segment. The header is synced before the file gets its name.
fn activate_preallocated<F: LogDirectory>(directory: &F, first: u64) -> io::Result<F::File> {
    let file = directory.open(PREALLOCATED)?;
    let mut header = MAGIC.to_vec();
    header.extend_from_slice(&first.to_le_bytes());
    directory.write(&file, 0, &header)?;
    directory.sync(&file)?;
    directory.rename(PREALLOCATED, &segment_name(first))?;
    Ok(file)
}

/// Writes the last segment of an earlier process again. After a failed sync, the data that was read from it
/// may be in the page cache only, and another sync would report success without writing it. A torn tail is
/// overwritten with zeros, because it would count as damage once another segment follows.
fn rewrite_last_segment<F: LogDirectory>(
    directory: &F,
    first: u64,
    torn_tail: Option<&TornTail>,
) -> Result<(), LogError> {
    let name = segment_name(first);
    let mut bytes = directory
        .read(&name)
        .map_err(io_error("reading the last segment"))?;
    let end = torn_tail.map_or(bytes.len(), |tail| tail.offset);
    bytes[end..].fill(0);
    let file = directory
        .open(&name)
        .map_err(io_error("opening the last segment"))?;
    directory
        .write(&file, 0, &bytes)
        .and_then(|()| directory.sync(&file))
        .map_err(io_error("rewriting the last segment"))
}
