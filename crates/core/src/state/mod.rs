//! State of a scheduler: workers, requests, attempts, queues and the timer.
//!
//! The modules here store and update the state but make no scheduling decisions; those are in `scheduler`.

use crate::interface::{Action, InFlightCounts, RequestId};
use crate::scheduler::Scheduler;
use crate::time::Instant;

mod attempts;
mod classes;
mod hot_restart;
mod in_flight;
mod list;
mod pool;
mod queues;
mod rates;
mod request;
mod ring;
mod settings;
mod start_times;
mod tenant_shares;
mod worker;
mod worker_table;
mod zone;

pub(crate) use classes::{ClassEstimate, ClassIndex, ClassTable};
pub(crate) use in_flight::InFlight;
pub(crate) use list::BoundGroup;
pub(crate) use pool::WorkerPools;
pub(crate) use queues::{QueuedRequest, Tier, TierQueues};
pub(crate) use rates::{CompletedWork, Rates};
use request::Attempt;
pub(crate) use request::{EndedAttempt, Request, RequestProbe};
pub(crate) use ring::HashRing;
pub(crate) use start_times::{StartTimes, WorkerStart};
pub(crate) use tenant_shares::TenantShares;
pub(crate) use worker::{AttemptId, Wait, Worker};
pub(crate) use worker_table::{IndexRemap, Retained, WorkerIndex, WorkerTable};
pub(crate) use zone::Zone;

impl Scheduler {
    /// Adds a request to the queue of its tier.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            self.queues.insert(request.tier, request.queue_entry(id));
        }
    }

    /// Removes a request from the queue of its tier, if it is queued.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            self.queues.remove(request.tier, request.queue_entry(id));
        }
    }

    /// Marks a request as answered and cancels its open attempts where that is allowed. The record is kept
    /// until the last attempt has ended.
    pub(crate) fn finish(&mut self, id: RequestId) {
        self.dequeue(id);
        self.clear_backoff(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_answered = true;
        if self.settings.may_cancel {
            for (number, attempt) in request.attempts.iter().enumerate() {
                if attempt.is_open {
                    let attempt = number as u32;
                    self.actions.push(Action::Cancel { id, attempt });
                }
            }
        }
        if request.open == 0 {
            self.requests.remove(&id);
        }
    }

    /// Requests a timer for `at`, unless one is set for that time or earlier.
    pub(crate) fn wake_by(&mut self, at: Instant) {
        if at < self.wake_at {
            self.wake_at = at;
            self.actions.push(Action::Wake {
                after: (at - self.now).as_micros(),
            });
        }
    }

    /// When the timer is due, or [`Instant::MAX`] if none is set.
    pub(crate) fn timer_due_at(&self) -> Instant {
        self.wake_at
    }

    /// The time elapsed since `at`, in microseconds; 0 if `at` is in the future.
    pub(crate) fn micros_since(&self, at: Instant) -> f64 {
        self.now.saturating_since(at).as_micros_f64()
    }

    /// Counts what is queued or in flight now. All counts but the one of workers return to 0 once every
    /// request is answered and every attempt has ended, so that callers can check for leaks.
    #[must_use]
    pub fn in_flight_counts(&self) -> InFlightCounts {
        let (mut attempts, mut slots) = (0, self.in_flight.slots + self.in_flight.excluded);
        for worker in self.workers.iter() {
            let at_worker = &worker.in_flight;
            attempts += at_worker.attempts.len();
            attempts += at_worker.open as usize + at_worker.unstarted as usize;
        }
        slots += self
            .workers
            .iter()
            .map(|w| w.in_flight.slots + w.in_flight.excluded_slots)
            .sum::<f64>();
        InFlightCounts {
            requests: self.requests.len(),
            queued: self.queues.len() + self.backoffs.len(),
            attempts,
            slots,
            workers: self.workers.len(),
        }
    }
}
