//! The types of rows: owners, keys, bounds, and why a row is rejected.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Micros;

/// The longest subject of a row, in bytes.
pub const MAX_SUBJECT_LENGTH: usize = 64;
/// The most counts in a row.
pub const MAX_COUNTS: usize = 64;
/// The longest name of a member, in bytes.
pub const MAX_NAME_LENGTH: usize = 32;

/// The owner of rows: one incarnation of a member. A restarted process is a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The member's name, as the settings have it.
    pub name: Arc<str>,
    /// When this incarnation started, in milliseconds of Unix time: a later one has a larger number.
    pub incarnation: u64,
}

impl Owner {
    /// An owner of this name and incarnation.
    #[must_use]
    pub fn new(name: &str, incarnation: u64) -> Owner {
        Owner {
            name: name.into(),
            incarnation,
        }
    }
}

/// A row's key. Rows are read in the order of table, window and subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Which part of the program the row belongs to (`prewarm`, `quarantine`, ..).
    pub table: u8,
    /// The number of the time window: Unix time divided by [`Limits::window`].
    pub window: u32,
    /// What was counted, at most [`MAX_SUBJECT_LENGTH`] bytes, in the table's own encoding.
    pub subject: Arc<[u8]>,
}

/// A row as members exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The owner's version: it grows with each raise of any of its rows.
    pub version: u64,
    /// The key.
    pub key: Key,
    /// The counts; zeros at the end are omitted.
    pub counts: Vec<u32>,
}

/// The bounds of [`Rows`](super::Rows).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The length of a window, in microseconds.
    pub window_length: Micros,
    /// How many windows are retained, the current one included; rows of older ones expire.
    pub retained_windows: u32,
    /// How many windows ahead of the own clock a row may be, as clocks differ.
    pub windows_ahead: u32,
    /// How far ahead of the own clock an incarnation may have started, in microseconds.
    pub skew: Micros,
    /// The most owners, earlier incarnations included: these are retained as long as their rows, so some for
    /// each member.
    pub max_owners: usize,
    /// The most rows of one owner.
    pub max_rows_per_owner: usize,
    /// The most rows in all.
    pub max_rows: usize,
    /// The most bytes in all, as [`Sizes::bytes`] counts them.
    pub max_bytes: usize,
    /// The most that one count can reach within a window: more is implausible.
    pub max_count: u32,
    /// The most raises of one owner in a second since its start: a larger version is implausible.
    pub max_increments_per_second: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            window_length: 10_000_000,
            retained_windows: 60,
            windows_ahead: 2,
            skew: 60_000_000,
            max_owners: 4 * 4_096,
            max_rows_per_owner: 4_096,
            max_rows: 200_000,
            max_bytes: 32 << 20,
            max_count: 1_000_000,
            max_increments_per_second: 100_000,
        }
    }
}

/// How much is stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// The rows.
    pub rows: usize,
    /// The owners.
    pub owners: usize,
    /// The bytes of all rows.
    pub bytes: usize,
}

/// Why a row, or a raise, was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RowError {
    /// The subject, the counts or the name are too long, or an index is too high.
    #[error("the subject, the counts or the owner's name are too long")]
    TooLong,
    /// Its window has expired, or lies too far ahead.
    #[error("the window has expired, or lies too far ahead")]
    Window,
    /// An implausible count, version or incarnation.
    #[error("the count, the version or the incarnation is implausible")]
    Implausible,
    /// A row of this process's own incarnation that it never raised.
    #[error("the row is of this process, which never raised it")]
    OwnerConflict,
    /// A limit is reached.
    #[error("a limit of rows, owners or bytes is reached")]
    Full,
}

/// How many rows were rejected, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectedRows {
    /// See [`RowError::TooLong`].
    pub too_long: u64,
    /// See [`RowError::Window`].
    pub window: u64,
    /// See [`RowError::Implausible`].
    pub implausible: u64,
    /// See [`RowError::OwnerConflict`].
    pub owner_conflict: u64,
    /// See [`RowError::Full`].
    pub full: u64,
}

impl RejectedRows {
    pub(super) fn count(&mut self, error: RowError) {
        let counter = match error {
            RowError::TooLong => &mut self.too_long,
            RowError::Window => &mut self.window,
            RowError::Implausible => &mut self.implausible,
            RowError::OwnerConflict => &mut self.owner_conflict,
            RowError::Full => &mut self.full,
        };
        *counter += 1;
    }
}
