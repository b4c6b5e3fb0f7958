//! `oakshed jobs`: inspection of a store of durable jobs, and the settlement of jobs in doubt.
//!
//! The log of a store that a scheduler uses is never modified: a settlement is then written to a separate file, which
//! that scheduler picks up.

mod error;

use std::io;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use oakshed_jobs::disk::{self, Disk};
use oakshed_jobs::log::{encode_all, read_all, Log, LogError, Recovered, TornTail};
use oakshed_jobs::machine::{JobStatus, Jobs, Limits, Names};
use oakshed_jobs::record::{Answer, JobId, Outcome, Record, LEASE_FIELDS_RECORDED};
use serde_json::{json, Value};

pub use error::JobsCommandError;

/// inspect a store of durable jobs, or settle a job in doubt
#[derive(FromArgs)]
#[argh(subcommand, name = "jobs")]
pub struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    List(List),
    Settle(Settle),
    Verify(Verify),
    Export(Export),
}

/// list the jobs that are open or in doubt
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// the store's directory
    #[argh(option)]
    dir: PathBuf,
    /// only those in doubt
    #[argh(switch)]
    in_doubt: bool,
    /// print JSON lines
    #[argh(switch)]
    json: bool,
}

/// settle a job in doubt by specifying whether it ran
#[derive(FromArgs)]
#[argh(subcommand, name = "settle")]
struct Settle {
    /// the store's directory
    #[argh(option)]
    dir: PathBuf,
    /// the job ran
    #[argh(switch)]
    ran: bool,
    /// the job never ran
    #[argh(switch)]
    never: bool,
    /// id of the job: 32 hexadecimal digits
    #[argh(positional)]
    id: JobId,
}

/// read the whole store and report damage; the exit status is 1 if there is any
#[derive(FromArgs)]
#[argh(subcommand, name = "verify")]
struct Verify {
    /// the store's directory
    #[argh(option)]
    dir: PathBuf,
}

/// print all readable records as JSON lines
#[derive(FromArgs)]
#[argh(subcommand, name = "export")]
struct Export {
    /// the store's directory
    #[argh(option)]
    dir: PathBuf,
}

/// Runs a subcommand.
pub fn run(args: Args) -> Result<(), JobsCommandError> {
    match args.command {
        Command::List(List {
            dir,
            in_doubt,
            json,
        }) => list(&dir, in_doubt, json),
        Command::Settle(Settle {
            dir,
            ran,
            never,
            id,
        }) => settle(&dir, id, ran, never),
        Command::Verify(Verify { dir }) => verify(&dir),
        Command::Export(Export { dir }) => export(&dir),
    }
}

fn store_error(dir: &Path) -> impl FnOnce(LogError) -> JobsCommandError + '_ {
    move |error| JobsCommandError::Store {
        directory: dir.to_owned(),
        error,
    }
}

fn directory_error(dir: &Path) -> impl FnOnce(io::Error) -> JobsCommandError + '_ {
    move |error| JobsCommandError::Directory {
        directory: dir.to_owned(),
        error,
    }
}

/// Reads a store without modifying it; the second value is the damage found.
fn read_store(dir: &Path) -> Result<(Recovered, Vec<LogError>), JobsCommandError> {
    let disk = Disk::open_read_only(dir).map_err(directory_error(dir))?;
    read_all(&disk).map_err(store_error(dir))
}

/// Unix time in microseconds.
fn now() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |d| d.as_micros() as u64)
}

/// Restores the jobs as a start of the scheduler does. Without limits on their number, as no new ones are accepted.
fn restore(recovered: Recovered, next: u64) -> Jobs {
    let limits = Limits {
        leases: true,
        lease: 1,
        retention: u64::MAX / 2,
        max_open: usize::MAX,
        max_jobs: usize::MAX,
        max_bytes: usize::MAX,
    };
    Jobs::restore(
        limits,
        Names::default(),
        recovered.records,
        next,
        now(),
        disk::boot(),
    )
}

fn list(dir: &Path, in_doubt: bool, json: bool) -> Result<(), JobsCommandError> {
    let (recovered, damage) = read_store(dir)?;
    for fault in &damage {
        eprintln!("oakshed: {fault}");
    }
    let next = recovered.records.last().map_or(1, |(n, _)| n + 1);
    let jobs = restore(recovered, next);
    let open = if in_doubt { Vec::new() } else { jobs.open() };
    for id in open.into_iter().chain(jobs.indeterminate()) {
        let Some(JobStatus {
            answer,
            attempts,
            indeterminate,
            ..
        }) = jobs.status(id).and_then(|status| jobs.confirm(status).ok())
        else {
            continue;
        };
        let state = if answer.is_some() { "in doubt" } else { "open" };
        let leases: Vec<String> = indeterminate
            .iter()
            .map(|lease| format!("{} (token {})", lease.worker, lease.token))
            .collect();
        if json {
            println!(
                "{}",
                json!({"id": id.to_string(), "state": state, "attempts": attempts, "at": leases})
            );
        } else {
            println!(
                "{id}  {state:8}  {attempts} attempts  {}",
                leases.join(", ")
            );
        }
    }
    Ok(())
}

fn settle(dir: &Path, id: JobId, ran: bool, never: bool) -> Result<(), JobsCommandError> {
    let outcome = match (ran, never) {
        (true, false) => Outcome::Ran,
        (false, true) => Outcome::Never,
        _ => return Err(JobsCommandError::AmbiguousOutcome),
    };
    let Ok(disk) = Disk::lock(dir) else {
        let path = disk::write_settlement(dir, id, outcome).map_err(directory_error(dir))?;
        println!(
            "settlement left for the process that uses the store: {}",
            path.display()
        );
        return Ok(());
    };
    // No process uses the store: the settlement is appended to its log directly.
    let (mut log, recovered) = Log::open(disk, 1 << 20).map_err(store_error(dir))?;
    let next = log.next_record();
    let mut jobs = restore(recovered, next);
    if !jobs.indeterminate().contains(&id) {
        return Err(JobsCommandError::NotInDoubt(id));
    }
    // Confirmed by the append below.
    _ = jobs.settle(now(), id, outcome);
    let (first, records) = jobs.records();
    let (frames, lengths) = encode_all(first, first - 1, &records);
    log.append(&frames, &lengths).map_err(store_error(dir))?;
    println!("{id} is settled");
    Ok(())
}

fn verify(dir: &Path) -> Result<(), JobsCommandError> {
    let (recovered, damage) = read_store(dir)?;
    if let Some(TornTail { file, offset }) = &recovered.torn_tail {
        println!(
            "{file} ends in a torn write at offset {offset}; a start cuts it, and nothing is lost"
        );
    }
    println!("{} records can be read", recovered.records.len());
    if damage.is_empty() {
        return Ok(());
    }
    Err(JobsCommandError::Damaged(damage))
}

fn export(dir: &Path) -> Result<(), JobsCommandError> {
    let (recovered, damage) = read_store(dir)?;
    for fault in &damage {
        eprintln!("oakshed: {fault}");
    }
    for (number, record) in &recovered.records {
        let mut line = record_json(record);
        line["n"] = json!(number);
        println!("{line}");
    }
    Ok(())
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The JSON form of a record, without its number.
fn record_json(record: &Record) -> Value {
    match record {
        Record::Opened { at, wall, .. } => json!({"what": "opened", "at_us": at, "wall_us": wall}),
        Record::Accepted {
            at,
            id,
            payload,
            deadline,
            leases,
            ..
        } => {
            let fields: Vec<_> = payload
                .fields
                .iter()
                .map(|(name, value)| (name.clone(), text(value)))
                .collect();
            json!({
                "what": "taken", "id": id.to_string(), "at_us": at, "deadline_us": deadline,
                "class": payload.class, "owner": payload.owner, "target": payload.target,
                "body": text(&payload.body), "fields": fields, "leases": leases,
            })
        }
        Record::Leased { id, lease } => {
            json!({"what": "leased", "id": id.to_string(), "lease": lease})
        }
        record if *record == LEASE_FIELDS_RECORDED => json!({"what": "lease-fields-recorded"}),
        Record::Unsent { id, token } => {
            json!({"what": "unsent", "id": id.to_string(), "token": token})
        }
        Record::Finished {
            at,
            id,
            answer,
            indeterminate,
            outcome,
            ..
        } => {
            let (kind, result) = answer_text(answer);
            json!({
                "what": "finished", "id": id.to_string(), "at_us": at, "answer": kind,
                "result": result, "doubt": indeterminate, "outcome": outcome.map(|o| format!("{o:?}")),
            })
        }
        Record::Dropped { id } => json!({"what": "dropped", "id": id.to_string()}),
    }
}

/// The name of an answer's kind, and the result if there is one.
fn answer_text(answer: &Answer) -> (&'static str, Option<String>) {
    match answer {
        Answer::Served(result) => ("served", Some(text(result))),
        Answer::Failed => ("failed", None),
        Answer::Rejected(_) => ("refused", None),
        Answer::Cancelled => ("withdrawn", None),
    }
}
