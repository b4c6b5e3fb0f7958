//! The state of a client's connection that the reader, below hyper, and the service, above hyper, share.
//!
//! It records which request and which response are incomplete and since when, and from that determines what makes
//! progress and what is overdue.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::task::Waker;
use std::time::Duration;

use tokio::time::Instant;

use super::memory::Charge;

/// How long a request may take to arrive from its first byte; the first request starts with the connection.
pub(super) const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(2_400);
/// How long a request may still take to be answered once malformed bytes have followed it: the client must get an error
/// or the end of the connection within 3 s.
const ANSWER_TIMEOUT_IF_MALFORMED: Duration = Duration::from_millis(1_500);
/// A transfer in which no byte was received or sent for this long counts as stalled, unless its client still waits for
/// the response.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long after its deadline a client may still accept a response.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// From when on a request that still arrives counts as slow.
const SLOW_AFTER: Duration = Duration::from_millis(50);
/// From when on a response of which nothing could be written counts as stalled for its client too.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a connection is evicted although a request or response makes progress or is awaited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Eviction {
    #[default]
    None,
    /// Its request arrives slowly.
    SlowRequest,
    /// Its response is not read.
    StalledResponse,
}

/// The incomplete request and response of a connection, and its malformed input.
pub(super) struct ConnectionState {
    /// When the request that has not arrived in full started.
    started_at: Cell<Option<Instant>>,
    /// When its last byte so far was received, if any was.
    last_byte_at: Cell<Option<Instant>>,
    /// How many times bytes of that request were received.
    reads: Cell<u32>,
    /// How many requests were passed to hyper, at least in part.
    passed: Cell<u64>,
    /// How many of these the service has answered.
    answered: Cell<u64>,
    /// When bytes of a response that is not written in full were last written, or when it was ready.
    last_write: Cell<Option<Instant>>,
    /// The response that is not written in full.
    response: RefCell<Option<Charge>>,
    /// Until when the client waits for the response to the current request; `None` before that request has arrived.
    response_expected_until: Cell<Option<Instant>>,
    /// The client has sent bytes that are not a valid request.
    malformed: Cell<bool>,
    /// When such bytes were found behind a request whose response was not written in full.
    malformed_at: Cell<Option<Instant>>,
    /// No other request can follow the current one on this connection.
    pub close_after_response: Cell<bool>,
    /// Bytes of the next request have arrived before the response to the current one was written.
    pub has_next: Cell<bool>,
    /// The current request was pipelined.
    pipelined: Cell<bool>,
    /// Why the connection is evicted; it is served on if that has changed by then.
    pub evicted: Cell<Eviction>,
    /// Wakes the reader once the response to the current request is written.
    flush_waker: RefCell<Option<Waker>>,
}

impl ConnectionState {
    pub(super) fn new() -> Self {
        ConnectionState {
            started_at: Cell::new(Some(Instant::now())),
            last_byte_at: Cell::new(None),
            reads: Cell::new(0),
            passed: Cell::new(0),
            answered: Cell::new(0),
            last_write: Cell::new(None),
            response: RefCell::new(None),
            response_expected_until: Cell::new(None),
            malformed: Cell::new(false),
            malformed_at: Cell::new(None),
            close_after_response: Cell::new(false),
            has_next: Cell::new(false),
            pipelined: Cell::new(false),
            evicted: Cell::default(),
            flush_waker: RefCell::new(None),
        }
    }

    /// Notes that bytes of the next request are there. Returns whether they are its first.
    pub(super) fn request_starts(&self) -> bool {
        if self.started_at.get().is_some() {
            return false;
        }
        let now = Some(Instant::now());
        self.started_at.set(now);
        self.last_byte_at.set(now);
        self.reads.set(1);
        true
    }

    /// Notes that bytes were received.
    pub(super) fn received(&self) {
        self.last_byte_at.set(Some(Instant::now()));
        self.reads.set(self.reads.get().saturating_add(1));
    }

    /// Notes that the head of a request is complete, and passed to hyper.
    pub(super) fn passed(&self) {
        self.response_expected_until.set(None);
        self.pipelined.set(self.has_next.take());
        self.passed.set(self.passed.get() + 1);
    }

    /// Notes that the current request has arrived in full.
    pub(super) fn arrived(&self) {
        self.started_at.set(None);
        self.last_byte_at.set(None);
        self.reads.set(0);
    }

    /// Notes the deadline of the client whose request has arrived.
    pub(super) fn expect_response_by(&self, client_deadline: Instant) {
        self.response_expected_until
            .set(Some(client_deadline + RESPONSE_GRACE));
    }

    /// Notes that the service has answered. The response is still to be written.
    pub(super) fn answered(&self) {
        self.last_write.set(Some(Instant::now()));
        self.answered.set(self.answered.get() + 1);
    }

    /// Attributes the memory of the response until it is written.
    pub(super) fn charge_response(&self, response: Charge) {
        *self.response.borrow_mut() = Some(response);
    }

    /// Notes that bytes of a response were written.
    pub(super) fn written(&self) {
        self.last_write.set(Some(Instant::now()));
    }

    /// Notes that everything there was to write is written: the next request may be passed to hyper.
    pub(super) fn flushed(&self) {
        if self.last_write.take().is_none() {
            return;
        }
        self.response.take();
        if let Some(waker) = self.flush_waker.take() {
            waker.wake();
        }
    }

    /// Stores the waker of the reader, which is woken once the response to the current request is written.
    pub(super) fn wake_when_flushed(&self, waker: &Waker) {
        *self.flush_waker.borrow_mut() = Some(waker.clone());
    }

    /// Notes that the client has sent bytes that are not a valid request.
    pub(super) fn received_malformed(&self) {
        self.malformed.set(true);
    }

    /// Notes that such bytes follow a request whose response is not written in full.
    pub(super) fn received_malformed_behind_request(&self) {
        self.malformed.set(true);
        self.malformed_at.set(Some(Instant::now()));
        self.close_after_response.set(true);
    }

    /// `None` unless a request has arrived in part; otherwise whether it is still arriving rather than stalled.
    fn partial_request(&self, now: Instant) -> Option<bool> {
        self.last_byte_at.get().map(|at| now < at + STALL_TIMEOUT)
    }

    /// `None` unless a response is not written in full; otherwise whether it may still arrive: it makes progress, or
    /// its client waits for it. A client that reads nothing for a while may be cut off from the network.
    fn pending_response(&self, now: Instant) -> Option<bool> {
        let last_write = self.last_write.get()?;
        Some(now < last_write + STALL_TIMEOUT || self.is_response_expected(now))
    }

    /// Whether a response is not written in full and its client waits for it.
    fn is_response_expected(&self, now: Instant) -> bool {
        let expected_until = self.response_expected_until.get();
        self.has_pending_response() && expected_until.is_some_and(|until| now < until)
    }

    /// Whether the current request arrived before the response to the one before it was written.
    pub(super) fn is_pipelined(&self) -> bool {
        self.pipelined.get()
    }

    /// Whether a request that has not arrived in full arrives in several pieces.
    pub(super) fn is_request_in_pieces(&self) -> bool {
        self.started_at.get().is_some() && self.reads.get() > 1
    }

    /// Whether such a request has not arrived for a while.
    pub(super) fn is_request_slow(&self, now: Instant) -> bool {
        let started = self.started_at.get();
        self.is_request_in_pieces() && started.is_some_and(|at| now > at + SLOW_AFTER)
    }

    /// Whether nothing of a response could be written for a while, even if its client waits for it.
    pub(super) fn is_response_stalled(&self, now: Instant) -> bool {
        let last_write = self.last_write.get();
        last_write.is_some_and(|at| now > at + RESPONSE_STALL_TIMEOUT)
    }

    /// Whether the reason for which the connection is evicted still holds, given whether bytes have arrived that were
    /// not read yet. They may be the rest of the request, unless that has been arriving for long.
    pub(super) fn is_eviction_due(&self, now: Instant, has_unread_bytes: bool) -> bool {
        let long_ago = |at: Instant| now > at + STALL_TIMEOUT;
        match self.evicted.get() {
            Eviction::None => false,
            Eviction::SlowRequest => {
                let is_late = self.started_at.get().is_some_and(long_ago);
                self.is_request_slow(now) && (is_late || !has_unread_bytes)
            }
            Eviction::StalledResponse => self.is_response_stalled(now) && !has_unread_bytes,
        }
    }

    /// Whether a response is not written in full.
    pub(super) fn has_pending_response(&self) -> bool {
        self.last_write.get().is_some()
    }

    /// `None` unless a request has arrived in part or a response is not written in full; otherwise whether one of them
    /// makes progress.
    pub(super) fn transfer(&self, now: Instant) -> Option<bool> {
        let request = self.partial_request(now);
        let response = self.pending_response(now);
        let is_any = request.is_some() || response.is_some();
        is_any.then_some(request == Some(true) || response == Some(true))
    }

    /// Whether a request has not arrived within [`ARRIVAL_TIMEOUT`], the client has read nothing of a response for as
    /// long, or malformed bytes have waited too long for the response before them. The first two do not count while a
    /// client waits for its response, as a close would cut that off.
    pub(super) fn overdue(&self, now: Instant) -> bool {
        let long_ago = |since: Option<Instant>| since.is_some_and(|at| now > at + ARRIVAL_TIMEOUT);
        let is_stalled = long_ago(self.started_at.get()) || long_ago(self.last_write.get());
        is_stalled && !self.is_response_expected(now) || self.malformed_overdue(now)
    }

    /// Whether malformed bytes have waited too long for the response to the request before them to be written.
    pub(super) fn malformed_overdue(&self, now: Instant) -> bool {
        self.malformed_at
            .get()
            .is_some_and(|at| now > at + ANSWER_TIMEOUT_IF_MALFORMED)
    }

    /// Whether the client has sent malformed bytes.
    pub(super) fn is_malformed(&self) -> bool {
        self.malformed.get()
    }

    /// Whether the client has sent malformed bytes and no request is being answered.
    pub(super) fn is_rejected(&self) -> bool {
        self.malformed.get() && !self.is_answering()
    }

    /// Whether a request that was passed to hyper has not been answered.
    fn is_answering(&self) -> bool {
        self.passed.get() > self.answered.get()
    }

    /// Whether a request that was passed to hyper has not been answered, or its response is not written in full.
    pub(super) fn is_responding(&self) -> bool {
        self.is_answering() || self.has_pending_response()
    }
}
