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
use oakshed_core::facade::{Job, Settings};
use oakshed_jobs::machine::{Cancellation, JobStatus, Provisional, Submitted};
use oakshed_jobs::record::{Answer, JobId, JobPayload, Key, Outcome};
use oakshed_wire::Names;
use tokio::time::{timeout_at, Instant};

use super::super::answers::{not_allowed, plain_text, rejection, IDEMPOTENCY_KEY, REQ_OWNER};
use super::super::forwarded_request::ForwardedRequest;
use super::super::Net;
use super::wait::{within, WaitLimits};
use super::DurableJobs;

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
    durable.process_output(net);
    let limits = WaitLimits::new(net, now, forwarded.deadline);
    respond_to_submission(net, durable, id, options.detached, limits, submitted).await
}

/// Returns the response to a submission, once the record behind it is durable.
async fn respond_to_submission(
    net: &Net,
    durable: &DurableJobs,
    id: JobId,
    detached: bool,
    limits: WaitLimits,
    submitted: Submitted,
) -> Response<Full<Bytes>> {
    let settings = &net.config.settings;
    match submitted {
        Submitted::Open(accepted) if detached => {
            let respond = |()| accepted_response(id);
            confirmed_response(net, durable, id, limits, accepted, respond).await
        }
        Submitted::Open(_) | Submitted::Ending => await_answer(net, durable, id, limits).await,
        Submitted::Finished(answer) => answer_response(settings, answer),
        Submitted::Conflict(conflict) => {
            net.counters.clients.bad_requests.increment();
            let respond = |()| conflict_response();
            confirmed_response(net, durable, id, limits, conflict, respond).await
        }
        Submitted::Busy => busy_response(settings),
    }
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

/// Returns the response to a submission whose key belongs to a job with a different payload.
fn conflict_response() -> Response<Full<Bytes>> {
    plain_text(
        StatusCode::UNPROCESSABLE_ENTITY,
        "this key belongs to another payload\n",
    )
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

/// Waits for the record behind a reply, and returns the response with it.
async fn confirmed_response<T>(
    net: &Net,
    durable: &DurableJobs,
    id: JobId,
    limits: WaitLimits,
    provisional: Provisional<T>,
    respond: impl FnOnce(T) -> Response<Full<Bytes>>,
) -> Response<Full<Bytes>> {
    let reply = within(net, durable, limits, durable.confirmed(provisional)).await;
    reply.map_or_else(|| undecided_response(id), respond)
}

/// Waits for a job's answer, and returns the response with it.
async fn await_answer(
    net: &Net,
    durable: &DurableJobs,
    id: JobId,
    limits: WaitLimits,
) -> Response<Full<Bytes>> {
    match within(net, durable, limits, durable.answer_receiver(id)).await {
        Some(Ok(answer)) => answer_response(&net.config.settings, answer),
        // The answer is not durable in time, as the disk fails or the process ends. It is available later, perhaps only
        // from the next process, so the response says nothing about the outcome.
        Some(Err(_)) | None => undecided_response(id),
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
        Method::DELETE => cancel(net, durable, id).await,
        _ => not_allowed("GET, HEAD, DELETE"),
    }
}

fn not_found() -> Response<Full<Bytes>> {
    plain_text(StatusCode::NOT_FOUND, "no such job\n")
}

/// Returns a job's status once the job is finished, `wait` seconds have passed, or the process closes its connections.
async fn await_status(
    net: &Net,
    durable: &DurableJobs,
    id: JobId,
    wait: u64,
) -> Response<Full<Bytes>> {
    let now = net.clock.now();
    let end = net.clock.instant(now + wait * 1_000_000);
    let mut closing = net.shutdown.closing.subscribe();
    loop {
        let Some(status) = durable.jobs.borrow().status(id) else {
            return not_found();
        };
        let confirmed = durable.jobs.borrow().confirm(status);
        let status = match confirmed {
            Ok(status) => status,
            Err(unconfirmed) => {
                let limits = WaitLimits::for_sync(net);
                let sync = durable.confirmed(unconfirmed);
                if within(net, durable, limits, sync).await.is_none() {
                    return undecided_response(id);
                }
                continue; // the status may have changed meanwhile
            }
        };
        if status.answer.is_some() || Instant::now() >= end || net.shutdown.is_closing() {
            return status_response(&net.config.settings, id, &status);
        }
        tokio::select! {
            biased;
            _ = timeout_at(end, durable.answer_receiver(id)) => {}
            _ = closing.wait_for(|closing| *closing) => {}
        }
    }
}

/// Cancels a job that has not been sent to a worker yet.
async fn cancel(net: &Rc<Net>, durable: &DurableJobs, id: JobId) -> Response<Full<Bytes>> {
    let cancellation = {
        let facade = &mut net.facade.borrow_mut();
        let mut jobs = durable.jobs.borrow_mut();
        jobs.cancel(net.clock.now(), id, facade)
    };
    durable.process_output(net);
    let limits = WaitLimits::for_sync(net);
    confirmed_response(
        net,
        durable,
        id,
        limits,
        cancellation,
        cancellation_response,
    )
    .await
}

fn cancellation_response(cancellation: Cancellation) -> Response<Full<Bytes>> {
    match cancellation {
        Cancellation::Cancelled => plain_text(StatusCode::OK, "withdrawn\n"),
        Cancellation::TooLate => plain_text(StatusCode::CONFLICT, "it was sent, or is over\n"),
        Cancellation::UnknownJob => not_found(),
    }
}

fn status_response(settings: &Settings, id: JobId, view: &JobStatus) -> Response<Full<Bytes>> {
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
