//! Queue of encoded records that are not durable yet.
//!
//! Frames stay queued until the log has synced them, so a failed write or sync can be retried. The state
//! machine bounds the queue: it accepts no new jobs while too many bytes are unsynced.

use super::{Log, LogDirectory, LogError};

/// Frames of the records that are not durable yet, oldest first.
#[derive(Debug, Default)]
pub struct Backlog {
    frames: Vec<u8>,
    /// Length of each frame in bytes.
    lengths: Vec<usize>,
    /// Number of the last record.
    last: u64,
}

impl Backlog {
    /// Adds frames with their lengths. `last` is the number of the last record among them.
    pub fn push(&mut self, mut frames: Vec<u8>, mut lengths: Vec<usize>, last: u64) {
        if self.is_empty() {
            self.frames = frames;
            self.lengths = lengths;
        } else {
            self.frames.append(&mut frames);
            self.lengths.append(&mut lengths);
        }
        self.last = last;
    }

    /// Returns whether all records are durable.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lengths.is_empty()
    }

    /// Returns the number of records that are not durable yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lengths.len()
    }

    /// Appends all records to the log and removes the durable ones, even if some could not be appended.
    ///
    /// # Errors
    /// Returns the error of [`Log::append`]. Records that are not durable stay in the backlog.
    pub fn flush<F: LogDirectory>(&mut self, log: &mut Log<F>) -> Result<(), LogError> {
        let result = log.append(&self.frames, &self.lengths);
        let unsynced = (self.last + 1).saturating_sub(log.next_record()) as usize;
        let durable = self.len().saturating_sub(unsynced);
        let bytes: usize = self.lengths.drain(..durable).sum();
        if self.lengths.is_empty() {
            // Frees the buffer, so that one large group does not occupy its memory permanently.
            self.frames = Vec::new();
        } else {
            self.frames.drain(..bytes);
        }
        result
    }
}
