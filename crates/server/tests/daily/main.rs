//! Tests of operation against a running process: operators' commands, metrics, manual exclusions and hot restart.
//!
//! This module holds only the helpers that its parts share.

mod calls;
mod exclusion_faults;
mod exclusions;
mod figures;
mod handover;
mod outage;

#[path = "../common/requests.rs"]
mod requests;
#[path = "../common/settings.rs"]
mod settings;

use std::time::Duration;

use oakshed_standin::*;

/// A worker that serves each job after 20 ms.
fn slow_worker() -> Peer {
    Peer::new(|message, stream| {
        std::thread::sleep(Duration::from_millis(20)); // run time of a job
        done(message, stream, "made")
    })
}

/// Returns the value of the metric `edge_router.{name}` from an answer to `telemetry`.
fn metric(text: &str, name: &str) -> u64 {
    let line = text
        .lines()
        .find(|l| l.split(':').next() == Some(&format!("edge_router.{name}")));
    let value = line.and_then(|l| l.split(':').nth(1)?.split('|').next()?.parse().ok());
    value.unwrap_or_else(|| panic!("no {name} in {text}"))
}

/// Waits until the scheduler answers `readyz` with `YES`.
fn wait_for_readyz(program: &Program) {
    until("readyz", || {
        call(program.admin(), "readyz").starts_with("YES")
    });
}
