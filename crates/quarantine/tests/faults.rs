//! Short runs of the evaluation: injected faults do not lead to proposals, and a degraded worker is proposed.
//!
//! The program `oakshed-quarantine-trial` has longer runs. Its results are in docs/quarantine.md.

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

/// Runs one cycle of a fault, which lasts from second 180 to second 360.
fn run_fault(fault: Fault, schedulers: usize) -> RunResult {
    run(&scenario(fault, None, schedulers, 600, 5))
}

#[test]
fn no_worker_is_proposed_for_faults_that_it_does_not_cause() {
    for (name, which) in Fault::ALL {
        for schedulers in [3, 30] {
            let detections = run_fault(which, schedulers).shared;
            assert!(
                detections.is_empty(),
                "{name} with {schedulers} schedulers: proposed (second, worker) {detections:?}"
            );
        }
    }
}

#[test]
fn simple_detectors_report_workers_for_failing_paths_and_classes() {
    let detections = run_fault(Fault::Partition, 3).consecutive_failures;
    assert!(
        detections.len() >= 10,
        "consecutive failures do not report the workers behind the partition: {detections:?}"
    );
    let detections = run_fault(Fault::Class, 30).success_rate_outliers;
    assert!(
        detections.len() >= 8,
        "success rates do not report the workers that get most of the failing class: {detections:?}"
    );
}

#[test]
fn a_degraded_worker_is_proposed_with_any_number_of_schedulers() {
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
                "proposed by one of 300 schedulers alone, with about one job on a worker in a minute"
            );
        }
    }
}

#[test]
fn a_degraded_worker_is_proposed_during_other_faults() {
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
