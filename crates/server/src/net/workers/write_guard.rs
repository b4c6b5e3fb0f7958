//! The check, immediately before each write to a socket, whether the bytes of a request may still be written.
//!
//! Connecting may have taken long, the process may have been paused, or an update of the endpoint list may have arrived
//! in the same iteration of the event loop. Before the first byte the worker must still be eligible and the request not
//! cancelled; before every byte its deadline must not have passed.

use std::borrow::Cow;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::task::yield_now;

use super::super::Net;
use super::client::Cancellation;
use super::deadline::DeadlineField;
use super::eligible_address;
use oakshed_core::facade::{Micros, MAX_PROCESS_PAUSE};

/// How often a write yields to let an unread update of the endpoint list be read and applied, for which hyper and the
/// watch need several polls. Bounded, because only a part of the update may have arrived.
const MAX_YIELDS: u32 = 8;

/// How long after its client has given up an attempt may still begin, in microseconds.
const BEGIN_GRACE: Micros = 100_000;
/// The safety margin takes at most the remaining time divided by this, so that short deadlines leave time to begin.
const MARGIN_DIVISOR: Micros = 2;

/// The time by which an attempt made at `now` must begin: if the process is paused for `MAX_PROCESS_PAUSE` right after
/// it has checked the clock, the first byte is still written within `BEGIN_GRACE` of `write_deadline`.
pub(super) fn begin_deadline(now: Micros, write_deadline: Micros) -> Micros {
    let left = write_deadline.saturating_sub(now);
    write_deadline - (MAX_PROCESS_PAUSE.as_micros() - BEGIN_GRACE).min(left / MARGIN_DIVISOR)
}

/// The conditions for writing one request.
pub(super) struct WriteGuard {
    pub(super) net: Rc<Net>,
    /// The worker's name.
    pub(super) to: Rc<str>,
    pub(super) address: SocketAddr,
    /// The socket's byte count at the start of the request.
    pub(super) start: u64,
    /// The socket's byte count at the end of the request.
    pub(super) end: u64,
    /// The first byte must be written before this time.
    pub(super) begin_deadline: Micros,
    /// No byte is written from this time on.
    pub(super) write_deadline: Micros,
    /// A cancelled request is not begun.
    pub(super) cancellation: Rc<Cancellation>,
    /// The deadline header of a job; `None` for other calls, which are not counted as attempts either.
    pub(super) deadline: Option<DeadlineField>,
    /// How many times to yield before the first byte; `None` until that is determined.
    pub(super) yields_left: Option<u32>,
    pub(super) current_yield: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl WriteGuard {
    /// Whether the next byte may be written, given the socket's byte count.
    pub(super) fn poll(&mut self, written: u64, cx: &mut Context<'_>) -> Poll<bool> {
        let first = written == self.start;
        if first {
            // An update that has arrived counts as notified even if it is unread, so it is applied first. Checked once
            // for each request.
            let yields_needed = || {
                if self.net.workers.has_unread_update() {
                    MAX_YIELDS
                } else {
                    0
                }
            };
            let mut yields_left = self.yields_left.unwrap_or_else(yields_needed);
            self.yields_left = Some(yields_left);
            while yields_left > 0 {
                ready!(self
                    .current_yield
                    .get_or_insert_with(|| Box::pin(yield_now()))
                    .as_mut()
                    .poll(cx));
                yields_left -= 1;
                self.current_yield = None;
                self.yields_left = Some(yields_left);
            }
        }
        // The client's connection is checked last, as close to the write as possible.
        let is_eligible = || eligible_address(&self.net, &self.to) == Some(self.address);
        let may_begin = || is_eligible() && !self.cancellation.is_cancelled();
        let limit = if first {
            self.begin_deadline
        } else {
            self.write_deadline
        };
        Poll::Ready(self.net.clock.now() < limit && (!first || may_begin()))
    }

    /// Returns the bytes to write in place of `bytes`, given the socket's byte count: the deadline header is updated to
    /// the time that remains now.
    pub(super) fn update_deadline<'a>(&mut self, written: u64, bytes: &'a [u8]) -> Cow<'a, [u8]> {
        match &mut self.deadline {
            Some(field) => {
                field.update(self.net.clock.now(), (written - self.start) as usize, bytes)
            }
            None => Cow::Borrowed(bytes),
        }
    }

    /// Called when the request has been written in full; counts it if it is a job.
    pub(super) fn complete(self) {
        let written_attempts = &self.net.workers.written_attempts;
        written_attempts.set(written_attempts.get() + u64::from(self.deadline.is_some()));
    }
}
