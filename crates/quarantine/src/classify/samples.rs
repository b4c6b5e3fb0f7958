//! The cells of an interval as samples, and sums over them.

use std::collections::BTreeMap;

use super::rates::{add, ClassCounts};
use crate::store::{Cell, Cells};

/// What one member observed of one worker in one class.
pub(super) struct Sample<'a> {
    pub(super) worker: u32,
    pub(super) owner: u32,
    pub(super) class: u8,
    /// The zone of the worker. That of the member is in the cell.
    zone: u16,
    pub(super) cell: &'a Cell,
    pub(super) failures: u32,
}

impl Sample<'_> {
    pub(super) fn add_to(&self, count: &mut ClassCounts) {
        add(count, self.class, self.cell.attempts, self.failures);
    }

    /// The zone of the member and the zone of the worker.
    pub(super) fn path(&self) -> (u16, u16) {
        (self.cell.zone, self.zone)
    }
}

/// The samples of an interval, without unknown classes and without workers that have no zone.
pub(super) fn samples<'a>(
    cells: &'a Cells,
    classes: usize,
    zone: impl Fn(u32) -> Option<u16>,
) -> Vec<Sample<'a>> {
    let mut samples = Vec::new();
    for ((worker, owner, class), cell) in cells {
        if usize::from(*class) >= classes {
            continue;
        }
        let Some(zone) = zone(*worker) else { continue };
        samples.push(Sample {
            worker: *worker,
            owner: *owner,
            class: *class,
            zone,
            cell,
            failures: cell.failures.iter().sum(),
        });
    }
    samples
}

/// Sums samples in total and by a key.
pub(super) fn sum_by<'a, K: Ord>(
    samples: impl Iterator<Item = &'a Sample<'a>>,
    key: impl Fn(&Sample<'a>) -> K,
) -> (ClassCounts, BTreeMap<K, ClassCounts>) {
    let mut all = ClassCounts::new();
    let mut by_key: BTreeMap<K, ClassCounts> = BTreeMap::new();
    for sample in samples {
        sample.add_to(&mut all);
        sample.add_to(by_key.entry(key(sample)).or_default());
    }
    (all, by_key)
}
