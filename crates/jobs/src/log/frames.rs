//! Encoding of records as frames, and decoding of a segment's bytes.
//!
//! [`crate::log`] describes the layout. Decoding returns the readable records and the offset at which they
//! end; `recovery` decides whether the remainder is a torn write or damage.

use super::{Defect, LogError};
use crate::record::Record;

/// The first bytes of a segment file; the last of them is the format version.
pub const MAGIC: [u8; 8] = *b"oakjobs\x01";
/// Length of a segment header in bytes: [`MAGIC`] and the number of the first record.
pub(super) const HEADER_LENGTH: usize = 16;
/// Length of a frame header in bytes: payload length, checksum, record number and synced number.
const FRAME_HEADER_LENGTH: usize = 24;

/// Maximum length of an encoded record in bytes: 64 KiB of payload or answer, with room for header fields
/// and leases.
pub const MAX_RECORD_LENGTH: usize = 256 << 10;

/// Appends a record's frame to a buffer. `synced` is the number up to which all records are durable.
pub fn encode(buffer: &mut Vec<u8>, number: u64, synced: u64, record: &Record) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; 8]);
    buffer.extend_from_slice(&number.to_le_bytes());
    buffer.extend_from_slice(&synced.to_le_bytes());
    // Cannot fail: the output is in memory, and postcard can encode every type in a record.
    let mut bytes = postcard::to_stdvec(record).unwrap_or_default();
    debug_assert!(
        !bytes.is_empty() && bytes.len() <= MAX_RECORD_LENGTH,
        "encoded record has {} bytes",
        bytes.len()
    );
    buffer.append(&mut bytes);
    let length = (buffer.len() - start - FRAME_HEADER_LENGTH) as u32;
    buffer[start..start + 4].copy_from_slice(&length.to_le_bytes());
    let checksum = crc32fast::hash(&buffer[start + 8..]);
    buffer[start + 4..start + 8].copy_from_slice(&checksum.to_le_bytes());
}

/// Encodes records numbered from `first`. Returns the frames and their lengths, the arguments of
/// [`Log::append`](super::Log::append).
#[must_use]
pub fn encode_all(first: u64, synced: u64, records: &[Record]) -> (Vec<u8>, Vec<usize>) {
    let mut frames = Vec::new();
    let mut lengths = Vec::with_capacity(records.len());
    for (number, record) in (first..).zip(records) {
        let before = frames.len();
        encode(&mut frames, number, synced, record);
        lengths.push(frames.len() - before);
    }
    (frames, lengths)
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
}

/// A frame with a valid checksum.
struct Frame<'a> {
    number: u64,
    /// The number up to which all records were durable when the frame was written.
    synced: u64,
    payload: &'a [u8],
    /// Offset of the next frame.
    end: usize,
}

impl Frame<'_> {
    /// Decodes the frame at an offset. Returns `None` if its length or checksum is invalid.
    fn decode(bytes: &[u8], at: usize) -> Option<Frame<'_>> {
        let length = u32_at(bytes, at)? as usize;
        if length == 0 || length > MAX_RECORD_LENGTH {
            return None;
        }
        let checksum = u32_at(bytes, at + 4)?;
        let end = at + FRAME_HEADER_LENGTH + length;
        let checked = bytes.get(at + 8..end)?;
        if crc32fast::hash(checked) != checksum {
            return None;
        }
        Some(Frame {
            number: u64_at(bytes, at + 8)?,
            synced: u64_at(bytes, at + 16)?,
            payload: &checked[16..],
            end,
        })
    }
}

/// A decoded segment.
pub(super) struct Segment {
    /// The records before the first defect, with their numbers.
    pub(super) records: Vec<(u64, Record)>,
    /// Offset after the last of `records`.
    pub(super) end: usize,
    /// The defect at `end`, if there is one.
    pub(super) defect: Option<Defect>,
    /// The highest synced number in any readable frame, including frames after `end`.
    pub(super) synced: u64,
}

impl Segment {
    /// Decodes a segment whose first record has the number `first`.
    ///
    /// # Errors
    /// Fails when the segment has an unsupported version. Any other defect is part of the returned value.
    pub(super) fn decode(file: &str, bytes: &[u8], first: u64) -> Result<Segment, LogError> {
        let mut segment = Segment {
            records: Vec::new(),
            end: HEADER_LENGTH,
            defect: None,
            synced: 0,
        };
        if bytes.get(..7) != Some(&MAGIC[..7]) || u64_at(bytes, 8) != Some(first) {
            segment.end = 0;
            segment.defect = Some(Defect::Header);
            return Ok(segment);
        }
        if bytes[7] != MAGIC[7] {
            return Err(LogError::UnsupportedVersion {
                file: file.into(),
                version: bytes[7],
            });
        }
        let mut next = first;
        while let Some(frame_end) = segment.decode_record(bytes, next) {
            segment.end = frame_end;
            next += 1;
        }
        if segment.defect.is_some() {
            segment.scan_synced_numbers(bytes);
        }
        Ok(segment)
    }

    /// Decodes the record with the number `next` and returns the offset after its frame, or `None` at the
    /// end of the segment and at a defect.
    fn decode_record(&mut self, bytes: &[u8], next: u64) -> Option<usize> {
        let Some(frame) = Frame::decode(bytes, self.end) else {
            let at_end = bytes[self.end..].iter().all(|byte| *byte == 0);
            self.defect = (!at_end).then_some(Defect::Unreadable { number: next });
            return None;
        };
        let number = frame.number;
        if number != next {
            let expected = next;
            self.defect = Some(Defect::OutOfOrder { number, expected });
            return None;
        }
        let Ok(record) = postcard::from_bytes(frame.payload) else {
            self.defect = Some(Defect::Undecodable { number });
            return None;
        };
        self.records.push((number, record));
        self.synced = self.synced.max(frame.synced);
        Some(frame.end)
    }

    /// Searches the bytes after a defect for readable frames, whose synced numbers may show that the defective
    /// record had been synced.
    fn scan_synced_numbers(&mut self, bytes: &[u8]) {
        for at in self.end..bytes.len().saturating_sub(FRAME_HEADER_LENGTH) {
            if bytes[at] == 0 && bytes[at + 1] == 0 {
                continue;
            }
            if let Some(frame) = Frame::decode(bytes, at) {
                self.synced = self.synced.max(frame.synced);
            }
        }
    }
}
