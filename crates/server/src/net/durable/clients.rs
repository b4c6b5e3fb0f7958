//! Serves client requests for durable jobs: submission, status queries and cancellation.
//!
//! A response never reports a job as accepted or answered before the records that prove this are on disk. What happens
//! to a job is decided by the state machine in `oakshed_jobs` and the scheduler.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use oakshed_core::facade::{Job, Micros, Settings};
use oakshed_jobs::machine::Submitted;
use oakshed_jobs::record::{Answer, JobId, JobPayload, Key, Outcome};
use oakshed_wire::Names;
use tokio::time::{timeout_at, Instant};

use super::super::answers::{not_allowed, plain_text, rejection, IDEMPOTENCY_KEY, REQ_OWNER};
use super::super::forwarded_request::ForwardedRequest;
use super::super::Net;
use super::{DurableJobs, JobUpdate};

/// How long after the deadline a response waits for the answer to become durable, in microseconds.
const SYNC_GRACE: Micros = 1_000_000;
/// The longest that a status query waits, in seconds.
const MAX_WAIT_S: u64 = 60;

static PREFER: HeaderName = HeaderName::from_static("prefer");
static PREFERENCE_APPLIED: HeaderName = HeaderName::from_static("preference-applied");

/// The options in the header fields of a client's request that apply only to durable jobs.
pub(in super::super) struct JobOptions {
    /// `Prefer: respond-async`: the client waits only until the job is accepted.
    detached: bool,
    /// `Prefer: wait=N`: how long a status query waits, in seconds.
    wait: Option<u64>,
    owner: Vec<u8>,
    key: Option<Vec<u8>>,
}

impl JobOptions {
    pub(in super::super) fn read(fields: &HeaderMap) -> JobOptions {
        let bytes = |name: &HeaderName| fields.get(name).map(|v| v.as_bytes().to_vec());
        let mut options = JobOptions {
            detached: false,
            wait: None,
            owner: bytes(&REQ_OWNER).unwrap_or_default(),
            key: bytes(&IDEMPOTENCY_KEY),
        };
        let prefer = fields
            .get_all(&PREFER)
            .iter()
            .filter_map(|v| v.to_str().ok());
        for preference in prefer.flat_map(|v| v.split(',')).map(str::trim) {
            let (name, value) = preference.split_once('=').unwrap_or((preference, ""));
            match name.trim().to_ascii_lowercase().as_str() {
                "respond-async" => options.detached = true,
                "wait" => options.wait = value.trim().parse().ok(),
                _ => {}
            }
        }
        options
    }
}

/// Returns the response to the submission of a finished job.
fn answer_response(settings: &Settings, answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(result) => Response::new(Full::new(result.into())),
        Answer::Failed => plain_text(StatusCode::BAD_GATEWAY, "failed\n"),
        Answer::Rejected(wait) => rejection(wait.filter(|_| settings.retry_after)),
        Answer::Cancelled => plain_text(StatusCode::GONE, "withdrawn\n"),
    }
}

/// Submits a client's job, and waits for its answer or, if it is detached, until it is accepted.
pub(in super::super) async fn submit_and_wait(
    net: &Rc<Net>,
    job: &Job,
    forwarded: ForwardedRequest,
    options: &JobOptions,
) -> Response<Full<Bytes>> {
    let Some(durable) = &net.durable else {
        return plain_text(StatusCode::NOT_FOUND, "no durable jobs\n");
    };
    if forwarded.body.len() > durable.max_payload {
        return plain_text(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body too large for a durable job\n",
        );
    }
    let key = options
        .key
        .as_deref()
        .map_or(Key::ReqId(forwarded.id.as_bytes()), Key::Idempotency);
    let id = JobId::of(&options.owner, key);
    let payload = job_payload(&net.config.names, job, &forwarded);
    let now = net.clock.now();
    let remaining = forwarded.deadline.saturating_sub(now);
    let submitted = {
        let facade = &mut net.facade.borrow_mut();
        let mut jobs = durable.jobs.borrow_mut();
        jobs.submit(now, id, payload, remaining, options.detached, facade)
    };
    if let Some(response) = immediate_response(net, submitted) {
        return response;
    }
    if options.detached && durable.jobs.borrow().is_durable(id) {
        return accepted_response(id);
    }
    durable.process_output(net);
    let limits = WaitLimits::new(net, now, forwarded.deadline);
    await_answer(net, durable, id, options.detached, limits).await
}

/// Returns the part of a client's job that is recorded.
fn job_payload(names: &Names, job: &Job, forwarded: &ForwardedRequest) -> JobPayload {
    let fields = forwarded
        .headers
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()));
    JobPayload {
        class: names.classes[job.class as usize].clone(),
        owner: job
            .tenant
            .map(|tenant| names.tenants[tenant as usize].clone()),
        target: forwarded.target.as_str().to_owned(),
        fields: fields.collect(),
        body: forwarded.body.to_vec(),
        slots: job.slots,
        memory: job.memory,
        key: job.key,
    }
}

/// Returns the response to a submission of a finished or rejected job, or `None` if the job is open.
fn immediate_response(net: &Net, submitted: Submitted) -> Option<Response<Full<Bytes>>> {
    let settings = &net.config.settings;
    match submitted {
        Submitted::Finished(answer) => Some(answer_response(settings, answer)),
        Submitted::Conflict => {
            net.counters.clients.bad_requests.increment();
            Some(plain_text(
                StatusCode::UNPROCESSABLE_ENTITY,
                "this key belongs to another payload\n",
            ))
        }
        Submitted::Busy => Some(busy_response(settings)),
        Submitted::Open => None,
    }
}

/// Returns the rejection while no further jobs are accepted. Unlike other rejections it always has a `Retry-After`.
fn busy_response(settings: &Settings) -> Response<Full<Bytes>> {
    let wait = (settings.max_retry_after / 2).as_micros();
    let mut response = rejection(settings.retry_after.then_some(wait));
    if !response.headers().contains_key(RETRY_AFTER) {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    response
}

/// How long the response to a submission waits.
struct WaitLimits {
    /// The deadline of the job.
    deadline: Instant,
    /// The end of the additional wait for an answer that is being written to disk.
    sync_deadline: Instant,
}

impl WaitLimits {
    fn new(net: &Net, arrived: Micros, deadline: Micros) -> WaitLimits {
        let instant = |at| net.clock.instant(net.shutdown.limit_deadline(arrived, at));
        WaitLimits {
            deadline: instant(deadline),
            sync_deadline: instant(deadline.saturating_add(SYNC_GRACE)),
        }
    }

    /// Shortens the limits to the time that a shutdown leaves this process.
    fn limit_to_shutdown(&mut self, net: &Net) {
        if let Some(last_answer) = net.shutdown.last_answer_at() {
            self.sync_deadline = self.sync_deadline.min(last_answer);
        }
        self.deadline = self.deadline.min(self.sync_deadline);
    }
}

/// Waits until the job has its answer, is accepted if it is detached, or the limits are over; returns the response.
async fn await_answer(
    net: &Net,
    durable: &DurableJobs,
    id: JobId,
    detached: bool,
    mut limits: WaitLimits,
) -> Response<Full<Bytes>> {
    let mut closing = net.shutdown.closing.subscribe();
    let mut shutting_down = false;
    loop {
        let update = durable.wait_for(id, detached);
        let outcome = tokio::select! {
            biased;
            outcome = timeout_at(limits.deadline, update) => outcome,
            _ = closing.wait_for(|closing| *closing), if !shutting_down => {
                shutting_down = true;
                limits.limit_to_shutdown(net);
                continue;
            }
        };
        match outcome {
            Ok(Ok(JobUpdate::Answer(answer))) => {
                return answer_response(&net.config.settings, answer)
            }
            Ok(Ok(JobUpdate::Accepted)) if detached => return accepted_response(id),
            Ok(_) => {}
            // The deadline is over, but the answer may be on its way to the disk.
            Err(_) if limits.deadline < limits.sync_deadline && !durable.outage.get() => {
                limits.deadline = limits.sync_deadline;
            }
            // The answer is not durable in time, as the disk fails or the process ends. It is available later, perhaps
            // only from the next process, so the response says nothing about the outcome.
            Err(_) => return undecided_response(id),
        }
    }
}

/// Returns the response to a submission whose job has no durable answer in time.
fn undecided_response(id: JobId) -> Response<Full<Bytes>> {
    let mut response = plain_text(
        StatusCode::GATEWAY_TIMEOUT,
        "undecided; ask again with the same key\n",
    );
    set_location(&mut response, id);
    response
}

/// Sets the `Location` field to the job's path.
fn set_location(response: &mut Response<Full<Bytes>>, id: JobId) {
    if let Ok(path) = HeaderValue::try_from(format!("/jobs/{id}")) {
        response.headers_mut().insert(LOCATION, path);
    }
}

/// Returns the response to a detached submission whose job is durable.
fn accepted_response(id: JobId) -> Response<Full<Bytes>> {
    let mut response = plain_text(StatusCode::ACCEPTED, "accepted\n");
    set_location(&mut response, id);
    response.headers_mut().insert(
        &PREFERENCE_APPLIED,
        HeaderValue::from_static("respond-async"),
    );
    response
}

/// Serves `/jobs/ID`: `GET` returns the status of a job, `DELETE` cancels it.
pub(in super::super) async fn serve_job_path(net: &Rc<Net>, head: &Parts) -> Response<Full<Bytes>> {
    let path = head.uri.path();
    let id = path
        .strip_prefix("/jobs/")
        .and_then(|id| id.parse::<JobId>().ok());
    let (Some(durable), Some(id)) = (&net.durable, id) else {
        return not_found();
    };
    match head.method {
        Method::GET | Method::HEAD => {
            let wait = JobOptions::read(&head.headers).wait.unwrap_or(0);
            await_status(net, durable, id, wait.min(MAX_WAIT_S)).await
        }
        Method::DELETE => cancel(net, durable, id),
        _ => not_allowed("GET, HEAD, DELETE"),
    }
}

fn not_found() -> Response<Full<Bytes>> {
    plain_text(StatusCode::NOT_FOUND, "no such job\n")
}

/// Returns a job's status once the job is finished or `wait` seconds have passed.
async fn await_status(
    net: &Net,
    durable: &DurableJobs,
    id: JobId,
    wait: u64,
) -> Response<Full<Bytes>> {
    let now = net.clock.now();
    let end = net.shutdown.limit_deadline(now, now + wait * 1_000_000);
    let limit = net.clock.instant(end);
    loop {
        let view = durable.jobs.borrow().status(id);
        let Some(view) = view else {
            return not_found();
        };
        if view.answer.is_some() || Instant::now() >= limit {
            return status_response(&net.config.settings, id, &view);
        }
        _ = timeout_at(limit, durable.wait_for(id, false)).await;
    }
}

/// Cancels a job that has not been sent to a worker yet.
fn cancel(net: &Rc<Net>, durable: &DurableJobs, id: JobId) -> Response<Full<Bytes>> {
    let cancelled = {
        let facade = &mut net.facade.borrow_mut();
        let mut jobs = durable.jobs.borrow_mut();
        jobs.cancel(net.clock.now(), id, facade)
    };
    durable.process_output(net);
    match cancelled {
        None => not_found(),
        Some(false) => plain_text(StatusCode::CONFLICT, "it was sent, or is over\n"),
        Some(true) => plain_text(StatusCode::OK, "withdrawn\n"),
    }
}

fn status_response(
    settings: &Settings,
    id: JobId,
    view: &oakshed_jobs::machine::JobStatus,
) -> Response<Full<Bytes>> {
    let (state, result) = match &view.answer {
        None => ("open", None),
        Some(Answer::Served(result)) => {
            ("served", Some(String::from_utf8_lossy(result).into_owned()))
        }
        Some(Answer::Failed) => ("failed", None),
        Some(Answer::Rejected(_)) => ("refused", None),
        Some(Answer::Cancelled) => ("withdrawn", None),
    };
    let outcome = view.outcome.map(|outcome| {
        if outcome == Outcome::Ran {
            "ran"
        } else {
            "never"
        }
    });
    let in_doubt: Vec<_> = view
        .indeterminate
        .iter()
        .map(|lease| serde_json::json!({"worker": lease.worker, "token": lease.token}))
        .collect();
    let text = serde_json::json!({
        "id": id.to_string(), "state": state, "attempts": view.attempts, "result": result,
        "in_doubt": in_doubt, "outcome": outcome,
    });
    let mut response = Response::new(Full::new(Bytes::from(text.to_string() + "\n")));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(Answer::Rejected(Some(wait))) =
        view.answer.as_ref().filter(|_| settings.retry_after)
    {
        if let Ok(value) = HeaderValue::try_from(format!("{:.3}", *wait as f64 / 1e6)) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
