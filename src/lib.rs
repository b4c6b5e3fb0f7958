//! A scheduler that pushes jobs to workers: the decisions, and the program around them.
//!
//! [`decide`], [`interface`] and the private `state` are the decision module, without I/O, clock or
//! threads; [`wire`] hosts it on a simulator's wire; [`facade`] is its blocking-style front, which
//! [`net`] serves on sockets as [`config`] says. No layer may know of one that is named after it,
//! but for the settings' reader in [`wire`], which serves both programs.
//!
//! Feed events to a [`Dispatcher`] and, once per batch, carry out the actions that it gives:
//!
//! ```
//! use oakshed::interface::*;
//! use oakshed::Dispatcher;
//!
//! let class = Class {
//!     aim: 400_000, stretch: 2.0, deadline: 5_000_000, worth: 1.0, priority: 0,
//!     effect: Effect::Safe, scope: Scope::All, window: 0, kind: None,
//! };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut dispatcher = Dispatcher::new(settings, 7).unwrap();
//! let row = Row {
//!     worker: WorkerId(0), zone: 0, kind: 0, cell: 0,
//!     condition: Condition::Active, online_since: 0,
//! };
//! dispatcher.on_event(1_000, Event::List { kind: ListKind::Remembered, rows: &[row] });
//! let id = RequestId(42);
//! dispatcher.on_event(1_000, Event::Request {
//!     id, class: 0, tenant: 0, slots: 1.0, memory: 0.0, key: None, hint: None, remaining: 5_000_000,
//! });
//! let mut actions = Vec::new();
//! dispatcher.dispatch(1_000, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: sent, .. } if *sent == id)));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod decide;
pub mod facade;
pub mod interface;
pub mod net;
mod state;
pub mod wire;

pub use state::Dispatcher;
