//! How long a client's request waits for a job's answer, or for the record behind a reply.

use std::future::Future;
use std::pin::pin;

use oakshed_core::facade::Micros;
use tokio::time::{timeout_at, Instant};

use super::super::Net;
use super::DurableJobs;

/// How long after the deadline a response waits for a record to become durable, in microseconds.
const SYNC_GRACE: Micros = 1_000_000;

/// How long a response waits.
pub(super) struct WaitLimits {
    /// The deadline of the request.
    deadline: Instant,
    /// The end of the additional wait for a record that is being written to disk.
    sync_deadline: Instant,
}

impl WaitLimits {
    /// The limits of a request that arrived at `arrived` and has a deadline.
    pub(super) fn new(net: &Net, arrived: Micros, deadline: Micros) -> WaitLimits {
        let instant = |at| net.clock.instant(net.shutdown.limit_deadline(arrived, at));
        WaitLimits {
            deadline: instant(deadline),
            sync_deadline: instant(deadline.saturating_add(SYNC_GRACE)),
        }
    }

    /// The limits of a request that is answered as soon as the disk allows it.
    pub(super) fn for_sync(net: &Net) -> WaitLimits {
        let now = net.clock.now();
        let limits = WaitLimits::new(net, now, now);
        WaitLimits {
            deadline: limits.sync_deadline,
            ..limits
        }
    }

    /// Shortens the limits to the time that a shutdown leaves this process.
    fn limit_to_shutdown(&mut self, net: &Net) {
        if let Some(last_answer) = net.shutdown.last_answer_at() {
            self.sync_deadline = self.sync_deadline.min(last_answer);
        }
        self.deadline = self.deadline.min(self.sync_deadline);
    }
}

/// Waits for an event until the limits are over, and returns its value if it came in time.
pub(super) async fn within<T>(
    net: &Net,
    durable: &DurableJobs,
    mut limits: WaitLimits,
    event: impl Future<Output = T>,
) -> Option<T> {
    let mut event = pin!(event);
    let mut closing = net.shutdown.closing.subscribe();
    let mut shutting_down = false;
    loop {
        let outcome = tokio::select! {
            biased;
            outcome = timeout_at(limits.deadline, event.as_mut()) => outcome,
            _ = closing.wait_for(|closing| *closing), if !shutting_down => {
                shutting_down = true;
                limits.limit_to_shutdown(net);
                continue;
            }
        };
        match outcome {
            Ok(value) => return Some(value),
            // The deadline is over, but the answer may be on its way to the disk.
            Err(_) if limits.deadline < limits.sync_deadline && !durable.outage.get() => {
                limits.deadline = limits.sync_deadline;
            }
            Err(_) => return None,
        }
    }
}
