//! Accepts connections beside a predecessor, which shares the listening socket.
//!
//! Until this process can serve, connections are left to the predecessor, which may be able to: this process would only
//! reject their requests. A connection that the predecessor does not accept in time is accepted all the same.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};

use super::super::Net;

/// How long the predecessor may leave a connection in the queue before it counts as no longer accepting.
const PREDECESSOR_ACCEPT_LIMIT: Duration = Duration::from_millis(250);
/// The interval between two checks whether connections are to be left to the predecessor.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts connections, first those that the predecessor leaves.
#[derive(Default)]
pub(super) struct Acceptor {
    /// Since when the queue has had connections that the predecessor did not accept.
    queued_since: Option<Instant>,
}

impl Acceptor {
    /// Accepts the next connection that is not left to the predecessor.
    pub(super) async fn accept(
        &mut self,
        net: &Rc<Net>,
        listener: &TcpListener,
    ) -> io::Result<(TcpStream, SocketAddr)> {
        while net.hot_restart.has_predecessor() && !net.can_serve() {
            if self.is_predecessor_overdue(listener) {
                // The predecessor may have accepted the connection meanwhile.
                if let Ok(accepted) = timeout(Duration::ZERO, listener.accept()).await {
                    return accepted;
                }
            }
            sleep(CHECK_INTERVAL).await;
        }
        listener.accept().await
    }

    /// Whether the predecessor has not emptied the queue for longer than it may take.
    fn is_predecessor_overdue(&mut self, listener: &TcpListener) -> bool {
        let now = Instant::now();
        let queued_since = self.queued_since.unwrap_or(now);
        self.queued_since = has_queued_connection(listener).then_some(queued_since);
        let waited = self.queued_since.map(|since| now - since);
        waited.is_some_and(|waited| waited >= PREDECESSOR_ACCEPT_LIMIT)
    }
}

/// Whether a connection waits to be accepted.
fn has_queued_connection(listener: &TcpListener) -> bool {
    let mut sockets = [PollFd::new(listener, PollFlags::IN)];
    poll(&mut sockets, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
}
