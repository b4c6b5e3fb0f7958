//! Recovery of the log after single faults: corrupted bytes, a torn tail, a failed sync and a full disk.
//!
//! Outages, in which many operations fail, are tested in `log_outages.rs`.

use oakshed_jobs::fault::FaultyDirectory;
use oakshed_jobs::log::{encode, read_all, Log, LogDirectory, LogError};
use oakshed_jobs::record::{JobId, Record};

/// Size of a segment file in bytes.
const SEGMENT_SIZE: usize = 4 << 10;

/// Returns a record whose contents identify its number.
fn record(number: u64) -> Record {
    Record::Unsent {
        id: JobId(u128::from(number) << 64),
        token: number,
    }
}

/// Appends and syncs the given number of records one by one.
fn append(log: &mut Log<FaultyDirectory>, count: u64) -> Result<(), LogError> {
    for _ in 0..count {
        let (mut frames, number) = (Vec::new(), log.next_record());
        encode(&mut frames, number, number - 1, &record(number));
        let length = frames.len();
        log.append(&frames, &[length])?;
    }
    Ok(())
}

/// Returns the names of the segment files, oldest first.
fn segment_names(directory: &FaultyDirectory) -> Vec<String> {
    let mut names = directory.list().expect("the directory can be listed");
    names.retain(|name| name.len() == 24);
    names
}

#[test]
fn damage_is_reported_by_file_and_offset_and_other_segments_stay_readable() {
    let mut first_frame = Vec::new();
    encode(&mut first_frame, 1, 0, &record(1));
    let second_frame = 16 + first_frame.len();
    // Index of the segment, offset of the corrupted byte, and the offset that is reported.
    for (index, corrupted, expected_offset) in [
        (0, 3, 0),
        (0, 9, 0),
        (0, 20, 16),
        (0, second_frame + 9, second_frame),
        (1, 40, 16),
        (2, 2, 0),
    ] {
        let directory = FaultyDirectory::default();
        let (mut log, _) =
            Log::open(directory.clone(), SEGMENT_SIZE).expect("the log can be opened");
        append(&mut log, 300).expect("the disk has space");
        assert_eq!(segment_names(&directory).len(), 3);
        let name = segment_names(&directory)[index].clone();
        directory.corrupt_byte(&name, corrupted);
        match Log::open(directory.clone(), SEGMENT_SIZE).map(|_| ()) {
            Err(LogError::Damage { file, offset, .. }) => {
                assert_eq!((file, offset), (name, expected_offset));
            }
            other => panic!("{name}, byte {corrupted}: {other:?}"),
        }
        let (recovered, damage) = read_all(&directory).expect("the files are readable");
        assert!(
            recovered.records.len() >= 100 && !damage.is_empty(),
            "{} records recovered, damage: {damage:?}",
            recovered.records.len()
        );
    }
}

#[test]
fn a_torn_tail_is_cut_off_and_a_newer_version_is_rejected() {
    let directory = FaultyDirectory::default();
    let (mut log, _) = Log::open(directory.clone(), SEGMENT_SIZE).expect("the log can be opened");
    append(&mut log, 5).expect("the disk has space");
    let name = segment_names(&directory)[0].clone();
    let records = read_all(&directory)
        .expect("the files are readable")
        .0
        .records;
    // No later frame names the last record as synced, so a corrupted last frame counts as torn.
    let last_byte = directory
        .read(&name)
        .expect("the files are readable")
        .iter()
        .rposition(|byte| *byte != 0)
        .expect("the segment is not empty");
    directory.corrupt_byte(&name, last_byte);
    let (_, recovered) =
        Log::open(directory.clone(), SEGMENT_SIZE).expect("a torn tail is not damage");
    assert_eq!(recovered.records, records[..4]);
    assert!(recovered.torn_tail.is_some_and(|tail| tail.file == name));
    let (reread, _) = read_all(&directory).expect("the files are readable");
    assert!(
        reread.torn_tail.is_none() && reread.records == records[..4],
        "opening the log removes the torn tail from the file"
    );
    // `corrupt_byte` inverts the bits of 0x55, which turns version 0x01 into 0x54.
    directory.corrupt_byte(&name, 7);
    assert!(matches!(
        read_all(&directory),
        Err(LogError::UnsupportedVersion { version: 0x54, .. })
    ));
}

#[test]
fn a_segment_is_not_written_again_after_a_failed_sync() {
    let directory = FaultyDirectory::default();
    let (mut log, _) = Log::open(directory.clone(), SEGMENT_SIZE).expect("the log can be opened");
    append(&mut log, 3).expect("the disk has space");
    let suspect = segment_names(&directory);
    directory.fail_next_sync();
    assert!(append(&mut log, 1).is_err());
    let bytes = directory.read(&suspect[0]).expect("the segment exists");
    assert_eq!(
        log.next_record(),
        4,
        "a record whose sync failed is not durable"
    );
    append(&mut log, 1).expect("appending to a new segment");
    assert_eq!(segment_names(&directory).len(), 2);
    assert!(
        directory.read(&suspect[0]).expect("the segment exists") == bytes,
        "the suspect segment is not written again"
    );
    drop(log);
    directory.crash(&mut fastrand::Rng::with_seed(1));
    let (_, recovered) = Log::open(directory, SEGMENT_SIZE).expect("the log can be opened");
    assert_eq!(recovered.records.len(), 4);
}

#[test]
fn a_full_disk_does_not_prevent_use_of_the_preallocated_segment() {
    let directory = FaultyDirectory::default();
    let (mut log, _) = Log::open(directory.clone(), SEGMENT_SIZE).expect("the log can be opened");
    append(&mut log, 4).expect("the disk has space");
    // No further file can be created, but the preallocated one can still be filled.
    directory.set_capacity(Some(0));
    assert!(log.has_capacity() && log.has_preallocated());
    append(&mut log, 150).expect("appending to the preallocated segment");
    assert!(!log.has_capacity() && !log.preallocate());
    assert!(
        append(&mut log, 100).is_err(),
        "the preallocated segment has no room for 100 more records"
    );
    let next = log.next_record();
    assert!(
        append(&mut log, 1).is_err(),
        "appending fails as long as the disk is full"
    );
    directory.set_capacity(None);
    append(&mut log, 1).expect("appending works again without a restart");
    let next = next + 1;
    drop(log);
    let (mut log, recovered) =
        Log::open(directory.clone(), SEGMENT_SIZE).expect("the log can be opened");
    assert_eq!(
        recovered.records.last().map(|(number, _)| number + 1),
        Some(next),
        "a durable record was lost"
    );
    let before = segment_names(&directory).len();
    assert_eq!(
        log.trim(next).expect("the segments can be removed"),
        before - 1,
        "all segments but the current one are removed"
    );
}
