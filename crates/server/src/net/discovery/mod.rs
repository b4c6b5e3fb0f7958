//! The discovery client: fetches the endpoint list of workers and watches it for changes.
//!
//! Each update goes to the worker table, the facade, durable jobs and the peers in one step, so that they always agree.
//! A malformed list is rejected as a whole. The facade decides when a watch is opened and `watch` how long its calls
//! may take; up to three connections to discovery are open while a watch is overdue.

mod confirmation;
mod error;
mod state;
mod watch;

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{header::HOST, Request, StatusCode};
use tokio::time::{sleep_until, timeout, Instant};
use tracing::{info, warn};

use super::collect_body::collect_body;
use super::workers::Connection;
use super::{durable, peers, Net};
use crate::list::{Answer, EndpointList, Instance, UpdateKind};
use confirmation::{Change, Evidence};
use error::CallError;
use oakshed_core::facade::{Condition, Entry, ListKind, Micros, Observation};
pub(crate) use state::DiscoveryState;
use watch::{Failure, Watch};

const ENDPOINTS_PATH: &str = "/v1/endpoints";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The size limit of a response body. 4 KiB for each of 1,024 workers leaves room for indentation, the longest names
/// and fields of later versions. The limit on files that hold such a list is the same.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Loads the cached endpoint list at start.
///
/// Its workers are entered as leaving, so that nothing is sent to them until discovery confirms the list: a worker that
/// left while no process was running here counts as notified. A list inherited from a predecessor that acts on it is used
/// at once: the two processes are one scheduler, and have been notified of the same.
pub(crate) fn load_cached_list(net: &Rc<Net>, inherited: bool) {
    if inherited {
        net.discovery.confirmation.borrow_mut().confirm();
        return apply_cached_list(net);
    }
    let Some(cached) = &net.config.cached_list else {
        return;
    };
    let entries = enter_as_leaving(net, cached, ListKind::Cached);
    durable::on_list(net, &entries, ListKind::Cached);
    let number = cached.generation;
    info!(
        number,
        "endpoint list {number}: {} entries cached, to be confirmed",
        entries.len()
    );
}

/// Enters the workers of a list as leaving, so that nothing is sent to them, and returns their entries.
fn enter_as_leaving(net: &Net, list: &Answer, kind: ListKind) -> Vec<Entry> {
    let leaving = |instance: &Instance| Entry {
        condition: Condition::Leaving,
        ..instance.entry(&net.config.names)
    };
    let entries: Vec<Entry> = list.instances.iter().map(leaving).collect();
    let addresses = list.instances.iter().map(|i| i.host_port);
    net.workers
        .update(UpdateKind::Snapshot, entries.iter().zip(addresses));
    net.report_list(kind, &entries);
    entries
}

/// Sends nothing more, and rejects requests, until discovery answers.
fn suspend_list(net: &Net) {
    let in_use = net.discovery.endpoint_list.borrow().snapshot();
    let list = in_use.or_else(|| net.config.cached_list.clone());
    let list = list.unwrap_or_else(|| EndpointList::default().to_answer());
    enter_as_leaving(net, &list, ListKind::Unconfirmed);
    warn!("discovery has not confirmed the endpoint list; rejecting requests until it does");
}

/// Carries out what follows from the state of the confirmation.
fn carry_out(net: &Rc<Net>, change: Change) {
    match change {
        Change::None => {}
        Change::UseCached => apply_cached_list(net),
        Change::Suspend => suspend_list(net),
    }
}

/// Serves from the cached list, where there is one.
fn apply_cached_list(net: &Rc<Net>) {
    if let Some(cached) = &net.config.cached_list {
        apply(net, cached, ListKind::Cached);
    }
}

/// Applies a list, or the changes of one, in every place that depends on it.
fn apply(net: &Rc<Net>, answer: &Answer, kind: ListKind) {
    let entries: Vec<Entry> = answer
        .instances
        .iter()
        .map(|i| i.entry(&net.config.names))
        .collect();
    let addresses = answer.instances.iter().map(|i| i.host_port);
    let update = match kind {
        ListKind::Delta => UpdateKind::Delta,
        _ => UpdateKind::Snapshot,
    };
    net.workers.update(update, entries.iter().zip(addresses));
    net.discovery
        .endpoint_list
        .borrow_mut()
        .apply(answer, update);
    net.report_list(kind, &entries);
    durable::on_list(net, &entries, kind);
    if kind != ListKind::Cached {
        peers::publish_list(net);
    }
    if !entries.is_empty() {
        let number = answer.generation;
        let ready = net.workers.ready_count();
        let source = list_source(kind);
        info!(
            number,
            ready,
            source,
            "endpoint list {number} ({source}): {} entries, {ready} workers ready",
            entries.len()
        );
    }
}

/// The `source` field of the log line for a list.
fn list_source(kind: ListKind) -> &'static str {
    match kind {
        ListKind::Snapshot => "snapshot",
        ListKind::Delta => "delta",
        ListKind::Cached => "cached",
        ListKind::Unconfirmed | ListKind::Failed | ListKind::Overloaded => "none",
    }
}

/// Watches the endpoint list for as long as the process runs, and follows discovery to a new address.
pub(crate) async fn run(net: Rc<Net>) {
    let settings = &net.config.settings;
    // With a pushed list the facade never requests the first poll, so the first call is made at once and asks for
    // the whole list.
    let pushed = !settings.list_on_request;
    let mut generation = net
        .config
        .cached_list
        .as_ref()
        .filter(|_| !pushed)
        .map(|cached| cached.generation);
    let mut at_once = pushed;
    let mut address_updates = net.discovery.address.subscribe();
    loop {
        let address = *address_updates.borrow_and_update();
        let seed = net.config.seed ^ net.clock.now();
        let discovery = DiscoveryClient {
            net: &net,
            address,
            failing: Cell::new(false),
        };
        // A watch on the old address ends at once, even during a call: that service may stop at any moment, and its
        // updates are stale.
        tokio::select! {
            _ = address_updates.changed() => {
                net.discovery.confirmation.borrow_mut().on_move(Instant::now());
            }
            () = Watch::new(&discovery, settings, seed).run(&mut generation, at_once) => {}
            () = limit_unconfirmed_use(&net) => {}
        }
        // The service at the new address may number its lists differently, so the whole list is requested, and at
        // once.
        generation = None;
        at_once = true;
    }
}

/// Ends what is allowed without a confirmation of the list, once its time is up. Does not return.
async fn limit_unconfirmed_use(net: &Rc<Net>) {
    let due_at = net.discovery.confirmation.borrow().due_at();
    if let Some(at) = due_at {
        sleep_until(at).await;
        let change = net
            .discovery
            .confirmation
            .borrow_mut()
            .on_timer(Instant::now());
        carry_out(net, change);
    }
    pending::<()>().await;
}

/// A client of discovery at one address.
struct DiscoveryClient<'a> {
    net: &'a Rc<Net>,
    address: SocketAddr,
    /// The last call has failed.
    failing: Cell<bool>,
}

impl watch::Discovery for DiscoveryClient<'_> {
    type Connection = Connection;

    async fn call(
        &self,
        connection: Option<Connection>,
        from: Option<u64>,
        hold: Duration,
    ) -> Result<(Answer, Connection), CallError> {
        self.net.counters.discovery.calls.increment();
        let mut connection = match connection.filter(|connection| !connection.is_dead()) {
            Some(connection) => connection,
            None => timeout(CONNECT_TIMEOUT, Connection::dial(self.address))
                .await
                .map_err(|_| CallError::ConnectTimeout)?
                .map_err(CallError::Connect)?,
        };
        // From the moment an update arrives it counts as notified, so the write guard of attempts checks this socket
        // for unread updates until the call ends. The caller applies the answer without yielding after that.
        let _watch = self.net.workers.track_watch(&connection);
        let path = match from {
            Some(from) => format!("{ENDPOINTS_PATH}?from={from}&hold_ms={}", hold.as_millis()),
            None => ENDPOINTS_PATH.to_owned(),
        };
        let request = Request::get(path)
            .header(HOST, self.address.to_string())
            .body(Full::<Bytes>::default())?;
        connection.sender.ready().await?;
        let response = connection.sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        let limit = MAX_LIST_BYTES.min(self.net.memory.list_limit());
        let body = collect_body(response.into_body(), limit).await?;
        let mut answer = Answer::parse(&body).map_err(|e| {
            self.net.counters.discovery.malformed_lists.increment();
            CallError::MalformedList(e)
        })?;
        answer.reset |= from.is_none();
        Ok((answer, connection))
    }

    async fn poll_requested(&self) {
        self.net.discovery.poll_requested.notified().await;
    }

    fn poll_jitter(&self) -> Micros {
        self.net.facade.borrow().poll_jitter()
    }

    fn has_list(&self) -> bool {
        self.net.config.cached_list.is_some() || self.net.facade.borrow().members().listed > 0
    }

    fn on_answer(&self, answer: &Answer) {
        self.failing.set(false);
        let is_first = self.net.discovery.confirmation.borrow_mut().confirm();
        if is_first && !answer.reset {
            // A delta confirms the other entries of the cached list. Both are applied as one list: in two steps,
            // requests could be sent to workers that the delta removes.
            let mut list = EndpointList::default();
            if let Some(cached) = &self.net.config.cached_list {
                list.apply(cached, UpdateKind::Snapshot);
            }
            list.apply(answer, UpdateKind::Delta);
            return apply(self.net, &list.to_answer(), ListKind::Snapshot);
        }
        let kind = if answer.reset {
            ListKind::Snapshot
        } else {
            ListKind::Delta
        };
        apply(self.net, answer, kind);
    }

    fn on_overdue(&self) {
        self.net.counters.discovery.unresponsive_watches.increment();
        self.count_failure(Evidence::Inconclusive);
    }

    fn on_failure(&self, failure: &Failure) {
        self.count_failure(failure.evidence());
        self.net.counters.discovery.failures.increment();
        // Logs the first of consecutive failures only: with a pushed list, discovery that is down is called many
        // times a second.
        if !self.failing.replace(true) {
            let error = &failure.error;
            warn!(%error, "discovery call failed: {error}");
        }
        let kind = if failure.is_overload() {
            ListKind::Overloaded
        } else {
            ListKind::Failed
        };
        self.net.report(Observation::List(kind, &[]));
    }
}

impl DiscoveryClient<'_> {
    /// Processes a failed or overdue call, after which the cached list may have to be used.
    fn count_failure(&self, evidence: Evidence) {
        let change = self
            .net
            .discovery
            .confirmation
            .borrow_mut()
            .on_failure(evidence, Instant::now());
        carry_out(self.net, change);
    }
}
