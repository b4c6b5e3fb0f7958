//! Whether one request may have run.

use std::cell::Cell;
use std::rc::Rc;

use hyper::header::HeaderValue;
use tokio::sync::Notify;

use super::{hash, ExecutedIds, IdHash};

/// Why a request must not be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExecutionError {
    /// A request with its id may have run.
    Repeated,
    /// Too many ids have been recorded lately.
    NoCapacity,
}

/// The execution of a request that must not run again. If all of its attempts are proven never to have run, its id is
/// forgotten when the value is dropped.
pub(crate) struct Execution {
    ids: Rc<ExecutedIds>,
    id: IdHash,
    recorded: Cell<bool>,
    /// Another process has recorded the id since the request arrived here.
    is_repeated: Cell<bool>,
    repeated: Notify,
    /// Attempts that were begun and are not proven never to have run.
    possible_runs: Cell<u32>,
}

impl Execution {
    /// Fails if the request must not be run.
    pub(in super::super) fn new(
        ids: &Rc<ExecutedIds>,
        id: &HeaderValue,
    ) -> Result<Execution, ExecutionError> {
        let id = hash(id);
        if ids.contains(id) {
            return Err(ExecutionError::Repeated);
        }
        if !ids.has_capacity() {
            return Err(ExecutionError::NoCapacity);
        }
        Ok(Execution {
            ids: ids.clone(),
            id,
            recorded: Cell::new(false),
            is_repeated: Cell::new(false),
            repeated: Notify::new(),
            possible_runs: Cell::new(0),
        })
    }

    /// Notes that an attempt is about to be written. Returns false if it must not be.
    #[must_use]
    pub(in super::super) fn begin_attempt(&self) -> bool {
        if !self.recorded.get() && !self.is_repeated.get() {
            let is_first = self.ids.try_record(self.id);
            self.recorded.set(is_first);
            self.is_repeated.set(!is_first);
        }
        if self.is_repeated.get() {
            self.repeated.notify_one();
            return false;
        }
        self.possible_runs.set(self.possible_runs.get() + 1);
        true
    }

    /// Returns when an attempt must not be written, as the request may have run at another process.
    pub(in super::super) async fn repeated(&self) -> ExecutionError {
        self.repeated.notified().await;
        ExecutionError::Repeated
    }

    /// Notes that such an attempt has never run.
    pub(in super::super) fn on_never_ran(&self) {
        let runs = &self.possible_runs;
        runs.set(runs.get().saturating_sub(1));
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        if self.recorded.get() && self.possible_runs.get() == 0 {
            self.ids.forget(self.id);
        }
    }
}
