//! Helpers for tests of durable jobs: temporary directories, requests with an idempotency key, and job ids.

use std::path::PathBuf;
use std::time::Duration;

use oakshed_standin::{request, Program};

/// A temporary directory, removed when dropped.
pub struct TestDir(pub PathBuf);

impl TestDir {
    pub fn new(name: &str) -> TestDir {
        let path = std::env::temp_dir().join(format!("oakshed-{name}-{}", std::process::id()));
        _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("directory created");
        TestDir(path)
    }

    /// The text of an operator's file that enables durable jobs, with the store in this directory.
    pub fn operator_config(&self, leases: bool) -> String {
        let dir = self.0.join("store");
        format!(
            r#"{{"jobs":{{"dir":"{}","leases":{leases},"lease_ms":300,"segment_mb":1}}}}"#,
            dir.display()
        )
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A request with an `Idempotency-Key`; each line of `extra_headers` ends with CRLF.
pub fn keyed_request(class: &str, id: &str, key: &str, extra_headers: &str) -> String {
    let text = request(class, id).replace("Idempotency-Key: 5c0f\r\n", "");
    text.replace(
        "Content-Length",
        &format!("Idempotency-Key: {key}\r\n{extra_headers}Content-Length"),
    )
}

/// How long before a test its workers claim to have started: the scheduler sends little to workers in slow start.
#[allow(
    dead_code,
    reason = "not every test that shares this module has workers with ledgers"
)]
pub const WORKER_AGE: Duration = Duration::from_secs(3 * 3_600);

/// The status of the job with this idempotency key, as `GET /jobs/ID` shows it.
#[allow(
    dead_code,
    reason = "not every test that shares this module queries a status"
)]
pub fn job_status(program: &Program, key: &str) -> serde_json::Value {
    let answer = program.send(&job_path_request("GET", key));
    serde_json::from_slice(&answer.body).expect("a status")
}

/// A request for `/jobs/ID` of the job with this idempotency key.
#[allow(
    dead_code,
    reason = "not every test that shares this module queries a status"
)]
pub fn job_path_request(method: &str, key: &str) -> String {
    format!("{method} /jobs/{} HTTP/1.1\r\nHost: x\r\n\r\n", job_id(key))
}

/// The id of the job with this idempotency key, as the store, workers and clients see it.
pub fn job_id(key: &str) -> String {
    oakshed_jobs::record::JobId::of(
        b"storholt-bilar",
        oakshed_jobs::record::Key::Idempotency(key.as_bytes()),
    )
    .to_string()
}
