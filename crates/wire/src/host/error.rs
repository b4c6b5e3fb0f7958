//! Errors of the protocol host: an invalid input line, and a failure that ends serving.

use std::io;

use oakshed_core::interface::SettingsError;
use thiserror::Error;

use crate::settings::BootInfoError;

/// Why [`serve`](super::serve) stopped before the end of its input.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ServeError {
    /// Reading the input or writing the output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// An input line is invalid.
    #[error("line {number}: {error}")]
    Line {
        /// Line number, counted from 1.
        number: u64,
        /// What is wrong with the line.
        #[source]
        error: LineError,
    },
}

/// Why an input line is invalid.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum LineError {
    /// The line is not valid JSON, or a field has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field is missing or has an invalid value.
    #[error("{what}: missing or invalid '{field}'")]
    Missing {
        /// Kind of the line.
        what: String,
        /// Name of the field.
        field: &'static str,
    },
    /// The rows of a `DIRECTORY` line are malformed.
    #[error("DIRECTORY: {0}")]
    Rows(#[source] serde_json::Error),
    /// A row of a `DIRECTORY` line has an unknown condition.
    #[error("DIRECTORY: unknown condition '{0}'")]
    Condition(String),
    /// The slot of a `DIRECTORY` line is out of range.
    #[error("DIRECTORY: slot out of range")]
    Slot,
    /// The settings of a scheduler cannot be parsed.
    #[error(transparent)]
    BootInfo(#[from] BootInfoError),
    /// The scheduler rejects its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
