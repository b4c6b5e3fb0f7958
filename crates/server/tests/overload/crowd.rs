//! A crowd of clients that hold a scheduler's resources, each on a connection that is opened again when it ends.

use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::workers::{BLANK_LINES, IN_PIECES, LARGE, UNFINISHED};

/// How long a client stays on a connection that the scheduler does not end.
const STAY: Duration = Duration::from_secs(6);
/// Before a connection is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(20);
/// Between the bytes of a client that writes slowly.
const BYTE_INTERVAL: Duration = Duration::from_millis(15);
/// The length of a body that is declared, and the part of it that comes.
const DECLARED_BYTES: usize = 65_000;
const SENT_BYTES: usize = 60_000;

/// What each client of a crowd does on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// A chunked body in chunks of one byte, many in one write, which does not end.
    OneByteChunks,
    /// The same, ended: a valid request.
    WholeBodyInChunks,
    /// Pipelined requests with large results, of which nothing is read.
    UnreadResponses,
    /// Pipelined requests with bodies, of which no response is read.
    PipelinedBodies,
    /// A large body that stops before its end.
    StalledBody,
    /// A head of many short fields, and a body that comes byte by byte.
    ManyFields,
    /// A head with more fields than are allowed.
    TooManyFields,
    /// A head that comes byte by byte.
    SlowHead,
    /// Requests whose worker stops within the line of the result.
    UnfinishedLines,
    /// One request with a large result, which is read; then the connection rests.
    Rest,
    /// Requests whose client leaves at once.
    Disconnect,
    /// Nothing is sent.
    Idle,
    /// Pipelined requests with large results, which come to the scheduler in chunks of one byte.
    ResultsInPieces,
    /// Pipelined requests whose results come after very many blank lines.
    BlankLines,
}

/// The behaviours that hold a client's own resources.
pub const ALL: [Behaviour; 12] = [
    Behaviour::OneByteChunks,
    Behaviour::WholeBodyInChunks,
    Behaviour::UnreadResponses,
    Behaviour::PipelinedBodies,
    Behaviour::StalledBody,
    Behaviour::ManyFields,
    Behaviour::TooManyFields,
    Behaviour::SlowHead,
    Behaviour::UnfinishedLines,
    Behaviour::Rest,
    Behaviour::Disconnect,
    Behaviour::Idle,
];

/// The behaviours whose results cost the scheduler processor time.
pub const COSTLY_RESULTS: [Behaviour; 2] = [Behaviour::ResultsInPieces, Behaviour::BlankLines];

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// An id that no request had before.
pub fn fresh_id(prefix: &str) -> String {
    format!("{prefix}-{}", LAST_ID.fetch_add(1, Ordering::Relaxed))
}

/// The head of a request up to the fields on its body.
pub fn head(class: &str, key: &str, id: &str) -> String {
    format!(
        "POST /{class}/{key} HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
         Req-Deadline-Ms: 5000\r\nIdempotency-Key: {id}\r\n"
    )
}

fn with_body(class: &str, key: &str, length: usize) -> Vec<u8> {
    let mut text = head(class, key, &fresh_id("crowd")).into_bytes();
    _ = write!(text, "Content-Length: {length}\r\n\r\n");
    text.resize(text.len() + length, b'b');
    text
}

fn one_byte_chunks(count: usize, end: &[u8]) -> Vec<u8> {
    let mut text = head("transfer", "k", &fresh_id("crowd")).into_bytes();
    text.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
    text.extend_from_slice(&b"1\r\nx\r\n".repeat(count));
    text.extend_from_slice(end);
    text
}

fn short_fields(count: usize) -> Vec<u8> {
    let mut text = head("transfer", "k", &fresh_id("crowd")).into_bytes();
    for number in 0..count {
        _ = write!(text, "a{number}:\r\n");
    }
    text
}

/// What a client writes at once.
fn first_write(behaviour: Behaviour) -> Vec<u8> {
    match behaviour {
        Behaviour::OneByteChunks => one_byte_chunks(9_000, b""),
        Behaviour::WholeBodyInChunks => one_byte_chunks(9_000, b"0\r\n\r\n"),
        Behaviour::UnreadResponses => (0..30)
            .flat_map(|_| with_body("transfer", LARGE, 4))
            .collect(),
        Behaviour::PipelinedBodies => (0..60)
            .flat_map(|_| with_body("new-plate", "k", 4_000))
            .collect(),
        Behaviour::StalledBody => {
            let mut text = with_body("transfer", "k", DECLARED_BYTES);
            text.truncate(text.len() - (DECLARED_BYTES - SENT_BYTES));
            text
        }
        Behaviour::ManyFields => {
            let mut text = short_fields(88);
            text.extend_from_slice(b"Content-Length: 4000\r\n\r\n");
            text
        }
        Behaviour::TooManyFields => {
            let mut text = short_fields(1_100);
            text.extend_from_slice(b"\r\n");
            text
        }
        Behaviour::SlowHead | Behaviour::Idle => Vec::new(),
        Behaviour::UnfinishedLines => with_body("transfer", UNFINISHED, 20_000),
        Behaviour::Rest => with_body("new-plate", LARGE, 20_000),
        Behaviour::Disconnect => (0..20)
            .flat_map(|_| with_body("transfer", LARGE, 2_000))
            .collect(),
        Behaviour::ResultsInPieces => (0..50)
            .flat_map(|_| with_body("new-plate", IN_PIECES, 4))
            .collect(),
        Behaviour::BlankLines => (0..50)
            .flat_map(|_| with_body("new-plate", BLANK_LINES, 4))
            .collect(),
    }
}

/// Runs one connection to its end.
async fn run_connection(address: SocketAddr, behaviour: Behaviour) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    _ = stream.set_nodelay(true);
    let text = first_write(behaviour);
    let (mut reader, mut writer) = stream.split();
    match behaviour {
        Behaviour::Disconnect => {
            writer.write_all(&text).await?;
            sleep(Duration::from_millis(30)).await;
            Ok(())
        }
        Behaviour::UnreadResponses | Behaviour::PipelinedBodies => {
            _ = timeout(STAY, writer.write_all(&text)).await;
            // Nothing is read, so the end is not noticed.
            sleep(STAY).await;
            Ok(())
        }
        _ => {
            let send = async {
                writer.write_all(&text).await?;
                if matches!(behaviour, Behaviour::SlowHead | Behaviour::ManyFields) {
                    let slow = head("transfer", "k", &fresh_id("crowd"));
                    for byte in slow.as_bytes() {
                        writer.write_all(&[*byte]).await?;
                        sleep(BYTE_INTERVAL).await;
                    }
                }
                sleep(STAY).await;
                std::io::Result::Ok(())
            };
            let receive = async {
                let mut buffer = [0; 4_096];
                while reader.read(&mut buffer).await? > 0 {}
                std::io::Result::Ok(())
            };
            tokio::select! { end = send => end, end = receive => end }
        }
    }
}

/// Clients that behave alike, until the value is dropped.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts a number of clients; each follows the next of `behaviours`.
    pub fn start(address: SocketAddr, clients: usize, behaviours: &[Behaviour]) -> Crowd {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let behaviours = behaviours.to_vec();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(async {
                for client in 0..clients {
                    let behaviour = behaviours[client % behaviours.len()];
                    tokio::spawn(async move {
                        loop {
                            _ = run_connection(address, behaviour).await;
                            sleep(REOPEN_PAUSE).await;
                        }
                    });
                }
                while !stopped.load(Ordering::SeqCst) {
                    sleep(REOPEN_PAUSE).await;
                }
            });
        });
        Crowd {
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}
