//! Counts of the faults and outcomes in simulations, by which the test detects that one of them never occurred.

use std::collections::BTreeMap;

/// Number of occurrences of each kind of event.
#[derive(Debug, Default)]
pub struct Coverage(BTreeMap<&'static str, u64>);

/// The kinds of events that a long run of the simulation must cover.
const REQUIRED: [&str; 28] = [
    "served",
    "failed",
    "rejected",
    "cancelled",
    "finished job resubmitted",
    "process killed",
    "kill between a reply and its sync",
    "settled by an operator",
    "lease setting changed",
    "older build",
    "machine rebooted",
    "torn tail",
    "clock stepped",
    "worker restarted",
    "sync failed",
    "outage",
    "kill during an outage",
    "start retried",
    "disk full",
    "fence never",
    "fence running",
    "fence done",
    "fence lost",
    "settled",
    "log trimmed",
    "stale list",
    "attempt sent to another worker",
    "fence sent to another worker",
];

impl Coverage {
    pub(super) fn count(&mut self, kind: &'static str) {
        *self.0.entry(kind).or_default() += 1;
    }

    /// Adds the counts of another simulation.
    pub fn add(&mut self, other: &Coverage) {
        for (kind, count) in &other.0 {
            *self.0.entry(kind).or_default() += count;
        }
    }

    /// Returns the required kinds of events with their counts.
    pub fn required(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        REQUIRED
            .iter()
            .map(|kind| (*kind, self.0.get(kind).copied().unwrap_or(0)))
    }
}
