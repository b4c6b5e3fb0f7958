//! Prewarming: which workers should have loaded what the next job of a kind needs.
//!
//! It owns what was learned of the time between jobs of a kind, and the calls that ask a worker to load or
//! to keep. It must never do I/O, read a clock, or ask anything of a worker that drains, is gone, excluded
//! or beyond its cold budget.

/// The table of shared rows that holds arrivals by kind.
pub const TABLE: u8 = 1;
