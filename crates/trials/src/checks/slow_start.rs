//! Whether workers that start cold get no more than the slow-start budget.

use super::{Facts, Violation, WorkerFacts};

/// The slow-start budget of a cold worker: in any time of `fall` (seconds) at most N + 2 x root of N + 2 jobs, N
/// being the multiple of its current capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRule {
    /// The share of its capacity with which it starts.
    pub cold_share: f64,
    /// How long its slow start lasts, in seconds.
    pub ramp: f64,
    /// The multiple.
    pub multiple: f64,
    /// The time in which jobs are counted, in seconds.
    pub fall: f64,
}

impl SlowStartRule {
    /// The budget of a worker so many seconds after its start.
    fn budget(&self, jobs_per_second: f64, age: f64) -> f64 {
        let share = self.cold_share + (1.0 - self.cold_share) * age / self.ramp;
        let jobs = self.multiple * share * jobs_per_second * self.fall;
        jobs + 2.0 * jobs.sqrt() + 2.0
    }
}

/// No cold worker gets more than its slow-start budget, from all schedulers together.
#[must_use]
pub fn slow_start_budgets(facts: &Facts, rule: SlowStartRule) -> Vec<Violation> {
    let mut violations = Vec::new();
    for worker in &facts.workers {
        let arrivals: Vec<u64> = worker.arrivals.iter().map(|a| a.at).collect();
        for &start in &worker.starts {
            violations.extend(first_over_budget(worker, &arrivals, start, rule));
        }
    }
    violations
}

/// The first arrival beyond the budget of the cold worker that started then.
fn first_over_budget(
    worker: &WorkerFacts,
    arrivals: &[u64],
    start: u64,
    rule: SlowStartRule,
) -> Option<Violation> {
    let warm = start + (rule.ramp * 1e6) as u64;
    let window = (rule.fall * 1e6) as u64;
    for (n, &at) in arrivals.iter().enumerate() {
        if !(start..warm).contains(&at) {
            continue;
        }
        let from = start.max(at.saturating_sub(window));
        let up_to_now = arrivals[..=n].iter().rev();
        let count = up_to_now.take_while(|t| **t >= from).count() as f64;
        let age = (at - start) as f64 / 1e6;
        let budget = rule.budget(worker.jobs_per_second, age);
        if count > budget {
            let description = format!(
                "{count} jobs in {} s, {age:.2} s after its start; {budget:.0} may",
                rule.fall
            );
            return Some(Violation {
                at,
                node: worker.name.clone(),
                description,
            });
        }
    }
    None
}
