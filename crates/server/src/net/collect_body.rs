//! Collects the body of an answer, up to a limit, into one buffer of its own.
//!
//! hyper hands out each piece of a body as a slice of a read buffer, which stays allocated for as long as the slice is
//! used. The pieces are therefore copied, so that a body that comes in small pieces takes its own size only.

use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

/// Why a body was not collected.
#[derive(Debug, Error)]
pub(super) enum CollectError {
    /// The connection failed, or the body is malformed.
    #[error(transparent)]
    Hyper(#[from] hyper::Error),
    /// It is larger than the limit.
    #[error("body of more than {0} bytes")]
    TooLarge(usize),
}

/// Collects a body of at most `limit` bytes.
pub(super) async fn collect_body(
    mut body: Incoming,
    limit: usize,
) -> Result<Vec<u8>, CollectError> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else {
            continue;
        };
        if bytes.len() + piece.len() > limit {
            return Err(CollectError::TooLarge(limit));
        }
        bytes.extend_from_slice(&piece);
    }
    Ok(bytes)
}
