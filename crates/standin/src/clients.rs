//! Clients and operators: raw calls, so that tests send exactly what they mean to; and waiting for conditions.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::message::Message;

/// How long a test waits for a condition before it fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until something holds.
///
/// # Panics
/// Panics when it does not hold within [`PATIENCE`].
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "never came: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sends raw text on a new connection; nothing where no complete answer came.
#[must_use]
pub fn send_raw(address: SocketAddr, text: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    Message::read(&mut BufReader::new(stream))
}

/// Sends raw text on an open connection and reads the answer.
///
/// # Panics
/// Panics when the connection breaks or no answer comes in time.
pub fn send_on(stream: &mut TcpStream, text: &str) -> Message {
    stream.write_all(text.as_bytes()).expect("written");
    Message::read(&mut BufReader::new(stream)).expect("an answer")
}

/// Sends pieces of an operator's call and reads the answer to its end.
///
/// # Panics
/// Panics when the connection cannot be made or breaks.
#[must_use]
pub fn call_in(at: SocketAddr, pieces: &[&[u8]], end: bool) -> String {
    let mut stream = TcpStream::connect(at).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    stream.set_nodelay(true).expect("set");
    for piece in pieces {
        _ = stream.write_all(piece);
    }
    if end {
        stream.shutdown(std::net::Shutdown::Write).expect("ended");
    }
    let mut text = Vec::new();
    _ = std::io::Read::read_to_end(&mut stream, &mut text);
    String::from_utf8(text).expect("text")
}

/// One call of an operator, and its answer.
#[must_use]
pub fn call(at: SocketAddr, line: &str) -> String {
    call_in(at, &[line.as_bytes(), b"\n"], false)
}

/// A request in the platform's form.
#[must_use]
pub fn request(class: &str, id: &str) -> String {
    let key = if class == "new-plate" {
        "Idempotency-Key: 5c0f\r\n"
    } else {
        ""
    };
    format!(
        "POST /{class} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: storholt-bilar\r\n\
         Req-Deadline-Ms: 5000\r\nReq-Extra: slots=1\r\n{key}Content-Length: 4\r\n\r\nbody"
    )
}
