//! HTTP responses that the scheduler generates itself, and the names of the platform's header fields.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue, ALLOW, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use oakshed_core::facade::Micros;

pub(super) static REQ_ID: HeaderName = HeaderName::from_static("req-id");
pub(super) static REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
pub(super) static REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
pub(super) static REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");
pub(super) static REQ_EXTRA: HeaderName = HeaderName::from_static("req-extra");
pub(super) static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
pub(super) static LEASE_ID: HeaderName = HeaderName::from_static("lease-id");
pub(super) static LEASE_TOKEN: HeaderName = HeaderName::from_static("lease-token");
pub(super) static LEASE_MS: HeaderName = HeaderName::from_static("lease-ms");

/// A plain-text response.
pub(super) fn plain_text(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// A 503 response, with `Retry-After` in seconds to the millisecond where a delay is given.
pub(super) fn rejection(retry_after: Option<Micros>) -> Response<Full<Bytes>> {
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, "try again later\n");
    let seconds = retry_after.map(|t| format!("{:.3}", t as f64 / 1e6));
    if let Some(value) = seconds.and_then(|s| HeaderValue::try_from(s).ok()) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// A 405 response that lists the methods allowed.
pub(super) fn not_allowed(allow: &'static str) -> Response<Full<Bytes>> {
    let mut response = plain_text(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n");
    response
        .headers_mut()
        .insert(ALLOW, HeaderValue::from_static(allow));
    response
}
