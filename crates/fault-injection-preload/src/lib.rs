//! The shared object that carries out a fault plan inside a process, by `LD_PRELOAD`.
//!
//! It defines functions of the C library. Each asks `state::strike` whether the plan has this call fail,
//! and goes on to the C library's own function otherwise. Without a plan every call is passed on.

mod calls;
mod clock;
mod epoll;
mod real;
mod state;
