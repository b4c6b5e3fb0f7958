//! The contest of policies in virtual time: generated days, a model of workers, and who keeps what warm.
//!
//! It owns no decision of the program: policies are the machine itself or plain baselines. It must never use
//! a clock or randomness beyond its seeds.

pub mod bytes;
pub mod contest;
pub mod days;
pub mod world;
