//! A comparison of prewarming policies in virtual time, on generated arrivals and a model of workers.
//!
//! The policies are the state machine in several deployments, and simple baselines. All randomness comes from
//! seeds.

pub mod bytes;
pub mod contest;
pub mod scenarios;
pub mod workers;
