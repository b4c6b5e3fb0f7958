//! Writes of several buffers, as hyper passes them if it does not copy bodies into its own buffer.
//!
//! hyper would otherwise copy each body behind its head into a buffer of the connection, which keeps its size for as long
//! as the connection is open.

use std::io::IoSlice;

/// Buffers of this size in total, in bytes, are written by one call.
const COALESCED_BYTES: usize = 4 << 10;

/// Space for buffers that are written together.
pub(super) struct Scratch([u8; COALESCED_BYTES]);

impl Scratch {
    pub(super) fn new() -> Scratch {
        Scratch([0; COALESCED_BYTES])
    }

    /// Returns what to write first: all buffers if they are small, otherwise the first one that is not empty.
    pub(super) fn coalesce<'a>(&'a mut self, buffers: &'a [IoSlice<'_>]) -> &'a [u8] {
        let total: usize = buffers.iter().map(|buffer| buffer.len()).sum();
        let mut non_empty = buffers.iter().filter(|buffer| !buffer.is_empty());
        let first = non_empty.next().map_or(&[][..], |buffer| &buffer[..]);
        if total > COALESCED_BYTES || non_empty.next().is_none() {
            return first;
        }
        let mut end = 0;
        for buffer in buffers {
            self.0[end..end + buffer.len()].copy_from_slice(buffer);
            end += buffer.len();
        }
        &self.0[..end]
    }
}
