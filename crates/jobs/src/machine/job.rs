//! State of one job and of its attempts.
//!
//! [`Jobs`](super::Jobs) keeps the indexes and queues of jobs consistent, and makes all changes that affect
//! them.

use std::rc::Rc;

use oakshed_core::facade::{Handle, Micros};

use crate::record::{Answer, JobId, JobPayload, Lease, Outcome, Record};

/// Interval between the first two fences of an attempt: 0.1 s.
pub(super) const INITIAL_FENCE_INTERVAL: Micros = 100_000;

/// Send time of an attempt whose real send time is unknown. It is so early that every time window that
/// starts with it has expired.
pub(super) const UNKNOWN_SEND_TIME: Micros = 0;

/// Bytes accounted for an answer, in addition to its result.
const ANSWER_OVERHEAD: usize = 64;

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// The connection is open, or the lease is not durable yet.
    InFlight,
    /// The connection is lost, and the worker is being fenced to learn the outcome.
    Fencing,
    /// The attempt may have run; the outcome is unknown.
    Indeterminate,
    /// The attempt never ran.
    Unsent,
    /// The attempt ran and has ended.
    Ended,
}

/// One attempt to run a job on a worker.
pub(super) struct Attempt {
    pub(super) lease: Lease,
    pub(super) worker: Rc<str>,
    /// Index of the attempt at the facade. `None` until the job is scheduled in this process.
    pub(super) facade_index: Option<usize>,
    pub(super) state: AttemptState,
    /// Whether the lease is durable and the caller was told to send the attempt.
    pub(super) dispatched: bool,
    /// Time by which the whole request must have been written. After it the attempt is not sent.
    pub(super) write_deadline: Micros,
    pub(super) lease_expires_at: Micros,
    /// Time of the next fence.
    pub(super) fence_at: Micros,
    /// Interval after that fence if it yields no outcome.
    pub(super) fence_interval: Micros,
    /// The worker's result, until the facade decides to serve it.
    pub(super) result: Option<Vec<u8>>,
    /// Whether its result is the job's answer.
    pub(super) is_served: bool,
}

impl Attempt {
    pub(super) fn new(lease: Lease, state: AttemptState) -> Attempt {
        let worker = lease.worker.as_str().into();
        Attempt {
            lease,
            worker,
            facade_index: None,
            state,
            dispatched: false,
            write_deadline: Micros::MAX,
            lease_expires_at: 0,
            fence_at: 0,
            fence_interval: INITIAL_FENCE_INTERVAL,
            result: None,
            is_served: false,
        }
    }

    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, AttemptState::InFlight | AttemptState::Fencing)
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.state != AttemptState::Unsent
    }

    /// Returns whether an open attempt may have been sent.
    pub(super) fn was_sent(&self) -> bool {
        self.dispatched || self.state == AttemptState::Fencing
    }

    /// Ends an open attempt whose result is no longer needed. Returns whether the attempt may have run.
    pub(super) fn abandon(&mut self) -> bool {
        let sent = self.was_sent();
        self.state = if sent {
            AttemptState::Indeterminate
        } else {
            AttemptState::Unsent
        };
        sent
    }

    /// Returns the time of the next fence, or `None` if the worker need not be fenced.
    pub(super) fn next_fence(&self, leases: bool, job_is_finished: bool) -> Option<Micros> {
        match self.state {
            AttemptState::InFlight if leases && self.dispatched => {
                Some(self.lease_expires_at.max(self.fence_at))
            }
            AttemptState::Fencing => Some(self.fence_at),
            AttemptState::Indeterminate
                if leases && job_is_finished && self.lease.may_be_known_to_worker() =>
            {
                Some(self.fence_at)
            }
            _ => None,
        }
    }
}

/// Stage of a job.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// Not submitted to the facade in this process yet.
    Waiting,
    /// Queued or in flight at the facade.
    Scheduled(Handle),
    /// Finished with an answer, which is durable once the record with this number is.
    Finished(Answer, u64),
}

/// A job.
pub(super) struct Job {
    pub(super) fingerprint: u128,
    pub(super) payload: Rc<JobPayload>,
    pub(super) deadline: Micros,
    /// Time from the submission to the client's deadline.
    pub(super) wait: Micros,
    /// Whether the client fetches the answer later instead of waiting for it.
    pub(super) detached: bool,
    /// Whether the deadline passed while no scheduler was running.
    pub(super) overdue: bool,
    pub(super) stage: Stage,
    pub(super) attempts: Vec<Attempt>,
    pub(super) outcome: Option<Outcome>,
    /// Number of the oldest record that the job still needs.
    pub(super) record_number: u64,
    /// Time at which that record was written.
    pub(super) written_at: Micros,
    /// Number of the record that must be durable before the job's status is reported: of its acceptance, or of its
    /// last settlement.
    pub(super) status_record: u64,
    /// Time at which the job is processed next; `Micros::MAX` if no time is set.
    pub(super) due: Micros,
    /// Bytes accounted for the payload or the answer.
    pub(super) bytes: usize,
}

impl Job {
    pub(super) fn is_finished(&self) -> bool {
        matches!(self.stage, Stage::Finished(..))
    }

    pub(super) fn has_indeterminate_attempts(&self) -> bool {
        self.attempts.iter().any(|attempt| {
            matches!(
                attempt.state,
                AttemptState::Indeterminate | AttemptState::Fencing
            )
        })
    }

    /// Returns whether the job is finished and kept until its outcome is known. This excludes rejected jobs:
    /// they may run again anyway, and their indeterminate attempts are removed with them.
    pub(super) fn awaits_settlement(&self) -> bool {
        matches!(self.stage, Stage::Finished(Answer::Failed, _))
            && self.has_indeterminate_attempts()
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Returns whether an attempt may have been sent to a worker, by this process or an earlier one.
    pub(super) fn may_have_been_sent(&self) -> bool {
        let may_have_been_sent = |attempt: &Attempt| {
            if attempt.is_open() {
                attempt.was_sent()
            } else {
                attempt.may_have_run()
            }
        };
        self.attempts.iter().any(may_have_been_sent)
    }

    /// Returns the job's handle at the facade while it is scheduled.
    pub(super) fn request(&self) -> Option<Handle> {
        if let Stage::Scheduled(request) = self.stage {
            Some(request)
        } else {
            None
        }
    }

    pub(super) fn attempt_mut(&mut self, token: u64) -> Option<&mut Attempt> {
        self.attempts
            .iter_mut()
            .find(|attempt| attempt.lease.token == token)
    }

    /// Returns the attempt with this index at the facade.
    pub(super) fn attempt_by_facade_index_mut(&mut self, index: usize) -> Option<&mut Attempt> {
        self.attempts
            .iter_mut()
            .find(|attempt| attempt.facade_index == Some(index))
    }

    /// Returns the answer for a job that ends without a result.
    pub(super) fn unserved_answer(&self) -> Answer {
        if self.may_have_run() {
            Answer::Failed
        } else {
            Answer::Rejected(None)
        }
    }

    pub(super) fn indeterminate_leases(&self) -> Vec<Lease> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_open() || attempt.state == AttemptState::Indeterminate)
            .map(|attempt| attempt.lease.clone())
            .collect()
    }

    /// Creates a job without attempts, from its record's number and time.
    pub(super) fn new(
        fingerprint: u128,
        payload: Rc<JobPayload>,
        record_number: u64,
        written_at: Micros,
    ) -> Job {
        let bytes = payload.size();
        Job {
            fingerprint,
            payload,
            deadline: written_at,
            wait: 0,
            detached: false,
            overdue: false,
            stage: Stage::Waiting,
            attempts: Vec::new(),
            outcome: None,
            record_number,
            written_at,
            status_record: record_number,
            due: Micros::MAX,
            bytes,
        }
    }

    /// Creates a job from a log record. Returns `None` for a record that does not hold a whole job.
    pub(super) fn from_record(
        number: u64,
        record: Record,
        empty_payload: &Rc<JobPayload>,
    ) -> Option<(JobId, Job)> {
        match record {
            Record::Accepted {
                at,
                id,
                fingerprint,
                payload,
                deadline,
                wait,
                detached,
                leases,
            } => {
                let job = Job {
                    deadline,
                    wait,
                    detached,
                    attempts: attempts_from_leases(leases, AttemptState::Fencing),
                    ..Job::new(fingerprint, Rc::new(payload), number, at)
                };
                Some((id, job))
            }
            Record::Finished {
                at,
                id,
                fingerprint,
                answer,
                indeterminate,
                outcome,
            } => {
                let job = Job {
                    bytes: answer_size(&answer),
                    stage: Stage::Finished(answer, number),
                    attempts: attempts_from_leases(indeterminate, AttemptState::Indeterminate),
                    outcome,
                    ..Job::new(fingerprint, empty_payload.clone(), number, at)
                };
                Some((id, job))
            }
            _ => None,
        }
    }
}

fn attempts_from_leases(leases: Vec<Lease>, state: AttemptState) -> Vec<Attempt> {
    leases
        .into_iter()
        .map(|lease| Attempt::new(lease, state))
        .collect()
}

/// Returns the number of bytes accounted for an answer.
pub(super) fn answer_size(answer: &Answer) -> usize {
    match answer {
        Answer::Served(result) => result.len() + ANSWER_OVERHEAD,
        _ => ANSWER_OVERHEAD,
    }
}
