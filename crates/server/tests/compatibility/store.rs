//! A store of durable jobs that was written by an earlier version.

#[path = "../common/mod.rs"]
mod common;

use std::path::Path;
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::{job_id, keyed_request, TestDir};
use oakshed_fault_injection::Faults;
use oakshed_jobs::disk::Disk;
use oakshed_jobs::log::Log;
use oakshed_jobs::machine::{Boot, Jobs, Limits, Names};
use oakshed_jobs::record::{Answer, Outcome, Record, UNCONFIRMED_START};
use oakshed_standin::{config, Discovery, Message, Peer, Program};

use super::{fixture, fixture_text};

/// The full size of a segment in bytes; the recorded files omit trailing zeros.
const SEGMENT_SIZE: usize = 1 << 20;
/// The Unix time at which the recording ended.
const RECORDED_AT: Duration = Duration::from_secs(1_796_212_568);
/// How long after the recording its store is opened: all deadlines have passed, and the answers are still retained.
const READ_AFTER: Duration = Duration::from_secs(600);
/// The largest `keep_answers_s` that an operator's file may have.
const MAX_RETENTION_S: u64 = 2_592_000;
const SECOND_US: u64 = 1_000_000;
/// The number of complete records in the store; a torn one follows them.
const RECORD_COUNT: usize = 44;

/// Copies the recorded store into a directory, and extends each segment to its full size.
fn copy_store(folder: &Path) {
    std::fs::create_dir_all(folder).expect("created");
    for entry in std::fs::read_dir(fixture("jobs/store")).expect("the recorded store") {
        let entry = entry.expect("a segment");
        let mut bytes = std::fs::read(entry.path()).expect("read");
        bytes.resize(SEGMENT_SIZE, 0);
        std::fs::write(folder.join(entry.file_name()), bytes).expect("written");
    }
}

/// Runs `oakshed jobs` on a store and returns its standard output.
fn jobs_command(folder: &Path, arguments: &[&str]) -> String {
    let output = Command::new(Program::binary())
        .arg("jobs")
        .args(arguments)
        .arg("--dir")
        .arg(folder)
        .output()
        .expect("run");
    assert!(output.status.success(), "{arguments:?}: {output:?}");
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn jobs_command_output_for_a_recorded_store_is_unchanged() {
    let dir = TestDir::new("old-store-printed");
    let folder = dir.0.join("store");
    copy_store(&folder);
    for (arguments, recorded) in [
        (&["verify"][..], "verify.txt"),
        (&["list"], "list.txt"),
        (&["list", "--json"], "list.jsonl"),
        (&["list", "--in-doubt"], "in-doubt.txt"),
        (&["export"], "export.jsonl"),
    ] {
        let recorded = fixture_text(&format!("jobs/{recorded}"));
        assert_eq!(jobs_command(&folder, arguments), recorded, "{arguments:?}");
    }
}

/// Restores the jobs of the recorded store, as a start does.
fn restore(folder: &Path) -> Jobs {
    copy_store(folder);
    let disk = Disk::lock(folder).expect("the directory");
    let (log, recovered) = Log::open(disk, SEGMENT_SIZE).expect("a store that can be opened");
    assert_eq!(recovered.records.len(), RECORD_COUNT);
    let torn_file = recovered.torn_tail.as_ref().map(|tail| tail.file.as_str());
    assert_eq!(torn_file, Some("00000000000000000037.log"));
    let last_start = recovered
        .records
        .iter()
        .rev()
        .find_map(|(_, record)| match record {
            Record::Opened {
                wall, boot, uptime, ..
            } => Some((*wall, *boot, *uptime)),
            _ => None,
        });
    let (wall, boot, uptime) = last_start.expect("the start of the last incarnation");
    let limits = Limits {
        leases: true,
        lease: SECOND_US,
        retention: 3_600 * SECOND_US,
        max_open: 100,
        max_jobs: 100,
        max_bytes: SEGMENT_SIZE,
    };
    let names = Names {
        classes: vec!["transfer".into(), "new-plate".into()],
        tenants: vec!["storholt-bilar".into()],
    };
    // The same boot of the machine, a second after the start of the last recorded incarnation.
    let boot = Boot {
        id: boot,
        uptime: uptime + SECOND_US,
    };
    Jobs::restore(
        limits,
        names,
        recovered.records,
        log.next_record(),
        wall + SECOND_US,
        boot,
    )
}

#[test]
fn recorded_store_is_restored_with_the_state_of_each_job() {
    let dir = TestDir::new("old-store-restored");
    let jobs = restore(&dir.0.join("store"));
    let result = |key: &str| Some(Answer::Served(format!("made {}", job_id(key)).into_bytes()));
    let rejected = Some(Answer::Rejected(Some(135_000)));
    for (key, answer, attempts, in_doubt, outcome) in [
        ("k-served", result("k-served"), 0, 0, None),
        ("k-plate", result("k-plate"), 0, 0, None),
        ("k-detached", result("k-detached"), 0, 0, None),
        ("k-doubt", Some(Answer::Failed), 1, 1, None),
        ("k-ran", Some(Answer::Failed), 0, 0, Some(Outcome::Ran)),
        ("k-never", Some(Answer::Failed), 0, 0, Some(Outcome::Never)),
        ("k-open", None, 1, 0, None),
        ("k-refused", rejected, 0, 0, None),
        ("k-withdrawn", Some(Answer::Cancelled), 0, 0, None),
        ("k-waits", None, 0, 0, None),
    ] {
        let status = jobs.status(job_id(key).parse().expect("an id")).expect(key);
        let view = jobs.confirm(status).expect("a status from the log");
        assert_eq!(view.answer, answer, "{key}");
        assert_eq!(view.attempts, attempts, "{key}");
        assert_eq!(view.indeterminate.len(), in_doubt, "{key}");
        assert_eq!(view.outcome, outcome, "{key}");
    }
    let sizes = jobs.sizes();
    assert_eq!((sizes.open, sizes.indeterminate, sizes.jobs), (2, 1, 10));
}

/// The recorded version did not record which attempts carried a lease, so no worker proves that one never ran.
#[test]
fn leases_of_a_recorded_store_are_not_disproved_by_their_workers() {
    let dir = TestDir::new("old-store-leases");
    let jobs = restore(&dir.0.join("store"));
    let doubt = jobs.status(job_id("k-doubt").parse().expect("an id"));
    let status = jobs.confirm(doubt.expect("a known job"));
    let leases = status.expect("a status from the log").indeterminate;
    assert!(!leases.is_empty());
    for lease in leases {
        assert_eq!(lease.start_ms, UNCONFIRMED_START, "{}", lease.worker);
    }
}

/// Starts the program on the copied store with its wall clock set to shortly after the recording, as the retained
/// answers would have expired by the current time. If the machine has not been rebooted since the recording, the
/// program measures the time since then by the uptime, which has no offset; the longest retention that the operator's
/// file allows is therefore set too.
fn start_soon_after_recording(discovery: &Discovery, dir: &TestDir) -> Program {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    let target = RECORDED_AT + READ_AFTER;
    let clock = Faults::new("");
    clock.set_clock_offset(target.as_millis() as i64 - now.as_millis() as i64);
    let operator = dir.0.join("operator.json");
    let retained = format!(r#""keep_answers_s":{MAX_RETENTION_S},"lease_ms""#);
    let text = dir
        .operator_config(true)
        .replace(r#""lease_ms""#, &retained);
    assert!(text.contains(&retained), "{text}");
    std::fs::write(&operator, text).expect("written");
    let path = config(discovery.peer.address, "null", 1024);
    let mut command = Command::new(Program::binary());
    command
        .args(["serve", "--operator"])
        .arg(&operator)
        .env("ROUTER_CONFIG", &path)
        .env("ROUTER_DISCOVERY", discovery.peer.address.to_string())
        .env_remove("ROUTER_ADMIN")
        .env_remove("TMPDIR");
    let program = Program::run(clock.apply(&mut command), path);
    program.wait_until_ready();
    program
}

/// Waits until a job has its final answer and returns its status document.
fn wait_for_status(program: &Program, key: &str) -> String {
    let id = job_id(key);
    let text = format!("GET /jobs/{id} HTTP/1.1\r\nHost: x\r\nPrefer: wait=10\r\n\r\n");
    String::from_utf8(program.send(&text).body).expect("text")
}

#[test]
fn recorded_jobs_keep_their_answers_and_are_not_forwarded_again() {
    let dir = TestDir::new("old-store-served");
    copy_store(&dir.0.join("store"));
    let worker = Peer::new(|message, stream| oakshed_standin::done(message, stream, "new"));
    let discovery = Discovery::new(&[("s-9", worker.address)]);
    let program = start_soon_after_recording(&discovery, &dir);
    // Final answers are retained and are served without a worker.
    let send = |class: &str, key: &str| program.send(&keyed_request(class, "id-again", key, ""));
    for (class, key) in [
        ("transfer", "k-served"),
        ("new-plate", "k-plate"),
        ("transfer", "k-detached"),
    ] {
        let answer: Message = send(class, key);
        assert_eq!(answer.status(), 200, "{key}");
        assert_eq!(answer.body, format!("made {}", job_id(key)).into_bytes());
    }
    for key in ["k-doubt", "k-ran", "k-never"] {
        assert_eq!(send("transfer", key).status(), 502, "{key}");
    }
    assert_eq!(send("transfer", "k-withdrawn").status(), 410);
    // Of the two open jobs, one may have run at a worker that is no longer listed, and the other was never sent.
    let open = wait_for_status(&program, "k-open");
    assert!(open.contains(r#""state":"failed""#), "{open}");
    assert!(open.contains(r#""worker":"s-3""#), "{open}");
    let waits = wait_for_status(&program, "k-waits");
    assert!(waits.contains(r#""state":"refused""#), "{waits}");
    assert_eq!(worker.count(), 0, "a recorded job was forwarded again");
    assert!(
        program.log().contains("ended in a torn write"),
        "{}",
        program.log()
    );
}
