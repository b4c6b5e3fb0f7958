//! The predecessor's side: it donates its listening socket and what it knows to one successor at a time.
//!
//! It must never stall the serving for a caller that does not answer.

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
use super::{READY_CHECK_PERIOD, WAIT};

/// How long the successor may take to read the message.
const TAKE: Duration = Duration::from_secs(2);
/// The longest line that is read from a caller, in bytes.
const LONGEST_LINE: u64 = 64;

/// Donates the socket and what is known to one caller, unless there is a successor, and returns at that one's end.
pub(super) async fn answer_caller(net: &Rc<Net>, link: UnixStream) -> Result<(), HotRestartError> {
    let mut link = BufReader::new(RetryingStream::new(link));
    let mut greeting = String::new();
    let mut hello = (&mut link).take(LONGEST_LINE);
    let read = tokio::time::timeout(WAIT, hello.read_line(&mut greeting)).await;
    read.map_err(|_| HotRestartError::CallerTimeout)??;
    let listener = net
        .hot_restart
        .listener
        .borrow()
        .clone()
        .filter(|_| greeting == HELLO && !net.hot_restart.successor.get());
    let Some(listener) = listener else {
        link.get_mut().write_all(DECLINED).await?;
        return Err(HotRestartError::CallerDeclined);
    };
    let state = &net.hot_restart;
    state.set(net, &state.successor, true);
    state.successor_ready.set(false);
    let outcome = donate(net, link, &listener).await;
    state.set(net, &state.successor, false);
    outcome
}

/// Sends the socket and the message, and waits for the successor to be ready and for its end.
async fn donate(
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
            retry_until(Instant::now() + READY_CHECK_PERIOD, send)
        });
        let sent = sent.await?;
        link.get_mut().write_all(&text.as_bytes()[sent..]).await
    };
    let taken = tokio::time::timeout(TAKE, send).await;
    taken.map_err(|_| HotRestartError::DonationTimeout)??;
    info!("hot restart: the successor has the socket");
    let mut notice = String::new();
    (&mut link)
        .take(LONGEST_LINE)
        .read_line(&mut notice)
        .await?;
    if notice == READY {
        net.hot_restart.successor_ready.set(true);
        info!("hot restart: the successor is ready");
        // Nothing more comes but its end.
        _ = link.read(&mut [0; 1]).await;
    }
    info!("hot restart: the successor has exited");
    Ok(())
}

/// The message: a line with its length, and its body.
fn message_text(net: &Net) -> Result<String, HotRestartError> {
    let now = net.clock.now();
    let facade = net.facade.borrow();
    let message = Message {
        fingerprint: configuration_fingerprint(&net.config, net.discovery.address()),
        list: net.discovery.endpoint_list.borrow().snapshot(),
        state: facade.handover_state(now).into(),
        warming: facade
            .warming_workers(now)
            .into_iter()
            .map(WarmingForm::from)
            .collect(),
    };
    let body = serde_json::to_string(&message)?;
    Ok(format!("{}\n{body}", body.len()))
}
