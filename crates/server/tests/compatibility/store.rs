//! A store of durable jobs that an earlier version has written.

#[path = "../common/mod.rs"]
mod common;

use std::path::Path;
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::{job_id, keyed, Dir};
use oakshed_fault_injection::Faults;
use oakshed_jobs::disk::Disk;
use oakshed_jobs::log::Log;
use oakshed_jobs::machine::{Boot, Jobs, Limits, Names};
use oakshed_jobs::record::{Answer, Outcome, Record};
use oakshed_standin::{config, Discovery, Message, Peer, Program};

use super::{fixture, fixture_text};

/// The size of the recorded segments, whose trailing zeros are left out, in bytes.
const SEGMENT_SIZE: usize = 1 << 20;
/// When the store was recorded, by the wall clock: its last second, since 1970.
const RECORDED_AT: Duration = Duration::from_secs(1_796_212_568);
/// How long after the recording the store is read: all deadlines are over, and the answers are still retained.
const READ_AFTER: Duration = Duration::from_secs(600);
/// The longest time for which the operator's file can have answers retained, in seconds.
const LONGEST_RETENTION_S: u64 = 2_592_000;
/// Microseconds in a second.
const SECOND: u64 = 1_000_000;
/// The records of the store; behind them is half of a further one.
const RECORDS: usize = 44;

/// Copies the recorded store into a folder, each segment at its full size.
fn copy_store(folder: &Path) {
    std::fs::create_dir_all(folder).expect("created");
    for entry in std::fs::read_dir(fixture("jobs/store")).expect("the recorded store") {
        let entry = entry.expect("a segment");
        let mut bytes = std::fs::read(entry.path()).expect("read");
        bytes.resize(SEGMENT_SIZE, 0);
        std::fs::write(folder.join(entry.file_name()), bytes).expect("written");
    }
}

/// What `oakshed jobs` prints.
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
fn the_jobs_command_prints_of_an_old_store_what_the_old_version_printed() {
    let dir = Dir::new("old-store-printed");
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

/// The jobs as a start with the recorded store restores them.
fn restore(folder: &Path) -> Jobs {
    copy_store(folder);
    let disk = Disk::lock(folder).expect("the folder");
    let (log, recovered) = Log::open(disk, SEGMENT_SIZE).expect("a store that can be opened");
    assert_eq!(recovered.records.len(), RECORDS);
    let cut = recovered.torn_tail.as_ref().map(|tail| tail.file.as_str());
    assert_eq!(cut, Some("00000000000000000037.log"));
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
    let (wall, boot, uptime) = last_start.expect("the start of the last life");
    let limits = Limits {
        leases: true,
        lease: SECOND,
        retention: 3_600 * SECOND,
        max_open: 100,
        max_jobs: 100,
        max_bytes: SEGMENT_SIZE,
    };
    let names = Names {
        classes: vec!["transfer".into(), "new-plate".into()],
        tenants: vec!["storholt-bilar".into()],
    };
    // On the machine on which it was written, a second after the last life began.
    let boot = Boot {
        id: boot,
        uptime: uptime + SECOND,
    };
    Jobs::restore(
        limits,
        names,
        recovered.records,
        log.next_record(),
        wall + SECOND,
        boot,
    )
}

#[test]
fn an_old_store_is_restored_with_the_state_of_each_job() {
    let dir = Dir::new("old-store-restored");
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
        let view = jobs.status(job_id(key).parse().expect("an id")).expect(key);
        assert_eq!(view.answer, answer, "{key}");
        assert_eq!(view.attempts, attempts, "{key}");
        assert_eq!(view.indeterminate.len(), in_doubt, "{key}");
        assert_eq!(view.outcome, outcome, "{key}");
    }
    let sizes = jobs.sizes();
    assert_eq!((sizes.open, sizes.indeterminate, sizes.jobs), (2, 1, 10));
}

/// Starts the program on the copied store, by a wall clock of soon after the recording. Guards against a test that fails
/// once the answers have expired. On the machine of the recording time is counted by its uptime, which has no offset:
/// there the longest retention that the operator's file allows has to do.
fn start_soon_after_recording(discovery: &Discovery, dir: &Dir) -> Program {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    let wanted = RECORDED_AT + READ_AFTER;
    let clock = Faults::new("");
    clock.set_clock_offset(wanted.as_millis() as i64 - now.as_millis() as i64);
    let operator = dir.0.join("operator.json");
    let retained = format!(r#""keep_answers_s":{LONGEST_RETENTION_S},"lease_ms""#);
    let text = dir.operator(true).replace(r#""lease_ms""#, &retained);
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

/// What the program says of a job, once it is over.
fn state(program: &Program, key: &str) -> String {
    let id = job_id(key);
    let text = format!("GET /jobs/{id} HTTP/1.1\r\nHost: x\r\nPrefer: wait=10\r\n\r\n");
    String::from_utf8(program.send(&text).body).expect("text")
}

#[test]
fn a_process_serves_from_an_old_store_and_sends_none_of_its_jobs_again() {
    let dir = Dir::new("old-store-served");
    copy_store(&dir.0.join("store"));
    let worker = Peer::new(|message, stream| oakshed_standin::done(message, stream, "new"));
    let discovery = Discovery::new(&[("s-9", worker.address)]);
    let program = start_soon_after_recording(&discovery, &dir);
    // The answers that were final stay, and come without a worker.
    let ask = |class: &str, key: &str| program.send(&keyed(class, "id-again", key, ""));
    for (class, key) in [
        ("transfer", "k-served"),
        ("new-plate", "k-plate"),
        ("transfer", "k-detached"),
    ] {
        let answer: Message = ask(class, key);
        assert_eq!(answer.status(), 200, "{key}");
        assert_eq!(answer.body, format!("made {}", job_id(key)).into_bytes());
    }
    for key in ["k-doubt", "k-ran", "k-never"] {
        assert_eq!(ask("transfer", key).status(), 502, "{key}");
    }
    assert_eq!(ask("transfer", "k-withdrawn").status(), 410);
    // What was open: one may have run at a worker that is not there any more, the other was never sent.
    let open = state(&program, "k-open");
    assert!(open.contains(r#""state":"failed""#), "{open}");
    assert!(open.contains(r#""worker":"s-3""#), "{open}");
    let waits = state(&program, "k-waits");
    assert!(waits.contains(r#""state":"refused""#), "{waits}");
    assert_eq!(worker.count(), 0, "nothing was sent again");
    assert!(
        program.log().contains("ended in a torn write"),
        "{}",
        program.log()
    );
}
