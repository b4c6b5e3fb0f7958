//! Decides whether a request is sent again after an attempt, and until when that attempt may be
//! written.
//!
//! A request that may have run is never sent again if its class does not allow a repeat.

use crate::interface::{Effect, Ending, RequestId, Settings, MAX_PROCESS_PAUSE};
use crate::scheduler::Scheduler;
use crate::state::Request;
use crate::time::{Instant, Span};

/// The rules for sending a request again.
#[derive(Default)]
pub(super) struct RetryPolicy {
    /// Attempts allowed per request, not counting those that failed with a local fault.
    max_attempts: usize,
    /// Shortest time between two dispatches.
    tick: Span,
}

impl RetryPolicy {
    pub(super) fn new(settings: &Settings) -> Self {
        RetryPolicy {
            max_attempts: settings.max_attempts as usize,
            tick: settings.tick,
        }
    }

    /// Whether a request may be sent again: it has attempts and time left, and it cannot have run
    /// or may be repeated.
    pub(super) fn allows(&self, request: &Request, settings: &Settings, now: Instant) -> bool {
        let attempts = request.attempts.iter().filter(|a| !a.is_local_fault);
        if attempts.count() >= self.max_attempts || now >= request.deadline {
            return false;
        }
        // The request may stay queued until its dispatch deadline, so the write deadline must be
        // later.
        let write_deadline = self.write_deadline(request, settings);
        let is_in_window =
            write_deadline.is_none_or(|deadline| request.dispatch_deadline < deadline);
        let may_have_run = request.first_that_may_have_run().is_some();
        let is_unsafe = settings.class(request.class).effect == Effect::Unsafe;
        is_in_window && !(may_have_run && is_unsafe)
    }

    /// The time by which a repeat of a keyed request that may have run must be written in full;
    /// `None` if there is no such limit. The group recognises repeats within a window from the
    /// first send, whose earliest possible time is the decision to send. The process may pause
    /// between its last reading of the clock and the write.
    pub(super) fn write_deadline(&self, request: &Request, settings: &Settings) -> Option<Instant> {
        let class = settings.class(request.class);
        if class.effect != Effect::Keyed {
            return None;
        }
        let first = request.first_that_may_have_run()?;
        let window_end = first.sent.saturating_add(class.window);
        Some(window_end.saturating_sub(MAX_PROCESS_PAUSE + self.tick))
    }
}

impl Scheduler {
    pub(super) fn may_retry(&self, request: &Request) -> bool {
        self.retry_policy.allows(request, &self.settings, self.now)
    }

    /// Ends a request after an attempt, or queues it again if that is allowed and no other attempt
    /// is in flight.
    pub(super) fn finish_or_retry(&mut self, id: RequestId, ending: Ending, is_finished: bool) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if is_finished || request.is_answered {
            self.finish(id);
        } else if request.open > 0 {
            // Another attempt may still yield the answer.
        } else if !self.may_retry(request) || request.dispatch_deadline <= self.now {
            self.end(id);
        } else if ending == Ending::LocalFault {
            self.back_off_request(id);
        } else {
            self.enqueue(id);
        }
    }
}
