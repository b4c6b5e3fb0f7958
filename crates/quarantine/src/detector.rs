//! A sequential test for a worker that begins to fail more often than its peers, valid at any time.
//!
//! For a Bernoulli variable of mean at most p,
//! `exp(x ln r - (r - 1) p)` has mean at most 1 for each r > 1, so a product of them is an e-value, and so is
//! a mixture over r. The largest over all onsets is an e-detector (Shin, Ramdas, Rinaldo, 'E-detectors: a
//! nonparametric framework for sequential change detection', NEJSDS 2023, Theorem 2.4): with a threshold of A
//! the mean time to a false alarm is at least A steps.

/// The ratios of a worker's failure rate to its peers' that are tested for, and the weight of each in the mixture.
pub const RATIOS: [(f64, f64); 3] = [(2.5, 0.25), (5.0, 0.5), (20.0, 0.25)];

/// The natural logarithm of the e-value for `failures` where the peers' rate gives `expected`.
pub fn log_evidence(failures: f64, expected: f64) -> f64 {
    let log_values = RATIOS
        .map(|(ratio, weight)| weight.ln() + failures * f64::ln(ratio) - (ratio - 1.0) * expected);
    let max = log_values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    max + log_values.iter().map(|e| (e - max).exp()).sum::<f64>().ln()
}

/// The threshold, as a natural logarithm, for at most one false alarm in `worker_hours`, with a number of steps per
/// hour and worker. It holds for any number of workers and checks: the mean time to a false alarm is at least
/// `worker_hours` for each worker's detector, and the alarms of several workers add up.
#[must_use]
pub fn threshold(worker_hours: f64, steps_per_hour: f64) -> f64 {
    (worker_hours * steps_per_hour).max(1.0).ln()
}

/// The log likelihood ratio (Poisson) of the observed rate against the expected one, or 0 if the observed rate is not
/// higher.
pub(crate) fn excess_log_likelihood(observed: f64, expected: f64) -> f64 {
    if observed <= expected {
        return 0.0;
    }
    observed * (observed / expected.max(1e-9)).ln() - (observed - expected)
}

/// Finds the onset with the most evidence. `steps` holds failures and expected failures, the oldest first. Returns the
/// index of the onset and the logarithm of its e-value, or `None` if no step has a failure.
pub(crate) fn find_onset(steps: &[(u32, f64)]) -> Option<(usize, f64)> {
    let mut failures = 0.0;
    let mut expected = 0.0;
    let mut best: Option<(usize, f64)> = None;
    for (at, (step_failures, step_expected)) in steps.iter().enumerate().rev() {
        failures += f64::from(*step_failures);
        expected += step_expected;
        if *step_failures == 0 {
            // A step without failures has less evidence as the onset than the step after it.
            continue;
        }
        let log = log_evidence(failures, expected);
        if best.is_none_or(|(_, most)| log > most) {
            best = Some((at, log));
        }
    }
    best
}

/// The ratio to the peers' failure rate that a recovery is tested against.
const RECOVERY_RATIO: f64 = 3.0;
/// The log likelihood ratio at which a worker counts as recovered: 100 to 1.
const RECOVERY_LOG_EVIDENCE: f64 = 4.6;

/// The index of the first step after the last recovery, or 0 if there was none. A worker has recovered when its steps
/// are a hundred times as likely at its peers' failure rate as at three times that rate. Evidence from before must not
/// count against it.
pub(crate) fn after_last_recovery(steps: &[(u32, f64)]) -> usize {
    let mut log = 0.0_f64;
    let mut from = 0;
    for (at, (failures, expected)) in steps.iter().enumerate() {
        let against = f64::from(*failures) * RECOVERY_RATIO.ln();
        log = (log + against - (RECOVERY_RATIO - 1.0) * expected).min(0.0);
        if log < -RECOVERY_LOG_EVIDENCE {
            log = 0.0;
            from = at + 1;
        }
    }
    from
}
