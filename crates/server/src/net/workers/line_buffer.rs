//! Collects the pieces of a job stream, and takes complete lines out of it.
//!
//! Each byte is searched once and moved a bounded number of times, however small the pieces and the lines are.

#[cfg(test)]
mod tests;

/// The least growth of the buffer, in bytes, so that small pieces do not move its contents each time.
const MIN_GROWTH_BYTES: usize = 4 << 10;

/// What has arrived of a job stream and was not taken yet.
#[derive(Default)]
pub(super) struct LineBuffer {
    bytes: Vec<u8>,
    /// Where the part begins that was not taken.
    start: usize,
    /// Up to where that part has no line end.
    searched: usize,
}

impl LineBuffer {
    pub(super) fn extend(&mut self, piece: &[u8]) {
        self.remove_taken();
        if self.bytes.capacity() - self.bytes.len() < piece.len() {
            self.bytes.reserve_exact(piece.len().max(MIN_GROWTH_BYTES));
        }
        self.bytes.extend_from_slice(piece);
    }

    /// Takes the next complete line that is not blank.
    pub(super) fn next_line(&mut self) -> Option<&[u8]> {
        loop {
            let unsearched = &self.bytes[self.searched..];
            let Some(length) = unsearched.iter().position(|byte| *byte == b'\n') else {
                self.searched = self.bytes.len();
                return None;
            };
            let end = self.searched + length + 1;
            let line = self.start..end;
            self.start = end;
            self.searched = end;
            if !self.bytes[line.clone()].trim_ascii().is_empty() {
                return Some(&self.bytes[line]);
            }
        }
    }

    /// The number of bytes that were not taken.
    pub(super) fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// The memory that the buffer takes, in bytes.
    pub(super) fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    fn remove_taken(&mut self) {
        self.bytes.drain(..self.start);
        self.searched -= self.start;
        self.start = 0;
    }
}
