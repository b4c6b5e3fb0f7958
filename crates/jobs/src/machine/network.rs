//! Events from workers and from discovery: endpoint lists, heartbeats, ends of attempts, fence replies.
//!
//! A worker's reply that a job never started does not prove that the attempt never ran if the reply may come
//! from a different worker at a cached address, or if the worker has lost its job history.

use std::rc::Rc;

use oakshed_core::facade::{Ending, Facade, Micros, Observation, Report};

use super::job::{Attempt, AttemptState, Stage, INITIAL_FENCE_INTERVAL};
use super::{AttemptEnd, Effect, FenceReply, FenceStatus, Jobs, Pending};
use crate::record::{Answer, JobId, Lease, Outcome, UNCONFIRMED_START, WITHOUT_FIELDS_START};

/// Maximum interval between two fences of an attempt: 60 s.
const MAX_FENCE_INTERVAL: Micros = 60_000_000;

/// Required age of a worker's job history at the time an attempt was sent, if the lease gives the worker's
/// start time as 0, long ago: two hours, more than any clock jump that has to be tolerated.
const MIN_HISTORY_AGE_MS: u64 = 2 * 3_600_000;

/// Maximum number of worker start times that are retained.
const MAX_WORKER_STARTS: usize = 8_192;

impl Jobs {
    /// Reports a new endpoint list. `starts` yields the start time of each worker in it, in Unix milliseconds.
    /// A list that is not `confirmed` was cached before this process started: its workers may have restarted
    /// since, and its addresses may belong to other workers by now.
    pub fn on_endpoint_list<'a>(
        &mut self,
        now: Micros,
        starts: impl Iterator<Item = (&'a Rc<str>, u64)>,
        confirmed: bool,
        facade: &mut Facade,
    ) {
        self.now = now;
        // Bounds the memory in a fleet whose machines are replaced over months. A worker without a start time
        // counts as started long ago, so that its fence replies prove less.
        if self.worker_starts.len() > MAX_WORKER_STARTS {
            self.worker_starts.clear();
        }
        self.worker_starts
            .extend(starts.map(|(worker, start)| (worker.clone(), start)));
        // An empty cached list carries no information.
        let has_list = confirmed || !self.worker_starts.is_empty();
        let first_list = has_list && !self.has_list;
        let first_confirmed = confirmed && !self.list_is_confirmed;
        if first_list || first_confirmed {
            self.has_list = true;
            self.list_is_confirmed |= confirmed;
            self.resume_with_list(first_confirmed, facade);
        }
        self.advance_woken_jobs(now, facade);
    }

    /// Processes the jobs that were waiting for an endpoint list, or for a confirmed one.
    fn resume_with_list(&mut self, first_confirmed: bool, facade: &mut Facade) {
        let listed = self.open.values().chain(self.indeterminate.values());
        let waiting: Vec<JobId> = listed.copied().collect();
        for id in waiting {
            if let Some(job) = self.jobs.get_mut(&id).filter(|_| first_confirmed) {
                for attempt in &mut job.attempts {
                    // Fenced again, because a reply from a cached address does not prove that the attempt
                    // never ran.
                    if matches!(
                        attempt.state,
                        AttemptState::Fencing | AttemptState::Indeterminate
                    ) {
                        attempt.fence_at = self.now;
                        attempt.fence_interval = INITIAL_FENCE_INTERVAL;
                    }
                }
            }
            self.process_due(id, facade);
        }
    }

    /// Reports a heartbeat of an attempt's worker: the job has `started`, or is still running.
    pub fn on_heartbeat(
        &mut self,
        now: Micros,
        id: JobId,
        token: u64,
        started: bool,
        facade: &mut Facade,
    ) {
        self.now = now;
        let lease = self.limits.lease;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let request = job.request();
        let Some(attempt) = job.attempt_mut(token) else {
            return;
        };
        if attempt.state != AttemptState::InFlight {
            return;
        }
        attempt.lease_expires_at = now + lease;
        attempt.fence_interval = INITIAL_FENCE_INTERVAL;
        if let (Some(request), Some(index)) = (request, attempt.facade_index) {
            let seen = if started {
                Observation::Started(request, index)
            } else {
                Observation::Progress(request, index)
            };
            facade.report(now, seen);
        }
        self.advance_woken_jobs(now, facade);
    }

    /// Reports the end of an attempt's connection.
    pub fn on_ended(
        &mut self,
        now: Micros,
        id: JobId,
        token: u64,
        end: AttemptEnd,
        load: Option<Report>,
        facade: &mut Facade,
    ) {
        self.now = now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let client_waits = now < job.deadline && !job.is_finished();
        let Some(attempt) = job.attempt_mut(token) else {
            return;
        };
        if attempt.state != AttemptState::InFlight {
            return;
        }
        match end {
            AttemptEnd::Result(result) => self.accept_result(id, token, result, load, facade),
            AttemptEnd::NoResult(
                ending @ (Ending::Declined
                | Ending::DialFailed
                | Ending::Unused
                | Ending::LocalFault),
            ) => self.record_never_ran(id, token, ending, load, facade),
            AttemptEnd::NoResult(Ending::Error) => {
                self.end_attempt(id, token, AttemptState::Ended, Ending::Error, load, facade);
            }
            // The worker may know the outcome, and is fenced until the client's deadline.
            AttemptEnd::NoResult(_) if self.limits.leases && client_waits => {
                attempt.state = AttemptState::Fencing;
                attempt.fence_at = now;
                self.process_due(id, facade);
            }
            AttemptEnd::NoResult(ending) => {
                let ending = if ending == Ending::Delivered {
                    Ending::Dropped
                } else {
                    ending
                };
                let state = AttemptState::Indeterminate;
                self.end_attempt(id, token, state, ending, load, facade);
            }
        }
        self.advance_woken_jobs(now, facade);
    }

    /// Reports a worker's reply to a fence, or `None` if there was no reply. `confirmed` is whether the reply is from the
    /// worker that the fence names, see [`Effect::Fence`].
    pub fn on_fence_reply(
        &mut self,
        now: Micros,
        id: JobId,
        token: u64,
        reply: Option<FenceReply>,
        confirmed: bool,
        facade: &mut Facade,
    ) {
        self.now = now;
        // A different worker at the address replies `Never`, because it never received the job. This counts as no
        // reply, and the fence is repeated. Any other reply concerns this job, whichever worker sends it.
        let reply = reply.filter(|reply| confirmed || reply.status != FenceStatus::Never);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(attempt) = job.attempt_mut(token) else {
            return;
        };
        if !attempt.is_open() && attempt.state != AttemptState::Indeterminate {
            return;
        }
        // Every status but `Running` is final for the attempt, whose connection is closed.
        let ends_attempt = reply
            .as_ref()
            .is_some_and(|reply| reply.status != FenceStatus::Running);
        if ends_attempt && attempt.state == AttemptState::InFlight {
            self.effects.push_back(Effect::Stop { id, token });
        }
        match reply {
            Some(reply) => self.apply_fence_reply(id, token, reply, facade),
            None => self.fence_again(id, token),
        }
        self.advance_woken_jobs(now, facade);
    }

    /// Applies a worker's reply to a fence.
    fn apply_fence_reply(&mut self, id: JobId, token: u64, reply: FenceReply, facade: &mut Facade) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_finished = job.is_finished();
        let Some(attempt) = job.attempt_mut(token) else {
            return;
        };
        let is_conclusive = history_covers(reply.since_ms, &attempt.lease);
        match reply.status {
            FenceStatus::Done(result) if is_finished => self.settle_with_result(id, token, result),
            FenceStatus::Done(result) => self.accept_result(id, token, result, None, facade),
            FenceStatus::Running if is_conclusive => {
                let expires_at = self.now + self.limits.lease;
                attempt.lease_expires_at = expires_at;
                attempt.fence_at = expires_at;
                attempt.fence_interval = INITIAL_FENCE_INTERVAL;
                self.schedule(id);
            }
            FenceStatus::Never if is_conclusive && is_finished => {
                self.settle_attempt(id, token, Outcome::Never);
            }
            FenceStatus::Never if is_conclusive => {
                self.record_never_ran(id, token, Ending::Unused, None, facade);
            }
            // The worker's history does not reach back to the attempt: the outcome will never be known.
            FenceStatus::Never if !is_finished => {
                let state = AttemptState::Indeterminate;
                self.end_attempt(id, token, state, Ending::Dropped, None, facade);
            }
            FenceStatus::Failed if is_finished => self.settle_attempt(id, token, Outcome::Ran),
            FenceStatus::Failed => {
                self.end_attempt(id, token, AttemptState::Ended, Ending::Error, None, facade);
            }
            FenceStatus::Running | FenceStatus::Never => self.fence_again(id, token),
        }
    }

    /// Settles a finished job's attempt with the result that the worker reports for it.
    fn settle_with_result(&mut self, id: JobId, token: u64, result: Vec<u8>) {
        let Some(worker) = self
            .jobs
            .get_mut(&id)
            .and_then(|job| job.attempt_mut(token))
            .map(|attempt| attempt.worker.clone())
        else {
            return;
        };
        self.settle_attempt(id, token, Outcome::Ran);
        let stage = self.jobs.get(&id).map(|job| &job.stage);
        if !matches!(stage, Some(Stage::Finished(Answer::Rejected(_), _))) {
            // The answer remains, and the result is not stored: its worker retains it.
            return;
        }
        // A rejection is not a final outcome of the job, and the result replaces it.
        let answer = Answer::Served(result);
        self.retain_finished(id, answer.clone());
        self.await_last_record(id);
        // Clients that still wait for the rejection to be written get the result in its place.
        self.pending.retain(|(_, pending)| {
            !matches!(pending, Pending::Effect(Effect::Answer(job, _)) if *job == id)
        });
        self.after_sync(Pending::Effect(Effect::Answer(id, answer)));
        self.after_sync(Pending::Effect(Effect::NotifyResultStored {
            id,
            token,
            worker,
        }));
    }

    /// Schedules the next fence after one that yielded no outcome.
    fn fence_again(&mut self, id: JobId, token: u64) {
        let now = self.now;
        let attempt: Option<&mut Attempt> = self
            .jobs
            .get_mut(&id)
            .and_then(|job| job.attempt_mut(token));
        if let Some(attempt) = attempt {
            attempt.fence_at = now + attempt.fence_interval;
            attempt.fence_interval = (attempt.fence_interval * 2).min(MAX_FENCE_INTERVAL);
            self.schedule(id);
        }
    }
}

/// Returns whether a worker's job history, complete since the given time, covers the worker process that the
/// attempt was sent to. Otherwise the reply does not prove anything about the attempt.
fn history_covers(since_ms: u64, lease: &Lease) -> bool {
    match lease.start_ms {
        0 => since_ms.saturating_add(MIN_HISTORY_AGE_MS) <= lease.sent / 1_000,
        UNCONFIRMED_START | WITHOUT_FIELDS_START => false,
        start_ms => since_ms <= start_ms,
    }
}
