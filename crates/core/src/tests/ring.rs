//! Tests of the consistent-hash ring.

use crate::interface::WorkerId;
use crate::state::{HashRing, WorkerIndex, WorkerTable};

fn workers(count: u64) -> Vec<WorkerIndex> {
    let mut table = WorkerTable::default();
    (0..count).map(|n| table.find_or_add(WorkerId(n))).collect()
}

/// The first worker for each of a thousand keys.
fn first_workers(ring: &HashRing) -> Vec<WorkerIndex> {
    let keys = 0..1_000;
    keys.map(|key| ring.worker_after(ring.home(key), 0))
        .collect()
}

/// An id for a worker that differs from its index, as real ids are hashes.
fn id(worker: WorkerIndex) -> u64 {
    format!("{worker:?}").bytes().map(u64::from).sum()
}

#[test]
fn removing_a_worker_moves_only_its_keys() {
    let all = workers(20);
    let mut ring = HashRing::default();
    ring.update(&all, id);
    let before = first_workers(&ring);
    let without = [&all[..7], &all[8..]].concat();
    ring.update(&without, id);
    let after = first_workers(&ring);
    for (old, new) in before.iter().zip(&after) {
        assert!(
            old == new || *old == all[7],
            "a key moved from {old:?} to {new:?}"
        );
    }
}

#[test]
fn incremental_update_gives_the_same_ring_as_a_rebuild() {
    let all = workers(20);
    let mut changed = HashRing::default();
    changed.update(&all[..18], id);
    changed.update(&all[1..], id);
    let mut fresh = HashRing::default();
    fresh.update(&all[1..], id);
    assert_eq!(first_workers(&changed), first_workers(&fresh));
}
