//! Whether restarted processes are ready in time.

use super::{Facts, SchedulerFacts, Violation, READY_WITHIN};
use crate::history::Span;

/// How many of ten restarted processes are ready in time at least.
const READY_OF_TEN: usize = 9;

/// A restart that counts.
struct Restart {
    /// When its time limit started.
    since: u64,
    /// When it was ready.
    ready: Option<u64>,
    /// When it ended, or the trial did.
    end: u64,
}

impl Restart {
    fn is_late(&self) -> bool {
        self.ready.is_none_or(|at| at > self.since + READY_WITHIN)
    }
}

/// Nine in ten of the processes that replaced an earlier one listen and have a list within 10 s. The limit starts
/// again after a stop or a cut; a process that ended before its limit does not count.
#[must_use]
pub fn restarted_in_time(facts: &Facts, until: u64) -> Vec<Violation> {
    let mut counted = 0;
    let mut late = Vec::new();
    for scheduler in &facts.schedulers {
        for incarnation in scheduler.incarnations.iter().skip(1) {
            let Some(restart) = restart(scheduler, incarnation, until) else {
                continue;
            };
            counted += 1;
            if restart.is_late() {
                late.push((scheduler, restart));
            }
        }
    }
    if 10 * (counted - late.len()) >= READY_OF_TEN * counted {
        return Vec::new();
    }
    let violation = |(scheduler, restart): (&SchedulerFacts, Restart)| {
        let at = restart.ready.unwrap_or(restart.end);
        let took = (at - restart.since) / 1_000;
        Violation {
            at,
            node: scheduler.name.clone(),
            description: format!("not ready {took} ms after its start, as too many of {counted}"),
        }
    };
    late.into_iter().map(violation).collect()
}

/// The restart that this incarnation is; None where it does not count.
fn restart(scheduler: &SchedulerFacts, incarnation: &Span, until: u64) -> Option<Restart> {
    let end = incarnation.to.unwrap_or(until);
    let within = |at: &u64| incarnation.overlaps(*at, *at);
    let listens = scheduler.listens.iter().copied().filter(within).min();
    let received = scheduler.received.iter().map(|list| list.at);
    let received = received.filter(within).min();
    let ready = listens
        .zip(received)
        .map(|(listens, received)| listens.max(received));
    let since = scheduler.limits_start(incarnation.from, ready.unwrap_or(end))?;
    if ready.is_none() && end < since + READY_WITHIN {
        return None;
    }
    Some(Restart { since, ready, end })
}
