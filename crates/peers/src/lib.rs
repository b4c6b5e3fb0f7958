//! What schedulers of one installation share: who is there, and a memory that fades.
//!
//! It owns the protocol among schedulers as state machines: rows of counters that only their owner
//! raises, who is alive, what a newcomer learns. It must never open a socket, read a clock, start a
//! thread or draw randomness of its own: time and seeds are passed in, effects come out as values.

pub mod asking;
pub mod budget;
pub mod datagram;
pub mod exchange;
pub mod facts;
pub mod membership;
pub mod message;
pub mod node;
pub mod rows;
pub mod snapshot;

/// Microseconds of Unix time.
pub type Micros = u64;
