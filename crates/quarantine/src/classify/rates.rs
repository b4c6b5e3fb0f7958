//! Counts by class, decaying sums, and the expected failure rate of each class.

use std::collections::BTreeMap;

use super::FAILING_LOG_LIKELIHOOD;
use crate::detector::excess_log_likelihood;

/// The weight of the rate over all classes in the rate of one class, in attempts.
const PRIOR_ATTEMPTS: f64 = 50.0;

/// Decayed failures and attempts, or observed and expected failures.
pub(super) type Sums = (f64, f64);

/// Attempts and failures by class.
pub(super) type ClassCounts = BTreeMap<u8, (u32, u32)>;

pub(super) fn add(count: &mut ClassCounts, class: u8, attempts: u32, failures: u32) {
    let (n, f) = count.entry(class).or_default();
    *n += attempts;
    *f += failures;
}

/// Failure rates by class: the long-term rate, or the current rate of classes that fail clearly more than before.
pub(super) struct Rates {
    pub(super) rate: Vec<f64>,
    /// The classes with an elevated rate: the current and the long-term rate.
    pub(super) elevated: BTreeMap<u8, (f64, f64)>,
    /// By class, the factor by which the rate may be too low: one standard deviation of the failure count.
    pub(super) uncertainty: Vec<f64>,
}

impl Rates {
    pub(super) fn new(long: &[Sums], short: &[Sums]) -> Rates {
        let (f, n) = long.iter().fold((0.0, 0.0), |(f, n), s| (f + s.0, n + s.1));
        let all = (f + 0.5) / (n + PRIOR_ATTEMPTS);
        let mut rates = Rates {
            rate: Vec::new(),
            elevated: BTreeMap::new(),
            uncertainty: Vec::new(),
        };
        for (class, (long, short)) in long.iter().zip(short).enumerate() {
            let long_rate = (long.0 + PRIOR_ATTEMPTS * all) / (long.1 + PRIOR_ATTEMPTS);
            let now = short.0 / short.1.max(1.0);
            if excess_log_likelihood(short.0, long_rate * short.1) > FAILING_LOG_LIKELIHOOD {
                rates.elevated.insert(class as u8, (now, long_rate));
            }
            let rate = if rates.elevated.contains_key(&(class as u8)) {
                now
            } else {
                long_rate
            };
            rates.rate.push(rate.min(1.0));
            rates.uncertainty.push(1.0 + 1.0 / (long.0 + 1.0).sqrt());
        }
        rates
    }

    /// The expected number of failures among the counted attempts.
    pub(super) fn expected(&self, count: &ClassCounts) -> f64 {
        count
            .iter()
            .map(|(c, (n, _))| f64::from(*n) * self.rate[usize::from(*c)])
            .sum()
    }
}

pub(super) fn total_failures(count: &ClassCounts) -> u32 {
    count.values().map(|(_, f)| f).sum()
}

/// Decays observed and expected failures and adds new counts. Sums that have decayed to almost zero are dropped.
pub(super) fn decayed<K: Ord + Copy>(
    old: &BTreeMap<K, Sums>,
    new: &BTreeMap<K, ClassCounts>,
    decay: f64,
    rates: &Rates,
) -> BTreeMap<K, Sums> {
    let mut sums: BTreeMap<K, Sums> = old
        .iter()
        .map(|(k, (o, e))| (*k, (o * decay, e * decay)))
        .filter(|(_, (o, e))| o + e > 1e-3)
        .collect();
    for (key, count) in new {
        let sum = sums.entry(*key).or_default();
        sum.0 += f64::from(total_failures(count));
        sum.1 += rates.expected(count);
    }
    sums
}

/// Decays failures and attempts by class and adds new counts.
pub(super) fn decayed_by_class(
    classes: usize,
    old: &[Sums],
    new: &ClassCounts,
    decay: f64,
) -> Vec<Sums> {
    let each = |c: usize| {
        let (f, n) = old.get(c).copied().unwrap_or_default();
        let (attempts, failures) = new.get(&(c as u8)).copied().unwrap_or_default();
        (
            f * decay + f64::from(failures),
            n * decay + f64::from(attempts),
        )
    };
    (0..classes).map(each).collect()
}
