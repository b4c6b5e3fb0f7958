//! A process beside the trial that ends the processes which the trial has started, should the trial itself be
//! killed.
//!
//! It gets each process by its id and start time, so that a process id that the system has reused is left alone.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;

use rustix::process::{kill_process, Pid, Signal};

/// Prefix of the names of trials' folders.
pub const FOLDER_PREFIX: &str = "oakshed-trials-";

/// The path of a program that cargo builds into the same folder as this one.
///
/// # Errors
/// Fails with [`io::ErrorKind::NotFound`] where the program is not built.
pub fn sibling_program(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.ancestors().find(|p| p.join(name).is_file());
    let missing = || {
        io::Error::new(
            io::ErrorKind::NotFound,
            format!("{name} is not built; cargo build --bins"),
        )
    };
    Ok(folder.ok_or_else(missing)?.join(name))
}

/// When a process started, in the kernel's ticks (proc(5), stat, field 22); nothing where there is none.
fn started(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name, in brackets, may hold anything.
    stat.rsplit_once(')')?
        .1
        .split_ascii_whitespace()
        .nth(19)?
        .parse()
        .ok()
}

/// Sends a signal to a process.
///
/// # Errors
/// Where there is no such process any more.
pub fn signal(pid: u32, signal: Signal) -> io::Result<()> {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
    Ok(kill_process(
        pid.ok_or(io::ErrorKind::InvalidInput)?,
        signal,
    )?)
}

/// The watchdog's process: reads what is to be watched until its standard input ends, then ends what still
/// runs and removes the trial's folder.
pub fn run(input: impl BufRead) {
    let mut watched: BTreeMap<u32, u64> = BTreeMap::new();
    let mut folder = None;
    for line in input.lines().map_while(Result::ok) {
        if let Some(path) = line.strip_prefix("in ") {
            folder = Some(PathBuf::from(path));
            continue;
        }
        let fields: Vec<&str> = line.split(' ').collect();
        match fields[..] {
            ["+", pid, start] => {
                if let (Ok(pid), Ok(start)) = (pid.parse(), start.parse()) {
                    watched.insert(pid, start);
                }
            }
            ["-", pid] => {
                if let Ok(pid) = pid.parse() {
                    watched.remove(&pid);
                }
            }
            _ => {}
        }
    }
    for (pid, start) in watched {
        if started(pid) == Some(start) {
            _ = signal(pid, Signal::KILL);
        }
    }
    if let Some(path) = folder.filter(|path| is_trial_folder(path)) {
        _ = std::fs::remove_dir_all(path);
    }
}

/// Whether a trial made this folder. Nothing else is removed, whatever the input names.
fn is_trial_folder(path: &Path) -> bool {
    let named = path
        .file_name()
        .is_some_and(|name| name.to_string_lossy().starts_with(FOLDER_PREFIX));
    named && path.starts_with(std::env::temp_dir()) && path.is_dir()
}

/// The trial's end of the pipe to the watchdog.
pub struct Watchdog {
    child: Child,
    input: Mutex<Option<ChildStdin>>,
}

impl Watchdog {
    /// Starts the watchdog's process, out of reach of a terminal's Ctrl-C.
    ///
    /// # Errors
    /// Where the program `oakshed-trials` is not built, or cannot be started.
    pub fn start() -> io::Result<Watchdog> {
        let mut command = Command::new(sibling_program("oakshed-trials")?);
        command
            .arg("watchdog")
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .process_group(0);
        let mut child = command.spawn()?;
        let input = Mutex::new(child.stdin.take());
        Ok(Watchdog { child, input })
    }

    /// Registers the folder that is to be removed after the trial.
    pub fn folder(&self, path: &Path) {
        self.send(format_args!("in {}", path.display()));
    }

    /// Registers a process that is to be ended after the trial.
    pub fn watch(&self, pid: u32) {
        if let Some(start) = started(pid) {
            self.send(format_args!("+ {pid} {start}"));
        }
    }

    /// Unregisters a process that has ended.
    pub fn forget(&self, pid: u32) {
        self.send(format_args!("- {pid}"));
    }

    fn send(&self, line: std::fmt::Arguments<'_>) {
        let Ok(mut input) = self.input.lock() else {
            return;
        };
        if let Some(input) = input.as_mut() {
            _ = writeln!(input, "{line}");
        }
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        // The watchdog finishes when its input ends.
        if let Ok(mut input) = self.input.lock() {
            *input = None;
        }
        _ = self.child.wait();
    }
}
