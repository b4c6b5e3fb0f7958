//! A crowd of each kind, and all kinds together, within the memory limit of all processes.

use std::time::Duration;

use crate::clients::{End, OrdinaryClients};
use crate::crowd::{Behaviour, Crowd, ALL};
use crate::scheduler::{Limits, Scheduler};
use crate::MEMORY_MB;

/// More than the descriptors of most schedulers.
const CLIENTS: usize = 600;
/// Longer than a request may take to arrive, and than a response is kept for its client.
const CROWD_TIME: Duration = Duration::from_millis(7_500);
/// The most ordinary requests that may fail or get no answer beside a crowd, as one in this many. The crowd's jobs may
/// be more than the workers can do, so that ordinary ones are rejected too.
const FAILED_ONE_IN: usize = 50;

/// Runs a crowd beside ordinary clients; `events` happen in its middle.
#[track_caller]
fn hold_out(sockets: usize, behaviours: &[Behaviour], events: impl FnOnce(&mut Scheduler)) {
    let _exclusive = crate::exclusive_use();
    let mut scheduler = Scheduler::start(Limits {
        memory_mb: MEMORY_MB,
        sockets,
    });
    let ordinary = OrdinaryClients::start(scheduler.address());
    let crowd = Crowd::start(scheduler.address(), CLIENTS, behaviours);
    std::thread::sleep(CROWD_TIME / 2);
    events(&mut scheduler);
    std::thread::sleep(CROWD_TIME / 2);
    println!("{}", scheduler.memory_figures());
    let outcomes = ordinary.finish();
    drop(crowd);
    scheduler.assert_within_limit();
    let failed = outcomes.count(End::Failed) + outcomes.count(End::Lost);
    assert!(
        failed * FAILED_ONE_IN <= outcomes.total(),
        "{}",
        outcomes.summary()
    );
}

/// Each job's worker is probed, and answers the probe byte by byte.
#[test]
fn probe_answers_that_come_byte_by_byte() {
    let _exclusive = crate::exclusive_use();
    let limits = Limits {
        memory_mb: MEMORY_MB,
        sockets: 512,
    };
    let probing = [(
        r#""limits":{"cancelling""#,
        r#""load-info":{"how":"probe","columns":["outstanding","backlog"]},"limits":{"may-probe":true,"cancelling""#,
    )];
    let mut scheduler = Scheduler::start_with(limits, &probing);
    let ordinary = OrdinaryClients::start(scheduler.address());
    let crowd = Crowd::start(scheduler.address(), CLIENTS, &[Behaviour::Rest]);
    std::thread::sleep(CROWD_TIME / 2);
    println!("{}", scheduler.memory_figures());
    ordinary.finish();
    drop(crowd);
    scheduler.assert_within_limit();
    assert!(scheduler.workers.probes() > 0, "nothing was probed");
}

macro_rules! crowd_test {
    ($name:ident, $sockets:expr, $behaviours:expr) => {
        crowd_test!($name, $sockets, $behaviours, |_: &mut Scheduler| {});
    };
    ($name:ident, $sockets:expr, $behaviours:expr, $events:expr) => {
        #[test]
        fn $name() {
            if !crate::is_known_red(concat!("memory_limit::", stringify!($name))) {
                hold_out($sockets, &$behaviours, $events);
            }
        }
    };
}

crowd_test!(
    bodies_in_one_byte_chunks,
    512,
    [Behaviour::OneByteChunks, Behaviour::WholeBodyInChunks]
);
crowd_test!(unread_large_responses, 512, [Behaviour::UnreadResponses]);
crowd_test!(
    unread_large_responses_on_1024_sockets,
    1_024,
    [Behaviour::UnreadResponses]
);
crowd_test!(pipelined_bodies, 1_024, [Behaviour::PipelinedBodies]);
crowd_test!(stalled_bodies, 512, [Behaviour::StalledBody]);
crowd_test!(
    heads_of_many_fields,
    1_024,
    [Behaviour::ManyFields, Behaviour::TooManyFields]
);
crowd_test!(unfinished_lines, 1_024, [Behaviour::UnfinishedLines]);
crowd_test!(
    resting_connections_after_large_results,
    1_024,
    [Behaviour::Rest]
);
crowd_test!(all_kinds_on_256_sockets, 256, ALL);
crowd_test!(all_kinds_on_1024_sockets, 1_024, ALL);
crowd_test!(
    all_kinds_with_a_kill,
    512,
    ALL,
    |scheduler: &mut Scheduler| {
        scheduler.kill_oldest();
        scheduler.start_process();
    }
);
crowd_test!(
    all_kinds_with_a_hot_restart,
    512,
    ALL,
    Scheduler::hot_restart
);

/// The next process must share the limits with the oldest one too.
#[test]
fn process_that_follows_a_killed_successor_at_once_takes_over() {
    let _exclusive = crate::exclusive_use();
    let mut scheduler = Scheduler::start(Limits {
        memory_mb: MEMORY_MB,
        sockets: 512,
    });
    scheduler.start_process();
    scheduler.replace_successor_at_once();
    let log = scheduler.processes[1].log();
    assert!(log.contains("took over the socket"), "{log}");
}
