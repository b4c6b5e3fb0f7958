//! The operators' address: a line in, an answer out, and the connection ends.
//!
//! It owns the form of the calls and the connections that bring them, out of a reserve of descriptors of
//! their own. It must never take a job, hold an answer back, or let callers that say nothing keep others
//! out.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tracing::warn;

use super::error::ServeError;
use super::exclusions::ExclusionError;
use super::{front, Net};

/// Descriptors that are reserved for operators.
pub(super) const SOCKETS: usize = 16;
/// Connections at once: one descriptor listens, one accepts the next caller of a full house, the rest
/// are on their way from closed to gone.
const CALLERS: usize = SOCKETS - 4;
/// The longest call; ids of workers are shorter.
const LONGEST: usize = 1 << 10;
/// How long a call may take to come, and its answer to be taken.
const CALL: Duration = Duration::from_secs(10);
const ANSWER: Duration = Duration::from_secs(2);
/// How long to wait where accepting fails.
const PAUSE: Duration = Duration::from_millis(20);

/// Binds the operators' address.
pub(super) fn listen(address: SocketAddr) -> Result<TcpListener, ServeError> {
    front::listen(address, false).map_err(ServeError::Operators)
}

/// A caller whose call has not come yet.
struct Caller {
    /// It has sent something.
    spoke: Cell<bool>,
    leave: Notify,
}

/// The callers whose calls are open, in the order in which they came.
#[derive(Default)]
struct Callers {
    open: RefCell<Vec<Rc<Caller>>>,
    /// One of them has ended.
    ended: Notify,
}

impl Callers {
    /// Returns once one more may come. A full house gives up who has said nothing, longest first, then who has said
    /// half.
    async fn evict_beyond_limit(&self) {
        while self.open.borrow().len() >= CALLERS {
            let least = self
                .open
                .borrow()
                .iter()
                .min_by_key(|caller| caller.spoke.get())
                .cloned();
            if let Some(caller) = least {
                caller.leave.notify_one();
            }
            self.ended.notified().await;
        }
    }

    fn add(&self) -> Rc<Caller> {
        let caller = Rc::new(Caller {
            spoke: Cell::new(false),
            leave: Notify::new(),
        });
        self.open.borrow_mut().push(caller.clone());
        caller
    }

    fn remove(&self, caller: &Rc<Caller>) {
        self.open
            .borrow_mut()
            .retain(|open| !Rc::ptr_eq(open, caller));
        self.ended.notify_one();
    }
}

/// Serves operators until the program ends.
pub(super) async fn run(net: Rc<Net>, listener: TcpListener) {
    let callers = Rc::new(Callers::default());
    let mut errors = 0_u64;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                _ = stream.set_nodelay(true);
                callers.evict_beyond_limit().await;
                spawn_caller(&net, &callers, stream);
            }
            Err(e) => {
                errors += 1;
                if errors.is_power_of_two() {
                    warn!(
                        errors,
                        error = %e,
                        "operators' address: accept failed {errors} times: {e}"
                    );
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn spawn_caller(net: &Rc<Net>, callers: &Rc<Callers>, mut stream: TcpStream) {
    let caller = callers.add();
    let net = net.clone();
    let callers = callers.clone();
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = tokio::time::timeout(CALL, serve_connection(&net, &caller, &mut stream)) => {}
            () = caller.leave.notified() => {}
        }
        drop(stream);
        callers.remove(&caller);
    });
}

/// One call and its answer.
async fn serve_connection(
    net: &Rc<Net>,
    caller: &Caller,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut call = Vec::new();
    let answer = loop {
        let mut piece = [0; 256];
        let n = stream.read(&mut piece).await?;
        caller.spoke.set(true);
        call.extend_from_slice(&piece[..n]);
        // A call may also end with the connection's writing side.
        let end = call
            .iter()
            .position(|b| *b == b'\n')
            .or_else(|| (n == 0).then_some(call.len()));
        match end {
            _ if call.len() > LONGEST => break "NO too long\n".to_owned(),
            Some(end) => break answer(net, &call[..end]),
            None => {}
        }
    };
    if let Ok(written) = tokio::time::timeout(ANSWER, stream.write_all(answer.as_bytes())).await {
        written?;
        front::lingering_close(stream, b"", None).await;
    }
    Ok(())
}

fn answer(net: &Rc<Net>, call: &[u8]) -> String {
    let Ok(call) = std::str::from_utf8(call) else {
        return "NO not text\n".to_owned();
    };
    let words: Vec<&str> = call.split_ascii_whitespace().collect();
    let outcome = match words.as_slice() {
        ["readyz"] => ready(net),
        ["telemetry"] => return telemetry(net),
        ["exclude", id] => exclude(net, id),
        ["include", id] => include(net, id),
        [] => Err(CallError::Empty),
        ["exclude" | "include"] => Err(CallError::NoId),
        ["readyz" | "telemetry" | "exclude" | "include", ..] => Err(CallError::TooManyWords),
        _ => Err(CallError::Unknown),
    };
    match outcome {
        Ok(confirmation) => format!("YES {confirmation}\n"),
        Err(error) => format!("NO {error}\n"),
    }
}

/// Why a call is answered with NO; the text is the answer to the operator.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum CallError {
    #[error("empty call")]
    Empty,
    #[error("no id")]
    NoId,
    #[error("too many words")]
    TooManyWords,
    #[error("unknown call; there are readyz, telemetry, exclude ID, include ID")]
    Unknown,
    #[error("stopping")]
    Stopping,
    #[error("the process before is not told yet")]
    PredecessorNotNotified,
    #[error("no worker is ready that may be used")]
    NoUsableWorker,
    #[error(transparent)]
    Exclusion(#[from] ExclusionError),
}

/// Whether requests that come now can be served.
fn ready(net: &Net) -> Result<&'static str, CallError> {
    if net.shutdown.is_closing() {
        return Err(CallError::Stopping);
    }
    if !net.hot_restart.may_report_ready() {
        return Err(CallError::PredecessorNotNotified);
    }
    if !net.can_serve() {
        return Err(CallError::NoUsableWorker);
    }
    Ok("ready")
}

/// Excludes a worker from what is new.
fn exclude(net: &Net, id: &str) -> Result<&'static str, CallError> {
    let mut facade = net.facade.borrow_mut();
    let confirmation = net.exclusions.exclude(&mut facade, net.clock.now(), id)?;
    Ok(confirmation)
}

/// Ends a worker's exclusion.
fn include(net: &Net, id: &str) -> Result<&'static str, CallError> {
    let mut facade = net.facade.borrow_mut();
    let confirmation = net.exclusions.include(&mut facade, net.clock.now(), id)?;
    Ok(confirmation)
}

/// The operators' figures.
fn telemetry(net: &Net) -> String {
    let members = net.facade.borrow().members();
    net.request_counts.render(
        &net.config.names.classes,
        net.workers.written_attempts(),
        members,
    ) + "END
"
}
