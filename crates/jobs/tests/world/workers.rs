//! Simulated workers, with their job histories, and the network between them and the scheduler.
//!
//! A worker starts no job that its history records as started, and no attempt that was fenced. Each start of a job
//! is checked against the invariants.

use std::collections::HashMap;
use std::rc::Rc;

use oakshed_core::facade::{Condition, Ending, Micros};
use oakshed_jobs::machine::{AttemptEnd, FenceReply, FenceStatus};
use oakshed_jobs::record::JobId;

use super::{AttemptRef, Event, FenceRef, World, EPOCH, HOUR, KEYED_WINDOW, MS, S};

/// Start time of the workers that have not been restarted, in Unix milliseconds.
pub(super) const FIRST_START_MS: u64 = (EPOCH - 10 * HOUR) / MS;
/// Time between two heartbeats of a running job.
const HEARTBEAT_INTERVAL: Micros = 200 * MS;

/// A job in the history of a worker.
#[derive(Clone, Default)]
pub(super) struct HistoryEntry {
    /// Token of the attempt that started the job.
    pub(super) started_token: Option<u64>,
    pub(super) running: bool,
    /// The highest token that was fenced before the job started.
    pub(super) fenced_token: u64,
    pub(super) result: Option<Vec<u8>>,
}

/// A worker, which keeps its name across restarts.
pub(super) struct Worker {
    pub(super) name: Rc<str>,
    /// Number of its restarts so far.
    pub(super) process: u64,
    pub(super) is_up: bool,
    pub(super) started_at: Micros,
    /// Time since which its job history is complete.
    pub(super) history_since: Micros,
    /// Its condition in endpoint lists.
    pub(super) listed_condition: Condition,
    pub(super) history: HashMap<JobId, HistoryEntry>,
}

impl Worker {
    pub(super) fn new(n: usize) -> Worker {
        let started_at = EPOCH - 10 * HOUR;
        Worker {
            name: format!("s-{n}").into(),
            process: 0,
            is_up: true,
            started_at,
            history_since: started_at,
            listed_condition: Condition::Active,
            history: HashMap::new(),
        }
    }
}

/// A connection that carries one attempt.
pub(super) struct Connection {
    pub(super) worker: usize,
    pub(super) worker_process: u64,
    /// Whether the scheduler's side is open.
    pub(super) open: bool,
    /// Whether the worker's messages are lost.
    pub(super) drops_messages: bool,
    /// Arrival time of the last message; later messages arrive after it.
    pub(super) last_arrival: Micros,
}

/// An event that the scheduler observes on the connection of an attempt.
#[derive(Clone, Debug)]
pub(super) enum ConnectionEvent {
    Started,
    Progress,
    End(AttemptEnd),
}

impl ConnectionEvent {
    pub(super) fn ended(ending: Ending) -> ConnectionEvent {
        ConnectionEvent::End(AttemptEnd::NoResult(ending))
    }
}

impl World {
    /// Sends an attempt from the scheduler to a worker.
    pub(super) fn send_attempt(
        &mut self,
        id: JobId,
        token: u64,
        worker: usize,
        until: Micros,
        class: usize,
    ) {
        let now = self.now;
        if let Some(violation) = self.record_send(id, token, class) {
            return self.report_violation(violation);
        }
        let connection = self.connections.len() as u64;
        self.connections.push(Connection {
            worker,
            worker_process: self.workers[worker].process,
            open: true,
            drops_messages: false,
            last_arrival: now,
        });
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        scheduler.connections.insert((id, token), connection);
        let timeout = until.saturating_sub(now.wrapping_add_signed(scheduler.clock_offset));
        let leased = scheduler.leases;
        let attempt = AttemptRef {
            connection,
            id,
            token,
        };
        let ended = |ending| Event::Connection {
            attempt,
            event: ConnectionEvent::ended(ending),
        };
        self.schedule(timeout, ended(Ending::Expired));
        if !self.workers[worker].is_up || self.chance(40) {
            let wait = self.network_delay();
            return self.schedule(wait, ended(Ending::DialFailed));
        }
        let wait = self.network_delay();
        let request = Event::RequestArrives {
            attempt,
            class,
            leased,
        };
        self.schedule(wait, request);
        if self.chance(120) {
            let wait = self.rng.u64(0..600 * MS);
            self.schedule(wait, ended(Ending::Dropped));
        }
        self.connections[connection as usize].drops_messages = self.chance(80);
    }

    /// Records that an attempt is sent. Returns the violation of an invariant, if it is one.
    fn record_send(&mut self, id: JobId, token: u64, class: usize) -> Option<String> {
        let now = self.now;
        let truth = self.truth.entry(id).or_default();
        truth.sends.insert(token, now);
        let window_has_expired = truth
            .first_executed_send
            .is_some_and(|first| now > first + KEYED_WINDOW + 50 * MS);
        if class == 1 && window_has_expired {
            return Some(format!("{id}: a keyed job was sent again after its window"));
        }
        if class == 0 && truth.starts > 0 {
            return Some(format!("{id}: a transfer was sent again after it ran"));
        }
        None
    }

    /// Sends a message from a worker to the scheduler. The messages of a connection arrive in order.
    fn reply(&mut self, attempt: AttemptRef, event: ConnectionEvent) {
        let delay = self.network_delay();
        let connection = &mut self.connections[attempt.connection as usize];
        let at = (self.now + delay).max(connection.last_arrival + 1);
        connection.last_arrival = at;
        if !connection.drops_messages {
            self.schedule(at - self.now, Event::Connection { attempt, event });
        }
    }

    /// Handles an attempt whose complete request has reached its worker. Without the lease's fields the worker runs it
    /// as any job, and knows nothing of the lease.
    pub(super) fn on_request(&mut self, attempt: AttemptRef, class: usize, leased: bool) {
        let connection = &self.connections[attempt.connection as usize];
        let worker = connection.worker;
        if self.workers[worker].process != connection.worker_process || !self.workers[worker].is_up
        {
            return;
        }
        let may_start = !leased || self.may_start(worker, attempt);
        if !may_start || self.rng.u32(0..40) == 0 {
            return self.reply(attempt, ConnectionEvent::ended(Ending::Declined));
        }
        if leased {
            let job = self.workers[worker].history.entry(attempt.id).or_default();
            job.started_token = Some(attempt.token);
            job.running = true;
        }
        if let Some(violation) = self.record_start(attempt, class) {
            return self.report_violation(violation);
        }
        self.reply(attempt, ConnectionEvent::Started);
        self.run_job(worker, attempt, leased);
    }

    /// Returns whether a worker may start an attempt that carries a lease.
    fn may_start(&mut self, worker: usize, attempt: AttemptRef) -> bool {
        let job = self.workers[worker].history.entry(attempt.id).or_default();
        attempt.token > job.fenced_token && job.started_token.is_none()
    }

    /// Records that a job starts. Returns the violation of an invariant, if it is one.
    fn record_start(&mut self, attempt: AttemptRef, class: usize) -> Option<String> {
        let AttemptRef { id, token, .. } = attempt;
        let truth = self.truth.entry(id).or_default();
        truth.starts += 1;
        let sent = truth.sends.get(&token).copied().unwrap_or(self.now);
        truth.first_executed_send = Some(
            truth
                .first_executed_send
                .map_or(sent, |first| first.min(sent)),
        );
        if class == 0 && truth.starts > 1 {
            return Some(format!("{id}: a transfer ran twice"));
        }
        if truth.withdrawn {
            return Some(format!("{id}: ran after its withdrawal was confirmed"));
        }
        if class == 0 && truth.reported_never_run {
            return Some(format!(
                "{id}: a transfer ran after its clients were told that it never ran"
            ));
        }
        None
    }

    /// Schedules the heartbeats and the end of a job that starts.
    fn run_job(&mut self, worker: usize, attempt: AttemptRef, leased: bool) {
        let duration = match self.rng.u32(0..10) {
            0 if !self.faults_stopped => self.rng.u64(S..8 * S),
            _ => self.rng.u64(5 * MS..150 * MS),
        };
        let mut at = HEARTBEAT_INTERVAL;
        while at < duration {
            let event = ConnectionEvent::Progress;
            self.schedule(at, Event::Connection { attempt, event });
            at += HEARTBEAT_INTERVAL;
        }
        let process = self.workers[worker].process;
        self.schedule(
            duration,
            Event::JobEnds {
                worker,
                process,
                attempt,
                leased,
            },
        );
    }

    /// Ends a job at a worker, usually with a result.
    pub(super) fn on_job_end(
        &mut self,
        worker: usize,
        process: u64,
        attempt: AttemptRef,
        leased: bool,
    ) {
        if self.workers[worker].process != process {
            return;
        }
        let yields_result = self.rng.u32(0..30) > 0;
        let result = result_of(attempt.id);
        if leased {
            let job = self.workers[worker].history.entry(attempt.id).or_default();
            job.running = false;
            job.result = yields_result.then(|| result.clone());
        }
        if !yields_result {
            return self.reply(attempt, ConnectionEvent::ended(Ending::Error));
        }
        self.reply(attempt, ConnectionEvent::End(AttemptEnd::Result(result)));
    }

    /// Reports an event on an attempt's connection to the state machine, unless the connection is closed or the
    /// message is lost.
    pub(super) fn on_connection_event(&mut self, attempt: AttemptRef, event: ConnectionEvent) {
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
        // Only messages can be lost. The scheduler itself observes that an attempt ends without a result.
        let ends_without_result = matches!(event, ConnectionEvent::End(AttemptEnd::NoResult(_)));
        let is_lost = connection_state.drops_messages && !ends_without_result;
        if !is_current || !connection_state.open || is_lost {
            return;
        }
        let now = self.now.wrapping_add_signed(scheduler.clock_offset);
        let jobs = &mut scheduler.jobs;
        let facade = &mut scheduler.facade;
        match event {
            ConnectionEvent::Started => jobs.on_heartbeat(now, id, token, true, facade),
            ConnectionEvent::Progress => jobs.on_heartbeat(now, id, token, false, facade),
            ConnectionEvent::End(end) => {
                connection_state.open = false;
                scheduler.connections.remove(&(id, token));
                jobs.on_ended(now, id, token, end, None, facade);
            }
        }
    }

    /// Handles a fence at a worker. A worker process that has restarted or is down does not reply.
    pub(super) fn on_fence(&mut self, fence: FenceRef, worker: usize, worker_process: u64) {
        let worker = &mut self.workers[worker];
        let mut reply = None;
        if worker.process == worker_process && worker.is_up {
            let job = worker.history.entry(fence.id).or_default();
            let status = match job.started_token.filter(|token| *token <= fence.token) {
                Some(_) if job.running => FenceStatus::Running,
                Some(_) => job
                    .result
                    .clone()
                    .map_or(FenceStatus::Failed, FenceStatus::Done),
                None => {
                    job.fenced_token = job.fenced_token.max(fence.token);
                    FenceStatus::Never
                }
            };
            let since_ms = worker.history_since / MS;
            reply = Some(FenceReply { status, since_ms });
        }
        let wait = self.network_delay();
        self.schedule(wait, Event::FenceReplyArrives { fence, reply });
    }

    /// Restarts a worker, which breaks its connections.
    pub(super) fn restart_worker(&mut self, worker: usize) {
        self.coverage.count("worker restarted");
        let state = &mut self.workers[worker];
        state.process += 1;
        state.started_at = self.now;
        if self.setup.workers_keep_history {
            for job in state.history.values_mut() {
                job.running = false;
            }
        } else {
            state.history.clear();
            state.history_since = self.now;
        }
        for attempt in self.attempts_of_earlier_process(worker) {
            if !self.connections[attempt.connection as usize].drops_messages {
                let wait = self.network_delay();
                let event = ConnectionEvent::ended(Ending::Dropped);
                self.schedule(wait, Event::Connection { attempt, event });
            }
        }
        let wait = self.network_delay();
        self.schedule(wait, Event::ListArrives);
    }

    /// Returns the attempts whose connections broke when a worker restarted.
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

/// Returns the result of a job, which is the same at every worker.
pub(super) fn result_of(id: JobId) -> Vec<u8> {
    format!("made {id}").into_bytes()
}
