//! Totals of the slots that this scheduler's attempts occupy at all workers.
//!
//! How many slots may be in flight is decided by the concurrency limit in `scheduler`.

/// This scheduler's slots in flight, summed over all workers.
#[derive(Default)]
pub(crate) struct InFlight {
    /// All slots in flight.
    pub slots: f64,
    /// Of these, the slots at unresponsive workers, which do not count against the concurrency limit.
    pub excluded: f64,
}

impl InFlight {
    /// Slots that count against the concurrency limit.
    pub(crate) fn counted(&self) -> f64 {
        self.slots - self.excluded
    }

    /// Changes the slots in flight by `by`, which may be negative.
    pub(super) fn change(&mut self, by: f64) {
        self.slots = (self.slots + by).max(0.0);
    }

    /// Excludes further slots from the count against the limit.
    pub(super) fn exclude(&mut self, slots: f64) {
        self.excluded += slots;
    }

    /// Counts excluded slots against the limit again.
    pub(super) fn include(&mut self, slots: f64) {
        self.excluded = (self.excluded - slots).max(0.0);
    }
}
