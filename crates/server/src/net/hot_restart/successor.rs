//! The successor's side of a hot restart: at its start it asks the predecessor for the listening socket and the state.
//!
//! If the predecessor does not answer in time or sends anything unexpected, the process starts without it. The
//! state of a predecessor with another configuration is ignored; only its socket and the names of workers that it no
//! longer listed are used.

use std::io::{self, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::ops::Range;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream as BlockingStream;
use std::rc::Rc;
use std::time::Instant;

use rustix::net::{recvmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use tracing::{info, warn};

use super::super::transient::{retry_at_start, retry_until};
use super::directory::SharedDirectory;
use super::error::HotRestartError;
use super::fingerprint::configuration_fingerprint;
use super::message::{Message, HELLO, MAX_BODY_LENGTH};
use super::{EXCHANGE_TIMEOUT, POLL_PERIOD};
use crate::config::Config;
use crate::list::Answer;
use oakshed_core::facade::{HandoverState, WarmingWorker};

/// The size of the read buffer, in bytes.
const READ_SIZE: usize = 16 << 10;
/// The longest first line that is taken for a length, in bytes.
const MAX_LENGTH_LINE: usize = 32;

/// The socket, state and connection received from the predecessor.
pub(in super::super) struct Inherited {
    pub listener: TcpListener,
    pub list: Option<Answer>,
    /// The predecessor acts on the list, and so may this process.
    pub is_list_in_use: bool,
    pub state: HandoverState,
    pub warming: Vec<WarmingWorker>,
    pub departed: Vec<Rc<str>>,
    pub link: BlockingStream,
}

/// Takes over from the predecessor; `None` if there is none or the exchange fails. While `is_other_running` says that
/// another process of the scheduler runs, its socket is waited for. Blocks the thread, as this process does not serve yet.
pub(in super::super) fn take_over(
    directory: &SharedDirectory,
    config: &Config,
    is_other_running: impl Fn() -> bool,
) -> Option<Inherited> {
    let until = Instant::now() + EXCHANGE_TIMEOUT;
    let mut exchange = request_socket(directory, config);
    // The socket may be that of another successor, which has ended before its predecessor has noticed.
    while exchange.as_ref().is_err_and(has_no_listener)
        && is_other_running()
        && Instant::now() < until
    {
        std::thread::sleep(POLL_PERIOD);
        exchange = request_socket(directory, config);
    }
    match exchange {
        Ok((inherited, same_configuration)) => {
            let remark = if same_configuration {
                ""
            } else {
                "; it has another configuration, its state is ignored"
            };
            info!("hot restart: took over the socket of the predecessor{remark}");
            Some(inherited)
        }
        // No process listens in the directory: an ordinary start.
        Err(e) if has_no_listener(&e) => None,
        Err(e) => {
            warn!(error = %e, "hot restart: {e}; starting without a predecessor");
            None
        }
    }
}

/// Whether no process listens in the directory.
fn has_no_listener(error: &HotRestartError) -> bool {
    let HotRestartError::Io(error) = error else {
        return false;
    };
    matches!(
        error.kind(),
        io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused
    )
}

/// Runs the whole exchange. Also returns whether the predecessor has the same configuration.
fn request_socket(
    directory: &SharedDirectory,
    config: &Config,
) -> Result<(Inherited, bool), HotRestartError> {
    let until = Instant::now() + EXCHANGE_TIMEOUT;
    let mut link = connect(directory, until)?;
    send_hello(&mut link, until)?;
    let (descriptor, message) = receive(&mut link, until)?;
    let listener = usable_listener(descriptor, config, until)?;
    let same_configuration =
        message.fingerprint == configuration_fingerprint(config, config.discovery);
    let mut inherited = Inherited {
        listener,
        list: None,
        is_list_in_use: false,
        state: HandoverState::default(),
        warming: vec![],
        // Operators may exclude any worker that this scheduler ever listed, whatever its configuration was.
        departed: message.departed,
        link,
    };
    if same_configuration {
        // An older version may act on a pushed list that was never confirmed.
        let in_use = message.list_in_use;
        let in_use = in_use.unwrap_or(config.settings.list_on_request);
        inherited.is_list_in_use = in_use && message.list.is_some();
        inherited.list = message.list;
        inherited.state = message.state.into();
        inherited.warming = message
            .warming
            .into_iter()
            .map(WarmingWorker::from)
            .collect();
    }
    Ok((inherited, same_configuration))
}

fn connect(directory: &SharedDirectory, until: Instant) -> Result<BlockingStream, HotRestartError> {
    let socket = retry_at_start(|| {
        socket2::Socket::new(socket2::Domain::UNIX, socket2::Type::STREAM, None)
    })?;
    // A blocking connect would wait while the predecessor's accept queue is full.
    socket.set_nonblocking(true)?;
    let path = socket2::SockAddr::unix(directory.socket_path())?;
    retry_until(until, || socket.connect(&path))?;
    socket.set_nonblocking(false)?;
    let link = BlockingStream::from(OwnedFd::from(socket));
    link.set_write_timeout(Some(EXCHANGE_TIMEOUT))?;
    link.set_read_timeout(Some(EXCHANGE_TIMEOUT))?;
    Ok(link)
}

fn send_hello(link: &mut BlockingStream, until: Instant) -> io::Result<()> {
    let mut unsent = HELLO.as_bytes();
    while !unsent.is_empty() {
        let written = retry_until(until, || link.write(unsent))?;
        unsent = &unsent[written..];
    }
    Ok(())
}

/// Receives the message, and the descriptor that is attached to its first bytes.
fn receive(
    link: &mut BlockingStream,
    until: Instant,
) -> Result<(Option<OwnedFd>, Message), HotRestartError> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut buffer = vec![0; READ_SIZE];
    let received = retry_until(until, || {
        let parts = &mut [IoSliceMut::new(&mut buffer)];
        Ok(recvmsg(
            &*link,
            parts,
            &mut control,
            RecvFlags::CMSG_CLOEXEC,
        )?)
    })?;
    let descriptor = control.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    let mut text = buffer[..received.bytes].to_vec();
    let body = loop {
        if let Some(body) = complete_body(&text)? {
            break body;
        }
        if Instant::now() > until {
            return Err(HotRestartError::MessageTimeout);
        }
        match retry_until(until, || link.read(&mut buffer))? {
            0 => return Err(HotRestartError::PredecessorEnded),
            n => text.extend_from_slice(&buffer[..n]),
        }
    };
    Ok((descriptor, serde_json::from_slice(&text[body])?))
}

/// The range of the message body in `text`, after the line with its length; `None` until all of it has arrived.
fn complete_body(text: &[u8]) -> Result<Option<Range<usize>>, HotRestartError> {
    let Some(line_end) = text.iter().position(|byte| *byte == b'\n') else {
        if text.len() > MAX_LENGTH_LINE {
            return Err(HotRestartError::NoMessage);
        }
        return Ok(None);
    };
    let length: usize = std::str::from_utf8(&text[..line_end])
        .ok()
        .and_then(|digits| digits.parse().ok())
        .ok_or(HotRestartError::VersionMismatch)?;
    if length > MAX_BODY_LENGTH {
        return Err(HotRestartError::MessageTooLong);
    }
    let start = line_end + 1;
    let end = start + length;
    Ok((text.len() >= end).then_some(start..end))
}

/// Turns the descriptor into a listener, provided that it listens on the configured address.
fn usable_listener(
    descriptor: Option<OwnedFd>,
    config: &Config,
    until: Instant,
) -> Result<TcpListener, HotRestartError> {
    let socket = socket2::Socket::from(descriptor.ok_or(HotRestartError::NoSocket)?);
    let address = retry_until(until, || socket.local_addr())?.as_socket();
    if address != Some(config.listen) || !socket.is_listener()? {
        return Err(HotRestartError::WrongSocket);
    }
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
