//! The log on a directory that fails: a torn tail is cut, and damage is reported by file and offset.

use oakshed_jobs::fault::FaultyDirectory;
use oakshed_jobs::log::{encode, read_all, Log, LogDirectory, LogError};
use oakshed_jobs::record::{JobId, Record};

const SIZE: usize = 4 << 10;

fn record(n: u64) -> Record {
    Record::Unsent {
        id: JobId(u128::from(n) << 64),
        token: n,
    }
}

/// Appends so many records, a group each.
fn fill(log: &mut Log<FaultyDirectory>, records: u64) -> Result<(), LogError> {
    for _ in 0..records {
        let (mut frames, next) = (Vec::new(), log.next_record());
        encode(&mut frames, next, next - 1, &record(next));
        let length = frames.len();
        log.append(&frames, &[length])?;
    }
    Ok(())
}

fn files(disk: &FaultyDirectory) -> Vec<String> {
    let mut names = disk.list().expect("names");
    names.retain(|n| n.len() == 24);
    names
}

#[test]
fn damage_is_reported_by_file_and_offset_and_the_rest_is_readable() {
    let mut first = Vec::new();
    encode(&mut first, 1, 0, &record(1));
    let second = 16 + first.len();
    // The corrupted byte's file and offset, and the offset that is reported.
    for (file, at, offset) in [
        (0, 3, 0),
        (0, 9, 0),
        (0, 20, 16),
        (0, second + 9, second),
        (1, 40, 16),
        (2, 2, 0),
    ] {
        let disk = FaultyDirectory::default();
        let (mut log, _) = Log::open(disk.clone(), SIZE).expect("a log");
        fill(&mut log, 300).expect("capacity");
        assert_eq!(files(&disk).len(), 3);
        let name = files(&disk)[file].clone();
        disk.corrupt_byte(&name, at);
        match Log::open(disk.clone(), SIZE).map(|_| ()) {
            Err(LogError::Damage {
                file,
                offset: reported,
                ..
            }) => assert_eq!((file, reported), (name, offset)),
            other => panic!("{name} at {at}: {other:?}"),
        }
        let (saved, damage) = read_all(&disk).expect("read");
        assert!(
            saved.records.len() >= 100 && !damage.is_empty(),
            "{} saved",
            saved.records.len()
        );
    }
}

#[test]
fn a_torn_tail_is_cut_and_a_newer_version_is_rejected() {
    let disk = FaultyDirectory::default();
    let (mut log, _) = Log::open(disk.clone(), SIZE).expect("a log");
    fill(&mut log, 5).expect("capacity");
    let name = files(&disk)[0].clone();
    let complete = read_all(&disk).expect("read").0.records;
    // The last frame was never confirmed by a later one.
    let end = disk
        .read(&name)
        .expect("read")
        .iter()
        .rposition(|b| *b != 0)
        .expect("something");
    disk.corrupt_byte(&name, end);
    let (_, recovered) = Log::open(disk.clone(), SIZE).expect("cut");
    assert_eq!(recovered.records, complete[..4]);
    assert!(recovered.torn_tail.is_some_and(|tail| tail.file == name));
    let (again, _) = read_all(&disk).expect("read");
    assert!(
        again.torn_tail.is_none() && again.records == complete[..4],
        "cut for good"
    );
    // 0x01 with the bits of 0x55 inverted.
    disk.corrupt_byte(&name, 7);
    assert!(matches!(
        read_all(&disk),
        Err(LogError::UnsupportedVersion { version: 0x54, .. })
    ));
}

#[test]
fn a_failed_sync_ends_a_segment() {
    let disk = FaultyDirectory::default();
    let (mut log, _) = Log::open(disk.clone(), SIZE).expect("a log");
    fill(&mut log, 3).expect("capacity");
    let failed = files(&disk);
    disk.fail_next_sync();
    assert!(fill(&mut log, 1).is_err());
    let bytes = disk.read(&failed[0]).expect("there");
    assert_eq!(
        log.next_record(),
        4,
        "what a failed sync should have confirmed is not durable"
    );
    fill(&mut log, 1).expect("a new file");
    assert_eq!(files(&disk).len(), 2);
    assert!(
        disk.read(&failed[0]).expect("there") == bytes,
        "the file is not written to any more"
    );
    drop(log);
    disk.crash(&mut fastrand::Rng::with_seed(1));
    let (_, recovered) = Log::open(disk, SIZE).expect("a log");
    assert_eq!(recovered.records.len(), 4);
}

#[test]
fn a_full_disk_allows_the_preallocated_segment() {
    let disk = FaultyDirectory::default();
    let (mut log, _) = Log::open(disk.clone(), SIZE).expect("a log");
    fill(&mut log, 4).expect("capacity");
    // No further file: the one that is ready still takes all that fits.
    disk.set_capacity(Some(0));
    assert!(log.has_capacity() && log.has_preallocated());
    fill(&mut log, 150).expect("the file that is ready");
    assert!(!log.has_capacity() && !log.preallocate());
    assert!(
        fill(&mut log, 100).is_err(),
        "and then it fails, and says so"
    );
    let next = log.next_record();
    assert!(
        fill(&mut log, 1).is_err(),
        "as long as there is no capacity"
    );
    disk.set_capacity(None);
    fill(&mut log, 1).expect("capacity again, without a restart");
    let next = next + 1;
    drop(log);
    let (mut log, recovered) = Log::open(disk.clone(), SIZE).expect("a log");
    assert_eq!(
        recovered.records.last().map(|r| r.0 + 1),
        Some(next),
        "nothing that was confirmed is lost"
    );
    let before = files(&disk).len();
    assert_eq!(
        log.trim(next).expect("removed"),
        before - 1,
        "old segments are removed"
    );
}
