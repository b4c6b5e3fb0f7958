//! Sequences of requests that must all succeed.

use std::ops::Range;

use oakshed_standin::{request, Program};

/// Sends one transfer for each number, sequentially and each on a new connection, and checks that it is answered with
/// 200.
#[track_caller]
pub fn assert_all_served(program: &Program, prefix: &str, numbers: Range<usize>) {
    for number in numbers {
        let id = format!("{prefix}-{number}");
        let status = program.send(&request("transfer", &id)).status();
        assert_eq!(status, 200, "{id}");
    }
}
