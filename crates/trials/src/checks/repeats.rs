//! Where and when a request may run again.

use std::collections::{BTreeMap, BTreeSet};

use super::{Facts, Place, RepeatRule, Scope, Violation, WorkerFacts, REPEAT_SLACK};

/// The runs of one request or lease.
struct Runs<'a> {
    count: usize,
    /// The name of the worker of the first run.
    first: &'a str,
}

/// A request that may run at most once ran at most once, over all workers; so did each lease.
#[must_use]
pub fn nothing_runs_twice(facts: &Facts) -> Vec<Violation> {
    let once: BTreeSet<&str> = facts
        .requests
        .iter()
        .filter(|r| r.once)
        .map(|r| r.id.as_str())
        .collect();
    let mut runs: BTreeMap<&str, Runs> = BTreeMap::new();
    let mut violations = Vec::new();
    for worker in &facts.workers {
        for arrival in worker.arrivals.iter().filter(|a| a.ran) {
            let id = arrival.lease.as_deref().unwrap_or(&arrival.request);
            if arrival.lease.is_none() && !once.contains(id) {
                continue;
            }
            let runs = runs.entry(id).or_insert(Runs {
                count: 0,
                first: &worker.name,
            });
            runs.count += 1;
            if runs.count > 1 {
                violations.push(Violation {
                    at: arrival.at,
                    node: worker.name.clone(),
                    description: format!("{id} ran again, after {}", runs.first),
                });
            }
        }
    }
    violations
}

/// A run of a request.
struct Run<'a> {
    at: u64,
    worker: &'a WorkerFacts,
}

/// Once a request of a class whose repeats are dropped has run, further runs are in the same scope only, and
/// within the time for which its workers drop repeats.
#[must_use]
pub fn repeats_within_scope(facts: &Facts) -> Vec<Violation> {
    let classes: BTreeMap<&str, usize> = facts
        .requests
        .iter()
        .map(|r| (r.id.as_str(), r.class))
        .collect();
    let mut violations = Vec::new();
    for (id, runs) in runs_without_lease(facts) {
        let class = classes.get(id).and_then(|&class| facts.classes.get(class));
        if let Some(rule) = class.and_then(|class| class.repeats) {
            violations.extend(repeat_violation(id, &runs, rule));
        }
    }
    violations
}

/// The runs of each request without a lease, in the order of their times.
fn runs_without_lease(facts: &Facts) -> BTreeMap<&str, Vec<Run<'_>>> {
    let mut runs: BTreeMap<&str, Vec<Run>> = BTreeMap::new();
    for worker in &facts.workers {
        let without_lease = worker.arrivals.iter().filter(|a| a.lease.is_none());
        for arrival in without_lease.filter(|a| a.ran) {
            runs.entry(&arrival.request).or_default().push(Run {
                at: arrival.at,
                worker,
            });
        }
    }
    for runs in runs.values_mut() {
        runs.sort_by_key(|run| run.at);
    }
    runs
}

/// The first run beyond the scope or the window of the first one.
fn repeat_violation(id: &str, runs: &[Run], rule: RepeatRule) -> Option<Violation> {
    let first = runs.first()?;
    let in_scope = |place: &Place| match rule.scope {
        Scope::All => true,
        Scope::Zone => place.zone == first.worker.place.zone,
        Scope::Cell => place.cell == first.worker.place.cell,
    };
    let end = first.at + rule.window + REPEAT_SLACK;
    let again = runs
        .iter()
        .find(|run| !in_scope(&run.worker.place) || run.at > end)?;
    Some(Violation {
        at: again.at,
        node: again.worker.name.clone(),
        description: format!(
            "{id} ran {} ms after {}, in {:?}",
            (again.at - first.at) / 1_000,
            first.worker.name,
            rule.scope
        ),
    })
}
