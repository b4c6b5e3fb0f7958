//! The wire format of endpoint lists, and the updates that result from a peer's list.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// The state of a worker on the endpoint list, ordered from the least to the most restrictive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WorkerState {
    /// The worker accepts jobs.
    Ready,
    /// The worker completes its current jobs and accepts no others.
    Draining,
    /// The worker is no longer on the list.
    Removed,
}

/// A worker on the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The worker's id.
    pub id: String,
    /// Whether the worker accepts jobs.
    pub state: WorkerState,
    /// When the worker started, in milliseconds of Unix time.
    pub start: u64,
}

/// The version of an endpoint list: its discovery service and its number, which is 0 if there is no
/// list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// 24 bits of a hash of the discovery service's name. Numbers of different services are never
    /// compared.
    pub discovery: u32,
    /// The number that discovery assigned to the list.
    pub number: u64,
}

/// A chunk of an endpoint list, which is transferred as a snapshot or as a delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChunk {
    /// The name of the discovery service, because hashes may collide.
    pub discovery: String,
    /// The list number that the delta is relative to, or 0 for a snapshot.
    pub base: u64,
    /// The list's number.
    pub number: u64,
    /// The time since discovery sent the list, in milliseconds.
    pub age: u64,
    /// The index of this chunk, starting at 0.
    pub index: u16,
    /// The number of chunks of the list.
    pub count: u16,
    /// The workers of this chunk.
    pub workers: Vec<Worker>,
}

/// An update that results from a peer's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// A worker that may still be ready on the local list is draining or removed, and must get no
    /// more jobs.
    Withdrawn {
        /// The worker's id.
        worker: String,
        /// The worker's new state: draining or removed.
        state: WorkerState,
        /// The number of the list that contains this state.
        number: u64,
        /// The age of that list, in microseconds.
        age: Micros,
    },
    /// A worker started later than recorded on the local list, so its caches are colder.
    StartedLater {
        /// The worker's id.
        worker: String,
        /// When the worker started, in milliseconds of Unix time.
        start: u64,
    },
    /// The list of this number has been received completely and is now cached.
    Complete {
        /// The number that discovery assigned to the list.
        number: u64,
        /// The age of the list, in microseconds.
        age: Micros,
    },
}

/// The cached endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointList {
    /// The number that discovery assigned to the list.
    pub number: u64,
    /// The age of the list, in microseconds.
    pub age: Micros,
    /// The workers, sorted by id.
    pub workers: Vec<Worker>,
}
