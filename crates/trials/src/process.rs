//! One scheduler as a real process: its start, its signals, and its bounded log. The process is ended when the
//! value is dropped.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use std::rc::Rc;

use oakshed_fault_injection::Faults;
use oakshed_standin::fleet::now_us;
use rustix::process::Signal;
use serde::Deserialize;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStderr, Command};

use crate::history::LogLine;
use crate::watchdog::{sibling_program, signal, Watchdog};

/// The most lines retained of one scheduler's log, over all its incarnations.
const MOST_LINES: usize = 4_000;

/// A log that its reader and a trial share.
pub type Log = Rc<RefCell<Vec<LogLine>>>;

/// What a scheduler is started with.
pub struct StartOptions<'a> {
    /// Its configuration file.
    pub config: &'a Path,
    /// The operator's file, if any.
    pub operator: Option<&'a Path>,
    /// The clients' address.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// Its system calls that fail, if any.
    pub faults: Option<&'a Faults>,
}

/// A process that runs.
pub struct Process {
    child: Child,
    pid: u32,
    watchdog: Rc<Watchdog>,
}

impl Process {
    /// Starts a scheduler; its log is appended to `log`.
    ///
    /// # Errors
    /// Where the program is not built or cannot be started.
    pub fn start(
        options: &StartOptions<'_>,
        log: Log,
        watchdog: Rc<Watchdog>,
    ) -> io::Result<Process> {
        let mut child = command(options)?.spawn()?;
        let pid = child.id().ok_or(io::ErrorKind::NotFound)?;
        watchdog.watch(pid);
        if let Some(errors) = child.stderr.take() {
            tokio::task::spawn_local(read_log(errors, log));
        }
        Ok(Process {
            child,
            pid,
            watchdog,
        })
    }

    /// Its id.
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// Sends it a signal.
    pub fn signal(&self, which: Signal) {
        _ = signal(self.pid, which);
    }

    /// Whether it has ended by itself.
    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for its end.
    ///
    /// # Errors
    /// Those of waiting.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait().await
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Reaped here, as far as possible: `kill_on_drop` would leave it to a later reaping.
        _ = self.child.start_kill();
        for _ in 0..200 {
            if self.ended() {
                break;
            }
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        self.watchdog.forget(self.pid);
    }
}

fn command(options: &StartOptions<'_>) -> io::Result<Command> {
    let mut command = Command::new(sibling_program("oakshed")?);
    command.args(["serve", "--log-format", "json"]);
    if let Some(operator) = options.operator {
        command.arg("--operator").arg(operator);
    }
    command
        .env("ROUTER_CONFIG", options.config)
        .env("ROUTER_LISTEN", options.listen.to_string())
        .env("ROUTER_DISCOVERY", options.discovery.to_string())
        .env_remove("ROUTER_ADMIN")
        .env_remove("ROUTER_NAME")
        .env_remove("TMPDIR")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .process_group(0)
        .kill_on_drop(true);
    if let Some(faults) = options.faults {
        faults.apply(command.as_std_mut());
    }
    Ok(command)
}

async fn read_log(errors: ChildStderr, log: Log) {
    let mut lines = BufReader::new(errors).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let mut log = log.borrow_mut();
        if log.len() < MOST_LINES {
            log.extend(parse_log_line(&line));
        }
    }
}

#[derive(Deserialize)]
struct JsonLine {
    timestamp: jiff::Timestamp,
    message: String,
    number: Option<u64>,
}

/// Parses a line of the log, except the periodic counters. A line that is not the program's JSON is taken as a
/// message at the time of reading.
#[must_use]
pub fn parse_log_line(line: &str) -> Option<LogLine> {
    let Ok(parsed) = serde_json::from_str::<JsonLine>(line) else {
        return Some(LogLine {
            at: now_us(),
            message: line.to_owned(),
            number: None,
        });
    };
    if parsed.message.starts_with("counts:") {
        return None;
    }
    Some(LogLine {
        at: u64::try_from(parsed.timestamp.as_microsecond()).unwrap_or(0),
        message: parsed.message,
        number: parsed.number,
    })
}
