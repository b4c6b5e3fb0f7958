//! Compatibility with an earlier version: its store of durable jobs, and its messages in a hot restart.
//!
//! The tests use recordings of that version; `tests/fixtures/0a2a3d3/README.md` describes them.

mod hot_restart;
mod store;

use std::path::PathBuf;

/// The path of a recorded file or directory.
fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures/0a2a3d3")
        .join(name)
}

fn fixture_bytes(name: &str) -> Vec<u8> {
    std::fs::read(fixture(name)).expect("a recorded file")
}

fn fixture_text(name: &str) -> String {
    String::from_utf8(fixture_bytes(name)).expect("recorded text")
}
