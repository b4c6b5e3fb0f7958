//! The `peers` entry of the operator's file: the exchange with other schedulers, and the key that authenticates it.
//!
//! A key file that users other than its owner can read is rejected.

use std::fs::File;
use std::io::{self, Read as _};
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt as _;
use std::path::{Path, PathBuf};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{ValueFault, ValueFaultKind};

/// The minimum length of a key, in bytes.
const MIN_KEY_LENGTH: u64 = 16;
/// The maximum length of a key, in bytes.
const MAX_KEY_LENGTH: u64 = 4_096;

/// Membership and shared state among the schedulers of one installation, over UDP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Peers")]
pub struct PeersConfig {
    /// The address and port at which other schedulers reach this one.
    #[schemars(with = "String", length(min = 1))]
    pub listen: SocketAddr,
    /// Addresses of some schedulers to contact first; the same list for all schedulers. At least three, and at
    /// least one per 40 schedulers.
    #[serde(default)]
    #[schemars(with = "Vec<String>", length(max = 4_096))]
    pub join: Vec<SocketAddr>,
    /// The name of the installation. Datagrams of other installations are dropped.
    #[serde(default = "default_installation")]
    #[schemars(length(min = 1, max = 64))]
    pub installation: String,
    /// A file with the key that all schedulers of the installation share; only its owner may have access to it.
    /// Without a key, anyone who knows the name of the installation can take part.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "PathBuf", length(min = 1))]
    pub key_file: Option<PathBuf>,
    /// A directory for the snapshot that preserves the shared state over a restart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "PathBuf", length(min = 1))]
    pub dir: Option<PathBuf>,
    /// The maximum number of schedulers. Further ones are ignored.
    #[serde(default = "default_members")]
    #[schemars(range(min = 2, max = 4_096))]
    pub members: usize,
}

fn default_installation() -> String {
    "oakshed".into()
}
fn default_members() -> usize {
    4_096
}

impl PeersConfig {
    /// The faults that the schema does not cover.
    pub(super) fn faults(&self) -> Vec<ValueFault> {
        let mut faults = Vec::new();
        if !is_reachable(self.listen) {
            faults.push(unreachable("/peers/listen".to_owned(), self.listen));
        }
        for (i, &address) in self.join.iter().enumerate() {
            if !is_reachable(address) {
                faults.push(unreachable(format!("/peers/join/{i}"), address));
            }
        }
        faults
    }

    /// Reads the key; `None` if no key file is configured.
    ///
    /// # Errors
    ///
    /// The key file's path, and why it cannot be read or its key cannot be used.
    pub fn key(&self) -> Result<Option<Vec<u8>>, KeyFileError> {
        let Some(path) = &self.key_file else {
            return Ok(None);
        };
        let key = read_key(path).map_err(|fault| KeyFileError {
            path: path.clone(),
            fault,
        })?;
        Ok(Some(key))
    }
}

/// Whether other machines can send to the address: it has a port and a specific IP address.
fn is_reachable(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

fn unreachable(pointer: String, address: SocketAddr) -> ValueFault {
    ValueFault {
        pointer,
        fault: ValueFaultKind::Unreachable(address),
    }
}

/// A key file that cannot be used.
#[derive(Debug, Error)]
#[error("/peers/key_file: {}: {fault}", path.display())]
pub struct KeyFileError {
    /// The file's path.
    pub path: PathBuf,
    /// Why it cannot be used.
    #[source]
    pub fault: KeyFault,
}

/// Why a key file cannot be used.
#[derive(Debug, Error)]
pub enum KeyFault {
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file's mode gives access to users other than its owner.
    #[error("mode {0:o} gives access to others than the owner; use chmod 600")]
    ReadableByOthers(u32),
    /// The key is shorter than the minimum.
    #[error("the key is shorter than {MIN_KEY_LENGTH} bytes")]
    TooShort,
    /// The key is longer than the maximum.
    #[error("the key is longer than {MAX_KEY_LENGTH} bytes")]
    TooLong,
}

/// Reads the key from a file to which only its owner has access.
fn read_key(path: &Path) -> Result<Vec<u8>, KeyFault> {
    let file = File::open(path)?;
    let mode = file.metadata()?.mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(KeyFault::ReadableByOthers(mode));
    }
    let mut key = Vec::new();
    file.take(MAX_KEY_LENGTH + 1).read_to_end(&mut key)?;
    // Editors append a newline, which is not part of the key.
    while key.last().is_some_and(u8::is_ascii_whitespace) {
        key.pop();
    }
    match key.len() as u64 {
        ..MIN_KEY_LENGTH => Err(KeyFault::TooShort),
        length if length > MAX_KEY_LENGTH => Err(KeyFault::TooLong),
        _ => Ok(key),
    }
}

#[cfg(test)]
mod tests;
