//! Counts this member's attempts and failures by worker and class until they are published as rows.
//!
//! Failures are published at once, attempts at the end of their interval. Each member keeps within an equal part of
//! the budget for rows: attempts are counted in larger units until their rows fit, and failures that do not fit are
//! left out and counted in [`RowTotals::dropped_failures`].

use std::collections::BTreeMap;

use crate::code::{self, NameTable};
use crate::{Config, Micros, Outcome, Worker, WorkerState, FAILURE_KINDS};

/// An update of an own row, in the arguments of `Rows::raise`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowUpdate {
    /// The row's window.
    pub window: u32,
    /// The row's subject.
    pub subject: Vec<u8>,
    /// The indices of counts, and what is added to each.
    pub increments: Vec<(usize, u32)>,
}

impl RowUpdate {
    pub(crate) fn new(window: u32, subject: Vec<u8>, counts: &[u32]) -> RowUpdate {
        let increments = counts
            .iter()
            .copied()
            .enumerate()
            .filter(|(_, c)| *c > 0)
            .collect();
        RowUpdate {
            window,
            subject,
            increments,
        }
    }

    /// The counts of a new row after this update.
    #[must_use]
    pub fn counts(&self) -> Vec<u32> {
        let mut counts = vec![
            0;
            self.increments
                .iter()
                .map(|(at, _)| at + 1)
                .max()
                .unwrap_or(0)
        ];
        for (index, add) in &self.increments {
            counts[*index] += add;
        }
        counts
    }
}

/// The attempts and failures of one member that have not been published yet.
#[derive(Clone, Debug)]
pub struct AttemptCounter {
    config: Config,
    names: NameTable,
    /// The ready workers, each with the end of its warm-up.
    counted_from: BTreeMap<Box<str>, Micros>,
    /// By interval and cell.
    attempts: BTreeMap<u32, BTreeMap<u32, u32>>,
    /// By interval and cell, then by kind.
    failures: BTreeMap<(u32, u32), [u32; FAILURE_KINDS]>,
    rng: fastrand::Rng,
    members: u32,
    /// The bytes that rows of failures may take now.
    failure_budget: f64,
    /// When `failure_budget` was last refilled.
    refilled_at: Micros,
    bytes: u64,
    dropped_failures: u64,
}

/// The maximum number of intervals with unpublished attempts.
const MAX_PENDING_INTERVALS: usize = 8;
/// The largest budget for failures that can be saved up, in intervals.
const MAX_SAVED_INTERVALS: f64 = 6.0;
/// The smallest budget for the attempts of an interval, in bytes.
const MIN_ATTEMPTS_BUDGET: f64 = 32.0;
/// The binary logarithm of the largest unit of attempts.
const MAX_ATTEMPT_UNIT_BITS: u8 = 9;

/// Totals of what a member has published.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RowTotals {
    /// The bytes of all rows, as members exchange them.
    pub bytes: u64,
    /// Failures that were left out because the budget was used up.
    pub dropped_failures: u64,
}

impl AttemptCounter {
    /// Creates an empty counter. The seed is for probabilistic rounding.
    #[must_use]
    pub fn new(config: Config, seed: u64) -> AttemptCounter {
        let names = NameTable::new(&[], &config.classes, &config.zone);
        let rng = fastrand::Rng::with_seed(seed);
        AttemptCounter {
            config,
            names,
            counted_from: BTreeMap::new(),
            attempts: BTreeMap::new(),
            failures: BTreeMap::new(),
            rng,
            members: 1,
            failure_budget: 0.0,
            refilled_at: 0,
            bytes: 0,
            dropped_failures: 0,
        }
    }

    /// Sets the number of members that share the budget.
    pub fn set_members(&mut self, members: usize) {
        self.members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
    }

    /// Sets the endpoint list. If the names change, counts that have not been published are dropped: call
    /// [`AttemptCounter::take_updates`] first.
    pub fn set_workers(&mut self, workers: &[Worker]) {
        let names = NameTable::new(workers, &self.config.classes, &self.config.zone);
        if names != self.names {
            self.attempts.clear();
            self.failures.clear();
            self.names = names;
        }
        let warm_at = |w: &Worker| {
            w.started
                .saturating_mul(1_000)
                .saturating_add(self.config.warmup)
        };
        let ready = workers.iter().filter(|w| w.state == WorkerState::Ready);
        self.counted_from = ready
            .map(|w| (w.name.as_ref().into(), warm_at(w)))
            .collect();
    }

    /// Records the outcome of an attempt. Only the first attempt of a job counts, as a poison job fails on any
    /// worker, and only on workers that are ready and past their warm-up.
    pub fn record_attempt(
        &mut self,
        now: Micros,
        worker: &str,
        class: usize,
        first: bool,
        outcome: Outcome,
    ) {
        if !first
            || self
                .counted_from
                .get(worker)
                .is_none_or(|warm_at| now < *warm_at)
        {
            return;
        }
        let Some(cell) = self.names.cell(worker, class) else {
            return;
        };
        let interval = self.config.interval_at(now);
        if outcome != Outcome::DuplicateResponse {
            *self
                .attempts
                .entry(interval)
                .or_default()
                .entry(cell)
                .or_default() += 1;
            if self.attempts.len() > MAX_PENDING_INTERVALS {
                self.attempts.pop_first();
            }
        }
        if let Some(kind) = outcome.failure_kind() {
            self.failures.entry((interval, cell)).or_default()[kind] += 1;
        }
    }

    /// Returns the updates of rows to publish now.
    pub fn take_updates(&mut self, now: Micros) -> Vec<RowUpdate> {
        let Some(zone) = self.names.zone(&self.config.zone) else {
            return Vec::new();
        };
        self.refill(now);
        let mut rows = self.failure_rows(zone);
        let current = self.config.interval_at(now);
        while let Some((&interval, _)) = self.attempts.first_key_value() {
            if interval >= current {
                break;
            }
            let cells = self.attempts.remove(&interval).unwrap_or_default();
            rows.extend(self.attempt_rows(zone, interval, &cells));
        }
        for row in &rows {
            self.bytes += u64::from(code::encoded_size(&row.subject, &row.counts()));
        }
        rows
    }

    /// Half of this member's part of the budget: failures and attempts have one half each.
    fn half_budget_per_second(&self) -> f64 {
        f64::from(self.config.bytes_per_second) / f64::from(self.members) / 2.0
    }

    /// The length of an interval, in seconds.
    fn interval_s(&self) -> f64 {
        (self.config.window / 2) as f64 / 1e6
    }

    /// Adds to the budget for failures. What is not used within three windows is lost.
    fn refill(&mut self, now: Micros) {
        let bytes_per_second = self.half_budget_per_second();
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        let max_budget = bytes_per_second * self.interval_s() * MAX_SAVED_INTERVALS;
        self.refilled_at = self.refilled_at.max(now);
        self.failure_budget = (self.failure_budget + bytes_per_second * elapsed_s).min(max_budget);
    }

    /// The rows of failures, one for each cell, as far as the budget allows.
    fn failure_rows(&mut self, zone: u16) -> Vec<RowUpdate> {
        let mut rows = Vec::new();
        for ((interval, cell), kinds) in std::mem::take(&mut self.failures) {
            let subject = code::failure_subject(&self.names, interval % 2, zone, cell);
            let cost = f64::from(code::encoded_size(&subject, &kinds));
            if cost > self.failure_budget {
                self.dropped_failures += u64::from(kinds.iter().sum::<u32>());
                continue;
            }
            self.failure_budget -= cost;
            rows.push(RowUpdate::new(interval / 2, subject, &kinds));
        }
        rows
    }

    /// The rows of an interval's attempts, in the smallest unit that fits into the budget, or else in the largest unit.
    fn attempt_rows(
        &mut self,
        zone: u16,
        interval: u32,
        cells: &BTreeMap<u32, u32>,
    ) -> Vec<RowUpdate> {
        let budget =
            (self.half_budget_per_second() * self.interval_s()).max(MIN_ATTEMPTS_BUDGET) as u32;
        let mut unit_bits = 0;
        loop {
            let rounded: Vec<(u32, u32)> = cells
                .iter()
                .map(|(cell, count)| (*cell, self.round_to_unit(*count, unit_bits)))
                .filter(|(_, count)| *count > 0)
                .collect();
            let rows = code::encode_attempts(&self.names, interval % 2, zone, unit_bits, &rounded);
            let cost: u32 = rows
                .iter()
                .map(|(subject, counts)| code::encoded_size(subject, counts))
                .sum();
            if cost <= budget || unit_bits == MAX_ATTEMPT_UNIT_BITS {
                return rows
                    .into_iter()
                    .map(|(subject, counts)| RowUpdate::new(interval / 2, subject, &counts))
                    .collect();
            }
            unit_bits += 1;
        }
    }

    /// Converts a count to units of `2^unit_bits`, rounded up or down at random so that the expected value is exact.
    fn round_to_unit(&mut self, count: u32, unit_bits: u8) -> u32 {
        if unit_bits == 0 {
            return count;
        }
        let unit = 1_u32 << unit_bits;
        count / unit + u32::from(self.rng.u32(0..unit) < count % unit)
    }

    /// The name table that cells are numbered by.
    #[must_use]
    pub fn names(&self) -> &NameTable {
        &self.names
    }

    /// The totals of what was published so far.
    #[must_use]
    pub fn totals(&self) -> RowTotals {
        RowTotals {
            bytes: self.bytes,
            dropped_failures: self.dropped_failures,
        }
    }
}
