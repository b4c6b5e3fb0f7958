//! Replies about durable jobs while the disk does not confirm the records behind them.
//!
//! Syncs of the store fail until the test ends the fault. A reply that such a record stands behind must not leave
//! before, as the next process would not know it if this one was killed.

mod common;

use std::process::{Command, Stdio};

use common::{job_id, job_path_request, job_status, keyed_request, TestDir};
use oakshed_fault_injection::{Faults, Switch};
use oakshed_standin::*;

/// The only row of the fault plan: syncs of the store's segments fail.
const SYNC: usize = 0;

/// A scheduler with a store whose syncs can be made to fail, and one worker, which answers nothing.
struct Installation {
    dir: TestDir,
    faults: Faults,
    worker: Peer,
    discovery: Discovery,
}

impl Installation {
    fn new(name: &str) -> Installation {
        let worker = Peer::new(|_, _| true);
        let discovery = Discovery::new(&[("s-1", worker.address)]);
        Installation {
            dir: TestDir::new(name),
            faults: Faults::new("fdatasync EIO 1/1 0 0 on=/store/"),
            worker,
            discovery,
        }
    }

    /// Starts the scheduler and waits until it is ready.
    fn start(&self) -> Program {
        let path = config(self.discovery.peer.address, &self.discovery.known(), 1024);
        let operator = self.dir.0.join("operator.json");
        std::fs::write(&operator, self.dir.operator_config(false)).expect("written");
        let mut command = Command::new(Program::binary());
        command
            .args(["serve", "--operator"])
            .arg(operator)
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_DISCOVERY", self.discovery.peer.address.to_string())
            .env_remove("TMPDIR")
            .env_remove("ROUTER_ADMIN")
            .stdin(Stdio::null());
        let program = Program::run(self.faults.apply(&mut command), path);
        program.wait_until_ready();
        program
    }

    /// Takes the worker out of service, so that jobs stay in the queue.
    fn drain_worker(&self, program: &Program) {
        self.discovery.set("s-1", "draining");
        until("no ready worker", || program.ready_status() == 503);
    }

    /// Starts the scheduler, and has it accept a job that stays in the queue.
    fn start_with_queued_job(&self) -> Program {
        let program = self.start();
        self.drain_worker(&program);
        assert_eq!(program.send(&detached_request("k-1")).status(), 202);
        program
    }

    fn begin_outage(&self) {
        self.faults.switch(SYNC, Switch::On);
    }

    /// Ends the outage and waits until the scheduler has noticed.
    fn end_outage(&self, program: &Program, number: usize) {
        self.faults.switch(SYNC, Switch::Off);
        until("the end of the outage", || {
            program.log().matches("the disk works again").count() == number
        });
    }
}

/// A submission whose client does not wait for the answer.
fn detached_request(key: &str) -> String {
    let request = keyed_request(
        "transfer",
        &format!("id-{key}"),
        key,
        "Prefer: respond-async\r\n",
    );
    request.replace("Ms: 5000", "Ms: 1500")
}

/// Guards against a transfer that runs although its withdrawal was confirmed: the record was not durable when the
/// scheduler was killed.
#[test]
fn withdrawal_is_confirmed_only_once_it_is_durable() {
    let installation = Installation::new("withdrawal");
    let mut program = installation.start_with_queued_job();
    installation.begin_outage();
    let unconfirmed = program.send(&job_path_request("DELETE", "k-1"));
    assert_eq!(unconfirmed.status(), 504, "{}", unconfirmed.first);
    assert_eq!(job_status(&program, "k-1")["state"], "open");
    installation.end_outage(&program, 1);
    let confirmed = program.send(&job_path_request("DELETE", "k-1"));
    assert_eq!(confirmed.status(), 200, "{}", confirmed.first);
    program.signal("-KILL");
    program.wait();
    installation.discovery.set("s-1", "ready");
    let program = installation.start();
    assert_eq!(job_status(&program, "k-1")["state"], "withdrawn");
    assert_eq!(
        program.send(&job_path_request("DELETE", "k-1")).status(),
        200
    );
    assert_eq!(installation.worker.count(), 0, "a withdrawn job was sent");
}

/// Guards against replies that name a job whose acceptance is not durable yet: after a kill nobody would know it.
#[test]
fn unconfirmed_job_is_not_reported_to_others() {
    let installation = Installation::new("unconfirmed");
    let program = installation.start();
    installation.drain_worker(&program);
    installation.begin_outage();
    let sync_failures = installation.faults.strikes(SYNC);
    std::thread::scope(|scope| {
        let submission = scope.spawn(|| program.send(&detached_request("k-1")).status());
        until("the write of the acceptance", || {
            installation.faults.strikes(SYNC) > sync_failures
        });
        let conflict = detached_request("k-1").replace("body", "BODY");
        let conflict = program.send(&conflict);
        assert_eq!(conflict.status(), 504, "{}", conflict.first);
        let status = program.send(&job_path_request("GET", "k-1"));
        assert_eq!(status.status(), 504, "{}", status.first);
        assert_eq!(submission.join().expect("no panic"), 504);
    });
    installation.end_outage(&program, 1);
    let conflict = detached_request("k-1").replace("body", "BODY");
    assert_eq!(program.send(&conflict).status(), 422);
    assert_eq!(program.send(&job_path_request("GET", "k-1")).status(), 200);
}

/// Guards against an operator's settlement that is reported before it is durable.
#[test]
fn settlement_is_reported_only_once_it_is_durable() {
    let installation = Installation::new("settlement");
    let mut program = installation.start();
    let request = keyed_request("transfer", "id-1", "k-1", "").replace("Ms: 5000", "Ms: 300");
    until("a job in doubt", || program.send(&request).status() == 502);
    installation.begin_outage();
    let settle = Command::new(Program::binary())
        .args(["jobs", "settle", &job_id("k-1"), "--ran", "--dir"])
        .arg(installation.dir.0.join("store"))
        .output()
        .expect("run");
    assert!(settle.status.success(), "{settle:?}");
    until("the write of the settlement", || {
        installation.faults.strikes(SYNC) > 0
    });
    let unconfirmed = program.send(&job_path_request("GET", "k-1"));
    assert_eq!(unconfirmed.status(), 504, "{}", unconfirmed.first);
    assert!(!program.log().contains("settled by an operator"));
    installation.end_outage(&program, 1);
    until("the line that confirms the settlement", || {
        program.log().contains("settled by an operator")
    });
    assert_eq!(job_status(&program, "k-1")["outcome"], "ran");
    program.signal("-KILL");
    program.wait();
    let program = installation.start();
    assert_eq!(job_status(&program, "k-1")["outcome"], "ran");
}

/// Guards against a status query that a planned restart cuts off without an answer.
#[test]
fn waiting_status_query_is_answered_at_shutdown() {
    let installation = Installation::new("query");
    let mut program = installation.start_with_queued_job();
    let query = job_path_request("GET", "k-1").replace("Host", "Prefer: wait=10\r\nHost");
    std::thread::scope(|scope| {
        let query = scope.spawn(|| send_raw(program.address, &query));
        until("a log line of the shutdown", || {
            program.signal("-TERM");
            program.log().contains("shutdown requested")
        });
        let answer = query.join().expect("no panic").expect("an answer");
        assert_eq!(answer.status(), 200, "{}", answer.first);
    });
    program.wait();
}
