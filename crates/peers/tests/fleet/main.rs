//! Many members in virtual time: the scenarios that the protocol is accepted by. Each run is the same
//! for the same seed, so verdicts are too.

mod large;
mod lists;
mod membership;
mod rows;
mod sizes;
mod timelines;
mod world;
