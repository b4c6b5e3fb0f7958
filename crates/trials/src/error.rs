//! Why a trial could not run to its end.

use std::io;
use std::time::Duration;

use thiserror::Error;

/// Why a trial could not run to its end.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum TrialError {
    /// A socket, file or process failed, or a program is not built.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A condition was not reached in time.
    #[error("never came within {limit:?}: {condition}")]
    NotReached {
        /// What was waited for.
        condition: String,
        /// For how long.
        limit: Duration,
    },
    /// Too few requests ended in time.
    #[error("{sent} requests were sent, {ended} ended")]
    LoadStalled {
        /// Requests sent so far.
        sent: usize,
        /// Requests that have ended.
        ended: usize,
    },
    /// A step of a scenario failed.
    #[error("{step}: {error}")]
    Step {
        /// The step.
        step: String,
        /// Why it failed.
        #[source]
        error: Box<TrialError>,
    },
    /// There is no scenario of that name.
    #[error("no trial is called {0}; `oakshed-trials list` tells them")]
    UnknownScenario(String),
    /// There is no workload of that name.
    #[error("no day is called {0}")]
    UnknownWorkload(String),
    /// An option of the command line is out of range.
    #[error("{0}")]
    OptionRange(String),
    /// The scheduler that is measured is not running.
    #[error("the scheduler does not run")]
    NotRunning,
    /// The scheduler that is measured ended by itself.
    #[error("the scheduler has ended")]
    SchedulerEnded,
    /// Ctrl-C or SIGTERM.
    #[error("interrupted")]
    Interrupted,
}
