//! Stand-ins of the parties around oakshed, on loopback: workers that speak leases, discovery,
//! scripted peers, clients, and the scheduler under test.
//!
//! They implement the published protocol and docs/leases.md. Only tests, the demo and measurements use this crate,
//! and nothing in it decides anything for the scheduler.
//!
//! ```
//! use oakshed_standin::{Discovery, Worker, WorkerOptions};
//!
//! let worker = Worker::start(WorkerOptions::default()).unwrap();
//! let discovery = Discovery::new(&[("s-1", worker.address)]);
//! assert_ne!(worker.address, discovery.peer.address);
//! ```

mod clients;
mod discovery;
pub mod fleet;
mod ledger;
mod message;
mod peer;
mod port;
mod program;
mod system;
mod worker;

pub use clients::*;
pub use discovery::{Discovery, CLOSED};
pub use ledger::{FenceStatus, Ledger, Line};
pub use message::Message;
pub use peer::*;
pub use port::ReservedPort;
pub use program::*;
pub use system::*;
pub use worker::{Worker, WorkerOptions};
