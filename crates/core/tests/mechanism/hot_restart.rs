//! State that is handed over from one process of a scheduler to the next.

use std::rc::Rc;

use oakshed_core::facade::{
    Condition, Entry, Estimates, Facade, HandoverState, ListKind, Micros, Observation,
    WarmingWorker, WorkerBackoff,
};

use crate::common::{row, settings};

const NOW: Micros = 1_000_000_000;
const SECOND: Micros = 1_000_000;
const DEPARTED: &str = "s-1";

fn entry(worker: &str, condition: Condition) -> Entry {
    Entry {
        condition,
        ..row(0).with_worker(Rc::from(worker))
    }
}

/// A process whose list has one worker, and which takes over `predecessor` if there is one.
fn process(predecessor: Option<&Facade>, now: Micros) -> Facade {
    let mut facade = Facade::new(settings(), 1).expect("usable settings");
    if let Some(predecessor) = predecessor {
        facade.resume_handover_state(now, &predecessor.handover_state(now));
        facade.resume_warming(now, &predecessor.warming_workers(now));
        facade.resume_departed(predecessor.departed_workers());
    }
    let listed = [entry("s-0", Condition::Active)];
    facade.report(now, Observation::List(ListKind::Snapshot, &listed));
    facade
}

/// A process in which a worker has left the list while it was warming up and backed off from, and its warm-up.
fn process_with_departed_worker() -> (Facade, WarmingWorker) {
    let mut process = process(None, NOW);
    let warming = WarmingWorker {
        worker: DEPARTED.into(),
        start: NOW,
        age: SECOND,
    };
    process.resume_warming(NOW, std::slice::from_ref(&warming));
    let backoff = WorkerBackoff {
        worker: DEPARTED.into(),
        left: 5 * SECOND,
        trials: 3,
    };
    let state = HandoverState {
        estimates: Estimates::default(),
        backoffs: vec![backoff],
    };
    process.resume_handover_state(NOW, &state);
    for condition in [Condition::Active, Condition::Left] {
        let listed = Entry {
            online_since: NOW,
            ..entry(DEPARTED, condition)
        };
        process.report(NOW, Observation::List(ListKind::Delta, &[listed]));
    }
    (process, warming)
}

/// Guards against a worker that left the list before a hot restart and returns after a second one: it must not count as
/// warm or healthy because the process in between never saw it listed.
#[test]
fn state_of_a_departed_worker_is_handed_on_at_a_second_hot_restart() {
    let (first, warming) = process_with_departed_worker();
    let second = process(Some(&first), NOW + SECOND);
    let later = NOW + 2 * SECOND;
    let third = process(Some(&second), later);
    let aged = WarmingWorker {
        age: 3 * SECOND,
        ..warming
    };
    for successor in [&second, &third] {
        let departed = successor.departed_workers();
        assert_eq!(departed, [Rc::from(DEPARTED)]);
        let backoffs = successor.handover_state(later).backoffs;
        let times: Vec<_> = backoffs.iter().map(|b| (b.left, b.trials)).collect();
        assert_eq!(times, [(3 * SECOND, 3)]);
        assert_eq!(
            successor.warming_workers(later),
            std::slice::from_ref(&aged)
        );
    }
}
