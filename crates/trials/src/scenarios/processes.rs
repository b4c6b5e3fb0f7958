//! Faults of the schedulers' processes: stopped, killed and started again.

use std::time::Duration;

use super::report::request_summary;
use super::{
    all_have_list, start_with_list, wait_for_requests, wait_until_serving, Options, Outcome,
    PATIENCE,
};
use crate::history::End;
use crate::load::Load;
use crate::scheduler::CachedList;
use crate::world::{Setup, World};
use crate::TrialError;

/// How long a process is stopped.
const STOPPED: Duration = Duration::from_secs(3);
/// How often a third is killed.
const ROUNDS: usize = 2;

pub(super) fn setup_stopped(options: Options) -> Setup {
    Setup::new(options.schedulers.unwrap_or(6), 6, options.seed)
}

pub(super) fn setup_killed(options: Options) -> Setup {
    Setup {
        relay_workers: false,
        ..Setup::new(options.schedulers.unwrap_or(9), 8, options.seed)
    }
}

pub(super) fn setup_durable(options: Options) -> Setup {
    Setup {
        durable: true,
        relay_workers: false,
        ..Setup::new(options.schedulers.unwrap_or(3), 4, options.seed)
    }
}

/// A scheduler is stopped for 3 s under load, across the drain of a worker.
pub(super) async fn stopped(world: &mut World) -> Result<Outcome, TrialError> {
    let schedulers = world.setup.schedulers;
    start_with_list(world).await?;
    let load = Load::start(world, 40.0 * schedulers as f64, world.setup.seed);
    wait_for_requests(world, 100, &load).await?;
    let stopped = world.rng.usize(..schedulers);
    world.stop(stopped);
    tokio::time::sleep(STOPPED / 3).await;
    let number = world.drain(0);
    tokio::time::sleep(STOPPED * 2 / 3).await;
    let mut violations = Vec::new();
    if world.schedulers[stopped].has_list(number) {
        violations.push("the stopped one has heard: the stop does not stop".to_owned());
    }
    world.go_on(stopped);
    let took = world
        .until("the drain on all", PATIENCE, |w| all_have_list(w, number))
        .await?;
    wait_for_requests(world, 40 * schedulers, &load).await?;
    load.end().await;
    Ok(Outcome {
        figures: vec![
            format!(
                "{schedulers} schedulers, one stopped for {STOPPED:?}; it has the drain {took:.3?} after going on"
            ),
            request_summary(&world.facts()),
        ],
        violations,
        spare_capacity: false,
    })
}

/// A third is killed at once under load and started again with its saved list.
pub(super) async fn killed(world: &mut World) -> Result<Outcome, TrialError> {
    let schedulers = world.setup.schedulers;
    start_with_list(world).await?;
    let load = Load::start(world, 30.0 * schedulers as f64, world.setup.seed);
    let mut figures = vec![format!("{schedulers} schedulers")];
    for round in 0..ROUNDS {
        wait_for_requests(world, 150, &load).await?;
        let mut third: Vec<usize> = (0..schedulers).collect();
        world.rng.shuffle(&mut third);
        third.truncate(schedulers.div_ceil(3));
        for &s in &third {
            world.kill(s).await;
        }
        for &s in &third {
            world.start(s, CachedList::Saved)?;
        }
        let took = wait_until_serving(world, &third).await?;
        figures.push(format!(
            "round {round}: {} killed, all serve again {took:.3?} after their start",
            third.len()
        ));
    }
    wait_for_requests(world, 150, &load).await?;
    load.end().await;
    figures.push(request_summary(&world.facts()));
    Ok(Outcome {
        figures,
        violations: Vec::new(),
        spare_capacity: false,
    })
}

/// The lists with which killed schedulers start again.
const DURABLE_STARTS: [CachedList; 4] = [
    CachedList::Saved,
    CachedList::None,
    CachedList::Saved,
    CachedList::None,
];

/// Schedulers with durable jobs are killed under load and started again, alternately with their saved list and
/// without; clients retry until they have a final answer.
pub(super) async fn durable(world: &mut World) -> Result<Outcome, TrialError> {
    let schedulers = world.setup.schedulers;
    world.start_all(CachedList::None)?;
    let load = Load::retrying(world, 20.0 * schedulers as f64, world.setup.seed);
    let all: Vec<usize> = (0..schedulers).collect();
    wait_until_serving(world, &all).await?;
    let mut figures = vec![format!("{schedulers} schedulers with durable jobs")];
    for (n, list) in DURABLE_STARTS.into_iter().enumerate() {
        let s = world.rng.usize(..schedulers);
        wait_for_requests(world, 50, &load).await?;
        let took = restart_durable(world, s, list)
            .await
            .map_err(|error| TrialError::Step {
                step: format!("kill {n}, started with {list:?}"),
                error: Box::new(error),
            })?;
        figures.push(format!(
            "kill {n}: s{s} started with known list: {list:?}, serves after {took:.3?}"
        ));
    }
    load.end().await;
    let facts = world.facts();
    figures.push(request_summary(&facts));
    let not_final = facts
        .requests
        .iter()
        .filter(|r| !matches!(r.end, End::Answer(200 | 502)));
    let violations = not_final
        .map(|r| format!("{} has no final answer: {:?}", r.id, r.end))
        .collect();
    Ok(Outcome {
        figures,
        violations,
        spare_capacity: false,
    })
}

/// Kills a scheduler and starts it again; returns how long it took until it served.
async fn restart_durable(
    world: &mut World,
    s: usize,
    list: CachedList,
) -> Result<Duration, TrialError> {
    world.kill(s).await;
    // A scheduler with a list serves new requests while discovery is down.
    world.discovery.down(list == CachedList::Saved);
    world.start(s, list)?;
    let took = wait_until_serving(world, &[s]).await?;
    world.discovery.down(false);
    Ok(took)
}
