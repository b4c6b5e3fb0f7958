//! Events from workers and discovery: endpoint lists, heartbeats, ends of attempts, fence replies.
//!
//! It decides how much each of these proves. A `never` from another worker at a cached address, or from a
//! worker that has lost its memory, is no proof.

use std::rc::Rc;

use oakshed_core::facade::{Ending, Facade, Micros, Observation, Report};

use super::job::{Attempt, AttemptState, Stage, FIRST_FENCE_INTERVAL};
use super::{Effect, End, FenceReply, FenceStatus, Jobs, Pending};
use crate::record::{Answer, JobId, Lease, Outcome, UNCONFIRMED_START};

/// The longest interval between two fences of the same attempt: 60 s.
const MAX_FENCE_INTERVAL: Micros = 60_000_000;

/// How much older than its lease the memory of a worker must be that has started "long ago" by the list:
/// two hours, more than any jump of a clock that is to be survived.
const LONG_AGO_MS: u64 = 2 * 3_600_000;

/// The most start times of workers that are retained.
const MAX_RETAINED_STARTS: usize = 8_192;

impl Jobs {
    /// The endpoint list has come, or changed; `starts` gives the start time of each worker in it, in Unix
    /// time milliseconds. Where it is not `confirmed` it was cached before this process started: its start
    /// times may be older than the workers' own, and its addresses may be other workers' by now.
    pub fn on_list<'a>(
        &mut self,
        now: Micros,
        starts: impl Iterator<Item = (&'a Rc<str>, u64)>,
        confirmed: bool,
        facade: &mut Facade,
    ) {
        self.now = now;
        // Guards against a fleet whose machines are replaced for months. A start time that is removed counts
        // as long ago: replies of its worker prove less.
        if self.starts.len() > MAX_RETAINED_STARTS {
            self.starts.clear();
        }
        self.starts
            .extend(starts.map(|(worker, start)| (worker.clone(), start)));
        // A cached list that is empty says nothing.
        let has_list = confirmed || !self.starts.is_empty();
        let first_list = has_list && !self.has_list;
        let first_confirmed = confirmed && !self.list_is_confirmed;
        if first_list || first_confirmed {
            self.has_list = true;
            self.list_is_confirmed |= confirmed;
            self.resume_with_list(first_confirmed, facade);
        }
        self.pump(now, facade);
    }

    /// Processes the jobs that were waiting for an endpoint list, or for a confirmed one.
    fn resume_with_list(&mut self, first_confirmed: bool, facade: &mut Facade) {
        let listed = self.open.values().chain(self.indeterminate.values());
        let waiting: Vec<JobId> = listed.copied().collect();
        for id in waiting {
            if let Some(job) = self.jobs.get_mut(&id).filter(|_| first_confirmed) {
                for attempt in &mut job.attempts {
                    // Who was fenced at a cached address is fenced again: only now does `never` prove anything.
                    if matches!(
                        attempt.state,
                        AttemptState::Fencing | AttemptState::Indeterminate
                    ) {
                        attempt.fence_at = self.now;
                        attempt.fence_interval = FIRST_FENCE_INTERVAL;
                    }
                }
            }
            self.process_due(id, facade);
        }
    }

    /// An attempt's worker sent a heartbeat: its job `started`, or goes on.
    pub fn on_alive(
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
        attempt.fence_interval = FIRST_FENCE_INTERVAL;
        if let (Some(request), Some(number)) = (request, attempt.number) {
            let seen = if started {
                Observation::Started(request, number)
            } else {
                Observation::Progress(request, number)
            };
            facade.report(now, seen);
        }
        self.pump(now, facade);
    }

    /// An attempt's connection has ended.
    pub fn on_ended(
        &mut self,
        now: Micros,
        id: JobId,
        token: u64,
        end: End,
        load: Option<Report>,
        facade: &mut Facade,
    ) {
        self.now = now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let client_waits = now < job.deadline && !job.is_over();
        let Some(attempt) = job.attempt_mut(token) else {
            return;
        };
        if attempt.state != AttemptState::InFlight {
            return;
        }
        match end {
            End::Result(result) => self.accept_result(id, token, result, load, facade),
            End::Other(
                ending @ (Ending::Declined
                | Ending::DialFailed
                | Ending::Unused
                | Ending::LocalFault),
            ) => self.record_never_ran(id, token, ending, load, facade),
            End::Other(Ending::Error) => {
                self.end_attempt(id, token, AttemptState::Ended, Ending::Error, load, facade);
            }
            // Its worker may know: it is fenced, for as long as the client waits.
            End::Other(_) if self.limits.leases && client_waits => {
                attempt.state = AttemptState::Fencing;
                attempt.fence_at = now;
                self.process_due(id, facade);
            }
            End::Other(ending) => {
                let ending = if ending == Ending::Delivered {
                    Ending::Dropped
                } else {
                    ending
                };
                let state = AttemptState::Indeterminate;
                self.end_attempt(id, token, state, ending, load, facade);
            }
        }
        self.pump(now, facade);
    }

    /// A worker's reply to a fence; `None`: no reply came. `confirmed` is as the fence had it.
    pub fn on_fenced(
        &mut self,
        now: Micros,
        id: JobId,
        token: u64,
        reply: Option<FenceReply>,
        confirmed: bool,
        facade: &mut Facade,
    ) {
        self.now = now;
        // Guards against another worker at a cached address, which truly never saw the job: the right one is
        // fenced again. All other replies are about this very job, whoever sends them.
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
        // These replies end the attempt: its connection is of no use any more.
        let ends_attempt = reply
            .as_ref()
            .is_some_and(|reply| reply.status != FenceStatus::Running);
        if ends_attempt && attempt.state == AttemptState::InFlight {
            self.ready.push_back(Effect::Stop { id, token });
        }
        match reply {
            Some(reply) => self.apply_fence_reply(id, token, reply, facade),
            None => self.fence_again(id, token),
        }
        self.pump(now, facade);
    }

    fn apply_fence_reply(&mut self, id: JobId, token: u64, reply: FenceReply, facade: &mut Facade) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_over = job.is_over();
        let Some(attempt) = job.attempt_mut(token) else {
            return;
        };
        let has_memory = memory_covers(reply.since_ms, &attempt.lease);
        match reply.status {
            FenceStatus::Done(result) if is_over => self.settle_with_result(id, token, result),
            FenceStatus::Done(result) => self.accept_result(id, token, result, None, facade),
            FenceStatus::Running if has_memory => {
                let again = self.now + self.limits.lease;
                attempt.lease_expires_at = again;
                attempt.fence_at = again;
                attempt.fence_interval = FIRST_FENCE_INTERVAL;
                self.schedule(id);
            }
            FenceStatus::Never if has_memory && is_over => {
                self.settle_attempt(id, token, Outcome::Never);
            }
            FenceStatus::Never if has_memory => {
                self.record_never_ran(id, token, Ending::Unused, None, facade);
            }
            // Its memory does not reach back: nobody will ever know.
            FenceStatus::Never if !is_over => {
                let state = AttemptState::Indeterminate;
                self.end_attempt(id, token, state, Ending::Dropped, None, facade);
            }
            FenceStatus::Failed if is_over => self.settle_attempt(id, token, Outcome::Ran),
            FenceStatus::Failed => {
                self.end_attempt(id, token, AttemptState::Ended, Ending::Error, None, facade);
            }
            FenceStatus::Running | FenceStatus::Never => self.fence_again(id, token),
        }
    }

    /// A result came for a job that is finished without one.
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
        // A rejection is no answer to the job: this is.
        let stage = self.jobs.get(&id).map(|job| &job.stage);
        if matches!(stage, Some(Stage::Over(Answer::Rejected(_), _))) {
            self.close(id, Answer::Served(result));
        }
        self.after_sync(Pending::Effect(Effect::Safe { id, token, worker }));
    }

    /// Schedules the next fence after one that proved nothing.
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

/// Whether a worker's memory, complete since this time, reaches back to the process that was sent to: only
/// then does its reply prove anything.
fn memory_covers(since_ms: u64, lease: &Lease) -> bool {
    match lease.start_ms {
        0 => since_ms.saturating_add(LONG_AGO_MS) <= lease.sent / 1_000,
        UNCONFIRMED_START => false,
        start_ms => since_ms <= start_ms,
    }
}
