//! Reads and validates a client request by the platform's client protocol.
//!
//! A valid request yields the attributes that the scheduler decides by and the request that is forwarded to a worker.
//! An invalid one is answered here with an error and never reaches a worker. The body is received in `body`.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Response, StatusCode};
use tokio::time::Instant;

use super::super::answers::{
    not_allowed, plain_text, rejection, IDEMPOTENCY_KEY, REQ_DEADLINE, REQ_EXTRA, REQ_ID, REQ_KIND,
    REQ_OWNER,
};
use super::super::forwarded_request::{ForwardedRequest, Reservation};
use super::super::request_error::RequestError;
use super::super::Net;
use super::body::receive_body;
use super::clients::Client;
use crate::config::Config;
use oakshed_core::facade::{Job, Micros, Settings};
use oakshed_core::interface::Effect;
use oakshed_core::names;
use oakshed_wire::Names;

/// The longest `Req-Id`, in bytes.
const MAX_ID_LENGTH: usize = 128;
/// Returns the class that the first path segment names.
pub(super) fn class_of(names: &Names, head: &Parts) -> Option<usize> {
    let class = head.uri.path().split('/').nth(1);
    names.classes.iter().position(|c| Some(c.as_str()) == class)
}

impl RequestError {
    /// Whether the connection has to close after the response because part of the body may be left unread.
    fn ends_connection(self) -> bool {
        matches!(
            self,
            RequestError::BodyTooLarge
                | RequestError::NoMemory
                | RequestError::BodyTimeout
                | RequestError::TooManyPieces
                | RequestError::UnreadableBody
        )
    }

    /// Returns the response, and marks the request as the connection's last where nothing can follow it.
    pub(super) fn answer(self, settings: &Settings, client: &Client) -> Response<Full<Bytes>> {
        if self.ends_connection() {
            client.state.close_after_response.set(true);
        }
        let bad_request = |text| plain_text(StatusCode::BAD_REQUEST, text);
        match self {
            RequestError::NoPath => bad_request("no path\n"),
            RequestError::UnknownClass => plain_text(StatusCode::NOT_FOUND, "no such class\n"),
            RequestError::UnknownPath => plain_text(StatusCode::NOT_FOUND, "no such path\n"),
            RequestError::NotPost => not_allowed("POST"),
            RequestError::WrongKind => bad_request("Req-Kind is not the path's class\n"),
            RequestError::InvalidId => bad_request("no usable Req-Id\n"),
            RequestError::NoIdempotencyKey => bad_request("no Idempotency-Key\n"),
            RequestError::InvalidDeadline => bad_request("Req-Deadline-Ms is not a whole number\n"),
            RequestError::BodyTooLarge => {
                plain_text(StatusCode::PAYLOAD_TOO_LARGE, "body too large\n")
            }
            RequestError::NoMemory | RequestError::TooManyIds | RequestError::Pipelined => {
                let wait = (settings.max_retry_after / 2).as_micros();
                rejection(settings.retry_after.then_some(wait))
            }
            RequestError::BodyTimeout => {
                plain_text(StatusCode::REQUEST_TIMEOUT, "the body never came\n")
            }
            RequestError::TooManyPieces => bad_request("body in too many pieces\n"),
            RequestError::UnreadableBody => bad_request("broken body\n"),
            RequestError::NoHost => bad_request("no Host\n"),
            RequestError::IdExecuted => plain_text(
                StatusCode::CONFLICT,
                "a req with this Req-Id may have run\n",
            ),
            RequestError::IdInUse => {
                plain_text(StatusCode::CONFLICT, "another open req has this Req-Id\n")
            }
        }
    }
}

/// A request that has arrived in full.
pub(super) struct ArrivedRequest {
    /// The scheduler's view of it.
    pub job: Job,
    /// What is forwarded to a worker.
    pub forwarded: ForwardedRequest,
    /// The memory reserved for its body.
    pub reservation: Reservation,
    /// Until when its client waits for the response. A client's time counts from the last byte of its request.
    pub client_deadline: Instant,
}

/// Reads a request up to its last byte.
pub(super) async fn read_request(
    net: &Rc<Net>,
    class: Option<usize>,
    arrived: Micros,
    head: Parts,
    body: Incoming,
) -> Result<ArrivedRequest, RequestError> {
    let target = head.uri.path_and_query().map(|target| target.as_str());
    let Some(Ok(target)) = target.map(PathAndQuery::try_from) else {
        return Err(RequestError::NoPath);
    };
    let (class, key) = parse_path(&target, class)?;
    if head.method != Method::POST {
        return Err(RequestError::NotPost);
    }
    let mut fields = head.headers;
    let id = validated_id(&net.config, class, &fields)?;
    let timeout = client_timeout(&net.config.settings, class, &fields)?;
    let deadline = arrived + timeout;
    let mut job = scheduler_job(&net.config.names, class, key, &fields);
    let (body, reservation) = receive_body(net, class, net.clock.instant(deadline), body).await?;
    let now = net.clock.now();
    job.remaining = deadline.saturating_sub(now);
    let headers = take_forwarded_fields(&mut fields);
    if !headers.contains_key(HOST) {
        return Err(RequestError::NoHost);
    }
    // A durable job outlives a shutdown, which limits only its client's wait. `now` is the time of arrival here: a
    // request has arrived only with its last byte.
    let deadline = if net.durable.is_some() {
        deadline
    } else {
        net.shutdown.limit_deadline(now, deadline)
    };
    let forwarded = ForwardedRequest {
        method: head.method,
        target,
        headers,
        id,
        body,
        deadline,
        reservation: None,
    };
    Ok(ArrivedRequest {
        job,
        forwarded,
        reservation,
        client_deadline: net.clock.instant(now + timeout),
    })
}

/// Parses a path of the form `/CLASS` or `/CLASS/KEY`; returns the class, and the hash of the key if there is one.
fn parse_path(
    target: &PathAndQuery,
    class: Option<usize>,
) -> Result<(usize, Option<u64>), RequestError> {
    let mut segments = target.path().split('/').skip(2);
    let Some(class) = class else {
        return Err(RequestError::UnknownClass);
    };
    let key = segments.next().filter(|key| !key.is_empty());
    if segments.next().is_some() {
        return Err(RequestError::UnknownPath);
    }
    Ok((class, key.map(names::hash_name)))
}

/// Validates `Req-Kind`, `Req-Id` and `Idempotency-Key`; returns the id.
fn validated_id(
    config: &Config,
    class: usize,
    fields: &HeaderMap,
) -> Result<HeaderValue, RequestError> {
    if fields
        .get(&REQ_KIND)
        .is_some_and(|kind| kind != config.names.classes[class].as_str())
    {
        return Err(RequestError::WrongKind);
    }
    let usable = |id: &HeaderValue| {
        (1..=MAX_ID_LENGTH).contains(&id.len()) && id.as_bytes().iter().all(u8::is_ascii_graphic)
    };
    let mut ids = fields.get_all(&REQ_ID).iter();
    let (Some(id), None) = (ids.next().filter(|id| usable(id)).cloned(), ids.next()) else {
        return Err(RequestError::InvalidId);
    };
    let keyed = config.settings.classes[class].effect == Effect::Keyed;
    if keyed && !fields.contains_key(&IDEMPOTENCY_KEY) {
        return Err(RequestError::NoIdempotencyKey);
    }
    Ok(own_copy(&id))
}

/// Copies a value, which is otherwise a slice of the connection's read buffer and keeps all of it allocated.
fn own_copy(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// Returns the value of a field if it is visible ASCII.
fn field_text<'a>(fields: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    fields.get(name).and_then(|value| value.to_str().ok())
}

/// Returns how long the client waits, in microseconds: its `Req-Deadline-Ms`, at most the deadline of the class.
fn client_timeout(
    settings: &Settings,
    class: usize,
    fields: &HeaderMap,
) -> Result<Micros, RequestError> {
    let longest = settings.classes[class].deadline.as_micros();
    match field_text(fields, &REQ_DEADLINE) {
        // Digits that overflow a u64 are still a whole number, and are limited by the deadline of the class anyway.
        Some(digits) if !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit()) => {
            let timeout = digits.parse::<u64>();
            Ok(timeout.map_or(longest, |ms| ms.saturating_mul(1_000).min(longest)))
        }
        None if !fields.contains_key(&REQ_DEADLINE) => Ok(longest),
        _ => Err(RequestError::InvalidDeadline),
    }
}

/// Returns the scheduler's view of a request, without the remaining time.
fn scheduler_job(names: &Names, class: usize, key: Option<u64>, fields: &HeaderMap) -> Job {
    let tenants = &names.tenants;
    let tenant = field_text(fields, &REQ_OWNER)
        .and_then(|owner| tenants.iter().position(|name| name == owner));
    let extra = |name: &str| {
        let mut pairs = field_text(fields, &REQ_EXTRA)?
            .split(',')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(n, _)| n.trim() == name)?
            .1
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|x| x.is_finite() && *x >= 0.0)
    };
    Job {
        class: class as u32,
        tenant: tenant.map(|tenant| tenant as u32),
        slots: extra("slots"),
        memory: extra("memory"),
        key,
        hint: None,
        remaining: 0,
    }
}

/// Takes out the fields that are forwarded to the worker unchanged, as copies of their own.
fn take_forwarded_fields(fields: &mut HeaderMap) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(8);
    for name in [
        HOST,
        CONTENT_TYPE,
        REQ_ID.clone(),
        IDEMPOTENCY_KEY.clone(),
        REQ_KIND.clone(),
    ] {
        if let Some(value) = fields.remove(&name) {
            headers.insert(name, own_copy(&value));
        }
    }
    headers
}
