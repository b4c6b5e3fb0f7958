//! The bandwidth budget of a member: a token bucket that covers all of its datagrams.
//!
//! Rows, membership updates and endpoint lists leave enough tokens for probes and their answers.
//! Only probes and answers may overdraw the bucket, by at most [`MAX_DEBT_BYTES`].

use crate::Micros;

/// The class of a datagram, which determines how much of the budget it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficClass {
    /// Probes and their answers, which may overdraw the bucket.
    Probe,
    /// Endpoint lists, and the first members sent to a new member: a member without a list cannot
    /// serve requests.
    List,
    /// Other membership updates.
    Update,
    /// Rows and digests.
    Rows,
}

/// A token bucket that counts bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: u64,
    burst: u64,
    /// Available bytes times 1,000,000. Offset by [`MAX_DEBT_BYTES`], so that it never becomes
    /// negative.
    tokens: u64,
    refilled_at: Micros,
    /// Bytes sent.
    pub sent: u64,
    /// Datagrams rejected because the budget was exhausted.
    pub over_budget: u64,
}

/// How many bytes probes may overdraw the bucket by.
pub const MAX_DEBT_BYTES: u64 = 2_048;
/// Bytes that rows and updates leave for endpoint lists.
const LIST_RESERVE_BYTES: u64 = 4_096;
const MICROS_PER_SECOND: u64 = 1_000_000;

impl Budget {
    /// A full bucket that permits `rate` bytes per second on average, and bursts of up to `burst`
    /// bytes.
    #[must_use]
    pub fn new(rate: u64, burst: u64, now: Micros) -> Budget {
        Budget {
            rate,
            burst,
            tokens: (burst + MAX_DEBT_BYTES) * MICROS_PER_SECOND,
            refilled_at: now,
            sent: 0,
            over_budget: 0,
        }
    }

    fn refill(&mut self, now: Micros) {
        let elapsed = now
            .saturating_sub(self.refilled_at)
            .min(3_600 * MICROS_PER_SECOND);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.rate)
            .min((self.burst + MAX_DEBT_BYTES) * MICROS_PER_SECOND);
    }

    fn reserved(class: TrafficClass) -> u64 {
        match class {
            TrafficClass::Probe => 0,
            TrafficClass::List => MAX_DEBT_BYTES,
            TrafficClass::Update | TrafficClass::Rows => MAX_DEBT_BYTES + LIST_RESERVE_BYTES,
        }
    }

    /// The number of bytes of a class that may be sent now.
    pub fn available(&mut self, now: Micros, class: TrafficClass) -> usize {
        self.refill(now);
        (self.tokens / MICROS_PER_SECOND).saturating_sub(Budget::reserved(class)) as usize
    }

    /// Deducts the bytes of one datagram. Returns false, and deducts nothing, if the budget does
    /// not allow it.
    pub fn try_consume(&mut self, now: Micros, class: TrafficClass, bytes: usize) -> bool {
        let allowed = self.available(now, class) >= bytes;
        if allowed {
            self.tokens -= bytes as u64 * MICROS_PER_SECOND;
            self.sent += bytes as u64;
        } else {
            self.over_budget += 1;
        }
        allowed
    }
}
