//! The report of a scenario: its figures, the violations of all invariants, and the timeline.

use oakshed_timeline::Style;

use super::Outcome;
use crate::checks::{self, Facts, Violation};
use crate::history::{now, End};
use crate::timeline;
use crate::world::World;

/// The report of a scenario.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// What was counted, a line each.
    pub figures: Vec<String>,
    /// The violations, a line each.
    pub violations: Vec<String>,
    /// The merged timeline.
    pub timeline: String,
}

/// The most violations of one rule that are printed in full.
const MOST_PRINTED: usize = 20;

/// Checks the rules of all scenarios, and adds their violations to the scenario's own.
pub(super) fn report(world: &World, outcome: Outcome) -> Report {
    let Outcome {
        figures,
        mut violations,
        spare_capacity,
    } = outcome;
    let facts = world.facts();
    for (rule, found) in check_rules(world, &facts, spare_capacity) {
        violations.extend(violation_lines(world, rule, &found));
    }
    for order in timeline::order_violations(world) {
        violations.push(format!("order: {order}"));
    }
    Report {
        figures,
        violations,
        timeline: timeline::timeline(world).draw(&Style::default()),
    }
}

/// The violations of each rule, by its name.
fn check_rules(
    world: &World,
    facts: &Facts,
    spare_capacity: bool,
) -> Vec<(&'static str, Vec<Violation>)> {
    let cold = world.setup.deployment.cold;
    let mut rules = vec![
        ("runs once", checks::nothing_runs_twice(facts)),
        ("answered", checks::all_answered(facts)),
        ("drained", checks::drained_in_time(facts)),
        ("told", checks::notified_in_time(facts)),
        ("left", checks::nothing_after_cancellation(facts)),
        ("restarted", checks::restarted_in_time(facts, now())),
        ("cold", checks::slow_start_budgets(facts, cold)),
        ("reload", checks::notified_after_reload(facts)),
        ("group", checks::repeats_within_scope(facts)),
        ("unanswered", checks::unanswered_requests(facts)),
        ("time told", checks::retry_deadlines(facts)),
    ];
    // Workers of durable jobs see the job's name, not the request's id.
    if !world.setup.durable {
        rules.push(("failed unsent", checks::failed_unsent(facts)));
    }
    if spare_capacity {
        rules.push(("turned away", checks::rejecting_all(facts)));
        rules.push(("starved", checks::no_class_starved(facts)));
    }
    rules
}

fn violation_lines(world: &World, rule: &str, violations: &[Violation]) -> Vec<String> {
    let line = |v: &Violation| {
        let at = v.at.saturating_sub(world.began) as f64 / 1e6;
        format!("{rule}: {} at {at:.3} s: {}", v.node, v.description)
    };
    let mut lines: Vec<String> = violations.iter().take(MOST_PRINTED).map(line).collect();
    if violations.len() > MOST_PRINTED {
        lines.push(format!("{rule}: {} more", violations.len() - MOST_PRINTED));
    }
    lines
}

/// How the requests ended, in a line.
pub(super) fn request_summary(facts: &Facts) -> String {
    let count = |f: &dyn Fn(End) -> bool| facts.requests.iter().filter(|r| f(r.end)).count();
    let served = count(&|e| e == End::Answer(200));
    let other = count(&|e| matches!(e, End::Answer(s) if s != 200));
    let disconnected = count(&|e| e == End::Disconnected);
    let unsent = count(&|e| e == End::Unsent);
    let timed_out = count(&|e| e == End::TimedOut);
    format!(
        "{} requests: {served} served, {other} otherwise answered, {disconnected} broken, {unsent} unsent, {timed_out} silent",
        facts.requests.len()
    )
}
