//! Performs the effects of the state machine on the simulated network and disk.

use std::rc::Rc;

use oakshed_core::facade::{Ending, Micros};
use oakshed_jobs::machine::Effect;
use oakshed_jobs::record::JobId;

use super::workers::{result_of, Connection, ConnectionEvent};
use super::{AttemptRef, Event, FenceRef, World, MS};

impl World {
    pub(super) fn perform(&mut self, effect: Effect) {
        self.trace(|| format!("  {effect:?}"));
        match effect {
            Effect::Answer(id, answer) => self.notify_waiting_clients(id, &answer),
            Effect::Trim(oldest_needed) => self.trim(oldest_needed),
            Effect::Attempt {
                id,
                token,
                worker,
                until,
                payload,
                ..
            } => {
                let class = usize::from(payload.class != "transfer");
                self.dial_worker(id, token, &worker, until, class);
            }
            Effect::Stop { id, token } => self.close_attempt(id, token),
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
                self.send_fence(fence, &worker);
            }
            Effect::NotifyResultStored { id, worker, .. } => {
                if let Err(violation) = self.check_result_is_stored(id) {
                    return self.report_violation(violation);
                }
                let receiver = self.receiver(&worker);
                if let Some(receiver) = receiver.filter(|_| !self.chance(100)) {
                    let job = self.workers[receiver].history.entry(id).or_default();
                    job.result = Some(result_of(id));
                }
            }
        }
    }

    fn trim(&mut self, oldest_needed: u64) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        match scheduler.log.trim(oldest_needed) {
            Ok(0) => {}
            Ok(_) => self.coverage.count("log trimmed"),
            Err(_) if self.disk.has_stopped() => {
                self.handle(Event::KillScheduler { reboot: false });
            }
            Err(_) => {}
        }
    }

    /// Sends an attempt to the worker at the address that the scheduler has for `worker`. If there is none, the
    /// attempt ends with a failure to connect.
    fn dial_worker(
        &mut self,
        id: JobId,
        token: u64,
        worker: &Rc<str>,
        until: Micros,
        class: usize,
    ) {
        if let Some(receiver) = self.receiver(worker) {
            if self.workers[receiver].name != *worker {
                self.coverage.count("attempt sent to another worker");
            }
            return self.send_attempt(id, token, receiver, until, class);
        }
        let connection = self.connections.len() as u64;
        self.connections.push(Connection {
            worker: 0,
            worker_process: 0,
            open: true,
            drops_messages: false,
            last_arrival: 0,
        });
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.connections.insert((id, token), connection);
        }
        let attempt = AttemptRef {
            connection,
            id,
            token,
        };
        let wait = self.network_delay();
        let event = ConnectionEvent::ended(Ending::DialFailed);
        self.schedule(wait, Event::Connection { attempt, event });
    }

    /// Closes the scheduler's side of an attempt's connection.
    fn close_attempt(&mut self, id: JobId, token: u64) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        if let Some(connection) = scheduler.connections.remove(&(id, token)) {
            self.connections[connection as usize].open = false;
        }
    }

    /// Sends a fence to the worker at the address that the scheduler has for `worker`. Some fences are lost.
    fn send_fence(&mut self, fence: FenceRef, worker: &Rc<str>) {
        let receiver = self.receiver(worker).filter(|_| !self.chance(150));
        let Some(receiver) = receiver else {
            let wait = self.network_delay() + 100 * MS;
            return self.schedule(wait, Event::FenceReplyArrives { fence, reply: None });
        };
        if self.workers[receiver].name != *worker {
            self.coverage.count("fence sent to another worker");
        }
        // Some fences are delivered twice.
        for _ in 0..1 + usize::from(self.chance(50)) {
            let wait = self.network_delay();
            let worker_process = self.workers[receiver].process;
            self.schedule(
                wait,
                Event::FenceArrives {
                    fence,
                    worker: receiver,
                    worker_process,
                },
            );
        }
    }
}
