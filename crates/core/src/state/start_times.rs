//! Translates the start times of workers to the clock of this process.
//!
//! The endpoint list gives start times on the wall clock of its writer. Wall clocks can be wrong or be
//! stepped, which must not disturb slow start: each start is translated once, when it is first seen, and from
//! then on only the clock of this process is used.

use rustc_hash::FxHashMap;

use super::list::RETAINED_WORKERS;
use crate::interface::WorkerId;
use crate::time::Instant;

/// What is known of other clocks relative to the clock of this process.
///
/// An offset is the reading of the other clock minus that of this process's clock, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct StartTimes {
    /// The lowest observed offset of the wall clock, which gives the latest start of a worker. `None` if no
    /// wall clock was observed and starts are given on the clock of this process.
    wall_offset: Option<i64>,
    /// The highest offset of any listed start at the time it was listed. No start is in the future of the
    /// clock that it was read from, so the offset of that clock is at least this.
    list_offset: Option<i64>,
    /// When a list last arrived that was not cached from before a restart.
    listed_at: Option<Instant>,
    /// Starts already translated by the predecessor.
    resumed: FxHashMap<WorkerId, WorkerStart>,
}

/// The start time of a worker on two clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerStart {
    /// As given in the list.
    pub listed: Instant,
    /// On the clock of this process.
    pub since: Instant,
}

impl StartTimes {
    /// Records a reading of the wall clock. After the clock was stepped, the reading that makes workers
    /// appear more recently started counts.
    pub(crate) fn observe_wall_clock(&mut self, now: Instant, wall: Instant) {
        let offset = offset(wall, now);
        self.wall_offset = Some(self.wall_offset.map_or(offset, |lowest| lowest.min(offset)));
    }

    /// Records a start that a list contains.
    pub(crate) fn observe_start(&mut self, now: Instant, start: Instant) {
        let offset = offset(start, now);
        self.list_offset = Some(
            self.list_offset
                .map_or(offset, |highest| highest.max(offset)),
        );
    }

    /// Records the arrival of a list that was not cached from before a restart.
    pub(crate) fn observe_list(&mut self, now: Instant) {
        self.listed_at = Some(now);
    }

    /// Takes over a start that the predecessor has translated.
    pub(crate) fn resume(&mut self, worker: WorkerId, start: WorkerStart) {
        if self.resumed.len() < RETAINED_WORKERS {
            self.resumed.insert(worker, start);
        }
    }

    /// The start of a worker that the predecessor has translated and that no list has named since.
    pub(crate) fn resumed(&self, worker: WorkerId) -> Option<WorkerStart> {
        self.resumed.get(&worker).copied()
    }

    /// Translates a worker's start that is seen for the first time now. [`Instant::ZERO`] means long ago.
    ///
    /// The starts in the first list are translated by the wall clock. A start that first appears later must
    /// have happened since the list before. Of its translations by the wall clock and by the newest start in
    /// any list, the later one counts; if that is before the previous list, the clocks are inconsistent and
    /// the worker counts as started now. No translation is in the future, so that a worker counts as cold for
    /// at most one ramp from now.
    pub(crate) fn translate(&mut self, now: Instant, worker: WorkerId, start: Instant) -> Instant {
        if let Some(resumed) = self
            .resumed
            .remove(&worker)
            .filter(|resumed| resumed.listed == start)
        {
            return resumed.since;
        }
        let Some(wall_offset) = self.wall_offset.filter(|_| start > Instant::ZERO) else {
            return start;
        };
        let by_wall_clock = to_own_clock(start, wall_offset).min(now);
        let Some(listed_at) = self.listed_at else {
            return by_wall_clock;
        };
        let by_lists = self
            .list_offset
            .map_or(now, |offset| to_own_clock(start, offset).min(now));
        let latest = by_wall_clock.max(by_lists);
        if latest < listed_at {
            return now;
        }
        latest
    }
}

fn offset(other: Instant, now: Instant) -> i64 {
    other.as_micros().wrapping_sub(now.as_micros()) as i64
}

fn to_own_clock(other: Instant, offset: i64) -> Instant {
    let own = i128::from(other.as_micros()) - i128::from(offset);
    Instant::from_micros(own.clamp(0, i128::from(u64::MAX)) as u64)
}
