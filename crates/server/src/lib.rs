//! The network server around the scheduler: configuration ([`config`], [`operator`]), endpoint lists ([`list`]) and
//! connections ([`net`]).
//!
//! All scheduling decisions are made in oakshed-core. This crate carries them out and reports the results back.
//! `list` and `operator` depend on no other module, `config` depends on both, and `net` on all of these.
#![warn(missing_docs)]

pub mod config;
pub mod list;
pub mod logging;
pub mod net;
pub mod operator;
