//! Requests of clients and operators: submission, cancellation, status and settlement.
//!
//! An answer is visible to clients and operators only once it is durable.

use std::rc::Rc;

use oakshed_core::facade::{Facade, Micros};

use super::job::{Attempt, AttemptState, Job, Stage};
use super::{Effect, JobStatus, Jobs, Pending, Submitted};
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
        self.after_sync(Pending::Effect(Effect::Accepted(id)));
        // Scheduled before the job is durable, so that the scheduler's decisions are written and synced
        // together with the job's acceptance.
        self.process_due(id, facade);
        self.advance_woken_jobs(now, facade);
        Submitted::Open
    }

    /// Returns the outcome of a submission of a known job, or `None` if the job is to be accepted, because it
    /// is unknown or was durably rejected.
    fn resubmit(&mut self, id: JobId, fingerprint: u128, detached: bool) -> Option<Submitted> {
        let job = self.jobs.get_mut(&id)?;
        if job.fingerprint != fingerprint {
            self.counts.conflicts += 1;
            return Some(Submitted::Conflict);
        }
        self.counts.resubmitted += 1;
        job.detached |= detached;
        match &job.stage {
            // A rejected job may be submitted again.
            Stage::Finished(Answer::Rejected(_), number) if *number <= self.last_synced => None,
            Stage::Finished(answer, number) if *number <= self.last_synced => {
                Some(Submitted::Finished(answer.clone()))
            }
            _ => Some(Submitted::Open),
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

    /// Cancels a job unless it may have run. Returns whether the job was cancelled, or `None` if the job is
    /// unknown.
    pub fn cancel(&mut self, now: Micros, id: JobId, facade: &mut Facade) -> Option<bool> {
        self.now = now;
        let job = self.jobs.get(&id)?;
        if job.is_finished() || job.may_have_run() {
            return Some(false);
        }
        self.finish(id, Answer::Cancelled, facade);
        self.advance_woken_jobs(now, facade);
        Some(true)
    }

    /// Returns the status of a job, or `None` if the job is unknown.
    #[must_use]
    pub fn status(&self, id: JobId) -> Option<JobStatus> {
        let job = self.jobs.get(&id)?;
        let answer = match &job.stage {
            Stage::Finished(answer, number) if *number <= self.last_synced => Some(answer.clone()),
            _ => None,
        };
        let indeterminate = if job.is_finished() {
            job.indeterminate_leases()
        } else {
            Vec::new()
        };
        Some(JobStatus {
            answer,
            attempts: job.attempts.len(),
            indeterminate,
            outcome: job.outcome,
        })
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

    /// Settles a job with the outcome that an operator gives. Returns false if the job does not await
    /// settlement.
    pub fn settle(&mut self, now: Micros, id: JobId, outcome: Outcome) -> bool {
        self.now = now;
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.awaits_settlement()) else {
            return false;
        };
        let state = settled_state(outcome);
        for attempt in &mut job.attempts {
            if matches!(
                attempt.state,
                AttemptState::Indeterminate | AttemptState::Fencing
            ) {
                attempt.state = state;
            }
        }
        self.record_outcome(id, outcome);
        true
    }
}

/// Returns the state of an attempt with a known outcome.
pub(super) fn settled_state(outcome: Outcome) -> AttemptState {
    match outcome {
        Outcome::Ran => AttemptState::Ended,
        Outcome::Never => AttemptState::Unsent,
    }
}
