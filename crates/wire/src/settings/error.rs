//! The error of invalid settings, whose message is a single line that names the field.

use oakshed_core::interface::SettingsError;
use thiserror::Error;

use super::MAX_TIME_MS;

/// Why `boot-info` was rejected.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum BootInfoError {
    /// The text is not valid JSON, or a field is missing or has the wrong type.
    #[error("boot-info: {0}")]
    Json(#[from] serde_json::Error),
    /// A time is negative, too long or not a number.
    #[error("boot-info: {path} must be between 0 and {MAX_TIME_MS}, got {ms}")]
    Time {
        /// Path of the field.
        path: String,
        /// Its value.
        ms: f64,
    },
    /// A field does not have one of its allowed values.
    #[error("boot-info: {path} must be one of {}, got '{given}'", known.join(", "))]
    Choice {
        /// Path of the field.
        path: String,
        /// Its allowed values.
        known: Vec<String>,
        /// Its value.
        given: String,
    },
    /// Two entries of a list have the same name.
    #[error("boot-info: {path} has more than one entry named '{name}'")]
    Duplicate {
        /// Path of the list.
        path: &'static str,
        /// The duplicate name.
        name: String,
    },
    /// A per-class list does not have the length of the list of classes.
    #[error("boot-info: {path} has {values} values for {classes} classes")]
    Length {
        /// Path of the list.
        path: &'static str,
        /// Its length.
        values: usize,
        /// The number of classes.
        classes: usize,
    },
    /// A class requires a machine type that is not in the list.
    #[error(
        "boot-info: family-info.class-kind: index {kind} is out of range for {kinds} machine-types"
    )]
    Kind {
        /// Index of the machine type.
        kind: i64,
        /// Length of the list of machine types.
        kinds: i64,
    },
    /// The scheduler's zone is not in the list.
    #[error("boot-info: az {zone} is out of range for {zones} azs")]
    Zone {
        /// Index of the zone.
        zone: u32,
        /// Length of the list of zones.
        zones: usize,
    },
    /// The scheduler rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
