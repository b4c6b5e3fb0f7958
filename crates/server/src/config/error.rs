//! Errors in the configuration.

use std::fmt;
use std::io;

use thiserror::Error;

use super::{MAX_MEMORY_MB, MIN_MEMORY_MB, MIN_SOCKETS};
use crate::operator::OperatorFileError;

/// Why a configuration cannot be used. The text is a single line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `ROUTER_CONFIG` does not name a file.
    #[error("ROUTER_CONFIG is not set")]
    NoFile,
    /// The configuration file cannot be used.
    #[error(transparent)]
    File(#[from] ConfigFileError),
    /// An address is set neither by its variable nor in the file.
    #[error("neither {variable} nor '{field}' is set")]
    NoAddress {
        /// The environment variable.
        variable: &'static str,
        /// The field of the file.
        field: &'static str,
    },
    /// A value is not an IP address and port.
    #[error("{name} is not an address and port: {value:?}")]
    NotAnAddress {
        /// The variable or field that has the value.
        name: &'static str,
        /// The value.
        value: String,
    },
    /// The operator's file cannot be used.
    #[error(transparent)]
    Operator(#[from] OperatorFileError),
}

/// A fault of the file that `ROUTER_CONFIG` names.
#[derive(Debug)]
pub struct ConfigFileError {
    /// The file's path.
    pub path: String,
    /// Why it cannot be used.
    pub fault: ConfigFault,
}

impl ConfigFileError {
    pub(super) fn new(path: &str, fault: impl Into<ConfigFault>) -> ConfigFileError {
        ConfigFileError {
            path: path.to_owned(),
            fault: fault.into(),
        }
    }
}

impl fmt::Display for ConfigFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = format!("ROUTER_CONFIG {}: {}", self.path, self.fault);
        f.write_str(&line.replace('\n', " "))
    }
}

impl std::error::Error for ConfigFileError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.fault)
    }
}

/// Why the file that `ROUTER_CONFIG` names cannot be used.
#[derive(Debug, Error)]
pub enum ConfigFault {
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The settings are invalid.
    #[error(transparent)]
    BootInfo(#[from] oakshed_wire::BootInfoError),
    /// The file is not JSON of the expected form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is missing.
    #[error("'seed' is missing")]
    NoSeed,
    /// The seed is not hexadecimal.
    #[error("'seed' is not a hexadecimal number")]
    UnusableSeed,
    /// The limit on descriptors is below the minimum.
    #[error("limits.sockets is {0}, below the minimum of {MIN_SOCKETS}")]
    TooFewSockets(usize),
    /// The limit on memory is out of range.
    #[error("limits.memory_mb is {0}, not between {MIN_MEMORY_MB} and {MAX_MEMORY_MB}")]
    MemoryOutOfRange(usize),
    /// The settings are missing.
    #[error("'settings' is missing")]
    NoSettings,
    /// The name of a class cannot be the first segment of a path.
    #[error("settings: categories: {0:?} cannot be used as the name of a class")]
    UnusableClassName(String),
    /// The cached endpoint list is malformed.
    #[error("known: {0}")]
    MalformedList(#[source] serde_json::Error),
}
