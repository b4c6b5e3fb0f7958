//! Reading of the records back from the segments, without changing a file.
//!
//! Unreadable data is classified as a torn tail or as damage, and records that a later segment repeats are
//! taken from that segment only.

use super::frames::{Segment, HEADER_LENGTH};
use super::{io_error, segment_name, Defect, LogDirectory, LogError};
use crate::record::Record;

/// The contents of a log.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The records, with their numbers.
    pub records: Vec<(u64, Record)>,
    /// The torn tail, if there is one.
    pub torn_tail: Option<TornTail>,
}

/// An incomplete write at the end of the log, which no sync had confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// Name of the segment file.
    pub file: String,
    /// Offset of the tail, in bytes.
    pub offset: usize,
}

/// Reads all segments of a log without changing them. The second value lists the damage, at most one entry
/// per file; readable records before the damage and in other files are returned nevertheless.
///
/// # Errors
/// Fails when the directory or a file cannot be read, and when a segment has an unsupported version.
pub fn read_all(directory: &impl LogDirectory) -> Result<(Recovered, Vec<LogError>), LogError> {
    let names = directory
        .list()
        .map_err(io_error("listing the directory"))?;
    let firsts = segment_numbers(&names);
    let mut recovered = Recovered::default();
    let mut damage = Vec::new();
    // The highest synced number in any frame of any file.
    let mut synced = 0;
    for (index, &first) in firsts.iter().enumerate() {
        let file = segment_name(first);
        let bytes = directory
            .read(&file)
            .map_err(io_error(format!("reading {file}")))?;
        let mut segment = Segment::decode(&file, &bytes, first)?;
        let next = segment
            .records
            .last()
            .map_or(first, |(number, _)| number + 1);
        synced = synced.max(segment.synced);
        let offset = segment.end;
        let defect = if let Some(&successor) = firsts.get(index + 1) {
            // Records before the successor's first one were durable before the successor was created. Later
            // records in this file stem from a failed write or sync; the successor repeats those that were
            // ever confirmed.
            segment.records.retain(|(number, _)| *number < successor);
            let missing = Defect::Missing { number: next };
            (next < successor).then(|| segment.defect.unwrap_or(missing))
        } else {
            let (torn_tail, defect) = classify_last_segment(&file, &segment, next, synced);
            recovered.torn_tail = torn_tail;
            defect
        };
        recovered.records.append(&mut segment.records);
        if let Some(defect) = defect {
            damage.push(LogError::Damage {
                file,
                offset,
                defect,
            });
        }
    }
    Ok((recovered, damage))
}

/// Decides whether a defect in the last segment is a torn tail or damage. `next` is the number after the
/// segment's last readable record, `synced` the highest synced number in any frame.
fn classify_last_segment(
    file: &str,
    segment: &Segment,
    next: u64,
    synced: u64,
) -> (Option<TornTail>, Option<Defect>) {
    // A segment's header is synced before the file gets its name, so only data after it can be torn.
    let may_be_torn = segment.end >= HEADER_LENGTH && synced < next;
    match segment.defect {
        Some(_) if may_be_torn => {
            let torn_tail = TornTail {
                file: file.to_owned(),
                offset: segment.end,
            };
            (Some(torn_tail), None)
        }
        Some(defect) => (None, Some(defect)),
        None if synced >= next => (None, Some(Defect::MissingSynced { number: next })),
        None => (None, None),
    }
}

/// Returns the number of each segment's first record, in ascending order. Other files are ignored.
pub(super) fn segment_numbers(names: &[String]) -> Vec<u64> {
    let number = |name: &String| {
        name.strip_suffix(".log")
            .filter(|digits| digits.len() == 20)?
            .parse()
            .ok()
    };
    let mut numbers: Vec<u64> = names.iter().filter_map(number).collect();
    numbers.sort_unstable();
    numbers
}
