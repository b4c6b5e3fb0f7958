//! Durable jobs under load while the scheduler and the workers are killed at random points and restarted.
//!
//! Across all incarnations, no transfer runs twice and each job has one final answer. A minimum of served jobs keeps
//! the tests from passing with a scheduler that rejects everything.

mod common;
#[path = "common/readiness.rs"]
mod readiness;
#[path = "common/settings.rs"]
mod settings;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{job_id, keyed_request, TestDir, WORKER_AGE};
use oakshed_fault_injection::Faults;
use oakshed_standin::*;
use readiness::until_ready;
use settings::edit;

/// The number of concurrent clients.
const CLIENTS: usize = 8;

/// A process that can be killed and started again; killed when dropped.
struct RestartableProcess {
    child: Option<Child>,
    start: Box<dyn Fn() -> Child + Send>,
}

impl RestartableProcess {
    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }

    fn restart(&mut self) {
        self.child = Some((self.start)());
    }
}

impl Drop for RestartableProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a function that starts a worker process.
fn worker_starter(at: SocketAddr, ledger: &Path) -> Box<dyn Fn() -> Child + Send> {
    let (program, ledger) = (
        Program::binary().with_file_name("oakshed-standin"),
        ledger.to_owned(),
    );
    Box::new(move || {
        let mut command = Command::new(&program);
        command
            .args([
                "--listen",
                &at.to_string(),
                "--service-ms",
                "15",
                "--ledger",
            ])
            .arg(&ledger);
        let silenced = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        silenced
            .spawn()
            .expect("oakshed-standin, which cargo test --workspace builds")
    })
}

/// Reads a number from the environment: `OAKSHED_KILLS` is the number of kills, and `OAKSHED_KILL_SEED` determines
/// their order.
fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Half of the kills run with incarnations that start without a cached list, half with ones that receive it from the
/// platform.
#[test]
fn kills_at_random_points_run_nothing_twice_and_all_are_answered() {
    let kills = env_number("OAKSHED_KILLS", 150);
    run_kills(kills / 2, false, None);
    run_kills(kills - kills / 2, true, None);
}

/// The wall clock of the scheduler differs between incarnations. Guards against deadlines, leases and retention times
/// that follow the wall clock.
#[test]
fn kills_with_stepped_wall_clock_run_nothing_twice_and_all_are_answered() {
    run_kills(
        env_number("OAKSHED_KILLS", 24),
        true,
        Some(Arc::new(Faults::new(""))),
    );
}

/// The wall clock offsets of successive incarnations, in milliseconds.
const CLOCK_OFFSETS_MS: [i64; 6] = [3_600_000, -3_600_000, 0, 5_000, -5_000, 0];

#[expect(clippy::too_many_lines, reason = "one sequential scenario")]
fn run_kills(kills: u64, has_cached_list: bool, clock: Option<Arc<Faults>>) {
    let variant = match (has_cached_list, &clock) {
        (_, Some(_)) => "with a stepped wall clock",
        (true, None) => "with a cached list",
        (false, None) => "without a list",
    };
    let mut rng = env_number("OAKSHED_KILL_SEED", 7);
    let mut random = move |below: u64| {
        // The linear congruential generator of Numerical Recipes, as this test needs no more than that.
        rng = rng
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (rng >> 33) % below
    };
    let dir = TestDir::new(&format!("kills-{}", variant.replace(' ', "-")));
    let names = ["s-0", "s-1", "s-2"];
    let ledgers: Vec<PathBuf> = names.iter().map(|n| dir.0.join(n)).collect();
    let ports: Vec<ReservedPort> = names.iter().map(|_| ReservedPort::new()).collect();
    let addresses: Vec<SocketAddr> = ports.iter().map(|port| port.address).collect();
    let mut processes: Vec<RestartableProcess> = (0..names.len())
        .map(|n| RestartableProcess {
            child: None,
            start: worker_starter(addresses[n], &ledgers[n]),
        })
        .collect();
    let listed: Vec<(&str, SocketAddr)> = names
        .iter()
        .copied()
        .zip(addresses.iter().copied())
        .collect();
    let discovery = Discovery::new(&listed);
    let port = ReservedPort::new();
    let at = port.address;
    let path = config(discovery.peer.address, "null", 1024);
    let operator = dir.0.join("operator.json");
    std::fs::write(&operator, dir.operator_config(true)).expect("written");
    let log = dir.0.join("log");
    let (config_path, operator_path, discovery_address) =
        (path.clone(), operator.clone(), discovery.peer.address);
    let incarnations = AtomicUsize::new(0);
    processes.push(RestartableProcess {
        child: None,
        start: Box::new(move || {
            let log = std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(&log)
                .expect("a log");
            let mut command = Command::new(Program::binary());
            if let Some(clock) = &clock {
                let incarnation = incarnations.fetch_add(1, Ordering::SeqCst);
                clock.set_clock_offset(CLOCK_OFFSETS_MS[incarnation % CLOCK_OFFSETS_MS.len()]);
                clock.apply(&mut command);
            }
            command
                .args(["serve", "--operator"])
                .arg(&operator_path)
                .env("ROUTER_CONFIG", &config_path)
                .env("ROUTER_LISTEN", at.to_string())
                .env("ROUTER_DISCOVERY", discovery_address.to_string())
                .stdin(Stdio::null())
                .stderr(log)
                .spawn()
                .expect("started")
        }),
    });
    for ledger in &ledgers {
        Ledger::begin(ledger, WORKER_AGE).expect("a ledger");
    }
    processes[..names.len()]
        .iter_mut()
        .for_each(RestartableProcess::restart);
    for (n, name) in names.iter().enumerate() {
        until("a worker's ledger", || {
            std::fs::read_to_string(&ledgers[n]).is_ok_and(|t| t.contains("since"))
        });
        let text = std::fs::read_to_string(&ledgers[n]).expect("read");
        let since = text
            .split(r#""ms":"#)
            .nth(1)
            .and_then(|t| t.split('}').next()?.parse().ok());
        discovery.started(name, since.expect("the start time of the ledger"));
    }
    if has_cached_list {
        let known = format!(r#""known":{}"#, discovery.known());
        edit(&path, &[(r#""known":null"#, &known)]);
    }
    processes[names.len()].restart();
    let (stop, next) = (AtomicBool::new(false), AtomicU64::new(0));
    let answers: Mutex<HashMap<u64, (u16, Vec<u8>)>> = Mutex::default();
    let mut served_during_kills = 0;
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (stop, next, answers) = (&stop, &next, &answers);
            scope.spawn(move || {
                let (mut served_count, mut rejected_count) = (0, 0);
                while !stop.load(Ordering::SeqCst) {
                    let n = next.fetch_add(1, Ordering::SeqCst);
                    let class = if n % 4 == 0 { "new-plate" } else { "transfer" };
                    let start = Instant::now();
                    // The client retries with the same key until it has a final answer.
                    for retry in 0.. {
                        let text = keyed_request(class, &format!("r-{n}-{retry}"), &format!("k-{n}"), "");
                        let last_status = match send_raw(at, &text).map(|m| (m.status(), m.body)) {
                            Some(answer @ (200 | 502, _)) => {
                                served_count += usize::from(answer.0 == 200);
                                answers.lock().expect("not poisoned").insert(n, answer);
                                break;
                            }
                            none @ (Some((503 | 504, _)) | None) => {
                                rejected_count += usize::from(none.is_some());
                                std::thread::sleep(Duration::from_millis(20));
                                none.map(|answer| answer.0)
                            }
                            Some(other) => panic!("job {n}: {other:?}"),
                        };
                        assert!(
                            start.elapsed() < Duration::from_secs(60),
                            "{variant}: job {n} has no final answer, last status {last_status:?}"
                        );
                    }
                }
                // Guards against a scheduler that accepts all jobs and serves none.
                assert!(
                    served_count > 0,
                    "{variant}: client {client} was rejected {rejected_count} times and never served"
                );
            });
        }
        for _ in 0..kills {
            std::thread::sleep(Duration::from_millis(10 + random(90)));
            let index = match random(3) {
                0 => random(3) as usize,
                _ => names.len(),
            };
            processes[index].kill();
            std::thread::sleep(Duration::from_millis(random(20)));
            processes[index].restart();
        }
        // Counted before the kills end: a scheduler that is no longer killed would serve everything.
        served_during_kills = answers
            .lock()
            .expect("not poisoned")
            .values()
            .filter(|a| a.0 == 200)
            .count();
        stop.store(true, Ordering::SeqCst);
    });
    // A client that sends a job again receives the same answer.
    let answers = answers.into_inner().expect("not poisoned");
    let served = answers.values().filter(|a| a.0 == 200).count();
    until_ready(at);
    for (n, first) in &answers {
        let class = if n % 4 == 0 { "new-plate" } else { "transfer" };
        let again = send_raw(
            at,
            &keyed_request(class, &format!("again-{n}"), &format!("k-{n}"), ""),
        )
        .expect("an answer");
        assert_eq!(
            (again.status(), &again.body),
            (first.0, &first.1),
            "job {n}: the answer changed"
        );
    }
    let mut run_twice = 0;
    for (job, starts) in Ledger::starts(ledgers.iter().map(PathBuf::as_path)).expect("read") {
        // The key of a job determines its class.
        let transfers = (0..next.load(Ordering::SeqCst)).filter(|n| n % 4 != 0);
        if starts > 1 {
            let is_transfer = transfers
                .map(|n| job_id(&format!("k-{n}")))
                .any(|id| id == job);
            run_twice += usize::from(is_transfer);
        }
    }
    println!("{variant}: {kills} kills, {} jobs, {served} served ({served_during_kills} during the kills), {run_twice} transfers ran twice", answers.len());
    assert_eq!(
        run_twice, 0,
        "{variant}; OAKSHED_KILL_SEED sets the order of the kills"
    );
    // The number depends on the machine; a scheduler that serves nothing before its first fresh list would have 0.
    assert!(
        served_during_kills as u64 * 5 >= kills,
        "{variant}: {served_during_kills} served during {kills} kills"
    );
    assert!(
        served * 2 > answers.len(),
        "{variant}: {served} of {} served",
        answers.len()
    );
    drop(processes);
    _ = std::fs::remove_file(path);
}
