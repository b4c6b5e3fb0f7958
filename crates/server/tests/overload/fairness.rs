//! Ordinary clients are answered in time beside clients that send at full speed, or that occupy all descriptors.

use std::time::Duration;

use crate::clients::{End, OrdinaryClients};
use crate::crowd::{Behaviour, Crowd};
use crate::flood::{Flood, Floods, ALL};
use crate::scheduler::{Limits, Scheduler};
use crate::MEMORY_MB;

const FLOOD_TIME: Duration = Duration::from_secs(4);
/// The latency objective of the test's classes.
const OBJECTIVE: Duration = Duration::from_millis(150);
/// More than the descriptors of the scheduler.
const SLOW_CLIENTS: usize = 600;

#[derive(Clone, Copy)]
enum Interference<'a> {
    Floods(&'a [Flood]),
    Crowd(Behaviour),
}

/// Runs ordinary clients beside the interference. All of them must be served, and nineteen in twenty within the objective.
#[track_caller]
fn serve_beside(interference: Interference<'_>, events: impl FnOnce(&mut Scheduler)) {
    let _exclusive = crate::exclusive_use();
    let mut scheduler = Scheduler::start(Limits {
        memory_mb: MEMORY_MB,
        sockets: 512,
    });
    let ordinary = OrdinaryClients::start(scheduler.address());
    let address = scheduler.address();
    let (floods, crowd) = match interference {
        Interference::Floods(floods) => (Some(Floods::start(address, floods)), None),
        Interference::Crowd(behaviour) => {
            let crowd = Crowd::start(address, SLOW_CLIENTS, &[behaviour]);
            (None, Some(crowd))
        }
    };
    std::thread::sleep(FLOOD_TIME / 2);
    events(&mut scheduler);
    std::thread::sleep(FLOOD_TIME / 2);
    let outcomes = ordinary.finish();
    drop((floods, crowd));
    scheduler.assert_within_limit();
    let late = outcomes.quantile(0.95);
    assert!(late <= OBJECTIVE, "{}", outcomes.summary());
    assert!(
        outcomes.count(End::Served) * 20 >= outcomes.total() * 19,
        "{}",
        outcomes.summary()
    );
}

#[test]
fn one_flood_of_each_kind() {
    for flood in ALL {
        println!("{flood:?}");
        serve_beside(Interference::Floods(&[flood]), |_| {});
    }
}

#[test]
fn floods_from_several_cores() {
    for flood in ALL {
        println!("{flood:?}");
        serve_beside(Interference::Floods(&[flood; 4]), |_| {});
    }
}

#[test]
fn floods_during_a_hot_restart() {
    if crate::is_known_red("fairness::floods_during_a_hot_restart") {
        return;
    }
    serve_beside(Interference::Floods(&ALL), Scheduler::hot_restart);
}

#[test]
fn heads_that_come_byte_by_byte() {
    if crate::is_known_red("fairness::heads_that_come_byte_by_byte") {
        return;
    }
    serve_beside(Interference::Crowd(Behaviour::SlowHead), |_| {});
}

#[test]
fn idle_connections() {
    if crate::is_known_red("fairness::idle_connections") {
        return;
    }
    serve_beside(Interference::Crowd(Behaviour::Idle), |_| {});
}
