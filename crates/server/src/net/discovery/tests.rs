//! Tests of the watch on the endpoint list, with whole fleets in virtual time and every pair of faults.

mod confirmation;
mod fleet;

use std::time::Duration;

use tokio::time::{sleep, sleep_until, Instant};

use fleet::{CallState, Fleet, SchedulerState, MS};

/// A change counts as notified this long after it was made and discovery could be reached.
const NOTIFY_LIMIT: Duration = Duration::from_secs(6);
const OUTAGE: Duration = Duration::from_secs(3);

/// A fault of discovery that affects every scheduler of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// All connections are reset.
    Reset,
    /// The watches that are open are never answered.
    Silence,
    /// The next call of each scheduler is rejected.
    Refuse,
    /// The next call of each scheduler is never answered.
    Hang,
    /// Discovery cannot be reached for the time `OUTAGE`.
    Down,
    /// All schedulers are given another address of discovery.
    Move,
}
use Fault::*;

/// A change of the list, and the time limit within which each scheduler must have received it.
struct Change {
    number: u64,
    /// When the change was made and discovery could be reached.
    reachable_at: Instant,
    limits: Vec<Duration>,
}

/// Injects every pair of faults into a fleet, with a change of the list after each fault, and checks that every
/// scheduler receives the changes in time.
async fn assert_changes_arrive(schedulers: usize, poll_interval: Duration, service_time: Duration) {
    let fleet = Fleet::new(schedulers, poll_interval, service_time);
    fleet.start(true);
    sleep(10_000 * MS).await;
    let mut rng = fastrand::Rng::with_seed(schedulers as u64);
    let all = [Reset, Silence, Refuse, Hang, Down, Move];
    for (first, second) in all
        .into_iter()
        .flat_map(|a| all.into_iter().map(move |b| (a, b)))
    {
        let gap = [0, 50, 1_000, 2_900][rng.usize(..4)] * MS;
        let mut changes = Vec::new();
        let mut up_at = None;
        for fault in [first, second] {
            match fault {
                Reset => fleet.update(|s| s.resets += 1),
                Silence => fleet.update(|s| s.silences += 1),
                Refuse => {
                    for scheduler in fleet.schedulers.borrow_mut().iter_mut() {
                        scheduler.calls_to_reject += 1;
                    }
                }
                Hang => {
                    for scheduler in fleet.schedulers.borrow_mut().iter_mut() {
                        scheduler.calls_to_hang += 1;
                    }
                }
                Down => {
                    fleet.update(|s| s.is_down = true);
                    up_at = Some(Instant::now() + OUTAGE);
                }
                Move => fleet.update(|s| s.moves += 1),
            }
            // The list changes so soon that a scheduler may not have noticed the fault yet.
            sleep(rng.u32(..20) * MS).await;
            fleet.update(|s| s.generation += 1);
            let limit_after_answer = poll_interval.min(NOTIFY_LIMIT);
            let limit = |scheduler: &SchedulerState| match scheduler.call_state {
                CallState::Calling => NOTIFY_LIMIT,
                CallState::Answered => limit_after_answer,
                CallState::Failed => NOTIFY_LIMIT.min(4 * poll_interval),
            };
            let limits = fleet.schedulers.borrow().iter().map(limit).collect();
            let (number, reachable_at) = (fleet.discovery.borrow().generation, Instant::now());
            changes.push(Change {
                number,
                reachable_at,
                limits,
            });
            if fault == first {
                sleep(gap).await;
            }
        }
        if let Some(up_at) = up_at {
            sleep_until(up_at).await;
            fleet.update(|s| s.is_down = false);
            for change in &mut changes {
                change.reachable_at = change.reachable_at.max(up_at);
            }
        }
        sleep(9_000 * MS).await;
        for change in &changes {
            for (n, scheduler) in fleet.schedulers.borrow_mut().iter_mut().enumerate() {
                let received = scheduler
                    .received
                    .iter()
                    .find(|(number, _)| *number >= change.number);
                let limit = change.limits[n];
                let took =
                    received.map(|(_, at)| at.saturating_duration_since(change.reachable_at));
                assert!(
                    took.is_some_and(|took| took < limit),
                    "{schedulers} schedulers, poll interval {poll_interval:?}, {first:?} and {gap:?} later {second:?}: \
                     scheduler {n} received change {} after {took:?}, limit {limit:?}",
                    change.number
                );
            }
        }
        for scheduler in fleet.schedulers.borrow_mut().iter_mut() {
            scheduler.calls_to_hang = 0;
            scheduler.calls_to_reject = 0;
            scheduler.received.clear();
        }
    }
}

fn in_virtual_time(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Checks the time budget of `Settings::poll_quarter` for all ordered pairs of faults.
#[test]
fn every_change_arrives_within_the_limit_whatever_fails() {
    std::thread::scope(|threads| {
        for (schedulers, service_time) in [(1, 20 * MS), (3, 20 * MS), (30, 20 * MS), (300, 5 * MS)]
        {
            for poll_interval in [500, 2_000, 6_000, 10_000, 60_000].map(|ms| ms * MS) {
                // The budget holds only while discovery can serve the whole fleet within one quarter.
                let service_time = service_time.min(poll_interval / schedulers as u32);
                threads.spawn(move || {
                    in_virtual_time(assert_changes_arrive(
                        schedulers,
                        poll_interval,
                        service_time,
                    ));
                });
            }
        }
    });
}

/// Schedulers that start together without a list may overload discovery, which serves one call at a time. They would be
/// ready late, and fetch the whole list several times each.
#[test]
fn nine_in_ten_of_hundreds_have_a_list_within_ten_seconds() {
    for service_ms in [5, 20] {
        in_virtual_time(async move {
            let fleet = Fleet::new(300, 10_000 * MS, service_ms * MS);
            fleet.start(false);
            sleep(10_000 * MS).await;
            let ready = fleet
                .schedulers
                .borrow()
                .iter()
                .filter(|s| !s.received.is_empty())
                .count();
            sleep(20_000 * MS).await;
            let (calls, snapshots) = *fleet.calls.borrow();
            println!(
                "{service_ms} ms per call: {ready} of 300 ready within 10 s, {snapshots} snapshot calls, \
                 {calls} calls in 30 s"
            );
            assert!(
                ready >= 270 && snapshots <= 375,
                "{service_ms} ms per call: {ready} ready, {snapshots} snapshot calls"
            );
        });
    }
}

/// Schedulers that start with a cached list must spread their first calls over `Settings::poll_quarter`, not over the
/// longer span of those that have no list.
#[test]
fn cached_lists_of_hundreds_are_confirmed_within_a_quarter_and_the_service_time() {
    in_virtual_time(async {
        let fleet = Fleet::new(300, 10_000 * MS, 5 * MS);
        fleet.start(true);
        // The calls begin within 1.5 s, serving 300 of them takes another 1.5 s, and a new watch is held for 0.1 s.
        sleep(3_200 * MS).await;
        let confirmed = fleet
            .schedulers
            .borrow()
            .iter()
            .filter(|s| !s.received.is_empty())
            .count();
        let failed = fleet
            .schedulers
            .borrow()
            .iter()
            .filter(|s| s.call_state == CallState::Failed)
            .count();
        assert_eq!(
            (confirmed, failed),
            (300, 0),
            "confirmed and failed after 3.2 s"
        );
    });
}

/// Guards against a fleet that keeps an overloaded discovery service busy with calls that time out again. All watches
/// break at once; serving every scheduler takes longer than a call may wait, and calls that have timed out are served
/// all the same.
#[test]
fn a_fleet_lets_an_overloaded_discovery_recover() {
    for (schedulers, service_ms) in [(100, 60), (300, 20), (900, 7)] {
        in_virtual_time(async move {
            let fleet = Fleet::with_overloadable_discovery(schedulers, service_ms * MS);
            fleet.start(true);
            sleep(30_000 * MS).await;
            fleet.update(|s| s.resets += 1);
            sleep(20_000 * MS).await;
            fleet.update(|s| s.generation += 1);
            let changed_at = Instant::now();
            sleep(NOTIFY_LIMIT).await;
            let notified = fleet
                .schedulers
                .borrow()
                .iter()
                .filter(|s| s.received.iter().any(|(_, at)| *at >= changed_at))
                .count();
            assert_eq!(
                notified, schedulers,
                "notified of {schedulers} at {service_ms} ms per call"
            );
        });
    }
}
