//! Durable jobs with worker leases.
//!
//! A scheduler may be killed at any instruction: a job that must run at most once is still not run twice,
//! and every client gets exactly one final answer.
//!
//! - [`machine`]: the state machine. It takes commands, events and the time, and returns records to write
//!   and effects to perform once those records are durable.
//! - [`record`]: the log's record types and job identifiers.
//! - [`log`]: the write-ahead log's file format and recovery, on top of the trait [`log::LogDirectory`].
//! - [`disk`]: [`log::LogDirectory`] for a directory on disk.
//! - [`fault`]: [`log::LogDirectory`] in memory, with injected disk faults, for tests.
//! - [`startup`]: opening a log, with retries of transient I/O errors.
//! - [`group_commit`]: the thread that writes and syncs records in groups.
//! - [`backoff`]: retry delays for failed disk operations.
//!
//! `crates/server` implements HTTP and endpoint discovery; `oakshed-core` decides whether and where a job
//! is sent. docs/durable-jobs.md lists the invariants, docs/leases.md the worker's side of the protocol.
#![warn(missing_docs)]

pub mod backoff;
pub mod disk;
pub mod fault;
pub mod group_commit;
pub mod log;
pub mod machine;
pub mod record;
pub mod startup;
