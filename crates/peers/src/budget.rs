//! The bandwidth budget: a token bucket over all datagrams of a member.
//!
//! Datagrams that can wait (rows, lists) leave enough for probes and their answers, which alone may go into a
//! small debt.

use crate::Micros;

/// How urgent a datagram is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficClass {
    /// Probes and their answers: may go into debt.
    Probe,
    /// Endpoint lists, and the greeting of a new member: who has no list cannot serve.
    List,
    /// Other updates of membership.
    Update,
    /// Rows and digests.
    Rows,
}

/// A token bucket, in bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: u64,
    burst: u64,
    /// Bytes times a million, shifted by the debt so that it is never negative.
    tokens: u64,
    refilled_at: Micros,
    /// Bytes sent.
    pub sent: u64,
    /// Datagrams that were not sent.
    pub over_budget: u64,
}

/// How far probes may go into debt, in bytes.
pub const MAX_DEBT_BYTES: u64 = 2_048;
/// What rows and updates leave for lists, in bytes.
const LIST_RESERVE_BYTES: u64 = 4_096;
const MICROS_PER_SECOND: u64 = 1_000_000;

impl Budget {
    /// At most `rate` bytes a second over time, at most `burst` at once.
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

    /// How many bytes of a class may be sent now.
    pub fn available(&mut self, now: Micros, class: TrafficClass) -> usize {
        self.refill(now);
        (self.tokens / MICROS_PER_SECOND).saturating_sub(Budget::reserved(class)) as usize
    }

    /// Takes the bytes of one datagram; returns whether it may be sent.
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
