//! Tests of the rules by which a list may be acted on without an answer of its source.

use std::time::Duration;

use tokio::time::Instant;

use super::super::confirmation::{Change, Confirmation, Evidence, ListSource};

const ALL_EVIDENCE: [Evidence; 3] = [
    Evidence::Unreachable,
    Evidence::RejectedAtOnce,
    Evidence::Inconclusive,
];
/// Every start must be ready within this time.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// What discovery at a new address has counts as notified this long after SIGHUP.
const RELOAD_LIMIT: Duration = Duration::from_secs(4);

/// The state of a start, and its time.
fn start(source: ListSource) -> (Confirmation, Instant) {
    let now = Instant::now();
    (Confirmation::new(source, now, Duration::ZERO), now)
}

/// The state after a move away from a source that had answered, and the time of the move.
fn moved(source: ListSource) -> (Confirmation, Instant) {
    let (mut confirmation, now) = start(source);
    assert!(confirmation.confirm());
    confirmation.on_move(now);
    (confirmation, now)
}

#[test]
fn failed_calls_to_an_agent_never_put_the_cached_list_into_use() {
    let (mut confirmation, now) = start(ListSource::Agent);
    for evidence in ALL_EVIDENCE.repeat(10) {
        let change = confirmation.on_failure(evidence, now + READY_LIMIT);
        assert_eq!(change, Change::None, "{evidence:?}");
    }
    assert!(!confirmation.is_in_use());
    assert!(confirmation.has_reached_ready_limit(now + READY_LIMIT));
    assert!(confirmation.confirm() && confirmation.is_in_use());
    assert!(!confirmation.has_reached_ready_limit(now + READY_LIMIT));
}

/// A call that proves nothing, or a move, ends a sequence of rejections.
#[test]
fn polled_service_is_down_after_two_rejections_in_a_row() {
    let (mut confirmation, now) = start(ListSource::SharedService);
    let mut on_failure = |evidence| confirmation.on_failure(evidence, now);
    assert_eq!(on_failure(Evidence::RejectedAtOnce), Change::None);
    assert_eq!(on_failure(Evidence::Inconclusive), Change::None);
    assert_eq!(on_failure(Evidence::RejectedAtOnce), Change::None);
    confirmation.on_move(now);
    let mut on_failure = |evidence| confirmation.on_failure(evidence, now);
    assert_eq!(on_failure(Evidence::RejectedAtOnce), Change::None);
    assert_eq!(on_failure(Evidence::RejectedAtOnce), Change::UseCached);
}

#[test]
fn further_move_does_not_extend_the_use_of_the_previous_list() {
    for source in [ListSource::Agent, ListSource::SharedService] {
        let (mut confirmation, now) = moved(source);
        assert!(!confirmation.is_in_use(), "handed over unconfirmed");
        let due_at = confirmation.due_at().expect("a time limit");
        assert!(due_at < now + RELOAD_LIMIT);
        confirmation.on_move(due_at);
        assert_eq!(confirmation.due_at(), Some(due_at));
        assert_eq!(confirmation.on_timer(due_at), Change::Suspend);
        // A list that has expired comes back by an answer only.
        confirmation.on_move(due_at);
        for evidence in ALL_EVIDENCE.repeat(2) {
            assert_eq!(confirmation.on_failure(evidence, due_at), Change::None);
        }
        assert!(confirmation.confirm() && confirmation.is_in_use());
    }
}

/// The previous list outlives its time only while a polled service is down, and ends once that can be reached.
#[test]
fn previous_list_expires_once_a_polled_service_can_be_reached() {
    for down in [Evidence::Unreachable, Evidence::RejectedAtOnce] {
        let (mut confirmation, now) = moved(ListSource::SharedService);
        assert_eq!(confirmation.on_failure(down, now), Change::None);
        let due_at = confirmation.due_at().expect("a time limit");
        assert_eq!(confirmation.on_timer(due_at), Change::None);
        let change = confirmation.on_failure(Evidence::Inconclusive, due_at);
        assert_eq!(change, Change::Suspend, "{down:?}");
        let (mut confirmation, now) = moved(ListSource::Agent);
        assert_eq!(confirmation.on_failure(down, now), Change::None);
        let due_at = confirmation.due_at().expect("a time limit");
        assert_eq!(confirmation.on_timer(due_at), Change::Suspend, "{down:?}");
    }
}
