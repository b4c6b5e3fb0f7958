//! Tests that premium jobs are served on time during an overload, when clients retry rejected jobs, and that service
//! is back to normal soon after it.

use crate::common::*;
use crate::overload_fleet::*;

/// Seconds of normal load, of overload, and of recovery, after which service must be back to normal.
const NORMAL_S: usize = 3;
const OVERLOAD_S: usize = 4;
const RECOVERY_S: usize = 2;

fn plan(seed: u64) -> Plan {
    Plan {
        schedulers: 150,
        workers: 90,
        slots: 7,
        load: 0.7,
        skew: 4.0,
        honour_chance: 0.5,
        seed,
    }
}

/// Runs a fleet through an overload that `set_overload` begins and ends. Returns the share of top-tier jobs on time in
/// each second of the overload but the first, before schedulers can detect it, and the weighted share of all jobs on
/// time in the last second of the recovery.
fn run_scenario(seed: u64, set_overload: impl Fn(&mut Fleet, bool)) -> (Vec<f64>, f64) {
    let mut fleet = Fleet::new(plan(seed));
    for second in 0..NORMAL_S + OVERLOAD_S + RECOVERY_S + 1 {
        if second == NORMAL_S || second == NORMAL_S + OVERLOAD_S {
            set_overload(&mut fleet, second == NORMAL_S);
        }
        fleet.run_for(1_000 * MS);
    }
    let top = fleet.seconds[NORMAL_S + 1..NORMAL_S + OVERLOAD_S]
        .iter()
        .map(|s| s.top_on_time / s.top)
        .collect();
    let recovered = fleet.seconds[NORMAL_S + OVERLOAD_S + RECOVERY_S - 1];
    (top, recovered.on_time / recovered.requested)
}

/// Concurrency limits must take effect before the queues at workers grow long. When each scheduler's initial limit was
/// the whole fleet, and its minimum a share of the arrivals including retries, the share of premium jobs on time fell
/// to 0.76.
#[test]
fn premium_jobs_are_on_time_under_overload() {
    for seed in [1, 2] {
        let (top, after) = run_scenario(seed, |fleet, is_overload| {
            fleet.plan.load = if is_overload { 1.12 } else { 0.7 }
        });
        assert!(
            top.iter().all(|&share| share > 0.85),
            "burst, seed {seed}: {top:.2?} of premium jobs on time"
        );
        assert!(
            after > 0.97,
            "burst, seed {seed}: {after:.2} of all jobs on time two seconds after it"
        );
        let (top, after) = run_scenario(seed, |fleet, is_overload| fleet.drain(32, is_overload));
        assert!(
            top.iter().all(|&share| share > 0.85),
            "drain, seed {seed}: {top:.2?} of premium jobs on time"
        );
        assert!(
            after > 0.97,
            "drain, seed {seed}: {after:.2} of all jobs on time two seconds after it"
        );
    }
}
