//! Opening of the log at startup, with retries of transient I/O errors.
//!
//! A log that stays unreadable is never treated as an empty one: startup fails instead.

use std::io;
use std::time::{Duration, Instant};

use crate::backoff::Backoff;
use crate::log::{Log, LogDirectory, LogError, Recovered};

/// Opens a log in the directory that `open_directory` returns. Transient errors are retried for up to
/// `timeout`; `on_retry` is called with each of them before the next attempt.
///
/// # Errors
/// Returns the last error if the next retry would start after `timeout`. An error that is not transient is
/// returned immediately.
pub fn open_within<F: LogDirectory>(
    timeout: Duration,
    segment_size: usize,
    mut open_directory: impl FnMut() -> io::Result<F>,
    mut on_retry: impl FnMut(&LogError),
) -> Result<(Log<F>, Recovered), LogError> {
    let end = Instant::now() + timeout;
    let mut backoff = Backoff::default();
    loop {
        let directory = open_directory().map_err(|source| LogError::Io {
            action: "opening the directory".into(),
            source,
        });
        let error = match directory.and_then(|directory| Log::open(directory, segment_size)) {
            Err(error) if is_transient(&error) => error,
            result => return result,
        };
        let delay = backoff.delay();
        if Instant::now() + delay >= end {
            return Err(error);
        }
        on_retry(&error);
        std::thread::sleep(delay);
    }
}

/// Returns whether a retry may succeed.
fn is_transient(error: &LogError) -> bool {
    let LogError::Io { source, .. } = error else {
        return false;
    };
    !matches!(
        source.kind(),
        // These last until the other process exits or an operator changes the setup.
        io::ErrorKind::ResourceBusy
            | io::ErrorKind::PermissionDenied
            | io::ErrorKind::NotADirectory
    )
}
