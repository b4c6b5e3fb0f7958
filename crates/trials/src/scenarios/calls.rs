//! System calls of the schedulers that fail for a moment, drawn from the seed.

use oakshed_fault_injection::Faults;

use super::report::request_summary;
use super::{start_with_list, wait_for_requests, wait_until_serving, Options, Outcome};
use crate::load::Load;
use crate::world::{Setup, World};
use crate::TrialError;

/// Rows of each scheduler's plan.
const ROWS: usize = 8;
/// The system calls that may fail, with their errors. Those of a disconnection are left out: a request on that
/// connection is indeterminate.
const CALLS: [(&str, &[&str]); 8] = [
    (
        "accept",
        &[
            "ECONNABORTED",
            "EPROTO",
            "EINTR",
            "ENFILE",
            "ENOBUFS",
            "ENOMEM",
            "EMFILE",
        ],
    ),
    (
        "connect",
        &[
            "EADDRNOTAVAIL",
            "EAGAIN",
            "ENOBUFS",
            "ECONNREFUSED",
            "EHOSTUNREACH",
            "ETIMEDOUT",
        ],
    ),
    ("socket", &["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]),
    ("send", &["EINTR", "ENOBUFS", "ENOMEM"]),
    ("recv", &["EINTR", "ENOMEM"]),
    ("setsockopt", &["ENOMEM", "ENOBUFS"]),
    ("shutdown", &["ENOTCONN"]),
    ("epoll_wait", &["EINTR"]),
];

pub(super) fn setup(options: Options) -> Setup {
    Setup {
        call_faults: Some(draw),
        ..Setup::new(options.schedulers.unwrap_or(4), 6, options.seed)
    }
}

/// A scheduler's plan: each row for up to 1.5 s, somewhere in its first 9 s. Sends and receives are those on IPv4
/// connections, and not of the runtime's own pipes.
fn draw(rng: &mut fastrand::Rng) -> Faults {
    let mut plan = format!("seed {}", rng.u64(..));
    for _ in 0..ROWS {
        let (call, errors) = CALLS[rng.usize(..CALLS.len())];
        let error = errors[rng.usize(..errors.len())];
        let probability = 0.05 + 0.6 * rng.f64();
        let from = rng.u64(500..7_500);
        let length = rng.u64(200..1_500);
        let target = if matches!(call, "send" | "recv") {
            "on=127."
        } else {
            ""
        };
        plan += &format!("\n{call} {error} p{probability:.2} {from} {length} {target}");
    }
    Faults::new(&plan)
}

/// Calls of each scheduler fail under load; after the last fault each serves.
pub(super) async fn failing(world: &mut World) -> Result<Outcome, TrialError> {
    let schedulers = world.setup.schedulers;
    start_with_list(world).await?;
    let rate = 30.0 * schedulers as f64;
    let load = Load::start(world, rate, world.setup.seed);
    wait_for_requests(world, (10.0 * rate) as usize, &load).await?;
    let all: Vec<usize> = (0..schedulers).collect();
    let took = wait_until_serving(world, &all).await?;
    load.end().await;
    let strikes: u64 = world
        .schedulers
        .iter()
        .filter_map(|s| s.call_faults.as_ref())
        .map(strikes)
        .sum();
    let mut violations = Vec::new();
    if strikes == 0 {
        violations.push("no call has failed".to_owned());
    }
    Ok(Outcome {
        figures: vec![
            format!(
                "{schedulers} schedulers, {strikes} calls failed; all serve {took:.3?} after the last"
            ),
            request_summary(&world.facts()),
        ],
        violations,
        spare_capacity: false,
    })
}

/// How many calls a plan has let fail.
fn strikes(faults: &Faults) -> u64 {
    (0..ROWS).map(|row| faults.strikes(row)).sum()
}
