//! The log on a directory whose calls fail for a while: every process reads back what was confirmed, and a log
//! that is not damaged is always opened.

mod log_model;
mod seeds;

use std::ops::RangeInclusive;

use fastrand::Rng;
use oakshed_jobs::fault::{FaultyDirectory, Operation};
use oakshed_jobs::log::{encode_all, read_all, Backlog, Log, LogDirectory, LogError};
use oakshed_jobs::record::Record;

use log_model::{enqueue, outage, record, segments, Model, SIZE};
use seeds::seeds;

/// The seeds of the simulation, unless `OAKSHED_SEEDS` names others.
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
            Err(why) => panic!("OAKSHED_SEEDS={seed}: {why}"),
        }
    }
    println!(
        "{:?}: {faults} calls failed, {overlaps} processes left the same record in two segments",
        seeds(SEEDS)
    );
    assert!(
        faults > 0 && overlaps > 0,
        "a disk that never fails proves nothing"
    );
}

#[test]
fn unsynced_records_go_to_a_new_segment_after_a_failed_sync() {
    let disk = FaultyDirectory::default();
    let (mut log, _) = Log::open(disk.clone(), 4 << 10).expect("a log");
    let mut backlog = Backlog::default();
    enqueue(&mut backlog, 1, 0, &[record(1, 1), record(2, 1)]);
    backlog.flush(&mut log).expect("a sound disk");
    enqueue(&mut backlog, 3, 2, &[record(3, 1)]);
    disk.fail_next_sync();
    assert!(backlog.flush(&mut log).is_err());
    assert_eq!(
        (log.next_record(), backlog.len()),
        (3, 1),
        "what waits still waits"
    );
    enqueue(&mut backlog, 4, 2, &[record(4, 1)]);
    backlog.flush(&mut log).expect("a sound disk again");
    assert!(backlog.is_empty());
    assert_eq!(
        segments(&disk),
        ["00000000000000000001.log", "00000000000000000003.log"]
    );
    drop(log);
    // The failed file still shows the record in the system's cache; its successor's counts.
    let (all, damage) = read_all(&disk).expect("read");
    assert!(damage.is_empty() && all.torn_tail.is_none());
    assert_eq!(
        all.records.iter().map(|r| r.0).collect::<Vec<_>>(),
        [1, 2, 3, 4]
    );
}

#[test]
fn a_segment_without_a_durable_record_is_replaced_by_its_successor() {
    let disk = FaultyDirectory::default();
    let (mut log, _) = Log::open(disk.clone(), 4 << 10).expect("a log");
    let mut backlog = Backlog::default();
    enqueue(&mut backlog, 1, 0, &[record(1, 1)]);
    for seed in 0..5 {
        disk.set_outage(outage(&[Operation::Sync, Operation::Write], 1_000, seed));
        assert!(backlog.flush(&mut log).is_err());
        assert_eq!(
            segments(&disk),
            ["00000000000000000001.log"],
            "files do not pile up"
        );
    }
    disk.set_outage(None);
    backlog.flush(&mut log).expect("a sound disk again");
    assert_eq!(segments(&disk), ["00000000000000000001.log"]);
    disk.crash(&mut Rng::with_seed(1));
    let (_, recovered) = Log::open(disk, 4 << 10).expect("a log");
    assert_eq!(recovered.records, [(1, record(1, 1))]);
}

/// Writes a file of the log by hand.
fn write_segment(
    disk: &FaultyDirectory,
    first: u64,
    synced: u64,
    records: &[Record],
    rest: &[u8],
) -> (String, usize) {
    let name = format!("{first:020}.log");
    let (frames, _) = encode_all(first, synced, records);
    let mut bytes = b"oakjobs\x01".to_vec();
    bytes.extend_from_slice(&first.to_le_bytes());
    bytes.extend_from_slice(&frames);
    let end = bytes.len();
    bytes.extend_from_slice(rest);
    disk.create(&name, SIZE).expect("made");
    let file = disk.open(&name).expect("there");
    disk.write(&file, 0, &bytes).expect("written");
    disk.sync(&file).expect("synced");
    (name, end)
}

fn numbered(numbers: std::ops::RangeInclusive<u64>, process: u64) -> Vec<Record> {
    numbers.map(|number| record(number, process)).collect()
}

/// The tail of a failed segment: whole and torn frames, half a frame, garbage; the successor counts.
#[test]
fn a_suspect_tail_of_any_form_is_ignored_from_the_successor_on() {
    let (half, _) = encode_all(6, 3, &numbered(6..=6, 1));
    let garbage: Vec<u8> = (0..200u32).map(|n| (n * 37 + 11) as u8).collect();
    for rest in [&[][..], &half[..half.len() / 2], &garbage[..]] {
        for last in 3..=5 {
            let disk = FaultyDirectory::default();
            write_segment(&disk, 1, 0, &numbered(1..=last, 1), rest);
            write_segment(&disk, 4, 3, &numbered(4..=7, 2), &[]);
            let (log, recovered) = Log::open(disk, SIZE).expect("not damaged");
            let expected: Vec<(u64, Record)> = (1..=7)
                .map(|n| (n, record(n, if n < 4 { 1 } else { 2 })))
                .collect();
            assert_eq!((recovered.records, log.next_record()), (expected, 8));
        }
    }
    // The successor was begun, and nothing of it is there yet; or half of its first frame is.
    for rest in [&[][..], &half[..30]] {
        let disk = FaultyDirectory::default();
        write_segment(&disk, 1, 0, &numbered(1..=5, 1), &[]);
        write_segment(&disk, 4, 3, &[], rest);
        let (log, recovered) = Log::open(disk.clone(), SIZE).expect("not damaged");
        assert_eq!((recovered.records.len(), log.next_record()), (3, 4));
        drop(log);
        assert_eq!(Log::open(disk, SIZE).expect("again").1.records.len(), 3);
    }
}

#[test]
fn a_partly_written_header_is_replaced() {
    let disk = FaultyDirectory::default();
    write_segment(&disk, 1, 0, &numbered(1..=3, 1), &[]);
    disk.create("spare.log", 7).expect("made");
    let file = disk.open("spare.log").expect("there");
    disk.write(&file, 0, b"oakj").expect("written");
    let (log, recovered) = Log::open(disk, SIZE).expect("not damaged");
    assert_eq!((recovered.records.len(), log.next_record()), (3, 4));
}

/// What a later segment follows, or a frame says was synced, is damage where it cannot be read.
#[test]
fn an_unreadable_confirmed_record_is_damage_beside_any_suspect_tail() {
    let segments_with_rot = |at: u64| {
        let disk = FaultyDirectory::default();
        let (first, _) = write_segment(&disk, 1, 0, &numbered(1..=5, 1), &[1, 2, 3]);
        write_segment(&disk, 4, 3, &numbered(4..=7, 2), &[]);
        let (frames, lengths) = encode_all(1, 0, &numbered(1..=at, 1));
        let offset = 16 + frames.len() - lengths[lengths.len() - 1];
        disk.corrupt_byte(&first, offset + 9);
        (disk, first, offset)
    };
    for at in 1..=3 {
        let (disk, name, expected) = segments_with_rot(at);
        match Log::open(disk, SIZE).map(|_| ()) {
            Err(LogError::Damage { file, offset, .. }) => {
                assert_eq!((file, offset), (name, expected));
            }
            other => panic!("record {at}: {other:?}"),
        }
    }
    for at in 4..=5 {
        let (disk, ..) = segments_with_rot(at);
        assert_eq!(
            Log::open(disk, SIZE)
                .expect("never confirmed there")
                .1
                .records
                .len(),
            7
        );
    }
    // The successor is missing with what it had confirmed, or lacks what it begins with.
    let disk = FaultyDirectory::default();
    write_segment(&disk, 1, 0, &numbered(1..=3, 1), &[]);
    write_segment(&disk, 5, 4, &numbered(5..=6, 2), &[]);
    assert!(matches!(
        Log::open(disk, SIZE),
        Err(LogError::Damage { .. })
    ));
    let disk = FaultyDirectory::default();
    write_segment(&disk, 1, 0, &numbered(1..=2, 1), &[]);
    let (claims, _) = encode_all(5, 4, &numbered(5..=5, 2));
    write_segment(&disk, 3, 2, &[], &[&[9; 30][..], &claims].concat());
    assert!(matches!(
        Log::open(disk, SIZE),
        Err(LogError::Damage { .. })
    ));
}
