//! Connects the state machine of durable jobs in `oakshed_jobs` to the network and the disk.
//!
//! This file opens the store, appends the machine's records to it and performs the machine's effects. `run` drives the
//! machine, `observer` reports attempts and endpoint lists to it, `fence` asks workers about leases, and `clients`
//! serves the clients' requests, which wait in `wait`. All decisions are the machine's; an effect is performed only
//! after the machine has returned it. Nothing here depends on `front`.

mod clients;
mod error;
mod fence;
mod observer;
mod run;
mod summary;
mod wait;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::Method;
use oakshed_core::facade::Micros;
use oakshed_core::interface::Effect as ClassEffect;
use oakshed_jobs::disk::{self, Disk};
use oakshed_jobs::group_commit::{GroupCommit, StoreEvent};
use oakshed_jobs::log::{encode_all, Log, LogError, Recovered, TornTail};
use oakshed_jobs::machine::{Effect, Jobs, Limits, Names, Provisional};
use oakshed_jobs::record::{Answer, JobId, JobPayload};
use oakshed_jobs::startup::open_within;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::timeout;
use tracing::{info, warn};

use super::answers::{LEASE_ID, LEASE_MS, LEASE_TOKEN, REQ_ID};
use super::forwarded_request::ForwardedRequest;
use super::workers::{self, Attempt, AttemptDeadlines};
use super::Net;
use crate::config::Config;
use crate::operator::JobsConfig;
use fence::fence;
use observer::JobAttempt;

pub(super) use clients::{serve_job_path, submit_and_wait, JobOptions};
pub use error::StoreError;
pub(super) use observer::on_list;
pub(super) use run::run;

/// The most fence calls in progress; further ones are retried later.
const MAX_CONCURRENT_FENCES: usize = 64;
/// How long a worker may take to answer a call about leases.
const FENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long opening the store is retried after transient faults.
const OPEN_LIMIT: Duration = Duration::from_secs(3);
/// The most safe results that are collected for one worker. It is not notified of further ones and drops them by age.
const MAX_SAFE_RESULTS: usize = 10_000;

/// The durable jobs of this scheduler with their store, attempts and waiting clients.
pub(crate) struct DurableJobs {
    jobs: RefCell<Jobs>,
    group_commit: GroupCommit,
    dir: std::path::PathBuf,
    leases: bool,
    lease_ms: u64,
    max_payload: usize,
    /// The clients' requests that wait for the answer of each job.
    waiters: RefCell<FxHashMap<JobId, Vec<oneshot::Sender<Answer>>>>,
    /// The attempts in progress, by job and fencing token.
    attempts: RefCell<FxHashMap<(JobId, u64), Attempt>>,
    safe_results: RefCell<SafeResults>,
    fences_in_progress: Cell<usize>,
    /// The number of the last durable record. Its changes wake the requests whose replies wait for a record.
    last_synced: watch::Sender<u64>,
    /// Wakes [`run()`] after the state machine has changed.
    changed: Notify,
    /// Whether the disk fails, so that no records become durable for now.
    outage: Cell<bool>,
    /// The number of syncs, the records in them, and the time that they took.
    sync_totals: Cell<(u64, u64, Duration)>,
    /// Whether the disk has no space for another segment.
    disk_full: Cell<bool>,
}

/// Results that are durable here, by the worker that may drop its copies of them.
type SafeResults = FxHashMap<Rc<str>, Vec<(JobId, u64)>>;
/// The events of the store, if there is one.
type StoreEvents = Option<mpsc::UnboundedReceiver<StoreEvent>>;

/// Opens the store and restores the jobs in it, if durable jobs are enabled.
pub(super) fn open(
    config: &Config,
    now: Micros,
) -> Result<(Option<DurableJobs>, StoreEvents), StoreError> {
    let Some(settings) = &config.operator.jobs else {
        return Ok((None, None));
    };
    let start = Instant::now();
    let (log, recovered) = open_log(settings)?;
    let next = log.next_record();
    let records = recovered.records.len();
    let names = Names {
        classes: config.names.classes.clone(),
        tenants: config.names.tenants.clone(),
    };
    let jobs = Jobs::restore(
        limits(config, settings),
        names,
        recovered.records,
        next,
        now,
        disk::boot(),
    );
    log_restored(&jobs, records, start.elapsed());
    let (tx, rx) = mpsc::unbounded_channel();
    let group_commit = GroupCommit::start(log, move |event| _ = tx.send(event))?;
    let durable = DurableJobs {
        jobs: RefCell::new(jobs),
        group_commit,
        dir: settings.dir.clone(),
        leases: settings.leases,
        lease_ms: settings.lease_ms,
        max_payload: settings.max_payload_kb << 10,
        waiters: RefCell::default(),
        attempts: RefCell::default(),
        safe_results: RefCell::default(),
        fences_in_progress: Cell::new(0),
        last_synced: watch::Sender::new(next - 1),
        changed: Notify::new(),
        outage: Cell::new(false),
        sync_totals: Cell::default(),
        disk_full: Cell::new(false),
    };
    Ok((Some(durable), Some(rx)))
}

/// Opens the log in the configured directory. Transient faults are retried for up to [`OPEN_LIMIT`]; the first one is
/// logged.
fn open_log(settings: &JobsConfig) -> Result<(Log<Disk>, Recovered), StoreError> {
    let mut faults = 0;
    let note_fault = |fault: &LogError| {
        faults += 1;
        if faults == 1 {
            warn!(
                "store: {fault}; retrying for up to {} s",
                OPEN_LIMIT.as_secs()
            );
        }
    };
    let opened = open_within(
        OPEN_LIMIT,
        settings.segment_mb << 20,
        || Disk::lock(&settings.dir),
        note_fault,
    );
    let (log, recovered) = opened.map_err(|error| StoreError::Log {
        directory: settings.dir.clone(),
        error,
    })?;
    if let Some(TornTail { file: name, offset }) = &recovered.torn_tail {
        warn!(
            file = name,
            offset, "store: {name} ended in a torn write at offset {offset}, which was truncated"
        );
    }
    Ok((log, recovered))
}

/// Returns the limits of the state machine by the operators' settings.
fn limits(config: &Config, settings: &JobsConfig) -> Limits {
    // Answers are retained at least for the longest deduplication window, while a keyed job could still be sent again.
    let windows = config.settings.classes.iter().map(|class| class.window);
    let window = windows.max().unwrap_or_default().as_micros();
    Limits {
        leases: settings.leases,
        lease: settings.lease_ms * 1_000,
        retention: (settings.keep_answers_s * 1_000_000).max(window),
        max_open: settings.max_open,
        max_jobs: settings.max_kept,
        max_bytes: settings.max_kept_mb << 20,
    }
}

fn log_restored(jobs: &Jobs, records: usize, took: Duration) {
    let sizes = jobs.sizes();
    let open = sizes.open;
    let indeterminate = sizes.indeterminate;
    let retained = sizes.jobs;
    let ms = took.as_millis() as u64;
    info!(
        records,
        opened = open,
        doubt = indeterminate,
        kept = retained,
        ms,
        "store: {records} records read in {ms} ms; {retained} jobs, {open} of them open, {indeterminate} indeterminate"
    );
}

impl DurableJobs {
    /// Performs the pending effects of the state machine and appends its new records to the log.
    fn process_output(&self, net: &Rc<Net>) {
        loop {
            let effect = self.jobs.borrow_mut().effect();
            let Some(effect) = effect else { break };
            self.perform(net, effect);
        }
        let (first, records) = self.jobs.borrow_mut().records();
        if records.is_empty() {
            return;
        }
        let (frames, lengths) = encode_all(first, *self.last_synced.borrow(), &records);
        self.group_commit
            .append(frames, lengths, first + records.len() as u64 - 1);
    }

    /// Gives the answer of a job to the requests that wait for it.
    fn send_answer(&self, id: JobId, answer: &Answer) {
        let waiters = self.waiters.borrow_mut().remove(&id);
        for waiter in waiters.into_iter().flatten() {
            _ = waiter.send(answer.clone());
        }
    }

    fn perform(&self, net: &Rc<Net>, effect: Effect) {
        match effect {
            Effect::Answer(id, answer) => self.send_answer(id, &answer),
            Effect::Trim(low) => self.group_commit.trim(low),
            Effect::Stop { id, token } => {
                let attempt = self.attempts.borrow_mut().remove(&(id, token));
                if let Some(attempt) = attempt {
                    attempt.stop();
                }
            }
            Effect::Attempt {
                id,
                token,
                worker,
                until,
                write_deadline,
                payload,
            } => {
                let forwarded = Rc::new(self.forwarded_request(id, token, until, &payload));
                let observer = JobAttempt(id, token);
                let deadlines = AttemptDeadlines {
                    answer_deadline: until,
                    write_deadline,
                };
                let attempt =
                    workers::start_attempt(net, &forwarded, observer, None, worker, deadlines);
                self.attempts.borrow_mut().insert((id, token), attempt);
            }
            Effect::Fence {
                id,
                token,
                worker,
                confirmed,
            } => self.start_fence(net, id, token, worker, confirmed),
            Effect::NotifyResultStored { id, token, worker } => {
                self.record_safe_result(id, token, worker);
            }
        }
    }

    /// Fences a lease at a worker, on a task of its own. Beyond [`MAX_CONCURRENT_FENCES`], no call is made: the fence
    /// counts as unanswered, and the state machine retries it later. An answer may be another worker's unless the list
    /// names this one alone at its address, before the call and after it.
    fn start_fence(&self, net: &Rc<Net>, id: JobId, token: u64, worker: Rc<str>, confirmed: bool) {
        let has_capacity = self.fences_in_progress.get() < MAX_CONCURRENT_FENCES;
        let calls = usize::from(has_capacity);
        self.fences_in_progress
            .set(self.fences_in_progress.get() + calls);
        let net = net.clone();
        tokio::task::spawn_local(async move {
            let mut reply = None;
            let mut is_from_worker = false;
            if has_capacity {
                let address = net.workers.exclusive_address(&worker);
                let call = fence(&net, &worker, id, token);
                reply = timeout(FENCE_TIMEOUT, call).await.ok().flatten();
                is_from_worker =
                    address.is_some() && address == net.workers.exclusive_address(&worker);
            }
            let Some(durable) = &net.durable else { return };
            durable
                .fences_in_progress
                .set(durable.fences_in_progress.get() - calls);
            let confirmed = confirmed && is_from_worker && net.discovery.is_list_in_use();
            let facade = &mut net.facade.borrow_mut();
            let mut jobs = durable.jobs.borrow_mut();
            jobs.on_fence_reply(net.clock.now(), id, token, reply, confirmed, facade);
            durable.changed.notify_one();
        });
    }

    /// Adds a result to those that the next maintenance run reports to its worker as safe to drop.
    fn record_safe_result(&self, id: JobId, token: u64, worker: Rc<str>) {
        let mut safe_results = self.safe_results.borrow_mut();
        let results = safe_results.entry(worker).or_default();
        if results.len() < MAX_SAFE_RESULTS {
            results.push((id, token));
        }
    }

    /// Returns the request for an attempt: the recorded job, and the lease if workers support leases.
    fn forwarded_request(
        &self,
        id: JobId,
        token: u64,
        until: Micros,
        payload: &JobPayload,
    ) -> ForwardedRequest {
        let headers = self.forwarded_fields(id, token, payload);
        let target = payload
            .target
            .parse()
            .unwrap_or_else(|_| PathAndQuery::from_static("/"));
        let req_id = headers.get(&REQ_ID).cloned();
        ForwardedRequest {
            method: Method::POST,
            target,
            headers,
            id: req_id.unwrap_or_else(|| HeaderValue::from_static("-")),
            body: Bytes::copy_from_slice(&payload.body),
            deadline: until,
            reservation: None,
        }
    }

    fn forwarded_fields(&self, id: JobId, token: u64, payload: &JobPayload) -> HeaderMap {
        let mut headers = HeaderMap::with_capacity(payload.fields.len() + 3);
        for (name, value) in &payload.fields {
            let name = HeaderName::try_from(name);
            let value = HeaderValue::from_bytes(value);
            // Both were valid in the client's request, so nothing is skipped here.
            if let (Ok(name), Ok(value)) = (name, value) {
                headers.append(name, value);
            }
        }
        if self.leases {
            if let Ok(id) = HeaderValue::try_from(id.to_string()) {
                headers.insert(&LEASE_ID, id);
            }
            headers.insert(&LEASE_TOKEN, token.into());
            headers.insert(&LEASE_MS, self.lease_ms.into());
        }
        headers
    }

    /// Returns a receiver of the job's answer.
    fn answer_receiver(&self, id: JobId) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        let mut all_waiters = self.waiters.borrow_mut();
        let waiters = all_waiters.entry(id).or_default();
        // Removes waiters whose clients have disconnected.
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(sender);
        receiver
    }

    /// Waits until the record behind a reply is durable, and returns the reply.
    async fn confirmed<T>(&self, mut provisional: Provisional<T>) -> T {
        let mut syncs = self.last_synced.subscribe();
        loop {
            match self.jobs.borrow().confirm(provisional) {
                Ok(reply) => return reply,
                Err(unconfirmed) => provisional = unconfirmed,
            }
            // Cannot fail: the sender lives as long as `self`.
            _ = syncs.changed().await;
        }
    }
}

/// Returns a notice for the log if jobs of a class must not run twice and workers do not support leases: a broken
/// connection then leaves it unknown whether such a job ran.
pub(super) fn missing_lease_notice(config: &Config) -> Option<&'static str> {
    let jobs = config.operator.jobs.as_ref()?;
    let strict = config
        .settings
        .classes
        .iter()
        .any(|c| c.effect == ClassEffect::Unsafe);
    (strict && !jobs.leases).then_some(
        "workers do not support leases: a job that must not run twice becomes indeterminate if its connection breaks",
    )
}
