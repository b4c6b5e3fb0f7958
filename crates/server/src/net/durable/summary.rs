//! The counters and sizes of durable jobs for the summary line in the log.

use std::fmt;

use oakshed_jobs::machine::{Counts, Sizes};

use super::DurableJobs;

/// The counters of durable jobs and of the store.
pub(in super::super) struct JobsSummary {
    counts: Counts,
    sizes: Sizes,
    syncs: u64,
    synced_records: u64,
    mean_sync_us: u64,
}

impl DurableJobs {
    /// Returns the current values.
    pub(in super::super) fn summary(&self) -> JobsSummary {
        let jobs = self.jobs.borrow();
        let (syncs, synced_records, time) = self.sync_totals.get();
        JobsSummary {
            counts: jobs.counts(),
            sizes: jobs.sizes(),
            syncs,
            synced_records,
            mean_sync_us: time.as_micros() as u64 / syncs.max(1),
        }
    }
}

/// Formats the values under the names that operators' tools read.
impl fmt::Display for JobsSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.counts;
        f.debug_struct("Jobs")
            .field("taken", &counts.accepted)
            .field("again", &counts.resubmitted)
            .field("conflicts", &counts.conflicts)
            .field("busy", &counts.busy)
            .field("fences", &counts.fences)
            .field("doubts", &counts.indeterminate)
            .field("settled", &counts.settled)
            .field("broken", &counts.invariant_violations)
            .field("open", &self.sizes.open)
            .field("in_doubt", &self.sizes.indeterminate)
            .field("kept", &self.sizes.jobs)
            .field("bytes", &self.sizes.bytes)
            .field("syncs", &self.syncs)
            .field("synced_records", &self.synced_records)
            .field("mean_sync_us", &self.mean_sync_us)
            .finish()
    }
}
