//! An HTTP/1 connection to a worker or to discovery, with a count of the bytes written to its socket.
//!
//! Bytes are counted when the system takes them, not when hyper buffers them, so the count proves what cannot have
//! reached the peer. Dropping a connection closes its socket and frees its slot in the socket budget.

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Duration};

use super::super::coalesce::Scratch;
use super::super::transient::{is_transient, peek, TransientRetry};
use super::super::{shutdown_write, Net};
use super::client::Cancellation;
use super::deadline::DeadlineField;
use super::fault::is_local_fault;
use super::write_guard::{begin_deadline, WriteGuard};
use oakshed_core::facade::Micros;

/// The pause after a local fault, before jitter.
const LOCAL_FAULT_PAUSE: Duration = Duration::from_millis(10);

/// The size limit of hyper's read buffer for each connection, in bytes, which bounds the memory that response headers
/// can take and that an idle connection keeps.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// A place in the socket budget, which is freed on drop.
pub(super) struct SocketSlot(Rc<Cell<usize>>);

impl SocketSlot {
    pub(super) fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        SocketSlot(open.clone())
    }
}

impl Drop for SocketSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A socket, with the state that its users share with hyper's side of the connection.
pub(super) struct Socket {
    pub(super) stream: RefCell<TcpStream>,
    /// The number of bytes that the system has taken. A request can have arrived in full only if this has reached its
    /// end.
    pub(super) written: Cell<u64>,
    /// The check on the writes of the current request, until that is written in full.
    pub(super) write_guard: RefCell<Option<WriteGuard>>,
    /// The write guard has refused a write: nothing more is written on this connection.
    pub(super) is_write_denied: Cell<bool>,
    /// Hyper has read bytes since this was last cleared, which may be an update that is not applied yet.
    pub(super) has_unread_update: Cell<bool>,
    _slot: Option<SocketSlot>,
}

impl Socket {
    /// Peeks at the next byte: 1 if there is one, 0 at the end of the stream.
    pub(super) fn peek(&self) -> io::Result<usize> {
        peek(&self.stream.borrow())
    }

    /// Whether there are unread bytes in the socket's receive buffer. A transient failure of the check counts as yes.
    pub(super) fn may_have_unread_bytes(&self) -> bool {
        match self.peek() {
            Ok(unread) => unread > 0,
            Err(error) => is_transient(&error),
        }
    }
}

/// The stream that hyper reads from and writes to.
struct Io {
    socket: Rc<Socket>,
    read_retry: TransientRetry,
    write_retry: TransientRetry,
}

impl AsyncRead for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Io {
            socket, read_retry, ..
        } = &mut *self;
        let before = buf.filled().len();
        let mut stream = socket.stream.borrow_mut();
        let read = read_retry.poll(cx, |cx| Pin::new(&mut *stream).poll_read(cx, buf));
        socket
            .has_unread_update
            .set(socket.has_unread_update.get() || buf.filled().len() > before);
        read
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Io {
            socket,
            write_retry,
            ..
        } = &mut *self;
        let mut write_guard = socket.write_guard.borrow_mut();
        if let Some(write_guard) = &mut *write_guard {
            if socket.is_write_denied.get() || !ready!(write_guard.poll(socket.written.get(), cx)) {
                socket.is_write_denied.set(true);
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
        }
        let bytes = match &mut *write_guard {
            Some(write_guard) => write_guard.update_deadline(socket.written.get(), buf),
            None => Cow::Borrowed(buf),
        };
        let mut stream = socket.stream.borrow_mut();
        let n = ready!(write_retry.poll(cx, |cx| Pin::new(&mut *stream).poll_write(cx, &bytes)))?;
        socket.written.set(socket.written.get() + n as u64);
        let complete = write_guard.take_if(|write_guard| socket.written.get() >= write_guard.end);
        if let Some(write_guard) = complete {
            write_guard.complete();
        }
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

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown_write(&self.socket.stream.borrow()))
    }
}

/// The reason why a connection could not be opened.
#[derive(Debug, Error)]
pub(crate) enum ConnectionError {
    /// The TCP connection could not be established.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The HTTP handshake failed.
    #[error(transparent)]
    Handshake(#[from] hyper::Error),
}

/// An HTTP/1 connection, which carries one request at a time. Dropping it closes the socket.
pub(crate) struct Connection {
    pub(super) address: SocketAddr,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(super) socket: Rc<Socket>,
    task: JoinHandle<()>,
    /// How long the connection was idle before it was last taken from the pool; `None` if it is new.
    pub(super) idle: Option<Micros>,
}

impl Connection {
    /// Opens a connection. `slot` is its place in the socket budget; `None` if the connection is not counted.
    pub(super) async fn open(
        address: SocketAddr,
        slot: Option<SocketSlot>,
    ) -> Result<Connection, ConnectionError> {
        let stream = TcpStream::connect(address).await?;
        // Ignored on failure: without TCP_NODELAY the connection is slower, but works.
        _ = stream.set_nodelay(true);
        let socket = Rc::new(Socket {
            stream: RefCell::new(stream),
            written: Cell::new(0),
            write_guard: RefCell::default(),
            is_write_denied: Cell::new(false),
            has_unread_update: Cell::new(false),
            _slot: slot,
        });
        let io = TokioIo::new(Io {
            socket: socket.clone(),
            read_retry: TransientRetry::default(),
            write_retry: TransientRetry::default(),
        });
        let handshake = Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(io);
        let (sender, driver) = handshake.await?;
        let task = tokio::task::spawn_local(async move { _ = driver.await });
        Ok(Connection {
            address,
            sender,
            socket,
            task,
            idle: None,
        })
    }

    /// Sets up the write guard for the next request, which is `size` bytes long. `job` is the deadline to send and the
    /// cancellation to respect if the request starts a job. Returns the value of `Socket::written` at its end.
    pub(super) fn guard_request(
        &self,
        net: &Rc<Net>,
        to: &Rc<str>,
        size: u64,
        write_deadline: Micros,
        job: Option<(Micros, Rc<Cancellation>)>,
    ) -> u64 {
        let start = self.socket.written.get();
        let end = start + size;
        let (deadline, cancellation) = match job {
            Some((deadline, cancellation)) => (Some(DeadlineField::new(deadline)), cancellation),
            None => (None, Rc::default()),
        };
        let begin_deadline = begin_deadline(net.clock.now(), write_deadline);
        *self.socket.write_guard.borrow_mut() = Some(WriteGuard {
            net: net.clone(),
            to: to.clone(),
            address: self.address,
            start,
            end,
            begin_deadline,
            write_deadline,
            cancellation,
            deadline,
            yields_left: None,
            current_yield: None,
        });
        end
    }

    /// Opens a connection outside the socket budget. Retries for as long as it fails because of local faults.
    pub(crate) async fn dial(address: SocketAddr) -> Result<Connection, ConnectionError> {
        loop {
            match Connection::open(address, None).await {
                Err(ConnectionError::Connect(error)) if is_local_fault(&error) => {
                    sleep(LOCAL_FAULT_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
                }
                opened => return opened,
            }
        }
    }

    /// Whether an idle connection is closed or has unexpected data. The socket itself is checked too, because hyper may
    /// not have noticed yet that the peer has closed it, and a request written to it would count as sent.
    pub(crate) fn is_dead(&self) -> bool {
        self.sender.is_closed()
            || !self
                .socket
                .peek()
                .is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
