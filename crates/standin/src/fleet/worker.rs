//! A worker for many schedulers: slots, a first-come queue, a warm-up after its start, and leases.
//!
//! It records its connections and jobs. Whether a leased job may start is decided by the ledger; a job without a
//! lease runs each time that it comes, so that a second run shows.

mod execution;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Either};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::{watch, Semaphore, SemaphorePermit};

use super::{answer, bind, now_us, Body};
use crate::ledger::Ledger;
use execution::Execution;

/// The size and behaviour of a worker.
#[derive(Clone, Debug)]
pub struct FleetWorkerOptions {
    /// Jobs that run at once.
    pub slots: usize,
    /// Jobs that may wait for one; further ones are declined.
    pub queue: usize,
    /// How long a job runs on a warm worker.
    pub service: Duration,
    /// The part of its speed with which it starts.
    pub cold_share: f64,
    /// How long it takes to be warm.
    pub ramp: Duration,
    /// The ledger's file, if any; only jobs with a lease are in it.
    pub ledger: Option<PathBuf>,
    /// By how much the jobs of a class run longer, by its name.
    pub factors: Vec<(String, f64)>,
    /// Whether it reports when a job starts, and its progress.
    pub reports_start: bool,
    /// How it reports its load.
    pub reports: Reports,
}

/// How a worker reports its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// Not at all; probes get 404.
    None,
    /// With each result.
    Answers,
    /// In answers to probes.
    Probes,
}

impl Default for FleetWorkerOptions {
    fn default() -> Self {
        FleetWorkerOptions {
            slots: 4,
            queue: 64,
            service: Duration::from_millis(20),
            cold_share: 1.0,
            ramp: Duration::ZERO,
            ledger: None,
            factors: Vec::new(),
            reports_start: true,
            reports: Reports::None,
        }
    }
}

/// A job that came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When its head was read.
    pub at: u64,
    /// Its `Req-Id`.
    pub request: String,
    /// Its lease's id.
    pub lease: Option<String>,
    /// How long its scheduler waits for it, by `Req-Deadline-Ms`, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether it ran; else it was declined, or cancelled while it waited.
    pub ran: bool,
}

/// Between two progress lines of a running job.
const PROGRESS: Duration = Duration::from_millis(250);

struct Shared {
    options: FleetWorkerOptions,
    slots: Semaphore,
    waiting: Cell<usize>,
    ledger: RefCell<Ledger>,
    started: Cell<u64>,
    arrivals: RefCell<Vec<Arrival>>,
    opened: RefCell<Vec<u64>>,
    /// It takes jobs, and neither runs nor answers them.
    hangs: watch::Sender<bool>,
    /// The number of restarts.
    incarnation: watch::Sender<u64>,
}

/// The worker.
#[derive(Clone)]
pub struct FleetWorker {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Rc<Shared>,
}

impl FleetWorker {
    /// Listens on a port of that address, and serves from then on; warm as if it had long been running.
    ///
    /// # Errors
    /// Fails when the address cannot be bound or the ledger's file cannot be opened.
    pub async fn start(at: IpAddr, options: FleetWorkerOptions) -> std::io::Result<FleetWorker> {
        let ledger = RefCell::new(Ledger::open(options.ledger.as_deref())?);
        let (listener, address) = bind(at).await?;
        let shared = Rc::new(Shared {
            slots: Semaphore::new(options.slots),
            options,
            waiting: Cell::new(0),
            ledger,
            started: Cell::new(0),
            arrivals: RefCell::default(),
            opened: RefCell::default(),
            hangs: watch::Sender::new(false),
            incarnation: watch::Sender::new(0),
        });
        let worker = FleetWorker {
            address,
            shared: shared.clone(),
        };
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                _ = stream.set_nodelay(true);
                shared.opened.borrow_mut().push(now_us());
                let shared = shared.clone();
                let mut incarnation = shared.incarnation.subscribe();
                tokio::task::spawn_local(async move {
                    let service = service_fn(|request| {
                        let shared = shared.clone();
                        async move { Ok::<_, Infallible>(serve(shared, request).await) }
                    });
                    let mut http = hyper::server::conn::http1::Builder::new();
                    let serve = http
                        .timer(TokioTimer::new())
                        .serve_connection(TokioIo::new(stream), service);
                    tokio::select! { _ = serve => {} _ = incarnation.changed() => {} }
                });
            }
        });
        Ok(worker)
    }

    /// Restarts: connections break, what ran is lost, and it is cold. Returns when, in Unix time milliseconds.
    #[must_use]
    pub fn restart(&self) -> u64 {
        self.shared.started.set(now_us());
        self.shared
            .incarnation
            .send_modify(|incarnation| *incarnation += 1);
        self.shared.started.get() / 1_000
    }

    /// Sets whether it accepts jobs and answers nothing; where not, it goes on with what it has accepted.
    pub fn hang(&self, hangs: bool) {
        self.shared.hangs.send_replace(hangs);
    }

    /// When it started, in Unix time milliseconds; 0: long ago.
    #[must_use]
    pub fn started_ms(&self) -> u64 {
        self.shared.started.get() / 1_000
    }

    /// Since when its memory is complete, in Unix time milliseconds.
    #[must_use]
    pub fn since_ms(&self) -> u64 {
        self.shared.ledger.borrow().since_ms()
    }

    /// The jobs that came, in order.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.borrow().clone()
    }

    /// When connections were opened, in order.
    #[must_use]
    pub fn opened(&self) -> Vec<u64> {
        self.shared.opened.borrow().clone()
    }
}

impl Shared {
    /// How long a job runs that starts now.
    fn service(&self, class: &str) -> Duration {
        let cold = self.options.cold_share;
        let ramp = self.options.ramp.as_secs_f64();
        let age = now_us().saturating_sub(self.started.get()) as f64 / 1e6;
        let speed = if ramp > 0.0 {
            (cold + (1.0 - cold) * age / ramp).clamp(0.01, 1.0)
        } else {
            1.0
        };
        let factor = self
            .options
            .factors
            .iter()
            .find(|(name, _)| name == class)
            .map_or(1.0, |(_, factor)| *factor);
        self.options.service.mul_f64(factor / speed)
    }

    /// Records a job that came, and returns its index.
    fn record_arrival(&self, at: u64, fields: &JobFields) -> usize {
        let mut arrivals = self.arrivals.borrow_mut();
        arrivals.push(Arrival {
            at,
            request: fields.request.clone(),
            lease: fields.lease.clone(),
            deadline_ms: fields.deadline_ms,
            ran: false,
        });
        arrivals.len() - 1
    }

    /// Waits for a slot.
    async fn acquire_slot(&self) -> Option<SemaphorePermit<'_>> {
        self.waiting.set(self.waiting.get() + 1);
        let _waiting = Waiting(&self.waiting);
        self.slots.acquire().await.ok()
    }

    fn free(&self) -> usize {
        self.slots.available_permits()
    }

    fn running(&self) -> usize {
        self.options.slots.saturating_sub(self.free())
    }

    /// The answer to a probe.
    fn load_report(&self) -> String {
        let queue = self.waiting.get();
        format!(
            "TEXT inflight={}, queue={queue}, x0={}",
            self.running() + queue,
            self.free()
        )
    }
}

/// The head fields of a job.
struct JobFields {
    /// Its `Req-Id`.
    request: String,
    lease: Option<String>,
    token: Option<u64>,
    deadline_ms: Option<u64>,
}

fn field(head: &Parts, name: &str) -> Option<String> {
    let value = head.headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

impl JobFields {
    /// The fields of a job; nothing where the request is none.
    fn read(head: &Parts) -> Option<JobFields> {
        if head.method != Method::POST {
            return None;
        }
        let token = field(head, "lease-token").and_then(|token| token.parse().ok());
        Some(JobFields {
            request: field(head, "req-id")?,
            lease: field(head, "lease-id").filter(|_| token.is_some()),
            token,
            deadline_ms: field(head, "req-deadline-ms").and_then(|ms| ms.parse().ok()),
        })
    }
}

fn declined() -> Response<Body> {
    let mut response = answer(503, "");
    response
        .headers_mut()
        .insert("srv-declined", HeaderValue::from_static("1"));
    response
}

async fn serve(shared: Rc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    if let Some(rest) = path.strip_prefix("/leases/") {
        let token = field(&head, "lease-token").and_then(|token| token.parse().ok());
        let Ok(body) = body.collect().await else {
            return answer(400, "");
        };
        return lease(&shared, rest, token, &body.to_bytes());
    }
    let is_probe = matches!(path, "/health" | "/status/load");
    if is_probe && shared.options.reports == Reports::Probes {
        return answer(200, shared.load_report());
    }
    let Some(fields) = JobFields::read(&head) else {
        return answer(404, "");
    };
    let at = now_us();
    if body.collect().await.is_err() {
        return answer(400, "");
    }
    let class = path.split('/').nth(1).unwrap_or("").to_owned();
    run_job(shared, at, class, fields).await
}

/// Runs a job that came at a time, once there is a slot for it, or declines it.
async fn run_job(shared: Rc<Shared>, at: u64, class: String, fields: JobFields) -> Response<Body> {
    // Recorded as it comes: who cancels it while it waits has sent it all the same.
    let index = shared.record_arrival(at, &fields);
    _ = shared.hangs.subscribe().wait_for(|hangs| !hangs).await;
    if shared.free() == 0 && shared.waiting.get() >= shared.options.queue {
        return declined();
    }
    let Some(slot) = shared.acquire_slot().await else {
        return declined();
    };
    let id = fields.lease.unwrap_or_else(|| fields.request.clone());
    let may_start = match fields.token {
        Some(token) => shared
            .ledger
            .borrow_mut()
            .start(&id, token)
            .unwrap_or(false),
        None => true,
    };
    shared.arrivals.borrow_mut()[index].ran = may_start;
    if !may_start {
        return declined();
    }
    slot.forget();
    let execution = Execution {
        worker: shared.clone(),
        class,
        request: fields.request,
        id,
        is_leased: fields.token.is_some(),
    };
    Response::new(Either::Right(execution.start()))
}

/// One that waits for a slot; counted down also where the caller disconnects.
struct Waiting<'a>(&'a Cell<usize>);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn lease(shared: &Shared, rest: &str, token: Option<u64>, body: &[u8]) -> Response<Body> {
    let mut ledger = shared.ledger.borrow_mut();
    if rest == "safe" {
        ledger.all_safe(&String::from_utf8_lossy(body));
        return answer(200, "");
    }
    let (Some((id, "fence")), Some(token)) = (rest.split_once('/'), token) else {
        return answer(404, "");
    };
    match ledger.fence_answer(id, token) {
        Ok(body) => answer(200, body),
        Err(_) => answer(500, ""),
    }
}
