//! Ordinary clients are answered in time beside clients that send at full speed, or that occupy all descriptors.

use std::time::Duration;

use oakshed_standin::send_raw;

use crate::clients::{End, OrdinaryClients};
use crate::cpu_time::cpu_time;
use crate::crowd::{fresh_id, head, Behaviour, Crowd};
use crate::flood::{Flood, Floods, ALL};
use crate::scheduler::{Limits, Scheduler};
use crate::workers::{IN_PIECES, LARGE_RESULT_BYTES};
use crate::MEMORY_MB;

const FLOOD_TIME: Duration = Duration::from_secs(4);
/// The latency objective of the test's classes.
const OBJECTIVE: Duration = Duration::from_millis(150);
/// More than the descriptors of the scheduler.
const SLOW_CLIENTS: usize = 600;
/// Clients whose results cost the scheduler much work.
const COSTLY_CLIENTS: usize = 4;

#[derive(Clone, Copy)]
enum Interference<'a> {
    Floods(&'a [Flood]),
    Crowd(usize, Behaviour),
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
        Interference::Crowd(clients, behaviour) => {
            let crowd = Crowd::start(address, clients, &[behaviour]);
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
    if crate::is_known_red("fairness::floods_from_several_cores") {
        return;
    }
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
    serve_beside(
        Interference::Crowd(SLOW_CLIENTS, Behaviour::SlowHead),
        |_| {},
    );
}

#[test]
fn idle_connections() {
    if crate::is_known_red("fairness::idle_connections") {
        return;
    }
    serve_beside(Interference::Crowd(SLOW_CLIENTS, Behaviour::Idle), |_| {});
}

#[test]
fn results_that_come_byte_by_byte() {
    let crowd = Interference::Crowd(COSTLY_CLIENTS, Behaviour::ResultsInPieces);
    serve_beside(crowd, |_| {});
}

#[test]
fn results_after_many_blank_lines() {
    serve_beside(
        Interference::Crowd(COSTLY_CLIENTS, Behaviour::BlankLines),
        |_| {},
    );
}
/// What a result costs the scheduler is in proportion to its length, however it is cut.
#[test]
fn result_in_one_byte_chunks_takes_little_processor_time() {
    let _exclusive = crate::exclusive_use();
    let scheduler = Scheduler::start(Limits {
        memory_mb: MEMORY_MB,
        sockets: 512,
    });
    let process = scheduler.processes[0].child.id();
    let before = cpu_time(process);
    let text = head("new-plate", IN_PIECES, &fresh_id("costly")) + "Content-Length: 0\r\n\r\n";
    let answer = send_raw(scheduler.address(), &text).expect("an answer");
    assert_eq!(answer.body.len(), LARGE_RESULT_BYTES);
    let used = cpu_time(process) - before;
    println!("{used:?}");
    assert!(used <= OBJECTIVE, "{used:?}");
}
