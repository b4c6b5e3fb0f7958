//! Requests of clients and operators: submission, cancellation, status and settlement.
//!
//! Clients and operators get replies as [`Provisional`], which are given once the record behind them is durable.

use std::rc::Rc;

use oakshed_core::facade::{Facade, Micros};

use super::job::{Attempt, AttemptState, Job, Stage};
use super::{Cancellation, JobStatus, Jobs, Provisional, Submitted};
use crate::record::{Answer, JobId, JobPayload, Outcome};

impl Jobs {
    /// Submits a client's job. `wait` is the time until the client's deadline, in microseconds.
    pub fn submit(
        &mut self,
        now: Micros,
        id: JobId,
        payload: JobPayload,
        wait: Micros,
        detached: bool,
        facade: &mut Facade,
    ) -> Submitted {
        self.now = now;
        let fingerprint = payload.fingerprint();
        if let Some(outcome) = self.resubmit(id, fingerprint, detached) {
            return outcome;
        }
        if self.disk_full || !self.has_capacity(id, payload.size()) {
            self.counts.busy += 1;
            return Submitted::Busy;
        }
        self.counts.accepted += 1;
        let attempts = self.remove_rejected(id);
        let job = Job {
            deadline: now + wait,
            wait,
            detached,
            attempts,
            ..Job::new(fingerprint, Rc::new(payload), 0, now)
        };
        self.bytes += job.bytes;
        self.jobs.insert(id, job);
        self.write_accepted(id);
        let record = self.await_last_record(id);
        // Scheduled before the job is durable, so that the scheduler's decisions are written and synced
        // together with the job's acceptance.
        self.process_due(id, facade);
        self.advance_woken_jobs(now, facade);
        Submitted::Open(Provisional::after(record, ()))
    }

    /// Has all replies about a job wait for the last record that was written. Returns the record's number.
    pub(super) fn await_last_record(&mut self, id: JobId) -> u64 {
        let record = self.next_record - 1;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.status_record = record;
        }
        record
    }

    /// Returns the outcome of a submission of a known job, or `None` if the job is to be accepted, because it
    /// is unknown or was durably rejected.
    fn resubmit(&mut self, id: JobId, fingerprint: u128, detached: bool) -> Option<Submitted> {
        let job = self.jobs.get_mut(&id)?;
        if job.fingerprint != fingerprint {
            self.counts.conflicts += 1;
            let conflict = Provisional::after(job.status_record, ());
            return Some(Submitted::Conflict(conflict));
        }
        self.counts.resubmitted += 1;
        job.detached |= detached;
        match &job.stage {
            // A rejected job may be submitted again.
            Stage::Finished(Answer::Rejected(_), number) if *number <= self.last_synced => None,
            Stage::Finished(answer, number) if *number <= self.last_synced => {
                Some(Submitted::Finished(answer.clone()))
            }
            Stage::Finished(..) => Some(Submitted::Ending),
            Stage::Waiting | Stage::Scheduled(_) => {
                let accepted = Provisional::after(job.status_record, ());
                Some(Submitted::Open(accepted))
            }
        }
    }

    fn has_capacity(&self, id: JobId, size: usize) -> bool {
        let is_known = self.jobs.contains_key(&id);
        self.open.len() < self.limits.max_open
            && (is_known || self.jobs.len() < self.limits.max_jobs)
            && self.bytes + size <= self.limits.max_bytes
            && self.has_unsynced_capacity(size)
    }

    /// Removes the rejected job that is submitted again, if there is one. Returns its attempts that may have
    /// run.
    fn remove_rejected(&mut self, id: JobId) -> Vec<Attempt> {
        let Some(rejected) = self.remove(id) else {
            return Vec::new();
        };
        self.remove_from_lists(rejected.record_number);
        let mut attempts = rejected.attempts;
        attempts.retain(Attempt::may_have_run);
        for attempt in &mut attempts {
            // The index belonged to the rejected job's request at the facade.
            attempt.facade_index = None;
        }
        attempts
    }

    /// Cancels a job unless it may have been sent to a worker.
    pub fn cancel(
        &mut self,
        now: Micros,
        id: JobId,
        facade: &mut Facade,
    ) -> Provisional<Cancellation> {
        self.now = now;
        let Some(job) = self.jobs.get(&id) else {
            return Provisional::immediate(Cancellation::UnknownJob);
        };
        if !job.is_finished() {
            if job.may_have_been_sent() {
                return Provisional::after(job.status_record, Cancellation::TooLate);
            }
            self.finish(id, Answer::Cancelled, facade);
            self.advance_woken_jobs(now, facade);
        }
        match self.jobs.get(&id).map(|job| &job.stage) {
            Some(Stage::Finished(Answer::Cancelled, number)) => {
                Provisional::after(*number, Cancellation::Cancelled)
            }
            Some(Stage::Finished(_, number)) => Provisional::after(*number, Cancellation::TooLate),
            _ => Provisional::immediate(Cancellation::UnknownJob),
        }
    }

    /// Returns the status of a job, or `None` if the job is unknown. Of an answer that is not durable yet it shows
    /// nothing; the status itself waits for the job's acceptance or its last settlement.
    #[must_use]
    pub fn status(&self, id: JobId) -> Option<Provisional<JobStatus>> {
        let job = self.jobs.get(&id)?;
        let answer = match &job.stage {
            Stage::Finished(answer, number) if *number <= self.last_synced => Some(answer.clone()),
            _ => None,
        };
        let indeterminate = if answer.is_some() {
            job.indeterminate_leases()
        } else {
            Vec::new()
        };
        // The token of an attempt is the number of its lease's record.
        let is_leased = |attempt: &&Attempt| attempt.lease.token <= self.last_synced;
        let status = JobStatus {
            answer,
            attempts: job.attempts.iter().filter(is_leased).count(),
            indeterminate,
            outcome: job.outcome,
        };
        Some(Provisional::after(job.status_record, status))
    }

    /// Returns the jobs that are not finished.
    #[must_use]
    pub fn open(&self) -> Vec<JobId> {
        self.open.values().copied().collect()
    }

    /// Returns the finished jobs that await settlement.
    #[must_use]
    pub fn indeterminate(&self) -> Vec<JobId> {
        self.indeterminate.values().copied().collect()
    }

    /// Settles a job with the outcome that an operator gives. The reply is false if the job does not await
    /// settlement.
    pub fn settle(&mut self, now: Micros, id: JobId, outcome: Outcome) -> Provisional<bool> {
        self.now = now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return Provisional::immediate(false);
        };
        if !job.awaits_settlement() {
            return Provisional::after(job.record_number, false);
        }
        let state = settled_state(outcome);
        for attempt in &mut job.attempts {
            if matches!(
                attempt.state,
                AttemptState::Indeterminate | AttemptState::Fencing
            ) {
                attempt.state = state;
            }
        }
        let record = self.record_outcome(id, Some(outcome));
        Provisional::after(record, true)
    }
}

/// Returns the state of an attempt with a known outcome.
pub(super) fn settled_state(outcome: Outcome) -> AttemptState {
    match outcome {
        Outcome::Ran => AttemptState::Ended,
        Outcome::Never => AttemptState::Unsent,
    }
}
