//! Restarts that change whether attempts carry leases, while jobs run or are in doubt.
//!
//! The workers support leases all along. A worker that never got a lease answers a fence for it truthfully with `never`,
//! which proves nothing about the attempt.

mod common;

use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;

use common::{job_status, keyed_request, TestDir, WORKER_AGE};
use oakshed_standin::*;

/// How long a job runs that outlasts a kill and the next start.
const SERVICE: Duration = Duration::from_millis(1_500);
/// How long a job runs that outlasts a planned restart, in which the scheduler serves for up to 3.7 s.
const LONG_SERVICE: Duration = Duration::from_millis(4_500);
/// How long a worker's answer to a fence may take to settle a job in doubt.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// One worker that supports leases, and the directories of the scheduler.
struct Installation {
    dir: TestDir,
    ledger: PathBuf,
    _worker: Worker,
    discovery: Discovery,
}

impl Installation {
    fn new(name: &str, service: Duration) -> Installation {
        let dir = TestDir::new(name);
        let ledger = dir.0.join("ledger");
        Ledger::begin(&ledger, WORKER_AGE).expect("a ledger");
        let options = WorkerOptions {
            ledger: Some(ledger.clone()),
            service,
            ..WorkerOptions::default()
        };
        let worker = Worker::start(options).expect("a worker");
        let discovery = Discovery::new(&[("s-1", worker.address)]);
        discovery.started("s-1", worker.since_ms);
        Installation {
            dir,
            ledger,
            _worker: worker,
            discovery,
        }
    }

    fn start(&self, leases: bool) -> Program {
        let operator = self.dir.operator_config(leases);
        Program::start_durable_knowing(&self.discovery, &self.discovery.known(), &operator)
    }

    /// How often the worker has started a job.
    fn starts(&self) -> usize {
        Ledger::starts([self.ledger.as_path()]).map_or(0, |starts| starts.values().sum())
    }

    /// Submits a job and returns once the worker runs it.
    fn run_job(&self, program: &Program, text: &str) {
        let mut client = program.connect();
        client.write_all(text.as_bytes()).expect("written");
        until("the start of the job", || self.starts() == 1);
    }
}

fn job_request() -> String {
    keyed_request("transfer", "id-1", "k-1", "")
}

fn stop(program: &mut Program, signal: &str) {
    program.signal(signal);
    program.wait();
}

/// Runs a job without a lease, ends the process with a signal, and starts one that uses leases.
fn switch_leases_on_amid_a_job(name: &str, signal: &str, service: Duration) {
    let installation = Installation::new(name, service);
    let mut program = installation.start(false);
    installation.run_job(&program, &job_request());
    stop(&mut program, signal);
    let program = installation.start(true);
    let answer = program.send(&job_request());
    assert_eq!(answer.status(), 502, "{}", program.log());
    std::thread::sleep(SETTLING_TIME);
    assert_eq!(installation.starts(), 1, "the job ran twice");
    assert_eq!(
        job_status(&program, "k-1")["outcome"],
        serde_json::Value::Null
    );
}

/// Guards against a transfer that runs twice: the attempt carried no lease, so the worker's `never` is no proof.
#[test]
fn leases_switched_on_amid_a_job_run_it_once_after_sigkill() {
    switch_leases_on_amid_a_job("lease-on-kill", "-KILL", SERVICE);
}

/// The same over a planned restart.
#[test]
fn leases_switched_on_amid_a_job_run_it_once_after_sigterm() {
    switch_leases_on_amid_a_job("lease-on-term", "-TERM", LONG_SERVICE);
}

/// Guards against a job in doubt that is settled as never run because its worker does not know the lease.
#[test]
fn job_stays_indeterminate_when_leases_are_switched_on() {
    let installation = Installation::new("lease-doubt", SERVICE);
    let mut program = installation.start(false);
    let short = job_request().replace("Ms: 5000", "Ms: 700");
    until("a job in doubt", || program.send(&short).status() == 502);
    assert_eq!(installation.starts(), 1);
    stop(&mut program, "-KILL");
    let program = installation.start(true);
    std::thread::sleep(SETTLING_TIME);
    assert_eq!(
        job_status(&program, "k-1")["outcome"],
        serde_json::Value::Null
    );
    assert_eq!(job_status(&program, "k-1")["in_doubt"][0]["worker"], "s-1");
}

/// Guards against a lease that is forgotten while leases are off: once they are on again, the worker knows the job.
#[test]
fn leases_switched_off_and_on_keep_what_the_worker_knows() {
    let installation = Installation::new("lease-off-on", SERVICE);
    let mut program = installation.start(true);
    installation.run_job(&program, &job_request());
    stop(&mut program, "-KILL");
    let mut program = installation.start(false);
    assert_eq!(program.send(&job_request()).status(), 502);
    assert_eq!(job_status(&program, "k-1")["in_doubt"][0]["worker"], "s-1");
    stop(&mut program, "-TERM");
    let program = installation.start(true);
    until("the outcome that the worker knows", || {
        job_status(&program, "k-1")["outcome"] == "ran"
    });
    assert_eq!(program.send(&job_request()).status(), 502);
    assert_eq!(installation.starts(), 1);
}
