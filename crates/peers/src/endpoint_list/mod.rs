//! The endpoint list that schedulers pass on: discovery's list with its number, which workers are draining,
//! and since when each runs.
//!
//! [`EndpointListCache`] has the newest list that is known of the own discovery service, by whoever sent
//! it. A list from a peer never relaxes anything: an older list never overrides a newer one, lists of
//! different services are never compared, and updates only restrict (a worker is draining, a worker started
//! later than known).

use std::collections::{BTreeMap, BTreeSet};

use crate::Micros;

mod types;

pub use types::{EndpointList, ListChunk, ListUpdate, ListVersion, Worker, WorkerState};

/// The longest id of a worker or name of a discovery service, in bytes.
pub const MAX_ID_LENGTH: usize = 64;
/// The most bytes of workers in one chunk.
const MAX_CHUNK_LENGTH: usize = 960;
/// Bytes of a worker in a chunk beside its id: its length, state and start.
const WORKER_OVERHEAD: usize = 9;

/// A worker in the cache.
#[derive(Clone, Debug)]
struct Entry {
    state: WorkerState,
    start: u64,
    /// The number of the list that changed it last.
    changed_in: u64,
}

impl Entry {
    fn is_removed(&self) -> bool {
        self.state == WorkerState::Removed
    }

    fn worker(&self, id: &str) -> Worker {
        Worker {
            id: id.to_owned(),
            state: self.state,
            start: self.start,
        }
    }
}

/// A list of which some chunks have come.
#[derive(Clone, Debug)]
struct PartialList {
    base: u64,
    number: u64,
    count: u16,
    /// When discovery sent it.
    sent_at: Micros,
    chunks: BTreeSet<u16>,
    workers: Vec<Worker>,
}

impl PartialList {
    /// Whether a chunk belongs to this list.
    fn contains_chunk(&self, chunk: &ListChunk) -> bool {
        self.base == chunk.base && self.number == chunk.number && self.count == chunk.count
    }
}

/// The newest endpoint list that is known.
#[derive(Clone, Debug)]
pub struct EndpointListCache {
    discovery: String,
    /// The most workers, and the most removed ones that are retained beside them, so that peers are notified
    /// of these.
    max_workers: usize,
    /// The age beyond which a peer's list is ignored.
    max_age: Micros,
    number: u64,
    /// When discovery sent the list.
    sent_at: Micros,
    workers: BTreeMap<String, Entry>,
    /// The last change of removed workers that are not retained: who has an older list needs a snapshot.
    min_delta_base: u64,
    partial: Option<PartialList>,
    /// Chunks that were ignored: lists of other discovery services, older lists, or too many workers.
    pub ignored: u64,
}

impl EndpointListCache {
    /// A cache of one discovery service, identified by its address as the settings have it.
    #[must_use]
    pub fn new(discovery: &str, max_workers: usize, max_age: Micros) -> EndpointListCache {
        EndpointListCache {
            discovery: discovery.to_owned(),
            max_workers,
            max_age,
            number: 0,
            sent_at: 0,
            workers: BTreeMap::new(),
            min_delta_base: 0,
            partial: None,
            ignored: 0,
        }
    }

    /// The version of the cached list.
    #[must_use]
    pub fn version(&self) -> ListVersion {
        let discovery = crc32fast::hash(self.discovery.as_bytes()) & 0xff_ffff;
        ListVersion {
            discovery,
            number: self.number,
        }
    }

    /// The own discovery service sent a snapshot: it counts whatever its number is. Returns whether peers have
    /// to be notified of it.
    pub fn on_discovery_list(&mut self, now: Micros, number: u64, list: &[Worker]) -> bool {
        let is_new = number != self.number;
        self.apply(now, number, 0, list);
        if self
            .partial
            .as_ref()
            .is_some_and(|partial| partial.number <= number)
        {
            self.partial = None;
        }
        is_new
    }

    /// Applies a snapshot (base 0) or a delta.
    fn apply(&mut self, sent_at: Micros, number: u64, base: u64, list: &[Worker]) {
        if base == 0 {
            let present: BTreeSet<&str> = list.iter().map(|worker| worker.id.as_str()).collect();
            for (id, entry) in &mut self.workers {
                if !entry.is_removed() && !present.contains(id.as_str()) {
                    entry.state = WorkerState::Removed;
                    entry.changed_in = number;
                }
            }
        }
        for worker in list {
            if worker.id.len() <= MAX_ID_LENGTH {
                self.apply_worker(number, worker);
            }
        }
        self.purge_removed();
        self.number = number;
        self.sent_at = sent_at;
    }

    fn apply_worker(&mut self, number: u64, worker: &Worker) {
        let entry = Entry {
            state: worker.state,
            start: worker.start,
            changed_in: number,
        };
        let has_capacity = self.workers.len() < 2 * self.max_workers;
        match self.workers.get_mut(&worker.id) {
            Some(old) if (old.state, old.start) == (entry.state, entry.start) => {}
            Some(old) => *old = entry,
            None if has_capacity => {
                self.workers.insert(worker.id.clone(), entry);
            }
            None => self.ignored += 1,
        }
    }

    /// Purges the removed workers beyond the most that are retained, the longest removed first.
    fn purge_removed(&mut self) {
        let mut removed: Vec<(u64, String)> = self
            .workers
            .iter()
            .filter(|(_, entry)| entry.is_removed())
            .map(|(id, entry)| (entry.changed_in, id.clone()))
            .collect();
        removed.sort();
        for (changed, id) in removed.iter().rev().skip(self.max_workers) {
            self.min_delta_base = self.min_delta_base.max(*changed);
            self.workers.remove(id);
        }
    }

    /// The chunks that bring a peer from its list to the cached one.
    #[must_use]
    pub fn chunks(&self, now: Micros, theirs: ListVersion) -> Vec<ListChunk> {
        if theirs.discovery != self.version().discovery || theirs.number >= self.number {
            return Vec::new();
        }
        // Guards against a delta that lacks removed workers which are not retained any more.
        let base = if theirs.number < self.min_delta_base {
            0
        } else {
            theirs.number
        };
        let chunks = self.changes_since(base);
        let Ok(count) = u16::try_from(chunks.len()) else {
            return Vec::new();
        };
        let age = now.saturating_sub(self.sent_at) / 1_000;
        let chunk = |(index, workers)| ListChunk {
            discovery: self.discovery.clone(),
            base,
            number: self.number,
            age,
            index,
            count,
            workers,
        };
        (0..count).zip(chunks).map(chunk).collect()
    }

    /// The workers that have changed since a base (0: all), in chunks; one chunk at least.
    fn changes_since(&self, base: u64) -> Vec<Vec<Worker>> {
        let mut chunks: Vec<Vec<Worker>> = Vec::new();
        let mut current = Vec::new();
        let mut length = 0;
        for (id, entry) in &self.workers {
            let is_included = entry.changed_in > base && (base > 0 || !entry.is_removed());
            if !is_included {
                continue;
            }
            let worker_length = id.len() + WORKER_OVERHEAD;
            if length + worker_length > MAX_CHUNK_LENGTH {
                chunks.push(std::mem::take(&mut current));
                length = 0;
            }
            length += worker_length;
            current.push(entry.worker(id));
        }
        chunks.push(current);
        chunks
    }

    /// A chunk of a peer's list came. Returns what it changes.
    pub fn apply_chunk(&mut self, now: Micros, chunk: ListChunk) -> Vec<ListUpdate> {
        let age = chunk.age.saturating_mul(1_000);
        if !self.is_usable(&chunk, age) {
            self.ignored += 1;
            return Vec::new();
        }
        // A delta whose base is missing cannot be applied, but its restrictions count.
        let mut updates = self.restrictions(chunk.number, age, &chunk.workers);
        if chunk.base > self.number {
            return updates;
        }
        if let Some(complete) = self.collect_chunk(now.saturating_sub(age), chunk) {
            let number = complete.number;
            if complete.base == 0 {
                updates.extend(self.missing_from(&complete, age));
            }
            self.apply(complete.sent_at, number, complete.base, &complete.workers);
            updates.push(ListUpdate::Complete { number, age });
        }
        updates
    }

    /// Whether a chunk is well-formed, of the own discovery service, newer than the cache and not too old.
    fn is_usable(&self, chunk: &ListChunk, age: Micros) -> bool {
        chunk.index < chunk.count
            && chunk.workers.len() <= 2 * self.max_workers
            && chunk.workers.iter().all(|w| w.id.len() <= MAX_ID_LENGTH)
            && chunk.discovery == self.discovery
            && chunk.number > self.number
            && age <= self.max_age
    }

    /// Adds a chunk to its list; returns the list once all of its chunks have come.
    fn collect_chunk(&mut self, sent_at: Micros, chunk: ListChunk) -> Option<PartialList> {
        let mut partial = match self.partial.take() {
            Some(partial) if partial.contains_chunk(&chunk) => partial,
            // Chunks of a newer list have come already.
            Some(partial) if partial.number > chunk.number && partial.base <= self.number => {
                self.partial = Some(partial);
                return None;
            }
            _ => PartialList {
                base: chunk.base,
                number: chunk.number,
                count: chunk.count,
                sent_at,
                chunks: BTreeSet::new(),
                workers: Vec::new(),
            },
        };
        if partial.chunks.insert(chunk.index) {
            partial.workers.extend(chunk.workers);
        }
        if partial.workers.len() > 2 * self.max_workers {
            self.ignored += 1;
            return None;
        }
        if partial.chunks.len() < usize::from(partial.count) {
            self.partial = Some(partial);
            return None;
        }
        Some(partial)
    }

    /// The cached workers that are not in a snapshot.
    fn missing_from(&self, snapshot: &PartialList, age: Micros) -> Vec<ListUpdate> {
        let present: BTreeSet<&str> = snapshot.workers.iter().map(|w| w.id.as_str()).collect();
        self.workers
            .iter()
            .filter(|(id, entry)| !entry.is_removed() && !present.contains(id.as_str()))
            .map(|(id, _)| ListUpdate::Withdrawn {
                worker: id.clone(),
                state: WorkerState::Removed,
                number: snapshot.number,
                age,
            })
            .collect()
    }

    /// What of a newer list restricts cached workers. Workers that are not cached get no jobs anyway.
    fn restrictions(&self, number: u64, age: Micros, workers: &[Worker]) -> Vec<ListUpdate> {
        let mut updates = Vec::new();
        for worker in workers {
            let Some(own) = self.workers.get(&worker.id) else {
                continue;
            };
            if worker.state > own.state {
                updates.push(ListUpdate::Withdrawn {
                    worker: worker.id.clone(),
                    state: worker.state,
                    number,
                    age,
                });
            }
            if worker.start > own.start {
                updates.push(ListUpdate::StartedLater {
                    worker: worker.id.clone(),
                    start: worker.start,
                });
            }
        }
        updates
    }

    /// The cached list, or nothing where there is none.
    #[must_use]
    pub fn list(&self, now: Micros) -> Option<EndpointList> {
        if self.number == 0 {
            return None;
        }
        let workers = self
            .workers
            .iter()
            .filter(|(_, entry)| !entry.is_removed())
            .map(|(id, entry)| entry.worker(id))
            .collect();
        Some(EndpointList {
            number: self.number,
            age: now.saturating_sub(self.sent_at),
            workers,
        })
    }
}
