//! The errors of opening the store of durable jobs.

use std::io;
use std::path::PathBuf;

use oakshed_jobs::log::LogError;
use thiserror::Error;

/// Why the store of durable jobs cannot be opened.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The directory or the log in it cannot be opened.
    #[error("jobs.dir {}: {error}", directory.display())]
    Log {
        /// The directory.
        directory: PathBuf,
        /// The cause.
        #[source]
        error: LogError,
    },
    /// The thread that writes the log cannot be started.
    #[error(transparent)]
    Thread(#[from] io::Error),
}
