//! State that the schedulers of one installation replicate: membership, counters and the endpoint
//! list.
//!
//! The protocol is a set of state machines without I/O. They open no sockets, read no clocks and
//! spawn no threads; time and random seeds are passed in, and effects are returned as values.
//!
//! - [`node`]: a member as a whole, composed of the other modules.
//! - [`datagram`] and [`message`]: the framing and the bodies of datagrams.
//! - [`budget`]: the limit on the bytes sent.
//! - [`membership`]: failure detection, and which members are alive.
//! - [`rows`]: the shared counters; [`exchange`]: their anti-entropy protocol.
//! - [`snapshot`]: the file format that preserves the counters across a restart.
//! - [`endpoint_list`]: the exchange of discovery's endpoint list between members.
//! - [`polling`]: when each member may poll discovery after a start of the whole fleet.

pub mod budget;
pub mod datagram;
pub mod endpoint_list;
pub mod exchange;
pub mod membership;
pub mod message;
pub mod node;
pub mod polling;
pub mod rows;
pub mod snapshot;

/// A point in time or a duration, in microseconds. Points in time are Unix time.
pub type Micros = u64;
