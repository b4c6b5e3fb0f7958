//! The state of one request in the facade: pending steps of its handler, attempts and final answer.
//!
//! It only queues the steps that the scheduler decides on, and wakes a handler that waits for one.

use std::collections::VecDeque;
use std::task::Waker;

use super::Step;
use crate::interface::{Micros, WorkerId};

/// A request, kept from its arrival until its handler and all of its attempts have ended.
pub(super) struct OpenRequest {
    steps: VecDeque<Step>,
    waker: Option<Waker>,
    /// The worker of each attempt; `None` once it has ended.
    attempts: Vec<Option<WorkerId>>,
    deadline: Micros,
    /// The final answer was given, or the handler has ended and needs none.
    is_answered: bool,
    /// The handler has ended.
    is_closed: bool,
}

impl OpenRequest {
    /// Creates a request with `earlier_attempts` attempts that have already ended.
    pub(super) fn new(deadline: Micros, earlier_attempts: usize) -> Self {
        OpenRequest {
            steps: VecDeque::new(),
            waker: None,
            attempts: vec![None; earlier_attempts],
            deadline,
            is_answered: false,
            is_closed: false,
        }
    }

    pub(super) fn deadline(&self) -> Micros {
        self.deadline
    }

    pub(super) fn is_answered(&self) -> bool {
        self.is_answered
    }

    /// Returns whether the handler and all attempts have ended.
    pub(super) fn is_done(&self) -> bool {
        self.is_closed && self.attempts.iter().all(Option::is_none)
    }

    /// Removes the next step for the handler.
    pub(super) fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    /// Removes all steps that the handler has not taken yet.
    pub(super) fn take_steps(&mut self) -> VecDeque<Step> {
        std::mem::take(&mut self.steps)
    }

    /// Stores the waker of a handler that waits for a step.
    pub(super) fn set_waker(&mut self, waker: &Waker) {
        self.waker = Some(waker.clone());
    }

    /// Queues a step for the handler and wakes it.
    pub(super) fn push(&mut self, step: Step) {
        self.steps.push_back(step);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Queues the final answer for the handler. Returns `false`, without any effect, if there already was one.
    pub(super) fn answer(&mut self, step: Step) -> bool {
        if self.is_answered {
            return false;
        }
        self.is_answered = true;
        self.push(step);
        true
    }

    /// Records that the handler has ended. Returns whether the request already had its final answer.
    pub(super) fn close(&mut self) -> bool {
        self.is_closed = true;
        std::mem::replace(&mut self.is_answered, true)
    }

    /// Records a new attempt. Returns its number.
    pub(super) fn begin_attempt(&mut self, worker: WorkerId) -> usize {
        self.attempts.push(Some(worker));
        self.attempts.len() - 1
    }

    /// Records the end of an attempt. Returns whether it was still in flight.
    pub(super) fn end_attempt(&mut self, attempt: usize) -> bool {
        let worker = self.attempts.get_mut(attempt).and_then(Option::take);
        worker.is_some()
    }
}
