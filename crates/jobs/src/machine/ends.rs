//! A job's end: its one final answer, its indeterminate attempts, and what is found out of these later.
//!
//! It owns the step from open to finished, and gives no job a second final answer.

use oakshed_core::facade::{Ending, Facade, Observation};

use super::clients::settled_state;
use super::job::{size_of, AttemptState, Stage};
use super::{Effect, Finished, Jobs, Pending};
use crate::record::{Answer, JobId, Outcome, Record};

impl Jobs {
    /// The client's deadline has passed: what is in flight may have run, and the scheduler decides on the
    /// answer.
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
                self.ready.push_back(Effect::Stop { id, token });
            }
            if let (Some(request), Some(number)) = (request, attempt.number) {
                let ending = if sent {
                    Ending::Expired
                } else {
                    Ending::Unused
                };
                facade.report(now, Observation::Ended(request, number, ending, None));
            }
        }
        if request.is_none() {
            self.begin(id, facade);
        }
        self.advance(id, facade);
        if let Some(job) = self.jobs.get(&id).filter(|job| !job.is_over()) {
            let answer = job.unserved_answer();
            self.finish(id, answer, facade);
        }
    }

    /// Gives the job its final answer, which is returned once it is durable.
    pub(super) fn finish(&mut self, id: JobId, answer: Answer, facade: &mut Facade) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.is_over() {
            return self.check_invariant(false, "a second final answer");
        }
        self.release_request(id, facade);
        let served = matches!(answer, Answer::Served(_));
        let safe = self.close_attempts(id, served);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let rejected = matches!(answer, Answer::Rejected(_));
        // A rejection of what never ran ends all interest in the job, unless someone will come and ask.
        let removable = rejected && !job.detached && !job.may_have_run();
        // A rejected job that may have run is no failure: its client's next try goes on from there.
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
            self.close(id, answer.clone());
        }
        self.after_sync(Pending::Effect(Effect::Answer(id, answer)));
        for effect in safe {
            self.after_sync(Pending::Effect(effect));
        }
        if removable {
            self.after_sync(Pending::Remove(id));
        }
    }

    /// Takes a scheduled job back from the facade.
    fn release_request(&mut self, id: JobId, facade: &mut Facade) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(request) = job.request() else {
            return;
        };
        facade.close(self.now, request);
        // Where attempts may not be cancelled, the scheduler waits for their ends.
        for attempt in job.attempts.iter().filter(|attempt| attempt.is_open()) {
            if let Some(number) = attempt.number {
                facade.report(
                    self.now,
                    Observation::Ended(request, number, Ending::Revoked, None),
                );
            }
        }
    }

    /// Ends all attempts of a job. Returns the notifications to workers whose results are durable soon.
    fn close_attempts(&mut self, id: JobId, served: bool) -> Vec<Effect> {
        let now = self.now;
        let mut safe = Vec::new();
        let Some(job) = self.jobs.get_mut(&id) else {
            return safe;
        };
        for attempt in &mut job.attempts {
            let token = attempt.lease.token;
            if attempt.state == AttemptState::InFlight {
                self.ready.push_back(Effect::Stop { id, token });
            }
            match attempt.state {
                // Not dispatched, and never will be.
                AttemptState::InFlight if !attempt.dispatched => {
                    attempt.state = AttemptState::Unsent;
                }
                AttemptState::InFlight | AttemptState::Fencing => {
                    attempt.state = AttemptState::Indeterminate;
                    attempt.fence_at = now;
                }
                AttemptState::Ended if served && self.limits.leases => {
                    let worker = attempt.worker.clone();
                    safe.push(Effect::Safe { id, token, worker });
                }
                _ => {}
            }
            // What came of others is of no interest once the job is served.
            if served && attempt.state == AttemptState::Indeterminate {
                attempt.state = AttemptState::Ended;
            }
        }
        safe
    }

    /// Records that nothing need be known of a job once that is durable.
    fn drop_job(&mut self, id: JobId, answer: Answer) {
        let number = self.write(Record::Dropped { id });
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // Known until then: a submission that comes meanwhile is the same try, and gets the same rejection.
        job.stage = Stage::Over(answer, number);
        let oldest_record = job.number;
        self.open.remove(&oldest_record);
        self.schedule(id);
    }

    /// Writes what is retained of a finished job, and lists it by whether it awaits settlement.
    pub(super) fn close(&mut self, id: JobId, answer: Answer) {
        let now = self.now;
        let Some(oldest_record) = self.jobs.get(&id).map(|job| job.number) else {
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
        job.bytes = size_of(&answer);
        // An answer that is recorded again is as durable as its first record: nobody need wait for the new one.
        let answered_at = match &job.stage {
            Stage::Over(before, first) if *before == answer => *first,
            _ => number,
        };
        job.stage = Stage::Over(answer, answered_at);
        job.number = number;
        job.written = now;
        self.bytes += job.bytes;
        if job.awaits_settlement() {
            self.indeterminate.insert(number, id);
        } else {
            let at = now;
            self.finished.push_back(Finished { at, number, id });
        }
        self.schedule(id);
    }

    /// Writes a job's final answer and the attempts that still count.
    fn write_finished(&mut self, id: JobId, answer: &Answer) -> Option<u64> {
        let job = self.jobs.get(&id)?;
        // What was rejected may be tried again: all that may have run still counts then.
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

    /// Notes what became of one indeterminate attempt.
    pub(super) fn settle_attempt(&mut self, id: JobId, token: u64, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(attempt) = job.attempt_mut(token) {
            attempt.state = settled_state(outcome);
        }
        // One attempt that ran is what counts of several.
        let outcome = if job.outcome == Some(Outcome::Ran) {
            Outcome::Ran
        } else {
            outcome
        };
        self.record_outcome(id, outcome);
    }

    /// Writes what became of an indeterminate job.
    pub(super) fn record_outcome(&mut self, id: JobId, outcome: Outcome) {
        self.counts.settled += 1;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.outcome = Some(outcome);
        if let Stage::Over(answer, _) = job.stage.clone() {
            self.close(id, answer);
        }
    }
}
