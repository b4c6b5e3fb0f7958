//! State machine of durable jobs.
//!
//! [`Jobs`] tracks each job from its submission to its final answer, with the leases of its attempts, and
//! keeps indeterminate attempts until they are settled. The scheduler behind [`Facade`] decides whether and
//! where a job is sent. The state machine performs no I/O and reads no clock. It returns an effect only once
//! the records that the effect depends on are durable.
//!
//! # Usage
//!
//! The caller reports events (`submit`, `on_heartbeat`, `on_ended`, `on_fence_reply`, `on_endpoint_list`,
//! `tick`), appends [`records`](Jobs::records) to the log, performs the [`effects`](Jobs::effect), and reports
//! each sync with `on_synced`.
//!
//! # Time
//!
//! `now` is the time of the caller's clock, which the facade uses too. Records carry *logical* time, which
//! never decreases, not even across restarts. Until the machine is rebooted, logical time advances with the
//! uptime and is independent of changes to the wall clock. After a reboot the time that the machine was off
//! is unknown, with three consequences: logical time continues from its last value, so that no answer is
//! removed early; the wall clock determines how much of a client's time is left; and all time windows that
//! started when an attempt was sent count as expired.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Poll, Wake, Waker};

use oakshed_core::facade::{Ending, Facade, Handle, Micros, Observation, Step};
use rustc_hash::FxHashMap;

use crate::record::{Answer, JobId, JobPayload, Record};

mod attempts;
mod clients;
mod ends;
mod job;
mod network;
mod reply;
mod restore;
mod store;
mod types;

use job::Job;
pub use reply::Provisional;
pub use types::{
    AttemptEnd, Boot, Cancellation, Counts, Effect, FenceReply, FenceStatus, JobStatus, Limits,
    Names, Sizes, Submitted,
};

/// Maximum number of finished jobs removed by one call of [`Jobs::tick`], which bounds its duration.
const MAX_REMOVED_PER_TICK: usize = 256;
/// Minimum time to the next removal of finished jobs: 1 ms.
const MIN_REMOVAL_INTERVAL: Micros = 1_000;

/// Queue of the jobs for which the facade may have a next step.
#[derive(Default)]
struct WakeQueue {
    jobs: Mutex<Vec<JobId>>,
    /// The waker that the caller passed to [`Jobs::tick`].
    tick_waker: Mutex<Option<Waker>>,
}

/// Waker that queues one job.
struct JobWaker {
    id: JobId,
    queue: Arc<WakeQueue>,
}

impl Wake for JobWaker {
    fn wake(self: Arc<Self>) {
        if let Ok(mut jobs) = self.queue.jobs.lock() {
            jobs.push(self.id);
        }
        let tick_waker = self
            .queue
            .tick_waker
            .lock()
            .ok()
            .and_then(|mut waker| waker.take());
        if let Some(waker) = tick_waker {
            waker.wake();
        }
    }
}

/// An action that waits for a sync.
enum Pending {
    /// Send the attempt with this token.
    Dispatch(JobId, u64),
    /// Remove the job from memory.
    Remove(JobId),
    /// Return the effect to the caller.
    Effect(Effect),
}

/// A finished job that is retained for a limited time.
struct Finished {
    /// Time from which its retention counts.
    finished_at: Micros,
    /// Number of its record.
    record_number: u64,
    id: JobId,
}

/// The durable jobs of one scheduler.
pub struct Jobs {
    limits: Limits,
    names: Names,
    boot: Boot,
    /// Difference between logical time and the caller's clock, in microseconds.
    logical_offset: i64,
    jobs: FxHashMap<JobId, Job>,
    /// Finished jobs that do not await settlement, in the order of their removal.
    finished: VecDeque<Finished>,
    /// Open jobs, by the number of the oldest record that each of them needs.
    open: BTreeMap<u64, JobId>,
    /// Finished jobs that await settlement, by the number of the oldest record that each of them needs.
    indeterminate: BTreeMap<u64, JobId>,
    /// Jobs by the time at which they are processed next.
    due: BTreeSet<(Micros, JobId)>,
    /// Records that the caller has not fetched yet.
    records: Vec<Record>,
    /// Number of the next record.
    next_record: u64,
    /// Number of the last durable record.
    last_synced: u64,
    /// Actions that wait until the record with the given number is durable.
    pending: VecDeque<(u64, Pending)>,
    /// Effects that the caller has not fetched yet.
    effects: VecDeque<Effect>,
    wake_queue: Arc<WakeQueue>,
    /// Numbers of the records [`Record::Opened`] that the log still has, oldest first.
    opened_records: VecDeque<u64>,
    /// The record number up to which the log was trimmed last; records before it are no longer needed.
    trimmed_to: u64,
    /// Whether a confirmed endpoint list, or a cached one that names workers, has arrived.
    has_list: bool,
    /// Whether discovery itself has sent an endpoint list since the process started.
    list_is_confirmed: bool,
    /// Size of each record that is not durable yet, oldest first.
    unsynced_sizes: VecDeque<usize>,
    /// Sum of `unsynced_sizes`.
    unsynced_bytes: usize,
    disk_full: bool,
    /// Total size of payloads and answers.
    bytes: usize,
    counts: Counts,
    now: Micros,
    /// Start time of each worker, in Unix milliseconds.
    worker_starts: FxHashMap<Rc<str>, u64>,
    /// The payload that all finished jobs share.
    empty_payload: Rc<JobPayload>,
    /// The caller's clock at the start of the process.
    started_at: Micros,
}

impl Jobs {
    /// Processes all jobs that are due, and returns the time of the next call. The waker is woken if a call is
    /// needed earlier.
    pub fn tick(&mut self, now: Micros, facade: &mut Facade, waker: &Waker) -> Option<Micros> {
        self.now = now;
        while let Some(&(at, id)) = self.due.first().filter(|due| due.0 <= now) {
            self.due.remove(&(at, id));
            if let Some(job) = self.jobs.get_mut(&id) {
                job.due = Micros::MAX;
            }
            self.process_due(id, facade);
        }
        self.remove_expired();
        self.trim();
        self.advance_woken_jobs(now, facade);
        if let Ok(mut tick_waker) = self.wake_queue.tick_waker.lock() {
            *tick_waker = Some(waker.clone());
        }
        let next_due = self.due.first().map(|due| due.0);
        let next_removal = self.finished.front().map(|first| {
            (first.finished_at + self.limits.retention).max(now + MIN_REMOVAL_INTERVAL)
        });
        next_due.into_iter().chain(next_removal).min()
    }

    /// Removes finished jobs whose retention time is over.
    fn remove_expired(&mut self) {
        for _ in 0..MAX_REMOVED_PER_TICK {
            let expired = |first: &Finished| first.finished_at + self.limits.retention <= self.now;
            if !self.finished.front().is_some_and(expired) {
                return;
            }
            if let Some(first) = self.finished.pop_front() {
                self.remove(first.id);
            }
        }
    }

    /// Removes a job, except from `open`, `indeterminate` and `finished`.
    fn remove(&mut self, id: JobId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.bytes -= job.bytes;
        self.due.remove(&(job.due, id));
        Some(job)
    }

    /// Returns the next effect to perform.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Returns the counters since the process started.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the current sizes.
    #[must_use]
    pub fn sizes(&self) -> Sizes {
        Sizes {
            open: self.open.len(),
            indeterminate: self.indeterminate.len(),
            jobs: self.jobs.len(),
            bytes: self.bytes,
        }
    }

    /// Counts the violation of an invariant, or panics in a debug build.
    fn check_invariant(&mut self, holds: bool, violation: &str) {
        debug_assert!(holds, "{violation}");
        self.counts.invariant_violations += u64::from(!holds);
    }

    /// Applies all steps that the scheduler has decided on, for all jobs that were woken.
    pub fn advance_woken_jobs(&mut self, now: Micros, facade: &mut Facade) {
        self.now = now;
        loop {
            let woken = self
                .wake_queue
                .jobs
                .lock()
                .map(|mut jobs| std::mem::take(&mut *jobs))
                .unwrap_or_default();
            if woken.is_empty() {
                return;
            }
            for id in woken {
                self.advance(id, facade);
            }
        }
    }

    /// Applies all steps that the scheduler has decided on for a job.
    fn advance(&mut self, id: JobId, facade: &mut Facade) {
        while let Some(request) = self.jobs.get(&id).and_then(Job::request) {
            let queue = self.wake_queue.clone();
            let waker = Waker::from(Arc::new(JobWaker { id, queue }));
            let Poll::Ready(step) = facade.poll_step(request, &waker) else {
                return;
            };
            self.apply_step(id, request, step, facade);
        }
    }

    fn apply_step(&mut self, id: JobId, request: Handle, step: Step, facade: &mut Facade) {
        match step {
            Step::Attempt {
                attempt,
                worker,
                until,
                write_deadline,
            } => self.write_lease(id, attempt, worker, until, write_deadline),
            Step::Serve { attempt } => {
                let result = self
                    .jobs
                    .get_mut(&id)
                    .and_then(|job| job.attempt_by_facade_index_mut(attempt))
                    .and_then(|attempt| {
                        attempt.is_served = true;
                        attempt.result.take()
                    });
                self.check_invariant(result.is_some(), "a served attempt has no result");
                self.finish(id, result.map_or(Answer::Failed, Answer::Served), facade);
            }
            Step::Reject { retry_after } => {
                self.finish(id, Answer::Rejected(retry_after), facade);
            }
            Step::Fail => self.finish(id, Answer::Failed, facade),
            Step::Cancel { attempt } => {
                let open = self
                    .jobs
                    .get_mut(&id)
                    .and_then(|job| job.attempt_by_facade_index_mut(attempt))
                    .filter(|attempt| attempt.is_open());
                if let Some(attempt) = open {
                    attempt.abandon();
                    let token = attempt.lease.token;
                    self.effects.push_back(Effect::Stop { id, token });
                }
                facade.report(
                    self.now,
                    Observation::Ended(request, attempt, Ending::Revoked, None),
                );
            }
        }
    }
}
