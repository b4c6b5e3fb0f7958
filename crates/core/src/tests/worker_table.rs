//! Tests of the worker table and of its indices after workers are removed.

use crate::interface::WorkerId;
use crate::state::{Retained, WorkerTable};

#[test]
fn worker_is_added_once() {
    let mut table = WorkerTable::default();
    let first = table.find_or_add(WorkerId(7));
    let second = table.find_or_add(WorkerId(8));
    assert_ne!(first, second);
    assert_eq!(table.find_or_add(WorkerId(7)), first);
    assert_eq!(table.find(WorkerId(8)), Some(second));
    assert_eq!(table.find(WorkerId(9)), None);
    assert_eq!((table.len(), table[second].id), (2, WorkerId(8)));
}

#[test]
fn removal_keeps_retained_workers_and_updates_indices() {
    let mut table = WorkerTable::default();
    let indices: Vec<_> = (0..4).map(|n| table.find_or_add(WorkerId(n))).collect();
    table[indices[3]].listing.is_active = true;
    let mut retained = Retained::active(&table);
    retained.add(indices[1]);
    let moves = table.retain(&retained);
    let mut retained_index = indices[1];
    assert!(moves.apply(&mut retained_index));
    assert_eq!(table[retained_index].id, WorkerId(1));
    assert!(!moves.apply(&mut indices[2].clone()));
    assert_eq!(table.len(), 2);
    assert_eq!(table.find(WorkerId(0)), None);
    let active_index = table
        .find(WorkerId(3))
        .expect("active workers are retained");
    assert_eq!(table[active_index].id, WorkerId(3));
}
