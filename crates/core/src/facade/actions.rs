//! Translates the scheduler's actions into steps of requests and other pending work.
//!
//! Every action must be handled: a lost one leaves a request without an answer or the scheduler without its
//! timer.

use super::{Facade, Handle, Step};
use crate::interface::{Action, Micros, RequestId, WorkerId};

impl Facade {
    pub(super) fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send {
                id,
                worker,
                write_deadline,
            } => self.begin_attempt(id, worker, write_deadline),
            Action::Reject { id, retry_after } => {
                self.tally.rejected += self.answer(id, Step::Reject { retry_after });
            }
            Action::Fail { id } => self.tally.failed += self.answer(id, Step::Fail),
            Action::Cancel { id, attempt } => self.cancel_attempt(id, attempt as usize),
            Action::Probe { worker } => self.probe(worker),
            Action::Subscribe => {
                self.due.subscribe = true;
                self.wake_timer();
            }
            Action::Wake { after } => self.set_timer(now + after),
        }
    }

    fn begin_attempt(&mut self, id: RequestId, worker: WorkerId, write_deadline: Option<Micros>) {
        let name = self.worker_names.get(&worker).cloned();
        let open = self.requests.get_mut(&Handle::of(id));
        let (Some(name), Some(open)) = (name, open) else {
            return self.check_invariant(false, "attempt for an unknown request or worker");
        };
        let is_answered = open.is_answered();
        let until = open.deadline();
        let attempt = open.begin_attempt(worker);
        open.push(Step::Attempt {
            attempt,
            worker: name,
            until,
            write_deadline: write_deadline.map_or(until, |deadline| deadline.min(until)),
        });
        self.tally.attempts += 1;
        self.check_invariant(!is_answered, "attempt after the final answer");
    }

    fn cancel_attempt(&mut self, id: RequestId, attempt: usize) {
        if let Some(open) = self.requests.get_mut(&Handle::of(id)) {
            open.push(Step::Cancel { attempt });
        }
    }

    fn probe(&mut self, worker: WorkerId) {
        if let Some(name) = self.worker_names.get(&worker) {
            self.due.probes.push(name.clone());
        }
        self.wake_timer();
    }

    fn set_timer(&mut self, at: Micros) {
        self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
        self.wake_timer();
    }

    /// Gives a request its final answer. Returns the number of answers given: 0 if the request already had one.
    fn answer(&mut self, id: RequestId, step: Step) -> u64 {
        let open = self.requests.get_mut(&Handle::of(id));
        let is_first = open.is_some_and(|open| open.answer(step));
        self.check_invariant(is_first, "second final answer");
        u64::from(is_first)
    }

    fn wake_timer(&mut self) {
        if let Some(waker) = self.timer.take() {
            waker.wake();
        }
    }
}
