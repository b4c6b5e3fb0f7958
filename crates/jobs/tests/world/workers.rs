//! Workers and the network to them: attempts, replies in their order, fences, and what a worker remembers.
//!
//! It owns what truly ran; no worker starts a job that it has fenced.

use std::collections::HashMap;
use std::rc::Rc;

use oakshed_core::facade::{Condition, Ending, Micros};
use oakshed_jobs::machine::{AttemptEnd, FenceReply, FenceStatus};
use oakshed_jobs::record::JobId;

use super::{AttemptRef, Event, FenceRef, World, EPOCH, HOUR, KEYED_WINDOW, MS, S};

/// Between two heartbeats of a running job.
const HEARTBEAT: Micros = 200 * MS;

/// What a worker remembers of a job.
#[derive(Clone, Default)]
pub(super) struct JobMemory {
    pub(super) started: Option<u64>,
    pub(super) running: bool,
    pub(super) fenced: u64,
    pub(super) result: Option<Vec<u8>>,
}

pub(super) struct Worker {
    pub(super) name: Rc<str>,
    pub(super) process: u64,
    pub(super) up: bool,
    pub(super) start: Micros,
    /// Since when its memory is complete.
    pub(super) since: Micros,
    pub(super) listed: Condition,
    pub(super) known: HashMap<JobId, JobMemory>,
}

impl Worker {
    pub(super) fn new(n: usize) -> Worker {
        let start = EPOCH - 10 * HOUR;
        Worker {
            name: format!("s-{n}").into(),
            process: 0,
            up: true,
            start,
            since: start,
            listed: Condition::Active,
            known: HashMap::new(),
        }
    }
}

/// A connection that carries one attempt.
pub(super) struct Connection {
    pub(super) worker: usize,
    pub(super) worker_process: u64,
    /// The scheduler's side is open, and it receives what comes.
    pub(super) open: bool,
    pub(super) drops_messages: bool,
    /// What comes later arrives no sooner.
    pub(super) last: Micros,
}

#[derive(Clone, Debug)]
pub(super) enum WorkerMessage {
    Started,
    Progress,
    End(AttemptEnd),
}

impl WorkerMessage {
    pub(super) fn ended(ending: Ending) -> WorkerMessage {
        WorkerMessage::End(AttemptEnd::NoResult(ending))
    }
}

impl World {
    /// The scheduler sends an attempt to a worker.
    pub(super) fn attempt(
        &mut self,
        id: JobId,
        token: u64,
        worker: usize,
        until: Micros,
        class: usize,
    ) {
        let now = self.now;
        if let Some(violation) = self.note_send(id, token, class) {
            return self.violation(violation);
        }
        let connection = self.connections.len() as u64;
        self.connections.push(Connection {
            worker,
            worker_process: self.workers[worker].process,
            open: true,
            drops_messages: false,
            last: now,
        });
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        scheduler.connections.insert((id, token), connection);
        let left = until.saturating_sub(now.wrapping_add_signed(scheduler.skew));
        let attempt = AttemptRef {
            connection,
            id,
            token,
        };
        let ended = |ending| Event::WorkerSays {
            attempt,
            message: WorkerMessage::ended(ending),
        };
        self.after(left, ended(Ending::Expired));
        if !self.workers[worker].up || self.chance(40) {
            let wait = self.delay();
            return self.after(wait, ended(Ending::DialFailed));
        }
        let wait = self.delay();
        self.after(wait, Event::Arrive { attempt, class });
        if self.chance(120) {
            let wait = self.rng.u64(0..600 * MS);
            self.after(wait, ended(Ending::Dropped));
        }
        self.connections[connection as usize].drops_messages = self.chance(80);
    }

    /// Notes that an attempt was sent; returns the invariant that this violates, if any.
    fn note_send(&mut self, id: JobId, token: u64, class: usize) -> Option<String> {
        let now = self.now;
        let truth = self.truth.entry(id).or_default();
        truth.sends.insert(token, now);
        let window_is_over = truth
            .first_run_send
            .is_some_and(|first| now > first + KEYED_WINDOW + 50 * MS);
        if class == 1 && window_is_over {
            return Some(format!("{id}: a keyed job was sent again after its window"));
        }
        if class == 0 && truth.starts > 0 {
            return Some(format!("{id}: a transfer that ran is sent again"));
        }
        None
    }

    /// A worker sends something to the scheduler, which arrives in the order in which it was sent.
    fn reply(&mut self, attempt: AttemptRef, message: WorkerMessage) {
        let delay = self.delay();
        let connection = &mut self.connections[attempt.connection as usize];
        let at = (self.now + delay).max(connection.last + 1);
        connection.last = at;
        if !connection.drops_messages {
            self.after(at - self.now, Event::WorkerSays { attempt, message });
        }
    }

    /// A request's last byte reaches its worker.
    pub(super) fn arrive(&mut self, attempt: AttemptRef, class: usize) {
        let connection = &self.connections[attempt.connection as usize];
        let worker = connection.worker;
        if self.workers[worker].process != connection.worker_process || !self.workers[worker].up {
            return;
        }
        let known = self.workers[worker].known.entry(attempt.id).or_default();
        let may_start = attempt.token > known.fenced && known.started.is_none();
        if !may_start || self.rng.u32(0..40) == 0 {
            return self.reply(attempt, WorkerMessage::ended(Ending::Declined));
        }
        known.started = Some(attempt.token);
        known.running = true;
        if let Some(violation) = self.note_start(attempt, class) {
            return self.violation(violation);
        }
        self.reply(attempt, WorkerMessage::Started);
        self.run_job(worker, attempt);
    }

    /// Notes that a job started; returns the invariant that this violates, if any.
    fn note_start(&mut self, attempt: AttemptRef, class: usize) -> Option<String> {
        let AttemptRef { id, token, .. } = attempt;
        let truth = self.truth.entry(id).or_default();
        truth.starts += 1;
        let sent = truth.sends.get(&token).copied().unwrap_or(self.now);
        truth.first_run_send = Some(truth.first_run_send.map_or(sent, |first| first.min(sent)));
        if class == 0 && truth.starts > 1 {
            return Some(format!("{id}: a transfer ran twice"));
        }
        if class == 0 && truth.reported_unrun {
            return Some(format!(
                "{id}: a transfer ran after its clients were told that it never did"
            ));
        }
        None
    }

    fn run_job(&mut self, worker: usize, attempt: AttemptRef) {
        let run = match self.rng.u32(0..10) {
            0 if !self.faults_stopped => self.rng.u64(S..8 * S),
            _ => self.rng.u64(5 * MS..150 * MS),
        };
        let mut at = HEARTBEAT;
        while at < run {
            let message = WorkerMessage::Progress;
            self.after(at, Event::WorkerSays { attempt, message });
            at += HEARTBEAT;
        }
        let process = self.workers[worker].process;
        self.after(
            run,
            Event::RunEnds {
                worker,
                process,
                attempt,
            },
        );
    }

    pub(super) fn run_ends(&mut self, worker: usize, process: u64, attempt: AttemptRef) {
        if self.workers[worker].process != process {
            return;
        }
        let known = self.workers[worker].known.entry(attempt.id).or_default();
        known.running = false;
        if self.rng.u32(0..30) == 0 {
            return self.reply(attempt, WorkerMessage::ended(Ending::Error));
        }
        let result = result_of(attempt.id);
        known.result = Some(result.clone());
        self.reply(attempt, WorkerMessage::End(AttemptEnd::Result(result)));
    }

    pub(super) fn on_worker_message(&mut self, attempt: AttemptRef, message: WorkerMessage) {
        let AttemptRef {
            connection,
            id,
            token,
        } = attempt;
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let connection_state = &mut self.connections[connection as usize];
        let is_current = scheduler.connections.get(&(id, token)) == Some(&connection);
        let is_local = matches!(message, WorkerMessage::End(AttemptEnd::NoResult(_)));
        let is_lost = connection_state.drops_messages && !is_local;
        if !is_current || !connection_state.open || is_lost {
            return;
        }
        let now = self.now.wrapping_add_signed(scheduler.skew);
        let jobs = &mut scheduler.jobs;
        let facade = &mut scheduler.facade;
        match message {
            WorkerMessage::Started => jobs.on_heartbeat(now, id, token, true, facade),
            WorkerMessage::Progress => jobs.on_heartbeat(now, id, token, false, facade),
            WorkerMessage::End(end) => {
                connection_state.open = false;
                scheduler.connections.remove(&(id, token));
                jobs.on_ended(now, id, token, end, None, facade);
            }
        }
    }

    pub(super) fn fenced(&mut self, fence: FenceRef, worker: usize, worker_process: u64) {
        let worker = &mut self.workers[worker];
        let mut reply = None;
        if worker.process == worker_process && worker.up {
            let known = worker.known.entry(fence.id).or_default();
            let status = match known.started.filter(|started| *started <= fence.token) {
                Some(_) if known.running => FenceStatus::Running,
                Some(_) => known
                    .result
                    .clone()
                    .map_or(FenceStatus::Failed, FenceStatus::Done),
                None => {
                    known.fenced = known.fenced.max(fence.token);
                    FenceStatus::Never
                }
            };
            let since_ms = worker.since / MS;
            reply = Some(FenceReply { status, since_ms });
        }
        let wait = self.delay();
        self.after(wait, Event::FenceReplied { fence, reply });
    }

    pub(super) fn restart_worker(&mut self, worker: usize) {
        self.coverage.note("worker restarted");
        let state = &mut self.workers[worker];
        state.process += 1;
        state.start = self.now;
        if self.setup.workers_keep_memory {
            for known in state.known.values_mut() {
                known.running = false;
            }
        } else {
            state.known.clear();
            state.since = self.now;
        }
        for attempt in self.attempts_of_earlier_process(worker) {
            if !self.connections[attempt.connection as usize].drops_messages {
                let wait = self.delay();
                let message = WorkerMessage::ended(Ending::Dropped);
                self.after(wait, Event::WorkerSays { attempt, message });
            }
        }
        let wait = self.delay();
        self.after(wait, Event::List);
    }

    /// The attempts whose connections broke when this worker restarted.
    fn attempts_of_earlier_process(&self, worker: usize) -> Vec<AttemptRef> {
        let Some(scheduler) = &self.scheduler else {
            return Vec::new();
        };
        let process = self.workers[worker].process;
        let is_broken = |connection: u64| {
            let connection = &self.connections[connection as usize];
            connection.worker == worker && connection.worker_process < process
        };
        let mut broken: Vec<AttemptRef> = scheduler
            .connections
            .iter()
            .filter(|(_, connection)| is_broken(**connection))
            .map(|(&(id, token), &connection)| AttemptRef {
                connection,
                id,
                token,
            })
            .collect();
        broken.sort_unstable_by_key(|attempt| (attempt.id, attempt.token));
        broken
    }
}

/// The result of a job at any worker.
pub(super) fn result_of(id: JobId) -> Vec<u8> {
    format!("made {id}").into_bytes()
}
