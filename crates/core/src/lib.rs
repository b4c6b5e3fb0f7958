//! The scheduling logic of oakshed, without I/O, clock, threads or async runtime.
//!
//! A [`Scheduler`] takes events and returns actions, whose types are in [`interface`]. Time and the random seed
//! are passed in, so the same events and seed give the same actions everywhere. The private module `scheduler`
//! has a submodule for each kind of decision; `state` holds the records of workers and requests.
//!
//! [`facade`] wraps a scheduler in a per-request interface for programs with real sockets. [`names`] hashes
//! names to the ids that the scheduler uses, [`figures`] counts requests for the operators' metrics, and
//! [`time`] has the time types. This crate must not depend on other crates of the project.
//!
//! Pass events to a [`Scheduler`] and carry out the actions that it returns for each batch:
//!
//! ```
//! use oakshed_core::interface::*;
//! use oakshed_core::Scheduler;
//!
//! let class = Class {
//!     latency_objective: Span::from_millis(400), stretch: 2.0, deadline: Span::from_millis(5_000),
//!     priority_weight: 1.0, priority: 0,
//!     effect: Effect::Safe, scope: Scope::All, window: Span::ZERO, kind: None,
//! };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut scheduler = Scheduler::new(settings, 7).unwrap();
//! let row = Row {
//!     worker: WorkerId(0), zone: 0, kind: 0, cell: 0,
//!     condition: Condition::Active, weight: 1.0, online_since: 0,
//! };
//! scheduler.on_event(1_000, Event::List { kind: ListKind::Cached, rows: &[row] });
//! let id = RequestId(42);
//! scheduler.on_event(1_000, Event::Request {
//!     id,
//!     job: Job {
//!         class: 0, tenant: None, slots: None, memory: None, key: None, hint: None, remaining: 5_000_000,
//!     },
//!     earlier: &[],
//! });
//! let mut actions = Vec::new();
//! scheduler.dispatch(1_000, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: sent, .. } if *sent == id)));
//! ```
#![warn(missing_docs)]

pub mod facade;
pub mod figures;
pub mod interface;
pub mod names;
mod scheduler;
mod state;
#[cfg(test)]
mod tests;
pub mod time;

pub use scheduler::Scheduler;
