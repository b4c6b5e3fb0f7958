//! Each fault, on a small scale: workers that do not cause it are not proposed.
//!
//! The long form is the program `oakshed-quarantine-trial`; its figures are in docs/quarantine.md.

use oakshed_quarantine::trial::{run, Fault, RunResult, Scenario};

fn scenario(
    fault: Fault,
    worse: Option<f64>,
    schedulers: usize,
    seconds: u64,
    seed: u64,
) -> Scenario {
    let degraded = worse.map(|times| (times, 300));
    Scenario {
        schedulers,
        rate: 320.0,
        fault,
        degraded,
        seconds,
        until_found: false,
        worker_hours_per_false_proposal: 1_000.0,
        seed,
    }
}

/// One cycle of a fault: it runs from second 180 to second 360.
fn fault(fault: Fault, schedulers: usize) -> RunResult {
    run(&scenario(fault, None, schedulers, 600, 5))
}

#[test]
fn no_worker_is_proposed_for_faults_of_others() {
    for (name, which) in Fault::ALL {
        for schedulers in [3, 30] {
            let detections = fault(which, schedulers).shared;
            assert!(
                detections.is_empty(),
                "{name} with {schedulers} schedulers: proposed (second, worker) {detections:?}"
            );
        }
    }
}

#[test]
fn plain_detectors_report_workers_for_failing_paths_and_classes() {
    let plain = fault(Fault::Partition, 3).consecutive_failures;
    assert!(
        plain.len() >= 10,
        "failures in a row report the workers behind a partition: {plain:?}"
    );
    let plain = fault(Fault::Class, 30).success_rate_outliers;
    assert!(
        plain.len() >= 8,
        "deviations report the workers that get the class that fails: {plain:?}"
    );
}

#[test]
fn a_worse_worker_is_found_by_any_number_of_schedulers_together() {
    for schedulers in [3, 30, 300] {
        let result = run(&scenario(Fault::None, Some(20.0), schedulers, 480, 9));
        let at = result.shared.first().copied();
        assert!(
            matches!(at, Some((300..=345, w)) if w == result.bad_worker),
            "{schedulers}: {at:?}, bad {}",
            result.bad_worker
        );
        assert!(
            result.shared.iter().all(|(_, w)| *w == result.bad_worker),
            "{schedulers}: {:?}",
            result.shared
        );
        assert!(
            result.max_bytes_per_second * schedulers as f64 <= 4_096.0,
            "{schedulers}: {} B/s each",
            result.max_bytes_per_second
        );
        if schedulers == 300 {
            assert!(
                result.single_member.is_empty(),
                "a scheduler of 300 sees one job of a worker a minute"
            );
        }
    }
}

#[test]
fn a_worse_worker_is_found_during_other_faults() {
    for which in [Fault::Class, Fault::Member, Fault::Drain, Fault::Poison] {
        let result = run(&scenario(which, Some(20.0), 30, 480, 12));
        let at = result.shared.iter().find(|(_, w)| *w == result.bad_worker);
        assert!(
            at.is_some_and(|(at, _)| (300..400).contains(at)),
            "{which:?}: {:?}",
            result.shared
        );
        assert!(
            result.shared.iter().all(|(_, w)| *w == result.bad_worker),
            "{which:?}: {:?}, bad {}",
            result.shared,
            result.bad_worker
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        format!(
            "{:?}",
            run(&scenario(Fault::Member, Some(20.0), 30, 400, 3))
        )
    };
    assert_eq!(run(), run());
}
