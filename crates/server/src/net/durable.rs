//! Durable jobs on the network: the shell around `oakshed_jobs`.
//!
//! It owns the clients that wait for a job, the attempts under way, the store's thread, and the form of
//! what clients and workers say of jobs and leases (docs/leases.md). It must never decide anything, nor
//! carry out what the machine has not let out.

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use oakshed_core::facade::{Ending, Entry, Job, ListKind, Micros, Report};
use oakshed_core::interface::Effect as Kind;
use oakshed_jobs::disk::{self, Disk};
use oakshed_jobs::group::{Group, Told};
use oakshed_jobs::log::{encode_all, Log};
use oakshed_jobs::machine::{Counts, Effect, End, Jobs, Limits, Names, Submitted, Word};
use oakshed_jobs::record::{self, Answer, JobId, Key, Outcome};
use rustc_hash::FxHashMap;
use serde::Deserialize;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::Sleep;
use tracing::{error, info, warn};

use super::backends::{self, Fetch, Order, Whose, LEASE_ID, LEASE_MS, LEASE_TOKEN};
use super::front::{not_allowed, plain, synthetic, IDEMPOTENCY_KEY, REQ_OWNER};
use super::Net;
use crate::config::Config;

/// How long after its deadline a client waits for the answer to become durable.
const LAST_SYNC: Micros = 1_000_000;
/// The longest that a look at a job is held.
const LONGEST_WAIT: u64 = 60;
/// Workers that are asked at once; further ones are asked later.
const FENCES: usize = 64;
/// How long a worker may take to answer a fence.
const FENCE_LIMIT: Duration = Duration::from_millis(1_000);
/// Between two looks at what operators want settled, at the room, and at results that are safe.
const CHORES: Duration = Duration::from_millis(500);
/// Safe results told to a worker at once, and kept for that; beyond, it drops them by age.
const SAFE_AT_ONCE: usize = 1_000;
const SAFE_KEPT: usize = 10_000;

static PREFER: HeaderName = HeaderName::from_static("prefer");
static PREFERENCE_APPLIED: HeaderName = HeaderName::from_static("preference-applied");

/// What is told to those who wait for a job.
#[derive(Clone)]
enum News {
    Accepted,
    Answer(Answer),
}

/// The durable jobs, and all that is under way for them.
pub(crate) struct Durable {
    jobs: RefCell<Jobs>,
    group: Group,
    dir: std::path::PathBuf,
    leases: bool,
    lease_ms: u64,
    max_payload: usize,
    waiting: RefCell<FxHashMap<JobId, Vec<oneshot::Sender<News>>>>,
    fetches: RefCell<FxHashMap<(JobId, u64), Fetch>>,
    safe: RefCell<SafeAt>,
    fencing: Cell<usize>,
    synced: Cell<u64>,
    changed: Notify,
    failure: RefCell<Option<String>>,
    syncs: Cell<(u64, u64, Duration)>,
    full: Cell<bool>,
}

/// Results that are safe, by the worker that may drop them.
type SafeAt = FxHashMap<Rc<str>, Vec<(JobId, u64)>>;
type Inbox = Option<mpsc::UnboundedReceiver<Told>>;

/// Opens the store, where the operators have switched durable jobs on.
pub(super) fn open(config: &Config, now: Micros) -> io::Result<(Option<Durable>, Inbox)> {
    let Some(file) = &config.operator.jobs else { return Ok((None, None)) };
    let wrong = |e: &dyn std::fmt::Display| io::Error::other(format!("jobs.dir {}: {e}", file.dir.display()));
    let start = std::time::Instant::now();
    let disk = Disk::lock(&file.dir).map_err(|e| wrong(&e))?;
    let (log, recovered) = Log::open(disk, file.segment_mb << 20).map_err(|e| wrong(&e))?;
    if let Some((name, offset)) = &recovered.cut {
        warn!(file = name, offset, "store: {name} ended in a torn write at offset {offset}, which was cut");
    }
    // No answer may be forgotten while a keyed job could still be sent again.
    let window = config.settings.classes.iter().map(|c| c.window).max().unwrap_or(0);
    let limits = Limits {
        leases: file.leases,
        lease: file.lease_ms * 1_000,
        keep: (file.keep_answers_s * 1_000_000).max(window),
        open: file.max_open,
        kept: file.max_kept,
        bytes: file.max_kept_mb << 20,
    };
    let names = Names { classes: config.names.classes.clone(), tenants: config.names.tenants.clone() };
    let (records, next) = (recovered.records.len(), log.next());
    let jobs = Jobs::restore(limits, names, recovered.records, next, now, disk::boot());
    let (opened, doubt, kept, _) = jobs.sizes();
    let ms = start.elapsed().as_millis() as u64;
    info!(
        records,
        opened,
        doubt,
        kept,
        ms,
        "store: {records} records read in {ms} ms; {kept} jobs, {opened} of them open, {doubt} in doubt"
    );
    let (tx, rx) = mpsc::unbounded_channel();
    let group = Group::start(log, move |told| _ = tx.send(told))?;
    let durable = Durable {
        jobs: RefCell::new(jobs),
        group,
        dir: file.dir.clone(),
        leases: file.leases,
        lease_ms: file.lease_ms,
        max_payload: file.max_payload_kb << 10,
        waiting: RefCell::default(),
        fetches: RefCell::default(),
        safe: RefCell::default(),
        fencing: Cell::new(0),
        synced: Cell::new(next - 1),
        changed: Notify::new(),
        failure: RefCell::default(),
        syncs: Cell::default(),
        full: Cell::new(false),
    };
    Ok((Some(durable), Some(rx)))
}

impl Durable {
    /// Why the store has failed, where it has.
    pub(super) fn failure(&self) -> Option<String> {
        self.failure.borrow().clone()
    }

    pub(super) fn summary(&self) -> String {
        let jobs = self.jobs.borrow();
        let Counts { taken, again, conflicts, busy, fences, doubts, settled, broken } = jobs.counts();
        let (open, doubt, kept, bytes) = jobs.sizes();
        let (syncs, records, time) = self.syncs.get();
        let mean = time.as_micros() as u64 / syncs.max(1);
        format!(
            " Jobs {{ taken: {taken}, again: {again}, conflicts: {conflicts}, busy: {busy}, fences: {fences}, \
             doubts: {doubts}, settled: {settled}, broken: {broken}, open: {open}, in_doubt: {doubt}, \
             kept: {kept}, bytes: {bytes}, syncs: {syncs}, synced_records: {records}, mean_sync_us: {mean} }}"
        )
    }

    /// Carries out what the machine wants, and hands its records to the store.
    fn settle(&self, net: &Rc<Net>) {
        loop {
            let effect = self.jobs.borrow_mut().effect();
            let Some(effect) = effect else { break };
            self.carry_out(net, effect);
        }
        let (first, records) = self.jobs.borrow_mut().records();
        if records.is_empty() || self.failure.borrow().is_some() {
            return;
        }
        let (frames, lengths) = encode_all(first, self.synced.get(), &records);
        self.group.append(frames, lengths, first + records.len() as u64 - 1);
    }

    fn tell(&self, id: JobId, news: &News) {
        let waiting = self.waiting.borrow_mut().remove(&id);
        waiting.into_iter().flatten().for_each(|to| _ = to.send(news.clone()));
    }

    fn carry_out(&self, net: &Rc<Net>, effect: Effect) {
        match effect {
            Effect::Accepted(id) => self.tell(id, &News::Accepted),
            Effect::Answer(id, answer) => self.tell(id, &News::Answer(answer)),
            Effect::Trim(low) => self.group.trim(low),
            Effect::Stop { id, token } => {
                let fetch = self.fetches.borrow_mut().remove(&(id, token));
                fetch.iter().for_each(Fetch::stop);
            }
            Effect::Fetch { id, token, worker, until, order } => {
                let order = Rc::new(self.order(id, token, until, &order));
                let fetch = backends::start(net, &order, Whose::Job(id, token), worker, until);
                self.fetches.borrow_mut().insert((id, token), fetch);
            }
            Effect::Fence { id, token, worker, sure } => {
                let net = net.clone();
                let room = self.fencing.get() < FENCES;
                self.fencing.set(self.fencing.get() + usize::from(room));
                tokio::task::spawn_local(async move {
                    let asked = async {
                        if room {
                            fence(&net, &worker, id, token).await
                        } else {
                            None
                        }
                    };
                    let word = tokio::time::timeout(FENCE_LIMIT, asked).await.ok().flatten();
                    let Some(durable) = &net.durable else { return };
                    durable.fencing.set(durable.fencing.get() - usize::from(room));
                    let now = net.clock.now();
                    let facade = &mut net.facade.borrow_mut();
                    durable.jobs.borrow_mut().on_fenced(now, id, token, word, sure, facade);
                    durable.changed.notify_one();
                });
            }
            Effect::Safe { id, token, worker } => {
                let mut safe = self.safe.borrow_mut();
                let list = safe.entry(worker).or_default();
                if list.len() < SAFE_KEPT {
                    list.push((id, token));
                }
            }
        }
    }

    /// What goes to a worker: the client's order, and the lease where the worker knows what that is.
    fn order(&self, id: JobId, token: u64, until: Micros, order: &record::Order) -> Order {
        let mut headers = HeaderMap::with_capacity(order.fields.len() + 3);
        for (name, value) in &order.fields {
            // Both were read from a request once, and are as good as then.
            if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_bytes(value)) {
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
        let target =
            order.target.parse().unwrap_or_else(|_| hyper::http::uri::PathAndQuery::from_static("/"));
        let req_id = HeaderName::from_static("req-id");
        let id = headers.get(&req_id).cloned().unwrap_or_else(|| HeaderValue::from_static("-"));
        let body = Bytes::copy_from_slice(&order.body);
        Order { method: Method::POST, target, headers, id, body, deadline: until, _held: None }
    }

    fn wait_for(&self, id: JobId) -> oneshot::Receiver<News> {
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        let list = waiting.entry(id).or_default();
        // Those that have gone away since.
        list.retain(|to| !to.is_closed());
        list.push(tx);
        rx
    }
}

/// Keeps the machine going: the store's word, time, and what others have woken it for.
pub(super) async fn run(net: Rc<Net>, told: Inbox) {
    let (Some(durable), Some(mut told)) = (&net.durable, told) else { return };
    tokio::task::spawn_local(chores(net.clone()));
    let mut sleep: Pin<Box<Sleep>> = Box::pin(tokio::time::sleep(Duration::ZERO));
    loop {
        let mut changed = std::pin::pin!(durable.changed.notified());
        poll_fn(|cx| {
            let mut news = changed.as_mut().poll(cx).is_ready();
            while let Poll::Ready(Some(word)) = told.poll_recv(cx) {
                hear(&net, durable, word);
                news = true;
            }
            let now = net.clock.now();
            let next = durable.jobs.borrow_mut().tick(now, &mut net.facade.borrow_mut(), cx.waker());
            durable.settle(&net);
            if news {
                return Poll::Ready(());
            }
            let Some(next) = next else { return Poll::Pending };
            sleep.as_mut().reset(net.clock.instant(next));
            sleep.as_mut().poll(cx)
        })
        .await;
    }
}

fn hear(net: &Rc<Net>, durable: &Durable, told: Told) {
    let now = net.clock.now();
    let (mut jobs, mut facade) = (durable.jobs.borrow_mut(), net.facade.borrow_mut());
    match told {
        Told::Synced { number, took, records } => {
            durable.synced.set(number);
            let (n, all, time) = durable.syncs.get();
            durable.syncs.set((n + 1, all + records as u64, time + took));
            jobs.on_synced(now, number, &mut facade);
        }
        Told::Room(room) => {
            if durable.full.replace(!room) == room {
                match room {
                    true => info!("store: there is room again; new jobs are taken"),
                    false => {
                        warn!("store: the disk has no room for a further file; no new jobs until it has")
                    }
                }
            }
            jobs.set_full(!room);
        }
        Told::Failed(why) => {
            error!("store: {why}; nothing more is written, new jobs get 503; look at the disk, then restart");
            *durable.failure.borrow_mut() = Some(why);
            jobs.on_failed(now);
        }
    }
}

/// What is looked after now and then.
async fn chores(net: Rc<Net>) {
    let Some(durable) = &net.durable else { return };
    loop {
        tokio::time::sleep(CHORES).await;
        if durable.full.get() {
            durable.group.look_for_room();
        }
        for (path, id, outcome) in disk::settlements(&durable.dir) {
            // The file goes only once the word is on disk: at the next look, when nothing is left to settle.
            if durable.jobs.borrow_mut().settle(net.clock.now(), id, outcome) {
                info!("store: an operator says of {id}: {outcome:?}");
            } else if durable.jobs.borrow().is_durable(id) || durable.jobs.borrow().view(id).is_none() {
                _ = std::fs::remove_file(path);
            }
        }
        let safe = std::mem::take(&mut *durable.safe.borrow_mut());
        for (worker, list) in safe {
            let net = net.clone();
            tokio::task::spawn_local(async move {
                for part in list.chunks(SAFE_AT_ONCE) {
                    let text: String = part.iter().map(|(id, token)| format!("{id} {token}\n")).collect();
                    let told = backends::consult(&net, &worker, "/leases/safe", 0, text.into());
                    _ = tokio::time::timeout(FENCE_LIMIT, told).await;
                }
            });
        }
        durable.changed.notify_one();
    }
}

// ---- What is seen ----

/// A job of an attempt started, or goes on.
pub(super) fn alive(net: &Net, id: JobId, token: u64, started: bool) {
    let Some(durable) = &net.durable else { return };
    let now = net.clock.now();
    durable.jobs.borrow_mut().on_alive(now, id, token, started, &mut net.facade.borrow_mut());
    durable.changed.notify_one();
}

/// An attempt has ended.
pub(super) fn ended(
    net: &Rc<Net>,
    id: JobId,
    token: u64,
    ending: Ending,
    result: Option<Bytes>,
    load: Option<Report>,
) {
    let Some(durable) = &net.durable else { return };
    // Its task goes on with what is left of the connection: it is forgotten, not stopped.
    durable.fetches.borrow_mut().remove(&(id, token));
    let end = result.map_or(End::Other(ending), |result| End::Result(result.to_vec()));
    let now = net.clock.now();
    durable.jobs.borrow_mut().on_ended(now, id, token, end, load, &mut net.facade.borrow_mut());
    durable.settle(net);
}

/// News of the list.
pub(super) fn list(net: &Rc<Net>, entries: &[Entry], kind: ListKind) {
    let Some(durable) = &net.durable else { return };
    let fresh = matches!(kind, ListKind::All | ListKind::Changes);
    let starts = entries.iter().map(|e| (&e.backend, e.online_since / 1_000));
    let now = net.clock.now();
    durable.jobs.borrow_mut().on_list(now, starts, fresh, &mut net.facade.borrow_mut());
    durable.settle(net);
}

/// What a worker says to a fence.
#[derive(Deserialize)]
struct FenceForm<'a> {
    id: Cow<'a, str>,
    state: Cow<'a, str>,
    since_ms: u64,
    result: Option<String>,
}

async fn fence(net: &Net, worker: &str, id: JobId, token: u64) -> Option<(Word, u64)> {
    let path = format!("/leases/{id}/fence");
    let body = backends::consult(net, worker, &path, token, Bytes::new()).await?;
    let form: FenceForm = serde_json::from_slice(&body).ok()?;
    if form.id != id.to_string() {
        return None;
    }
    let word = match (&*form.state, form.result) {
        ("never", _) => Word::Never,
        ("running", _) => Word::Running,
        ("done", Some(result)) => Word::Done(result.into_bytes()),
        ("failed", _) => Word::Failed,
        _ => return None,
    };
    Some((word, form.since_ms))
}

// ---- Clients ----

/// What a client's fields say of its job, beside what every req's do.
pub(super) struct Asked {
    detached: bool,
    wait: Option<u64>,
    owner: Vec<u8>,
    key: Option<Vec<u8>>,
}

impl Asked {
    pub(super) fn read(fields: &HeaderMap) -> Asked {
        let bytes = |name: &HeaderName| fields.get(name).map(|v| v.as_bytes().to_vec());
        let mut asked = Asked {
            detached: false,
            wait: None,
            owner: bytes(&REQ_OWNER).unwrap_or_default(),
            key: bytes(&IDEMPOTENCY_KEY),
        };
        let all = fields.get_all(&PREFER).iter().filter_map(|v| v.to_str().ok());
        for preference in all.flat_map(|v| v.split(',')).map(str::trim) {
            let (name, value) = preference.split_once('=').unwrap_or((preference, ""));
            match name.trim().to_ascii_lowercase().as_str() {
                "respond-async" => asked.detached = true,
                "wait" => asked.wait = value.trim().parse().ok(),
                _ => {}
            }
        }
        asked
    }
}

fn answer(net: &Net, answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(result) => Response::new(Full::new(result.into())),
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
        Answer::Refused(wait) => synthetic(wait.filter(|_| net.config.settings.retry_after)),
        Answer::Cancelled => plain(StatusCode::GONE, "withdrawn\n"),
    }
}

/// A client's order.
pub(super) async fn handle(net: &Rc<Net>, job: &Job, order: Order, asked: &Asked) -> Response<Full<Bytes>> {
    let Some(durable) = &net.durable else { return plain(StatusCode::NOT_FOUND, "no durable jobs\n") };
    if order.body.len() > durable.max_payload {
        return plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large for a durable job\n");
    }
    let key = asked.key.as_deref().map_or(Key::ReqId(order.id.as_bytes()), Key::Idempotency);
    let id = JobId::of(&asked.owner, key);
    let names = &net.config.names;
    let (class, tenant) = (job.class as usize, job.tenant.map(|t| t as usize));
    let wanted = record::Order {
        class: names.classes[class].clone(),
        owner: tenant.map(|t| names.tenants[t].clone()),
        target: order.target.as_str().to_owned(),
        fields: order.headers.iter().map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec())).collect(),
        body: order.body.to_vec(),
        slots: job.slots,
        memory: job.memory,
        key: job.key,
    };
    let now = net.clock.now();
    let until = order.deadline;
    let left = until.saturating_sub(now);
    let submitted = {
        let facade = &mut net.facade.borrow_mut();
        durable.jobs.borrow_mut().submit(now, id, wanted, left, asked.detached, facade)
    };
    match submitted {
        Submitted::Over(over) => return answer(net, over),
        Submitted::Conflict => {
            net.count(|c| &mut c.bad_reqs);
            return plain(StatusCode::UNPROCESSABLE_ENTITY, "this key belongs to another payload\n");
        }
        Submitted::Busy => {
            let s = &net.config.settings;
            let mut busy = synthetic(s.retry_after.then_some(s.max_retry_after / 2));
            if !busy.headers().contains_key(RETRY_AFTER) {
                busy.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
            }
            return busy;
        }
        Submitted::Open => {}
    }
    if asked.detached && durable.jobs.borrow().is_durable(id) {
        return accepted(id);
    }
    durable.settle(net);
    let limit = net.clock.instant(net.bounded(now, until.saturating_add(LAST_SYNC)));
    loop {
        let news = durable.wait_for(id);
        match tokio::time::timeout_at(limit, news).await {
            Ok(Ok(News::Answer(over))) => return answer(net, over),
            Ok(Ok(News::Accepted)) if asked.detached => return accepted(id),
            Ok(_) => {}
            // The store has failed, or the program ends: the job's answer is still to come, from a later
            // life. Nothing is promised here.
            Err(_) => {
                let mut open = plain(StatusCode::GATEWAY_TIMEOUT, "undecided; ask again with the same key\n");
                locate(&mut open, id);
                return open;
            }
        }
    }
}

fn locate(response: &mut Response<Full<Bytes>>, id: JobId) {
    if let Ok(at) = HeaderValue::try_from(format!("/jobs/{id}")) {
        response.headers_mut().insert(LOCATION, at);
    }
}

fn accepted(id: JobId) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::ACCEPTED, "accepted\n");
    locate(&mut response, id);
    response.headers_mut().insert(&PREFERENCE_APPLIED, HeaderValue::from_static("respond-async"));
    response
}

/// `/jobs/ID`: a look at a job, or its withdrawal.
pub(super) async fn job(net: &Rc<Net>, head: &Parts) -> Response<Full<Bytes>> {
    let unknown = || plain(StatusCode::NOT_FOUND, "no such job\n");
    let Some(durable) = &net.durable else { return unknown() };
    let Some(id) = head.uri.path().strip_prefix("/jobs/").and_then(|t| t.parse::<JobId>().ok()) else {
        return unknown();
    };
    let now = net.clock.now();
    match head.method {
        Method::GET | Method::HEAD => {
            let wait = Asked::read(&head.headers).wait.unwrap_or(0).min(LONGEST_WAIT);
            let limit = net.clock.instant(net.bounded(now, now + wait * 1_000_000));
            loop {
                let view = durable.jobs.borrow().view(id);
                let Some(view) = view else { return unknown() };
                if view.answer.is_some() || tokio::time::Instant::now() >= limit {
                    return show(net, id, &view);
                }
                _ = tokio::time::timeout_at(limit, durable.wait_for(id)).await;
            }
        }
        Method::DELETE => {
            let withdrawn = durable.jobs.borrow_mut().cancel(now, id, &mut net.facade.borrow_mut());
            durable.settle(net);
            match withdrawn {
                None => unknown(),
                Some(false) => plain(StatusCode::CONFLICT, "it was sent, or is over\n"),
                Some(true) => plain(StatusCode::OK, "withdrawn\n"),
            }
        }
        _ => not_allowed("GET, HEAD, DELETE"),
    }
}

fn show(net: &Net, id: JobId, view: &oakshed_jobs::machine::View) -> Response<Full<Bytes>> {
    let (state, result) = match &view.answer {
        None => ("open", None),
        Some(Answer::Served(result)) => ("served", Some(String::from_utf8_lossy(result).into_owned())),
        Some(Answer::Failed) => ("failed", None),
        Some(Answer::Refused(_)) => ("refused", None),
        Some(Answer::Cancelled) => ("withdrawn", None),
    };
    let outcome = view.outcome.map(|o| if o == Outcome::Ran { "ran" } else { "never" });
    let doubt: Vec<_> =
        view.doubt.iter().map(|l| serde_json::json!({"worker": l.worker, "token": l.token})).collect();
    let text = serde_json::json!({
        "id": id.to_string(), "state": state, "attempts": view.attempts, "result": result,
        "in_doubt": doubt, "outcome": outcome,
    });
    let mut response = Response::new(Full::new(Bytes::from(text.to_string() + "\n")));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(Answer::Refused(Some(wait))) =
        view.answer.as_ref().filter(|_| net.config.settings.retry_after)
    {
        if let Ok(value) = HeaderValue::try_from(format!("{:.3}", *wait as f64 / 1e6)) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Whether any class may be sent again at all where leases are unknown: told once at the start.
pub(super) fn advice(config: &Config) -> Option<&'static str> {
    let jobs = config.operator.jobs.as_ref()?;
    let strict = config.settings.classes.iter().any(|c| c.effect == Kind::Unsafe);
    (strict && !jobs.leases).then_some(
        "workers speak no leases: a job that must not run twice is in doubt when its connection breaks",
    )
}
