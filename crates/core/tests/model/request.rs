//! What the world knows of a request and its attempts.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::Wake;

use oakshed_core::facade::{Ending, Micros};
use oakshed_core::figures::PendingRequest as Owed;

/// Notes that it was woken.
pub struct Flag(pub AtomicBool);

impl Wake for Flag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// An attempt: in flight until it has ended.
pub struct Out {
    pub until: Micros,
    pub ended: Option<Ending>,
}

/// A request: waiting until it is answered or its client has disconnected.
pub struct Waiting {
    pub class: u32,
    pub woken: Arc<Flag>,
    pub attempts: Vec<Out>,
    pub over: bool,
    pub owed: Option<Owed>,
}

impl Waiting {
    pub fn may_have_run(&self) -> bool {
        let never_ran = [
            Ending::Declined,
            Ending::DialFailed,
            Ending::Unused,
            Ending::LocalFault,
        ];
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.ended.is_none_or(|how| !never_ran.contains(&how)))
    }

    /// The attempts that count as the request's.
    pub fn counted_attempts(&self) -> usize {
        let attempts = self.attempts.iter();
        attempts
            .filter(|attempt| attempt.ended != Some(Ending::LocalFault))
            .count()
    }
}

/// A flag that is set.
pub fn flag() -> Arc<Flag> {
    Arc::new(Flag(AtomicBool::new(true)))
}
