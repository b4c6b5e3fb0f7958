//! Per-request interface to the scheduler, for programs that handle requests in separate tasks.
//!
//! `take` registers a request, `poll_step` polls for its next step, `report` passes observations to the scheduler,
//! and `tick` runs its timer. The facade numbers requests and attempts, maps worker names to ids, and ensures
//! that each request gets exactly one final answer. The scheduler's events, actions and ids stay internal.
//!
//! All decisions are left to the scheduler. Time is passed in, and there is no dependency on sockets, HTTP or an
//! async runtime: a `poll_step` that has to wait stores only the standard library's [`Waker`].

mod actions;
mod exclusions;
mod hot_restart;
mod observations;
mod open_request;
mod tally;
mod types;

use std::rc::Rc;
use std::task::{Poll, Waker};

use rustc_hash::FxHashMap;

use crate::figures::Members;
use crate::interface::{Action, Event, RequestId, WorkerId};
pub use crate::interface::{
    ClassEstimates, Condition, Earlier, Ending, Endpoint, Estimates, InFlightCounts, Job, ListKind,
    Micros, Report, Settings, SettingsError, Span, MAX_PROCESS_PAUSE, NOTIFICATION_DEADLINE,
    UNKNOWN,
};
use crate::names::worker_id;
use crate::Scheduler;
use open_request::OpenRequest;
pub use tally::Tally;
pub use types::{
    Due, Entry, Handle, HandoverState, Observation, Step, WarmingWorker, WorkerBackoff,
};

/// One scheduler behind `take`, `poll_step`, `report` and `tick`.
pub struct Facade {
    scheduler: Scheduler,
    /// Empty between events; kept to reuse its allocation.
    actions: Vec<Action>,
    requests: FxHashMap<Handle, OpenRequest>,
    worker_names: FxHashMap<WorkerId, Rc<str>>,
    last_handle: u64,
    /// When the scheduler's timer is due. Must match the scheduler's own record, or the timer would be lost.
    wake_at: Option<Micros>,
    /// Whether `tick` has been called.
    has_ticked: bool,
    due: Due,
    timer: Option<Waker>,
    tally: Tally,
}

impl Facade {
    /// Creates a facade without workers; `seed` is the only source of randomness.
    ///
    /// # Errors
    ///
    /// Returns the first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Facade {
            scheduler: Scheduler::new(settings, seed)?,
            actions: Vec::new(),
            requests: FxHashMap::default(),
            worker_names: FxHashMap::default(),
            last_handle: 0,
            wake_at: None,
            has_ticked: false,
            due: Due::default(),
            timer: None,
            tally: Tally::default(),
        })
    }

    /// Registers a request, whose final answer `poll_step` will return.
    pub fn take(&mut self, now: Micros, job: &Job) -> Handle {
        self.resume(now, job, &[])
    }

    /// Registers a request that an earlier process has already tried. `earlier` has the workers on which it may
    /// have run and how long ago each attempt was sent; new attempts are numbered after these.
    pub fn resume(&mut self, now: Micros, job: &Job, earlier: &[Earlier<Rc<str>>]) -> Handle {
        self.last_handle += 1;
        self.tally.taken += 1;
        let request = Handle(self.last_handle);
        let deadline = now.saturating_add(job.remaining);
        let open = OpenRequest::new(deadline, earlier.len());
        self.requests.insert(request, open);
        let mut earlier_by_id = Vec::with_capacity(earlier.len());
        for attempt in earlier {
            earlier_by_id.push(Earlier {
                worker: worker_id(&attempt.worker),
                ago: attempt.ago,
            });
        }
        let event = Event::Request {
            id: request.id(),
            job: *job,
            earlier: &earlier_by_id,
        };
        self.feed(now, event);
        request
    }

    /// Polls for the next step of a request. While there is none, as when the job is queued, the waker is stored
    /// and woken once there is one.
    pub fn poll_step(&mut self, request: Handle, waker: &Waker) -> Poll<Step> {
        let Some(open) = self.requests.get_mut(&request) else {
            self.check_invariant(false, "step requested after the end of the request");
            return Poll::Ready(Step::Fail);
        };
        match open.next_step() {
            Some(step) => Poll::Ready(step),
            None => {
                open.set_waker(waker);
                Poll::Pending
            }
        }
    }

    /// Ends the handling of a request, after its final answer or because its client disconnected. Returns the
    /// attempts to cancel, about which nothing more need be reported.
    pub fn close(&mut self, now: Micros, request: Handle) -> Vec<usize> {
        let Some(open) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        if !open.close() {
            self.tally.cancelled += 1;
            let id = request.id();
            self.feed(now, Event::Cancelled { id });
        }
        let steps = self.requests.get_mut(&request).map(OpenRequest::take_steps);
        let mut drops = Vec::new();
        for step in steps.into_iter().flatten() {
            match step {
                // The scheduler chose a worker, but the attempt was never sent.
                Step::Attempt { attempt, .. } => {
                    self.on_ended(now, request, attempt, Ending::Unused, None);
                }
                // An attempt that has ended is not cancelled: its connection may be in use for another request.
                Step::Cancel { attempt }
                    if self.on_ended(now, request, attempt, Ending::Revoked, None) =>
                {
                    drops.push(attempt);
                }
                Step::Cancel { .. } | Step::Serve { .. } | Step::Reject { .. } | Step::Fail => {}
            }
        }
        self.forget_if_done(request);
        drops
    }

    /// Runs the timer if it is due, and returns pending work that does not belong to a request. The waker is
    /// woken when there is new work or the next call must come earlier than returned here.
    pub fn tick(&mut self, now: Micros, waker: &Waker) -> Due {
        let is_due = self.wake_at.is_some_and(|at| at <= now);
        if is_due {
            self.wake_at = None;
        }
        // The first call always dispatches: after a start without a list, no other event would make the
        // scheduler request one. A timer that is already set stays.
        let has_ticked = std::mem::replace(&mut self.has_ticked, true);
        if is_due || !has_ticked {
            self.feed(now, Event::Timer);
        }
        self.timer = Some(waker.clone());
        Due {
            next: self.wake_at,
            ..std::mem::take(&mut self.due)
        }
    }

    /// Gives all open requests their final answer because the process shuts down: a rejection where the client
    /// can safely retry, and otherwise a failure.
    pub fn answer_all(&mut self, now: Micros) {
        let mut unanswered = Vec::new();
        for (request, open) in &self.requests {
            if !open.is_answered() {
                unanswered.push(*request);
            }
        }
        for request in unanswered {
            let id = request.id();
            self.feed(now, Event::ShuttingDown { id });
        }
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Returns counts of what is queued or in flight. A request counts until its handler and all of its attempts
    /// have ended.
    #[must_use]
    pub fn in_flight_counts(&self) -> InFlightCounts {
        let counts = self.scheduler.in_flight_counts();
        InFlightCounts {
            requests: counts.requests.max(self.requests.len()),
            workers: counts.workers.max(self.worker_names.len()),
            ..counts
        }
    }

    /// Returns the number of listed workers, and how many of these currently get no jobs.
    #[must_use]
    pub fn members(&self) -> Members {
        self.scheduler.members()
    }

    /// Returns the current poll jitter in microseconds: the period over which the schedulers spread their polls,
    /// each at a random time.
    #[must_use]
    pub fn poll_jitter(&self) -> Micros {
        self.scheduler.poll_jitter() as Micros
    }

    /// Returns the number of requests without a final answer.
    #[must_use]
    pub fn unanswered_requests(&self) -> usize {
        let open = self.requests.values();
        open.filter(|open| !open.is_answered()).count()
    }

    /// Removes a request once its handler and all of its attempts have ended.
    fn forget_if_done(&mut self, request: Handle) {
        let open = self.requests.get(&request);
        if open.is_some_and(OpenRequest::is_done) {
            self.requests.remove(&request);
        }
    }

    /// Passes an event to the scheduler and carries out the resulting actions.
    fn feed(&mut self, now: Micros, event: Event<'_>) {
        self.scheduler.on_event(now, event);
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.dispatch(now, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, action);
        }
        self.actions = actions;
        let wake_at = self.wake_at.unwrap_or(Micros::MAX);
        let is_set = wake_at == self.scheduler.timer_due_at().as_micros();
        self.check_invariant(is_set, "timer differs from the scheduler's");
    }

    /// Panics in debug builds if an invariant does not hold; release builds count the violation.
    fn check_invariant(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        self.tally.invariant_violations += u64::from(!holds);
    }
}

impl Handle {
    /// Returns the request's id in the scheduler.
    fn id(self) -> RequestId {
        RequestId(self.0.into())
    }

    /// Returns the handle of the request with this id in the scheduler.
    fn of(id: RequestId) -> Self {
        Handle(id.0 as u64)
    }
}
