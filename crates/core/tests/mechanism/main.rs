//! Tests of the scheduling algorithms against the scheduler's events and actions, with a regression test for each
//! failure found so far.

#[path = "../common/mod.rs"]
mod common;
mod concurrency_limit;
mod failing;
mod hot_restart;
mod input;
mod large;
mod list;
mod local_faults;
mod overload;
mod overload_fleet;
mod probes;
mod rejection;
mod slow_start;
mod slow_start_budget;
mod slow_start_fleet;
mod slow_start_sum;
mod tiers;
mod unresponsive;
mod wall_clock;
mod weights;
mod worker_selection;

use common::*;
use oakshed_core::interface::*;

/// Sends requests until one is queued, and returns those that were sent to a worker.
fn fill_until_queued(harness: &mut Harness, class: u32) -> Vec<RequestId> {
    let mut sent = Vec::new();
    for _ in 0..100 {
        let (id, actions) = harness.request(class);
        if sent_to(&actions, id).is_none() {
            return sent;
        }
        sent.push(id);
    }
    panic!("no request was queued");
}
