//! Receives the body of a request into one buffer of its own.
//!
//! hyper hands out each piece of a body as a slice of an 8 KiB read buffer, which stays allocated for as long as the slice
//! is used, and reads into a new one meanwhile. The pieces are therefore copied: a body takes its own size, however small
//! its pieces are.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use super::super::connection_state::ARRIVAL_TIMEOUT;
use super::super::forwarded_request::Reservation;
use super::super::request_error::RequestError;
use super::super::Net;

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// By how much the buffer of a body of unknown length grows, in bytes.
const GROWTH_BYTES: usize = 4 << 10;
/// How many pieces a body may have, however small they are.
const FREE_PIECES: usize = 512;
/// The least mean size of the pieces beyond that, in bytes: each piece takes about as much processor time as the next.
const MIN_MEAN_PIECE_BYTES: usize = 16;
/// How long a body may take to arrive. Shorter than the time for the whole request, so that the client gets a response
/// before its connection is closed as overdue.
const BODY_TIMEOUT: Duration = ARRIVAL_TIMEOUT.saturating_sub(Duration::from_millis(200));

/// Receives a whole body until the deadline, at most for [`BODY_TIMEOUT`], with the memory reserved for it: its declared
/// length, or what has arrived if that is not known.
pub(super) async fn receive_body(
    net: &Net,
    class: usize,
    deadline: Instant,
    body: Incoming,
) -> Result<(Bytes, Reservation), RequestError> {
    let size = body.size_hint();
    if size.lower() > MAX_BODY_BYTES as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    let declared = size.exact().map_or(0, |length| length as usize);
    let reservation = Reservation::admit(&net.open_requests, &net.memory, class, declared)
        .ok_or(RequestError::NoMemory)?;
    let mut buffer = BodyBuffer {
        bytes: Vec::new(),
        pieces: 0,
        reservation,
    };
    buffer.make_capacity(declared)?;
    let time_limit = deadline.min(Instant::now() + BODY_TIMEOUT);
    tokio::time::timeout_at(time_limit, buffer.receive(body))
        .await
        .map_err(|_| RequestError::BodyTimeout)??;
    buffer.bytes.shrink_to_fit();
    Ok((buffer.bytes.into(), buffer.reservation))
}

/// The received part of a body, whose capacity is reserved.
struct BodyBuffer {
    bytes: Vec<u8>,
    pieces: usize,
    reservation: Reservation,
}

impl BodyBuffer {
    fn make_capacity(&mut self, capacity: usize) -> Result<(), RequestError> {
        if !self.reservation.reserve_body(capacity) {
            return Err(RequestError::NoMemory);
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    async fn receive(&mut self, mut body: Incoming) -> Result<(), RequestError> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| RequestError::UnreadableBody)?;
            if let Ok(piece) = frame.into_data() {
                self.append(&piece)?;
            }
        }
        Ok(())
    }

    fn append(&mut self, piece: &[u8]) -> Result<(), RequestError> {
        let length = self.bytes.len() + piece.len();
        if length > MAX_BODY_BYTES {
            return Err(RequestError::BodyTooLarge);
        }
        if length > self.bytes.capacity() {
            self.make_capacity(length.next_multiple_of(GROWTH_BYTES))?;
        }
        self.bytes.extend_from_slice(piece);
        self.pieces += 1;
        if self.pieces > FREE_PIECES && length < self.pieces * MIN_MEAN_PIECE_BYTES {
            return Err(RequestError::TooManyPieces);
        }
        Ok(())
    }
}
