//! The `req-deadline-ms` header of a request to a worker, updated when the header is written.
//!
//! The process may wait or be paused between building a request and writing it, and the worker would then be told more
//! time than the client has left. The value is therefore overwritten in the bytes that hyper produces, in the same
//! number of digits, until its first byte has been written.

use std::borrow::Cow;
use std::ops::Range;

use oakshed_core::facade::Micros;

use super::super::forwarded_request::remaining_ms;

/// The bytes before the value, as hyper writes the header.
const PREFIX: &[u8] = b"\r\nreq-deadline-ms: ";
/// The number of digits of `u64::MAX`.
const MAX_DIGITS: usize = 20;

/// The deadline header of one attempt.
pub(super) struct DeadlineField {
    deadline: Micros,
    /// The byte range of the value, counted from the request's first byte.
    value_range: Option<Range<usize>>,
    digits: [u8; MAX_DIGITS],
}

impl DeadlineField {
    pub(super) fn new(deadline: Micros) -> Self {
        DeadlineField {
            deadline,
            value_range: None,
            digits: [b'0'; MAX_DIGITS],
        }
    }

    /// Returns `bytes`, which begin at `offset` in the request, with the remaining time as of `now`.
    pub(super) fn update<'a>(
        &mut self,
        now: Micros,
        offset: usize,
        bytes: &'a [u8],
    ) -> Cow<'a, [u8]> {
        if offset == 0 {
            self.value_range = find_value(bytes);
        }
        let Some(range) = self.value_range.clone() else {
            return Cow::Borrowed(bytes);
        };
        if offset <= range.start {
            self.set_digits(remaining_ms(self.deadline, now), range.len());
        }
        let chunk = offset..offset + bytes.len();
        let overlap = range.start.max(chunk.start)..range.end.min(chunk.end);
        if overlap.is_empty() {
            return Cow::Borrowed(bytes);
        }
        let digits = &self.digits[overlap.start - range.start..overlap.end - range.start];
        let target = overlap.start - offset..overlap.end - offset;
        if bytes[target.clone()] == *digits {
            return Cow::Borrowed(bytes);
        }
        let mut updated = bytes.to_vec();
        updated[target].copy_from_slice(digits);
        Cow::Owned(updated)
    }

    /// Formats the value with leading zeros. It never needs more than `width` digits, because the remaining time only
    /// decreases after the request was built.
    fn set_digits(&mut self, value: u64, width: usize) {
        let mut rest = value;
        for digit in self.digits[..width].iter_mut().rev() {
            *digit = b'0' + (rest % 10) as u8;
            rest /= 10;
        }
    }
}

/// Finds the byte range of the value in the beginning of a request.
fn find_value(bytes: &[u8]) -> Option<Range<usize>> {
    let start = bytes
        .windows(PREFIX.len())
        .position(|window| window == PREFIX)?
        + PREFIX.len();
    let digits = bytes[start..]
        .iter()
        .take_while(|byte| byte.is_ascii_digit())
        .count();
    (1..=MAX_DIGITS)
        .contains(&digits)
        .then_some(start..start + digits)
}
