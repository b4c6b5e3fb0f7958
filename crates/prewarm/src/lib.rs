//! Predictive warm-up of workers: a worker loads a class before the next job of that class arrives.
//!
//! The crate models the time between jobs of each kind (a class in a zone) and emits the calls that make a worker
//! load a class or keep it loaded. It does no I/O and reads no clock. It never calls a worker that is draining,
//! removed, excluded by an operator, or out of slow-start budget.
//!
//! - [`gaps`]: a decaying histogram of inter-arrival times and the hazard rate derived from it.
//! - [`arrival_model`]: the arrivals of one kind, split by concurrency level.
//! - [`slots`]: arrivals of all members per second, reconstructed from shared rows.
//! - [`place`]: which member is responsible for a kind, and which workers are kept warm for it.
//! - `keep_alive`: the active keep-alives, within the limits on workers and fleet.
//! - [`machine`]: the state machine that combines these; [`config`]: its settings.
//! - [`trial`]: generated workloads and a comparison of policies in virtual time.
#![warn(missing_docs)]

pub mod arrival_model;
pub mod config;
pub mod gaps;
mod keep_alive;
pub mod machine;
pub mod place;
pub mod slots;
pub mod trial;

pub use config::Config;
pub use machine::{Effect, Prewarm, Raise, RestoreError};
pub use place::{Kind, Worker};

/// Microseconds: a Unix time or a duration.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// The table of shared rows that holds the arrivals.
pub const TABLE: u8 = 1;
