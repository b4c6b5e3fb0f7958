//! Runs [`Scheduler`]s for the simulator, which sends events and receives actions as lines of JSON.
//!
//! Time comes from the simulator with each batch of events; no clock is read here.

mod error;
mod input;
mod output;

use std::io::{self, BufRead, Write};

use rustc_hash::FxHashMap;

use crate::settings::{ms_to_micros, settings};
use oakshed_core::interface::{Action, Condition, Micros, Row, WorkerId};
use oakshed_core::names::worker_id;
use oakshed_core::Scheduler;

pub use error::{LineError, ServeError};
pub use input::{lenient, parse_request_id};
use input::{missing_field, read_event, Line, WireRow};
use output::write_action;

/// Number of slots for endpoint lists from `DIRECTORY` lines, shared by all schedulers of the process.
const DIRECTORY_SLOTS: usize = 16;

/// One hosted scheduler.
struct Instance {
    name: String,
    /// `None` before the scheduler is spawned and after a crash.
    scheduler: Option<Scheduler>,
    /// Whether its index is in [`Host::with_events`].
    has_events: bool,
}

/// State of the process: the schedulers, and the names and endpoint lists that they share.
#[derive(Default)]
struct Host {
    instances: Vec<Instance>,
    index_by_name: FxHashMap<String, usize>,
    worker_names: FxHashMap<WorkerId, String>,
    /// The rows of each slot.
    directories: Vec<Vec<Row>>,
    /// Indices of the schedulers with events in the current batch, in the order of their first event.
    with_events: Vec<usize>,
    /// Cleared for each scheduler; kept to reuse its allocation.
    actions: Vec<Action>,
}

impl Host {
    /// Returns the id of a worker, and stores its name for the output.
    fn register_worker(&mut self, name: &str) -> WorkerId {
        let id = worker_id(name);
        self.worker_names
            .entry(id)
            .or_insert_with(|| name.to_owned());
        id
    }

    /// Stores an endpoint list in a slot.
    fn set_directory(&mut self, slot: usize, rows: &str) -> Result<(), LineError> {
        let rows: Vec<WireRow> = serde_json::from_str(rows).map_err(LineError::Rows)?;
        let mut list = Vec::with_capacity(rows.len());
        for row in rows {
            let condition = match row.condition {
                "active" => Condition::Active,
                "leaving" => Condition::Leaving,
                "left" => Condition::Left,
                other => return Err(LineError::Condition(other.to_owned())),
            };
            list.push(Row {
                worker: self.register_worker(row.worker),
                zone: row.hall,
                kind: row.model,
                cell: row.block,
                weight: row.weight.unwrap_or(1.0),
                condition,
                online_since: ms_to_micros(row.online_since),
            });
        }
        if slot >= DIRECTORY_SLOTS {
            return Err(LineError::Slot);
        }
        self.directories.resize_with(DIRECTORY_SLOTS, Vec::new);
        self.directories[slot] = list;
        Ok(())
    }

    /// Returns the index of the scheduler with this name, and adds an entry for a new name.
    fn instance_index(&mut self, name: &str) -> usize {
        if let Some(&index) = self.index_by_name.get(name) {
            return index;
        }
        let index = self.instances.len();
        self.index_by_name.insert(name.to_owned(), index);
        self.instances.push(Instance {
            name: name.to_owned(),
            scheduler: None,
            has_events: false,
        });
        index
    }

    /// Handles a line that is neither a batch header nor a batch end.
    fn handle_line(&mut self, now: Micros, line: &Line) -> Result<(), LineError> {
        if line.what == "DIRECTORY" {
            let rows = line.rows.ok_or_else(|| missing_field(line, "rows-in"))?;
            return self.set_directory(line.slot.unwrap_or(0), rows.get());
        }
        let Some(name) = line.scheduler else {
            return Ok(()); // an unknown event without a scheduler
        };
        let index = self.instance_index(name);
        if !self.instances[index].has_events {
            self.instances[index].has_events = true;
            self.with_events.push(index);
        }
        match line.what {
            "SPAWN" => {
                let boot = line.boot.ok_or_else(|| missing_field(line, "boot-info"))?;
                let seed = line.seed.ok_or_else(|| missing_field(line, "rng-seed"))?;
                let scheduler = Scheduler::new(settings(boot.get())?, seed)?;
                self.instances[index].scheduler = Some(scheduler);
                return Ok(());
            }
            "CRASH_NOW" => {
                self.instances[index].scheduler = None;
                return Ok(());
            }
            _ => {}
        }
        let Some(event) = read_event(line, &self.directories)? else {
            return Ok(());
        };
        if let Some(scheduler) = &mut self.instances[index].scheduler {
            scheduler.on_event(now, event);
        }
        Ok(())
    }

    /// Ends a batch: dispatches every scheduler that had an event and writes their actions.
    fn end_batch(&mut self, now: Micros, out: &mut impl Write) -> io::Result<()> {
        for index in self.with_events.drain(..) {
            let instance = &mut self.instances[index];
            instance.has_events = false;
            let Some(scheduler) = &mut instance.scheduler else {
                continue;
            };
            self.actions.clear();
            scheduler.dispatch(now, &mut self.actions);
            for action in &self.actions {
                write_action(out, &instance.name, action, &self.worker_names)?;
            }
        }
        out.write_all(b"{\"what\":\"OK\"}\n")?;
        out.flush()
    }
}

/// Runs the protocol until the end of the input.
///
/// # Errors
/// Fails if reading or writing fails, or on the first invalid line, whose number the error contains.
pub fn serve(mut input: impl BufRead, mut out: impl Write) -> Result<(), ServeError> {
    let mut host = Host::default();
    let mut now: Micros = 0;
    let mut line_number = 0u64;
    let mut buffer = Vec::new();
    loop {
        buffer.clear();
        if input.read_until(b'\n', &mut buffer)? == 0 {
            return Ok(());
        }
        line_number += 1;
        let at_line = |error| ServeError::Line {
            number: line_number,
            error,
        };
        if buffer.trim_ascii().is_empty() {
            continue;
        }
        let line: Line = serde_json::from_slice(&buffer).map_err(|e| at_line(e.into()))?;
        match line.what {
            "BATCH" => {
                let clock = line.clock.ok_or_else(|| missing_field(&line, "clock-ms"));
                now = ms_to_micros(clock.map_err(at_line)?);
            }
            "OVER_TO_YOU" => host.end_batch(now, &mut out)?,
            _ => host.handle_line(now, &line).map_err(at_line)?,
        }
    }
}
