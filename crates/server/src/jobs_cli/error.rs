//! Errors of `oakshed jobs`.

use std::io;
use std::path::PathBuf;

use oakshed_jobs::log::LogError;
use oakshed_jobs::record::JobId;
use thiserror::Error;

/// Why a command on a store failed. The text is a single line.
#[derive(Debug, Error)]
pub enum JobsCommandError {
    /// The store could not be read or written.
    #[error("{}: {error}", directory.display())]
    Store {
        /// The store's directory.
        directory: PathBuf,
        /// The error of the store's log.
        #[source]
        error: LogError,
    },
    /// The store's directory could not be opened or written to.
    #[error("{}: {error}", directory.display())]
    Directory {
        /// The store's directory.
        directory: PathBuf,
        /// The error of the system call.
        #[source]
        error: io::Error,
    },
    /// Both or neither of the outcomes of a job were specified.
    #[error("specify either --ran or --never")]
    AmbiguousOutcome,
    /// The job to settle is not in doubt.
    #[error("{0} is not in doubt")]
    NotInDoubt(JobId),
    /// Parts of the store are damaged.
    #[error("{}", joined(.0))]
    Damaged(Vec<LogError>),
}

/// Joins all faults into one line.
fn joined(faults: &[LogError]) -> String {
    let faults: Vec<String> = faults.iter().map(LogError::to_string).collect();
    faults.join("; ")
}
