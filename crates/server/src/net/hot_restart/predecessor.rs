//! The predecessor's side of a hot restart: passes the listening socket and the state to one successor at a time.
//!
//! Each connection runs in a task of its own, with time limits for the greeting and for the message, so a process that
//! does not answer never delays requests.

use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::UnixStream;
use tracing::info;

use super::super::transient::{retry_until, RetryingStream};
use super::super::Net;
use super::error::HotRestartError;
use super::fingerprint::configuration_fingerprint;
use super::message::{Message, WarmingForm, DECLINED, HELLO, READY};
use super::{EXCHANGE_TIMEOUT, POLL_PERIOD};

/// How long the successor may take to read the message.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest line that is read from a connecting process, in bytes.
const MAX_LINE_LENGTH: u64 = 64;

/// Passes the socket and the state to the process that has connected, and returns when it has exited. Declines it if
/// its greeting is wrong, there is a successor already, or this process no longer accepts.
pub(super) async fn serve_successor(
    net: &Rc<Net>,
    link: UnixStream,
) -> Result<(), HotRestartError> {
    let mut link = BufReader::new(RetryingStream::new(link));
    let mut greeting = String::new();
    let mut limited = (&mut link).take(MAX_LINE_LENGTH);
    let read = tokio::time::timeout(EXCHANGE_TIMEOUT, limited.read_line(&mut greeting)).await;
    read.map_err(|_| HotRestartError::GreetingTimeout)??;
    let listener = net
        .hot_restart
        .listener
        .borrow()
        .clone()
        .filter(|_| greeting == HELLO && !net.hot_restart.has_successor.get());
    let Some(listener) = listener else {
        link.get_mut().write_all(DECLINED).await?;
        return Err(HotRestartError::Declined);
    };
    let state = &net.hot_restart;
    state.set(net, &state.has_successor, true);
    state.successor_ready.set(false);
    let outcome = pass_socket(net, link, &listener).await;
    state.set(net, &state.has_successor, false);
    outcome
}

/// Sends the socket and the message, then waits for the successor to report readiness and to exit.
async fn pass_socket(
    net: &Rc<Net>,
    mut link: BufReader<RetryingStream>,
    listener: &OwnedFd,
) -> Result<(), HotRestartError> {
    let text = message_text(net)?;
    let send = async {
        let stream = &link.get_ref().stream;
        let sent = stream.async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let fds = [listener.as_fd()];
            control.push(SendAncillaryMessage::ScmRights(&fds));
            let text = [IoSlice::new(text.as_bytes())];
            let send = || Ok(sendmsg(stream, &text, &mut control, SendFlags::NOSIGNAL)?);
            retry_until(Instant::now() + POLL_PERIOD, send)
        });
        let sent = sent.await?;
        link.get_mut().write_all(&text.as_bytes()[sent..]).await
    };
    let outcome = tokio::time::timeout(SEND_TIMEOUT, send).await;
    outcome.map_err(|_| HotRestartError::SendTimeout)??;
    info!("hot restart: the successor has the socket");
    let mut notice = String::new();
    (&mut link)
        .take(MAX_LINE_LENGTH)
        .read_line(&mut notice)
        .await?;
    if notice == READY {
        net.hot_restart.successor_ready.set(true);
        info!("hot restart: the successor is ready");
        // The successor sends nothing more: the read returns when it exits.
        _ = link.read(&mut [0; 1]).await;
    }
    info!("hot restart: the successor has exited");
    Ok(())
}

/// The text to send: a line with the body's length, then the body.
fn message_text(net: &Net) -> Result<String, HotRestartError> {
    let now = net.clock.now();
    let facade = net.facade.borrow();
    let list = net.discovery.endpoint_list.borrow().snapshot();
    // Older versions use any list that they get where lists are polled.
    let list = list.filter(|_| net.discovery.is_list_in_use());
    let message = Message {
        fingerprint: configuration_fingerprint(&net.config, net.discovery.address()),
        list_in_use: Some(list.is_some()),
        list,
        state: facade.handover_state(now).into(),
        warming: facade
            .warming_workers(now)
            .into_iter()
            .map(WarmingForm::from)
            .collect(),
        departed: facade.departed_workers(),
    };
    let body = serde_json::to_string(&message)?;
    Ok(format!("{}\n{body}", body.len()))
}
