//! Prewarming: which workers should have loaded what the next job of a kind needs.
//!
//! It owns what was learned of the time between jobs of a kind, and the calls that ask a worker to load or
//! to keep. It must never do I/O, read a clock, or ask anything of a worker that drains, is gone, excluded
//! or beyond its cold budget.
//!
//! - [`gaps`]: the time between jobs as a fading histogram, and the rate that follows from it.
//! - [`learn`]: one kind: which of its jobs needed a first, second, third worker at once, and when.
//! - [`slots`]: arrivals by second, of all members, rebuilt from shared rows.
//! - [`place`]: which member answers for a kind, which workers it is kept on.
//! - `hold`: what is held where and until when, within all bounds.
//! - [`machine`]: the state machine of it all; [`config`]: what it is told by the operator.
//! - [`trial`]: generated days and the contest of policies in virtual time.
#![warn(missing_docs)]

pub mod config;
pub mod gaps;
mod hold;
pub mod learn;
pub mod machine;
pub mod place;
pub mod slots;
pub mod trial;

pub use config::Config;
pub use machine::{Effect, Prewarm};
pub use place::{Kind, Worker};

/// Microseconds, of Unix time or as a length.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// The table of shared rows that holds arrivals by kind.
pub const TABLE: u8 = 1;
