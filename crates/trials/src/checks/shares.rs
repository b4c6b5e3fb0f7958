//! The terms that leave a share: what is counted over the whole fleet, and may be missed by a few.
//!
//! It owns these shares. A share must never excuse what a rule forbids to each: those checks are beside it.

use std::collections::BTreeMap;

use oakshed_standin::fleet::Arrival;

use super::{owed, Breach, Facts};
use crate::history::{End, Request};

/// So long after its client's time is up an answer still counts as one, in microseconds.
pub const ANSWER_SLACK: u64 = 500_000;
/// Requests that may be left without an answer: one in so many, and so many more.
const UNANSWERED: (usize, usize) = (500, 5);
/// A process turns all away that does so for so long on end, in microseconds, to so many at least.
pub const AWAY_FOR: u64 = 4_000_000;
/// The least of these.
pub const AWAY_LEAST: usize = 15;
/// One in so many processes may.
const AWAY_ONE_IN: usize = 10;
/// How much more than what is left to its client a further attempt may tell its worker, in microseconds.
pub const TOLD_SLACK: u64 = 150_000;
/// One in so many further attempts may tell more than that.
const TOLD_ONE_IN: usize = 5;
/// One in so many requests may fail without an attempt that a worker saw: what is reset on its way is in doubt.
const FAILED_ONE_IN: usize = 200;
/// A class is judged from so many requests on, and gets at least this part of what the best served one gets.
const STARVED: (usize, f64) = (12, 3.0);
/// Over so long, in microseconds.
pub const STARVED_SPAN: u64 = 3_000_000;

/// What came to workers, by request, in the order of its times.
fn attempts(facts: &Facts) -> BTreeMap<&str, Vec<(&Arrival, &str)>> {
    let mut by: BTreeMap<&str, Vec<(&Arrival, &str)>> = BTreeMap::new();
    for worker in &facts.workers {
        for arrival in &worker.arrivals {
            by.entry(&arrival.request)
                .or_default()
                .push((arrival, &worker.name));
        }
    }
    for arrivals in by.values_mut() {
        arrivals.sort_by_key(|(arrival, _)| arrival.at);
    }
    by
}

fn breach(facts: &Facts, request: &Request, what: String) -> Breach {
    Breach {
        at: request.ended,
        node: facts.schedulers[request.scheduler].name.clone(),
        what,
    }
}

/// Half a second after its client's time is up each request has its answer, but for one in 500 and five more.
#[must_use]
pub fn left_unanswered(facts: &Facts) -> Vec<Breach> {
    let ends = |r: &&Request| matches!(r.end, End::Answer(_) | End::Broken | End::Silence);
    let counted: Vec<&Request> = facts
        .requests
        .iter()
        .filter(ends)
        .filter(|r| owed(facts, r))
        .collect();
    let late = |r: &Request| r.ended > r.sent + r.patience + ANSWER_SLACK;
    let missing: Vec<Breach> = counted
        .iter()
        .filter(|r| !matches!(r.end, End::Answer(_)) || late(r))
        .map(|r| {
            let after = (r.ended - r.sent) / 1_000;
            breach(
                facts,
                r,
                format!(
                    "{} {:?} {after} ms after it was sent, as too many",
                    r.id, r.end
                ),
            )
        })
        .collect();
    if missing.len() <= counted.len() / UNANSWERED.0 + UNANSWERED.1 {
        return Vec::new();
    }
    missing
}

/// Turned away without an attempt: refused, failed, or closed without an answer, which count alike.
fn turned_away(facts: &Facts, request: &Request, tried: bool) -> bool {
    !tried
        && match request.end {
            End::Answer(status) => status != 200,
            End::Broken => owed(facts, request),
            End::Unsent | End::Silence | End::Left => false,
        }
}

/// How many requests were turned away without an attempt, whatever their answer's words.
#[must_use]
pub fn refused(facts: &Facts) -> usize {
    let tried = attempts(facts);
    facts
        .requests
        .iter()
        .filter(|r| turned_away(facts, r, tried.contains_key(r.id.as_str())))
        .count()
}

/// At most one in ten processes turns away all that it gets, 15 or more, for 4 s on end without an attempt.
/// A new life begins anew.
#[must_use]
pub fn turned_all_away(facts: &Facts) -> Vec<Breach> {
    let tried = attempts(facts);
    // For each scheduler: when it turned one away, and when it did something else.
    let mut events: Vec<Vec<(u64, bool)>> = facts
        .schedulers
        .iter()
        .map(|s| s.lives.iter().map(|life| (life.from, false)).collect())
        .collect();
    for request in &facts.requests {
        let came = tried.get(request.id.as_str());
        if turned_away(facts, request, came.is_some()) {
            events[request.scheduler].push((request.ended, true));
        }
        came.into_iter()
            .flatten()
            .for_each(|(arrival, _)| events[request.scheduler].push((arrival.at, false)));
    }
    let mut breaches = Vec::new();
    for (scheduler, mut events) in facts.schedulers.iter().zip(events) {
        events.sort_unstable();
        let mut on_end = events.split(|(_, away)| !away);
        let long = |run: &&[(u64, bool)]| {
            run.len() >= AWAY_LEAST && run[run.len() - 1].0 - run[0].0 >= AWAY_FOR
        };
        if let Some(run) = on_end.find(long) {
            let (at, for_ms) = (run[0].0, (run[run.len() - 1].0 - run[0].0) / 1_000);
            let what = format!(
                "turned away all {} for {for_ms} ms, as one of too many",
                run.len()
            );
            breaches.push(Breach {
                at,
                node: scheduler.name.clone(),
                what,
            });
        }
    }
    if breaches.len() * AWAY_ONE_IN <= facts.schedulers.len() {
        return Vec::new();
    }
    breaches
}

/// A further attempt tells its worker at most what is left to the client, and 0.15 s, but for a fifth of them.
#[must_use]
pub fn times_told(facts: &Facts) -> Vec<Breach> {
    let tried = attempts(facts);
    let (mut further, mut over) = (0, Vec::new());
    for request in &facts.requests {
        for (arrival, worker) in tried.get(request.id.as_str()).into_iter().flatten().skip(1) {
            let Some(told) = arrival.deadline_ms else {
                continue;
            };
            further += 1;
            let left = (request.sent + request.patience).saturating_sub(arrival.at);
            if told.saturating_mul(1_000) > left + TOLD_SLACK {
                let what = format!(
                    "{} was told {told} ms, {} ms were left",
                    request.id,
                    left / 1_000
                );
                over.push(Breach {
                    at: arrival.at,
                    node: (*worker).to_owned(),
                    what,
                });
            }
        }
    }
    if over.len() * TOLD_ONE_IN <= further {
        return Vec::new();
    }
    over
}

/// What no worker saw is refused, never failed: an answer 'failed' promises its client nothing.
#[must_use]
pub fn failed_unsent(facts: &Facts) -> Vec<Breach> {
    let tried = attempts(facts);
    let failed = |r: &&Request| matches!(r.end, End::Answer(s) if !matches!(s, 200 | 429 | 503));
    let unsent: Vec<Breach> = facts
        .requests
        .iter()
        .filter(failed)
        .filter(|r| !tried.contains_key(r.id.as_str()))
        .map(|r| {
            breach(
                facts,
                r,
                format!("{} had {:?} without an attempt, as too many", r.id, r.end),
            )
        })
        .collect();
    if unsent.len() * FAILED_ONE_IN <= facts.requests.len() {
        return Vec::new();
    }
    unsent
}

/// Where there is room for all, each class gets at least a third of what the best served one gets, by share, in each
/// span of 3 s: one that is starved only as long as a trouble lasts is starved.
pub fn no_class_starved(facts: &Facts) -> Vec<Breach> {
    let first = facts.requests.iter().map(|r| r.sent).min().unwrap_or(0);
    // By span and class: how many were asked, and how many served.
    let mut spans: BTreeMap<u64, Vec<(usize, usize)>> = BTreeMap::new();
    let counts = |r: &&Request| !matches!(r.end, End::Left | End::Unsent) && owed(facts, r);
    for request in facts.requests.iter().filter(counts) {
        let span = (request.sent - first) / STARVED_SPAN;
        let classes = spans
            .entry(span)
            .or_insert_with(|| vec![(0, 0); facts.classes.len()]);
        let (asked, served) = &mut classes[request.class];
        *asked += 1;
        *served += usize::from(request.end == End::Answer(200));
    }
    let mut breaches = Vec::new();
    for (span, classes) in spans {
        let share = |(asked, served): &(usize, usize)| *served as f64 / *asked as f64;
        let judged = |class: &(usize, usize)| class.0 >= STARVED.0;
        let best = classes
            .iter()
            .filter(|c| judged(c))
            .map(share)
            .fold(0.0, f64::max);
        for (class, counted) in classes.iter().enumerate().filter(|(_, c)| judged(c)) {
            if share(counted) * STARVED.1 < best {
                let (share, asked) = (share(counted), counted.0);
                let what = format!(
                    "{share:.3} of {asked} served in 3 s, where another class has {best:.3}"
                );
                let (at, node) = (
                    first + span * STARVED_SPAN,
                    facts.classes[class].name.clone(),
                );
                breaches.push(Breach { at, node, what });
            }
        }
    }
    breaches
}
