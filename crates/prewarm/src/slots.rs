//! Arrivals per kind and second over all members, reconstructed from shared rows.
//!
//! Rows may arrive late, in any order and repeatedly. Each count is added once, and closed slots are returned in
//! order of time.

use std::collections::BTreeMap;

use crate::{Micros, SECOND};

/// The length of a window of shared rows, in microseconds.
pub const WINDOW: Micros = 10 * SECOND;
/// The length of a slot, which is one count of a row, in microseconds.
pub const SLOT: Micros = SECOND;
/// How many windows the counts of a row are retained, so that they are not added twice.
const RETAINED_WINDOWS: u32 = 60;
/// How many windows a row may be ahead of the local clock, to allow for clock skew.
const WINDOWS_AHEAD: u32 = 2;
/// The maximum number of rows whose counts are retained.
const MAX_ROWS: usize = 200_000;
/// The shortest delay between the end of a slot and its closing.
const MIN_CLOSE_DELAY: Micros = 2 * SECOND;
/// The longest delay between the end of a slot and its closing.
const MAX_CLOSE_DELAY: Micros = 60 * SECOND;
/// The memory of the mean lateness, in reported slots.
const LATENESS_MEMORY_SLOTS: f64 = 64.0;
/// The memory of the late share, in reported slots.
const LATE_SHARE_MEMORY_SLOTS: f64 = 256.0;

/// The index, after the slots of a row, of the sum of running times in units of [`RUNNING_TIME_UNIT`].
pub const RUNNING_TIME_SUM: usize = (WINDOW / SLOT) as usize;
/// The index of the number of jobs in that sum.
pub const RUNNING_TIME_JOBS: usize = RUNNING_TIME_SUM + 1;
/// The unit of running times in rows: 0.1 s.
pub const RUNNING_TIME_UNIT: Micros = SECOND / 10;
/// The longest running time that is reported; longer ones are truncated to it.
pub const MAX_RUNNING_TIME: Micros = 3_600 * SECOND;

/// The identity of a row. The window comes first so that the oldest rows sort first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RowKey {
    /// The window's number.
    pub window: u32,
    /// A hash of the owner.
    pub owner: u64,
    /// The index of the kind.
    pub kind_index: usize,
    /// The row counts a sample of one in 2^`sampling_exponent` arrivals.
    pub sampling_exponent: u8,
}

/// The part of a merged row that was not added to open slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// The start times of closed slots that got new arrivals.
    pub late_arrivals: Vec<Micros>,
    /// The mean of the newly reported running times.
    pub mean_running_time: Option<Micros>,
}

/// The arrivals of one kind in one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrivals {
    /// The start of the slot.
    pub at: Micros,
    /// The index of the kind.
    pub kind_index: usize,
    /// The number of arrivals.
    pub count: u32,
}

/// The slots of all kinds, and the row counts already added to them.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    /// The counts of each row that have been added.
    added_counts: BTreeMap<RowKey, Vec<u32>>,
    /// Arrivals by slot number and kind.
    open_slots: BTreeMap<(u64, usize), u32>,
    /// The first slot that is not closed.
    first_open: u64,
    /// The moving mean of the time from the end of a slot to its report, in microseconds.
    lateness: f64,
    /// The moving share of reported slots that were already closed.
    late_share: f64,
    /// Rows rejected because too many are retained.
    pub rejected_rows: u64,
}

impl Slots {
    /// The number of the window that contains a time.
    #[must_use]
    pub fn window(at: Micros) -> u32 {
        u32::try_from(at / WINDOW).unwrap_or(u32::MAX)
    }

    /// Records an arrival at this member.
    pub fn record_own(&mut self, at: Micros, kind_index: usize) {
        *self.open_slots.entry((at / SLOT, kind_index)).or_default() += 1;
    }

    /// Merges a row of another member. Rows of windows that are too old or too far ahead are ignored.
    pub fn merge(&mut self, now: Micros, row: RowKey, counts: &[u32]) -> Merged {
        let current = Slots::window(now);
        if row.window + RETAINED_WINDOWS <= current || row.window > current + WINDOWS_AHEAD {
            return Merged::default();
        }
        if self.added_counts.len() >= MAX_ROWS && !self.added_counts.contains_key(&row) {
            self.rejected_rows += 1;
            return Merged::default();
        }
        let mut added = self.added_counts.remove(&row).unwrap_or_default();
        added.resize(RUNNING_TIME_JOBS + 1, 0);
        let mut merged = Merged {
            late_arrivals: Vec::new(),
            mean_running_time: merge_running_time(&mut added, counts),
        };
        let slots = (WINDOW / SLOT) as usize;
        for (index, (added, new)) in added.iter_mut().zip(counts).take(slots).enumerate() {
            let more = new.saturating_sub(*added);
            if more == 0 {
                continue;
            }
            *added = *new;
            let slot = u64::from(row.window) * slots as u64 + index as u64;
            if self.record_lateness(now, slot) {
                merged.late_arrivals.push(slot * SLOT);
            } else {
                let arrivals = self.open_slots.entry((slot, row.kind_index)).or_default();
                *arrivals += more.saturating_mul(1 << row.sampling_exponent);
            }
        }
        self.added_counts.insert(row, added);
        merged
    }

    /// Records how late the arrivals of a slot were reported, and returns whether the slot is already closed. Own
    /// arrivals are not included, as they are recorded immediately.
    fn record_lateness(&mut self, now: Micros, slot: u64) -> bool {
        let lateness = now.saturating_sub((slot + 1) * SLOT) as f64;
        let is_late = slot < self.first_open;
        self.lateness += (lateness - self.lateness) / LATENESS_MEMORY_SLOTS;
        self.late_share +=
            (f64::from(u8::from(is_late)) - self.late_share) / LATE_SHARE_MEMORY_SLOTS;
        is_late
    }

    /// The share of reported slots that arrived before they were closed.
    #[must_use]
    pub fn on_time_share(&self) -> f64 {
        1.0 - self.late_share
    }

    /// The delay between the end of a slot and its closing.
    #[must_use]
    pub fn close_delay(&self) -> Micros {
        (2.0 * self.lateness + SECOND as f64).clamp(MIN_CLOSE_DELAY as f64, MAX_CLOSE_DELAY as f64)
            as Micros
    }

    /// Closes the slots that are due and returns their arrivals, in order of time and kind.
    pub fn close(&mut self, now: Micros) -> Vec<Arrivals> {
        let end = now.saturating_sub(self.close_delay()) / SLOT;
        if end <= self.first_open {
            return Vec::new();
        }
        self.first_open = end;
        let open = self.open_slots.split_off(&(end, 0));
        let closed = std::mem::replace(&mut self.open_slots, open);
        self.remove_old_rows(now);
        closed
            .into_iter()
            .map(|((slot, kind_index), count)| Arrivals {
                at: slot * SLOT,
                kind_index,
                count,
            })
            .collect()
    }

    fn remove_old_rows(&mut self, now: Micros) {
        let first = RowKey {
            window: Slots::window(now).saturating_sub(RETAINED_WINDOWS),
            owner: 0,
            kind_index: 0,
            sampling_exponent: 0,
        };
        if self
            .added_counts
            .first_key_value()
            .is_some_and(|(row, _)| row.window < first.window)
        {
            self.added_counts = self.added_counts.split_off(&first);
        }
    }

    /// The earliest time at which the first open slot may be closed.
    #[must_use]
    pub fn next_close(&self) -> Option<Micros> {
        self.open_slots
            .first_key_value()
            .map(|((slot, _), _)| (slot + 1) * SLOT + self.close_delay())
    }
}

/// Adds the running times of a row that are not yet in `added`, and returns their mean.
fn merge_running_time(added: &mut [u32], counts: &[u32]) -> Option<Micros> {
    let new = |index: usize| {
        let count = counts.get(index).copied().unwrap_or(0);
        count.saturating_sub(added[index])
    };
    let sum = new(RUNNING_TIME_SUM);
    let jobs = new(RUNNING_TIME_JOBS);
    if sum == 0 || jobs == 0 {
        return None;
    }
    added[RUNNING_TIME_SUM] = counts[RUNNING_TIME_SUM];
    added[RUNNING_TIME_JOBS] = counts[RUNNING_TIME_JOBS];
    let mean = u64::from(sum) * RUNNING_TIME_UNIT / u64::from(jobs);
    Some(mean.min(MAX_RUNNING_TIME))
}
