//! Retries: whether a request is sent again after an attempt, and by when that must have been written.
//!
//! It owns the rules of a retry. It must never allow one of what may have run where that may not be
//! repeated.

use crate::interface::{Effect, Ending, RequestId, Settings, LONGEST_STALL};
use crate::scheduler::Scheduler;
use crate::state::Request;
use crate::time::{Instant, Span};

/// Which requests may be sent again.
#[derive(Default)]
pub(super) struct RetryPolicy {
    /// Attempts that a request may have, those that failed for a fault of this machine not counted.
    max_attempts: usize,
    /// The least time between two dispatches.
    tick: Span,
}

impl RetryPolicy {
    pub(super) fn new(settings: &Settings) -> Self {
        RetryPolicy {
            max_attempts: settings.max_attempts as usize,
            tick: settings.tick,
        }
    }

    /// Whether a request may be sent again: attempts and time are left, and what may have run may be
    /// repeated.
    pub(super) fn allows(&self, request: &Request, settings: &Settings, now: Instant) -> bool {
        let attempts = request.attempts.iter().filter(|a| !a.is_local_fault);
        if attempts.count() >= self.max_attempts || now >= request.deadline {
            return false;
        }
        // It may be queued until its dispatch deadline, so that the window must reach past that.
        let write_deadline = self.write_deadline(request, settings);
        let is_in_window =
            write_deadline.is_none_or(|deadline| request.dispatch_deadline < deadline);
        let may_have_run = request.first_that_may_have_run().is_some();
        let is_unsafe = settings.class(request.class).effect == Effect::Unsafe;
        is_in_window && !(may_have_run && is_unsafe)
    }

    /// Until when a repeat of a keyed request that may have run must have been written in full: its group
    /// knows the first one for the window from its sending, for which the decision on it stands, as the
    /// earliest. The process may be stalled between the last look at the time and the write.
    pub(super) fn write_deadline(&self, request: &Request, settings: &Settings) -> Option<Instant> {
        let class = settings.class(request.class);
        if class.effect != Effect::Keyed {
            return None;
        }
        let first = request.first_that_may_have_run()?;
        let window_end = first.sent.saturating_add(class.window);
        Some(window_end.saturating_sub(LONGEST_STALL + self.tick))
    }
}

impl Scheduler {
    /// Whether a request may be sent again.
    pub(super) fn may_retry(&self, request: &Request) -> bool {
        self.retry_policy.allows(request, &self.settings, self.now)
    }

    /// Ends a request, or queues it again where it may be sent again and nothing of it is in flight.
    pub(super) fn finish_or_retry(&mut self, id: RequestId, ending: Ending, is_finished: bool) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if is_finished || request.is_answered {
            self.finish(id);
        } else if request.open > 0 {
            // Another attempt may still bring the answer.
        } else if !self.may_retry(request) || request.dispatch_deadline <= self.now {
            self.end(id);
        } else if ending == Ending::LocalFault {
            self.back_off_request(id);
        } else {
            self.enqueue(id);
        }
    }
}
