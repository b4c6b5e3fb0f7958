//! Errors at the start of the exchange with other schedulers.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::operator::KeyFileError;

/// Why the exchange with other schedulers cannot start.
#[derive(Debug, Error)]
pub enum PeersError {
    /// The key cannot be read or used.
    #[error("operator file: {0}")]
    Key(#[from] KeyFileError),
    /// The UDP socket cannot be bound.
    #[error("/peers/listen: {address}: {error}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the system call.
        #[source]
        error: io::Error,
    },
}
