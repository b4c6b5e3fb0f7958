//! Classifies errors of accept(2) and backs off after them.
//!
//! No error ends the accept loop. If this process stays out of descriptors, idle connections are closed to free some;
//! connections in use are left open.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use rustix::io::Errno;
use tracing::warn;

use super::super::Net;
use super::clients::Clients;

/// The delay after the first error; it doubles with each consecutive error.
const INITIAL_DELAY: Duration = Duration::from_millis(1);
const MAX_DELAY: Duration = Duration::from_millis(20);
/// Keeps the shift of `INITIAL_DELAY` from overflowing.
const MAX_DOUBLINGS: u32 = 5;
/// Up to this number of consecutive errors, failed connections cause no delay. The limit prevents a busy loop on a
/// persistent error.
const MAX_WITHOUT_DELAY: u32 = 16;
/// From this number of consecutive errors on, running out of descriptors closes an idle connection.
const ERRORS_BEFORE_CLOSING: u32 = 3;

/// The cause of an error of accept(2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptError {
    /// The pending connection failed, or a signal interrupted the call; the next call may succeed.
    Connection,
    /// The system is out of descriptors or memory, or did not permit the call. This process can only wait.
    System,
    /// This process has reached its limit on descriptors.
    ProcessLimit,
}

impl AcceptError {
    fn of(error: &io::Error) -> AcceptError {
        match error.raw_os_error().map(Errno::from_raw_os_error) {
            Some(
                Errno::INTR
                | Errno::CONNABORTED
                | Errno::PROTO
                | Errno::NOPROTOOPT
                | Errno::OPNOTSUPP
                | Errno::NETDOWN
                | Errno::NETUNREACH
                | Errno::NONET
                | Errno::HOSTDOWN
                | Errno::HOSTUNREACH,
            ) => AcceptError::Connection,
            Some(Errno::MFILE) => AcceptError::ProcessLimit,
            _ => AcceptError::System,
        }
    }
}

/// Exponential backoff over the errors since the last accepted connection.
#[derive(Default)]
pub(super) struct AcceptBackoff {
    consecutive_errors: u32,
}

impl AcceptBackoff {
    /// Called after each accepted connection.
    pub(super) fn reset(&mut self) {
        self.consecutive_errors = 0;
    }

    /// Counts an error and sleeps for the backoff delay. If this process stays out of descriptors, also closes an idle
    /// connection.
    pub(super) async fn on_error(&mut self, net: &Rc<Net>, clients: &Clients, error: &io::Error) {
        let kind = AcceptError::of(error);
        let previous_errors = self.consecutive_errors;
        self.consecutive_errors = previous_errors.saturating_add(1);
        if kind == AcceptError::Connection && previous_errors < MAX_WITHOUT_DELAY {
            return;
        }
        net.counters.clients.accept_errors.increment();
        let errors = net.counters.clients.accept_errors.get();
        if errors.is_power_of_two() {
            warn!(errors, %error, "accept failed {errors} times: {error}");
        }
        let delay = INITIAL_DELAY * (1 << previous_errors.min(MAX_DOUBLINGS));
        tokio::time::sleep(delay.min(MAX_DELAY)).await;
        // Connections to workers go first: they can be reopened, whereas a client may be about to use its own.
        let out_of_descriptors =
            kind == AcceptError::ProcessLimit && self.consecutive_errors >= ERRORS_BEFORE_CLOSING;
        if out_of_descriptors && !net.workers.close_longest_idle() {
            clients.close_idle(net.clock.now());
        }
    }
}
