//! Calls to workers that start no job: probes for their load, and calls to their lease endpoints.
//!
//! A probe has a time limit of its own. The caller of `call_lease_endpoint` sets the limit for the answer.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use super::super::answers::LEASE_TOKEN;
use super::super::collect_body::collect_body;
use super::super::Net;
use super::attempt::{connect, encoded_len};
use super::connection::Connection;
use super::stream::{load_from_headers, parse_load, LoadForm, MAX_LINE_BYTES};
use oakshed_core::facade::{Ending, Micros, Observation, Report};

/// Probes a worker for its load and reports the outcome to the facade.
pub(crate) async fn probe(net: Rc<Net>, to: Rc<str>) {
    let limit = 2 * net.workers.connect_timeout;
    let deadline = net.clock.now().saturating_add(limit.as_micros() as Micros);
    match timeout(limit, probe_load(&net, &to, deadline)).await {
        Ok(Err(Ending::LocalFault)) => net.report(Observation::NotProbed(&to)),
        Ok(Ok(load)) => net.report(Observation::Probed(&to, load.is_some(), load)),
        Ok(Err(_)) | Err(_) => net.report(Observation::Probed(&to, false, None)),
    }
}

/// Connects to a worker and requests its load, which is `None` if it reports none. The error tells why there is no
/// connection.
async fn probe_load(
    net: &Rc<Net>,
    to: &Rc<str>,
    deadline: Micros,
) -> Result<Option<Report>, Ending> {
    let connection = connect(net, to).await?;
    Ok(request_load(net, to, deadline, connection).await)
}

/// Requests the load report, which may be in a header or in a JSON or text body.
async fn request_load(
    net: &Rc<Net>,
    to: &Rc<str>,
    deadline: Micros,
    mut connection: Connection,
) -> Option<Report> {
    let host = connection.address.to_string();
    let request = Request::get("/status/load")
        .header(HOST, host)
        .body(Full::default())
        .ok()?;
    connection.guard_request(net, to, encoded_len(&request, 0), deadline, None);
    let response = connection.sender.send_request(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let in_headers = load_from_headers(response.headers());
    let body = collect_body(response.into_body(), MAX_LINE_BYTES)
        .await
        .ok()?;
    if connection.sender.ready().await.is_ok() {
        net.workers.put_back(to, connection);
    }
    let in_json = || {
        serde_json::from_slice::<LoadForm>(&body)
            .ok()
            .map(Report::from)
    };
    in_headers
        .or_else(in_json)
        .or_else(|| std::str::from_utf8(&body).ok().map(parse_load))
}

/// Calls a lease endpoint of a worker on a new connection, and returns the body of the answer if its status is 200. The
/// worker need not be ready: one that is draining still knows its leases.
pub(crate) async fn call_lease_endpoint(
    net: &Net,
    to: &str,
    path: &str,
    token: u64,
    body: Bytes,
) -> Option<Bytes> {
    let address = net.workers.last_address(to)?;
    let slot = net.workers.reserve_slot(net.worker_share())?;
    let mut connection = timeout(
        net.workers.connect_timeout,
        Connection::open(address, Some(slot)),
    )
    .await
    .ok()?
    .ok()?;
    let request = Request::post(path)
        .header(HOST, address.to_string())
        .header(&LEASE_TOKEN, token)
        .header(CONTENT_LENGTH, body.len())
        .body(Full::new(body));
    let response = connection.sender.send_request(request.ok()?).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = collect_body(response.into_body(), 2 * MAX_LINE_BYTES).await;
    Some(body.ok()?.into())
}
