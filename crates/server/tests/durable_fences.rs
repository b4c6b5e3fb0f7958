//! Fences that reach another worker than the one that the attempt was sent to.
//!
//! A worker dies while it runs a job, and another one is started at its address. The other worker's ledger is older than
//! the job, and it answers a fence truthfully: it never started the job.

mod common;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use common::{job_status, keyed_request, TestDir, WORKER_AGE};
use oakshed_standin::*;

/// How long a worker that is killed amid a job would have run it, in milliseconds.
const LONG_SERVICE_MS: &str = "20000";
/// How much later than its ledger the list says that the first worker started, in milliseconds.
const LISTED_START_DELAY_MS: u64 = 600_000;
/// How long the other worker has to be fenced and to answer.
const FENCE_TIME: Duration = Duration::from_secs(2);

/// A worker process, killed when dropped.
struct WorkerProcess {
    child: Child,
    ledger: PathBuf,
    since_ms: u64,
}

impl WorkerProcess {
    /// Starts a worker whose ledger begins three hours ago.
    fn start(at: SocketAddr, ledger: &Path) -> WorkerProcess {
        let since_ms = Ledger::begin(ledger, WORKER_AGE).expect("a ledger");
        let child = Command::new(Program::binary().with_file_name("oakshed-standin"))
            .args(["--listen", &at.to_string()])
            .args(["--service-ms", LONG_SERVICE_MS, "--ledger"])
            .arg(ledger)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("oakshed-standin, which cargo test --workspace builds");
        until("the worker's address", || {
            std::net::TcpStream::connect(at).is_ok()
        });
        WorkerProcess {
            child,
            ledger: ledger.to_owned(),
            since_ms,
        }
    }

    fn starts(&self) -> usize {
        Ledger::starts([self.ledger.as_path()]).map_or(0, |starts| starts.values().sum())
    }

    fn has_been_fenced(&self) -> bool {
        std::fs::read_to_string(&self.ledger).is_ok_and(|text| text.contains("fence"))
    }
}

impl Drop for WorkerProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// Runs the scenario. `list_other` is called once the other worker runs at the address of the first one.
fn fence_reaches_another_worker(name: &str, list_other: impl FnOnce(&Discovery)) {
    let remove_first = |discovery: &Discovery, _: &Program| discovery.set("s-1", "gone");
    fence_after(name, remove_first, list_other);
}

/// Runs the scenario. `on_death` is called once the first worker has died, and `list_other` once the other one runs at its
/// address.
fn fence_after(
    name: &str,
    on_death: impl FnOnce(&Discovery, &Program),
    list_other: impl FnOnce(&Discovery),
) {
    let dir = TestDir::new(name);
    let port = ReservedPort::new();
    let at = port.address;
    let first = WorkerProcess::start(at, &dir.0.join("s-1"));
    let discovery = Discovery::new(&[("s-1", at), ("s-2", at)]);
    discovery.set("s-2", "gone");
    // The other worker's ledger begins some milliseconds later than the first one's, and before this start.
    discovery.started("s-1", first.since_ms + LISTED_START_DELAY_MS);
    discovery.started("s-2", first.since_ms);
    let program = Program::start_durable(&discovery, &dir.operator_config(true));
    let request = keyed_request("transfer", "id-1", "k-1", "").replace("Ms: 5000", "Ms: 4000");
    std::thread::scope(|scope| {
        let answer = scope.spawn(|| program.send(&request));
        until("the start of the job", || first.starts() == 1);
        drop(first);
        on_death(&discovery, &program);
        let second = WorkerProcess::start(at, &dir.0.join("s-2"));
        list_other(&discovery);
        let answer = answer.join().expect("no panic");
        assert_eq!(answer.status(), 502, "{}", program.log());
        std::thread::sleep(FENCE_TIME);
        assert!(second.has_been_fenced(), "the other worker was not fenced");
        assert_eq!(
            job_status(&program, "k-1")["outcome"],
            serde_json::Value::Null
        );
        assert_eq!(program.send(&request).status(), 502);
        assert_eq!(second.starts(), 0, "the job ran again at the other worker");
    });
}

/// Guards against a transfer that is rejected, and run again, after it ran at a worker that has left the list.
#[test]
fn worker_at_the_address_of_one_that_left_proves_nothing() {
    fence_reaches_another_worker("fence-left", |_| {});
}

/// The same where the list names the other worker at that address.
#[test]
fn worker_listed_at_the_address_of_another_proves_nothing() {
    fence_reaches_another_worker("fence-listed", |discovery| discovery.set("s-2", "ready"));
}

/// The same where the list names both at that address.
#[test]
fn worker_that_shares_an_address_proves_nothing() {
    fence_reaches_another_worker("fence-shared", |discovery| {
        discovery.set("s-2", "ready");
        discovery.set("s-1", "draining");
    });
}

/// Guards against a transfer that is run again because the list of a previous source still names its worker at the
/// address: after a reload, the new source may know better until it has answered.
#[test]
fn list_of_the_source_before_a_reload_proves_nothing() {
    let unresponsive = Peer::new(|_, _| true);
    let reload = |old: &Discovery, program: &Program| {
        let new = unresponsive.address.to_string();
        program.reload(&old.peer.address.to_string(), &new);
        until("the reload", || program.log().contains("reload: discovery"));
        until("a call at the new address", || unresponsive.count() >= 1);
    };
    fence_after("fence-reload", reload, |_| {});
}
