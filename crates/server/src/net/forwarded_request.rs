//! Requests as they are forwarded to workers, and the resources that open requests hold.
//!
//! A request holds its id and the memory for its body until the last reference to its `ForwardedRequest` is dropped.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri};
use oakshed_core::facade::Micros;
use oakshed_core::interface::{Effect, Scope};
use rustc_hash::FxHashSet;

use super::answers::REQ_DEADLINE;
use super::executed_ids::{Execution, ExecutionError};
use super::memory::{Charge, ExpectedResult, Holder, Memory};
use super::Net;

/// The part of the configured memory that request bodies may use, as a divisor.
const BODY_MEMORY_DIVISOR: usize = 8;
/// The largest body that may use the last part of that memory, in bytes.
const SMALL_BODY_BYTES: usize = 4 << 10;
/// That last part, as a divisor.
const SMALL_BODIES_DIVISOR: usize = 4;
/// The longest time assumed between a request's arrival in the kernel and its being read, in microseconds. The client's
/// own deadline starts no later than the arrival.
const MAX_ARRIVAL_LAG: Micros = 20_000;
/// The largest part of the remaining time that is subtracted for this lag, as a divisor.
const ARRIVAL_LAG_DIVISOR: Micros = 10;

/// The deadline sent to a worker, in milliseconds from now, which is never later than the client's own. The platform
/// tolerates a delay of up to 0.15 s between this computation and the write, such as when the process is paused.
pub(super) fn remaining_ms(deadline: Micros, now: Micros) -> u64 {
    let remaining = deadline.saturating_sub(now);
    (remaining - MAX_ARRIVAL_LAG.min(remaining / ARRIVAL_LAG_DIVISOR)) / 1_000
}

/// The parts of a request that every attempt forwards unchanged, and its deadline.
pub(crate) struct ForwardedRequest {
    pub method: Method,
    pub target: PathAndQuery,
    pub headers: HeaderMap,
    pub id: HeaderValue,
    pub body: Bytes,
    /// When the client gives up, or this process has to exit.
    pub deadline: Micros,
    /// Releases the id and the memory for body and result when dropped. `None` for durable jobs.
    pub reservation: Option<Reservation>,
}

impl ForwardedRequest {
    /// Whether the request may have run, if it must not run again.
    pub(super) fn execution(&self) -> Option<&Execution> {
        self.reservation.as_ref()?.execution.as_ref()
    }

    /// Returns when the request must not be run, as it may have run at another process since it arrived.
    pub(super) async fn repeated(&self) -> ExecutionError {
        match self.execution() {
            Some(execution) => execution.repeated().await,
            None => std::future::pending().await,
        }
    }

    /// The memory reserved for the result.
    pub(super) fn expected_result(&self) -> Option<&ExpectedResult> {
        self.reservation.as_ref().map(|r| &r.result)
    }

    /// Builds the HTTP request to a worker, with the deadline that applies now.
    pub(super) fn request(&self, now: Micros) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(Uri::from(self.target.clone()))
            .body(Full::new(self.body.clone()))?;
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        headers.insert(CONTENT_LENGTH, self.body.len().into());
        headers.insert(&REQ_DEADLINE, remaining_ms(self.deadline, now).into());
        Ok(request)
    }
}

/// The ids of the open requests.
#[derive(Default)]
pub(crate) struct OpenRequests {
    ids: RefCell<FxHashSet<HeaderValue>>,
}

impl OpenRequests {
    pub(super) fn ids(&self) -> usize {
        self.ids.borrow().len()
    }
}

/// The id of one request in [`OpenRequests`], and the memory for its body. It is part of the `ForwardedRequest`, which
/// handler and attempts share, as an attempt that must not be cancelled outlives its client.
pub(crate) struct Reservation {
    open: Rc<OpenRequests>,
    memory: Rc<Memory>,
    id: Option<HeaderValue>,
    body: Charge,
    result: ExpectedResult,
    execution: Option<Execution>,
}

impl Reservation {
    /// Admits a request of a class with a body of the declared length, if the memory budget allows it, and reserves the
    /// memory for its result.
    pub(super) fn admit(
        open: &Rc<OpenRequests>,
        memory: &Rc<Memory>,
        class: usize,
        declared_bytes: usize,
    ) -> Option<Reservation> {
        let result = ExpectedResult::admit(memory, class, declared_bytes)?;
        Some(Reservation {
            open: open.clone(),
            memory: memory.clone(),
            id: None,
            body: memory.charge(Holder::RequestBodies, 0),
            result,
            execution: None,
        })
    }

    /// Reserves memory for a body in place of what was reserved for it before, unless the bodies' part of the memory,
    /// or all of it, is used up. The last quarter of it is for small bodies, so that large ones that come slowly do not
    /// keep them out.
    pub(super) fn reserve_body(&mut self, bytes: usize) -> bool {
        let limit = self.memory.share() / BODY_MEMORY_DIVISOR;
        let limit = if bytes <= SMALL_BODY_BYTES {
            limit
        } else {
            limit - limit / SMALL_BODIES_DIVISOR
        };
        let others = self.memory.charged_to(Holder::RequestBodies) - self.body.bytes();
        let growth = bytes.saturating_sub(self.body.bytes());
        if others + bytes > limit || !self.memory.can_admit(growth) {
            return false;
        }
        self.body.resize(bytes);
        true
    }

    /// Follows whether the request may have run, if its class must not run again. Fails if the request must not be run.
    pub(super) fn track_execution(
        &mut self,
        net: &Net,
        class: usize,
        id: &HeaderValue,
    ) -> Result<(), ExecutionError> {
        let class = &net.config.settings.classes[class];
        let may_run_again = match class.effect {
            Effect::Safe => true,
            // The workers recognize the idempotency key.
            Effect::Keyed => class.scope == Scope::All,
            Effect::Unsafe => false,
        };
        if !may_run_again {
            self.execution = Some(Execution::new(&net.executed_ids, id)?);
        }
        Ok(())
    }

    /// Claims an id; returns false if another open request has it, as the worker's response would be ambiguous.
    pub(super) fn claim(&mut self, id: &HeaderValue) -> bool {
        let new = self.open.ids.borrow_mut().insert(id.clone());
        if new {
            self.id = Some(id.clone());
        }
        new
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.open.ids.borrow_mut().remove(&id);
        }
    }
}
