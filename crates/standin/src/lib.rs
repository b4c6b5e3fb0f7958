//! Stand-ins of the parties around oakshed, on loopback: workers that speak leases, a director,
//! scripted peers, clients, and the scheduler under test.
//!
//! They are met by the published protocol and by docs/leases.md only. Nothing that serves may use this
//! crate, and nothing in it decides anything for the scheduler.
//!
//! ```
//! use oakshed_standin::{Director, Worker, WorkerOptions};
//!
//! let worker = Worker::start(WorkerOptions::default()).unwrap();
//! let director = Director::new(&[("s-1", worker.address)]);
//! assert_ne!(worker.address, director.peer.address);
//! ```

pub mod fleet;
mod ledger;
mod peers;
mod worker;

pub use ledger::{Ledger, Line, Word};
pub use peers::*;
pub use worker::{Worker, WorkerOptions};
