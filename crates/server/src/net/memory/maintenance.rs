//! Keeps the process's memory near what it holds: returns freed pages to the system, and closes idle connections to
//! workers while memory is scarce.

use std::rc::Rc;
use std::time::Duration;

use super::super::Net;

/// Between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The most connections that are closed in one check.
const MAX_CLOSED: usize = 16;

/// Runs until the process exits.
pub(in super::super) async fn maintain(net: Rc<Net>) {
    let mut peak = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        for _ in 0..MAX_CLOSED {
            if !net.memory.is_scarce() || !net.workers.close_longest_idle() {
                break;
            }
        }
        let live = oakshed_heap::live_bytes();
        peak = live.max(peak);
        if live + net.memory.trim_threshold() < peak {
            oakshed_heap::trim();
            peak = live;
        }
    }
}
