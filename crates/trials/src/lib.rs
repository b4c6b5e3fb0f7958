//! Trials of many oakshed processes: 3 to 300 real schedulers with stand-in discovery and workers on
//! loopback, relays that inject faults between any two, and checks of the recorded history.
//!
//! The crate ends every process that it starts. It knows the program only by its command line, its log and its
//! published protocol. docs/trials.md describes how to run it.

pub mod checks;
mod error;
pub mod history;
pub mod load;
pub mod process;
pub mod relays;
pub mod scale;
pub mod scenarios;
pub mod schedule;
pub mod scheduler;
pub mod settings;
pub mod timeline;
pub mod watchdog;
pub mod world;

pub use error::TrialError;
