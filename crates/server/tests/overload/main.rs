//! Real processes under clients and workers that hold as much as they can: memory, other clients' turns, and ids.
//!
//! The memory is that of all processes of one scheduler together, as `/proc` tells it, with the files in their shared
//! directory. Limits are the least that a deployment sets: 32 MB, and 256 to 1,024 descriptors.

mod clients;
mod cpu_time;
mod crowd;
mod duplicate_ids;
mod fairness;
mod flood;
mod memory;
mod memory_limit;
mod scheduler;
mod soak;
mod workers;

use std::io::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The least memory limit of a deployment, in MB.
const MEMORY_MB: usize = 32;

/// Whether `KNOWN-RED.txt` lists a test, which is then passed over and printed. `OAKSHED_KNOWN_RED=1` runs it anyway.
fn is_known_red(test: &str) -> bool {
    const LIST: &str = include_str!("../../../../KNOWN-RED.txt");
    let is_listed = LIST.lines().any(|line| line.trim() == test);
    let is_passed_over = is_listed && std::env::var_os("OAKSHED_KNOWN_RED").is_none();
    if is_passed_over {
        // Not `println`, which the test harness captures.
        _ = writeln!(std::io::stderr(), "known red, passed over: {test}");
    }
    is_passed_over
}

/// Only one test at a time uses the machine.
fn exclusive_use() -> MutexGuard<'static, ()> {
    static IN_USE: Mutex<()> = Mutex::new(());
    IN_USE.lock().unwrap_or_else(PoisonError::into_inner)
}
