//! Closes an accepted connection without losing the response that was written last.
//!
//! Closing a socket with unread bytes resets the connection, which can destroy a response that is still in transit. So
//! after the last write the sending side is shut down, and input is read and discarded for a bounded time until the
//! client closes too. Connections of clients and of operators are closed this way.

use std::io;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

use super::super::reader::MAX_DISCARDED_BYTES;
use super::super::shutdown_write;
use super::super::transient::is_transient;

/// The longest time for which input is discarded before the connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// The delay before a read or write is retried after a transient error.
const RETRY_DELAY: Duration = Duration::from_millis(1);

/// Writes `final_response`, shuts down the sending side, then discards input until the client closes the connection or
/// the time is over, at `by` at the latest. A client whose request is discarded sees the connection end without a
/// response and can send the request again elsewhere.
pub(crate) async fn lingering_close(
    stream: &TcpStream,
    final_response: &[u8],
    by: Option<Instant>,
) {
    let limit = Instant::now() + LINGER_TIMEOUT;
    let close = async {
        write_all(stream, final_response).await;
        // Fails if the client has disconnected meanwhile; there is nothing left to shut down then.
        _ = shutdown_write(stream);
        discard_input(stream).await;
    };
    _ = tokio::time::timeout_at(by.map_or(limit, |by| by.min(limit)), close).await;
}

/// Writes all bytes, or as many as possible before the connection fails.
async fn write_all(stream: &TcpStream, mut bytes: &[u8]) {
    while !bytes.is_empty() && stream.writable().await.is_ok() {
        match stream.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(e) if is_transient(&e) => sleep(RETRY_DELAY).await,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Reads and discards input until its end, an error, or the limit on discarded bytes.
async fn discard_input(stream: &TcpStream) {
    let mut buffer = vec![0; 16 << 10];
    let mut remaining = MAX_DISCARDED_BYTES;
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(n) if (1..remaining).contains(&n) => remaining -= n,
            Err(e) if is_transient(&e) => sleep(RETRY_DELAY).await,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}
