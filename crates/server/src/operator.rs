//! The operator's file: what the operators of an installation switch on, beside what the platform
//! tells each scheduler (config.rs). Absent, all of it is off.
//!
//! It owns the form (JSON with a schema that is made from these types), the checks and the defaults.
//! It must never take half of a file: where anything is wrong, every fault is told at once, each with
//! its place, and nothing is used.

use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The whole file. Every part that is absent stays off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(title = "oakshed: the operator's file")]
pub struct Operator {
    /// Durable jobs with leases; off where absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Jobs")]
    pub jobs: Option<Jobs>,
}

/// Durable jobs: each is on disk before it is acted on, and its answer before that is given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Jobs {
    /// The directory of the store, on a disk that outlives the process. One process at a time uses it.
    #[schemars(length(min = 1))]
    pub dir: PathBuf,
    /// Whether the workers speak leases (docs/leases.md). Where not, a job whose connection breaks is
    /// in doubt at once.
    #[serde(default)]
    pub leases: bool,
    /// How long a lease holds without a sign of life from its worker, in milliseconds.
    #[serde(default = "lease_ms")]
    #[schemars(range(min = 50, max = 3_600_000))]
    pub lease_ms: u64,
    /// How long a finished job's answer is kept, in seconds.
    #[serde(default = "keep_answers_s")]
    #[schemars(range(min = 1, max = 2_592_000))]
    pub keep_answers_s: u64,
    /// The most jobs that are open at once, those in doubt included. Further ones get 503.
    #[serde(default = "max_open")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub max_open: usize,
    /// The most jobs kept in all, finished ones included. Further ones get 503.
    #[serde(default = "max_kept")]
    #[schemars(range(min = 1, max = 100_000_000))]
    pub max_kept: usize,
    /// The most bytes of payloads and answers kept, in MiB. Further jobs get 503.
    #[serde(default = "max_kept_mb")]
    #[schemars(range(min = 1, max = 1_048_576))]
    pub max_kept_mb: usize,
    /// The largest payload of a job, in KiB; larger ones get 413.
    #[serde(default = "max_payload_kb")]
    #[schemars(range(min = 1, max = 64))]
    pub max_payload_kb: usize,
    /// The size of one file of the store, in MiB. One is always kept ready ahead: where the disk has no
    /// room for it, new jobs get 503, and it is what the open ones are finished with.
    #[serde(default = "segment_mb")]
    #[schemars(range(min = 1, max = 1_024))]
    pub segment_mb: usize,
}

fn lease_ms() -> u64 {
    2_000
}
fn keep_answers_s() -> u64 {
    3_600
}
fn max_open() -> usize {
    10_000
}
fn max_kept() -> usize {
    1_000_000
}
fn max_kept_mb() -> usize {
    256
}
fn max_payload_kb() -> usize {
    64
}
fn segment_mb() -> usize {
    16
}

/// The schema of the file, as text.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schema_value()).unwrap_or_default() + "\n"
}

fn schema_value() -> serde_json::Value {
    schemars::schema_for!(Operator).into()
}

impl Operator {
    /// Reads the file's text. The error holds a line for each fault: its JSON pointer and what was
    /// expected there, or line and column where the text is no JSON at all.
    pub fn parse(text: &str) -> Result<Operator, Vec<String>> {
        let value: serde_json::Value = serde_json::from_str(text).map_err(|e| vec![e.to_string()])?;
        let schema = schema_value();
        let validator = jsonschema::validator_for(&schema).map_err(|e| vec![format!("schema: {e}")])?;
        let faults: Vec<String> = validator
            .iter_errors(&value)
            .map(|e| {
                let at = e.instance_path().to_string();
                format!("{}: {e}", if at.is_empty() { "/" } else { &at })
            })
            .collect();
        if !faults.is_empty() {
            return Err(faults);
        }
        // From the text once more: a key that is given twice shows only here.
        serde_json::from_str(text).map_err(|e| vec![e.to_string()])
    }

    /// Reads the file at a path; all faults come in one line, which names the path.
    pub fn read(path: &str) -> Result<Operator, String> {
        let wrong = |what: &str| format!("operator file {path}: {what}").replace('\n', " ");
        let text = std::fs::read_to_string(path).map_err(|e| wrong(&e.to_string()))?;
        Operator::parse(&text).map_err(|faults| wrong(&faults.join("; ")))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_committed_schema_is_that_of_the_types() {
        let kept = include_str!("../../../deploy/oakshed.schema.json");
        assert!(kept == schema(), "write it anew: oakshed schema > deploy/oakshed.schema.json");
    }

    #[test]
    fn the_committed_file_can_be_used_and_switches_nothing_on() {
        let text = include_str!("../../../deploy/oakshed.json");
        assert_eq!(Operator::parse(text), Ok(Operator::default()));
    }

    #[test]
    fn each_fault_is_told_with_its_place() {
        let faults = |text: &str| Operator::parse(text).expect_err(text);
        let two = faults(r#"{"jobs":{"dir":"/x","lease_ms":"soon","max_open":0},"jbos":1}"#);
        assert_eq!(two.len(), 3, "{two:?}");
        for place in ["/jobs/lease_ms", "/jobs/max_open", "jbos"] {
            assert!(two.iter().any(|f| f.contains(place)), "{place}: {two:?}");
        }
        for (text, told) in [
            ("{", "line 1"),
            (r#"{"jobs":{}}"#, "dir"),
            (r#"{"jobs":{"dir":""}}"#, "/jobs/dir"),
            (r#"{"jobs":{"dir":"/x","dir":"/y"}}"#, "duplicate"),
            (r#"{"jobs":{"dir":"/x","segment_mb":1.5}}"#, "/jobs/segment_mb"),
            (r#"{"jobs":{"dir":"/x","max_open":-1}}"#, "/jobs/max_open"),
            ("[]", "/:"),
        ] {
            assert!(faults(text).iter().any(|f| f.contains(told)), "{text}: {:?}", faults(text));
        }
        let read = Operator::parse(r#"{"jobs":{"dir":"/x"}}"#).expect("defaults for the rest");
        assert_eq!(read.jobs.expect("on").lease_ms, 2_000);
    }
}
