//! The model's state of a request and its attempts.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::Wake;

use oakshed_core::facade::{Ending, Micros};
use oakshed_core::figures::PendingRequest;

/// A waker that records whether it was woken.
pub struct WakeFlag(pub AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// An attempt, which is in flight until it has ended.
pub struct Attempt {
    /// When it times out.
    pub until: Micros,
    pub ended: Option<Ending>,
}

/// A request, which is open until it is answered or its client disconnects.
pub struct Request {
    pub class: u32,
    pub wake_flag: Arc<WakeFlag>,
    pub attempts: Vec<Attempt>,
    pub is_closed: bool,
    /// Its entry in the request counts, until it ends.
    pub pending: Option<PendingRequest>,
}

impl Request {
    pub fn may_have_run(&self) -> bool {
        let never_ran = [
            Ending::Declined,
            Ending::DialFailed,
            Ending::Unused,
            Ending::LocalFault,
        ];
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| {
            attempt
                .ended
                .is_none_or(|ending| !never_ran.contains(&ending))
        })
    }

    /// Returns the number of attempts that count towards the request's maximum.
    pub fn counted_attempts(&self) -> usize {
        let attempts = self.attempts.iter();
        attempts
            .filter(|attempt| attempt.ended != Some(Ending::LocalFault))
            .count()
    }
}

/// Returns a flag that is already set, so that its owner is polled once.
pub fn wake_flag() -> Arc<WakeFlag> {
    Arc::new(WakeFlag(AtomicBool::new(true)))
}
