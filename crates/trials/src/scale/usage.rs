//! What a process has used, as the kernel counts it in /proc; reading does not stop or slow the process.

use std::io;
use std::path::Path;

/// Clock ticks a second in /proc/PID/stat, on each architecture that Linux runs on today (proc(5)).
const TICKS_PER_SECOND: f64 = 100.0;
/// The fields of user and system time, counted after the closing bracket of the name.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Processor time and memory.
pub(super) struct Usage {
    /// Processor time of all threads since the start, in seconds.
    pub(super) cpu: f64,
    /// Peak resident memory, in megabytes.
    pub(super) memory: f64,
}

/// What the process has used so far.
pub(super) fn of(pid: u32) -> io::Result<Usage> {
    let folder = Path::new("/proc").join(pid.to_string());
    let stat = std::fs::read_to_string(folder.join("stat"))?;
    let status = std::fs::read_to_string(folder.join("status"))?;
    let malformed = || io::Error::from(io::ErrorKind::InvalidData);
    Ok(Usage {
        cpu: cpu_seconds(&stat).ok_or_else(malformed)?,
        memory: peak_megabytes(&status).ok_or_else(malformed)?,
    })
}

/// How many descriptors the process has open.
pub(super) fn descriptors(pid: u32) -> io::Result<u64> {
    let open = std::fs::read_dir(Path::new("/proc").join(pid.to_string()).join("fd"))?;
    Ok(open.count() as u64)
}

fn cpu_seconds(stat: &str) -> Option<f64> {
    // The name, in brackets, may contain spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_ascii_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
    Some((ticks(USER_TIME)? + ticks(SYSTEM_TIME)?) as f64 / TICKS_PER_SECOND)
}

fn peak_megabytes(status: &str) -> Option<f64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: f64 = line.split_ascii_whitespace().next()?.parse().ok()?;
    Some(kilobytes / 1024.0)
}
