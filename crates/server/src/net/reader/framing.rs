//! Determines where a buffered request ends, from its head.

use std::mem::MaybeUninit;

use httparse::{Header, Request, Status};

use super::MAX_HEAD_BYTES;

/// The most header fields in a head, which is also the limit of hyper.
const MAX_HEADER_FIELDS: usize = 100;

/// How the end of a buffered request is determined.
#[derive(Debug, PartialEq)]
pub(super) enum Framing {
    /// The head is not complete yet.
    Incomplete,
    /// A request of this many bytes, head and body.
    Length(u64),
    /// The body is chunked, so that its length is not known.
    Chunked,
    /// Not a request, or one whose length is ambiguous.
    Malformed,
}

/// Parses the head at the start of the buffer.
pub(super) fn parse_framing(buffer: &[u8]) -> Framing {
    // All methods are upper case. Anything else, such as the excess of a body that is too long, is rejected at once, as
    // the end of a head might never come.
    if buffer
        .first()
        .is_some_and(|b| !b.is_ascii_uppercase() && !b"\r\n".contains(b))
    {
        return Framing::Malformed;
    }
    let mut fields = [const { MaybeUninit::uninit() }; MAX_HEADER_FIELDS];
    let mut no_fields = [];
    let mut request = Request::new(&mut no_fields);
    let head_length = match request.parse_with_uninit_headers(buffer, &mut fields) {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(Status::Partial) if buffer.len() < MAX_HEAD_BYTES => return Framing::Incomplete,
        _ => return Framing::Malformed,
    };
    let fields_named = |name: &'static str| {
        request
            .headers
            .iter()
            .filter(move |h: &&Header| h.name.eq_ignore_ascii_case(name))
            .map(|h| h.value)
    };
    let mut lengths = fields_named("content-length");
    let mut codings = fields_named("transfer-encoding");
    match (lengths.next(), lengths.next(), codings.next()) {
        (None, _, None) => Framing::Length(head_length as u64),
        (None, _, Some(_)) => Framing::Chunked,
        (Some(length), None, None) => {
            let digits = std::str::from_utf8(length)
                .ok()
                .filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
            let body = digits.and_then(|t| t.parse::<u64>().ok());
            body.and_then(|body| body.checked_add(head_length as u64))
                .map_or(Framing::Malformed, Framing::Length)
        }
        _ => Framing::Malformed,
    }
}
