//! Cold starts: a whole fleet begins at once.

use std::time::Duration;

use oakshed_standin::fleet::{now_us, Pace};

use super::{Options, Told};
use crate::checks::{calls, densest};
use crate::scheduler::Known;
use crate::world::{Setup, World};

const PER_CALL: Duration = Duration::from_millis(20);
const REFUSE_AFTER: Duration = Duration::from_secs(3);
/// Until the calls of a start are over, beyond the last to be ready.
const WATCHED: Duration = Duration::from_secs(2);

pub(super) fn setup(options: Options) -> Setup {
    Setup { relay_workers: false, ..Setup::new(options.schedulers.unwrap_or(20), 12, options.seed) }
}

/// All start at once without a list, against a director that serves in turn.
pub(super) async fn start(world: &mut World) -> Result<Told, String> {
    let schedulers = world.setup.schedulers;
    world.director.pace(Some(Pace { per_call: PER_CALL, refuse_after: REFUSE_AFTER }));
    let number = world.director.number();
    let began = now_us();
    world.start_all(Known::No).map_err(|e| e.to_string())?;
    let limit = Duration::from_secs(60);
    let ready =
        world.until("a list on all", limit, |world| world.schedulers.iter().all(|s| s.holds(number))).await;
    tokio::time::sleep(WATCHED).await;
    let facts = world.facts();
    let first = |s: &crate::checks::SchedulerFacts| s.told.iter().map(|(at, _)| *at).min();
    let called = facts.calls.iter().map(|c| c.at).min().unwrap_or(began);
    let mut told: Vec<f64> =
        facts.schedulers.iter().filter_map(first).map(|at| at.saturating_sub(called) as f64 / 1e6).collect();
    told.sort_by(f64::total_cmp);
    let counts = calls(&facts, began, began + 10_000_000);
    // What the director needs for one call of each.
    let least = PER_CALL.as_secs_f64() * schedulers as f64;
    let last = told.last().copied().unwrap_or(0.0);
    let each = |n: usize| n as f64 / schedulers as f64;
    let times: Vec<u64> = facts.calls.iter().map(|c| c.at).collect();
    let figures = vec![
        format!("{schedulers} schedulers, director's limit {least:.2} s"),
        format!(
            "calls {} ({:.2} a scheduler, at most {} by one), whole lists asked {} ({:.2}), refused {}, most in 100 ms {}",
            counts.all, each(counts.all), counts.most, counts.whole, each(counts.whole), counts.refused,
            densest(times, 100_000)
        ),
        format!(
            "with a list after {:.3} s (first), {:.3} s (half), {last:.3} s (last) from the first call; {:.2} of the limit",
            told.first().copied().unwrap_or(0.0),
            told.get(told.len() / 2).copied().unwrap_or(0.0),
            last / least
        ),
    ];
    let mut broken: Vec<String> = ready.err().into_iter().collect();
    if counts.refused > 0 && schedulers <= 100 {
        broken.push(format!("{} calls refused: the director can serve all in time", counts.refused));
    }
    Ok(Told { figures, broken })
}
