//! Counters of network events and faults, and the summary line that reports them.
//!
//! The summary is logged at most once per `LOG_PERIOD`, and only if it has changed. Operators' tools parse it, so its
//! field names are fixed independently of the names used in the code.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tracing::info;

use super::durable::DurableJobs;
use super::memory::Holder;
use super::request_error::RequestErrorCounters;
use super::Net;
use oakshed_core::facade::{InFlightCounts, Tally};

/// The interval at which the summary is checked for changes.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// A monotonically increasing count.
#[derive(Default)]
pub(crate) struct Counter(Cell<u64>);

impl Counter {
    pub(crate) fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.get()
    }
}

impl fmt::Debug for Counter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.get(), f)
    }
}

/// The counters of all parts of the network layer.
#[derive(Default)]
pub(crate) struct Counters {
    pub clients: ClientCounters,
    pub workers: WorkerCounters,
    pub discovery: DiscoveryCounters,
    pub request_errors: RequestErrorCounters,
    invariant_violations: Counter,
}

/// Counters of clients and their connections.
#[derive(Default)]
pub(crate) struct ClientCounters {
    /// Requests that were invalid or not accepted, including those with the id of an open request.
    pub bad_requests: Counter,
    /// Errors of accept(2).
    pub accept_errors: Counter,
    /// Idle connections that were evicted.
    pub evicted: Counter,
    /// Connections that were closed because a request took too long to arrive, or its response to be read.
    pub overdue_requests: Counter,
    /// Requests that were rejected because the memory for bodies was used up.
    pub out_of_memory: Counter,
    /// Connections that this process ended while a response was not written in full.
    pub unfinished_responses: Counter,
}

/// Counters of workers and the connections to them.
#[derive(Default)]
pub(crate) struct WorkerCounters {
    /// Connections that were attempted.
    pub dials: Counter,
    /// Attempts that reused an idle connection.
    pub reused: Counter,
    /// Idle connections that were found closed.
    pub dead_idle: Counter,
    /// Attempts whose connection failed before the response.
    pub resets: Counter,
    /// The same, on a connection that had been idle.
    pub idle_resets: Counter,
    /// Response streams that ended without a final line.
    pub early_ends: Counter,
    /// Jobs that a worker reported as lost.
    pub lost_jobs: Counter,
    /// Lines of a response stream that could not be parsed.
    pub malformed_lines: Counter,
    /// Lines of a response stream that have the id of another request.
    pub wrong_id_lines: Counter,
    /// Attempts that were given up because their answer exceeded the memory budget.
    pub no_memory: Counter,
    /// Attempts that failed because no file descriptor was free.
    pub no_socket: Counter,
    /// Connections that failed because of a fault of the local machine.
    pub local_faults: Counter,
    /// Attempts that the write guard stopped before the request was written in full.
    pub drained_before_send: Counter,
}

/// Counters of the calls to discovery.
#[derive(Default)]
pub(crate) struct DiscoveryCounters {
    pub calls: Counter,
    /// Calls that failed.
    pub failures: Counter,
    /// Calls whose response was overdue, so that another call was made beside them.
    pub unresponsive_watches: Counter,
    /// Endpoint lists that could not be parsed.
    pub malformed_lists: Counter,
}

impl Counters {
    /// Checks an invariant: a violation panics in debug builds, and is counted in release builds.
    pub(crate) fn check_invariant(&self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        if !holds {
            self.invariant_violations.increment();
        }
    }
}

/// All counters, under the names and in the order that operators' tools expect.
impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counters {
            clients,
            workers,
            discovery,
            request_errors: _,
            invariant_violations,
        } = self;
        f.debug_struct("Counters")
            .field("bad_requests", &clients.bad_requests)
            .field("dials", &workers.dials)
            .field("reused", &workers.reused)
            .field("dead_idle", &workers.dead_idle)
            .field("resets", &workers.resets)
            .field("idle_resets", &workers.idle_resets)
            .field("early_ends", &workers.early_ends)
            .field("lost_jobs", &workers.lost_jobs)
            .field("malformed_lines", &workers.malformed_lines)
            .field("wrong_id_lines", &workers.wrong_id_lines)
            .field("no_socket", &workers.no_socket)
            .field("local_faults", &workers.local_faults)
            .field("drained_before_send", &workers.drained_before_send)
            .field("broken", invariant_violations)
            .field("accept_errors", &clients.accept_errors)
            .field("discovery_calls", &discovery.calls)
            .field("discovery_failures", &discovery.failures)
            .field("silent_watches", &discovery.unresponsive_watches)
            .field("malformed_lists", &discovery.malformed_lists)
            .field("evicted_clients", &clients.evicted)
            .field("overdue_requests", &clients.overdue_requests)
            .field("no_room", &clients.out_of_memory)
            .field("unfinished_responses", &clients.unfinished_responses)
            .finish()
    }
}

/// A summary line of all counters, and of what is currently open.
pub(super) struct Summary<'a> {
    tally: Tally,
    counters: &'a Counters,
    in_flight: InFlightCounts,
    open_request_ids: usize,
    body_bytes: usize,
    worker_sockets: usize,
    jobs: Option<&'a DurableJobs>,
}

impl<'a> Summary<'a> {
    pub(super) fn of(net: &'a Net) -> Summary<'a> {
        let facade = net.facade.borrow();
        Summary {
            tally: facade.tally(),
            counters: &net.counters,
            in_flight: facade.in_flight_counts(),
            open_request_ids: net.open_requests.ids(),
            body_bytes: net.memory.charged_to(Holder::RequestBodies),
            worker_sockets: net.workers.sockets(),
            jobs: net.durable.as_ref(),
        }
    }
}

impl fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let in_flight = &self.in_flight;
        write!(f, "{} {} ", self.tally, self.counters)?;
        f.debug_struct("Open")
            .field("requests", &in_flight.requests)
            .field("held", &in_flight.queued)
            .field("attempts", &in_flight.attempts)
            .field("slots", &format_args!("{}", in_flight.slots))
            .field("ids", &self.open_request_ids)
            .field("body_bytes", &self.body_bytes)
            .field("backend_sockets", &self.worker_sockets)
            .field("backends", &in_flight.workers)
            .finish()?;
        match self.jobs {
            Some(durable) => write!(f, " {}", durable.summary()),
            None => Ok(()),
        }
    }
}

/// Logs the summary if it has changed, at most once per `LOG_PERIOD`.
pub(super) async fn log_counters(net: Rc<Net>) {
    let mut logged = String::new();
    loop {
        tokio::time::sleep(LOG_PERIOD).await;
        let summary = Summary::of(&net).to_string();
        if summary != logged {
            info!("counts: {summary}");
            info!("memory counts: {}", net.memory);
            info!("request error counts: {}", net.counters.request_errors);
            logged = summary;
        }
    }
}
