//! Durable jobs with leases.
#![warn(missing_docs)]
