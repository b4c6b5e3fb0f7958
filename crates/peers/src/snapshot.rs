//! A snapshot of the shared state in the form of a file: the rows of all owners, and the addresses
//! of members.
//!
//! A snapshot that is damaged, or whose time lies in the future, is rejected as a whole. The caller
//! then starts without it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::rows::{Owner, Row, Rows};
use crate::Micros;

const MAGIC: [u8; 8] = *b"oakpeer\x01";

/// The shared state at a point in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// When the snapshot was taken, in microseconds of Unix time.
    pub taken_at: Micros,
    /// The name of the installation.
    pub installation: String,
    /// The addresses of the members that were alive.
    pub members: Vec<SocketAddr>,
    /// Each owner, the version up to which all of its rows are included or have expired, and its
    /// rows.
    pub owners: Vec<(Owner, u64, Vec<Row>)>,
}

/// Why a snapshot cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// It is not a snapshot, or has another format version.
    #[error("not a snapshot, or another format version")]
    Version,
    /// The checksum does not match, or the snapshot is truncated.
    #[error("damaged snapshot: the checksum does not match")]
    Damaged,
    /// It was taken in the future, by this many microseconds more than clocks may differ.
    #[error("snapshot is from the future, by {} ms", .0 / 1_000)]
    Future(Micros),
    /// It belongs to another installation.
    #[error("snapshot of another installation: {0:?}")]
    Installation(String),
}

impl Snapshot {
    /// Takes a snapshot of the stored rows.
    #[must_use]
    pub fn of(
        rows: &Rows,
        taken_at: Micros,
        installation: &str,
        members: Vec<SocketAddr>,
    ) -> Snapshot {
        let owner = |(owner, known): (&Owner, u64)| {
            (owner.clone(), known, rows.newer_than(owner, 0).collect())
        };
        let owners = rows.known_versions().map(owner).collect();
        Snapshot {
            taken_at,
            installation: installation.to_owned(),
            members,
            owners,
        }
    }

    /// Encodes the snapshot: magic and version, the CRC-32 of the remaining bytes, and the snapshot
    /// in postcard.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let rest = postcard::to_allocvec(self).unwrap_or_default();
        [&MAGIC[..], &crc32fast::hash(&rest).to_le_bytes(), &rest].concat()
    }

    /// Decodes the output of [`Snapshot::encode`]. `max_clock_skew` is the maximum difference
    /// between clocks, in microseconds.
    ///
    /// # Errors
    /// Returns an error if the snapshot is damaged, has another format version or installation, or
    /// was taken in the future.
    pub fn decode(
        bytes: &[u8],
        installation: &str,
        now: Micros,
        max_clock_skew: Micros,
    ) -> Result<Snapshot, SnapshotError> {
        let (magic, rest) = bytes
            .split_first_chunk::<8>()
            .ok_or(SnapshotError::Version)?;
        if *magic != MAGIC {
            return Err(SnapshotError::Version);
        }
        let (checksum, rest) = rest
            .split_first_chunk::<4>()
            .ok_or(SnapshotError::Damaged)?;
        if crc32fast::hash(rest) != u32::from_le_bytes(*checksum) {
            return Err(SnapshotError::Damaged);
        }
        let snapshot: Snapshot = postcard::from_bytes(rest).map_err(|_| SnapshotError::Damaged)?;
        if snapshot.installation != installation {
            return Err(SnapshotError::Installation(snapshot.installation));
        }
        match snapshot
            .taken_at
            .checked_sub(now.saturating_add(max_clock_skew))
        {
            Some(by) if by > 0 => Err(SnapshotError::Future(by)),
            _ => Ok(snapshot),
        }
    }

    /// Merges the rows into `rows`, which rejects those that have expired since.
    pub fn restore(self, rows: &mut Rows) {
        for (owner, known, all) in self.owners {
            for row in all {
                let _ = rows.merge(&owner, row);
            }
            rows.advance(&owner, 0, known);
        }
    }
}
