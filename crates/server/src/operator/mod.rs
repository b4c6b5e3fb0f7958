//! The operator's file: optional features that the operators of an installation enable, in addition to the
//! configuration that the platform provides (see `config`). Without the file, all of them are off.
//!
//! The file is JSON. Its schema is generated from the types in this module, and validation reports all faults at once,
//! each with its JSON pointer. A file with any fault is rejected as a whole.

mod jobs;
mod peers;

pub use jobs::JobsConfig;
pub use peers::{KeyFault, KeyFileError, PeersConfig};

use std::net::SocketAddr;
use std::{fmt, io};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The operator's file. A feature whose entry is absent is off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(title = "oakshed: the operator's file")]
pub struct OperatorConfig {
    /// Durable jobs with leases; off if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "JobsConfig")]
    pub jobs: Option<JobsConfig>,
    /// The exchange of state with other schedulers; off if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "PeersConfig")]
    pub peers: Option<PeersConfig>,
}

/// An operator's file that cannot be used. Its text is a single line with all faults.
#[derive(Debug, Error)]
pub struct OperatorFileError {
    /// The file's path.
    pub path: String,
    /// Why it cannot be used.
    #[source]
    pub cause: OperatorFileFault,
}

impl fmt::Display for OperatorFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = format!("operator file {}: {}", self.path, self.cause);
        f.write_str(&line.replace('\n', " "))
    }
}

/// Why an operator's file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorFileFault {
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The content of the file is invalid.
    #[error(transparent)]
    Text(#[from] OperatorTextError),
    /// The key file that it names cannot be used.
    #[error(transparent)]
    Key(#[from] KeyFileError),
}

/// Why the content of an operator's file is invalid.
#[derive(Debug, Error)]
pub enum OperatorTextError {
    /// It is not JSON, or has a duplicate key; with line and column.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The schema that is generated from the types is invalid.
    #[error("schema: {0}")]
    Schema(#[source] Box<jsonschema::ValidationError<'static>>),
    /// One or more values are invalid.
    #[error("{}", joined(.0))]
    Values(Vec<ValueFault>),
}

/// An invalid value in an operator's file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{pointer}: {fault}")]
pub struct ValueFault {
    /// The JSON pointer of the value; `/` for the whole file.
    pub pointer: String,
    /// Why the value is invalid.
    pub fault: ValueFaultKind,
}

/// Why a value of an operator's file is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValueFaultKind {
    /// It violates the schema; with the validator's message.
    #[error("{0}")]
    NotInSchema(String),
    /// An address with port 0 or an unspecified IP address.
    #[error("other schedulers cannot reach {0}")]
    Unreachable(SocketAddr),
}

/// Joins all faults into one line.
fn joined(faults: &[ValueFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ValueFault::to_string).collect();
    lines.join("; ")
}

/// The JSON schema of the file, as text.
#[must_use]
pub fn schema() -> String {
    serde_json::to_string_pretty(&schema_value()).unwrap_or_default() + "\n"
}

fn schema_value() -> serde_json::Value {
    schemars::schema_for!(OperatorConfig).into()
}

impl OperatorConfig {
    /// Parses and validates the content of an operator's file.
    ///
    /// # Errors
    ///
    /// All invalid values, each with its JSON pointer and what was expected there, or line and column if the text is not
    /// JSON.
    pub fn parse(text: &str) -> Result<OperatorConfig, OperatorTextError> {
        let value: serde_json::Value = serde_json::from_str(text)?;
        let schema = schema_value();
        let validator = jsonschema::validator_for(&schema)
            .map_err(|error| OperatorTextError::Schema(Box::new(error)))?;
        let faults: Vec<ValueFault> = validator.iter_errors(&value).map(schema_fault).collect();
        if !faults.is_empty() {
            return Err(OperatorTextError::Values(faults));
        }
        // Parsed from the text again, because a `Value` no longer shows duplicate keys.
        let operator: OperatorConfig = serde_json::from_str(text)?;
        let faults = operator
            .peers
            .as_ref()
            .map(PeersConfig::faults)
            .unwrap_or_default();
        if !faults.is_empty() {
            return Err(OperatorTextError::Values(faults));
        }
        Ok(operator)
    }

    /// Reads and validates the file at `path`, and the key file that it names.
    ///
    /// # Errors
    ///
    /// All faults of the file, or why it or the key file cannot be read.
    pub fn read(path: &str) -> Result<OperatorConfig, OperatorFileError> {
        OperatorConfig::read_file(path).map_err(|cause| OperatorFileError {
            path: path.to_owned(),
            cause,
        })
    }

    fn read_file(path: &str) -> Result<OperatorConfig, OperatorFileFault> {
        let text = std::fs::read_to_string(path)?;
        let operator = OperatorConfig::parse(&text)?;
        if let Some(peers) = &operator.peers {
            peers.key()?;
        }
        Ok(operator)
    }
}

/// Converts an error of the schema validator.
fn schema_fault(error: jsonschema::ValidationError<'_>) -> ValueFault {
    let pointer = error.instance_path().to_string();
    ValueFault {
        pointer: if pointer.is_empty() {
            "/".to_owned()
        } else {
            pointer
        },
        fault: ValueFaultKind::NotInSchema(error.to_string()),
    }
}

#[cfg(test)]
mod tests;
