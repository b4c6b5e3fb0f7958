//! The table of all known workers, whether or not they are still in the endpoint list.
//!
//! The rest of the scheduler refers to a worker by its [`WorkerIndex`]. When workers are removed, the indices
//! of the others change, and every stored index must be updated with [`IndexRemap`].

use std::ops::{Index, IndexMut};

use rustc_hash::FxHashMap;

use super::Worker;
use crate::interface::WorkerId;

/// The index of a worker in the table, valid until workers are next removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkerIndex(u32);

impl WorkerIndex {
    fn new(index: usize) -> Self {
        WorkerIndex(index as u32)
    }

    fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// All known workers, by index and by id.
#[derive(Default)]
pub(crate) struct WorkerTable {
    workers: Vec<Worker>,
    by_id: FxHashMap<WorkerId, WorkerIndex>,
}

impl WorkerTable {
    /// The number of known workers.
    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    /// The indices of all workers, in ascending order.
    pub(crate) fn indices(&self) -> impl Iterator<Item = WorkerIndex> + use<> {
        (0..self.workers.len()).map(WorkerIndex::new)
    }

    /// Iterates over all workers in the order of their indices.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, Worker> {
        self.workers.iter()
    }

    /// Iterates mutably over all workers in the order of their indices.
    pub(crate) fn iter_mut(&mut self) -> std::slice::IterMut<'_, Worker> {
        self.workers.iter_mut()
    }

    /// The index of a worker, if it is known.
    pub(crate) fn find(&self, id: WorkerId) -> Option<WorkerIndex> {
        self.by_id.get(&id).copied()
    }

    /// The index of a worker, which is added if it is not known.
    pub(crate) fn find_or_add(&mut self, id: WorkerId) -> WorkerIndex {
        let next = WorkerIndex::new(self.workers.len());
        let index = *self.by_id.entry(id).or_insert(next);
        if index == next {
            self.workers.push(Worker::new(id));
        }
        index
    }

    /// Removes the workers that are not in `retained` and closes the gaps. Returns the new indices.
    pub(crate) fn retain(&mut self, retained: &Retained) -> IndexRemap {
        let mut moves = IndexRemap {
            new_indices: vec![None; retained.flags.len()],
        };
        let workers = std::mem::take(&mut self.workers);
        for (old_index, worker) in workers.into_iter().enumerate() {
            if retained.flags[old_index] {
                moves.new_indices[old_index] = Some(WorkerIndex::new(self.workers.len()));
                self.workers.push(worker);
            }
        }
        self.by_id.retain(|_, index| moves.apply(index));
        moves
    }
}

impl Index<WorkerIndex> for WorkerTable {
    type Output = Worker;

    fn index(&self, index: WorkerIndex) -> &Worker {
        &self.workers[index.as_usize()]
    }
}

impl IndexMut<WorkerIndex> for WorkerTable {
    fn index_mut(&mut self, index: WorkerIndex) -> &mut Worker {
        &mut self.workers[index.as_usize()]
    }
}

/// The workers that [`WorkerTable::retain`] keeps.
pub(crate) struct Retained {
    flags: Vec<bool>,
}

impl Retained {
    /// Selects all active workers.
    pub(crate) fn active(workers: &WorkerTable) -> Self {
        Retained {
            flags: workers.iter().map(|w| w.listing.is_active).collect(),
        }
    }

    /// Adds a worker to the selection.
    pub(crate) fn add(&mut self, index: WorkerIndex) {
        self.flags[index.as_usize()] = true;
    }
}

/// Maps the indices from before a [`WorkerTable::retain`] to those after it.
pub(crate) struct IndexRemap {
    new_indices: Vec<Option<WorkerIndex>>,
}

impl IndexRemap {
    /// Replaces an index by the worker's new one. Returns whether the worker is still known.
    pub(crate) fn apply(&self, index: &mut WorkerIndex) -> bool {
        let new_index = self.new_indices[index.as_usize()];
        if let Some(new_index) = new_index {
            *index = new_index;
        }
        new_index.is_some()
    }
}
