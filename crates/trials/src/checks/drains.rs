//! When a worker that drains, or is gone, may get no new requests any more.
//!
//! When a scheduler counts as notified of a change is derived here, not from the scheduler's log alone.

use std::collections::BTreeMap;

use oakshed_standin::fleet::Arrival;

use super::facts::ListRange;
use super::{
    Facts, SchedulerFacts, Violation, WorkerFacts, AFTER_RELOAD, DRAIN_SLACK, NOTIFICATION_DEADLINE,
};

/// The schedulers of requests, by the requests' ids.
struct Senders<'a>(BTreeMap<&'a str, &'a SchedulerFacts>);

impl<'a> Senders<'a> {
    fn new(facts: &'a Facts) -> Self {
        let sender =
            |r: &'a crate::history::Request| (r.id.as_str(), &facts.schedulers[r.scheduler]);
        Senders(facts.requests.iter().map(sender).collect())
    }

    fn of(&self, arrival: &Arrival) -> Option<&'a SchedulerFacts> {
        self.0.get(arrival.request.as_str()).copied()
    }
}

fn violation(worker: &WorkerFacts, arrival: &Arrival, description: String) -> Violation {
    Violation {
        at: arrival.at,
        node: worker.name.clone(),
        description,
    }
}

/// Checks each arrival on each worker: `check` describes the violation where there is one.
fn check_arrivals<'a>(
    workers: impl Iterator<Item = &'a WorkerFacts>,
    check: impl Fn(&WorkerFacts, &Arrival) -> Option<String>,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for worker in workers {
        for arrival in &worker.arrivals {
            if let Some(description) = check(worker, arrival) {
                violations.push(violation(worker, arrival, description));
            }
        }
    }
    violations
}

/// A drained or gone worker gets no new requests later than the slack after its scheduler received that list. A
/// scheduler that was stopped in that time has the slack from when it was continued.
#[must_use]
pub fn drained_in_time(facts: &Facts) -> Vec<Violation> {
    let senders = Senders::new(facts);
    let drained = facts.workers.iter().filter(|w| !w.drains.is_empty());
    check_arrivals(drained, |worker, arrival| {
        let scheduler = senders.of(arrival)?;
        let known = known_drain(scheduler, worker, arrival.at)?;
        let stops = scheduler.stops.iter();
        let start = stops
            .filter(|stop| stop.overlaps(known.since, arrival.at))
            .filter_map(|stop| stop.to)
            .fold(known.since, u64::max);
        if arrival.at <= start + DRAIN_SLACK {
            return None;
        }
        Some(format!(
            "{} from {} {} ms after it was told (list {})",
            arrival.request,
            scheduler.name,
            (arrival.at - start) / 1_000,
            known.lists.first
        ))
    })
}

/// A drain that a scheduler knows of.
struct KnownDrain {
    /// The lists with the drain.
    lists: ListRange,
    /// Since when its incarnation has had such a list.
    since: u64,
}

/// The drain of the worker in the list that the scheduler had at that time.
fn known_drain(scheduler: &SchedulerFacts, worker: &WorkerFacts, at: u64) -> Option<KnownDrain> {
    let incarnation = scheduler.incarnation_at(at)?;
    let received = scheduler
        .received
        .iter()
        .filter(|list| incarnation.from <= list.at && list.at <= at);
    let current = received
        .clone()
        .max_by_key(|list| (list.at, list.number))?
        .number;
    let lists = *worker.drains.iter().find(|d| d.contains(current))?;
    let since = received
        .filter(|list| lists.contains(list.number))
        .map(|list| list.at)
        .min()
        .unwrap_or(at);
    Some(KnownDrain { lists, since })
}

/// The drain of the worker that discovery had at the time of the arrival.
fn drain_at<'a>(worker: &'a WorkerFacts, arrival: &Arrival) -> Option<&'a crate::history::Span> {
    let mut latest_first = worker.drained.iter().rev();
    latest_first.find(|drain| drain.overlaps(arrival.at, arrival.at))
}

/// No scheduler sends a worker new requests later than the slack after the notification deadline of its drain: 6 s
/// after discovery had it and could be reached, whether or not a notification came. The limit starts again with
/// its incarnation, with the end of a stop, and with the end of each time in which it was cut off.
#[must_use]
pub fn notified_in_time(facts: &Facts) -> Vec<Violation> {
    let senders = Senders::new(facts);
    check_arrivals(facts.workers.iter(), |worker, arrival| {
        let drain = drain_at(worker, arrival)?;
        let scheduler = senders.of(arrival)?;
        let start = scheduler.limits_start(drain.from, arrival.at)?;
        if arrival.at <= start + NOTIFICATION_DEADLINE + DRAIN_SLACK {
            return None;
        }
        let late = (arrival.at - start) / 1_000;
        let id = &arrival.request;
        Some(format!(
            "{id} {late} ms after discovery had its drain and could be reached"
        ))
    })
}

/// Where the list is pushed, a scheduler counts as notified of what the agent has 4 s after a reload, however long
/// the agent has had it: a drained worker gets no new requests later than the slack after that. Stops and cuts
/// start the limit again, as everywhere.
#[must_use]
pub fn notified_after_reload(facts: &Facts) -> Vec<Violation> {
    let senders = Senders::new(facts);
    let workers = facts.workers.iter().filter(|_| facts.pushed);
    check_arrivals(workers, |worker, arrival| {
        let drain = drain_at(worker, arrival)?;
        let scheduler = senders.of(arrival)?;
        let reloads = scheduler.reloads.iter();
        let reload = reloads.filter(|at| **at <= arrival.at).max()?;
        let start = scheduler.limits_start(*reload, arrival.at)?;
        let notified = drain.from.max(start + AFTER_RELOAD);
        if arrival.at <= notified + DRAIN_SLACK {
            return None;
        }
        Some(format!(
            "{} {} ms after its drain was told by a reload",
            arrival.request,
            (arrival.at - notified) / 1_000
        ))
    })
}
