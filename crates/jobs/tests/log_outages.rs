//! The log during disk outages, kills and crashes: each process reads back all confirmed records, and suspect or
//! torn data never prevents the log from being opened.

mod log_model;
mod seeds;

use std::ops::RangeInclusive;

use fastrand::Rng;
use oakshed_jobs::fault::{FaultyDirectory, Operation};
use oakshed_jobs::log::{encode_all, read_all, Backlog, Log, LogDirectory, LogError};
use oakshed_jobs::record::Record;

use log_model::{enqueue, outage, record, segment_names, Model, SEGMENT_SIZE};
use seeds::seeds;

/// Default seeds of the randomized test; `OAKSHED_SEEDS` overrides them.
const SEEDS: RangeInclusive<u64> = 0..=2_000;

#[test]
fn confirmed_records_survive_outages_kills_and_crashes() {
    let (mut faults, mut overlaps) = (0, 0);
    for seed in seeds(SEEDS) {
        match Model::run(seed) {
            Ok(model) => {
                faults += model.faults;
                overlaps += model.overlaps;
            }
            Err(violation) => panic!("OAKSHED_SEEDS={seed}: {violation}"),
        }
    }
    println!(
        "{:?}: {faults} operations failed, {overlaps} processes left overlapping segments",
        seeds(SEEDS)
    );
    assert!(
        faults > 0 && overlaps > 0,
        "the runs must include failed operations and overlapping segments"
    );
}

#[test]
fn unsynced_records_are_written_to_a_new_segment_after_a_failed_sync() {
    let directory = FaultyDirectory::default();
    let (mut log, _) = Log::open(directory.clone(), 4 << 10).expect("the log can be opened");
    let mut backlog = Backlog::default();
    enqueue(&mut backlog, 1, 0, &[record(1, 1), record(2, 1)]);
    backlog
        .flush(&mut log)
        .expect("flushing works without faults");
    enqueue(&mut backlog, 3, 2, &[record(3, 1)]);
    directory.fail_next_sync();
    assert!(backlog.flush(&mut log).is_err());
    assert_eq!(
        (log.next_record(), backlog.len()),
        (3, 1),
        "the record whose sync failed stays in the backlog"
    );
    enqueue(&mut backlog, 4, 2, &[record(4, 1)]);
    backlog
        .flush(&mut log)
        .expect("flushing works after the fault");
    assert!(backlog.is_empty());
    assert_eq!(
        segment_names(&directory),
        ["00000000000000000001.log", "00000000000000000003.log"]
    );
    drop(log);
    // The page cache still holds record 3 of the suspect segment; the copy in its successor is used.
    let (recovered, damage) = read_all(&directory).expect("the files are readable");
    assert!(damage.is_empty() && recovered.torn_tail.is_none());
    assert_eq!(
        recovered
            .records
            .iter()
            .map(|(number, _)| *number)
            .collect::<Vec<_>>(),
        [1, 2, 3, 4]
    );
}

#[test]
fn a_segment_without_a_durable_record_is_replaced_by_its_successor() {
    let directory = FaultyDirectory::default();
    let (mut log, _) = Log::open(directory.clone(), 4 << 10).expect("the log can be opened");
    let mut backlog = Backlog::default();
    enqueue(&mut backlog, 1, 0, &[record(1, 1)]);
    for seed in 0..5 {
        directory.set_outage(outage(&[Operation::Sync, Operation::Write], 1_000, seed));
        assert!(backlog.flush(&mut log).is_err());
        assert_eq!(
            segment_names(&directory),
            ["00000000000000000001.log"],
            "each retry replaces the segment instead of adding one"
        );
    }
    directory.set_outage(None);
    backlog
        .flush(&mut log)
        .expect("flushing works after the fault");
    assert_eq!(segment_names(&directory), ["00000000000000000001.log"]);
    directory.crash(&mut Rng::with_seed(1));
    let (_, recovered) = Log::open(directory, 4 << 10).expect("the log can be opened");
    assert_eq!(recovered.records, [(1, record(1, 1))]);
}

/// Writes a segment with the given records, followed by the bytes of `tail`. Returns the segment's file name and
/// the offset at which the tail begins.
fn write_segment(
    directory: &FaultyDirectory,
    first: u64,
    synced: u64,
    records: &[Record],
    tail: &[u8],
) -> (String, usize) {
    let name = format!("{first:020}.log");
    let (frames, _) = encode_all(first, synced, records);
    let mut bytes = b"oakjobs\x01".to_vec();
    bytes.extend_from_slice(&first.to_le_bytes());
    bytes.extend_from_slice(&frames);
    let end = bytes.len();
    bytes.extend_from_slice(tail);
    directory
        .create(&name, SEGMENT_SIZE)
        .expect("the file can be created");
    let file = directory.open(&name).expect("the file exists");
    directory
        .write(&file, 0, &bytes)
        .expect("the file can be written");
    directory.sync(&file).expect("the file can be synced");
    (name, end)
}

/// Returns the records that a process writes under the given numbers.
fn records(numbers: RangeInclusive<u64>, process: u64) -> Vec<Record> {
    numbers.map(|number| record(number, process)).collect()
}

/// A suspect segment may end in complete frames, a partial frame or arbitrary bytes. From the successor's first
/// record on, only the successor is read.
#[test]
fn a_suspect_tail_of_any_form_is_superseded_by_the_next_segment() {
    let (frame, _) = encode_all(6, 3, &records(6..=6, 1));
    let arbitrary: Vec<u8> = (0..200u32).map(|n| (n * 37 + 11) as u8).collect();
    for tail in [&[][..], &frame[..frame.len() / 2], &arbitrary[..]] {
        for last in 3..=5 {
            let directory = FaultyDirectory::default();
            write_segment(&directory, 1, 0, &records(1..=last, 1), tail);
            write_segment(&directory, 4, 3, &records(4..=7, 2), &[]);
            let (log, recovered) =
                Log::open(directory, SEGMENT_SIZE).expect("the log is not damaged");
            let expected: Vec<(u64, Record)> = (1..=7)
                .map(|number| (number, record(number, if number < 4 { 1 } else { 2 })))
                .collect();
            assert_eq!((recovered.records, log.next_record()), (expected, 8));
        }
    }
    // The successor holds nothing after its header, or a partial frame only.
    for tail in [&[][..], &frame[..30]] {
        let directory = FaultyDirectory::default();
        write_segment(&directory, 1, 0, &records(1..=5, 1), &[]);
        write_segment(&directory, 4, 3, &[], tail);
        let (log, recovered) =
            Log::open(directory.clone(), SEGMENT_SIZE).expect("the log is not damaged");
        assert_eq!((recovered.records.len(), log.next_record()), (3, 4));
        drop(log);
        assert_eq!(
            Log::open(directory, SEGMENT_SIZE)
                .expect("the log can be opened again")
                .1
                .records
                .len(),
            3
        );
    }
}

#[test]
fn a_preallocated_file_with_a_partial_header_is_replaced() {
    let directory = FaultyDirectory::default();
    write_segment(&directory, 1, 0, &records(1..=3, 1), &[]);
    directory
        .create("spare.log", 7)
        .expect("the file can be created");
    let file = directory.open("spare.log").expect("the file exists");
    directory
        .write(&file, 0, b"oakj")
        .expect("the file can be written");
    let (log, recovered) = Log::open(directory, SEGMENT_SIZE).expect("the log is not damaged");
    assert_eq!((recovered.records.len(), log.next_record()), (3, 4));
}

/// An unreadable record is damage if a later segment starts after it, or if a frame names it as synced.
#[test]
fn an_unreadable_confirmed_record_is_damage_despite_a_suspect_tail() {
    // Corrupts one record in the first of two segments. Returns the directory, the name of that segment and the
    // offset of the corrupted frame.
    let corrupted_segments = |number: u64| {
        let directory = FaultyDirectory::default();
        let (name, _) = write_segment(&directory, 1, 0, &records(1..=5, 1), &[1, 2, 3]);
        write_segment(&directory, 4, 3, &records(4..=7, 2), &[]);
        let (frames, lengths) = encode_all(1, 0, &records(1..=number, 1));
        let offset = 16 + frames.len() - lengths[lengths.len() - 1];
        directory.corrupt_byte(&name, offset + 9);
        (directory, name, offset)
    };
    for number in 1..=3 {
        let (directory, name, expected_offset) = corrupted_segments(number);
        match Log::open(directory, SEGMENT_SIZE).map(|_| ()) {
            Err(LogError::Damage { file, offset, .. }) => {
                assert_eq!((file, offset), (name, expected_offset));
            }
            other => panic!("record {number}: {other:?}"),
        }
    }
    for number in 4..=5 {
        let (directory, ..) = corrupted_segments(number);
        assert_eq!(
            Log::open(directory, SEGMENT_SIZE)
                .expect("the next segment supersedes the record")
                .1
                .records
                .len(),
            7
        );
    }
    // Record 4 is missing between the segments.
    let directory = FaultyDirectory::default();
    write_segment(&directory, 1, 0, &records(1..=3, 1), &[]);
    write_segment(&directory, 5, 4, &records(5..=6, 2), &[]);
    assert!(matches!(
        Log::open(directory, SEGMENT_SIZE),
        Err(LogError::Damage { .. })
    ));
    // Record 3 is unreadable, but the frame of record 5 names it as synced.
    let directory = FaultyDirectory::default();
    write_segment(&directory, 1, 0, &records(1..=2, 1), &[]);
    let (later_frame, _) = encode_all(5, 4, &records(5..=5, 2));
    write_segment(
        &directory,
        3,
        2,
        &[],
        &[&[9; 30][..], &later_frame].concat(),
    );
    assert!(matches!(
        Log::open(directory, SEGMENT_SIZE),
        Err(LogError::Damage { .. })
    ));
}
