//! Retries of system calls that fail transiently: interrupted by a signal, or for lack of buffers, memory or file
//! descriptors.
//!
//! The error of a failed connection is never treated as transient. Repeated failures are retried after a delay, so that
//! they do not cause a busy loop.

use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::{sleep, Sleep};

/// The delay between retries on an open socket.
const RETRY_DELAY: Duration = Duration::from_millis(1);

/// Whether an error of a call on an open socket is temporary and leaves the connection intact.
pub(super) fn is_transient(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(errno, Some(Errno::INTR | Errno::NOBUFS | Errno::NOMEM))
}

/// Whether an error at startup may be temporary: the system is short of a resource, or this process is while it runs
/// beside its predecessor.
fn is_transient_at_start(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    is_transient(error) || matches!(errno, Some(Errno::NFILE | Errno::MFILE | Errno::AGAIN))
}

/// How long a call is retried at startup.
const STARTUP_RETRY_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay between retries at startup.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Retries a blocking call at startup while its error may be temporary.
///
/// # Errors
///
/// Returns the last error if it is permanent, or if the call did not succeed within `STARTUP_RETRY_TIMEOUT`.
pub fn retry_at_start<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + STARTUP_RETRY_TIMEOUT;
    loop {
        match call() {
            Err(error) if is_transient_at_start(&error) && Instant::now() < until => {
                std::thread::sleep(STARTUP_RETRY_DELAY);
            }
            result => return result,
        }
    }
}

/// Retries a blocking call on an open socket while it fails transiently, at the latest until the given time.
pub(super) fn retry_until<T>(
    until: Instant,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if is_transient(&error) && Instant::now() < until => {
                std::thread::sleep(RETRY_DELAY);
            }
            result => return result,
        }
    }
}

/// Returns 1 if the socket has unread bytes and 0 at the end of the stream; fails with `WouldBlock` if there is
/// neither.
pub(super) fn peek(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}

/// Whether the peer has closed its sending side. Also detects a close that follows unread bytes, of which a peek shows
/// only the bytes.
pub(super) fn has_hung_up(stream: &TcpStream) -> bool {
    let hang_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut sockets = [PollFd::new(stream, hang_up)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut sockets, Some(&no_wait)).is_ok() && sockets[0].revents().intersects(hang_up)
}

/// The retry state of one direction of a connection.
#[derive(Default)]
pub(super) struct TransientRetry {
    has_failed: bool,
    delay: Option<Pin<Box<Sleep>>>,
}

impl TransientRetry {
    /// Polls a call. After the first transient failure the call is retried at once, and after each further one in a row
    /// with a delay.
    pub(super) fn poll<T>(
        &mut self,
        cx: &mut Context<'_>,
        mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        loop {
            if let Some(delay) = &mut self.delay {
                ready!(delay.as_mut().poll(cx));
                self.delay = None;
            }
            match call(cx) {
                Poll::Ready(Err(error)) if is_transient(&error) => {
                    if self.has_failed {
                        self.delay = Some(Box::pin(sleep(RETRY_DELAY)));
                    }
                    self.has_failed = true;
                }
                result => {
                    self.has_failed = false;
                    return result;
                }
            }
        }
    }
}

/// A Unix socket whose reads and writes are retried where they fail transiently.
pub(super) struct RetryingStream {
    pub(super) stream: UnixStream,
    read_retry: TransientRetry,
    write_retry: TransientRetry,
}

impl RetryingStream {
    pub(super) fn new(stream: UnixStream) -> RetryingStream {
        RetryingStream {
            stream,
            read_retry: TransientRetry::default(),
            write_retry: TransientRetry::default(),
        }
    }
}

impl AsyncRead for RetryingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let RetryingStream {
            stream, read_retry, ..
        } = &mut *self;
        read_retry.poll(cx, |cx| Pin::new(&mut *stream).poll_read(cx, buf))
    }
}

impl AsyncWrite for RetryingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let RetryingStream {
            stream,
            write_retry,
            ..
        } = &mut *self;
        write_retry.poll(cx, |cx| Pin::new(&mut *stream).poll_write(cx, buf))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
