//! Readiness checks of a scheduler through `GET /ready`.

use std::net::SocketAddr;

use oakshed_standin::{send_raw, until};

/// The text of a readiness request.
pub const READY: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// Whether a scheduler answers at this address and reports that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    send_raw(address, READY).is_some_and(|answer| answer.status() == 200)
}

pub fn until_ready(address: SocketAddr) {
    until("readiness", || is_ready(address));
}
