//! The ids of requests that may have run and must not run again.
//!
//! A client that leaves before its answer may send the same id once more. An id is recorded before the first byte of an
//! attempt is written, and forgotten if every attempt is proven never to have run. The ids are bounded in time and in
//! number, and the processes of a hot restart know each other's through files in their shared directory.

mod execution;
mod journal;
mod record;
mod shared_journals;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderValue;
use oakshed_core::facade::Micros;
use rustc_hash::FxHashMap;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_128;

use super::clock::monotonic_clock;
use super::transient::retry_at_start;
use super::Net;
pub(super) use execution::{Execution, ExecutionError};
use record::{Event, Record};
use shared_journals::SharedJournals;

/// How long an id is known, in microseconds.
const RETENTION: Micros = 10_000_000;
/// How long an id is known at least, if there are more than [`ExecutedIds::capacity`]; in microseconds.
const MIN_RETENTION: Micros = 2_000_000;
/// The part of the memory limit for ids, as a divisor.
const MEMORY_DIVISOR: usize = 64;
/// What an id takes, in bytes: in the map, in the order of expiry, and in the file.
const ENTRY_BYTES: usize = 128;
const MIN_CAPACITY: usize = 4_096;
/// The name of a process's journal, before its process id and the time of its start.
const FILE_PREFIX: &str = "executed-ids.";

/// The hash of an id.
type IdHash = u128;

/// An id whose time is up at `until`, unless it was recorded again.
struct Expiry {
    until: Micros,
    id: IdHash,
}

/// The ids that may have run.
pub(crate) struct ExecutedIds {
    capacity: usize,
    until: RefCell<FxHashMap<IdHash, Micros>>,
    order: RefCell<VecDeque<Expiry>>,
    /// `None` if the processes share no directory.
    journals: RefCell<Option<SharedJournals>>,
}

impl ExecutedIds {
    /// `memory` is the memory limit, in bytes.
    pub(super) fn new(memory: usize) -> Rc<ExecutedIds> {
        Rc::new(ExecutedIds {
            capacity: (memory / MEMORY_DIVISOR / ENTRY_BYTES).max(MIN_CAPACITY),
            until: RefCell::default(),
            order: RefCell::default(),
            journals: RefCell::new(None),
        })
    }

    /// Creates this process's journal in the shared directory, and opens those of the others.
    pub(super) fn share(&self, directory: &Path) {
        let open = || SharedJournals::open(directory, self.capacity);
        match retry_at_start(open) {
            Ok(journals) => {
                *self.journals.borrow_mut() = Some(journals);
                self.find_others();
            }
            Err(error) => {
                warn!(%error, "executed ids: {error}; another process will not know them");
            }
        }
    }

    /// Looks for the journals of processes that have started since, and removes obsolete ones.
    pub(super) fn find_others(&self) {
        if let Some(journals) = &mut *self.journals.borrow_mut() {
            journals.find_others();
        }
        self.read_others();
        if let Some(journals) = &mut *self.journals.borrow_mut() {
            journals.close_ended();
        }
    }

    /// Whether another process runs that shares the directory, as of now.
    pub(super) fn is_other_running(&self) -> bool {
        self.find_others();
        let journals = self.journals.borrow();
        journals
            .as_ref()
            .is_some_and(SharedJournals::is_other_running)
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
        self.order.borrow().len() < self.capacity
            || oldest_expires
                .is_some_and(|until| monotonic_clock() + RETENTION >= until + MIN_RETENTION)
    }

    /// Records an id, unless a request with it may have run, here or in another process. Two processes that try at the
    /// same time may both fail, as each reads the other's journal after it has written its own.
    fn try_record(&self, id: IdHash) -> bool {
        if self.contains(id) {
            return false;
        }
        self.insert_and_append(Event::Executed, id);
        !self.read_others().contains(&id)
    }

    /// Forgets an id that has not run after all.
    fn forget(&self, id: IdHash) {
        self.insert_and_append(Event::NeverExecuted, id);
    }

    fn insert_and_append(&self, event: Event, id: IdHash) {
        let at = monotonic_clock();
        let record = Record { event, id, at };
        self.apply(record);
        if let Some(journals) = &mut *self.journals.borrow_mut() {
            journals.append(record);
        }
    }

    /// Takes over what a process has recorded. The records of different processes come in any order.
    fn apply(&self, record: Record) {
        let until = record.at.saturating_add(RETENTION);
        match record.event {
            Event::Executed => self.insert(record.id, until),
            Event::NeverExecuted => self.remove(record.id, until),
        }
    }

    fn insert(&self, id: IdHash, until: Micros) {
        if self.until.borrow().get(&id) >= Some(&until) {
            return;
        }
        self.until.borrow_mut().insert(id, until);
        self.order.borrow_mut().push_back(Expiry { until, id });
        while self.order.borrow().len() > self.capacity {
            self.forget_oldest();
        }
    }

    /// Removes an id, unless a process has recorded it later.
    fn remove(&self, id: IdHash, until: Micros) {
        let mut entries = self.until.borrow_mut();
        if entries.get(&id) <= Some(&until) {
            entries.remove(&id);
        }
    }

    fn forget_expired(&self) {
        let now = monotonic_clock();
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

    /// Takes over what other processes have recorded since the last call, but for what has expired. Returns the ids of
    /// requests that may have run.
    fn read_others(&self) -> Vec<IdHash> {
        let mut executed = Vec::new();
        let journals = &mut *self.journals.borrow_mut();
        let records = journals.as_mut().map(SharedJournals::read_others);
        let now = monotonic_clock();
        for record in records.into_iter().flatten() {
            // A time yet to come was recorded before the system was started.
            if record.at <= now && now < record.at + RETENTION {
                self.apply(record);
                executed.extend((record.event == Event::Executed).then_some(record.id));
            }
        }
        executed
    }

    /// What the ids take, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.order.borrow().len() * ENTRY_BYTES
    }
}

/// Keeps the shared directory free of obsolete journals.
pub(super) async fn remove_obsolete_journals(net: Rc<Net>) {
    loop {
        tokio::time::sleep(Duration::from_micros(RETENTION)).await;
        net.executed_ids.find_others();
    }
}

fn hash(id: &HeaderValue) -> IdHash {
    xxh3_128(id.as_bytes())
}
