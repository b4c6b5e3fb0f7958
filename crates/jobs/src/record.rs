//! Log records and job identifiers.
//!
//! The encoding of a record is fixed within a version of the file format: a build reads the records of older
//! builds, or rejects the file by its version (see [`crate::log`]). Variants and fields are encoded by
//! position, so they may be renamed but not reordered. Times are in microseconds of the logical clock, which
//! continues across restarts (see [`crate::machine`]).

use std::fmt;
use std::str::FromStr;

use oakshed_core::interface::Micros;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Bytes accounted for a header field or a lease, in addition to its strings.
const ENTRY_OVERHEAD: usize = 48;
/// Bytes accounted for a payload, in addition to its strings, header fields and body.
const PAYLOAD_OVERHEAD: usize = 200;
/// Bytes accounted for a record, in addition to its payload, result and leases.
const RECORD_OVERHEAD: usize = 64;

/// A job's identifier: a 128-bit hash of the job's owner and key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub u128);

/// The client's identifier of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Key<'a> {
    /// The `Idempotency-Key` header.
    Idempotency(&'a [u8]),
    /// The `Req-Id` header, for a request without an `Idempotency-Key`.
    ReqId(&'a [u8]),
}

/// Returns the first 128 bits of the SHA-256 hash of the parts.
fn hash(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        // The length prefix distinguishes the parts `a`, `bc` from `ab`, `c`.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    digest
        .iter()
        .take(16)
        .fold(0, |number, byte| number << 8 | u128::from(*byte))
}

impl JobId {
    /// Returns the identifier of an owner's job. The owner is part of the hash, so that no owner can read
    /// another owner's answers by using the same key.
    #[must_use]
    pub fn of(owner: &[u8], key: Key<'_>) -> JobId {
        match key {
            Key::Idempotency(key) => JobId(hash(&[b"key", owner, key])),
            Key::ReqId(id) => JobId(hash(&[b"req", owner, id])),
        }
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The error for a string that is not a valid [`JobId`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("invalid job id '{0}': expected 32 hexadecimal digits")]
pub struct InvalidJobId(String);

impl FromStr for JobId {
    type Err = InvalidJobId;

    fn from_str(text: &str) -> Result<Self, InvalidJobId> {
        let is_well_formed = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        u128::from_str_radix(text, 16)
            .ok()
            .filter(|_| is_well_formed)
            .map(JobId)
            .ok_or_else(|| InvalidJobId(text.to_owned()))
    }
}

/// The parts of a client's request that the worker or the scheduler needs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobPayload {
    /// Name of the request class.
    pub class: String,
    /// Name of the tenant, if the client gave one.
    pub owner: Option<String>,
    /// Path and query of the URI.
    pub target: String,
    /// Header fields to forward, including `Req-Id`.
    pub fields: Vec<(String, Vec<u8>)>,
    /// Request body.
    pub body: Vec<u8>,
    /// Number of worker slots that the job occupies.
    pub slots: Option<f64>,
    /// Memory that the job needs on a worker.
    pub memory: Option<f64>,
    /// Affinity key by which the scheduler prefers a worker.
    pub key: Option<u64>,
}

impl JobPayload {
    /// Returns a hash that detects the reuse of a job's key with a different payload.
    #[must_use]
    pub fn fingerprint(&self) -> u128 {
        hash(&[self.class.as_bytes(), self.target.as_bytes(), &self.body])
    }

    /// Returns the approximate number of bytes that the payload occupies.
    #[must_use]
    pub fn size(&self) -> usize {
        let fields: usize = self
            .fields
            .iter()
            .map(|(name, value)| name.len() + value.len() + ENTRY_OVERHEAD)
            .sum();
        self.class.len() + self.target.len() + fields + self.body.len() + PAYLOAD_OVERHEAD
    }
}

/// A job's final answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// A worker's result.
    Served(Vec<u8>),
    /// Not served; the job may have run.
    Failed,
    /// Not served, and safe to retry, after the given number of microseconds if there is one.
    Rejected(Option<Micros>),
    /// Cancelled before any attempt was sent.
    Cancelled,
}

/// Worker start time in the lease of an attempt whose worker cannot prove that it never ran.
///
/// Either the attempt was sent using a cached endpoint list: its address may belong to another worker by now, which
/// may have run the job that the named worker never received. Or it is not known whether the attempt carried the
/// lease's fields, see [`LEASE_FIELDS_RECORDED`]. No worker's job history reaches back to this time, so builds
/// without this constant also treat the attempt correctly.
pub const UNCONFIRMED_START: u64 = 1;

/// Worker start time in the lease of an attempt that was sent without the lease's fields, because leases were
/// switched off. The worker does not know the lease, so there is nothing to fence. Builds without this constant
/// fence the attempt in vain; as no worker's job history reaches back to this time, they prove nothing by it.
pub const WITHOUT_FIELDS_START: u64 = 2;

/// The record that follows each [`Record::Opened`]: up to the next one, a lease has one of the start times
/// [`UNCONFIRMED_START`] and [`WITHOUT_FIELDS_START`] unless its attempt carried the lease's fields.
///
/// Builds without this constant do not write it, and record the start time of the worker in either case. They read
/// it as the end of an attempt of an unknown job, and ignore it.
pub const LEASE_FIELDS_RECORDED: Record = Record::Unsent {
    id: JobId(u128::MAX),
    token: 0,
};

/// The recorded lease of one attempt. The attempt may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Fencing token: the number of the lease's record in the log. It is therefore never reused, even for a
    /// job that was dropped and submitted again.
    pub token: u64,
    /// Name of the worker in the endpoint list.
    pub worker: String,
    /// Start time of the worker according to the endpoint list, in Unix milliseconds. 0 stands for an
    /// unspecified time long ago, [`UNCONFIRMED_START`] and [`WITHOUT_FIELDS_START`] for a time that proves nothing.
    pub start_ms: u64,
    /// Time at which the attempt was sent.
    pub sent: Micros,
}

impl Lease {
    /// Returns whether the attempt may have carried the lease's fields, so that its worker may know the lease.
    #[must_use]
    pub fn may_be_known_to_worker(&self) -> bool {
        self.start_ms != WITHOUT_FIELDS_START
    }

    /// Notes that it is not known whether the attempt carried the lease's fields.
    pub(crate) fn forget_whether_fields_were_sent(&mut self) {
        if self.start_ms != WITHOUT_FIELDS_START {
            self.start_ms = UNCONFIRMED_START;
        }
    }
}

/// Whether an indeterminate attempt turned out to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran.
    Ran,
    /// It never ran.
    Never,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The clocks at the start of a process, or at a later time when this record is written again so that
    /// the log can be trimmed.
    Opened {
        /// Logical time.
        at: Micros,
        /// Wall-clock time.
        wall: Micros,
        /// Boot identifier of the machine.
        boot: u128,
        /// Time since the machine booted.
        uptime: Micros,
    },
    /// A job was accepted, or submitted again after a rejection. The record of an open job is also written
    /// again so that the log can be trimmed. It supersedes all earlier records of the job.
    Accepted {
        /// Time of the record.
        at: Micros,
        /// The job.
        id: JobId,
        /// Fingerprint of the payload.
        fingerprint: u128,
        /// The client's request.
        payload: JobPayload,
        /// The client's deadline.
        deadline: Micros,
        /// Time from the submission to the client's deadline.
        wait: Micros,
        /// Whether the client fetches the answer later instead of waiting for it.
        detached: bool,
        /// Leases of the attempts that may have run.
        leases: Vec<Lease>,
    },
    /// An attempt may be sent once this record is durable.
    Leased {
        /// The job.
        id: JobId,
        /// The attempt's lease.
        lease: Lease,
    },
    /// An attempt is known never to have run.
    Unsent {
        /// The job.
        id: JobId,
        /// The attempt's fencing token.
        token: u64,
    },
    /// A job's final answer. It supersedes all earlier records of the job.
    Finished {
        /// Time of the record.
        at: Micros,
        /// The job.
        id: JobId,
        /// Fingerprint of the payload.
        fingerprint: u128,
        /// The final answer.
        answer: Answer,
        /// Leases of the attempts that may have run without a known outcome; of a rejected job, of all
        /// attempts that may have run.
        indeterminate: Vec<Lease>,
        /// Outcome of the indeterminate attempts, once one is settled.
        outcome: Option<Outcome>,
    },
    /// The job is removed, and nothing of it is retained.
    Dropped {
        /// The job.
        id: JobId,
    },
}

impl Record {
    /// Returns the leases in the record.
    pub fn leases_mut(&mut self) -> &mut [Lease] {
        match self {
            Record::Accepted { leases, .. } => leases,
            Record::Leased { lease, .. } => std::slice::from_mut(lease),
            Record::Finished { indeterminate, .. } => indeterminate,
            Record::Opened { .. } | Record::Unsent { .. } | Record::Dropped { .. } => &mut [],
        }
    }

    /// Returns the approximate number of bytes that the record occupies.
    #[must_use]
    pub fn size(&self) -> usize {
        let content = match self {
            Record::Accepted {
                payload, leases, ..
            } => payload.size() + leases_size(leases),
            Record::Finished {
                answer: Answer::Served(result),
                indeterminate,
                ..
            } => result.len() + leases_size(indeterminate),
            Record::Finished { indeterminate, .. } => leases_size(indeterminate),
            Record::Leased { lease, .. } => leases_size(std::slice::from_ref(lease)),
            Record::Opened { .. } | Record::Unsent { .. } | Record::Dropped { .. } => 0,
        };
        content + RECORD_OVERHEAD
    }
}

fn leases_size(leases: &[Lease]) -> usize {
    leases
        .iter()
        .map(|lease| lease.worker.len() + ENTRY_OVERHEAD)
        .sum()
}
