//! Interface to the log: writing of records, handling of syncs, and trimming.
//!
//! Actions that depend on a record wait until that record is durable, and no record is trimmed while a job
//! needs it.

use std::collections::BTreeMap;

use oakshed_core::facade::{Facade, Micros};

use super::job::{Stage, UNKNOWN_SEND_TIME};
use super::{Effect, Jobs, Pending};
use crate::record::{JobId, Lease, Record, LEASE_FIELDS_RECORDED};

/// Minimum number of records by which the log is trimmed.
const TRIM_STEP: u64 = 64;
/// Number of records after which the clocks are written again. The log is trimmed up to such a record.
const OPENED_INTERVAL: u64 = 256;
/// Maximum size of unsynced records up to which new jobs are accepted: 8 MiB.
const MAX_UNSYNCED_BYTES: usize = 8 << 20;

impl Jobs {
    /// Returns the records that were written since the last call, preceded by the number of the first one.
    pub fn records(&mut self) -> (u64, Vec<Record>) {
        let records = std::mem::take(&mut self.records);
        (self.next_record - records.len() as u64, records)
    }

    /// Reports that all records up to `number` are durable.
    pub fn on_synced(&mut self, now: Micros, number: u64, facade: &mut Facade) {
        self.now = now;
        self.check_invariant(
            number < self.next_record,
            "a sync of a record that was never written",
        );
        while self.last_synced < number {
            self.last_synced += 1;
            self.unsynced_bytes -= self.unsynced_sizes.pop_front().unwrap_or(0);
        }
        while self
            .pending
            .front()
            .is_some_and(|(n, _)| *n <= self.last_synced)
        {
            let Some((_, pending)) = self.pending.pop_front() else {
                break;
            };
            match pending {
                Pending::Effect(effect) => self.effects.push_back(effect),
                Pending::Remove(id) => {
                    self.remove(id);
                }
                Pending::Dispatch(id, token) => self.dispatch(id, token, facade),
            }
        }
        self.advance_woken_jobs(now, facade);
    }

    /// Sets whether the disk is full. No new jobs are accepted while it is.
    pub fn set_disk_full(&mut self, full: bool) {
        self.disk_full = full;
    }

    /// Returns whether a job of this size may be accepted without exceeding the limit on unsynced bytes. Jobs
    /// that are already accepted may exceed the limit, as each of them adds only few records.
    pub(super) fn has_unsynced_capacity(&self, size: usize) -> bool {
        self.unsynced_bytes + size <= MAX_UNSYNCED_BYTES.min(self.limits.max_bytes)
    }

    /// Converts a time from the caller's clock to logical time.
    pub(super) fn logical(&self, at: Micros) -> Micros {
        at.wrapping_add_signed(self.logical_offset)
    }

    /// Queues a record for the log, and returns its number.
    pub(super) fn write(&mut self, record: Record) -> u64 {
        let number = self.next_record;
        let size = record.size();
        self.unsynced_bytes += size;
        self.unsynced_sizes.push_back(size);
        self.records.push(record);
        self.next_record += 1;
        number
    }

    /// Queues an action until all records that have been written so far are durable.
    pub(super) fn after_sync(&mut self, pending: Pending) {
        self.pending.push_back((self.next_record - 1, pending));
    }

    /// Returns a copy of a lease with its send time converted to logical time.
    pub(super) fn logical_lease(&self, lease: &Lease) -> Lease {
        let sent = if lease.sent == UNKNOWN_SEND_TIME {
            UNKNOWN_SEND_TIME
        } else {
            self.logical(lease.sent)
        };
        Lease {
            sent,
            ..lease.clone()
        }
    }

    /// Writes the full record of an open job, and lists the job under the record's number.
    pub(super) fn write_accepted(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let leases = job
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_run())
            .map(|attempt| self.logical_lease(&attempt.lease))
            .collect();
        let record = Record::Accepted {
            at: self.logical(self.now),
            id,
            fingerprint: job.fingerprint,
            payload: (*job.payload).clone(),
            deadline: self.logical(job.deadline),
            wait: job.wait,
            detached: job.detached,
            leases,
        };
        let number = self.write(record);
        if let Some(job) = self.jobs.get_mut(&id) {
            let superseded = std::mem::replace(&mut job.record_number, number);
            job.written_at = self.now;
            self.open.remove(&superseded);
        }
        self.open.insert(number, id);
    }

    /// Removes a job from the list that it is in, by its record's number. Without this, a finished job that is
    /// written again would have two entries in `finished`, and the older one would remove it early, or would
    /// remove a newer job with the same identifier.
    pub(super) fn remove_from_lists(&mut self, number: u64) {
        if self.open.remove(&number).is_some() || self.indeterminate.remove(&number).is_some() {
            return;
        }
        if let Ok(index) = self
            .finished
            .binary_search_by_key(&number, |job| job.record_number)
        {
            self.finished.remove(index);
        }
    }

    /// Trims the oldest part of the log. Long-lived jobs that still need it are written again, once per
    /// retention time.
    pub(super) fn trim(&mut self) {
        while let Some(id) = self.job_to_rewrite() {
            match self.jobs.get(&id).map(|job| job.stage.clone()) {
                Some(Stage::Finished(answer, _)) => self.retain_finished(id, answer),
                _ => self.write_accepted(id),
            }
        }
        let oldest_needed = self.oldest_needed_record();
        let last_opened = self.opened_records.back().copied().unwrap_or(0);
        if oldest_needed > last_opened + TRIM_STEP
            || self.next_record > last_opened + OPENED_INTERVAL
        {
            self.write_opened();
        }
        let trim_to = self.trim_point(oldest_needed);
        if trim_to > self.trimmed_to + TRIM_STEP {
            self.trimmed_to = trim_to;
            let trimmed = self
                .opened_records
                .partition_point(|opened| *opened < trim_to);
            self.opened_records.drain(..trimmed);
            self.after_sync(Pending::Effect(Effect::Trim(trim_to)));
        }
    }

    /// Returns the number of the first record that the log must keep: the oldest one that a job needs, or the
    /// [`Record::Opened`] before it, which shows what its leases say.
    fn trim_point(&self, oldest_needed: u64) -> u64 {
        let next = self
            .opened_records
            .partition_point(|opened| *opened <= oldest_needed);
        next.checked_sub(1)
            .map_or(oldest_needed, |index| self.opened_records[index])
    }

    /// Returns a job whose record is old enough to be written again.
    fn job_to_rewrite(&self) -> Option<JobId> {
        let oldest = |list: &BTreeMap<u64, JobId>| list.first_key_value().map(|(_, id)| *id);
        let candidates = [oldest(&self.open), oldest(&self.indeterminate)];
        candidates.into_iter().flatten().find(|id| {
            self.jobs.get(id).is_some_and(|job| {
                job.written_at + self.limits.retention <= self.now
                    && job.record_number <= self.last_synced
            })
        })
    }

    /// Returns the number of the oldest record that any job needs.
    fn oldest_needed_record(&self) -> u64 {
        let first = |list: &BTreeMap<u64, JobId>| list.first_key_value().map(|(number, _)| *number);
        let needed = [
            first(&self.open),
            first(&self.indeterminate),
            self.finished.front().map(|job| job.record_number),
        ];
        needed
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.next_record)
    }

    /// Writes the clocks, at the start and again so that the previous record of them can be trimmed.
    pub(super) fn write_opened(&mut self) {
        let opened = self.write(Record::Opened {
            at: self.logical(self.now),
            wall: self.now,
            boot: self.boot.id,
            // The uptime advances at the rate of the caller's clock.
            uptime: self.boot.uptime + (self.now - self.started_at),
        });
        self.opened_records.push_back(opened);
        self.write(LEASE_FIELDS_RECORDED);
    }
}
