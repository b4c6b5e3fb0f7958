//! Why a request is answered with an error before the scheduler sees it, and how often each error occurred.

use std::fmt::{self, Write as _};

use super::counters::Counter;
use super::executed_ids::ExecutionError;

/// Why a request is answered with an error before the scheduler sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// The target has no path.
    NoPath,
    /// The path names no class.
    UnknownClass,
    /// The path has segments after the class and the key.
    UnknownPath,
    /// The method is not POST.
    NotPost,
    /// `Req-Kind` differs from the class in the path.
    WrongKind,
    /// `Req-Id` is missing, empty, repeated, too long or not graphic ASCII.
    InvalidId,
    /// The class requires an `Idempotency-Key`, and there is none.
    NoIdempotencyKey,
    /// `Req-Deadline-Ms` is not a whole number.
    InvalidDeadline,
    /// The body is larger than the protocol allows.
    BodyTooLarge,
    /// The memory budget is used up.
    NoMemory,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The body came in very many small pieces.
    TooManyPieces,
    /// The body is malformed, or its connection failed.
    UnreadableBody,
    /// There is no `Host` field.
    NoHost,
    /// Another open request has the same id.
    IdInUse,
    /// A request with the same id may have run, and must not run again.
    IdExecuted,
    /// Too many ids of requests that must not run again have been recorded lately.
    TooManyIds,
    /// It was pipelined, while other clients wait for a connection.
    Pipelined,
}

impl RequestError {
    /// All errors with their names in the metrics and in the log, in the order of the variants.
    const NAMES: [&'static str; 18] = [
        "no_path",
        "unknown_class",
        "unknown_path",
        "not_post",
        "wrong_kind",
        "invalid_id",
        "no_idempotency_key",
        "invalid_deadline",
        "body_too_large",
        "no_memory",
        "body_timeout",
        "too_many_pieces",
        "unreadable_body",
        "no_host",
        "id_in_use",
        "id_executed",
        "too_many_ids",
        "pipelined",
    ];
}

impl From<ExecutionError> for RequestError {
    fn from(error: ExecutionError) -> Self {
        match error {
            ExecutionError::Repeated => RequestError::IdExecuted,
            ExecutionError::NoCapacity => RequestError::TooManyIds,
        }
    }
}

/// How often each error occurred.
#[derive(Default)]
pub(crate) struct RequestErrorCounters([Counter; RequestError::NAMES.len()]);

impl RequestErrorCounters {
    pub(super) fn increment(&self, error: RequestError) {
        self.0[error as usize].increment();
    }

    /// Appends the counts in the operators' format, one per line.
    pub(super) fn render(&self, text: &mut String) {
        for (name, counter) in RequestError::NAMES.iter().zip(&self.0) {
            _ = writeln!(
                text,
                "edge_router.request_errors.{name}:{}|c",
                counter.get()
            );
        }
    }
}

impl fmt::Display for RequestErrorCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for (name, counter) in RequestError::NAMES.iter().zip(&self.0) {
            write!(f, "{separator}{name}={}", counter.get())?;
            separator = " ";
        }
        Ok(())
    }
}
