//! The effects of the state machine, carried out on the simulated network and disk.

use std::rc::Rc;

use oakshed_core::facade::{Ending, Micros};
use oakshed_jobs::machine::Effect;
use oakshed_jobs::record::JobId;

use super::workers::{result_of, Connection, WorkerMessage};
use super::{AttemptRef, Event, FenceRef, World, MS};

impl World {
    pub(super) fn carry_out(&mut self, effect: Effect) {
        self.log(|| format!("  {effect:?}"));
        match effect {
            Effect::Accepted(id) => self.answer_waiting(id, None),
            Effect::Answer(id, answer) => self.answer_waiting(id, Some(answer)),
            Effect::Trim(low) => self.trim(low),
            Effect::Attempt {
                id,
                token,
                worker,
                until,
                payload,
                ..
            } => {
                let class = usize::from(payload.class != "transfer");
                self.dial(id, token, &worker, until, class);
            }
            Effect::Stop { id, token } => self.stop(id, token),
            Effect::Fence {
                id,
                token,
                worker,
                confirmed,
            } => {
                let fence = FenceRef {
                    process: self.processes,
                    id,
                    token,
                    confirmed,
                };
                self.fence(fence, &worker);
            }
            Effect::NotifyResultStored { id, worker, .. } => {
                let listener = self.listener(&worker);
                if let Some(listener) = listener.filter(|_| !self.chance(100)) {
                    let known = self.workers[listener].known.entry(id).or_default();
                    known.result = Some(result_of(id));
                }
            }
        }
    }

    fn trim(&mut self, low: u64) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        match scheduler.log.trim(low) {
            Ok(0) => {}
            Ok(_) => self.coverage.note("trimmed"),
            Err(_) if self.disk.has_stopped() => self.handle(Event::Kill { boot: false }),
            Err(_) => {}
        }
    }

    fn dial(&mut self, id: JobId, token: u64, worker: &Rc<str>, until: Micros, class: usize) {
        if let Some(listener) = self.listener(worker) {
            if self.workers[listener].name != *worker {
                self.coverage.note("sent to a stranger");
            }
            return self.attempt(id, token, listener, until, class);
        }
        let connection = self.connections.len() as u64;
        self.connections.push(Connection {
            worker: 0,
            worker_process: 0,
            open: true,
            drops_messages: false,
            last: 0,
        });
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.connections.insert((id, token), connection);
        }
        let attempt = AttemptRef {
            connection,
            id,
            token,
        };
        let wait = self.delay();
        let message = WorkerMessage::ended(Ending::DialFailed);
        self.after(wait, Event::WorkerSays { attempt, message });
    }

    fn stop(&mut self, id: JobId, token: u64) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        if let Some(connection) = scheduler.connections.remove(&(id, token)) {
            self.connections[connection as usize].open = false;
        }
    }

    fn fence(&mut self, fence: FenceRef, worker: &Rc<str>) {
        let listener = self.listener(worker).filter(|_| !self.chance(150));
        let Some(listener) = listener else {
            let wait = self.delay() + 100 * MS;
            return self.after(wait, Event::FenceReplied { fence, reply: None });
        };
        if self.workers[listener].name != *worker {
            self.coverage.note("stranger asked");
        }
        // Some arrive twice.
        for _ in 0..1 + usize::from(self.chance(50)) {
            let wait = self.delay();
            let worker_process = self.workers[listener].process;
            self.after(
                wait,
                Event::FenceArrives {
                    fence,
                    worker: listener,
                    worker_process,
                },
            );
        }
    }
}
