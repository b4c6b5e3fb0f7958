//! Simple outlier detectors, in the manner of Envoy, that the proposals are compared with.

use std::collections::BTreeMap;

use super::Detections;
use crate::Outcome;

/// The time within which a detector reports a worker only once, in seconds.
const REPEAT_INTERVAL_S: u64 = 600;

fn report(detections: &mut Detections, second: u64, worker: usize) {
    if !detections
        .iter()
        .rev()
        .any(|(at, w)| *w == worker && second < at + REPEAT_INTERVAL_S)
    {
        detections.push((second, worker));
    }
}

/// Detects five consecutive failures between a scheduler and a worker, like Envoy's `consecutive_5xx` with its default.
#[derive(Debug, Default)]
pub struct ConsecutiveFailures {
    /// The length of the current run of failures, by scheduler and worker.
    runs: BTreeMap<(usize, usize), u32>,
    /// The reports so far.
    pub detections: Detections,
}

impl ConsecutiveFailures {
    /// Records the outcome of an attempt.
    pub fn record_attempt(
        &mut self,
        second: u64,
        scheduler: usize,
        worker: usize,
        outcome: Outcome,
    ) {
        let run = self.runs.entry((scheduler, worker)).or_default();
        *run = if outcome == Outcome::Success {
            0
        } else {
            *run + 1
        };
        if *run >= 5 {
            *run = 0;
            report(&mut self.detections, second, worker);
        }
    }
}

/// Detects workers whose success rate is more than 1.9 standard deviations below the mean, like Envoy's success rate
/// ejection with at least 5 hosts of at least 100 attempts each. It uses the counts of the whole fleet over 30 s:
/// within Envoy's 10 s no simulated worker would have 100 attempts.
#[derive(Debug, Default)]
pub struct SuccessRateOutliers {
    /// Attempts and successes of the current window, by worker.
    counts: BTreeMap<usize, (u32, u32)>,
    /// The second in which the current window ends.
    window_end: u64,
    /// The reports so far.
    pub detections: Detections,
}

impl SuccessRateOutliers {
    /// Records the outcome of an attempt.
    pub fn record_attempt(&mut self, second: u64, worker: usize, outcome: Outcome) {
        if second >= self.window_end {
            self.detect(self.window_end);
            self.window_end = second + 30;
        }
        let (attempts, successes) = self.counts.entry(worker).or_default();
        *attempts += 1;
        *successes += u32::from(outcome == Outcome::Success);
    }

    fn detect(&mut self, second: u64) {
        let counts = std::mem::take(&mut self.counts);
        let rates: Vec<(usize, f64)> = counts
            .into_iter()
            .filter(|(_, (n, _))| *n >= 100)
            .map(|(w, (n, ok))| (w, f64::from(ok) / f64::from(n)))
            .collect();
        if rates.len() < 5 {
            return;
        }
        let mean = rates.iter().map(|(_, r)| r).sum::<f64>() / rates.len() as f64;
        let variance = rates
            .iter()
            .map(|(_, r)| (r - mean) * (r - mean))
            .sum::<f64>()
            / rates.len() as f64;
        for (worker, rate) in rates {
            if rate < mean - 1.9 * variance.sqrt() {
                report(&mut self.detections, second, worker);
            }
        }
    }
}
