//! Quarantine proposals: workers whose jobs fail more often than their peers'.
//!
//! It owns the evidence and the proposals made from it. It must never act: staff exclude a worker, or do not.

/// The table of shared rows that holds tries and their ends by worker.
pub const TABLE: u8 = 2;
