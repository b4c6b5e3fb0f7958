//! The framing and authentication of datagrams.
//!
//! [`DatagramCodec`] rejects datagrams of other protocol versions and installations, and those that
//! were modified, truncated or replayed. Decoding returns only bytes that the MAC covers, and state
//! is kept only for senders that passed authentication.
//!
//! A datagram consists of a magic byte, the version, the first 4 bytes of the SHA-256 of the
//! installation's name, the header and the body (both postcard), and the MAC. The MAC is
//! HMAC-SHA-256 (RFC 2104), truncated to its first 16 bytes (section 5 of the RFC). Replays are
//! detected by the sliding window of RFC 4303, section 3.4.3, combined with a bound on the age of a
//! datagram.

use std::collections::BTreeMap;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::rows::{Owner, MAX_NAME_LENGTH};
use crate::Micros;

/// The maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_LENGTH: usize = 1_200;
const MAGIC: u8 = 0xa5;
const VERSION: u8 = 1;
/// Bytes of the prefix: magic, version and installation.
const PREFIX_LENGTH: usize = 6;
const MAC_LENGTH: usize = 16;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum DatagramError {
    /// The length is out of range: truncated, or longer than [`MAX_DATAGRAM_LENGTH`].
    #[error("datagram length is out of range")]
    Length,
    /// Another protocol version, or not a datagram of this protocol.
    #[error("datagram of another protocol version")]
    Version,
    /// The datagram belongs to another installation.
    #[error("datagram of another installation")]
    Installation,
    /// The MAC does not match: the datagram was modified in transit, or the sender uses another
    /// key.
    #[error("the MAC of the datagram does not match")]
    Mac,
    /// A duplicate, a datagram of this process itself, or a timestamp too far from the local clock.
    #[error("datagram was received before, or its timestamp is out of range")]
    Replayed,
    /// The MAC matches, but the content cannot be decoded.
    #[error("malformed datagram")]
    Malformed,
    /// The content is implausible: a name that is too long, an incarnation in the future, or too
    /// many members.
    #[error("implausible datagram content")]
    Implausible,
}

/// The number of dropped datagrams by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// The counts, indexed in the order of [`DatagramError`].
    pub by_reason: [u64; 7],
}

impl DropCounts {
    /// Counts one dropped datagram.
    pub fn count(&mut self, cause: DatagramError) {
        self.by_reason[cause as usize] += 1;
    }

    /// The number of datagrams dropped for one reason.
    #[must_use]
    pub fn of(&self, cause: DatagramError) -> u64 {
        self.by_reason[cause as usize]
    }

    /// The number of dropped datagrams.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.by_reason.iter().sum()
    }
}

#[derive(Serialize, Deserialize)]
struct Header {
    from: Owner,
    sequence: u64,
    /// When the datagram was sent by the sender's clock, in milliseconds of Unix time.
    sent_at: u64,
}

/// The sequence numbers received from one sender: the sliding window of RFC 4303.
struct ReplayWindow {
    highest: u64,
    /// Bit n is set if `highest - n` was received.
    received: u64,
    last_received: Micros,
}

impl ReplayWindow {
    /// Records a sequence number. Fails if it was received before, or is older than the window.
    fn record(&mut self, sequence: u64) -> Result<(), DatagramError> {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            let shifted = if ahead < 64 {
                self.received << ahead
            } else {
                0
            };
            self.received = shifted | 1;
            self.highest = sequence;
            return Ok(());
        }
        let back = self.highest - sequence;
        if back >= 64 || self.received >> back & 1 == 1 {
            return Err(DatagramError::Replayed);
        }
        self.received |= 1 << back;
        Ok(())
    }
}

/// Encodes outgoing datagrams, and authenticates and decodes incoming ones.
pub struct DatagramCodec {
    key: Vec<u8>,
    installation: [u8; 4],
    me: Owner,
    sequence: u64,
    max_clock_skew: Micros,
    /// The difference between the wall clock and the clock of this process.
    wall_offset: i64,
    max_senders: usize,
    replay_windows: BTreeMap<Owner, ReplayWindow>,
}

impl DatagramCodec {
    /// Creates a codec. Without a key, the installation's name serves as the key. That detects
    /// accidental corruption and datagrams of other installations, but anyone who knows the name
    /// can forge datagrams. `max_clock_skew` is the maximum difference between clocks, in
    /// microseconds.
    #[must_use]
    pub fn new(
        installation: &str,
        key: Option<&[u8]>,
        me: Owner,
        max_clock_skew: Micros,
        max_senders: usize,
    ) -> DatagramCodec {
        let hash = Sha256::digest(installation.as_bytes());
        DatagramCodec {
            key: key.unwrap_or(installation.as_bytes()).to_vec(),
            installation: [hash[0], hash[1], hash[2], hash[3]],
            me,
            sequence: 0,
            max_clock_skew,
            wall_offset: 0,
            max_senders,
            replay_windows: BTreeMap::new(),
        }
    }

    /// Sets the wall clock, which stamps outgoing datagrams and determines the age of incoming
    /// ones. Without this, a process started while the wall clock was wrong would reject all others
    /// from then on.
    pub fn observe_wall_clock(&mut self, now: Micros, wall: Micros) {
        self.wall_offset = wall.wrapping_sub(now) as i64;
    }

    fn wall_clock(&self, now: Micros) -> Micros {
        now.saturating_add_signed(self.wall_offset)
    }

    fn mac(&self, bytes: &[u8]) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).ok()?;
        mac.update(bytes);
        Some(mac)
    }

    /// The maximum length of a body, in bytes.
    #[must_use]
    pub fn max_body_length(&self) -> usize {
        MAX_DATAGRAM_LENGTH - PREFIX_LENGTH - MAC_LENGTH - (1 + self.me.name.len() + 3 * 10)
    }

    /// Encodes a body. Returns `None` if it is longer than [`DatagramCodec::max_body_length`].
    pub fn encode(&mut self, now: Micros, body: &[u8]) -> Option<Vec<u8>> {
        if body.len() > self.max_body_length() {
            return None;
        }
        self.sequence += 1;
        let header = Header {
            from: self.me.clone(),
            sequence: self.sequence,
            sent_at: self.wall_clock(now) / 1_000,
        };
        let mut bytes = vec![MAGIC, VERSION];
        bytes.extend_from_slice(&self.installation);
        let mut bytes = postcard::to_extend(&header, bytes).ok()?;
        bytes.extend_from_slice(body);
        let mac = self.mac(&bytes)?.finalize().into_bytes();
        bytes.extend_from_slice(&mac[..MAC_LENGTH]);
        debug_assert!(bytes.len() <= MAX_DATAGRAM_LENGTH);
        Some(bytes)
    }

    /// Authenticates a datagram, and returns its sender and its body.
    ///
    /// # Errors
    /// Returns an error if the datagram is malformed, fails authentication or is a replay.
    pub fn decode<'a>(
        &mut self,
        now: Micros,
        bytes: &'a [u8],
    ) -> Result<(Owner, &'a [u8]), DatagramError> {
        let covered = self.authenticate(bytes)?;
        let (header, body) = postcard::take_from_bytes::<Header>(&covered[PREFIX_LENGTH..])
            .map_err(|_| DatagramError::Malformed)?;
        self.check_header(now, &header)?;
        let Header { from, sequence, .. } = header;
        self.check_sequence(now, &from, sequence)?;
        Ok((from, body))
    }

    /// Checks the prefix and the MAC, and returns the bytes that the MAC covers.
    fn authenticate<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], DatagramError> {
        let other_magic = bytes.first().is_some_and(|magic| *magic != MAGIC);
        let other_version = bytes.get(1).is_some_and(|version| *version != VERSION);
        if other_magic || other_version {
            return Err(DatagramError::Version);
        }
        if bytes.len() < PREFIX_LENGTH + MAC_LENGTH || bytes.len() > MAX_DATAGRAM_LENGTH {
            return Err(DatagramError::Length);
        }
        if bytes[2..PREFIX_LENGTH] != self.installation {
            return Err(DatagramError::Installation);
        }
        let (covered, mac) = bytes.split_at(bytes.len() - MAC_LENGTH);
        let is_authentic = self
            .mac(covered)
            .is_some_and(|computed| computed.verify_truncated_left(mac).is_ok());
        if !is_authentic {
            return Err(DatagramError::Mac);
        }
        Ok(covered)
    }

    /// Checks the sender's name and incarnation, and the timestamp.
    fn check_header(&self, now: Micros, header: &Header) -> Result<(), DatagramError> {
        let Header { from, sent_at, .. } = header;
        let wall = self.wall_clock(now);
        if from.name.is_empty() || from.name.len() > MAX_NAME_LENGTH {
            return Err(DatagramError::Implausible);
        }
        if from.incarnation.saturating_mul(1_000) > wall.saturating_add(self.max_clock_skew) {
            return Err(DatagramError::Implausible);
        }
        let is_stale = wall.abs_diff(sent_at.saturating_mul(1_000)) > self.max_clock_skew;
        if is_stale || *from == self.me {
            return Err(DatagramError::Replayed);
        }
        Ok(())
    }

    /// Checks that a sequence number has not been received from this sender before.
    fn check_sequence(
        &mut self,
        now: Micros,
        from: &Owner,
        sequence: u64,
    ) -> Result<(), DatagramError> {
        if let Some(window) = self.replay_windows.get_mut(from) {
            window.record(sequence)?;
            window.last_received = now;
            return Ok(());
        }
        if self.replay_windows.len() >= self.max_senders.max(1) {
            self.evict_least_recent_sender();
        }
        let window = ReplayWindow {
            highest: sequence,
            received: 1,
            last_received: now,
        };
        self.replay_windows.insert(from.clone(), window);
        Ok(())
    }

    /// Evicts the sender with the least recent datagram. Old datagrams of that sender are still
    /// rejected by their timestamps.
    fn evict_least_recent_sender(&mut self) {
        let least_recent = self
            .replay_windows
            .iter()
            .min_by_key(|(_, window)| window.last_received)
            .map(|(owner, _)| owner.clone());
        if let Some(owner) = least_recent {
            self.replay_windows.remove(&owner);
        }
    }
}
