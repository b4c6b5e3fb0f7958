//! A scheduler process whose system calls fail in the ways that Linux documents, or that is stopped at a call.
//!
//! Each failure test has one row for each call and error, as in docs/design.md, 'System calls'. The process must keep
//! running and answer every request.

mod accept;
mod closing;
mod connect;
mod failed_reads;
mod handover;
mod short;
mod shutdown;
mod stalls;
mod start;
mod streams;

#[path = "../common/readiness.rs"]
mod readiness;
#[path = "../common/settings.rs"]
mod settings;

use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use oakshed_fault_injection::Faults;
use oakshed_standin::*;
use readiness::until_ready;
use settings::edit;

/// Runs a check for each row, [`CONCURRENT_ROWS`] at a time, while no other test of this binary runs: dozens of
/// schedulers would be delayed by a lack of cores rather than by the faults.
fn for_each_row<R: Copy + Send>(rows: impl IntoIterator<Item = R>, check: impl Fn(R) + Sync) {
    let _guard = run_exclusively();
    let rows: Vec<R> = rows.into_iter().collect();
    for chunk in rows.chunks(CONCURRENT_ROWS) {
        std::thread::scope(|scope| {
            for row in chunk.iter().copied() {
                let check = &check;
                scope.spawn(move || check(row));
            }
        });
    }
}

/// A latency objective that leaves queued requests seconds of time.
const LONG_OBJECTIVE: [(&str, &str); 1] = [(r#""aim-ms":120"#, r#""aim-ms":4000"#)];
/// The number of descriptors that the configuration allows.
const DESCRIPTORS: usize = 1_024;
/// The longest pause that a process must tolerate.
const MAX_PROCESS_PAUSE: Duration = Duration::from_millis(150);
const CONCURRENT_ROWS: usize = 8;

/// Excludes other tests of this binary while the guard is held. A failed test does not block the others.
fn run_exclusively() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a scheduler with faults of its system calls and edits of its configuration, and waits until it is ready. Rows
/// of the fault plan may be active from the start.
fn start_with_faults(discovery: &Discovery, faults: &Faults, edits: &[(&str, &str)]) -> Program {
    start_limited_with_faults(discovery, faults, DESCRIPTORS, edits)
}

/// As [`start_with_faults`], with a limit on the number of descriptors.
fn start_limited_with_faults(
    discovery: &Discovery,
    faults: &Faults,
    descriptors: usize,
    edits: &[(&str, &str)],
) -> Program {
    let path = config(discovery.peer.address, &discovery.known(), descriptors);
    edit(&path, edits);
    let mut command = Command::new(Program::binary());
    command
        .arg("serve")
        .env_remove("TMPDIR")
        .env_remove("ROUTER_ADMIN")
        .env("ROUTER_CONFIG", &path);
    run_until_ready(faults.apply(&mut command), path)
}

/// As [`start_with_faults`], at a place where another process may already serve.
fn start_at_with_faults(place: &Place, discovery: &Discovery, faults: &Faults) -> Program {
    let path = config(discovery.peer.address, &discovery.known(), DESCRIPTORS);
    let mut command = Command::new(Program::binary());
    command
        .arg("serve")
        .env("TMPDIR", &place.folder)
        .env("ROUTER_LISTEN", place.listen.to_string());
    command
        .env_remove("ROUTER_ADMIN")
        .env("ROUTER_CONFIG", &path);
    run_until_ready(faults.apply(&mut command), path)
}

fn run_until_ready(command: &mut Command, path: std::path::PathBuf) -> Program {
    let program = Program::run(command, path);
    until_ready(program.address);
    program
}
