//! Snapshots of the models, which outlive a restart. The encoding must stay readable by later versions.

use serde::{Deserialize, Serialize};

use thiserror::Error;

use super::Prewarm;
use crate::arrival_model::ArrivalModel;
use crate::place::Kind;
use crate::Micros;

/// The version of the encoding.
const FORMAT_VERSION: u8 = 1;

/// Why a snapshot cannot be restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RestoreError {
    /// The snapshot cannot be decoded.
    #[error("snapshot cannot be decoded")]
    Damaged,
    /// The snapshot was taken after the current time.
    #[error("snapshot was taken in the future")]
    Future,
    /// The version is unknown, or the values are implausible.
    #[error("snapshot has an unknown version or implausible values")]
    Invalid,
}

/// The encoded form of the models.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    version: u8,
    at: Micros,
    kinds: Vec<(Kind, ArrivalModel)>,
}

impl Prewarm {
    /// Encodes the models for [`Prewarm::restore`].
    #[must_use]
    pub fn snapshot(&self, now: Micros) -> Vec<u8> {
        let kinds = self
            .kinds
            .iter()
            .map(|entry| (entry.kind.clone(), entry.model.clone()))
            .collect();
        postcard::to_stdvec(&Snapshot {
            version: FORMAT_VERSION,
            at: now,
            kinds,
        })
        .unwrap_or_default()
    }

    /// Restores the models of a snapshot.
    ///
    /// # Errors
    /// Returns why the snapshot cannot be restored, in which case nothing has changed.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<(), RestoreError> {
        let Snapshot { version, at, kinds } =
            postcard::from_bytes(bytes).map_err(|_| RestoreError::Damaged)?;
        if at > now {
            return Err(RestoreError::Future);
        }
        if version != FORMAT_VERSION || kinds.iter().any(|(_, model)| !model.is_plausible(at)) {
            return Err(RestoreError::Invalid);
        }
        for (kind, model) in kinds {
            if let Some(kind_index) = self.kind_index(&kind) {
                self.kinds[kind_index].model = model;
                self.kinds[kind_index].next_plan = 0;
            }
        }
        Ok(())
    }
}
