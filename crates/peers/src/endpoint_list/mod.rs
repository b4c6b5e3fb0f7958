//! The cache of discovery's endpoint list, and its replication between schedulers: the list's
//! number, and the state and start time of each worker.
//!
//! [`EndpointListCache`] holds the newest known list of the scheduler's own discovery service,
//! received either from that service or from a peer. A list from a peer can only restrict the use
//! of workers: a worker is draining or removed, or started later than known. An older list never
//! replaces a newer one, and numbers of different discovery services are never compared.

use std::collections::{BTreeMap, BTreeSet};

use crate::Micros;

mod types;

pub use types::{EndpointList, ListChunk, ListUpdate, ListVersion, Worker, WorkerState};

/// The maximum length of a worker's id or of a discovery service's name, in bytes.
pub const MAX_ID_LENGTH: usize = 64;
/// The maximum number of bytes of workers in one chunk.
const MAX_CHUNK_LENGTH: usize = 960;
/// Bytes of a worker in a chunk, excluding the id: the id's length, the state and the start time.
const WORKER_OVERHEAD: usize = 9;

/// A cached worker.
#[derive(Clone, Debug)]
struct Entry {
    state: WorkerState,
    start: u64,
    /// The number of the list that last changed this worker.
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

/// A list that is being assembled from chunks.
#[derive(Clone, Debug)]
struct PartialList {
    base: u64,
    number: u64,
    count: u16,
    /// When discovery sent the list.
    sent_at: Micros,
    chunks: BTreeSet<u16>,
    workers: Vec<Worker>,
}

impl PartialList {
    fn contains_chunk(&self, chunk: &ListChunk) -> bool {
        self.base == chunk.base && self.number == chunk.number && self.count == chunk.count
    }
}

/// The newest known endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointListCache {
    discovery: String,
    /// The maximum number of workers, and likewise of removed workers that are retained so that
    /// peers learn of the removal.
    max_workers: usize,
    /// The age beyond which a peer's list is ignored, in microseconds.
    max_age: Micros,
    number: u64,
    /// When discovery sent the list.
    sent_at: Micros,
    workers: BTreeMap<String, Entry>,
    /// The newest list number that changed a removed worker which is no longer retained. Peers with
    /// an older list need a snapshot instead of a delta.
    min_delta_base: u64,
    partial: Option<PartialList>,
    /// The number of ignored chunks (other discovery services, outdated or invalid lists, too many
    /// workers) and of workers ignored because the cache was full.
    pub ignored: u64,
}

impl EndpointListCache {
    /// Creates a cache for one discovery service, identified by its address as configured.
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

    /// Applies a snapshot sent by this scheduler's discovery service, which is authoritative even
    /// if its number is lower. Returns whether the number changed, so that peers have to be
    /// notified.
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

    /// Applies a snapshot (`base` is 0) or a delta.
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

    /// Purges removed workers in excess of the retention limit, those removed earliest first.
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

    /// The chunks that update a peer's list to the cached one.
    #[must_use]
    pub fn chunks(&self, now: Micros, theirs: ListVersion) -> Vec<ListChunk> {
        if theirs.discovery != self.version().discovery || theirs.number >= self.number {
            return Vec::new();
        }
        // A delta would omit removed workers that are no longer retained.
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

    /// The workers that changed after list number `base` (all if it is 0), split into chunks.
    /// Returns at least one chunk.
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

    /// Applies a chunk of a peer's list, and returns the resulting updates.
    pub fn apply_chunk(&mut self, now: Micros, chunk: ListChunk) -> Vec<ListUpdate> {
        let age = chunk.age.saturating_mul(1_000);
        if !self.is_usable(&chunk, age) {
            self.ignored += 1;
            return Vec::new();
        }
        // A delta with an unknown base cannot be applied, but its restrictions are valid.
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

    /// Whether a chunk is well-formed, recent enough, newer than the cached list and of this
    /// scheduler's discovery service.
    fn is_usable(&self, chunk: &ListChunk, age: Micros) -> bool {
        chunk.index < chunk.count
            && chunk.workers.len() <= 2 * self.max_workers
            && chunk.workers.iter().all(|w| w.id.len() <= MAX_ID_LENGTH)
            && chunk.discovery == self.discovery
            && chunk.number > self.number
            && age <= self.max_age
    }

    /// Adds a chunk to its list. Returns the list when all of its chunks have been received.
    fn collect_chunk(&mut self, sent_at: Micros, chunk: ListChunk) -> Option<PartialList> {
        let mut partial = match self.partial.take() {
            Some(partial) if partial.contains_chunk(&chunk) => partial,
            // Chunks of a newer list have already been received.
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

    /// Updates that remove the cached workers which a snapshot does not contain.
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

    /// Updates from a newer list that restrict cached workers. Workers that are not cached get no
    /// jobs anyway.
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

    /// The cached list, or `None` if no list has been received.
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
