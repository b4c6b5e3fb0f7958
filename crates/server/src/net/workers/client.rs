//! Cancellation of an attempt, and the check whether its client is still connected.
//!
//! The check queries the operating system: the state of the socket in the runtime dates from the last poll of the event
//! loop, and the process may have been paused since.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::{Rc, Weak};

use tokio::net::TcpStream;

use super::super::transient::{has_hung_up, is_transient, peek};

/// A weak reference to a client's connection, which does not keep it open.
#[derive(Clone)]
pub(crate) struct ClientConnection(Weak<RefCell<TcpStream>>);

impl ClientConnection {
    pub(crate) fn new(stream: &Rc<RefCell<TcpStream>>) -> Self {
        ClientConnection(Rc::downgrade(stream))
    }

    /// Whether the client has neither closed nor reset its connection, as the system knows it now. A client that has
    /// only shut down its sending side counts as gone, because over TCP that looks the same as a close.
    fn is_open(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return false;
        };
        let stream = stream.borrow();
        match peek(&stream) {
            Ok(0) => false,
            Ok(_) => !has_hung_up(&stream),
            // The peek failed for a transient reason; a hang-up can be detected all the same.
            Err(error) if is_transient(&error) => !has_hung_up(&stream),
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }
}

/// The cancellation state of an attempt: cancelled explicitly, or by its client's disconnect.
#[derive(Default)]
pub(super) struct Cancellation {
    cancelled: Cell<bool>,
    client: Option<ClientConnection>,
}

impl Cancellation {
    /// `client` is `None` for attempts that do not depend on a client's connection, as those of durable jobs.
    pub(super) fn new(client: Option<ClientConnection>) -> Self {
        Cancellation {
            cancelled: Cell::new(false),
            client,
        }
    }

    pub(super) fn cancel(&self) {
        self.cancelled.set(true);
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.cancelled.get() || self.client.as_ref().is_some_and(|client| !client.is_open())
    }
}
