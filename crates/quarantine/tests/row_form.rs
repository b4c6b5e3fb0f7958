//! The encoding of rows is byte for byte that of the fixture, which an earlier version wrote: members of both versions
//! exchange rows.

use std::fmt::Write as _;
use std::sync::Arc;

use oakshed_quarantine::{
    AttemptCounter, Config, Outcome, Owner, Quarantine, RowUpdate, Worker, WorkerState,
};

const BEGIN: u64 = 1_700_000_000;
const FIXTURE: &str = include_str!("fixtures/rows-v1.txt");
const OUTCOMES: [Outcome; 7] = [
    Outcome::Success,
    Outcome::Error,
    Outcome::Reset,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::LateStart,
    Outcome::DuplicateResponse,
];

fn workers() -> Vec<Worker> {
    let worker = |n: u64| Worker {
        name: Arc::from(format!("w{n}")),
        zone: Arc::from(if n % 2 == 0 { "east" } else { "west" }),
        capacity: 4,
        started: (BEGIN - 3_600) * 1_000 + n,
        state: WorkerState::Ready,
    };
    (0..12).map(worker).collect()
}

fn config(n: usize) -> Config {
    let zone = if n % 2 == 0 { "east" } else { "west" };
    Config {
        max_zone_share: 0.5,
        bytes_per_second: 1 << 20,
        ..Config::new(Owner::new(&format!("s{n}"), 1), zone, &["read", "write"])
    }
}

fn line(row: &RowUpdate) -> String {
    let mut line = format!("{} ", row.window);
    for byte in &row.subject {
        write!(line, "{byte:02x}").expect("writing to memory");
    }
    format!("{line} {:?}\n", row.increments)
}

/// The rows of one member's attempts over 12 s, with all outcomes.
fn evidence() -> String {
    let mut counter = AttemptCounter::new(config(1), 1);
    counter.set_workers(&workers());
    let mut lines = String::new();
    for second in 0..12 {
        let now = (BEGIN + second) * 1_000_000;
        for (n, outcome) in OUTCOMES.into_iter().enumerate() {
            let worker = format!("w{}", (n + second as usize) % 12);
            counter.record_attempt(now, &worker, n % 2, true, outcome);
        }
        for row in counter.take_updates(now) {
            lines += &line(&row);
        }
    }
    lines
}

/// The rows of a proposal, for one worker that fails in the evidence of four members.
fn proposal() -> String {
    let mut counters: Vec<AttemptCounter> = (0..4)
        .map(|n| AttemptCounter::new(config(n), n as u64))
        .collect();
    let mut machine = Quarantine::new(config(0), 1);
    let mut lines = String::new();
    machine.set_workers(BEGIN * 1_000_000, &workers());
    for counter in &mut counters {
        counter.set_workers(&workers());
    }
    for second in 0..60 {
        let now = (BEGIN + second) * 1_000_000;
        for (n, counter) in counters.iter_mut().enumerate() {
            for worker in 0..12 {
                let is_failure = worker == 5 && second % 2 == 0;
                let outcome = OUTCOMES[usize::from(is_failure)];
                counter.record_attempt(now, &format!("w{worker}"), 0, true, outcome);
            }
            let owner = Owner::new(&format!("s{n}"), 1);
            for row in counter.take_updates(now) {
                machine.merge(&owner, row.window, &row.subject, &row.counts());
            }
        }
        machine.tick(now);
        for row in machine.take_updates(now) {
            lines += &line(&row);
        }
    }
    lines
}

#[test]
fn rows_are_encoded_as_by_an_earlier_version() {
    let lines = evidence() + &proposal();
    assert_eq!(lines, FIXTURE);
}
