//! The transport between a client's socket and hyper, which enforces request boundaries.
//!
//! Requests are passed to hyper one at a time: only once the head is complete, and only after the previous response is
//! written in full. The bytes themselves are never changed, at most `MAX_BUFFER_BYTES` are buffered, and the socket is
//! read even while a request is being answered, so that a disconnect is noticed.
//!
//! hyper alone is not enough. It drops `Content-Length` beside `Transfer-Encoding`, in either order and before the
//! service sees the head, and reads on after the body, which allows request smuggling. It waits for the end of a head
//! without a time limit, and with the next request in its buffer it does not notice that the client has disconnected.

mod framing;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

use super::coalesce::Scratch;
use super::connection_state::ConnectionState;
use super::memory::{Charge, Holder, Memory};
use super::transient::{has_hung_up, TransientRetry};
use framing::{parse_framing, Framing};

/// The largest request head, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 8 << 10;
/// The most bytes buffered for a connection: several heads, for clients that pipeline requests.
const MAX_BUFFER_BYTES: usize = 4 * MAX_HEAD_BYTES;
/// The most bytes that are read and discarded, both here and while a connection is closed. A client that sends more has
/// its connection closed with bytes unread.
pub(super) const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// How many bytes are buffered behind a request that is being answered while clients' input holds too much memory.
const SCARCE_BUFFER_BYTES: usize = 2 << 10;
/// How often a connection whose input is not read is checked for a disconnect.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A buffer above this size, in bytes, is freed once it is empty.
const RETAINED_BUFFER_BYTES: usize = 4 << 10;
/// The buffer space reserved before each read, in bytes.
const READ_CHUNK_BYTES: usize = 2 << 10;

/// The stream that hyper reads a client's requests from and writes the responses to.
pub(super) struct Reader {
    stream: Rc<RefCell<TcpStream>>,
    state: Rc<ConnectionState>,
    /// Bytes that were received and not yet passed to hyper.
    buffer: BytesMut,
    charge: Charge,
    /// How many bytes of `buffer` were searched for the end of a head.
    searched: usize,
    /// How many bytes of the current request are still to be passed to hyper; `u64::MAX` where its body is chunked.
    remaining: u64,
    discarded: usize,
    memory: Rc<Memory>,
    /// Waits for the next check of a connection whose input is not read.
    pause: Option<Pin<Box<Sleep>>>,
    read_retry: TransientRetry,
    write_retry: TransientRetry,
}

impl Reader {
    pub(super) fn new(
        stream: Rc<RefCell<TcpStream>>,
        state: Rc<ConnectionState>,
        memory: &Rc<Memory>,
    ) -> Self {
        Reader {
            stream,
            state,
            buffer: BytesMut::new(),
            charge: memory.charge(Holder::ClientInput, 0),
            searched: 0,
            remaining: 0,
            discarded: 0,
            memory: memory.clone(),
            pause: None,
            read_retry: TransientRetry::default(),
            write_retry: TransientRetry::default(),
        }
    }

    /// Parses the head at the start of the buffer if it may be complete. A parse costs the whole length of the head, so
    /// one that arrives byte by byte is not parsed again before an empty line.
    fn find_head(&mut self) -> Framing {
        let ends_head = |new: &[u8]| {
            new.windows(2).any(|w| w == b"\n\n") || new.windows(3).any(|w| w == b"\n\r\n")
        };
        let full = self.buffer.len() >= MAX_HEAD_BYTES;
        let may_be_complete = self.searched == 0
            || full
            || ends_head(&self.buffer[self.searched.saturating_sub(2)..]);
        self.searched = self.buffer.len();
        if may_be_complete {
            parse_framing(&self.buffer)
        } else {
            Framing::Incomplete
        }
    }

    /// Starts to pass the next request to hyper, if its head is complete and the previous response is written. An error
    /// ends the connection, and would cut off that response.
    fn start_request(&mut self) -> io::Result<()> {
        let state = &self.state;
        if self.buffer.is_empty() || state.is_responding() || self.remaining > 0 {
            return Ok(());
        }
        if state.request_starts() {
            self.searched = 0;
        }
        self.remaining = match self.find_head() {
            Framing::Incomplete => return Ok(()),
            Framing::Length(length) => length,
            Framing::Chunked => u64::MAX,
            Framing::Malformed => return Err(self.reject()),
        };
        // Bytes after the request that are not a request: the body is longer than its `Content-Length`.
        let following = usize::try_from(self.remaining)
            .ok()
            .and_then(|end| self.buffer.get(end..));
        if following.is_some_and(|f| !f.is_empty() && parse_framing(f) == Framing::Malformed) {
            return Err(self.reject());
        }
        self.searched = 0;
        self.state
            .close_after_response
            .set(self.remaining == u64::MAX);
        self.state.passed();
        Ok(())
    }

    /// Marks what was received as malformed; the error ends the connection even if a response is outstanding.
    fn reject(&self) -> io::Error {
        self.state.received_malformed();
        io::Error::new(io::ErrorKind::InvalidData, "malformed HTTP request")
    }

    /// Discards what follows the current request as malformed. That request may still be answered, for a limited time.
    fn reject_following(&mut self) {
        self.state.received_malformed_behind_request();
        self.discarded = self.buffer.len();
        self.buffer.clear();
        self.searched = 0;
    }

    /// Discards the bytes that follow the current request once the buffer is full, after which no other request can
    /// follow. Reading has to go on, as a disconnect is only noticed by reading; a client that sends more than
    /// [`MAX_DISCARDED_BYTES`] is disconnected.
    fn discard_excess(&mut self) -> io::Result<()> {
        if self.buffer.len() < MAX_BUFFER_BYTES && self.discarded == 0 {
            return Ok(());
        }
        self.state.close_after_response.set(true);
        self.discarded += self.buffer.len();
        self.buffer.clear();
        self.searched = 0;
        if self.discarded > MAX_DISCARDED_BYTES {
            return Err(self.reject());
        }
        Ok(())
    }

    /// Copies buffered bytes of the current request to hyper.
    fn fill(&mut self, buf: &mut ReadBuf<'_>) {
        let n = self
            .buffer
            .len()
            .min(buf.remaining())
            .min(usize::try_from(self.remaining).unwrap_or(usize::MAX));
        buf.put_slice(&self.buffer[..n]);
        self.buffer.advance(n);
        if self.remaining < u64::MAX {
            self.remaining -= n as u64;
        }
        if self.remaining == 0 {
            self.state.arrived();
        }
        if self.buffer.is_empty() && self.buffer.capacity() > RETAINED_BUFFER_BYTES {
            self.buffer = BytesMut::new();
            self.charge.resize(0);
        }
    }

    /// Waits until more input may be read behind the current request. `false` if the client has disconnected meanwhile,
    /// which is not noticed otherwise without reading.
    fn poll_may_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        while self.buffer.len() >= SCARCE_BUFFER_BYTES && !self.memory.can_read_ahead() {
            let pause = self
                .pause
                .get_or_insert_with(|| Box::pin(sleep(DISCONNECT_CHECK_INTERVAL)));
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
            if has_hung_up(&self.stream.borrow()) {
                return Poll::Ready(false);
            }
        }
        Poll::Ready(true)
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.state.is_malformed() && !self.state.is_responding() {
                return Poll::Ready(Err(self.reject()));
            }
            self.start_request()?;
            if self.remaining > 0 && !self.buffer.is_empty() {
                self.fill(buf);
                return Poll::Ready(Ok(()));
            }
            let is_responding = self.remaining == 0 && self.state.is_responding();
            if is_responding {
                // Bytes received now belong to the next request.
                if self.discarded == 0
                    && self.searched < self.buffer.len()
                    && self.find_head() == Framing::Malformed
                {
                    self.reject_following();
                }
                self.state.has_next.set(!self.buffer.is_empty());
                self.state.wake_when_flushed(cx.waker());
                self.discard_excess()?;
                if !ready!(self.poll_may_read_ahead(cx)) {
                    return Poll::Ready(Ok(()));
                }
            }
            let Reader {
                stream,
                buffer,
                charge,
                state,
                read_retry,
                ..
            } = &mut *self;
            buffer.reserve(READ_CHUNK_BYTES);
            charge.resize(buffer.capacity());
            let mut stream = stream.borrow_mut();
            if ready!(read_retry.poll(cx, |cx| pin!(stream.read_buf(buffer)).poll(cx)))? == 0 {
                return Poll::Ready(Ok(()));
            }
            state.received();
        }
    }
}

impl AsyncWrite for Reader {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Reader {
            stream,
            write_retry,
            ..
        } = &mut *self;
        let mut stream = stream.borrow_mut();
        let n = ready!(write_retry.poll(cx, |cx| Pin::new(&mut *stream).poll_write(cx, buf)))?;
        drop(stream);
        self.state.written();
        Poll::Ready(Ok(n))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write(cx, Scratch::new().coalesce(buffers))
    }

    /// Called by hyper once everything that it had to write is written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The response to a malformed request is written after hyper has finished with the connection.
        Poll::Ready(if self.state.is_rejected() {
            Ok(())
        } else {
            super::shutdown_write(&self.stream.borrow())
        })
    }
}
