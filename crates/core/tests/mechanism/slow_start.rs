//! Tests that fleets of 1 to 900 schedulers stay within the slow-start budget when workers or all schedulers restart,
//! workers drain, endpoint lists are cached, or the budget is only a few jobs. `slow_start_sum` checks the budget.

use oakshed_core::interface::*;

use crate::common::*;
use crate::slow_start_fleet::*;
use crate::slow_start_sum::*;

const SIZES: [u32; 5] = [1, 3, 20, 300, 900];
const COLD_WORKERS: usize = 12;
/// Arriving work while workers are cold, as a share of the capacity of all workers when warm.
const BURST_LOAD: f64 = 3.0;

/// Returns the parameters of three fleets: two variants of `slow_start_sum`, and one in which the initial budget of a
/// worker is about five requests.
fn plans(schedulers: u32) -> Vec<Plan> {
    let mut plans: Vec<Plan> = variants()[..2]
        .iter()
        .map(|variant| plan(variant, schedulers))
        .collect();
    let small_budget = Plan {
        slots: 1.0,
        run: 400 * MS,
        ..plans[0].clone()
    };
    plans.push(small_budget);
    plans
}

/// Restarts most workers and raises the load far beyond the capacity of all workers.
fn restart_most_workers(fleet: &mut Fleet) {
    fleet.plan.load = BURST_LOAD;
    for worker in 0..COLD_WORKERS {
        fleet.restart_worker(worker);
    }
}

/// Some workers restart a second time while they are cold. Others drain, restart meanwhile, and become active again.
#[test]
fn budget_is_honoured_where_workers_restart_twice_and_drain() {
    for schedulers in SIZES {
        for plan in plans(schedulers) {
            run_scenario("restart twice, drain and return", plan, |fleet, at| {
                match at {
                    0 => restart_most_workers(fleet),
                    1_000 => (0..4).for_each(|worker| fleet.restart_worker(worker)),
                    1_500 => (2..8).for_each(|worker| fleet.set_active(worker, false)),
                    2_000 => (2..4).for_each(|worker| fleet.restart_worker(worker)),
                    2_500 => (2..8).for_each(|worker| fleet.set_active(worker, true)),
                    3_000 => fleet.restart_worker(2),
                    _ => return,
                }
                fleet.send_list_to_all(ListKind::Delta);
            });
        }
    }
}

/// Each restart makes a scheduler forget what it has sent. Over several restarts of all schedulers, this must not add
/// up.
#[test]
fn budget_is_honoured_where_all_schedulers_restart_repeatedly() {
    for schedulers in SIZES {
        for plan in plans(schedulers) {
            run_scenario(
                "all schedulers restart three times",
                plan,
                |fleet, at| match at {
                    0 => {
                        restart_most_workers(fleet);
                        fleet.send_list_to_all(ListKind::Delta);
                    }
                    800 | 1_600 | 2_400 => {
                        (0..schedulers as usize).for_each(|s| fleet.restart_scheduler(s));
                    }
                    _ => {}
                },
            );
        }
    }
}

/// All schedulers restart with a list that was cached before the workers started, and receive the first list from
/// discovery at different times. Some workers restart a second time meanwhile.
#[test]
fn budget_is_honoured_where_cached_lists_are_confirmed_later() {
    for schedulers in SIZES {
        for plan in plans(schedulers) {
            let all = schedulers as usize;
            run_scenario("cached lists", plan, |fleet, at| match at {
                0 => {
                    let cached = fleet.rows.clone();
                    restart_most_workers(fleet);
                    (0..all).for_each(|s| fleet.restart_scheduler_from_cache(s, &cached));
                }
                500 => (0..3).for_each(|worker| fleet.restart_worker(worker)),
                100..=1_000 => {
                    let group = (at / 100) as usize - 1;
                    let confirmed = (0..all).filter(|s| s % 10 == group);
                    confirmed.for_each(|s| fleet.send_list(s, ListKind::Snapshot));
                }
                1_100 => fleet.send_list_to_all(ListKind::Delta),
                _ => {}
            });
        }
    }
}

/// 12 of 20 workers restart within 6 s, as deltas and snapshots report, with more schedulers than in `slow_start_sum`.
#[test]
fn budget_is_honoured_by_900_schedulers_while_most_workers_restart() {
    for plan in plans(900) {
        run_scenario("rolling restart", plan, |fleet, at| {
            fleet.plan.load = BURST_LOAD;
            if at % 500 == 0 && at < 6_000 {
                fleet.restart_worker(at as usize / 500);
                fleet.send_list_to_all(if at % 1_000 == 0 {
                    ListKind::Snapshot
                } else {
                    ListKind::Delta
                });
            }
        });
    }
}

/// Each of the 900 schedulers has two processes.
#[test]
fn budget_is_honoured_while_900_schedulers_hot_restart() {
    for plan in plans(900) {
        let hot_restarting = Plan {
            processes: 2,
            ..plan
        };
        run_scenario("hot restart", hot_restarting, |fleet, at| {
            if at == 0 {
                restart_most_workers(fleet);
                fleet.send_list_to_all(ListKind::Delta);
            }
        });
    }
}
