//! Errors of opening, reading and writing the log.

use std::borrow::Cow;
use std::io;

use thiserror::Error;

use super::MAGIC;

/// An error of opening, reading or writing a log.
#[derive(Debug, Error)]
pub enum LogError {
    /// An I/O operation failed.
    #[error("{action}: {source}")]
    Io {
        /// The operation that failed.
        action: Cow<'static, str>,
        /// The underlying error.
        source: io::Error,
    },
    /// A segment has a format version that this build does not support.
    #[error("{file} has format version {version}; this build supports only version {}", MAGIC[7])]
    UnsupportedVersion {
        /// Name of the segment file.
        file: String,
        /// Version of the segment file.
        version: u8,
    },
    /// Data that had been synced cannot be read back.
    #[error("{file} is damaged at offset {offset}: {defect}")]
    Damage {
        /// Name of the segment file.
        file: String,
        /// Offset of the damage, in bytes.
        offset: usize,
        /// Kind of damage.
        defect: Defect,
    },
}

/// A defect in a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Defect {
    /// The segment header lacks the magic bytes, or the record number in it differs from the file name's.
    #[error("the segment header is invalid")]
    Header,
    /// The frame's checksum is valid, but the record in it cannot be decoded.
    #[error("record {number} has a valid checksum but cannot be decoded")]
    Undecodable {
        /// Number of the record.
        number: u64,
    },
    /// The frame holds a different record than the one that comes next.
    #[error("found record {number}, expected record {expected}")]
    OutOfOrder {
        /// Number of the record in the frame.
        number: u64,
        /// Number of the record that comes next.
        expected: u64,
    },
    /// There is no frame with a valid length and checksum.
    #[error("record {number} cannot be read")]
    Unreadable {
        /// Number of the record that comes next.
        number: u64,
    },
    /// The segment ends before the first record of the next segment is reached.
    #[error("record {number} is missing")]
    Missing {
        /// Number of the missing record.
        number: u64,
    },
    /// The log ends before a record that a later write names as synced.
    #[error("record {number} is missing although it had been synced")]
    MissingSynced {
        /// Number of the missing record.
        number: u64,
    },
}

/// Returns a function that wraps an I/O error together with the operation that failed.
pub(super) fn io_error(action: impl Into<Cow<'static, str>>) -> impl FnOnce(io::Error) -> LogError {
    move |source| LogError::Io {
        action: action.into(),
        source,
    }
}
