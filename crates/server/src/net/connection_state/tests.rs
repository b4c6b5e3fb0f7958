//! Tests of when a connection with an incomplete response may be closed.

use std::time::Duration;

use tokio::time::Instant;

use super::ConnectionState;

/// A connection whose client waits `timeout` for a response that is being written.
fn responding(timeout: Duration) -> (ConnectionState, Instant) {
    let state = ConnectionState::new();
    let now = Instant::now();
    state.passed();
    state.arrived();
    state.expect_response_by(now + timeout);
    state.answered();
    (state, now)
}

/// Guards against a close under a response for which its client still waits, and against stalled connections that are
/// kept beyond that.
#[test]
fn stalled_response_keeps_its_connection_until_the_client_has_given_up() {
    let (state, start) = responding(Duration::from_secs(5));
    for ms in [0, 600, 2_500, 5_400] {
        let now = start + Duration::from_millis(ms);
        assert!(!state.overdue(now), "after {ms} ms");
        assert_eq!(state.pending_response(now), Some(true), "after {ms} ms");
    }
    let given_up = start + Duration::from_millis(5_600);
    assert!(state.overdue(given_up));
    assert_eq!(state.pending_response(given_up), Some(false));
}

/// A client with little time is not waited for longer than one that has named none.
#[test]
fn stalled_response_is_overdue_after_the_arrival_timeout_without_a_waiting_client() {
    let (state, start) = responding(Duration::from_millis(100));
    assert!(!state.overdue(start + Duration::from_millis(2_300)));
    assert!(state.overdue(start + Duration::from_millis(2_600)));
    state.flushed();
    assert!(!state.overdue(start + Duration::from_secs(60)));
    assert_eq!(state.pending_response(start), None);
}

/// Malformed input behind a request limits the time for its response, as its client is owed an error.
#[test]
fn malformed_input_limits_the_time_for_the_response_before_it() {
    let (state, start) = responding(Duration::from_secs(5));
    state.received_malformed_behind_request();
    assert!(!state.overdue(start + Duration::from_millis(1_400)));
    assert!(state.overdue(start + Duration::from_millis(1_700)));
}
