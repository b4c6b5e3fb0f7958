//! Owners, keys and rows, the limits on them, and the errors of rejected rows.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Micros;

/// The maximum length of a row's subject, in bytes.
pub const MAX_SUBJECT_LENGTH: usize = 64;
/// The maximum number of counts in a row.
pub const MAX_COUNTS: usize = 64;
/// The maximum length of a member's name, in bytes.
pub const MAX_NAME_LENGTH: usize = 32;

/// The owner of rows: one incarnation of a member. A restarted process is a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The member's name as configured.
    pub name: Arc<str>,
    /// When this incarnation started, in milliseconds of Unix time. Later incarnations have higher
    /// numbers.
    pub incarnation: u64,
}

impl Owner {
    /// Creates an owner from its name and incarnation.
    #[must_use]
    pub fn new(name: &str, incarnation: u64) -> Owner {
        Owner {
            name: name.into(),
            incarnation,
        }
    }
}

/// The key of a row. Keys are ordered by table, window and subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The subsystem that the row belongs to, such as `prewarm` or `quarantine`.
    pub table: u8,
    /// The number of the time window: Unix time divided by [`Limits::window_length`].
    pub window: u32,
    /// What is counted, in an encoding defined by the table, of at most [`MAX_SUBJECT_LENGTH`]
    /// bytes.
    pub subject: Arc<[u8]>,
}

/// A row in the form that members exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The owner's version of its rows, which increases with each increment of any of them.
    pub version: u64,
    /// The row's key.
    pub key: Key,
    /// The counts, omitting trailing zeros.
    pub counts: Vec<u32>,
}

/// The limits of [`Rows`](super::Rows).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The length of a window, in microseconds.
    pub window_length: Micros,
    /// The number of retained windows, including the current one. Rows of older windows expire.
    pub retained_windows: u32,
    /// How many windows a row may be ahead of the local clock, because clocks differ.
    pub windows_ahead: u32,
    /// How far the start of an incarnation may be ahead of the local clock, in microseconds.
    pub max_clock_skew: Micros,
    /// The maximum number of owners. Earlier incarnations are retained as long as their rows, so
    /// this must be several times the number of members.
    pub max_owners: usize,
    /// The maximum number of rows of one owner.
    pub max_rows_per_owner: usize,
    /// The maximum number of rows of all owners.
    pub max_rows: usize,
    /// The maximum number of bytes of all rows, as counted by [`Sizes::bytes`].
    pub max_bytes: usize,
    /// The highest plausible count within a window.
    pub max_count: u32,
    /// The highest plausible number of increments of one owner per second since its start. It
    /// bounds the versions that are accepted.
    pub max_increments_per_second: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            window_length: 10_000_000,
            retained_windows: 60,
            windows_ahead: 2,
            max_clock_skew: 60_000_000,
            max_owners: 4 * 4_096,
            max_rows_per_owner: 4_096,
            max_rows: 200_000,
            max_bytes: 32 << 20,
            max_count: 1_000_000,
            max_increments_per_second: 100_000,
        }
    }
}

/// The number of stored rows and owners, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// The number of rows.
    pub rows: usize,
    /// The number of owners.
    pub owners: usize,
    /// The accounted bytes of all rows.
    pub bytes: usize,
}

/// Why a row or an increment was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RowError {
    /// The subject, the counts or the owner's name is too long, or the index of a count is too
    /// high.
    #[error("the subject, the counts or the owner's name is too long")]
    TooLong,
    /// The window has expired, or is too far in the future.
    #[error("the window has expired, or is too far in the future")]
    Window,
    /// The count, the version or the incarnation is implausible.
    #[error("the count, the version or the incarnation is implausible")]
    Implausible,
    /// The row claims this incarnation of this process as its owner, which never produced it.
    #[error("the row claims this process as its owner, which never produced it")]
    OwnerConflict,
    /// A limit on rows, owners or bytes is reached.
    #[error("a limit on rows, owners or bytes is reached")]
    Full,
}

/// The number of rejected rows by reason.
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
