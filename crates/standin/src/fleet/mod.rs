//! Stand-ins for trials with many schedulers: discovery and workers that run beside each other in one
//! thread, on hyper, and keep a record of what came and when.
//!
//! They are to be used inside a `tokio::task::LocalSet`. Their faults are set by the scenario; they never
//! misbehave by themselves. Times are in microseconds of Unix time.

mod discovery;
mod worker;

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use hyper::Response;
use tokio::net::{TcpListener, TcpStream};

pub use discovery::{Call, Endpoint, FleetDiscovery, ListFormat, Outcome, Pace};
pub use worker::{Arrival, FleetWorker, FleetWorkerOptions, Reports};

/// The body of a stand-in's answer: at once, or streamed.
type Body = Either<Full<Bytes>, Channel<Bytes, Infallible>>;

/// Unix time in microseconds.
#[must_use]
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

fn answer(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = hyper::StatusCode::from_u16(status).expect("a status that exists");
    response
}

/// A listener on a port of that address that the system picks.
async fn bind(at: IpAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((at, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Closes a connection with a reset, as a host does where nobody listens.
fn reset(stream: TcpStream) {
    _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
}
