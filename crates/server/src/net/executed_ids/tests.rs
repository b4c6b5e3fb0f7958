//! Tests of the ids' bounds, and of what the processes read of each other.

use std::path::PathBuf;

use super::execution::ExecutionError;
use super::*;

fn ids() -> Rc<ExecutedIds> {
    ExecutedIds::new(Clock::new(), 0)
}

fn id(text: &str) -> HeaderValue {
    HeaderValue::try_from(text).expect("a valid value")
}

fn file(directory: &tempfile::TempDir) -> PathBuf {
    directory.path().join("executed-ids.test")
}

#[test]
fn id_is_known_unless_all_attempts_have_never_run() {
    let ids = ids();
    let first = Execution::new(&ids, &id("a")).expect("new");
    first.on_attempt();
    first.on_never_ran();
    drop(first);
    let second = Execution::new(&ids, &id("a")).expect("never ran");
    second.on_attempt();
    second.on_never_ran();
    second.on_attempt();
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
        execution.on_attempt();
    }
    let next = Execution::new(&ids, &id("next")).map(|_| ());
    assert_eq!(next, Err(ExecutionError::NoCapacity));
    assert_eq!(ids.bytes(), MIN_CAPACITY * ENTRY_BYTES);
}

#[test]
fn reader_gets_each_record_once_and_skips_overwritten_ones() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut journal = Journal::create(file(&directory), 100).expect("created");
    let mut reader = JournalReader::open(&file(&directory)).expect("opened");
    let mut read = |journal: &mut Journal, ids: std::ops::Range<u128>| {
        ids.for_each(|id| journal.append(Record::Executed(id)));
        let mut records = Vec::new();
        reader.read_new(&mut records);
        records
    };
    assert_eq!(read(&mut journal, 0..70).len(), 70);
    assert_eq!(read(&mut journal, 70..70), []);
    let records = read(&mut journal, 70..140);
    assert_eq!(records.first(), Some(&Record::Executed(70)));
    assert_eq!(records.len(), 70);
    // 190 records in a ring of 100: the last ones are still read.
    let records = read(&mut journal, 140..330);
    assert_eq!(records.last(), Some(&Record::Executed(329)));
}

#[test]
fn process_that_opens_a_full_ring_reads_what_is_left_of_it() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut journal = Journal::create(file(&directory), 10).expect("created");
    (0..25).for_each(|id| journal.append(Record::Executed(id)));
    let mut reader = JournalReader::open(&file(&directory)).expect("opened");
    let mut records = Vec::new();
    reader.read_new(&mut records);
    let expected: Vec<Record> = (15..25).map(Record::Executed).collect();
    assert_eq!(records, expected);
}
