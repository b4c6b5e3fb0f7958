//! The counters of what went wrong, and the line that reports them.
//!
//! It owns the counters, by the part that counts, the form in which they are printed, and when they are logged. It
//! must never log more often than once in a period, or log a line that says nothing new.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tracing::info;

use super::durable::DurableJobs;
use super::Net;
use oakshed_core::facade::{InFlightCounts, Tally};

/// Between two checks whether there is something new to log.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// A count that only rises.
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

/// What went wrong on the network, or should have been impossible.
#[derive(Default)]
pub(crate) struct Counters {
    pub clients: ClientCounters,
    pub workers: WorkerCounters,
    pub discovery: DiscoveryCounters,
    invariant_violations: Counter,
}

/// What is counted of clients and their connections.
#[derive(Default)]
pub(crate) struct ClientCounters {
    /// Requests that were malformed, or whose id was in use.
    pub bad_requests: Counter,
    /// Errors of accept(2).
    pub accept_errors: Counter,
    /// Idle connections that were evicted.
    pub evicted: Counter,
    /// Connections that were closed with a request begun too long ago.
    pub overdue_requests: Counter,
    /// Requests that were rejected as the memory for bodies was reserved.
    pub out_of_memory: Counter,
}

/// What is counted of workers and the connections to them.
#[derive(Default)]
pub(crate) struct WorkerCounters {
    /// Connections that were opened.
    pub dials: Counter,
    /// Attempts on idle connections.
    pub reused: Counter,
    /// Idle connections that were found closed.
    pub dead_idle: Counter,
    /// Attempts whose connection failed before its answer.
    pub resets: Counter,
    /// The same on a connection that had been idle.
    pub idle_resets: Counter,
    /// Answers that ended without a final line.
    pub early_ends: Counter,
    /// Jobs that a worker said to have lost.
    pub lost_jobs: Counter,
    /// Lines of a worker's stream that could not be read.
    pub malformed_lines: Counter,
    /// Lines with another request's id.
    pub wrong_id_lines: Counter,
    /// Attempts without a free descriptor.
    pub no_socket: Counter,
    /// Connections that failed for a fault of this machine.
    pub local_faults: Counter,
    /// Attempts that the write guard stopped.
    pub drained_before_send: Counter,
}

/// What is counted of discovery.
#[derive(Default)]
pub(crate) struct DiscoveryCounters {
    /// Calls.
    pub calls: Counter,
    /// Calls that failed.
    pub failures: Counter,
    /// Watches that were given up as unresponsive.
    pub unresponsive_watches: Counter,
    /// Endpoint lists that could not be read.
    pub malformed_lists: Counter,
}

impl Counters {
    /// An invariant that does not hold is a panic in debug builds, and counted in release builds.
    pub(crate) fn check_invariant(&self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        if !holds {
            self.invariant_violations.increment();
        }
    }
}

/// All counters with the names that operators know, in their order.
impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counters {
            clients,
            workers,
            discovery,
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
            .finish()
    }
}

/// The counters of all parts and what is open, in one line.
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
            body_bytes: net.open_requests.bytes(),
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

/// Logs the summary whenever it has changed, once a period at most.
pub(super) async fn log_counters(net: Rc<Net>) {
    let mut last = String::new();
    loop {
        tokio::time::sleep(LOG_PERIOD).await;
        let now = Summary::of(&net).to_string();
        if now != last {
            info!("counts: {now}");
            last = now;
        }
    }
}
