//! Clients: their submissions, patience and retries. They use only what real clients may call.

use oakshed_core::facade::Micros;
use oakshed_jobs::machine::Submitted;
use oakshed_jobs::record::{Answer, JobId, JobPayload};

use super::{Event, World, MS, S};

#[derive(Clone)]
pub(super) struct Client {
    pub(super) id: JobId,
    pub(super) class: usize,
    pub(super) detached: bool,
    pub(super) tries: u32,
    /// Sees its answer, or has given up for good.
    pub(super) done: bool,
    pub(super) awaits_answer: bool,
    /// When its present wait ends.
    pub(super) until: Micros,
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

    /// A client comes: it asks for an accepted job, or submits its job, perhaps again.
    pub(super) fn run_client(&mut self, n: usize) {
        if self.clients[n].done {
            return;
        }
        let id = self.clients[n].id;
        let again = self.rng.u64(20 * MS..S);
        if self.scheduler.is_none() {
            return self.after(again, Event::Client(n));
        }
        if self.clients[n].detached && self.clients[n].awaits_answer {
            return self.poll_answer(n, again);
        }
        self.clients[n].tries += 1;
        // The disk may have capacity again; a full store writes nothing by which to notice.
        self.check_capacity();
        if self.disk.has_stopped() {
            self.handle(Event::Kill { boot: false });
            return self.after(again, Event::Client(n));
        }
        if self.chance(30) {
            let cancelled = self
                .with_scheduler(|scheduler, now| {
                    scheduler.jobs.cancel(now, id, &mut scheduler.facade)
                })
                .flatten();
            if cancelled == Some(true) {
                self.coverage.note("cancelled");
            }
        }
        self.submit(n, again);
    }

    /// A client asks for the answer of a job that was accepted.
    fn poll_answer(&mut self, n: usize, again: Micros) {
        let id = self.clients[n].id;
        let view = self
            .with_scheduler(|scheduler, _| scheduler.jobs.status(id))
            .flatten();
        // The job must be known as long as answers are retained.
        let Some(view) = view else {
            return self.violation(format!("{id}: accepted, and not known any more"));
        };
        match view.answer {
            Some(answer) => self.on_answer(n, answer),
            None => self.after(again, Event::Client(n)),
        }
    }

    fn submit(&mut self, n: usize, again: Micros) {
        let id = self.clients[n].id;
        let detached = self.clients[n].detached;
        let payload = self.payload(n);
        let wait = self.rng.u64(300 * MS..5 * S);
        let patience = wait + 2 * S;
        self.clients[n].until = self.now + patience;
        let tries = self.clients[n].tries;
        self.after(patience, Event::LosesPatience(n, tries));
        self.truth.entry(id).or_default().reported_unrun = false;
        let submitted = self.with_scheduler(|scheduler, now| {
            let facade = &mut scheduler.facade;
            scheduler
                .jobs
                .submit(now, id, payload, wait, detached, facade)
        });
        match submitted {
            Some(Submitted::Open) => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.waiting.entry(id).or_default().push(n);
                }
            }
            Some(Submitted::Finished(answer)) => {
                self.coverage.note("submitted again");
                self.on_answer(n, answer);
            }
            Some(Submitted::Conflict) => self.violation(format!("{id}: a conflict with itself")),
            _ => self.after(again, Event::Client(n)),
        }
    }

    /// A client comes again after this span.
    pub(super) fn come_again(&mut self, n: usize, span: Micros) {
        self.clients[n].awaits_answer = false;
        self.clients[n].until = self.now;
        self.after(span, Event::Client(n));
    }

    pub(super) fn answer_waiting(&mut self, id: JobId, answer: Option<Answer>) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let waiting = scheduler.waiting.remove(&id).unwrap_or_default();
        if let Some(Answer::Rejected(_) | Answer::Cancelled) = &answer {
            self.truth.entry(id).or_default().reported_unrun = true;
        }
        for n in waiting {
            match &answer {
                Some(answer) => self.on_answer(n, answer.clone()),
                None if self.clients[n].detached => {
                    self.clients[n].awaits_answer = true;
                    let again = self.rng.u64(20 * MS..S);
                    self.after(again, Event::Client(n));
                }
                None => self
                    .scheduler
                    .as_mut()
                    .expect("there")
                    .waiting
                    .entry(id)
                    .or_default()
                    .push(n),
            }
        }
    }
}
