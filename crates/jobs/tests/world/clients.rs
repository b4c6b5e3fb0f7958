//! Simulated clients: they submit jobs, poll for answers, cancel, time out and retry.
//!
//! They call only the functions of the state machine that serve requests of real clients.

use oakshed_core::facade::Micros;
use oakshed_jobs::record::{Answer, JobId, JobPayload};

use super::replies::{PendingReply, Waiting};
use super::{Event, World, MS, S};

/// Probability that a client cancels the job that it submits, in thousandths.
const CANCEL_PER_MILLE: u32 = 80;
/// Time within which it does so; a job that a worker can take is sent within that time.
const CANCEL_WITHIN: Micros = 10 * MS;

/// A client of one job.
#[derive(Clone)]
pub(super) struct Client {
    pub(super) id: JobId,
    /// Index of the class: 0 for `transfer`, which must not run twice, 1 for `new-plate`, which is keyed.
    pub(super) class: usize,
    /// Whether it polls for the answer instead of waiting for it.
    pub(super) detached: bool,
    /// Number of submissions so far.
    pub(super) tries: u32,
    /// Whether it has its answer, or does not submit the job again after a rejection.
    pub(super) done: bool,
    /// Whether its detached job was accepted, so that it polls for the answer.
    pub(super) polls_answer: bool,
    /// Time at which its current wait for an answer ends.
    pub(super) waits_until: Micros,
}

impl World {
    fn payload(&self, n: usize) -> JobPayload {
        let class = if self.clients[n].class == 0 {
            "transfer"
        } else {
            "new-plate"
        };
        JobPayload {
            class: class.into(),
            owner: Some("owner".into()),
            target: format!("/{class}"),
            body: vec![b'x'; 40],
            ..JobPayload::default()
        }
    }

    /// Sends a client's next request: polls for the answer of an accepted job, or submits the job, again if
    /// necessary.
    pub(super) fn run_client(&mut self, n: usize) {
        if self.clients[n].done {
            return;
        }
        let id = self.clients[n].id;
        let retry_delay = self.rng.u64(20 * MS..S);
        if self.scheduler.is_none() {
            return self.schedule(retry_delay, Event::ClientRequest(n));
        }
        if self.clients[n].detached && self.clients[n].polls_answer {
            return self.poll_answer(n);
        }
        self.clients[n].tries += 1;
        // While the disk is full no job is accepted, so the scheduler must check for space without a write.
        self.check_capacity();
        if self.disk.has_stopped() {
            self.handle(Event::KillScheduler { reboot: false });
            return self.schedule(retry_delay, Event::ClientRequest(n));
        }
        if self.chance(CANCEL_PER_MILLE) {
            let after = self.rng.u64(0..CANCEL_WITHIN);
            self.schedule(after, Event::Cancel(id));
        }
        self.submit(n);
    }

    /// Lets a client cancel a job.
    pub(super) fn cancel(&mut self, id: JobId) {
        let cancellation = self
            .with_scheduler(|scheduler, now| scheduler.jobs.cancel(now, id, &mut scheduler.facade));
        if let Some(cancellation) = cancellation {
            self.await_confirmation(PendingReply::Cancellation(id, cancellation));
        }
    }

    /// Polls for the answer of a job that was accepted.
    fn poll_answer(&mut self, n: usize) {
        let id = self.clients[n].id;
        let status = self
            .with_scheduler(|scheduler, _| scheduler.jobs.status(id))
            .flatten();
        // An accepted job must be known for as long as answers are retained.
        let Some(status) = status else {
            return self.report_violation(format!("{id}: unknown after it was accepted"));
        };
        let waiting = Waiting {
            client: n,
            tries: self.clients[n].tries,
        };
        let wait = 2 * S;
        self.clients[n].waits_until = self.now + wait;
        self.schedule(wait, Event::ClientTimeout(n, waiting.tries));
        self.await_confirmation(PendingReply::Status(waiting, status));
    }

    /// Lets a client send its next request after a delay.
    pub(super) fn retry_later(&mut self, n: usize) {
        let delay = self.rng.u64(20 * MS..S);
        self.schedule(delay, Event::ClientRequest(n));
    }

    /// Submits a client's job, and schedules the end of the client's wait.
    fn submit(&mut self, n: usize) {
        let id = self.clients[n].id;
        let detached = self.clients[n].detached;
        let payload = self.payload(n);
        let wait = self.rng.u64(300 * MS..5 * S);
        let client_timeout = wait + 2 * S;
        self.clients[n].waits_until = self.now + client_timeout;
        let tries = self.clients[n].tries;
        self.schedule(client_timeout, Event::ClientTimeout(n, tries));
        self.truth.entry(id).or_default().reported_never_run = false;
        let submitted = self.with_scheduler(|scheduler, now| {
            let facade = &mut scheduler.facade;
            scheduler
                .jobs
                .submit(now, id, payload, wait, detached, facade)
        });
        match submitted {
            Some(submitted) => self.on_submitted(n, submitted),
            None => self.retry_later(n),
        }
    }

    /// Ends a client's wait, and lets it submit the job again after a delay.
    pub(super) fn resubmit_later(&mut self, n: usize, delay: Micros) {
        self.clients[n].polls_answer = false;
        self.clients[n].waits_until = self.now;
        self.schedule(delay, Event::ClientRequest(n));
    }

    /// Gives all clients that wait for a job its answer.
    pub(super) fn notify_waiting_clients(&mut self, id: JobId, answer: &Answer) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let waiting = scheduler.waiting.remove(&id).unwrap_or_default();
        if let Answer::Rejected(_) | Answer::Cancelled = answer {
            self.truth.entry(id).or_default().reported_never_run = true;
        }
        for n in waiting {
            self.on_answer(n, answer.clone());
        }
    }
}
