//! Group commit and startup during outages of the disk.
//!
//! The log is in a real directory, and a wrapper makes operations fail or hang before they reach the disk. The
//! tests wait for events rather than for a fixed time.

use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::{Duration, Instant};

use oakshed_jobs::disk::Disk;
use oakshed_jobs::group_commit::{GroupCommit, StoreEvent};
use oakshed_jobs::log::{encode_all, Log, LogDirectory, LogError};
use oakshed_jobs::record::{JobId, Record};
use oakshed_jobs::startup::open_within;

/// Size of a segment file in bytes.
const SEGMENT_SIZE: usize = 64 << 10;
/// Time limit of each wait; long enough that a slow machine does not reach it.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Switches for the injected faults.
#[derive(Default)]
struct Faults {
    write: AtomicBool,
    sync: AtomicBool,
    /// Fails all operations on the directory except `remove`.
    directory: AtomicBool,
    remove: AtomicBool,
    /// Blocks `sync` for as long as it is set.
    hang: AtomicBool,
    /// Number of operations that have failed.
    injected: AtomicU64,
}

impl Faults {
    /// Fails with the error number if the fault is switched on.
    fn check(&self, fault: &AtomicBool, errno: i32) -> io::Result<()> {
        if fault.load(Ordering::SeqCst) {
            self.injected.fetch_add(1, Ordering::SeqCst);
            return Err(io::Error::from_raw_os_error(errno));
        }
        Ok(())
    }
}

/// Linux error number of a device error.
const EIO: i32 = 5;
/// Linux error number of a full disk.
const ENOSPC: i32 = 28;

/// A directory on disk with injected faults.
struct FailingDirectory {
    disk: Disk,
    faults: Arc<Faults>,
}

impl LogDirectory for FailingDirectory {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        self.faults.check(&self.faults.directory, EIO)?;
        self.disk.list()
    }
    fn open(&self, name: &str) -> io::Result<File> {
        self.faults.check(&self.faults.directory, EIO)?;
        self.disk.open(name)
    }
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.faults.check(&self.faults.directory, EIO)?;
        self.disk.read(name)
    }
    fn create(&self, name: &str, size: usize) -> io::Result<()> {
        self.faults.check(&self.faults.directory, ENOSPC)?;
        self.disk.create(name, size)
    }
    fn write(&self, file: &File, offset: usize, bytes: &[u8]) -> io::Result<()> {
        if let Err(error) = self.faults.check(&self.faults.write, ENOSPC) {
            // A failed write takes effect in part.
            self.disk.write(file, offset, &bytes[..bytes.len() / 2])?;
            return Err(error);
        }
        self.disk.write(file, offset, bytes)
    }
    fn sync(&self, file: &File) -> io::Result<()> {
        while self.faults.hang.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.faults.check(&self.faults.sync, EIO)?;
        self.disk.sync(file)
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.faults.check(&self.faults.directory, EIO)?;
        self.disk.rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        self.faults.check(&self.faults.remove, EIO)?;
        self.disk.remove(name)
    }
}

/// Starts group commit on an empty log.
fn start(path: &Path, faults: &Arc<Faults>) -> (GroupCommit, Receiver<StoreEvent>) {
    let disk = Disk::lock(path).expect("the directory can be locked");
    let (log, _) = Log::open(
        FailingDirectory {
            disk,
            faults: faults.clone(),
        },
        SEGMENT_SIZE,
    )
    .expect("the log can be opened");
    assert_eq!(log.next_record(), 1);
    let (sender, events) = channel();
    (
        GroupCommit::start(log, move |event| _ = sender.send(event))
            .expect("the thread can be started"),
        events,
    )
}

fn record(number: u64) -> Record {
    Record::Unsent {
        id: JobId(1),
        token: number,
    }
}

fn append(group_commit: &GroupCommit, numbers: std::ops::RangeInclusive<u64>) {
    let (first, last) = (*numbers.start(), *numbers.end());
    let records: Vec<Record> = numbers.map(record).collect();
    let (frames, lengths) = encode_all(first, 0, &records);
    group_commit.append(frames, lengths, last);
}

/// Waits until all records up to `last` are durable. Returns the events up to then.
fn wait_until_synced(events: &Receiver<StoreEvent>, last: u64) -> Vec<StoreEvent> {
    let mut seen = Vec::new();
    loop {
        let event = events
            .recv_timeout(TIMEOUT)
            .expect("an event arrives in time");
        let done = matches!(event, StoreEvent::Synced { number, .. } if number == last);
        seen.push(event);
        if done {
            return seen;
        }
    }
}

/// Opens the log in a directory, and returns the numbers of its records.
fn record_numbers(path: &Path) -> Vec<u64> {
    let disk = Disk::lock(path).expect("the directory is not locked");
    let (_, recovered) = Log::open(disk, SEGMENT_SIZE).expect("the log is not damaged");
    recovered
        .records
        .iter()
        .map(|(number, _)| *number)
        .collect()
}

/// Starts group commit in a directory and makes records 1 to 3 durable.
fn start_with_three_records(
    directory: &Path,
    faults: &Arc<Faults>,
) -> (GroupCommit, Receiver<StoreEvent>) {
    let (group_commit, events) = start(directory, faults);
    append(&group_commit, 1..=3);
    wait_until_synced(&events, 3);
    (group_commit, events)
}

/// Runs an outage of one operation. All records must be durable after it, and one event each must report its
/// start and its end.
fn run_outage(name: &str, fault: impl Fn(&Faults) -> &AtomicBool) {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let faults = Arc::new(Faults::default());
    let (group_commit, events) = start_with_three_records(directory.path(), &faults);
    fault(&faults).store(true, Ordering::SeqCst);
    append(&group_commit, 4..=5);
    assert!(
        matches!(events.recv_timeout(TIMEOUT), Ok(StoreEvent::OutageBegan(_))),
        "{name}"
    );
    // Records that are appended during the outage wait with the first ones while the operation is retried.
    let injected = faults.injected.load(Ordering::SeqCst);
    let start = Instant::now();
    let mut number = 5;
    while faults.injected.load(Ordering::SeqCst) < injected + 4 {
        assert!(
            start.elapsed() < TIMEOUT,
            "{name}: the operation is not retried"
        );
        number += 1;
        append(&group_commit, number..=number);
        std::thread::sleep(Duration::from_millis(5));
    }
    fault(&faults).store(false, Ordering::SeqCst);
    let later_events = wait_until_synced(&events, number);
    let began = later_events
        .iter()
        .filter(|event| matches!(event, StoreEvent::OutageBegan(_)))
        .count();
    assert_eq!(
        began, 0,
        "{name}: the start of the outage was reported again"
    );
    assert!(
        matches!(
            events.recv_timeout(TIMEOUT),
            Ok(StoreEvent::OutageEnded { .. })
        ),
        "{name}"
    );
    drop(group_commit);
    assert_eq!(
        record_numbers(directory.path()),
        (1..=number).collect::<Vec<_>>(),
        "{name}"
    );
}

#[test]
fn records_become_durable_after_an_outage_of_syncs() {
    run_outage("sync", |faults| &faults.sync);
}

#[test]
fn records_become_durable_after_an_outage_of_writes() {
    run_outage("write", |faults| &faults.write);
}

#[test]
fn failed_removal_of_segments_is_retried() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let faults = Arc::new(Faults::default());
    let (group_commit, events) = start(directory.path(), &faults);
    let file_count = || {
        std::fs::read_dir(directory.path())
            .expect("the directory is readable")
            .count()
    };
    // Enough records to fill the first segment, which can be removed once a second one follows.
    let last = (2 * SEGMENT_SIZE / 30) as u64;
    append(&group_commit, 1..=last);
    wait_until_synced(&events, last);
    let before = file_count();
    faults.remove.store(true, Ordering::SeqCst);
    group_commit.trim(last);
    let next_event = || {
        events
            .recv_timeout(TIMEOUT)
            .expect("an event arrives in time")
    };
    while !matches!(next_event(), StoreEvent::TrimFailed(_)) {}
    // Records can still be appended while the removal is retried.
    append(&group_commit, last + 1..=last + 1);
    wait_until_synced(&events, last + 1);
    assert_eq!(file_count(), before);
    faults.remove.store(false, Ordering::SeqCst);
    let start = Instant::now();
    while file_count() == before {
        assert!(start.elapsed() < TIMEOUT, "the segment was not removed");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Stops group commit, which must take less than a second.
fn stop_promptly(group_commit: GroupCommit) {
    let begin = Instant::now();
    drop(group_commit);
    let took = begin.elapsed();
    assert!(took < Duration::from_secs(1), "stopping took {took:?}");
}

/// Guards against a shutdown that waits for a disk whose syncs fail or never return.
#[test]
fn a_stop_during_an_outage_is_short_and_loses_no_confirmed_record() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let faults = Arc::new(Faults::default());
    let (group_commit, events) = start_with_three_records(directory.path(), &faults);
    faults.sync.store(true, Ordering::SeqCst);
    append(&group_commit, 4..=4);
    assert!(matches!(
        events.recv_timeout(TIMEOUT),
        Ok(StoreEvent::OutageBegan(_))
    ));
    stop_promptly(group_commit);
    assert!(record_numbers(directory.path()).starts_with(&[1, 2, 3]));
    let other_directory = tempfile::tempdir().expect("a temporary directory can be created");
    faults.sync.store(false, Ordering::SeqCst);
    let (group_commit, events) = start(other_directory.path(), &faults);
    append(&group_commit, 1..=1);
    wait_until_synced(&events, 1);
    faults.hang.store(true, Ordering::SeqCst);
    append(&group_commit, 2..=2);
    stop_promptly(group_commit);
    faults.hang.store(false, Ordering::SeqCst);
}

/// Guards against a startup that treats an unreadable log as an empty one. Transient errors are retried until the
/// timeout, and other errors are reported immediately.
#[test]
fn startup_retries_transient_errors_until_its_timeout() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let faults = Arc::new(Faults::default());
    let (group_commit, _events) = start_with_three_records(directory.path(), &faults);
    drop(group_commit);
    let open_directory = || {
        Ok(FailingDirectory {
            disk: Disk::lock(directory.path())?,
            faults: faults.clone(),
        })
    };
    // The fault outlasts the timeout.
    faults.directory.store(true, Ordering::SeqCst);
    let begin = Instant::now();
    let result = open_within(
        Duration::from_millis(300),
        SEGMENT_SIZE,
        open_directory,
        |_| {},
    );
    let message = result
        .map(|_| ())
        .expect_err("the directory cannot be listed")
        .to_string();
    assert!(message.contains("listing the directory"), "{message}");
    assert!(
        begin.elapsed() < Duration::from_secs(5),
        "startup took {:?}",
        begin.elapsed()
    );
    // The fault ends before the third retry.
    let mut retries = 0;
    let on_retry = |_: &LogError| {
        retries += 1;
        faults.directory.store(retries < 3, Ordering::SeqCst);
    };
    let (log, recovered) =
        open_within(TIMEOUT, SEGMENT_SIZE, open_directory, on_retry).expect("the disk works again");
    assert_eq!(
        (recovered.records.len(), log.next_record(), retries),
        (3, 4, 3)
    );
    // A held lock is not a transient error: it is reported immediately.
    let begin = Instant::now();
    let result = open_within(
        TIMEOUT,
        SEGMENT_SIZE,
        || Disk::lock(directory.path()),
        |_| {},
    );
    let message = result
        .map(|_| ())
        .expect_err("the directory is locked")
        .to_string();
    assert!(
        message.contains("another process") && begin.elapsed() < TIMEOUT / 2,
        "{message}"
    );
}
