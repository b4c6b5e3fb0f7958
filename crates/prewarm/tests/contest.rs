//! Checks the results stated in docs/prewarm.md on small generated scenarios in virtual time, with fixed seeds.
//!
//! The full comparison is the program `oakshed-prewarm-trial`; docs/prewarm.md lists its commands.

use oakshed_prewarm::trial::contest::{fixed_with_equal_idle, run, Cost, Faults, Policy, Setup};
use oakshed_prewarm::trial::scenarios::Scenario;
use oakshed_prewarm::{Config, SECOND};

const SEEDS: [u64; 3] = [21, 22, 23];

fn scenario(seed: u64) -> Scenario {
    Scenario::new(seed, 4, 2, 12.0)
}

fn setup(cold_start_cost: f64, schedulers: u32, faults: Faults) -> Setup {
    let config = Config {
        cold_start_cost,
        ..Config::default()
    };
    Setup {
        config,
        schedulers,
        workers_per_zone: 12,
        zones: 2,
        faults,
        measure_after: 0,
    }
}

/// The costs of a policy over all seeds, and the ratio of its cold starts to those of fixed keep-alives with equal
/// idle time.
fn compare_with_fixed(policy: Policy, setup: &Setup) -> (Cost, f64) {
    let (mut sum, mut fixed) = (Cost::default(), 0);
    for seed in SEEDS {
        let scenario = scenario(seed);
        let cost = run(&scenario, policy, setup, seed);
        fixed += fixed_with_equal_idle(&scenario, setup, cost.idle_s)
            .1
            .cold_starts;
        sum.jobs += cost.jobs;
        sum.cold_starts += cost.cold_starts;
        sum.idle_s += cost.idle_s;
    }
    (sum, sum.cold_starts as f64 / fixed as f64)
}

#[test]
fn shared_rows_match_a_central_scheduler_and_beat_fixed_keep_alives() {
    for (cold_start_cost, max) in [(100.0, 0.65), (300.0, 0.6), (1_000.0, 0.5)] {
        let (central, _) = compare_with_fixed(
            Policy::Central,
            &setup(cold_start_cost, 1, Faults::default()),
        );
        for schedulers in [3, 30, 300] {
            let setup = setup(cold_start_cost, schedulers, Faults::default());
            let (shared, ratio) = compare_with_fixed(Policy::Shared(1), &setup);
            assert!(
                ratio <= max,
                "cost {cold_start_cost}, {schedulers} schedulers: {ratio:.3} of the fixed keep-alive's cold starts"
            );
            let near = |a: f64, b: f64| a <= 1.1 * b;
            assert!(
                near(shared.cold_starts as f64, central.cold_starts as f64),
                "{schedulers} schedulers: {shared:?}, central: {central:?}"
            );
            assert!(
                near(shared.idle_s, central.idle_s),
                "{schedulers} schedulers: {shared:?}, central: {central:?}"
            );
        }
    }
}

#[test]
fn local_arrivals_alone_cause_more_cold_starts() {
    let (local_only, ratio) =
        compare_with_fixed(Policy::LocalOnly, &setup(300.0, 30, Faults::default()));
    let (_, shared) = compare_with_fixed(Policy::Shared(1), &setup(300.0, 30, Faults::default()));
    assert!(
        ratio > 1.5 * shared,
        "local only {ratio:.3}, shared {shared:.3}, {local_only:?}"
    );
}

#[test]
fn partial_failures_cost_no_more_than_a_fixed_keep_alive() {
    let (none, hour) = (Faults::default(), 3_600 * SECOND);
    let cases = [
        (
            "rows 30 s late",
            Faults {
                row_delay: 30 * SECOND,
                ..none
            },
        ),
        (
            "half of the rows lost",
            Faults {
                row_loss: 0.5,
                ..none
            },
        ),
        (
            "one of three down 60 s every 10 min",
            Faults {
                stall_interval: hour / 6,
                ..none
            },
        ),
        (
            "split 60 s each hour",
            Faults {
                partition_duration: 60 * SECOND,
                ..none
            },
        ),
        (
            "all restart without a snapshot",
            Faults {
                restart: Some((6 * hour, false)),
                ..none
            },
        ),
    ];
    for (name, faults) in cases {
        let (cost, ratio) = compare_with_fixed(Policy::Shared(3), &setup(300.0, 3, faults));
        assert!(
            ratio <= 1.05,
            "{name}: {ratio:.3} of the fixed keep-alive's cold starts, {cost:?}"
        );
    }
}

#[test]
fn a_snapshot_restores_the_models() {
    let restart = |with_snapshot| Faults {
        restart: Some((6 * 3_600 * SECOND, with_snapshot)),
        ..Faults::default()
    };
    let run = |faults| {
        let setup = Setup {
            measure_after: 6 * 3_600 * SECOND,
            ..setup(1_000.0, 3, faults)
        };
        SEEDS
            .iter()
            .map(|seed| run(&scenario(*seed), Policy::Shared(3), &setup, *seed).cold_starts)
            .sum::<u64>()
    };
    let (never, with, without) = (
        run(Faults::default()),
        run(restart(true)),
        run(restart(false)),
    );
    assert!(
        with as f64 <= 1.05 * never as f64 && with < without,
        "cold starts: {never} without a restart, {with} with a snapshot, {without} without one"
    );
}
