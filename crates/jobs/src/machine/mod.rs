//! The state machine of durable jobs: what is written, and what may be done once it is durable.
//!
//! It owns each job from its submission to its one final answer, the leases of its attempts, and those
//! that are indeterminate. Whether and where a job is sent is decided by the scheduler behind the
//! [`Facade`] that it is passed. It does no I/O, reads no clock, and returns no effect before the records
//! that the effect depends on are durable.
//!
//! # Use
//!
//! Report events (`submit`, `on_alive`, `on_ended`, `on_fenced`, `on_list`, `tick`), then append
//! [`records`](Jobs::records) to the log, carry out [`effects`](Jobs::effect), and report each sync by
//! `on_synced`.
//!
//! # Time
//!
//! `now` is the caller's clock, the facade's too. Records carry *logical* time, which never falls over all
//! restarts: while the machine has not been rebooted it goes on with the up-time, whatever was done to the
//! wall clock. After a reboot nobody knows how long the machine was off: the logical clock goes on from
//! where it was, so that no answer is removed early; what a client still has of its time is reckoned by
//! the wall clock; and every window counts as over.

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
mod restore;
mod store;
mod types;

use job::Job;
pub use types::{
    Boot, Counts, Effect, End, FenceReply, FenceStatus, Limits, Names, Sizes, Submitted, View,
};

/// The most finished jobs removed in one call, so that none takes long.
const MAX_REMOVED_PER_TICK: usize = 256;
/// The shortest time to the next removal of finished jobs: 1 ms.
const MIN_REMOVAL_INTERVAL: Micros = 1_000;

/// Jobs that have a step to take, filled by the facade's wakers.
#[derive(Default)]
struct WakeQueue {
    jobs: Mutex<Vec<JobId>>,
    outer: Mutex<Option<Waker>>,
}

/// Wakes one job.
struct JobWaker {
    id: JobId,
    queue: Arc<WakeQueue>,
}

impl Wake for JobWaker {
    fn wake(self: Arc<Self>) {
        if let Ok(mut jobs) = self.queue.jobs.lock() {
            jobs.push(self.id);
        }
        let outer = self
            .queue
            .outer
            .lock()
            .ok()
            .and_then(|mut outer| outer.take());
        if let Some(waker) = outer {
            waker.wake();
        }
    }
}

/// What waits for a sync.
enum Pending {
    /// The attempt of this token may be sent.
    Dispatch(JobId, u64),
    /// Nothing need be known of the job any more.
    Remove(JobId),
    /// The effect may be returned.
    Effect(Effect),
}

/// A finished job that is retained, and the record by which it is listed.
struct Finished {
    at: Micros,
    number: u64,
    id: JobId,
}

/// All durable jobs of one scheduler.
pub struct Jobs {
    limits: Limits,
    names: Names,
    boot: Boot,
    /// Logical time less the caller's.
    logical_offset: i64,
    jobs: FxHashMap<JobId, Job>,
    /// Finished and settled: the first is removed first.
    finished: VecDeque<Finished>,
    /// Open jobs, by the oldest record that is needed of each.
    open: BTreeMap<u64, JobId>,
    /// Finished jobs that await settlement, likewise.
    indeterminate: BTreeMap<u64, JobId>,
    due: BTreeSet<(Micros, JobId)>,
    records: Vec<Record>,
    next: u64,
    synced: u64,
    pending: VecDeque<(u64, Pending)>,
    ready: VecDeque<Effect>,
    wake_queue: Arc<WakeQueue>,
    /// The number of the newest [`Record::Opened`].
    opened: u64,
    /// Records before this number are not needed.
    trimmed: u64,
    /// Some endpoint list has named workers, be it a cached one.
    has_list: bool,
    /// A list has come from discovery itself since the start.
    list_is_confirmed: bool,
    /// The sizes of the records that are not durable yet, oldest first, and their sum.
    unsynced: VecDeque<usize>,
    unsynced_bytes: usize,
    disk_full: bool,
    bytes: usize,
    counts: Counts,
    now: Micros,
    /// When each worker had started, in Unix time milliseconds.
    starts: FxHashMap<Rc<str>, u64>,
    /// The payload of a finished job.
    empty_payload: Rc<JobPayload>,
    /// The caller's clock at the start.
    started_at: Micros,
}

impl Jobs {
    /// Does what is due, and returns when to call again. The waker is woken when that is sooner.
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
        self.pump(now, facade);
        if let Ok(mut outer) = self.wake_queue.outer.lock() {
            *outer = Some(waker.clone());
        }
        let next_due = self.due.first().map(|due| due.0);
        let next_removal = self
            .finished
            .front()
            .map(|first| (first.at + self.limits.retention).max(now + MIN_REMOVAL_INTERVAL));
        next_due.into_iter().chain(next_removal).min()
    }

    /// Removes finished jobs that have been retained long enough.
    fn remove_expired(&mut self) {
        for _ in 0..MAX_REMOVED_PER_TICK {
            let expired = |first: &Finished| first.at + self.limits.retention <= self.now;
            if !self.finished.front().is_some_and(expired) {
                return;
            }
            if let Some(first) = self.finished.pop_front() {
                self.remove(first.id);
            }
        }
    }

    /// Removes all that is stored of a job, but for its place in the lists.
    fn remove(&mut self, id: JobId) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.bytes -= job.bytes;
        self.due.remove(&(job.due, id));
        Some(job)
    }

    /// The next effect to carry out.
    pub fn effect(&mut self) -> Option<Effect> {
        self.ready.pop_front()
    }

    /// The counters since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How much it holds now.
    #[must_use]
    pub fn sizes(&self) -> Sizes {
        Sizes {
            open: self.open.len(),
            indeterminate: self.indeterminate.len(),
            jobs: self.jobs.len(),
            bytes: self.bytes,
        }
    }

    fn check_invariant(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        self.counts.invariant_violations += u64::from(!holds);
    }

    /// Takes the steps that the scheduler has decided on for jobs.
    pub fn pump(&mut self, now: Micros, facade: &mut Facade) {
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

    /// Takes all steps that are decided on for a job.
    fn advance(&mut self, id: JobId, facade: &mut Facade) {
        while let Some(request) = self.jobs.get(&id).and_then(Job::request) {
            let queue = self.wake_queue.clone();
            let waker = Waker::from(Arc::new(JobWaker { id, queue }));
            let Poll::Ready(step) = facade.poll_step(request, &waker) else {
                return;
            };
            self.take_step(id, request, step, facade);
        }
    }

    fn take_step(&mut self, id: JobId, request: Handle, step: Step, facade: &mut Facade) {
        match step {
            Step::Attempt {
                attempt,
                worker,
                until,
                write_deadline,
            } => self.lease(id, attempt, worker, until, write_deadline),
            Step::Serve { attempt } => {
                let result = self
                    .jobs
                    .get_mut(&id)
                    .and_then(|job| job.numbered_attempt_mut(attempt))
                    .and_then(|attempt| attempt.result.take());
                self.check_invariant(result.is_some(), "a served attempt has its result");
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
                    .and_then(|job| job.numbered_attempt_mut(attempt))
                    .filter(|attempt| attempt.is_open());
                if let Some(attempt) = open {
                    attempt.abandon();
                    let token = attempt.lease.token;
                    self.ready.push_back(Effect::Stop { id, token });
                }
                facade.report(
                    self.now,
                    Observation::Ended(request, attempt, Ending::Revoked, None),
                );
            }
        }
    }
}
