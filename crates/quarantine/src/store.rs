//! Stores the evidence of all members by interval, worker, member and class.
//!
//! Merging keeps the larger of each count, so rows may arrive in any order and any number of times.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::code::{DecodedRow, NameTable};
use crate::{Owner, FAILURE_KINDS};

/// What one member reported of one worker and class in one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Cell {
    /// The number of the member's zone.
    pub(crate) zone: u16,
    pub(crate) attempts: u32,
    /// By kind.
    pub(crate) failures: [u32; FAILURE_KINDS],
}

impl Cell {
    /// Merges a row's counts into this cell. Returns whether that changes it.
    fn join(&mut self, zone: u16, attempts: u32, failures: &[u32; FAILURE_KINDS]) -> bool {
        let before = *self;
        self.zone = zone;
        self.attempts = self.attempts.max(attempts);
        for (joined, failures) in self.failures.iter_mut().zip(failures) {
            *joined = (*joined).max(*failures);
        }
        *self != before
    }
}

/// An interner, which numbers names. Numbers are never reused.
#[derive(Clone, Debug)]
pub(crate) struct Interner<T> {
    ids: BTreeMap<T, u32>,
    names: BTreeMap<u32, T>,
    next: u32,
}

impl<T: Ord + Clone> Interner<T> {
    fn new() -> Interner<T> {
        Interner {
            ids: BTreeMap::new(),
            names: BTreeMap::new(),
            next: 0,
        }
    }

    /// The number of a name, which is assigned on first use.
    pub(crate) fn intern(&mut self, name: &T) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        self.next += 1;
        self.ids.insert(name.clone(), self.next);
        self.names.insert(self.next, name.clone());
        self.next
    }

    pub(crate) fn name(&self, id: u32) -> Option<&T> {
        self.names.get(&id)
    }

    /// Removes the names whose number is not in use.
    fn retain(&mut self, used: impl Fn(u32) -> bool) {
        self.ids.retain(|_, id| used(*id));
        self.names.retain(|id, _| used(*id));
    }
}

/// The period, in intervals, after which unused numbers are removed.
const ID_CLEANUP_PERIOD: u32 = 64;

/// Cells by worker, member and class.
pub(crate) type Cells = BTreeMap<(u32, u32, u8), Cell>;

/// The retained evidence of all members.
#[derive(Clone, Debug)]
pub(crate) struct EvidenceStore {
    pub(crate) intervals: BTreeMap<u32, Cells>,
    pub(crate) workers: Interner<Arc<str>>,
    pub(crate) owners: Interner<Owner>,
    pub(crate) zones: Vec<Arc<str>>,
    zone_numbers: BTreeMap<Arc<str>, u16>,
    cells: usize,
    max_cells: usize,
    /// The earliest interval that changed since the last call of [`EvidenceStore::take_first_changed`].
    first_changed: Option<u32>,
    /// How often evidence was rejected because the store has reached a limit.
    pub(crate) rejected: u64,
    /// The first interval that is retained.
    oldest: u32,
}

impl EvidenceStore {
    pub(crate) fn new(max_cells: usize) -> EvidenceStore {
        EvidenceStore {
            intervals: BTreeMap::new(),
            workers: Interner::new(),
            owners: Interner::new(),
            zones: Vec::new(),
            zone_numbers: BTreeMap::new(),
            cells: 0,
            max_cells,
            first_changed: None,
            rejected: 0,
            oldest: 0,
        }
    }

    /// The number of a zone, or `None` once all numbers are taken: a number is never used for a second zone, as its
    /// evidence would count for the first.
    pub(crate) fn zone_number(&mut self, zone: &Arc<str>) -> Option<u16> {
        if let Some(known) = self.zone_numbers.get(zone) {
            return Some(*known);
        }
        let Ok(new) = u16::try_from(self.zones.len()) else {
            self.rejected += 1;
            return None;
        };
        self.zones.push(zone.clone());
        self.zone_numbers.insert(zone.clone(), new);
        Some(new)
    }

    /// Merges a row of one member's evidence.
    pub(crate) fn merge(
        &mut self,
        owner: &Owner,
        window: u32,
        names: &NameTable,
        evidence: &DecodedRow,
    ) {
        let interval = window.saturating_mul(2).saturating_add(evidence.half);
        if interval < self.oldest {
            return;
        }
        let Some(zone) = self.zone_number(&names.zones[usize::from(evidence.zone)]) else {
            return;
        };
        let owner = self.owners.intern(owner);
        let mut changed = false;
        for (cell, attempts, failures) in &evidence.cells {
            let worker = *cell as usize / names.classes;
            let class = *cell as usize % names.classes;
            let worker = self.workers.intern(&names.workers[worker]);
            let cells = self.intervals.entry(interval).or_default();
            let key = (worker, owner, class as u8);
            if !cells.contains_key(&key) {
                if self.cells >= self.max_cells {
                    self.rejected += 1;
                    continue;
                }
                self.cells += 1;
            }
            changed |= cells
                .entry(key)
                .or_default()
                .join(zone, *attempts, failures);
        }
        if changed {
            let first = self.first_changed.unwrap_or(interval);
            self.first_changed = Some(first.min(interval));
        }
    }

    /// The earliest interval that changed since the last call.
    pub(crate) fn take_first_changed(&mut self) -> Option<u32> {
        self.first_changed.take()
    }

    /// Removes the evidence of intervals before `oldest`.
    pub(crate) fn expire(&mut self, oldest: u32) {
        if oldest <= self.oldest {
            return;
        }
        self.oldest = oldest;
        let retained = self.intervals.split_off(&oldest);
        let expired = std::mem::replace(&mut self.intervals, retained);
        self.cells -= expired.values().map(BTreeMap::len).sum::<usize>();
        if oldest % ID_CLEANUP_PERIOD == 0 {
            let used: BTreeSet<(u32, u32)> = self
                .intervals
                .values()
                .flat_map(|c| c.keys().map(|(w, o, _)| (*w, *o)))
                .collect();
            let owners: BTreeSet<u32> = used.iter().map(|(_, o)| *o).collect();
            let workers: BTreeSet<u32> = used.iter().map(|(w, _)| *w).collect();
            self.owners.retain(|id| owners.contains(&id));
            self.workers.retain(|id| workers.contains(&id));
        }
    }
}

impl Interner<Arc<str>> {
    /// The number of a name, if it has one.
    pub(crate) fn get(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }
}
