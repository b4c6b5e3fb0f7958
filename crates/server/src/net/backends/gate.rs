//! The last look before the bytes of an attempt leave.
//!
//! It owns what is asked at its first byte and at each further one: however long the dial took, the process
//! stood still, or the list came in the same turn of the loop. It must never let out what is closed, or keep
//! anything waiting beyond its turns.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::task::yield_now;

use super::super::Net;
use super::open_address;
use oakshed_core::facade::Micros;

/// Turns of the loop that unread news of the list is given to be read and taken in: hyper and the watch hand
/// it to one another some times. Bounded, as half an answer may be all that has come.
const TURNS: u32 = 8;

/// What the bytes of one attempt have to pass.
pub(super) struct Gate {
    pub(super) net: Rc<Net>,
    pub(super) to: Rc<str>,
    pub(super) address: SocketAddr,
    /// How many bytes its connection had written before it, and where it ends.
    pub(super) start: u64,
    pub(super) end: u64,
    /// Nothing more leaves from then on.
    pub(super) by: Micros,
    /// Whoever it is for has gone: it does not begin any more.
    pub(super) gone: Rc<Cell<bool>>,
    /// It is a job's: counted once it is written whole.
    pub(super) job: bool,
    pub(super) turns: Option<u32>,
    pub(super) turn: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl Gate {
    /// Whether the next byte may leave, where the connection has written so many.
    pub(super) fn poll(&mut self, written: u64, cx: &mut Context<'_>) -> Poll<bool> {
        let first = written == self.start;
        if first {
            // Once for each attempt: the list may lie there unread, and counts as told.
            let unread = || if self.net.backends.has_news() { TURNS } else { 0 };
            let mut turns = self.turns.unwrap_or_else(unread);
            self.turns = Some(turns);
            while turns > 0 {
                ready!(self.turn.get_or_insert_with(|| Box::pin(yield_now())).as_mut().poll(cx));
                turns -= 1;
                (self.turn, self.turns) = (None, Some(turns));
            }
        }
        let begins = || !self.gone.get() && open_address(&self.net, &self.to) == Some(self.address);
        Poll::Ready(self.net.clock.now() < self.by && (!first || begins()))
    }

    /// It is written whole.
    pub(super) fn passed(self) {
        let whole = &self.net.backends.attempts;
        whole.set(whole.get() + u64::from(self.job));
    }
}
