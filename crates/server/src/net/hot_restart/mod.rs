//! Hot restart: a predecessor donates its listening socket and what it knows to its successor.
//!
//! It owns which processes share this scheduler's resources, and the connection by which each knows that the other
//! lives. `directory` owns the shared directory, `message` the form of what is passed on, `fingerprint` what two
//! configurations are compared by, `successor` the side that takes over, `predecessor` the side that donates. It must
//! never stall a start or the serving for a process that does not answer, believe what does not fit, or remove what is
//! another process's.

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
use predecessor::answer_caller;
pub(super) use successor::take_over;

/// How long a start waits for the predecessor in all, and the predecessor for a line of a caller.
const WAIT: Duration = Duration::from_secs(1);
/// Callers at once; further ones are rejected.
const CALLERS: usize = 4;
/// Between two checks whether this process can serve.
const READY_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// The processes that share this scheduler's resources with this one.
#[derive(Default)]
pub(crate) struct HotRestart {
    /// There is a predecessor.
    predecessor: Cell<bool>,
    /// The predecessor has not been notified yet that this process can serve.
    predecessor_unnotified: Cell<bool>,
    /// What a successor is given, for as long as this process accepts.
    listener: RefCell<Option<Rc<OwnedFd>>>,
    /// A successor has the socket.
    successor: Cell<bool>,
    /// The successor can serve.
    successor_ready: Cell<bool>,
}

impl HotRestart {
    /// Processes that share the descriptors and the memory, this one included.
    pub(super) fn process_count(&self) -> usize {
        1 + usize::from(self.predecessor.get()) + usize::from(self.successor.get())
    }

    /// Whether a successor can serve in this one's place.
    pub(super) fn has_ready_successor(&self) -> bool {
        self.successor.get() && self.successor_ready.get()
    }

    /// Whether this process may be sent requests in place of its predecessor.
    pub(super) fn replaces_predecessor(&self) -> bool {
        !self.predecessor_unnotified.get()
    }

    /// This process accepts no more, and donates its socket to none.
    pub(super) fn stop_donating(&self) {
        self.listener.take();
    }

    fn set(&self, net: &Net, which: &Cell<bool>, there: bool) {
        which.set(there);
        net.facade.borrow_mut().share(self.process_count());
    }
}

/// Takes the place of the predecessor, if there is one, and awaits a successor.
/// `listener` is what the successor is given.
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
    state.set(net, &state.predecessor, true);
    state.predecessor_unnotified.set(true);
    let net = net.clone();
    tokio::task::spawn_local(async move {
        if let Err(e) = replace_predecessor(&net, &directory, link).await {
            warn!(error = %e, "hot restart: the predecessor cannot be notified: {e}");
        }
        let state = &net.hot_restart;
        state.predecessor_unnotified.set(false);
        state.set(&net, &state.predecessor, false);
    });
}

/// Notifies the predecessor once this process can serve, and learns of its end by that of the connection.
async fn replace_predecessor(
    net: &Rc<Net>,
    directory: &Rc<SharedDirectory>,
    link: BlockingStream,
) -> Result<(), HotRestartError> {
    link.set_nonblocking(true)?;
    let mut link = RetryingStream::new(UnixStream::from_std(link)?);
    while !net.can_serve() {
        tokio::time::sleep(READY_CHECK_PERIOD).await;
    }
    tokio::task::spawn_local(await_successor(net.clone(), directory.clone()));
    // A predecessor that has ended meanwhile need not be notified.
    let notified = link.write_all(READY.as_bytes()).await;
    net.hot_restart.predecessor_unnotified.set(false);
    if notified.is_ok() {
        // Returns at the predecessor's end, with or without an error.
        _ = link.read(&mut [0; 1]).await;
    }
    info!("hot restart: the predecessor has exited");
    Ok(())
}

/// Waits for a successor. Where one ends without taking over, this process claims its place again, as the other may
/// have claimed it.
async fn await_successor(net: Rc<Net>, directory: Rc<SharedDirectory>) {
    let callers = Rc::new(Cell::new(0));
    let again = Rc::new(tokio::sync::Notify::new());
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
                () = again.notified() => break,
            };
            let Ok((link, _)) = accepted else {
                tokio::time::sleep(READY_CHECK_PERIOD).await;
                continue;
            };
            if callers.get() >= CALLERS {
                continue;
            }
            callers.set(callers.get() + 1);
            let net = net.clone();
            let callers = callers.clone();
            let again = again.clone();
            tokio::task::spawn_local(async move {
                if let Err(e) = answer_caller(&net, link).await {
                    warn!(error = %e, "hot restart: {e}");
                }
                callers.set(callers.get() - 1);
                again.notify_one();
            });
        }
    }
}
