//! Errors of a call to the discovery service.

use hyper::StatusCode;

use super::super::collect_body::CollectError;
use super::super::workers::ConnectionError;

/// The reason why a call to discovery returned no endpoint list.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// The connection was not established within its time limit.
    #[error("cannot connect: timed out")]
    ConnectTimeout,
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[source] ConnectionError),
    /// The HTTP request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The connection failed before the response headers arrived.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The response has a status other than 200.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// The response body ended early or exceeds the size limit.
    #[error("truncated or oversized response body: {0}")]
    Body(#[from] CollectError),
    /// The response body is not a valid endpoint list.
    #[error("malformed endpoint list: {0}")]
    MalformedList(#[source] serde_json::Error),
    /// Neither the call nor the hedged calls beside it were answered within their time limits.
    #[error("no answer in time")]
    Timeout,
}
