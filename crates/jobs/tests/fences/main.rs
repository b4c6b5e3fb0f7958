//! What a worker's reply to a fence proves about an attempt, by what the log says of its lease, and which results a
//! worker is notified to drop.
//!
//! A worker that never received the lease's fields answers truthfully that the job never started under that lease.

#[path = "../common/mod.rs"]
mod common;
mod lease_records;
mod process;
mod proofs;
mod results;
