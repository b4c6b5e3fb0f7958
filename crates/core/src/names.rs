//! Hashes of names, which identify workers and keys in the scheduler.
//!
//! The hash function must not change: all schedulers, of whatever version, have to agree on the position of a
//! key on the consistent-hash ring.

use crate::interface::WorkerId;

/// Returns the 64-bit FNV-1a hash of a name.
#[must_use]
pub fn hash_name(name: &str) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    name.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Returns the id of the worker with this name.
#[must_use]
pub fn worker_id(name: &str) -> WorkerId {
    WorkerId(hash_name(name))
}
