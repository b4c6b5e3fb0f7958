//! Service returns: workers and schedulers all start at once, cold and without a list.

use std::ops::Range;
use std::time::Duration;

use oakshed_standin::fleet::now_us;

use super::report::request_summary;
use super::{Options, Outcome};
use crate::checks::{densest, Facts};
use crate::history::{End, Request};
use crate::load::Load;
use crate::scheduler::CachedList;
use crate::settings::{COLD_SHARE, RAMP_MS};
use crate::world::{Setup, World};
use crate::TrialError;

/// The service time of a worker: 25 jobs a second when warm.
const SERVICE: Duration = Duration::from_millis(40);
/// The load, as a share of what warm workers serve.
const LOAD_SHARE: f64 = 0.6;
/// When half of the schedulers is killed again.
const KILLED: Duration = Duration::from_secs(3);
/// The requests that count, by when they were sent after the start, in microseconds.
const COUNTED: Range<u64> = 5_000_000..14_000_000;
/// The least share served of these. 0.9 is the goal; the difference is for a machine that is busy with other tests.
const LEAST_SERVED: f64 = 0.85;

pub(super) fn setup(options: Options) -> Setup {
    let schedulers = options.schedulers.unwrap_or(20);
    let workers = (schedulers * 2 / 5).max(2);
    let mut setup = Setup::new(schedulers, workers, options.seed);
    setup.relay_workers = false;
    setup.worker.slots = 1;
    setup.worker.service = SERVICE;
    setup.worker.cold_share = COLD_SHARE;
    setup.worker.ramp = Duration::from_millis(RAMP_MS);
    setup
}

/// Workers and schedulers all start at once, cold and without a list, under load from the first moment; half of
/// the schedulers is killed again after three seconds.
pub(super) async fn returns(world: &mut World) -> Result<Outcome, TrialError> {
    let workers = world.setup.workers;
    for w in 0..workers {
        world.restart_worker(w, Duration::ZERO);
    }
    let began = now_us();
    world.start_all(CachedList::None)?;
    let per_second = LOAD_SHARE * workers as f64 / SERVICE.as_secs_f64();
    let load = Load::start(world, per_second, world.setup.seed);
    tokio::time::sleep(KILLED).await;
    restart_half(world).await?;
    let left = (began + COUNTED.end).saturating_sub(now_us());
    tokio::time::sleep(Duration::from_micros(left)).await;
    load.end().await;
    Ok(outcome(&world.facts(), began, per_second))
}

/// Kills a random half of the schedulers, and starts it again with its saved lists.
async fn restart_half(world: &mut World) -> Result<(), TrialError> {
    let schedulers = world.setup.schedulers;
    let mut half: Vec<usize> = (0..schedulers).collect();
    world.rng.shuffle(&mut half);
    half.truncate(schedulers / 2);
    for &s in &half {
        world.kill(s).await;
    }
    for &s in &half {
        world.start(s, CachedList::Saved)?;
    }
    Ok(())
}

fn outcome(facts: &Facts, began: u64, per_second: f64) -> Outcome {
    let counted = began + COUNTED.start..began + COUNTED.end;
    let ends: Vec<End> = facts
        .requests
        .iter()
        .filter(|r: &&Request| counted.contains(&r.sent))
        .map(|r| r.end)
        .collect();
    let sent = ends.len();
    let served = ends.iter().filter(|end| **end == End::Answer(200)).count();
    let share = served as f64 / sent.max(1) as f64;
    let mut violations = Vec::new();
    if share < LEAST_SERVED {
        violations.push(format!(
            "{share:.3} served from second 5 on; at least {LEAST_SERVED}"
        ));
    }
    let (schedulers, workers) = (facts.schedulers.len(), facts.workers.len());
    Outcome {
        figures: vec![
            format!(
                "{schedulers} schedulers, {workers} workers, {per_second:.0} requests a second"
            ),
            format!("from second 5 on {served} of {sent} served, {share:.3}"),
            connection_figures(facts),
            request_summary(facts),
        ],
        violations,
        spare_capacity: false,
    }
}

fn connection_figures(facts: &Facts) -> String {
    let opened = facts.workers.iter().map(|w| w.opened.clone());
    let all: Vec<u64> = opened.clone().flatten().collect();
    let most_to_one = opened.map(|times| densest(times, 100_000)).max();
    format!(
        "connections to workers: {}, most in 100 ms {} in all, {} to one",
        all.len(),
        densest(all, 100_000),
        most_to_one.unwrap_or(0)
    )
}
