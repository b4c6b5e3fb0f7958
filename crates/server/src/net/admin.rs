//! The operators' address: each connection carries one command line and one response, and is then closed.
//!
//! Its connections have a reserve of file descriptors, so that commands are answered however many clients are
//! connected. At the limit, connections that have sent no command yet are closed in favour of new ones. Jobs are not
//! accepted here.

use std::cell::{Cell, RefCell};
use std::fmt::Write as _;
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

/// File descriptors that are reserved for operators.
pub(super) const MAX_SOCKETS: usize = 16;
/// The most open connections. Of the other descriptors one is the listener's and one a connection's that is accepted at
/// the limit; the rest allow for connections that are being closed.
const MAX_CONNECTIONS: usize = MAX_SOCKETS - 4;
/// The longest command, in bytes; worker ids are shorter.
const MAX_COMMAND_BYTES: usize = 1 << 10;
/// How long a connection may stay open in all.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// How long writing a response may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay before accepting is retried after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds the operators' address.
pub(super) fn listen(address: SocketAddr) -> Result<TcpListener, ServeError> {
    front::listen(address, false).map_err(ServeError::Operators)
}

/// An open connection.
struct Connection {
    has_sent: Cell<bool>,
    close: Notify,
}

/// The open connections, in the order in which they were accepted.
#[derive(Default)]
struct Connections {
    open: RefCell<Vec<Rc<Connection>>>,
    closed: Notify,
}

impl Connections {
    /// Returns once there is capacity for one more connection. At the limit it closes the oldest connection that has
    /// sent nothing, or the oldest of all if each has sent something.
    async fn evict_beyond_limit(&self) {
        while self.open.borrow().len() >= MAX_CONNECTIONS {
            let evicted = self
                .open
                .borrow()
                .iter()
                .min_by_key(|connection| connection.has_sent.get())
                .cloned();
            if let Some(connection) = evicted {
                connection.close.notify_one();
            }
            self.closed.notified().await;
        }
    }

    fn add(&self) -> Rc<Connection> {
        let connection = Rc::new(Connection {
            has_sent: Cell::new(false),
            close: Notify::new(),
        });
        self.open.borrow_mut().push(connection.clone());
        connection
    }

    fn remove(&self, connection: &Rc<Connection>) {
        self.open
            .borrow_mut()
            .retain(|open| !Rc::ptr_eq(open, connection));
        self.closed.notify_one();
    }
}

/// Accepts and serves connections until the process exits.
pub(super) async fn run(net: Rc<Net>, listener: TcpListener) {
    let connections = Rc::new(Connections::default());
    let mut errors = 0_u64;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                _ = stream.set_nodelay(true);
                connections.evict_beyond_limit().await;
                spawn_connection(&net, &connections, stream);
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
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection(net: &Rc<Net>, connections: &Rc<Connections>, mut stream: TcpStream) {
    let connection = connections.add();
    let net = net.clone();
    let connections = connections.clone();
    tokio::task::spawn_local(async move {
        tokio::select! {
            _ = tokio::time::timeout(CONNECTION_TIMEOUT, serve_connection(&net, &connection, &mut stream)) => {}
            () = connection.close.notified() => {}
        }
        drop(stream);
        connections.remove(&connection);
    });
}

/// Reads one command and writes its response.
async fn serve_connection(
    net: &Rc<Net>,
    connection: &Connection,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut command = Vec::new();
    let response = loop {
        let mut chunk = [0; 256];
        let n = stream.read(&mut chunk).await?;
        connection.has_sent.set(true);
        command.extend_from_slice(&chunk[..n]);
        // The command ends with a line feed, or where the operator shuts down the sending side.
        let end = command
            .iter()
            .position(|b| *b == b'\n')
            .or_else(|| (n == 0).then_some(command.len()));
        match end {
            _ if command.len() > MAX_COMMAND_BYTES => break "NO command too long\n".to_owned(),
            Some(end) => break respond(net, &command[..end]),
            None => {}
        }
    };
    if let Ok(written) =
        tokio::time::timeout(RESPONSE_TIMEOUT, stream.write_all(response.as_bytes())).await
    {
        written?;
        front::lingering_close(stream, b"", None).await;
    }
    Ok(())
}

/// Executes a command and returns its response.
fn respond(net: &Rc<Net>, command: &[u8]) -> String {
    let Ok(command) = std::str::from_utf8(command) else {
        return "NO command is not UTF-8\n".to_owned();
    };
    let words: Vec<&str> = command.split_ascii_whitespace().collect();
    let outcome = match words.as_slice() {
        ["readyz"] => ready(net),
        ["telemetry"] => return telemetry(net),
        ["memory"] => return memory(net),
        ["exclude", id] => exclude(net, id),
        ["include", id] => include(net, id),
        [] => Err(CommandError::Empty),
        ["exclude" | "include"] => Err(CommandError::MissingId),
        ["readyz" | "telemetry" | "memory" | "exclude" | "include", ..] => {
            Err(CommandError::TooManyArguments)
        }
        _ => Err(CommandError::Unknown),
    };
    match outcome {
        Ok(confirmation) => format!("YES {confirmation}\n"),
        Err(error) => format!("NO {error}\n"),
    }
}

/// Why a command is answered with `NO`; the text is sent to the operator.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum CommandError {
    #[error("empty command")]
    Empty,
    #[error("missing worker id")]
    MissingId,
    #[error("too many arguments")]
    TooManyArguments,
    #[error("unknown command; expected readyz, telemetry, exclude ID or include ID")]
    Unknown,
    #[error("shutting down")]
    ShuttingDown,
    #[error("the predecessor has not been notified yet")]
    PredecessorNotNotified,
    #[error("no usable worker is ready")]
    NoUsableWorker,
    #[error(transparent)]
    Exclusion(#[from] ExclusionError),
}

/// Whether a request that arrived now could be served.
fn ready(net: &Net) -> Result<&'static str, CommandError> {
    if net.shutdown.is_closing() {
        return Err(CommandError::ShuttingDown);
    }
    if !net.hot_restart.may_report_ready() {
        return Err(CommandError::PredecessorNotNotified);
    }
    if !net.can_serve() {
        return Err(CommandError::NoUsableWorker);
    }
    Ok("ready")
}

/// Excludes a worker from new attempts.
fn exclude(net: &Net, id: &str) -> Result<&'static str, CommandError> {
    let mut facade = net.facade.borrow_mut();
    let confirmation = net.exclusions.exclude(&mut facade, net.clock.now(), id)?;
    Ok(confirmation)
}

/// Ends a worker's exclusion.
fn include(net: &Net, id: &str) -> Result<&'static str, CommandError> {
    let mut facade = net.facade.borrow_mut();
    let confirmation = net.exclusions.include(&mut facade, net.clock.now(), id)?;
    Ok(confirmation)
}

/// Returns the metrics.
fn telemetry(net: &Net) -> String {
    let members = net.facade.borrow().members();
    net.request_counts.render(
        &net.config.names.classes,
        net.workers.written_attempts(),
        members,
    ) + "END\n"
}

/// Returns what holds memory, and why requests were answered with errors.
fn memory(net: &Net) -> String {
    let mut text = String::new();
    net.memory.render(&mut text);
    _ = writeln!(
        text,
        "edge_router.memory.abandoned_answers:{}|c",
        net.counters.workers.no_memory.get()
    );
    _ = writeln!(
        text,
        "edge_router.memory.executed_ids:{}|g",
        net.executed_ids.bytes()
    );
    net.counters.request_errors.render(&mut text);
    text + "END\n"
}
