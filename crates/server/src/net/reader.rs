//! The transport between a client's socket and hyper, which enforces request boundaries.
//!
//! Requests are passed to hyper one at a time: only once the head is complete, and only after the previous request has
//! been answered. The bytes themselves are never changed, at most `MAX_BUFFER_BYTES` are buffered, and the socket is
//! read even while a request is being answered, so that a disconnect is noticed.
//!
//! hyper alone is not enough. It drops `Content-Length` beside `Transfer-Encoding`, in either order and before the
//! service sees the head, and reads on after the body, which allows request smuggling. It waits for the end of a head
//! without a time limit, and with the next request in its buffer it does not notice that the client has disconnected.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use httparse::{Header, Request, Status};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::transient::TransientRetry;

/// The largest request head, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 8 << 10;
/// The most bytes buffered for a connection: several heads, for clients that pipeline requests.
const MAX_BUFFER_BYTES: usize = 4 * MAX_HEAD_BYTES;
/// The most header fields in a head, which is also the limit of hyper.
const MAX_HEADER_FIELDS: usize = 100;
/// The most bytes that are read and discarded, both here and while a connection is closed. A client that sends more has
/// its connection closed with bytes unread.
pub(super) const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// The buffer space reserved before each read, in bytes.
const READ_CHUNK_BYTES: usize = 2 << 10;
/// How long a request may take to arrive from its first byte; the first request starts with the connection.
pub(super) const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(2_400);
/// How long a request may still take to be answered once malformed bytes have followed it: the client must get an error
/// or the end of the connection within 3 s.
const ANSWER_TIMEOUT_IF_MALFORMED: Duration = Duration::from_millis(1_500);
/// A transfer in which no byte was received or sent for this long counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The state of a connection that its [`Reader`], below hyper, and the service, above hyper, share.
pub(super) struct ConnectionState {
    /// When the request that has not arrived in full started.
    started_at: Cell<Option<Instant>>,
    /// When its last byte so far was received, if any was.
    last_byte_at: Cell<Option<Instant>>,
    /// How many requests were passed to hyper, at least in part.
    passed: Cell<u64>,
    answered: Cell<u64>,
    /// When bytes of a response that is not written in full were last written, or when it was ready.
    last_write: Cell<Option<Instant>>,
    /// The client has sent bytes that are not a valid request.
    pub malformed: Cell<bool>,
    /// When such bytes were found behind a request that is still being answered.
    malformed_at: Cell<Option<Instant>>,
    /// No other request can follow the current one on this connection.
    pub close_after_response: Cell<bool>,
    answer_waker: RefCell<Option<Waker>>,
}

impl ConnectionState {
    pub(super) fn new() -> Self {
        ConnectionState {
            started_at: Cell::new(Some(Instant::now())),
            last_byte_at: Cell::new(None),
            passed: Cell::new(0),
            answered: Cell::new(0),
            last_write: Cell::new(None),
            malformed: Cell::new(false),
            malformed_at: Cell::new(None),
            close_after_response: Cell::new(false),
            answer_waker: RefCell::new(None),
        }
    }

    /// Notes that the service has answered: the next request may be passed to hyper.
    pub(super) fn answered(&self) {
        self.last_write.set(Some(Instant::now()));
        self.answered.set(self.answered.get() + 1);
        if let Some(waker) = self.answer_waker.take() {
            waker.wake();
        }
    }

    /// Notes that the current request has arrived in full.
    pub(super) fn arrived(&self) {
        self.started_at.set(None);
        self.last_byte_at.set(None);
    }

    /// `None` unless a request has arrived in part; otherwise whether it is still arriving rather than stalled.
    pub(super) fn partial_request(&self, now: Instant) -> Option<bool> {
        self.last_byte_at.get().map(|at| now < at + STALL_TIMEOUT)
    }

    /// `None` unless a response is not written in full; otherwise whether it makes progress rather than being stalled.
    pub(super) fn pending_response(&self, now: Instant) -> Option<bool> {
        self.last_write.get().map(|at| now < at + STALL_TIMEOUT)
    }

    /// Whether a request is arriving or a response is being written, and neither is stalled.
    pub(super) fn makes_progress(&self, now: Instant) -> bool {
        self.partial_request(now) == Some(true) || self.pending_response(now) == Some(true)
    }

    /// Whether a request has not arrived within [`ARRIVAL_TIMEOUT`], the client has read nothing of a response for as
    /// long, or malformed bytes have waited too long for the request before them.
    pub(super) fn overdue(&self, now: Instant) -> bool {
        let long_ago = |since: Option<Instant>| since.is_some_and(|at| now > at + ARRIVAL_TIMEOUT);
        long_ago(self.started_at.get())
            || long_ago(self.last_write.get())
            || self.malformed_overdue(now)
    }

    /// Whether malformed bytes have waited too long for the request before them to be answered.
    pub(super) fn malformed_overdue(&self, now: Instant) -> bool {
        self.malformed_at
            .get()
            .is_some_and(|at| now > at + ANSWER_TIMEOUT_IF_MALFORMED)
    }

    /// Whether the client has sent malformed bytes and no request is being answered.
    pub(super) fn is_rejected(&self) -> bool {
        self.malformed.get() && !self.is_answering()
    }

    /// Whether a request that was passed to hyper has not been answered.
    fn is_answering(&self) -> bool {
        self.passed.get() > self.answered.get()
    }
}

/// How the end of a buffered request is determined.
#[derive(Debug, PartialEq)]
enum Framing {
    /// The head is not complete yet.
    Incomplete,
    /// A request of this many bytes, head and body.
    Length(u64),
    Chunked,
    /// Not a request, or one whose length is ambiguous.
    Malformed,
}

/// Parses the head at the start of the buffer.
fn parse_framing(buffer: &[u8]) -> Framing {
    // All methods are upper case. Anything else, such as the excess of a body that is too long, is rejected at once, as
    // the end of a head might never come.
    if buffer
        .first()
        .is_some_and(|b| !b.is_ascii_uppercase() && !b"\r\n".contains(b))
    {
        return Framing::Malformed;
    }
    let mut fields = [const { MaybeUninit::uninit() }; MAX_HEADER_FIELDS];
    let mut no_fields = [];
    let mut request = Request::new(&mut no_fields);
    let head_length = match request.parse_with_uninit_headers(buffer, &mut fields) {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(Status::Partial) if buffer.len() < MAX_HEAD_BYTES => return Framing::Incomplete,
        _ => return Framing::Malformed,
    };
    let fields_named = |name: &'static str| {
        request
            .headers
            .iter()
            .filter(move |h: &&Header| h.name.eq_ignore_ascii_case(name))
            .map(|h| h.value)
    };
    let mut lengths = fields_named("content-length");
    let mut codings = fields_named("transfer-encoding");
    match (lengths.next(), lengths.next(), codings.next()) {
        (None, _, None) => Framing::Length(head_length as u64),
        (None, _, Some(_)) => Framing::Chunked,
        (Some(length), None, None) => {
            let digits = std::str::from_utf8(length)
                .ok()
                .filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
            let body = digits.and_then(|t| t.parse::<u64>().ok());
            body.and_then(|body| body.checked_add(head_length as u64))
                .map_or(Framing::Malformed, Framing::Length)
        }
        _ => Framing::Malformed,
    }
}

/// The stream that hyper reads a client's requests from and writes the responses to.
pub(super) struct Reader {
    stream: Rc<RefCell<TcpStream>>,
    state: Rc<ConnectionState>,
    /// Bytes that were received and not yet passed to hyper.
    buffer: BytesMut,
    /// How many bytes of `buffer` were searched for the end of a head.
    searched: usize,
    /// How many bytes of the current request are still to be passed to hyper; `u64::MAX` where its body is chunked.
    remaining: u64,
    discarded: usize,
    read_retry: TransientRetry,
    write_retry: TransientRetry,
}

impl Reader {
    pub(super) fn new(stream: Rc<RefCell<TcpStream>>, state: Rc<ConnectionState>) -> Self {
        Reader {
            stream,
            state,
            buffer: BytesMut::new(),
            searched: 0,
            remaining: 0,
            discarded: 0,
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

    /// Starts to pass the next request to hyper, if its head is complete and the previous request is answered.
    fn start_request(&mut self) -> io::Result<()> {
        let state = &self.state;
        if self.buffer.is_empty() || state.is_answering() || self.remaining > 0 {
            return Ok(());
        }
        if state.started_at.get().is_none() {
            state.started_at.set(Some(Instant::now()));
            state.last_byte_at.set(Some(Instant::now()));
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
        self.state.passed.set(self.state.passed.get() + 1);
        Ok(())
    }

    /// Marks what was received as malformed; the error ends the connection even if a response is outstanding.
    fn reject(&self) -> io::Error {
        self.state.malformed.set(true);
        io::Error::new(io::ErrorKind::InvalidData, "malformed HTTP request")
    }

    /// Discards what follows the current request as malformed. That request may still be answered, for a limited time.
    fn reject_following(&mut self) {
        self.state.malformed.set(true);
        self.state.malformed_at.set(Some(Instant::now()));
        self.state.close_after_response.set(true);
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
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            self.start_request()?;
            if self.remaining > 0 && !self.buffer.is_empty() {
                self.fill(buf);
                return Poll::Ready(Ok(()));
            }
            let awaiting_answer = self.remaining == 0 && self.state.is_answering();
            if awaiting_answer {
                // Bytes received now belong to the next request.
                if self.discarded == 0
                    && self.searched < self.buffer.len()
                    && self.find_head() == Framing::Malformed
                {
                    self.reject_following();
                }
                *self.state.answer_waker.borrow_mut() = Some(cx.waker().clone());
                self.discard_excess()?;
            }
            let Reader {
                stream,
                buffer,
                state,
                read_retry,
                ..
            } = &mut *self;
            buffer.reserve(READ_CHUNK_BYTES);
            let mut stream = stream.borrow_mut();
            if ready!(read_retry.poll(cx, |cx| pin!(stream.read_buf(buffer)).poll(cx)))? == 0 {
                return Poll::Ready(Ok(()));
            }
            state.last_byte_at.set(Some(Instant::now()));
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
        self.state.last_write.set(Some(Instant::now()));
        Poll::Ready(Ok(n))
    }

    /// Called by hyper once everything that it had to write is written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.last_write.set(None);
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

#[cfg(test)]
mod tests;
