//! Hot restart: a running scheduler passes its listening socket and its state to the process that replaces it.
//!
//! The successor connects to a Unix socket in a shared directory and receives the listening socket, the endpoint list,
//! the names of workers that have left it, and the estimates, backoffs and warm-up times of the predecessor. The
//! connection stays open while both processes run, so that each notices when the other exits. Meanwhile both accept
//! connections, and divide the limits on descriptors and memory between them.
//!
//! Every wait for the other process is bounded or runs in a task of its own, so that a process that does not answer
//! delays neither a start nor requests. State from a process with a different configuration is ignored.

mod directory;
mod error;
mod fingerprint;
mod message;
mod predecessor;
mod successor;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream as BlockingStream;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tracing::{info, warn};

use super::transient::RetryingStream;
use super::Net;
pub(super) use directory::SharedDirectory;
use error::HotRestartError;
use message::READY;
use predecessor::serve_successor;
pub(super) use successor::take_over;

/// The time limit of a start for the whole exchange with the predecessor, and of the predecessor for the greeting.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Simultaneous connections to the predecessor's socket; further ones are closed.
const MAX_CONNECTIONS: usize = 4;
/// The interval between two checks of whether this process can serve, and the pause after a failed `accept`.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Whether a predecessor and a successor of this process are running, and who is ready.
#[derive(Default)]
pub(crate) struct HotRestart {
    has_predecessor: Cell<bool>,
    /// The predecessor has not been notified yet that this process can serve.
    predecessor_unnotified: Cell<bool>,
    /// A duplicate of the listening socket for the successor; `None` once this process no longer accepts.
    listener: RefCell<Option<Rc<OwnedFd>>>,
    /// A successor is connected and has been offered the socket.
    has_successor: Cell<bool>,
    /// The successor has reported that it can serve.
    successor_ready: Cell<bool>,
}

impl HotRestart {
    /// The number of processes among which descriptors and memory are divided, including this one.
    pub(super) fn process_count(&self) -> usize {
        1 + usize::from(self.has_predecessor.get()) + usize::from(self.has_successor.get())
    }

    /// Whether the predecessor still runs.
    pub(super) fn has_predecessor(&self) -> bool {
        self.has_predecessor.get()
    }

    /// Whether a successor is connected and can serve.
    pub(super) fn has_ready_successor(&self) -> bool {
        self.has_successor.get() && self.successor_ready.get()
    }

    /// Whether this process may report readiness: it has no predecessor, or has notified it.
    pub(super) fn may_report_ready(&self) -> bool {
        !self.predecessor_unnotified.get()
    }

    /// Drops the duplicate of the listening socket, so that no successor gets it once this process stops accepting.
    pub(super) fn drop_listener(&self) {
        self.listener.take();
    }

    /// Sets `has_predecessor` or `has_successor`, and adapts the share of the limits.
    fn set(&self, net: &Net, flag: &Cell<bool>, value: bool) {
        flag.set(value);
        let processes = self.process_count();
        net.memory.set_process_count(processes);
        net.executed_ids.find_others();
        net.facade.borrow_mut().set_process_count(processes);
    }
}

/// Replaces the predecessor, if there is one, and then waits for a successor, which receives `listener`.
pub(super) fn start(
    net: &Rc<Net>,
    directory: Rc<SharedDirectory>,
    listener: OwnedFd,
    predecessor: Option<BlockingStream>,
) {
    net.hot_restart.listener.replace(Some(Rc::new(listener)));
    let Some(link) = predecessor else {
        tokio::task::spawn_local(await_successor(net.clone(), directory));
        return;
    };
    let state = &net.hot_restart;
    net.memory.on_takeover();
    state.set(net, &state.has_predecessor, true);
    state.predecessor_unnotified.set(true);
    let net = net.clone();
    tokio::task::spawn_local(async move {
        if let Err(e) = replace_predecessor(&net, &directory, link).await {
            warn!(error = %e, "hot restart: the predecessor cannot be notified: {e}");
        }
        let state = &net.hot_restart;
        state.predecessor_unnotified.set(false);
        state.set(&net, &state.has_predecessor, false);
    });
}

/// Notifies the predecessor once this process can serve, and returns when the predecessor has exited.
async fn replace_predecessor(
    net: &Rc<Net>,
    directory: &Rc<SharedDirectory>,
    link: BlockingStream,
) -> Result<(), HotRestartError> {
    link.set_nonblocking(true)?;
    let mut link = RetryingStream::new(UnixStream::from_std(link)?);
    // The predecessor sends nothing more: a read returns when it exits, with end of file or an error.
    let mut unused = [0; 1];
    let can_serve = tokio::select! {
        () = until_can_serve(net) => true,
        _ = link.read(&mut unused) => false,
    };
    tokio::task::spawn_local(await_successor(net.clone(), directory.clone()));
    // A failed write means that the predecessor has already exited.
    let notified = can_serve && link.write_all(READY.as_bytes()).await.is_ok();
    net.hot_restart.predecessor_unnotified.set(false);
    if notified {
        _ = link.read(&mut unused).await;
    }
    info!("hot restart: the predecessor has exited");
    Ok(())
}

/// Returns once this process can serve.
async fn until_can_serve(net: &Net) {
    while !net.can_serve() {
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Waits for successors to connect. After each connection ends, this process binds its socket in the directory again,
/// because the other process may have put its own there.
async fn await_successor(net: Rc<Net>, directory: Rc<SharedDirectory>) {
    let connections = Rc::new(Cell::new(0));
    let connection_ended = Rc::new(tokio::sync::Notify::new());
    loop {
        let socket = match directory.claim() {
            Ok(socket) => socket,
            Err(e) => {
                warn!(error = %e, "hot restart: {e}; no successor can take over from this process");
                return;
            }
        };
        loop {
            let accepted = tokio::select! {
                accepted = socket.accept() => accepted,
                () = connection_ended.notified() => break,
            };
            let Ok((link, _)) = accepted else {
                tokio::time::sleep(POLL_PERIOD).await;
                continue;
            };
            if connections.get() >= MAX_CONNECTIONS {
                continue;
            }
            connections.set(connections.get() + 1);
            let net = net.clone();
            let connections = connections.clone();
            let connection_ended = connection_ended.clone();
            tokio::task::spawn_local(async move {
                if let Err(e) = serve_successor(&net, link).await {
                    warn!(error = %e, "hot restart: {e}");
                }
                connections.set(connections.get() - 1);
                connection_ended.notify_one();
            });
        }
    }
}
