//! Sends fence calls to workers and parses their replies.
//!
//! A fence tells a worker to start no attempt of a job with a token up to the given one, and asks what became of the
//! job there (docs/leases.md). A reply that names another job, or that cannot be parsed, counts as no reply.

use std::borrow::Cow;

use bytes::Bytes;
use oakshed_jobs::machine::{FenceReply, FenceStatus};
use oakshed_jobs::record::JobId;
use serde::Deserialize;

use super::super::{workers, Net};

/// The body of a worker's reply.
#[derive(Deserialize)]
struct FenceBody<'a> {
    id: Cow<'a, str>,
    state: Cow<'a, str>,
    since_ms: u64,
    result: Option<String>,
}

/// Fences a job's attempts up to `token` at a worker; returns its reply, or `None` if there was no valid reply.
pub(super) async fn fence(net: &Net, worker: &str, id: JobId, token: u64) -> Option<FenceReply> {
    let path = format!("/leases/{id}/fence");
    let body = workers::call_lease_endpoint(net, worker, &path, token, Bytes::new()).await?;
    let reply: FenceBody = serde_json::from_slice(&body).ok()?;
    if reply.id != id.to_string() {
        return None;
    }
    let status = match (&*reply.state, reply.result) {
        ("never", _) => FenceStatus::Never,
        ("running", _) => FenceStatus::Running,
        ("done", Some(result)) => FenceStatus::Done(result.into_bytes()),
        ("failed", _) => FenceStatus::Failed,
        _ => return None,
    };
    Some(FenceReply {
        status,
        since_ms: reply.since_ms,
    })
}
