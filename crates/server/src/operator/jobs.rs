//! The `jobs` entry of the operator's file: durable jobs, with limits and defaults.

use std::path::PathBuf;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Durable jobs: a job is on disk before it is sent to a worker, and its answer is on disk before the client gets it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Jobs")]
pub struct JobsConfig {
    /// The directory of the store, on persistent storage. Only one process can use it at a time.
    #[schemars(length(min = 1))]
    pub dir: PathBuf,
    /// Whether the workers support leases (docs/leases.md). If not, a job is in doubt as soon as its
    /// connection breaks.
    #[serde(default)]
    pub leases: bool,
    /// How long a lease is valid without a heartbeat from its worker, in milliseconds.
    #[serde(default = "default_lease_ms")]
    #[schemars(range(min = 50, max = 3_600_000))]
    pub lease_ms: u64,
    /// How long the answer of a finished job is retained, in seconds.
    #[serde(default = "default_keep_answers_s")]
    #[schemars(range(min = 1, max = 2_592_000))]
    pub keep_answers_s: u64,
    /// The maximum number of open jobs, not counting finished ones that are in doubt. Further jobs get 503.
    #[serde(default = "default_max_open")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub max_open: usize,
    /// The maximum number of retained jobs, including finished ones. Further jobs get 503.
    #[serde(default = "default_max_retained")]
    #[schemars(range(min = 1, max = 100_000_000))]
    pub max_kept: usize,
    /// The maximum total size of retained payloads and answers, in MiB. Further jobs get 503.
    #[serde(default = "default_max_retained_mb")]
    #[schemars(range(min = 1, max = 1_048_576))]
    pub max_kept_mb: usize,
    /// The maximum payload size of a job, in KiB. Larger jobs get 413.
    #[serde(default = "default_max_payload_kb")]
    #[schemars(range(min = 1, max = 64))]
    pub max_payload_kb: usize,
    /// The size of one segment file of the store, in MiB. A spare segment is always allocated ahead, from which
    /// open jobs can still be finished when the disk is full. If there is no room for it, new jobs get 503.
    #[serde(default = "default_segment_mb")]
    #[schemars(range(min = 1, max = 1_024))]
    pub segment_mb: usize,
}

fn default_lease_ms() -> u64 {
    2_000
}
fn default_keep_answers_s() -> u64 {
    3_600
}
fn default_max_open() -> usize {
    10_000
}
fn default_max_retained() -> usize {
    1_000_000
}
fn default_max_retained_mb() -> usize {
    256
}
fn default_max_payload_kb() -> usize {
    64
}
fn default_segment_mb() -> usize {
    16
}
