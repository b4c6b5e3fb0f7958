//! Acceptance scenarios of the protocol: fleets of many members in virtual time. A run is
//! determined by its seed.

mod large;
mod list_helpers;
mod lists;
mod membership;
mod rows;
mod sizes;
mod timelines;
mod world;
