//! The successive processes of one scheduler, at one address and in one shared directory.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant, SystemTime};

use oakshed_standin::{config, until, Discovery, Place, Program, ADMIN};

use crate::memory::MemoryMonitor;
use crate::workers::Workers;

/// When SIGKILL follows SIGTERM at the earliest: the longest deadline, taken as 3 s where it is longer, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// Within this a process has asked for its predecessor's socket, and still waits for the answer.
const START_TIME: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The limits of a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

/// A scheduler whose processes are started, killed and replaced.
pub struct Scheduler {
    pub place: Place,
    pub limits: Limits,
    pub memory: MemoryMonitor,
    pub workers: Workers,
    discovery: Discovery,
    edits: Vec<(&'static str, &'static str)>,
    /// The processes that run, the latest one last.
    pub processes: Vec<Program>,
}

/// The program as it is deployed, if it has been built from the present sources; otherwise the one that is built for the
/// tests, which is slower and larger.
fn binary() -> PathBuf {
    let built_for_tests = Program::binary();
    let target = built_for_tests.ancestors().nth(2).expect("target folder");
    let release = target.join("release/oakshed");
    if modified(&release) >= newest_source() || std::env::var_os("CI").is_some() {
        return release;
    }
    built_for_tests
}

fn modified(path: &Path) -> Option<SystemTime> {
    path.metadata().and_then(|data| data.modified()).ok()
}

/// When the newest source file of any crate was changed.
fn newest_source() -> Option<SystemTime> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent()?;
    let entries = std::fs::read_dir(crates).ok()?.flatten();
    entries
        .filter_map(|entry| newest_file(&entry.path().join("src")))
        .max()
}

fn newest_file(directory: &Path) -> Option<SystemTime> {
    let entries = std::fs::read_dir(directory).ok()?.flatten();
    let times = entries.filter_map(|entry| match entry.path() {
        path if path.is_dir() => newest_file(&path),
        path => modified(&path),
    });
    times.max()
}

impl Scheduler {
    pub fn start(limits: Limits) -> Scheduler {
        Scheduler::start_with(limits, &[])
    }

    /// Starts a process with replacements in its configuration.
    pub fn start_with(limits: Limits, edits: &[(&'static str, &'static str)]) -> Scheduler {
        let workers = Workers::start();
        let place = Place::new();
        let mut scheduler = Scheduler {
            memory: MemoryMonitor::start(place.folder.clone()),
            place,
            limits,
            edits: edits.to_vec(),
            discovery: Discovery::new(&workers.list()),
            workers,
            processes: Vec::new(),
        };
        scheduler.start_process();
        scheduler
    }

    pub fn address(&self) -> SocketAddr {
        self.place.listen
    }

    /// Starts another process, which takes over from one that runs, and waits until it is ready.
    pub fn start_process(&mut self) {
        let template = config(
            self.discovery.peer.address,
            &self.discovery.known(),
            self.limits.sockets,
        );
        let memory = format!("\"memory_mb\":{}", self.limits.memory_mb);
        let text = std::fs::read_to_string(&template)
            .expect("written")
            .replace("\"memory_mb\":192", &memory)
            .replace(ADMIN.0, ADMIN.1);
        let text = self
            .edits
            .iter()
            .fold(text, |text, (from, to)| text.replace(from, to));
        _ = std::fs::remove_file(&template);
        let path = self
            .place
            .folder
            .with_extension(format!("{}.json", self.processes.len()));
        std::fs::write(&path, text).expect("written");
        let mut command = Command::new(binary());
        command
            .arg("serve")
            .env("TMPDIR", &self.place.folder)
            .env("ROUTER_LISTEN", self.place.listen.to_string())
            .env("ROUTER_DISCOVERY", self.discovery.peer.address.to_string())
            .env("ROUTER_CONFIG", &path)
            .env_remove("ROUTER_ADMIN");
        let program = Program::run(&mut command, path);
        self.memory.add(program.child.id());
        let admin = program.admin();
        self.processes.push(program);
        until("readiness of the new process", || {
            oakshed_standin::call(admin, "readyz").starts_with("YES")
        });
    }

    /// Has the oldest process notice only together that the latest one is killed and that another one has started.
    pub fn replace_successor_at_once(&mut self) {
        self.processes[0].signal("-STOP");
        until("a stop", || self.processes[0].is_stopped());
        self.kill_latest();
        let oldest = self.processes[0].child.id().to_string();
        let resume = std::thread::spawn(move || {
            std::thread::sleep(START_TIME);
            Command::new("kill").args(["-CONT", &oldest]).status()
        });
        self.start_process();
        let resumed = resume.join().expect("no panic").expect("kill runs");
        assert!(resumed.success());
    }

    /// Kills the oldest process, as the platform does.
    pub fn kill_oldest(&mut self) {
        drop(self.processes.remove(0));
    }

    /// Replaces the running process: the new one takes over, and the old one gets SIGTERM and exits.
    pub fn hot_restart(&mut self) {
        self.start_process();
        let mut old = self.processes.remove(0);
        old.signal("-TERM");
        let status = old.wait();
        assert_eq!(status.code(), Some(0), "{}", old.log());
    }

    /// Replaces the running process, and kills it after SIGTERM as early as the platform does if it has not exited.
    pub fn hot_restart_with_kill(&mut self) {
        self.start_process();
        let mut old = self.processes.remove(0);
        old.signal("-TERM");
        let kill_at = Instant::now() + EARLIEST_KILL;
        while Instant::now() < kill_at && old.child.try_wait().expect("its state").is_none() {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Kills the process that was started last.
    pub fn kill_latest(&mut self) {
        self.processes.pop();
    }

    /// Fails if a process has ended, or if all processes together have held more than the limit.
    #[track_caller]
    pub fn assert_within_limit(&mut self) {
        for program in &mut self.processes {
            let ended = program.child.try_wait().expect("its state");
            assert_eq!(ended, None, "a process ended: {}", program.log());
        }
        let (peak, limit) = (self.memory.peak_kib(), self.limits.memory_mb << 10);
        println!(
            "peak {peak} of {limit} KiB, {} sockets",
            self.limits.sockets
        );
        assert!(peak <= limit, "{peak} KiB resident, {limit} KiB allowed");
    }

    /// What holds the latest process's memory.
    pub fn memory_figures(&self) -> String {
        let latest = self.processes.last().expect("a process");
        oakshed_standin::call(latest.admin(), "memory")
    }
}
