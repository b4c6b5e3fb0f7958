//! Group commit on a real directory whose calls fail, or hang, for a while.
//!
//! The faults are injected before the real disk; the tests wait for notifications, never for a span of time.

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

const SIZE: usize = 64 << 10;
/// A failed test, not a slow machine, waits as long.
const PATIENCE: Duration = Duration::from_secs(30);

/// What fails.
#[derive(Default)]
struct Faults {
    write: AtomicBool,
    sync: AtomicBool,
    directory: AtomicBool,
    remove: AtomicBool,
    hang: AtomicBool,
    injected: AtomicU64,
}

impl Faults {
    fn check(&self, fault: &AtomicBool, errno: i32) -> io::Result<()> {
        if fault.load(Ordering::SeqCst) {
            self.injected.fetch_add(1, Ordering::SeqCst);
            return Err(io::Error::from_raw_os_error(errno));
        }
        Ok(())
    }
}

const EIO: i32 = 5;
const ENOSPC: i32 = 28;

struct Failing {
    disk: Disk,
    faults: Arc<Faults>,
}

impl LogDirectory for Failing {
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
    fn write(&self, file: &File, at: usize, bytes: &[u8]) -> io::Result<()> {
        if let Err(error) = self.faults.check(&self.faults.write, ENOSPC) {
            // Half of it arrives.
            self.disk.write(file, at, &bytes[..bytes.len() / 2])?;
            return Err(error);
        }
        self.disk.write(file, at, bytes)
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

fn start(path: &Path, faults: &Arc<Faults>) -> (GroupCommit, Receiver<StoreEvent>) {
    let disk = Disk::lock(path).expect("the directory");
    let (log, _) = Log::open(
        Failing {
            disk,
            faults: faults.clone(),
        },
        SIZE,
    )
    .expect("a log");
    assert_eq!(log.next_record(), 1);
    let (tx, rx) = channel();
    (
        GroupCommit::start(log, move |event| _ = tx.send(event)).expect("a thread"),
        rx,
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

/// Waits until all up to a number is durable; what was notified meanwhile.
fn until_synced(events: &Receiver<StoreEvent>, last: u64) -> Vec<StoreEvent> {
    let mut seen = Vec::new();
    loop {
        let event = events.recv_timeout(PATIENCE).expect("an event");
        let done = matches!(event, StoreEvent::Synced { number, .. } if number == last);
        seen.push(event);
        if done {
            return seen;
        }
    }
}

fn numbers_on(path: &Path) -> Vec<u64> {
    let disk = Disk::lock(path).expect("nobody has it");
    let (_, recovered) = Log::open(disk, SIZE).expect("not damaged");
    recovered.records.iter().map(|r| r.0).collect()
}

/// A started group commit whose folder has the records 1 to 3.
fn with_three_records(folder: &Path, faults: &Arc<Faults>) -> (GroupCommit, Receiver<StoreEvent>) {
    let (group_commit, events) = start(folder, faults);
    append(&group_commit, 1..=3);
    until_synced(&events, 3);
    (group_commit, events)
}

/// An outage of one kind: nothing is durable during it, all is after it, and two events report it.
fn outage(name: &str, fault: impl Fn(&Faults) -> &AtomicBool) {
    let folder = tempfile::tempdir().expect("a folder");
    let faults = Arc::new(Faults::default());
    let (group_commit, events) = with_three_records(folder.path(), &faults);
    fault(&faults).store(true, Ordering::SeqCst);
    append(&group_commit, 4..=5);
    assert!(
        matches!(
            events.recv_timeout(PATIENCE),
            Ok(StoreEvent::OutageBegan(_))
        ),
        "{name}"
    );
    // It is tried again, and what comes meanwhile waits too.
    let injected = faults.injected.load(Ordering::SeqCst);
    let start = Instant::now();
    let mut number = 5;
    while faults.injected.load(Ordering::SeqCst) < injected + 4 {
        assert!(start.elapsed() < PATIENCE, "{name}: no retry");
        number += 1;
        append(&group_commit, number..=number);
        std::thread::sleep(Duration::from_millis(5));
    }
    fault(&faults).store(false, Ordering::SeqCst);
    let seen = until_synced(&events, number);
    let began = seen
        .iter()
        .filter(|event| matches!(event, StoreEvent::OutageBegan(_)))
        .count();
    assert_eq!(began, 0, "{name}: one event is enough");
    assert!(
        matches!(
            events.recv_timeout(PATIENCE),
            Ok(StoreEvent::OutageEnded { .. })
        ),
        "{name}"
    );
    drop(group_commit);
    assert_eq!(
        numbers_on(folder.path()),
        (1..=number).collect::<Vec<_>>(),
        "{name}"
    );
}

#[test]
fn records_wait_for_failing_syncs_to_recover() {
    outage("sync", |faults| &faults.sync);
}

#[test]
fn records_wait_for_failing_writes_to_recover() {
    outage("write", |faults| &faults.write);
}

#[test]
fn removal_of_segments_is_retried() {
    let folder = tempfile::tempdir().expect("a folder");
    let faults = Arc::new(Faults::default());
    let (group_commit, events) = start(folder.path(), &faults);
    let files = || std::fs::read_dir(folder.path()).expect("there").count();
    // More than two files' worth.
    let last = (2 * SIZE / 30) as u64;
    append(&group_commit, 1..=last);
    until_synced(&events, last);
    let before = files();
    faults.remove.store(true, Ordering::SeqCst);
    group_commit.trim(last);
    let failed = || events.recv_timeout(PATIENCE).expect("an event");
    while !matches!(failed(), StoreEvent::TrimFailed(_)) {}
    // Appends go on meanwhile.
    append(&group_commit, last + 1..=last + 1);
    until_synced(&events, last + 1);
    assert_eq!(files(), before);
    faults.remove.store(false, Ordering::SeqCst);
    let start = Instant::now();
    while files() == before {
        assert!(start.elapsed() < PATIENCE, "never removed");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Stops a group commit, in less than a second.
fn stop_at_once(group_commit: GroupCommit) {
    let begin = Instant::now();
    drop(group_commit);
    let took = begin.elapsed();
    assert!(took < Duration::from_secs(1), "{took:?}");
}

/// A stop comes while the disk fails, or does not answer at all.
#[test]
fn a_stop_during_an_outage_is_short_and_loses_no_confirmed_record() {
    let folder = tempfile::tempdir().expect("a folder");
    let faults = Arc::new(Faults::default());
    let (group_commit, events) = with_three_records(folder.path(), &faults);
    faults.sync.store(true, Ordering::SeqCst);
    append(&group_commit, 4..=4);
    assert!(matches!(
        events.recv_timeout(PATIENCE),
        Ok(StoreEvent::OutageBegan(_))
    ));
    stop_at_once(group_commit);
    assert!(numbers_on(folder.path()).starts_with(&[1, 2, 3]));
    let other = tempfile::tempdir().expect("a folder");
    faults.sync.store(false, Ordering::SeqCst);
    let (group_commit, events) = start(other.path(), &faults);
    append(&group_commit, 1..=1);
    until_synced(&events, 1);
    faults.hang.store(true, Ordering::SeqCst);
    append(&group_commit, 2..=2);
    stop_at_once(group_commit);
    faults.hang.store(false, Ordering::SeqCst);
}

/// A start that the system fails: tried again for a while, and never an empty log in place of what is there.
#[test]
fn a_start_retries_for_a_while_and_then_reports_the_fault() {
    let folder = tempfile::tempdir().expect("a folder");
    let faults = Arc::new(Faults::default());
    let (group_commit, _events) = with_three_records(folder.path(), &faults);
    drop(group_commit);
    let failing = || {
        Ok(Failing {
            disk: Disk::lock(folder.path())?,
            faults: faults.clone(),
        })
    };
    // For good, as far as this start goes.
    faults.directory.store(true, Ordering::SeqCst);
    let begin = Instant::now();
    let outcome = open_within(Duration::from_millis(300), SIZE, failing, |_| {});
    let message = outcome
        .map(|_| ())
        .expect_err("nothing can be read")
        .to_string();
    assert!(message.contains("listing the directory"), "{message}");
    assert!(
        begin.elapsed() < Duration::from_secs(5),
        "{:?}",
        begin.elapsed()
    );
    // For a moment.
    let mut tries = 0;
    let on_fault = |_: &LogError| {
        tries += 1;
        faults.directory.store(tries < 3, Ordering::SeqCst);
    };
    let (log, recovered) =
        open_within(PATIENCE, SIZE, failing, on_fault).expect("the disk works again");
    assert_eq!(
        (recovered.records.len(), log.next_record(), tries),
        (3, 4, 3)
    );
    // What no retry can change is reported at once.
    let begin = Instant::now();
    let outcome = open_within(PATIENCE, SIZE, || Disk::lock(folder.path()), |_| {});
    let message = outcome.map(|_| ()).expect_err("it is in use").to_string();
    assert!(
        message.contains("another process") && begin.elapsed() < PATIENCE / 2,
        "{message}"
    );
}
