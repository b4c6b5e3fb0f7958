//! The timeline of a trial, merged from the recorded events, discovery's calls and the schedulers' logs. The
//! counters that every process logs periodically are left out.

use oakshed_standin::fleet::{Call, Outcome};
use oakshed_timeline::Timeline;

use crate::history::LogLine;
use crate::world::{World, CLIENTS, DISCOVERY};

/// The longest label of a logged message, in characters.
const LONGEST_LABEL: usize = 48;

/// The whole timeline; its times begin with the trial.
#[must_use]
pub fn timeline(world: &World) -> Timeline {
    let schedulers = world.schedulers.iter().map(|s| s.name.clone());
    let workers = world.workers.iter().map(|(name, _)| name.clone());
    let mut timeline = Timeline::new(
        [DISCOVERY.to_owned()]
            .into_iter()
            .chain(schedulers)
            .chain(workers),
    );
    let since = |at: u64| at.saturating_sub(world.began);
    for event in world.history.record().events {
        let node = timeline.column(&event.node);
        timeline.event(since(event.at), node, event.label);
    }
    for scheduler in &world.schedulers {
        let node = timeline.column(&scheduler.name);
        for line in scheduler.log() {
            timeline.event(since(line.at), node, log_label(&line));
        }
    }
    for call in world.discovery.calls() {
        let node = timeline.column(&world.schedulers[call.caller].name);
        add_call(&mut timeline, node, &call, since);
    }
    _ = timeline.column(CLIENTS);
    timeline
}

fn log_label(line: &LogLine) -> String {
    match line.number {
        Some(number) => format!("list {number}"),
        None if line.message.contains(" listens on ") => "listens".to_owned(),
        None => line.message.chars().take(LONGEST_LABEL).collect(),
    }
}

/// Adds a call of the scheduler in column `node`, and its answer. Calls that returned nothing new are left out.
fn add_call(timeline: &mut Timeline, node: usize, call: &Call, since: impl Fn(u64) -> u64) {
    let answer = match call.outcome {
        Outcome::Unchanged => return,
        Outcome::Open => None,
        Outcome::Snapshot(number) | Outcome::Delta(number) => Some(format!("list {number}")),
        Outcome::Rejected => Some("503".to_owned()),
    };
    let label = match call.from {
        Some(from) => format!("watch {from}"),
        None => "ask".to_owned(),
    };
    let at = since(call.at);
    timeline.message(at, node, 0, Some(at), label);
    if let (Some(label), Some(done)) = (answer, call.done) {
        let done = since(done);
        timeline.message(done, 0, node, Some(done), label);
    }
}

/// Checks the order of events: no scheduler logs a list before discovery has it, or anything before its start.
/// Returns a line for each violation.
#[must_use]
pub fn order_violations(world: &World) -> Vec<String> {
    let timeline = timeline(world);
    let mut violations = Vec::new();
    for number in 2..=world.discovery.number() {
        let made = format!("{number}: ");
        let logged = format!("list {number}");
        let order = timeline.before(
            |e| e.node == 0 && e.word.starts_with(&made),
            |e| e.word == logged,
        );
        violations.extend(order.err());
    }
    for scheduler in &world.schedulers {
        let on = |e: &oakshed_timeline::Event| e.name == scheduler.name;
        let order = timeline.before(
            |e| on(e) && e.word.starts_with("start"),
            |e| on(e) && e.word == "listens",
        );
        violations.extend(order.err());
    }
    violations
}
