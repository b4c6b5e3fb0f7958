//! Errors that prevent startup.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use super::durable::StoreError;
use super::peers::PeersError;
use oakshed_core::facade::SettingsError;

/// An error that prevents startup; its text is a single line for operators.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The settings of the facade are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Listening on the clients' address failed.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// Listening on the operators' address failed.
    #[error("operators' address: {0}")]
    Operators(#[source] ListenError),
    /// Opening the store of durable jobs failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Joining the exchange with other schedulers failed.
    #[error(transparent)]
    Peers(#[from] PeersError),
    /// Setting up a signal handler, a socket or a thread failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A failure to listen on an address.
#[derive(Debug, Error)]
#[error("cannot listen on {address}: {error}")]
pub struct ListenError {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The underlying error.
    #[source]
    pub error: io::Error,
}
