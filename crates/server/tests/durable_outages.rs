//! Durable jobs while the disk of the store fails temporarily, through injected faults of system calls.
//!
//! Each call has an answer, no transfer runs twice, and a final answer stays the same through the outage, a kill during
//! it and the next incarnation.

mod common;
#[path = "common/readiness.rs"]
mod readiness;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use common::{job_id, keyed_request, TestDir, WORKER_AGE};
use oakshed_fault_injection::{Faults, Switch};
use oakshed_standin::*;
use readiness::until_ready;

/// The number of concurrent clients.
const CLIENTS: usize = 40;
/// The duration of each fault.
const OUTAGE: Duration = Duration::from_millis(200);
/// The calls that fail on files of the store, and their errors.
const ROWS: [&str; 8] = [
    "fdatasync EIO",
    "pwrite ENOSPC",
    "pwrite EIO",
    "fsync EIO",
    "fallocate ENOSPC",
    "rename EIO",
    "unlink EIO",
    "open EIO",
];
/// The row of failed syncs, after which the log begins a new segment.
const SYNC: usize = 0;
/// The first of the rows whose calls are made only for a new segment.
const FIRST_NEW_SEGMENT_ROW: usize = 3;

fn disk_faults() -> Faults {
    let rows: Vec<String> = ROWS
        .iter()
        .map(|row| format!("{row} 1/1 0 0 on=/store/"))
        .collect();
    Faults::new(&rows.join(";"))
}

/// Workers, and discovery that lists them. The workers claim an early start, as the scheduler sends little to workers
/// in slow start.
struct Fleet {
    ledgers: Vec<PathBuf>,
    discovery: Discovery,
}

impl Fleet {
    fn start(dir: &Path) -> Fleet {
        let names = ["s-0", "s-1", "s-2"];
        let ledgers: Vec<PathBuf> = names.iter().map(|name| dir.join(name)).collect();
        let mut workers = Vec::new();
        for ledger in &ledgers {
            Ledger::begin(ledger, WORKER_AGE).expect("a ledger");
            let service = Duration::from_millis(10);
            let options = WorkerOptions {
                ledger: Some(ledger.clone()),
                service,
                slots: 8,
                queue: 64,
                ..WorkerOptions::default()
            };
            workers.push(Worker::start(options).expect("a worker"));
        }
        let listed: Vec<(&str, SocketAddr)> = names
            .iter()
            .zip(&workers)
            .map(|(name, worker)| (*name, worker.address))
            .collect();
        let discovery = Discovery::new(&listed);
        for (name, worker) in names.iter().zip(&workers) {
            discovery.started(name, worker.since_ms);
        }
        Fleet { ledgers, discovery }
    }

    /// The number of transfers among the first `jobs` jobs that ran more than once.
    fn transfers_run_twice(&self, jobs: u64) -> usize {
        let starts = Ledger::starts(self.ledgers.iter().map(PathBuf::as_path)).expect("read");
        let transfers = (0..jobs).filter(|n| class_of(*n) == "transfer");
        let runs = transfers.map(|n| starts.get(&job_id(&format!("k-{n}"))).copied().unwrap_or(0));
        runs.filter(|runs| *runs > 1).count()
    }
}

fn class_of(n: u64) -> &'static str {
    if n % 4 == 0 {
        "new-plate"
    } else {
        "transfer"
    }
}

/// What all clients sent and received.
#[derive(Default)]
struct Clients {
    stop: AtomicBool,
    next: AtomicU64,
    calls: AtomicU64,
    unanswered: AtomicU64,
    rejected: AtomicU64,
    timed_out: AtomicU64,
    answers: Mutex<HashMap<u64, (u16, Vec<u8>)>>,
}

impl Clients {
    fn served(&self) -> usize {
        self.answers
            .lock()
            .expect("not poisoned")
            .values()
            .filter(|(status, _)| *status == 200)
            .count()
    }

    /// Runs one client, which sends job after job, each with its key until it has a final answer.
    fn run_client(&self, at: SocketAddr) {
        while !self.stop.load(Ordering::SeqCst) {
            let n = self.next.fetch_add(1, Ordering::SeqCst);
            let start = Instant::now();
            for retry in 0.. {
                let text = keyed_request(
                    class_of(n),
                    &format!("r-{n}-{retry}"),
                    &format!("k-{n}"),
                    "",
                );
                self.calls.fetch_add(1, Ordering::SeqCst);
                let call = Instant::now();
                let counter = match send_raw(at, &text) {
                    Some(answer) if matches!(answer.status(), 200 | 502) => {
                        let answer = (answer.status(), answer.body);
                        self.answers.lock().expect("not poisoned").insert(n, answer);
                        break;
                    }
                    Some(answer) if answer.status() == 503 => {
                        assert!(
                            answer.field("retry-after").is_some(),
                            "a rejection without Retry-After"
                        );
                        &self.rejected
                    }
                    Some(answer) if answer.status() == 504 => &self.timed_out,
                    Some(answer) => panic!("job {n}: {}", answer.first),
                    None => &self.unanswered,
                };
                counter.fetch_add(1, Ordering::SeqCst);
                // A client waits for 5 s, and 1 s more for a last sync; each outage is shorter than that.
                assert!(
                    call.elapsed() < Duration::from_secs(5),
                    "job {n} waited for {:?}",
                    call.elapsed()
                );
                assert!(
                    start.elapsed() < Duration::from_secs(60),
                    "job {n} has no final answer"
                );
                std::thread::sleep(Duration::from_millis(20)); // pause between calls
            }
        }
    }

    /// Sends each finished job again and checks that the answer is the same.
    fn assert_answers_unchanged(&self, at: SocketAddr) {
        for (n, first) in self.answers.lock().expect("not poisoned").iter() {
            let text = keyed_request(class_of(*n), &format!("again-{n}"), &format!("k-{n}"), "");
            let again = send_raw(at, &text).expect("an answer");
            assert_eq!(
                (again.status(), &again.body),
                (first.0, &first.1),
                "job {n}: the answer changed"
            );
        }
    }
}

/// The command that starts the scheduler, and the path of its configuration.
fn scheduler_command(fleet: &Fleet, dir: &TestDir, faults: &Faults) -> (Command, PathBuf) {
    let path = config(fleet.discovery.peer.address, &fleet.discovery.known(), 1024);
    let operator = dir.0.join("operator.json");
    std::fs::write(&operator, dir.operator_config(true)).expect("written");
    let mut command = Command::new(Program::binary());
    command
        .args(["serve", "--operator"])
        .arg(operator)
        .env("ROUTER_CONFIG", &path);
    command
        .env_remove("TMPDIR")
        .env_remove("ROUTER_ADMIN")
        .stdin(Stdio::null());
    command.env("ROUTER_DISCOVERY", fleet.discovery.peer.address.to_string());
    faults.apply(&mut command);
    (command, path)
}

#[test]
fn clients_are_answered_during_disk_faults_and_served_after() {
    let dir = TestDir::new("outages");
    let fleet = Fleet::start(&dir.0);
    let faults = disk_faults();
    let (mut start, path) = scheduler_command(&fleet, &dir, &faults);
    let mut program = Program::run(&mut start, path.clone());
    until_ready(program.address);
    let clients = Clients::default();
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| clients.run_client(program.address));
        }
        until("a first result", || clients.served() > 0);
        for (row, name) in ROWS.iter().enumerate() {
            let strikes = faults.strikes(row);
            faults.switch(row, Switch::On);
            if row >= FIRST_NEW_SEGMENT_ROW {
                let failed_syncs = faults.strikes(SYNC);
                faults.switch(SYNC, Switch::On);
                until("a failed sync", || faults.strikes(SYNC) > failed_syncs);
                faults.switch(SYNC, Switch::Off);
            }
            std::thread::sleep(OUTAGE);
            faults.switch(row, Switch::Off);
            let struck = faults.strikes(row) - strikes;
            let before = clients.served();
            until("results after the outage", || {
                clients.served() > before + CLIENTS
            });
            println!("{name}: {struck} calls failed, {before} jobs served by the end of the fault");
            // The store calls unlink only if it has a file to remove.
            assert!(
                struck > 0 || name.starts_with("unlink"),
                "{name}: no call failed"
            );
        }
        clients.stop.store(true, Ordering::SeqCst);
    });
    let (calls, jobs) = (
        clients.calls.load(Ordering::SeqCst),
        clients.next.load(Ordering::SeqCst),
    );
    let (unanswered, rejected) = (&clients.unanswered, clients.rejected.load(Ordering::SeqCst));
    println!(
        "{calls} calls for {jobs} jobs: {} served, {rejected} rejected, {} timed out, {} unanswered",
        clients.served(),
        clients.timed_out.load(Ordering::SeqCst),
        unanswered.load(Ordering::SeqCst)
    );
    assert_eq!(unanswered.load(Ordering::SeqCst), 0, "{}", program.log());
    assert_eq!(
        clients.timed_out.load(Ordering::SeqCst),
        0,
        "{}",
        program.log()
    );
    assert!(
        program.child.try_wait().expect("a state").is_none(),
        "{}",
        program.log()
    );
    assert_eq!(fleet.transfers_run_twice(jobs), 0);
    clients.assert_answers_unchanged(program.address);
    let log = program.log();
    let count = |text: &str| log.lines().filter(|line| line.contains(text)).count();
    let (begun, ended) = (count("wait for the disk"), count("the disk works again"));
    assert!(
        begun >= 3 && begun == ended && begun <= ROWS.len(),
        "{begun} outages begun, {ended} ended: {log}"
    );
    // A shutdown during an outage ends in time, and the next incarnation has all confirmed answers.
    faults.switch(SYNC, Switch::On);
    let at = program.address;
    let late = std::thread::spawn(move || {
        send_raw(at, &keyed_request("transfer", "r-late", "k-late", ""))
    });
    until("a job that waits for the disk", || {
        program.log().matches("wait for the disk").count() > begun
    });
    let terminated_at = Instant::now();
    program.signal("-TERM");
    // The deadline of the request is later than the exit of the process.
    let answer = late.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status(), 504, "answered without a confirmed write");
    assert_eq!(program.wait().code(), Some(0), "{}", program.log());
    assert!(
        terminated_at.elapsed() < Duration::from_millis(3_700),
        "{:?}",
        terminated_at.elapsed()
    );
    faults.switch(SYNC, Switch::Off);
    let (mut start, path) = scheduler_command(&fleet, &dir, &faults);
    let program = Program::run(&mut start, path);
    until_ready(program.address);
    clients.assert_answers_unchanged(program.address);
}

/// The number of kills by SIGKILL, which `OAKSHED_KILLS` overrides.
fn kill_count() -> u32 {
    std::env::var("OAKSHED_KILLS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(25)
}

/// A process that is killed when dropped.
struct KillOnDrop(Child);

impl KillOnDrop {
    fn kill(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        self.kill();
    }
}

#[test]
fn kills_during_outages_run_nothing_twice_and_lose_no_answer() {
    let dir = TestDir::new("outage-kills");
    let fleet = Fleet::start(&dir.0);
    let faults = disk_faults();
    let (mut start, path) = scheduler_command(&fleet, &dir, &faults);
    let port = ReservedPort::new();
    let at = port.address;
    let log = std::fs::File::create(dir.0.join("log")).expect("a log");
    start.env("ROUTER_LISTEN", at.to_string()).stderr(log);
    let mut program = KillOnDrop(start.spawn().expect("started"));
    until_ready(at);
    let mut rng = fastrand::Rng::with_seed(7);
    let clients = Clients::default();
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| clients.run_client(at));
        }
        for _ in 0..kill_count() {
            let before = clients.served();
            until("results between two kills", || {
                clients.served() > before + 8
            });
            let row = rng.usize(0..ROWS.len());
            faults.switch(row, Switch::On);
            faults.switch(SYNC, Switch::On);
            std::thread::sleep(Duration::from_millis(rng.u64(5..150)));
            if rng.bool() {
                faults.switch(SYNC, Switch::Off);
                std::thread::sleep(Duration::from_millis(rng.u64(5..50)));
            }
            program.kill();
            faults.switch(SYNC, Switch::Off);
            // Some starts meet the fault too, and retry.
            let faulty_start = rng.bool();
            if !faulty_start {
                faults.switch(row, Switch::Off);
            }
            program.0 = start.spawn().expect("started");
            if faulty_start {
                std::thread::sleep(Duration::from_millis(rng.u64(50..500)));
                faults.switch(row, Switch::Off);
            }
        }
        until_ready(at);
        clients.stop.store(true, Ordering::SeqCst);
    });
    let jobs = clients.next.load(Ordering::SeqCst);
    let struck: u64 = (0..ROWS.len()).map(|row| faults.strikes(row)).sum();
    println!(
        "{} kills, {struck} calls failed, {jobs} jobs, {} served",
        kill_count(),
        clients.served()
    );
    assert!(struck > 0, "no call failed");
    clients.assert_answers_unchanged(at);
    assert_eq!(fleet.transfers_run_twice(jobs), 0);
    drop(program);
    _ = std::fs::remove_file(path);
}
