//! Replies that wait for a sync, and kills of the scheduler before that sync ends.
//!
//! A reply reaches its client as soon as the state machine confirms it. What it says must hold in all later processes.

use oakshed_jobs::machine::{Cancellation, JobStatus, Jobs, Provisional, Submitted};
use oakshed_jobs::record::{Answer, JobId, Outcome};

use super::{Event, World, MS};

/// Probability of a kill soon after a reply began to wait for a sync, in thousandths.
const KILL_PER_MILLE: u32 = 15;
/// Time within which such a kill happens; a sync takes up to as long.
const KILL_WITHIN: u64 = 8 * MS;

/// A reply of the running scheduler process that waits for a sync.
pub(super) enum PendingReply {
    /// Whether a client's job is accepted.
    Accepted(Waiting, Provisional<()>),
    /// The outcome of a client's cancellation.
    Cancellation(JobId, Provisional<Cancellation>),
    /// The status that a client polls.
    Status(Waiting, Provisional<JobStatus>),
    /// Whether an operator's settlement was needed.
    Settlement(JobId, Outcome, Provisional<bool>),
}

/// The client that waits for a reply, and the number of its submissions by then.
#[derive(Clone, Copy)]
pub(super) struct Waiting {
    pub(super) client: usize,
    pub(super) tries: u32,
}

/// A reply that was confirmed.
enum Reply {
    Accepted(Waiting),
    Cancellation(JobId, Cancellation),
    Status(Waiting, JobStatus),
    Settlement(JobId, Outcome, bool),
}

/// Returns the reply if its record is durable.
fn confirm(jobs: &Jobs, pending: PendingReply) -> Result<Reply, PendingReply> {
    match pending {
        PendingReply::Accepted(waiting, reply) => jobs
            .confirm(reply)
            .map(|()| Reply::Accepted(waiting))
            .map_err(|reply| PendingReply::Accepted(waiting, reply)),
        PendingReply::Cancellation(id, reply) => jobs
            .confirm(reply)
            .map(|cancellation| Reply::Cancellation(id, cancellation))
            .map_err(|reply| PendingReply::Cancellation(id, reply)),
        PendingReply::Status(waiting, reply) => jobs
            .confirm(reply)
            .map(|status| Reply::Status(waiting, status))
            .map_err(|reply| PendingReply::Status(waiting, reply)),
        PendingReply::Settlement(id, outcome, reply) => jobs
            .confirm(reply)
            .map(|settled| Reply::Settlement(id, outcome, settled))
            .map_err(|reply| PendingReply::Settlement(id, outcome, reply)),
    }
}

impl World {
    /// Has a reply wait for its sync. Some processes are killed before that.
    pub(super) fn await_confirmation(&mut self, pending: PendingReply) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        scheduler.pending_replies.push(pending);
        self.deliver_replies();
        let waits = self
            .scheduler
            .as_ref()
            .is_some_and(|scheduler| !scheduler.pending_replies.is_empty());
        if waits && self.chance(KILL_PER_MILLE) {
            let process = self.processes;
            let after = self.rng.u64(0..KILL_WITHIN);
            self.schedule(after, Event::KillBeforeSync(process));
        }
    }

    /// Kills a scheduler process if a reply still waits.
    pub(super) fn kill_before_sync(&mut self, process: u64) {
        let has_pending = self.scheduler.as_ref().is_some_and(|scheduler| {
            scheduler.process == process && !scheduler.pending_replies.is_empty()
        });
        if has_pending && !self.faults_stopped {
            self.coverage.count("kill between a reply and its sync");
            self.handle(Event::KillScheduler { reboot: false });
        }
    }

    /// Delivers all replies whose records are durable.
    pub(super) fn deliver_replies(&mut self) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let mut confirmed = Vec::new();
        for pending in std::mem::take(&mut scheduler.pending_replies) {
            match confirm(&scheduler.jobs, pending) {
                Ok(reply) => confirmed.push(reply),
                Err(pending) => scheduler.pending_replies.push(pending),
            }
        }
        for reply in confirmed {
            self.deliver(reply);
        }
    }

    fn deliver(&mut self, reply: Reply) {
        match reply {
            Reply::Accepted(waiting) => {
                if self.still_waits(waiting) {
                    self.clients[waiting.client].polls_answer = true;
                    self.retry_later(waiting.client);
                }
            }
            Reply::Cancellation(id, Cancellation::Cancelled) => self.on_withdrawn(id),
            Reply::Cancellation(..) => {}
            Reply::Status(waiting, status) => self.on_status(waiting, status),
            Reply::Settlement(id, outcome, settled) => {
                self.settlements.remove(&id);
                if settled {
                    self.coverage.count("settled by an operator");
                    self.on_outcome(id, Some(outcome));
                }
            }
        }
    }

    fn still_waits(&self, waiting: Waiting) -> bool {
        let client = &self.clients[waiting.client];
        client.tries == waiting.tries && !client.done && !client.polls_answer
    }

    /// Notes a job whose cancellation was confirmed: it never runs, and has no other answer.
    fn on_withdrawn(&mut self, id: JobId) {
        self.coverage.count("cancelled");
        let truth = self.truth.entry(id).or_default();
        truth.withdrawn = true;
        if truth.starts > 0 {
            self.report_violation(format!("{id}: withdrawn although it ran"));
        }
    }

    /// Handles the status that a client polls.
    fn on_status(&mut self, waiting: Waiting, status: JobStatus) {
        let n = waiting.client;
        let id = self.clients[n].id;
        // A rejected job may be submitted again, and then has no outcome yet.
        if status.answer == Some(Answer::Failed) {
            self.on_outcome(id, status.outcome);
        }
        if self.clients[n].done || !self.clients[n].polls_answer {
            return;
        }
        match status.answer {
            Some(answer) => self.on_answer(n, answer),
            None => self.retry_later(n),
        }
    }

    /// Notes the outcome that a client or an operator was given. It may not disappear later.
    fn on_outcome(&mut self, id: JobId, outcome: Option<Outcome>) {
        let truth = self.truth.entry(id).or_default();
        let is_lost = match truth.outcome {
            Some(Outcome::Ran) => outcome != Some(Outcome::Ran),
            Some(Outcome::Never) => outcome.is_none(),
            None => false,
        };
        if is_lost {
            let before = truth.outcome;
            let violation = format!("{id}: first {before:?}, then {outcome:?}");
            return self.report_violation(violation);
        }
        truth.outcome = outcome;
    }

    /// Lets an operator settle a job of which a worker's records show that it ran. The settlement is applied by each
    /// process until one confirms it.
    pub(super) fn settle_job(&mut self) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let truth = &self.truth;
        let has_run = |id: &JobId| truth.get(id).is_some_and(|truth| truth.starts > 0);
        let in_doubt = scheduler.jobs.indeterminate();
        if let Some(id) = in_doubt.into_iter().find(has_run) {
            self.settlements.insert(id);
            self.apply_settlements();
        }
    }

    /// Applies the operators' settlements that no process has confirmed.
    pub(super) fn apply_settlements(&mut self) {
        let outcome = Outcome::Ran;
        for id in self.settlements.clone() {
            let settled =
                self.with_scheduler(|scheduler, now| scheduler.jobs.settle(now, id, outcome));
            if let Some(settled) = settled {
                self.await_confirmation(PendingReply::Settlement(id, outcome, settled));
            }
        }
    }

    /// Has a client wait for the reply to its submission, or try again later if it was not accepted.
    pub(super) fn on_submitted(&mut self, n: usize, submitted: Submitted) {
        let id = self.clients[n].id;
        let waiting = Waiting {
            client: n,
            tries: self.clients[n].tries,
        };
        match submitted {
            Submitted::Open(accepted) if self.clients[n].detached => {
                self.await_confirmation(PendingReply::Accepted(waiting, accepted));
            }
            Submitted::Open(_) | Submitted::Ending => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.waiting.entry(id).or_default().push(n);
                }
            }
            Submitted::Finished(answer) => {
                self.coverage.count("finished job resubmitted");
                self.on_answer(n, answer);
            }
            Submitted::Conflict(_) => {
                self.report_violation(format!("{id}: a resubmission conflicts with the job"));
            }
            Submitted::Busy => self.retry_later(n),
        }
    }
}
