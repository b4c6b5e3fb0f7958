//! Tests of the request queues and their tiers.

use crate::interface::RequestId;
use crate::state::{QueuedRequest, Tier, TierQueues};
use crate::time::Instant;

fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

fn queued(dispatch_deadline: u64, id: u128) -> QueuedRequest {
    QueuedRequest {
        dispatch_deadline: at(dispatch_deadline),
        id: RequestId(id),
    }
}

#[test]
fn requests_of_a_tier_are_ordered_by_dispatch_deadline_then_id() {
    let top = Tier::from_top(0);
    let mut queues = TierQueues::new(1);
    for entry in [queued(20, 1), queued(10, 3), queued(10, 2)] {
        queues.insert(top, entry);
    }
    let mut order = Vec::new();
    let mut next = QueuedRequest::FIRST;
    while let Some(entry) = queues.first_from(top, next) {
        order.push(entry);
        next = entry.next();
    }
    assert_eq!(order, [queued(10, 2), queued(10, 3), queued(20, 1)]);
}

#[test]
fn request_expires_at_its_dispatch_deadline() {
    let top = Tier::from_top(0);
    let mut queues = TierQueues::new(2);
    queues.insert(top, queued(10, 1));
    assert_eq!(queues.first_expired(top, at(9)), None);
    assert_eq!(queues.first_expired(top, at(10)), Some(queued(10, 1)));
    assert_eq!(queues.first_expired(Tier::from_top(1), at(10)), None);
}

#[test]
fn requests_above_the_lowest_tier_are_counted_separately() {
    let (top, lowest) = (Tier::from_top(0), Tier::from_top(1));
    let mut queues = TierQueues::new(2);
    queues.insert(top, queued(30, 1));
    queues.insert(lowest, queued(20, 2));
    queues.insert(lowest, queued(40, 3));
    assert_eq!((queues.len(), queues.len_above_lowest()), (3, 1));
    assert_eq!(queues.first_deadline(), Some(at(20)));
    queues.remove(lowest, queued(20, 2));
    assert_eq!((queues.len(), queues.len_above_lowest()), (2, 1));
    assert_eq!(queues.first_deadline(), Some(at(30)));
}

#[test]
fn tiers_for_requests_beyond_shares_are_below_all_others() {
    let queues = TierQueues::new(4);
    assert_eq!(queues.beyond_share(Tier::from_top(0)), Tier::from_top(2));
    assert_eq!(queues.beyond_share(Tier::from_top(1)), Tier::from_top(3));
    assert!(queues.is_lowest(Tier::from_top(3)) && !queues.is_lowest(Tier::from_top(1)));
}
