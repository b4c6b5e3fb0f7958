//! The ids of requests that may have run and must not run again.
//!
//! A client that leaves before its answer may send the same id once more. An id is recorded before the first byte of an
//! attempt is written, and forgotten if every attempt is proven never to have run. The ids are bounded in time and in
//! number, and the processes of a hot restart know each other's through files in their shared directory.

mod execution;
mod journal;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use hyper::header::HeaderValue;
use oakshed_core::facade::Micros;
use rustc_hash::FxHashMap;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_128;

use super::Clock;
pub(super) use execution::{Execution, ExecutionError};
use journal::{Journal, JournalReader, Record};

/// How long an id is known, in microseconds.
const RETENTION: Micros = 10_000_000;
/// How long an id is known at least, if there are more than [`ExecutedIds::capacity`]; in microseconds.
const MIN_RETENTION: Micros = 2_000_000;
/// The part of the memory limit for ids, as a divisor.
const MEMORY_DIVISOR: usize = 64;
/// What an id takes, in bytes: in the map, in the order of expiry, and in the file.
const ENTRY_BYTES: usize = 128;
const MIN_CAPACITY: usize = 4_096;
/// The name of a process's file, before its process id.
const FILE_PREFIX: &str = "executed-ids.";

/// The hash of an id.
type IdHash = u128;

/// An id whose time is up at `until`, unless it was recorded again.
struct Expiry {
    until: Micros,
    id: IdHash,
}

/// The files of the processes that share a directory.
struct Journals {
    directory: PathBuf,
    own: Journal,
    others: Vec<JournalReader>,
}

/// The ids that may have run.
pub(crate) struct ExecutedIds {
    clock: Clock,
    capacity: usize,
    until: RefCell<FxHashMap<IdHash, Micros>>,
    order: RefCell<VecDeque<Expiry>>,
    /// `None` if the processes share no directory.
    journals: RefCell<Option<Journals>>,
}

impl ExecutedIds {
    /// `memory` is the memory limit, in bytes.
    pub(super) fn new(clock: Clock, memory: usize) -> Rc<ExecutedIds> {
        Rc::new(ExecutedIds {
            clock,
            capacity: (memory / MEMORY_DIVISOR / ENTRY_BYTES).max(MIN_CAPACITY),
            until: RefCell::default(),
            order: RefCell::default(),
            journals: RefCell::new(None),
        })
    }

    /// Creates this process's file in the shared directory, and reads those of the others.
    pub(super) fn share(&self, directory: &Path) {
        let path = directory.join(format!("{FILE_PREFIX}{}", std::process::id()));
        match Journal::create(path, self.capacity) {
            Ok(own) => {
                *self.journals.borrow_mut() = Some(Journals {
                    directory: directory.to_owned(),
                    own,
                    others: Vec::new(),
                });
                self.find_others();
            }
            Err(error) => {
                warn!(%error, "executed ids: {error}; another process will not know them");
            }
        }
    }

    /// Looks for files of processes that have started since. Those of processes that have ended are read and removed.
    pub(super) fn find_others(&self) {
        let mut journals = self.journals.borrow_mut();
        let Some(journals) = &mut *journals else {
            return;
        };
        let entries = fs::read_dir(&journals.directory).into_iter().flatten();
        for entry in entries.flatten() {
            let name = entry.file_name();
            let process = name
                .to_str()
                .and_then(|name| name.strip_prefix(FILE_PREFIX)?.parse::<u32>().ok());
            let Some(process) = process.filter(|process| *process != std::process::id()) else {
                continue;
            };
            let path = entry.path();
            if journals.others.iter().all(|other| other.path() != path) {
                journals.others.extend(JournalReader::open(&path));
            }
            if !Path::new(&format!("/proc/{process}")).exists() {
                _ = fs::remove_file(&path);
            }
        }
    }

    /// Whether a request with this id may have run, here or in another process.
    fn contains(&self, id: IdHash) -> bool {
        self.read_others();
        self.forget_expired();
        self.until.borrow().contains_key(&id)
    }

    /// Whether another id can be recorded.
    fn has_capacity(&self) -> bool {
        let oldest_expires = self.order.borrow().front().map(|oldest| oldest.until);
        let now = self.clock.now();
        self.order.borrow().len() < self.capacity
            || oldest_expires.is_some_and(|until| now + RETENTION >= until + MIN_RETENTION)
    }

    fn record(&self, id: IdHash) {
        self.insert(id);
        if let Some(journals) = &mut *self.journals.borrow_mut() {
            journals.own.append(Record::Executed(id));
        }
    }

    /// Forgets an id that has not run after all.
    fn forget(&self, id: IdHash) {
        self.until.borrow_mut().remove(&id);
        if let Some(journals) = &mut *self.journals.borrow_mut() {
            journals.own.append(Record::NeverExecuted(id));
        }
    }

    fn insert(&self, id: IdHash) {
        let until = self.clock.now() + RETENTION;
        self.until.borrow_mut().insert(id, until);
        self.order.borrow_mut().push_back(Expiry { until, id });
        while self.order.borrow().len() > self.capacity {
            self.forget_oldest();
        }
    }

    fn forget_expired(&self) {
        let now = self.clock.now();
        while self
            .order
            .borrow()
            .front()
            .is_some_and(|oldest| oldest.until <= now)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&self) {
        let Some(Expiry { until, id }) = self.order.borrow_mut().pop_front() else {
            return;
        };
        let mut entries = self.until.borrow_mut();
        if entries.get(&id) == Some(&until) {
            entries.remove(&id);
        }
    }

    /// Takes over what other processes have recorded since the last call.
    fn read_others(&self) {
        let mut records = Vec::new();
        if let Some(journals) = &mut *self.journals.borrow_mut() {
            for other in &mut journals.others {
                other.read_new(&mut records);
            }
        }
        for record in records {
            match record {
                Record::Executed(id) => self.insert(id),
                Record::NeverExecuted(id) => _ = self.until.borrow_mut().remove(&id),
            }
        }
    }

    /// What the ids take, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.order.borrow().len() * ENTRY_BYTES
    }
}

fn hash(id: &HeaderValue) -> IdHash {
    xxh3_128(id.as_bytes())
}
