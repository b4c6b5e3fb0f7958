//! The sequential test: evidence that a worker fails more often than its peers, at any time.
//!
//! For a Bernoulli variable of mean at most p,
//! `exp(x ln r - (r - 1) p)` has mean at most 1 for each r > 1, so a product of them is an e-value, and so is
//! a mixture over r. The largest over all beginnings is an e-detector (Shin, Ramdas, Rinaldo, 'E-detectors: a
//! nonparametric framework for sequential change detection', NEJSDS 2023, Theorem 2.4): with a threshold of A
//! the mean time to a false alarm is at least A steps.

/// How many times worse a worker may be, with the weight of each in the mixture.
pub const RATIOS: [(f64, f64); 3] = [(2.5, 0.25), (5.0, 0.5), (20.0, 0.25)];

/// The logarithm of the mixed e-value of `failures` where `expected` were to be expected.
pub fn log_evidence(failures: f64, expected: f64) -> f64 {
    let log_values = RATIOS
        .map(|(ratio, weight)| weight.ln() + failures * f64::ln(ratio) - (ratio - 1.0) * expected);
    let max = log_values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    max + log_values.iter().map(|e| (e - max).exp()).sum::<f64>().ln()
}

/// The threshold (natural logarithm) for at most one false alarm in so many worker-hours, at so many steps an
/// hour and worker. By union over workers: each worker's detector has a mean time of at least
/// `worker_hours` to its false alarm, whatever the number of workers and checks.
#[must_use]
pub fn threshold(worker_hours: f64, steps_per_hour: f64) -> f64 {
    (worker_hours * steps_per_hour).max(1.0).ln()
}

/// How far the observed failures are above the expected ones, as a log likelihood ratio; 0 where they are not.
pub(crate) fn excess_log_likelihood(observed: f64, expected: f64) -> f64 {
    if observed <= expected {
        return 0.0;
    }
    observed * (observed / expected.max(1e-9)).ln() - (observed - expected)
}

/// The beginning with the most evidence: its index in `steps` (failures and expected, oldest first) and the
/// logarithm of its e-value. Nothing where there are no steps.
pub(crate) fn find_onset(steps: &[(u32, f64)]) -> Option<(usize, f64)> {
    let mut failures = 0.0;
    let mut expected = 0.0;
    let mut best: Option<(usize, f64)> = None;
    for (at, (step_failures, step_expected)) in steps.iter().enumerate().rev() {
        failures += f64::from(*step_failures);
        expected += step_expected;
        if *step_failures == 0 {
            // A beginning without a failure has less evidence than the one after it.
            continue;
        }
        let log = log_evidence(failures, expected);
        if best.is_none_or(|(_, most)| log > most) {
            best = Some((at, log));
        }
    }
    best
}

/// How many times worse a worker must at least be for a recovery to be detected.
const RECOVERY_RATIO: f64 = 3.0;
/// The evidence for a recovery (natural logarithm).
const RECOVERY_LOG_EVIDENCE: f64 = 4.6;

/// The index from which evidence counts: after the last recovery, a stretch in which a worker three times worse
/// would have failed a hundred times more likely. Without it, what lies before would count against a worker that
/// has recovered.
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
