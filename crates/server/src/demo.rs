//! `oakshed demo`: simulated discovery and workers, a scheduler and some hundred jobs, all on loopback ports.
//!
//! The scheduler runs as a separate process of the same program.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use thiserror::Error;

use oakshed_standin::{config, request, send_raw, Discovery, Message, Worker, WorkerOptions};

const WORKERS: usize = 6;
/// The unit of CPU time in `/proc`, which is 10 ms on every Linux.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// How long the scheduler may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why the demo failed.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The scheduler was not ready in time.
    #[error("the scheduler was not ready within {} s", READY_TIMEOUT.as_secs())]
    NotReady,
    /// The scheduler exited with a status other than success.
    #[error("the scheduler exited: {0}")]
    SchedulerFailed(ExitStatus),
}

/// The scheduler's process and the files to remove at the end. Killed on drop, in case the demo ends early.
struct Scheduler(Child, Vec<std::path::PathBuf>);

impl Drop for Scheduler {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
        for path in &self.1 {
            _ = std::fs::remove_file(path).or_else(|_| std::fs::remove_dir_all(path));
        }
    }
}

/// Runs the demo with `jobs` jobs, at `rate` jobs per second. Unless `once` is set, everything keeps running until the
/// scheduler is stopped. `store` is a directory for durable jobs, which is removed at the end.
pub fn run(jobs: usize, rate: u32, once: bool, store: Option<&str>) -> Result<(), DemoError> {
    let fleet: Vec<Worker> = (0..WORKERS)
        .map(|_| Worker::start(worker_options(rate)))
        .collect::<io::Result<_>>()?;
    let names: Vec<String> = (0..WORKERS).map(|n| format!("s-{n}")).collect();
    let addresses = fleet.iter().map(|worker| worker.address);
    let entries: Vec<(&str, SocketAddr)> =
        names.iter().map(String::as_str).zip(addresses).collect();
    let discovery = Discovery::new(&entries);
    // Released at once; the scheduler binds this free port a moment later.
    let address = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let mut scheduler = start_scheduler(address, &discovery, store)?;
    println!(
        "{WORKERS} workers, discovery at {}, a scheduler at {address}",
        discovery.peer.address
    );
    await_ready(address)?;
    let before = cpu_time(&scheduler.0);
    send_jobs(address, jobs, rate)?;
    let used = cpu_time(&scheduler.0).saturating_sub(before);
    println!(
        "CPU time of the scheduler: {:.0} us per job",
        used.as_secs_f64() * 1e6 / jobs.max(1) as f64
    );
    if once {
        return terminate(&mut scheduler);
    }
    println!("\nRunning until Ctrl-C. To send a job:");
    println!("  curl -i -d body -H 'Req-Id: try-1' -H 'Req-Owner: storholt-bilar' http://{address}/transfer");
    // Ctrl-C signals both processes: the scheduler shuts down in order, and then the demo exits.
    let status = scheduler.0.wait()?;
    println!("the scheduler exited: {status}");
    Ok(())
}

/// Starts the scheduler's process, with temporary configuration files.
fn start_scheduler(
    address: SocketAddr,
    discovery: &Discovery,
    store: Option<&str>,
) -> io::Result<Scheduler> {
    let path = config(discovery.peer.address, "null", 1024);
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("serve");
    let mut files = vec![path.clone()];
    if let Some(store) = store {
        let operator = path.with_extension("operator");
        let text = serde_json::json!({ "jobs": { "dir": store, "leases": true } });
        std::fs::write(&operator, text.to_string())?;
        command.arg("--operator").arg(&operator);
        files.extend([operator, store.into()]);
    }
    let child = command
        .env("ROUTER_CONFIG", &path)
        .env("ROUTER_LISTEN", address.to_string())
        .env("ROUTER_DISCOVERY", discovery.peer.address.to_string())
        .stdin(Stdio::null())
        .spawn()?;
    Ok(Scheduler(child, files))
}

/// Waits until the scheduler is ready.
fn await_ready(address: SocketAddr) -> Result<(), DemoError> {
    let start = Instant::now();
    while send_raw(address, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        .is_none_or(|m| m.status() != 200)
    {
        if start.elapsed() > READY_TIMEOUT {
            return Err(DemoError::NotReady);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Sends SIGTERM to the scheduler and waits for it to exit.
fn terminate(scheduler: &mut Scheduler) -> Result<(), DemoError> {
    Command::new("kill")
        .arg(scheduler.0.id().to_string())
        .status()?;
    let status = scheduler.0.wait()?;
    if status.success() {
        return Ok(());
    }
    Err(DemoError::SchedulerFailed(status))
}

/// Options for workers that together have capacity for twice the rate.
fn worker_options(rate: u32) -> WorkerOptions {
    let default = WorkerOptions::default();
    let needed = f64::from(rate) * default.service.as_secs_f64() * 2.0 / WORKERS as f64;
    WorkerOptions {
        slots: default.slots.max(needed as usize),
        ..default
    }
}

/// The CPU time that a process has used so far; zero if `/proc` does not report it.
fn cpu_time(child: &Child) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
    // The process name in parentheses may contain anything. User and system time are the 12th and 13th fields after it.
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |n: usize| {
        fields
            .get(n)
            .and_then(|t| t.parse::<u32>().ok())
            .unwrap_or(0)
    };
    CLOCK_TICK * (ticks(11) + ticks(12))
}

/// Sends jobs at a constant rate, whether or not earlier ones have been answered, and prints a summary of the results.
fn send_jobs(address: SocketAddr, jobs: usize, rate: u32) -> io::Result<()> {
    let interval = Duration::from_secs(1) / rate.max(1);
    let (tx, rx) = mpsc::channel();
    let start = Instant::now();
    let (mut served, mut rejected, mut failed, mut times) = (0, 0, 0, Vec::new());
    let mut count = |(answer, time): (Option<Message>, Duration)| match answer.map(|m| m.status()) {
        Some(200) => {
            served += 1;
            times.push(time);
        }
        Some(429 | 503) => rejected += 1,
        _ => failed += 1,
    };
    for n in 0..jobs {
        let planned = start + interval * n as u32;
        std::thread::sleep(planned.saturating_duration_since(Instant::now()));
        let tx = tx.clone();
        let class = if n % 3 == 0 { "new-plate" } else { "transfer" };
        std::thread::spawn(move || {
            let text = request(class, &format!("demo-{n}")).replace("5c0f", &format!("key-{n}"));
            let answer = send_raw(address, &text);
            _ = tx.send((answer, planned.elapsed()));
        });
        rx.try_iter().for_each(&mut count);
        print!("\r{} of {jobs} jobs sent", n + 1);
        io::stdout().flush()?;
    }
    drop(tx);
    rx.iter().for_each(&mut count);
    println!();
    times.sort();
    let percentile =
        |share: f64| times.get(((times.len() as f64 * share) as usize).min(times.len().max(1) - 1));
    let ms = |time: Option<&Duration>| time.map_or(0.0, |t| t.as_secs_f64() * 1e3);
    println!(
        "served {served}, rejected {rejected}, failed {failed}; p50 {:.1} ms, p99 {:.1} ms",
        ms(percentile(0.5)),
        ms(percentile(0.99))
    );
    Ok(())
}
