//! The end of a job: its final answer, and the later settlement of its indeterminate attempts.
//!
//! Each job gets exactly one final answer.

use oakshed_core::facade::{Ending, Facade, Observation};

use super::clients::settled_state;
use super::job::{answer_size, AttemptState, Stage};
use super::{Effect, Finished, Jobs, Pending};
use crate::record::{Answer, JobId, Outcome, Record};

impl Jobs {
    /// Ends a job whose deadline has passed. Attempts that were sent become indeterminate, and the scheduler
    /// decides on the answer.
    pub(super) fn expire(&mut self, id: JobId, facade: &mut Facade) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let request = job.request();
        for attempt in &mut job.attempts {
            if !attempt.is_open() {
                continue;
            }
            let sent = attempt.abandon();
            if attempt.dispatched {
                let token = attempt.lease.token;
                self.effects.push_back(Effect::Stop { id, token });
            }
            if let (Some(request), Some(index)) = (request, attempt.facade_index) {
                let ending = if sent {
                    Ending::Expired
                } else {
                    Ending::Unused
                };
                facade.report(now, Observation::Ended(request, index, ending, None));
            }
        }
        if request.is_none() {
            self.submit_to_facade(id, facade);
        }
        self.advance(id, facade);
        if let Some(job) = self.jobs.get(&id).filter(|job| !job.is_finished()) {
            let answer = job.unserved_answer();
            self.finish(id, answer, facade);
        }
    }

    /// Gives a job its final answer, which is sent once it is durable.
    pub(super) fn finish(&mut self, id: JobId, answer: Answer, facade: &mut Facade) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.is_finished() {
            return self.check_invariant(false, "a job got a second final answer");
        }
        self.release_request(id, facade);
        let served = matches!(answer, Answer::Served(_));
        let notifications = self.close_attempts(id, served);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let rejected = matches!(answer, Answer::Rejected(_));
        // A rejected job that never ran need not be retained, unless its client fetches the answer later.
        let removable = rejected && !job.detached && !job.may_have_run();
        // Not counted for a rejected job: if it is submitted again, it continues with these attempts.
        if !rejected {
            let indeterminate = job
                .attempts
                .iter()
                .filter(|attempt| attempt.state == AttemptState::Indeterminate);
            self.counts.indeterminate += indeterminate.count() as u64;
        }
        if removable {
            self.drop_job(id, answer.clone());
        } else {
            self.retain_finished(id, answer.clone());
        }
        self.after_sync(Pending::Effect(Effect::Answer(id, answer)));
        for effect in notifications {
            self.after_sync(Pending::Effect(effect));
        }
        if removable {
            self.after_sync(Pending::Remove(id));
        }
    }

    /// Closes a scheduled job's request at the facade.
    fn release_request(&mut self, id: JobId, facade: &mut Facade) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(request) = job.request() else {
            return;
        };
        facade.close(self.now, request);
        // The scheduler waits for the ends of attempts that may not be cancelled.
        for attempt in job.attempts.iter().filter(|attempt| attempt.is_open()) {
            if let Some(index) = attempt.facade_index {
                facade.report(
                    self.now,
                    Observation::Ended(request, index, Ending::Revoked, None),
                );
            }
        }
    }

    /// Ends all attempts of a job. Returns the notification for the worker whose result is the answer, which is sent
    /// once the answer is durable.
    fn close_attempts(&mut self, id: JobId, served: bool) -> Vec<Effect> {
        let now = self.now;
        let mut notifications = Vec::new();
        let Some(job) = self.jobs.get_mut(&id) else {
            return notifications;
        };
        for attempt in &mut job.attempts {
            let token = attempt.lease.token;
            if attempt.state == AttemptState::InFlight {
                self.effects.push_back(Effect::Stop { id, token });
            }
            match attempt.state {
                // An attempt in this state is never dispatched.
                AttemptState::InFlight if !attempt.dispatched => {
                    attempt.state = AttemptState::Unsent;
                }
                AttemptState::InFlight | AttemptState::Fencing => {
                    attempt.state = AttemptState::Indeterminate;
                    attempt.fence_at = now;
                }
                AttemptState::Ended if attempt.is_served && self.limits.leases => {
                    let worker = attempt.worker.clone();
                    notifications.push(Effect::NotifyResultStored { id, token, worker });
                }
                _ => {}
            }
            // Once the job is served, the outcomes of its other attempts do not matter.
            if served && attempt.state == AttemptState::Indeterminate {
                attempt.state = AttemptState::Ended;
            }
        }
        notifications
    }

    /// Writes that a job is dropped. The job stays in memory until that record is durable.
    fn drop_job(&mut self, id: JobId, answer: Answer) {
        let number = self.write(Record::Dropped { id });
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // A submission in the meantime joins the rejected job, and gets the same rejection.
        job.stage = Stage::Finished(answer, number);
        let oldest_record = job.record_number;
        self.open.remove(&oldest_record);
        self.schedule(id);
    }

    /// Writes the record of a finished job, and lists the job in `indeterminate` or `finished`.
    pub(super) fn retain_finished(&mut self, id: JobId, answer: Answer) {
        let now = self.now;
        let Some(oldest_record) = self.jobs.get(&id).map(|job| job.record_number) else {
            return;
        };
        let Some(number) = self.write_finished(id, &answer) else {
            return;
        };
        self.remove_from_lists(oldest_record);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        self.bytes -= job.bytes;
        job.payload = self.empty_payload.clone();
        job.bytes = answer_size(&answer);
        // An answer that is written again is already durable with its first record.
        let answer_record = match &job.stage {
            Stage::Finished(before, first) if *before == answer => *first,
            _ => number,
        };
        job.stage = Stage::Finished(answer, answer_record);
        job.record_number = number;
        job.written_at = now;
        self.bytes += job.bytes;
        if job.awaits_settlement() {
            self.indeterminate.insert(number, id);
        } else {
            self.finished.push_back(Finished {
                finished_at: now,
                record_number: number,
                id,
            });
        }
        self.schedule(id);
    }

    /// Writes a job's final answer with the attempts whose outcome still matters, and returns the record's
    /// number.
    fn write_finished(&mut self, id: JobId, answer: &Answer) -> Option<u64> {
        let job = self.jobs.get(&id)?;
        // A rejected job may be submitted again, for which all attempts that may have run matter.
        let rejected = matches!(answer, Answer::Rejected(_));
        let indeterminate = job
            .attempts
            .iter()
            .filter(|attempt| {
                if rejected {
                    attempt.may_have_run()
                } else {
                    attempt.state == AttemptState::Indeterminate
                }
            })
            .map(|attempt| self.logical_lease(&attempt.lease))
            .collect();
        let record = Record::Finished {
            at: self.logical(self.now),
            id,
            fingerprint: job.fingerprint,
            answer: answer.clone(),
            indeterminate,
            outcome: job.outcome,
        };
        Some(self.write(record))
    }

    /// Sets the outcome of one indeterminate attempt.
    pub(super) fn settle_attempt(&mut self, id: JobId, token: u64, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(attempt) = job.attempt_mut(token) {
            attempt.state = settled_state(outcome);
        }
        // The job ran if any of its attempts ran, and never ran only if that is known of each of them.
        let outcome = match (job.outcome, outcome) {
            (Some(Outcome::Ran), _) | (_, Outcome::Ran) => Some(Outcome::Ran),
            (known, Outcome::Never) if job.has_indeterminate_attempts() => known,
            (_, Outcome::Never) => Some(Outcome::Never),
        };
        self.record_outcome(id, outcome);
    }

    /// Writes the outcome of a finished job's indeterminate attempts, as far as it is known. Returns the number of the
    /// last record, for which replies about the job wait.
    pub(super) fn record_outcome(&mut self, id: JobId, outcome: Option<Outcome>) -> u64 {
        self.counts.settled += 1;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.outcome = outcome;
            if let Stage::Finished(answer, _) = job.stage.clone() {
                self.retain_finished(id, answer);
            }
        }
        self.await_last_record(id)
    }
}
