//! The answers that schedulers owe, and attempts for clients that have disconnected.

use std::collections::BTreeMap;

use super::{Facts, Violation, CANCELLATION_SLACK};
use crate::history::{End, Request};

/// Each request whose connection was dialled when its scheduler listened, and whose scheduler ran on without a
/// stop, has its answer. A connection from an earlier incarnation does not count: nobody reads what is written to
/// it.
#[must_use]
pub fn all_answered(facts: &Facts) -> Vec<Violation> {
    let unanswered = facts
        .requests
        .iter()
        .filter(|r| matches!(r.end, End::Disconnected | End::TimedOut));
    let violation = |request: &Request| Violation {
        at: request.ended,
        node: facts.schedulers[request.scheduler].name.clone(),
        description: format!("{} had no answer: {:?}", request.id, request.end),
    };
    unanswered
        .filter(|request| answer_due(facts, request))
        .map(violation)
        .collect()
}

/// Whether its scheduler owes a request its answer: see [`all_answered`].
pub(super) fn answer_due(facts: &Facts, request: &Request) -> bool {
    let scheduler = &facts.schedulers[request.scheduler];
    let listened = |since: u64| {
        let mut listens = scheduler.listens.iter();
        listens.any(|at| (since..=request.dialled).contains(at))
    };
    let ran_on = scheduler
        .incarnations
        .iter()
        .any(|span| listened(span.from) && span.to.is_none_or(|to| to > request.ended));
    let mut stops = scheduler.stops.iter();
    ran_on && !stops.any(|stop| stop.overlaps(request.sent, request.ended))
}

/// No attempt, first or further, begins later than the slack after its client has disconnected. A scheduler that
/// was stopped sees that when it is continued.
#[must_use]
pub fn nothing_after_cancellation(facts: &Facts) -> Vec<Violation> {
    let cancelled: BTreeMap<&str, &Request> = facts
        .requests
        .iter()
        .filter(|r| matches!(r.end, End::Cancelled | End::TimedOut))
        .map(|r| (r.id.as_str(), r))
        .collect();
    let mut violations = Vec::new();
    for worker in &facts.workers {
        for arrival in &worker.arrivals {
            let request = cancelled.get(arrival.request.as_str());
            let Some(request) = request.filter(|r| r.ended <= arrival.at) else {
                continue;
            };
            let scheduler = &facts.schedulers[request.scheduler];
            let Some(seen) = scheduler.limits_start(request.ended, arrival.at) else {
                continue;
            };
            if arrival.at <= seen + CANCELLATION_SLACK {
                continue;
            }
            let late = (arrival.at - seen) / 1_000;
            violations.push(Violation {
                at: arrival.at,
                node: worker.name.clone(),
                description: format!("{} {late} ms after its client had left", request.id),
            });
        }
    }
    violations
}
