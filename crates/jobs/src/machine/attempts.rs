//! Scheduling of open jobs, leasing and dispatch of attempts, and the handling of their ends.
//!
//! The scheduler chooses the worker. An attempt is dispatched only once its lease is durable.

use std::rc::Rc;

use oakshed_core::facade::{
    Earlier, Ending, Facade, Job as JobRequest, Micros, Observation, Report,
};

use super::job::{Attempt, AttemptState, Job, Stage};
use super::{Effect, Jobs, Pending};
use crate::record::{Answer, JobId, Lease, Record, UNCONFIRMED_START, WITHOUT_FIELDS_START};

impl Jobs {
    /// Sets the time at which a job is processed next: its next fence or its deadline.
    pub(super) fn schedule(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_finished = job.is_finished();
        let fence = if self.has_list {
            let leases = self.limits.leases;
            job.attempts
                .iter()
                .filter_map(|attempt| attempt.next_fence(leases, is_finished))
                .min()
        } else {
            None
        };
        let deadline = (!is_finished).then_some(job.deadline);
        let due = fence
            .into_iter()
            .chain(deadline)
            .min()
            .unwrap_or(Micros::MAX);
        if due != job.due {
            self.due.remove(&(job.due, id));
            job.due = due;
            if due != Micros::MAX {
                self.due.insert((due, id));
            }
        }
    }

    /// Performs the actions that are due for a job: ends it at its deadline, fences its workers, and submits
    /// it to the scheduler.
    pub(super) fn process_due(&mut self, id: JobId, facade: &mut Facade) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if !job.is_finished() && self.now >= job.deadline {
            return self.expire(id, facade);
        }
        let is_ready = job.stage == Stage::Waiting && !job.attempts.iter().any(Attempt::is_open);
        // A cached list suffices for a job that was never sent. A job that may have run waits for a confirmed
        // list, because the workers that it may be sent to depend on where it ran.
        let list_suffices = self.list_is_confirmed || self.has_list && !job.may_have_run();
        self.send_fences(id);
        if is_ready && list_suffices {
            self.submit_to_facade(id, facade);
        }
        self.schedule(id);
    }

    /// Fences all attempts of a job whose next fence is due.
    fn send_fences(&mut self, id: JobId) {
        if !self.limits.leases || !self.has_list {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_finished = job.is_finished();
        for attempt in &mut job.attempts {
            if attempt
                .next_fence(true, is_finished)
                .is_none_or(|at| self.now < at)
            {
                continue;
            }
            // Provisional: the reply, or a missing reply, sets the time of the next fence again.
            attempt.fence_at = self.now + attempt.fence_interval.max(self.limits.lease);
            self.counts.fences += 1;
            self.effects.push_back(Effect::Fence {
                id,
                token: attempt.lease.token,
                worker: attempt.worker.clone(),
                confirmed: self.list_is_confirmed,
            });
        }
    }

    /// Submits a job to the facade, together with its earlier attempts that may have run.
    pub(super) fn submit_to_facade(&mut self, id: JobId, facade: &mut Facade) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let class = &job.payload.class;
        let Some(class) = self.names.classes.iter().position(|name| name == class) else {
            // The settings have changed, and the job's class no longer exists.
            let answer = job.unserved_answer();
            return self.finish(id, answer, facade);
        };
        let owner = job.payload.owner.as_ref();
        let tenant = owner.and_then(|owner| self.names.tenants.iter().position(|t| t == owner));
        let request = job_request(job, now, class, tenant);
        let mut earlier = Vec::new();
        for attempt in &mut job.attempts {
            if attempt.may_have_run() {
                attempt.facade_index = Some(earlier.len());
                earlier.push(Earlier {
                    worker: attempt.worker.clone(),
                    ago: now.saturating_sub(attempt.lease.sent),
                });
            }
        }
        job.stage = Stage::Scheduled(facade.resume(now, &request, &earlier));
        if let Ok(mut jobs) = self.wake_queue.jobs.lock() {
            jobs.push(id);
        }
    }

    /// Writes the lease of a new attempt, which is dispatched once the lease is durable.
    pub(super) fn write_lease(
        &mut self,
        id: JobId,
        facade_index: usize,
        worker: Rc<str>,
        until: Micros,
        write_deadline: Micros,
    ) {
        let start_ms = self.recorded_start(&worker);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let lease = Lease {
            token: self.next_record,
            worker: worker.to_string(),
            start_ms,
            sent: self.now,
        };
        let token = lease.token;
        job.attempts.push(Attempt {
            facade_index: Some(facade_index),
            worker,
            lease_expires_at: until.min(self.now + self.limits.lease),
            write_deadline,
            ..Attempt::new(lease.clone(), AttemptState::InFlight)
        });
        let lease = self.logical_lease(&lease);
        self.write(Record::Leased { id, lease });
        self.after_sync(Pending::Dispatch(id, token));
    }

    /// Returns the start time of a worker to be recorded in a lease, by which a later process judges what the worker
    /// can prove about the attempt.
    fn recorded_start(&self, worker: &str) -> u64 {
        if !self.limits.leases {
            return WITHOUT_FIELDS_START;
        }
        if !self.list_is_confirmed {
            return UNCONFIRMED_START;
        }
        self.worker_starts.get(worker).copied().unwrap_or(0)
    }

    /// Sends an attempt whose lease is durable, unless a deadline has passed in the meantime.
    pub(super) fn dispatch(&mut self, id: JobId, token: u64, facade: &mut Facade) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let payload = job.payload.clone();
        let until = job.deadline;
        let Some(attempt) = job.attempt_mut(token) else {
            return;
        };
        if attempt.state != AttemptState::InFlight {
            return;
        }
        let write_deadline = attempt.write_deadline;
        if now >= until.min(write_deadline) {
            return self.record_never_ran(id, token, Ending::Unused, None, facade);
        }
        attempt.dispatched = true;
        attempt.lease_expires_at = now + self.limits.lease;
        self.effects.push_back(Effect::Attempt {
            id,
            token,
            worker: attempt.worker.clone(),
            until,
            write_deadline,
            payload,
        });
        self.schedule(id);
    }

    /// Ends an attempt that never ran, and writes a record of that.
    pub(super) fn record_never_ran(
        &mut self,
        id: JobId,
        token: u64,
        ending: Ending,
        load: Option<Report>,
        facade: &mut Facade,
    ) {
        self.write(Record::Unsent { id, token });
        self.end_attempt(id, token, AttemptState::Unsent, ending, load, facade);
    }

    /// Ends an attempt and reports its end to the facade. A restored job that is not scheduled yet is processed
    /// instead, and is submitted to the facade once it has no open attempt.
    pub(super) fn end_attempt(
        &mut self,
        id: JobId,
        token: u64,
        state: AttemptState,
        ending: Ending,
        load: Option<Report>,
        facade: &mut Facade,
    ) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let request = job.request();
        let Some(attempt) = job.attempt_mut(token) else {
            return;
        };
        attempt.state = state;
        attempt.fence_at = now;
        if let (Some(request), Some(index)) = (request, attempt.facade_index) {
            facade.report(now, Observation::Ended(request, index, ending, load));
        } else {
            self.process_due(id, facade);
        }
    }

    /// Ends an attempt with its result, which becomes the job's answer unless another attempt's result
    /// arrived first.
    pub(super) fn accept_result(
        &mut self,
        id: JobId,
        token: u64,
        result: Vec<u8>,
        load: Option<Report>,
        facade: &mut Facade,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let request = job.request();
        let Some(attempt) = job.attempt_mut(token) else {
            return;
        };
        attempt.state = AttemptState::Ended;
        if let (Some(request), Some(index)) = (request, attempt.facade_index) {
            attempt.result = Some(result);
            facade.report(
                self.now,
                Observation::Ended(request, index, Ending::Delivered, load),
            );
        } else {
            attempt.is_served = true;
            self.finish(id, Answer::Served(result), facade);
        }
    }
}

/// Converts a job to the facade's request type.
fn job_request(job: &Job, now: Micros, class: usize, tenant: Option<usize>) -> JobRequest {
    let remaining = if job.overdue {
        0
    } else {
        job.deadline.saturating_sub(now)
    };
    JobRequest {
        class: class as u32,
        tenant: tenant.map(|tenant| tenant as u32),
        slots: job.payload.slots,
        memory: job.payload.memory,
        key: job.payload.key,
        hint: None,
        remaining,
    }
}
