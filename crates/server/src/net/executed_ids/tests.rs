//! Tests of the ids' bounds, and of what the processes read of each other.

use std::path::PathBuf;

use super::execution::ExecutionError;
use super::journal::{Journal, JournalReader};
use super::*;

fn ids() -> Rc<ExecutedIds> {
    ExecutedIds::new(0)
}

fn id(text: &str) -> HeaderValue {
    HeaderValue::try_from(text).expect("a valid value")
}

fn executed(id: IdHash) -> Record {
    Record {
        event: Event::Executed,
        id,
        at: monotonic_clock(),
    }
}

/// The journals in a directory.
fn files(directory: &tempfile::TempDir) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory.path()).expect("a directory");
    entries
        .map(|entry| entry.expect("an entry").path())
        .collect()
}

fn open_only_journal(directory: &tempfile::TempDir) -> JournalReader {
    let files = files(directory);
    assert_eq!(files.len(), 1);
    JournalReader::open(&files[0]).expect("opened")
}

fn ids_of(records: &[Record]) -> Vec<IdHash> {
    records.iter().map(|record| record.id).collect()
}

#[test]
fn id_is_known_unless_all_attempts_have_never_run() {
    let ids = ids();
    let first = Execution::new(&ids, &id("a")).expect("new");
    assert!(first.begin_attempt());
    first.on_never_ran();
    drop(first);
    let second = Execution::new(&ids, &id("a")).expect("never ran");
    assert!(second.begin_attempt());
    second.on_never_ran();
    assert!(second.begin_attempt());
    drop(second);
    let third = Execution::new(&ids, &id("a")).map(|_| ());
    assert_eq!(third, Err(ExecutionError::Repeated));
    assert!(Execution::new(&ids, &id("b")).is_ok());
}

#[test]
fn request_is_not_run_if_no_id_may_be_forgotten() {
    let ids = ids();
    for number in 0..MIN_CAPACITY {
        let execution = Execution::new(&ids, &id(&number.to_string())).expect("capacity");
        assert!(execution.begin_attempt());
    }
    let next = Execution::new(&ids, &id("next")).map(|_| ());
    assert_eq!(next, Err(ExecutionError::NoCapacity));
    assert_eq!(ids.bytes(), MIN_CAPACITY * ENTRY_BYTES);
}

#[test]
fn reader_gets_each_record_once_and_skips_overwritten_ones() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut journal = Journal::create(directory.path(), 100).expect("created");
    let mut reader = open_only_journal(&directory);
    let mut read = |journal: &mut Journal, ids: std::ops::Range<u128>| {
        ids.for_each(|id| journal.append(executed(id)));
        let mut records = Vec::new();
        reader.read_new(&mut records);
        ids_of(&records)
    };
    assert_eq!(read(&mut journal, 0..70).len(), 70);
    assert_eq!(read(&mut journal, 70..70), []);
    let records = read(&mut journal, 70..140);
    assert_eq!(records.first(), Some(&70));
    assert_eq!(records.len(), 70);
    // 190 records in a ring of 100: the last ones are still read.
    let records = read(&mut journal, 140..330);
    assert_eq!(records.last(), Some(&329));
}

#[test]
fn process_that_opens_a_full_ring_reads_what_is_left_of_it() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut journal = Journal::create(directory.path(), 10).expect("created");
    (0..25).for_each(|id| journal.append(executed(id)));
    let mut reader = open_only_journal(&directory);
    let mut records = Vec::new();
    reader.read_new(&mut records);
    let expected: Vec<IdHash> = (15..25).collect();
    assert_eq!(ids_of(&records), expected);
}

#[test]
fn record_is_read_as_it_was_written() {
    for event in [Event::Executed, Event::NeverExecuted] {
        let record = Record {
            event,
            ..executed(IdHash::MAX / 3)
        };
        let mut bytes = record.encode(7);
        assert_eq!(Record::decode(&bytes), Some((record, 7)));
        bytes[20] ^= 1;
        assert_eq!(Record::decode(&bytes), None);
    }
}

#[test]
fn journal_stays_for_later_processes_until_its_records_expire() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut journal = Journal::create(directory.path(), 10).expect("created");
    let mut reader = open_only_journal(&directory);
    journal.append(executed(1));
    reader.read_new(&mut Vec::new());
    reader.check_owner();
    assert!(!reader.has_owner_ended());
    drop(journal);
    reader.check_owner();
    assert!(reader.has_owner_ended());
    assert!(!reader.has_expired());

    let mut journal = Journal::create(directory.path(), 10).expect("created");
    let path = journal.path().to_owned();
    let mut reader = JournalReader::open(&path).expect("opened");
    journal.append(Record {
        at: monotonic_clock() - RETENTION,
        ..executed(2)
    });
    reader.read_new(&mut Vec::new());
    reader.check_owner();
    assert!(!reader.has_owner_ended());
    drop(journal);
    reader.check_owner();
    assert!(!path.exists());
    assert!(reader.has_owner_ended());
    assert!(reader.has_expired());
}

#[test]
fn expired_records_of_an_ended_process_are_not_taken_over() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut journal = Journal::create(directory.path(), 10).expect("created");
    let now = monotonic_clock();
    for (text, at) in [
        ("old", now - RETENTION),
        ("later", now + RETENTION),
        ("new", now),
    ] {
        journal.append(Record {
            at,
            ..executed(hash(&id(text)))
        });
    }
    let ids = ids();
    ids.share(directory.path());
    assert!(ids.contains(hash(&id("new"))));
    assert!(!ids.contains(hash(&id("old"))));
    assert!(
        !ids.contains(hash(&id("later"))),
        "of the time before a restart of the system"
    );
}

#[test]
fn third_process_knows_the_ids_of_the_first() {
    let directory = tempfile::tempdir().expect("a directory");
    let first = ids();
    first.share(directory.path());
    let execution = Execution::new(&first, &id("a")).expect("new");
    assert!(execution.begin_attempt());
    drop(execution);
    let second = ids();
    second.share(directory.path());
    drop(first);
    second.find_others();
    drop(second);
    let third = ids();
    third.share(directory.path());
    let again = Execution::new(&third, &id("a")).map(|_| ());
    assert_eq!(again, Err(ExecutionError::Repeated));
}

#[test]
fn attempt_is_not_begun_if_another_process_has_begun_one_meanwhile() {
    let directory = tempfile::tempdir().expect("a directory");
    let processes = [ids(), ids()];
    for ids in &processes {
        ids.share(directory.path());
    }
    processes[0].find_others();
    let open = processes
        .each_ref()
        .map(|ids| Execution::new(ids, &id("a")).expect("new"));
    assert!(open[0].begin_attempt());
    assert!(!open[1].begin_attempt());
    let third = ids();
    third.share(directory.path());
    drop(open);
    for ids in [&processes[0], &processes[1], &third] {
        assert!(ids.contains(hash(&id("a"))));
    }
}

#[test]
fn journals_of_processes_that_end_one_after_the_other_are_bounded() {
    let directory = tempfile::tempdir().expect("a directory");
    for number in 0..30 {
        let ids = ids();
        ids.share(directory.path());
        let execution = Execution::new(&ids, &id(&number.to_string())).expect("new");
        assert!(execution.begin_attempt());
    }
    assert!(files(&directory).len() < 10, "{:?}", files(&directory));
    let last = ids();
    last.share(directory.path());
    assert!(last.contains(hash(&id("29"))));
    assert!(last.contains(hash(&id("22"))));
}

/// One process gives a request up, and then another one runs it.
#[test]
fn id_that_ran_later_stays_known_in_whichever_order_journals_are_read() {
    let id = hash(&id("a"));
    let record = |event, after: Micros| Record {
        event,
        id,
        at: monotonic_clock() - RETENTION / 2 + after,
    };
    let given_up = [
        record(Event::Executed, 0),
        record(Event::NeverExecuted, 1_000),
    ];
    let ran = record(Event::Executed, 2_000);
    let orders = [
        [given_up[0], given_up[1], ran],
        [given_up[0], ran, given_up[1]],
        [ran, given_up[0], given_up[1]],
    ];
    for records in orders {
        let ids = ids();
        for record in records {
            ids.apply(record);
        }
        assert!(ids.contains(id), "{records:?}");
    }
}
