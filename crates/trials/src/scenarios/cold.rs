//! Cold start: a whole fleet starts at once without a list.

use std::time::Duration;

use oakshed_standin::fleet::{now_us, Pace};

use super::{all_have_list, Options, Outcome};
use crate::checks::{calls, densest, Calls, Facts};
use crate::scheduler::CachedList;
use crate::world::{Setup, World};
use crate::TrialError;

/// How long discovery takes for a call.
const PER_CALL: Duration = Duration::from_millis(20);
/// How long a call is queued at discovery before it is rejected.
const REJECT_AFTER: Duration = Duration::from_secs(3);
/// The most snapshots that may be requested, a scheduler.
const MOST_SNAPSHOTS: f64 = 1.15;
/// Up to so many schedulers no call may be rejected.
const MOST_WITHOUT_REJECTIONS: usize = 200;
/// How long all may take to get a list.
const READY_LIMIT: Duration = Duration::from_secs(60);
/// How long calls are recorded after the last scheduler is ready.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// The calls of so long from the start count, in microseconds.
const COUNTED: u64 = 10_000_000;

pub(super) fn setup(options: Options) -> Setup {
    Setup {
        relay_workers: false,
        ..Setup::new(options.schedulers.unwrap_or(20), 12, options.seed)
    }
}

/// All start at once without a list, against discovery that serves one call after the other.
pub(super) async fn start(world: &mut World) -> Result<Outcome, TrialError> {
    let schedulers = world.setup.schedulers;
    world.discovery.pace(Some(Pace {
        per_call: PER_CALL,
        reject_after: REJECT_AFTER,
    }));
    let number = world.discovery.number();
    let began = now_us();
    world.start_all(CachedList::None)?;
    let ready = world
        .until("a list on all", READY_LIMIT, |w| all_have_list(w, number))
        .await;
    tokio::time::sleep(SETTLING_TIME).await;
    let facts = world.facts();
    let counts = calls(&facts, began, began + COUNTED);
    let mut violations = call_violations(&counts, schedulers);
    if let Err(error) = ready {
        violations.insert(0, error.to_string());
    }
    Ok(Outcome {
        figures: figures(&facts, &counts, began),
        violations,
        spare_capacity: false,
    })
}

fn call_violations(counts: &Calls, schedulers: usize) -> Vec<String> {
    let mut violations = Vec::new();
    if counts.rejected > 0 && schedulers <= MOST_WITHOUT_REJECTIONS {
        violations.push(format!(
            "{} calls refused: discovery can serve all in time",
            counts.rejected
        ));
    }
    let snapshots = counts.snapshots as f64 / schedulers as f64;
    if snapshots > MOST_SNAPSHOTS {
        violations.push(format!(
            "{snapshots:.2} whole lists asked a scheduler; at most {MOST_SNAPSHOTS}"
        ));
    }
    violations
}

fn figures(facts: &Facts, counts: &Calls, began: u64) -> Vec<String> {
    let schedulers = facts.schedulers.len();
    let each = |n: usize| n as f64 / schedulers as f64;
    // The time that discovery needs for one call of each.
    let minimum = PER_CALL.as_secs_f64() * schedulers as f64;
    let first_call = facts.calls.iter().map(|c| c.at).min().unwrap_or(began);
    let ready = seconds_to_list(facts, first_call);
    let last = ready.last().copied().unwrap_or(0.0);
    let call_times: Vec<u64> = facts.calls.iter().map(|c| c.at).collect();
    vec![
        format!("{schedulers} schedulers, discovery's limit {minimum:.2} s"),
        format!(
            "calls {} ({:.2} a scheduler, at most {} by one), whole lists asked {} ({:.2}), refused {}, most in 100 ms {}",
            counts.all,
            each(counts.all),
            counts.most,
            counts.snapshots,
            each(counts.snapshots),
            counts.rejected,
            densest(call_times, 100_000)
        ),
        format!(
            "with a list after {:.3} s (first), {:.3} s (half), {last:.3} s (last) from the first call; {:.2} of the limit",
            ready.first().copied().unwrap_or(0.0),
            ready.get(ready.len() / 2).copied().unwrap_or(0.0),
            last / minimum
        ),
    ]
}

/// How long after `from` each scheduler had its first list, sorted.
fn seconds_to_list(facts: &Facts, from: u64) -> Vec<f64> {
    let mut seconds: Vec<f64> = facts
        .schedulers
        .iter()
        .filter_map(|s| s.received.iter().map(|list| list.at).min())
        .map(|at| at.saturating_sub(from) as f64 / 1e6)
        .collect();
    seconds.sort_by(f64::total_cmp);
    seconds
}
