//! Plain detectors, to compare with.

use std::collections::BTreeMap;

use super::Detections;
use crate::Outcome;

/// For how long a detector reports a worker once only, in seconds.
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

/// Failures in a row, as Envoy's `consecutive_5xx` (default 5), by each scheduler.
#[derive(Debug, Default)]
pub struct ConsecutiveFailures {
    runs: BTreeMap<(usize, usize), u32>,
    /// What it reported.
    pub detections: Detections,
}

impl ConsecutiveFailures {
    /// A try ended.
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

/// Mean of the workers' success rates less 1.9 deviations, as Envoy's success rate ejection (at least 5 hosts
/// of at least 100 tries), but with the whole fleet's counts and over 30 s: with Envoy's 10 s no worker here
/// would have its 100 tries.
#[derive(Debug, Default)]
pub struct SuccessRateOutliers {
    counts: BTreeMap<usize, (u32, u32)>,
    window_end: u64,
    /// What it reported.
    pub detections: Detections,
}

impl SuccessRateOutliers {
    /// A try ended.
    pub fn record_attempt(&mut self, second: u64, worker: usize, outcome: Outcome) {
        if second >= self.window_end {
            self.detect(self.window_end);
            self.window_end = second + 30;
        }
        let (attempts, answered) = self.counts.entry(worker).or_default();
        *attempts += 1;
        *answered += u32::from(outcome == Outcome::Success);
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
