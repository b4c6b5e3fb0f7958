//! How many calls discovery got, and how densely they came.

use std::collections::BTreeMap;

use oakshed_standin::fleet::Outcome;

use super::Facts;

/// How discovery was called.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// In all.
    pub all: usize,
    /// Whole lists that were asked for.
    pub whole: usize,
    /// 503.
    pub refused: usize,
    /// By the scheduler that called most.
    pub most: usize,
}

/// Counts the calls that came in a span of time.
#[must_use]
pub fn calls(facts: &Facts, from: u64, to: u64) -> Calls {
    let mut counts = Calls::default();
    let mut each: BTreeMap<usize, usize> = BTreeMap::new();
    for call in facts.calls.iter().filter(|c| (from..to).contains(&c.at)) {
        counts.all += 1;
        counts.whole += usize::from(call.from.is_none());
        counts.refused += usize::from(call.outcome == Outcome::Rejected);
        *each.entry(call.caller).or_default() += 1;
    }
    counts.most = each.values().copied().max().unwrap_or(0);
    counts
}

/// The most events in any span of so many microseconds.
#[must_use]
pub fn densest(mut times: Vec<u64>, span: u64) -> usize {
    times.sort_unstable();
    let mut first = 0;
    let mut most = 0;
    for (n, at) in times.iter().enumerate() {
        while at - times[first] > span {
            first += 1;
        }
        most = most.max(n + 1 - first);
    }
    most
}
