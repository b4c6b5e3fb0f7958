//! A deployment drawn from the seed, with the faults of a normal day and of a release.
//!
//! The load never exceeds the capacity: there is no excuse for a rejected, late or starved request.

use std::time::Duration;

use super::report::request_summary;
use super::{all_have_list, wait_for_requests, wait_until_serving, Options, Outcome, PATIENCE};
use crate::checks::rejections;
use crate::load::Load;
use crate::scheduler::CachedList;
use crate::settings::{Class, Deployment, Effect};
use crate::world::{Setup, World};
use crate::TrialError;

/// Faults in one run.
const FAULTS: usize = 3;
/// How long workers hang.
const HANG: Duration = Duration::from_millis(2_500);
/// How long discovery rejects calls.
const REJECTION: Duration = Duration::from_millis(800);
/// Requests before, between and after the faults.
const BETWEEN: usize = 60;

/// Sizes and times that go with a drawn deployment.
struct Sizes {
    schedulers: usize,
    workers: usize,
    slots: usize,
    per_second: f64,
    service: Duration,
}

impl Sizes {
    fn draw(options: Options, deployment: &Deployment) -> Sizes {
        let mut rng = fastrand::Rng::with_seed(options.seed ^ 0x5eed);
        let schedulers = options.schedulers.unwrap_or_else(|| rng.usize(3..=8));
        let workers = rng.usize(6..=14).max(schedulers * 2 / 3);
        let slots = rng.usize(1..=4);
        let per_second = 60.0 + 60.0 * rng.f64() + schedulers as f64;
        let used = 0.2 + 0.25 * rng.f64();
        // The service time follows from the load: a machine runs only so many requests a second.
        let service = (workers * slots) as f64 * used / per_second / deployment.mean_factor();
        Sizes {
            schedulers,
            workers,
            slots,
            per_second,
            service: Duration::from_secs_f64(service.min(0.1)),
        }
    }
}

pub(super) fn setup(options: Options) -> Setup {
    let deployment = Deployment::drawn(options.seed);
    let sizes = Sizes::draw(options, &deployment);
    Setup {
        worker: deployment.worker(sizes.slots, sizes.service),
        deployment,
        relay_workers: false,
        ..Setup::new(sizes.schedulers, sizes.workers, options.seed)
    }
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// A worker drains, and is ready again.
    Drain,
    /// A scheduler is killed under load, right after it has accepted requests, and starts again.
    Kill,
    /// A scheduler is moved to another address of discovery, and a worker drains right then.
    Reload,
    /// Discovery rejects all calls as all watches become unresponsive; a worker drains meanwhile.
    Rejected,
    /// A worker restarts cold.
    Cold,
    /// The workers of a zone, or a third where there is one zone, accept jobs without any answer for a while.
    Hang,
}

const ALL_FAULTS: [Fault; 6] = [
    Fault::Drain,
    Fault::Kill,
    Fault::Reload,
    Fault::Rejected,
    Fault::Cold,
    Fault::Hang,
];

pub(super) async fn drawn(world: &mut World) -> Result<Outcome, TrialError> {
    let options = Options {
        seed: world.setup.seed,
        schedulers: Some(world.setup.schedulers),
    };
    let sizes = Sizes::draw(options, &world.setup.deployment);
    let list = draw_list(world);
    world.start_all(list)?;
    wait_for_list(world).await?;
    let load = Load::start(world, sizes.per_second, options.seed);
    let mut faults = ALL_FAULTS;
    world.rng.shuffle(&mut faults);
    let faults = &faults[..FAULTS];
    for fault in faults {
        wait_for_requests(world, BETWEEN, &load).await?;
        inject(world, *fault).await?;
    }
    wait_for_requests(world, 2 * BETWEEN, &load).await?;
    load.end().await;
    Ok(Outcome {
        figures: figures(world, sizes.per_second, faults),
        violations: Vec::new(),
        spare_capacity: true,
    })
}

fn draw_list(world: &mut World) -> CachedList {
    if world.rng.bool() {
        CachedList::Saved
    } else {
        CachedList::None
    }
}

fn figures(world: &World, per_second: f64, faults: &[Fault]) -> Vec<String> {
    let facts = world.facts();
    let Setup {
        schedulers,
        workers,
        deployment,
        ..
    } = &world.setup;
    let classes: Vec<String> = deployment.classes.iter().map(class_figure).collect();
    vec![
        format!(
            "{schedulers} schedulers, {workers} workers in {} zones, {per_second:.0} requests a second, {faults:?}",
            deployment.zones
        ),
        format!(
            "list {}, {:?}; reports {:?}; {}",
            if deployment.pushed { "pushed" } else { "asked for" },
            deployment.list_format,
            deployment.reports,
            classes.join(", ")
        ),
        format!(
            "{}; {} turned away unsent",
            request_summary(&facts),
            rejections(&facts)
        ),
    ]
}

fn class_figure(class: &Class) -> String {
    let effect = match class.effect {
        Effect::Guarded(scope, ms) => format!("guarded {scope:?} {ms} ms"),
        effect => format!("{effect:?}"),
    };
    format!(
        "{} ({effect}, {} ms, aim {}, worth {})",
        class.name, class.deadline_ms, class.latency_objective_ms, class.priority_weight
    )
}

/// Waits until each running scheduler has the current list.
async fn wait_for_list(world: &mut World) -> Result<(), TrialError> {
    let number = world.discovery.number();
    world
        .until("the list on all", PATIENCE, |w| all_have_list(w, number))
        .await?;
    Ok(())
}

/// Injects a fault at a random scheduler or worker, and waits until it is mended.
async fn inject(world: &mut World, fault: Fault) -> Result<(), TrialError> {
    let s = world.rng.usize(..world.setup.schedulers);
    let w = world.rng.usize(..world.setup.workers);
    match fault {
        Fault::Drain => drain_and_undrain(world, w).await?,
        Fault::Kill => {
            let list = draw_list(world);
            world.kill(s).await;
            world.start(s, list)?;
            wait_until_serving(world, &[s]).await?;
        }
        Fault::Reload => {
            world.reload(s).await?;
            drain_and_undrain(world, w).await?;
        }
        Fault::Rejected => {
            world.discovery.reject_calls(true);
            world.discovery.silence();
            world.drain(w);
            tokio::time::sleep(REJECTION).await;
            world.discovery.reject_calls(false);
            wait_for_list(world).await?;
            world.undrain(w);
        }
        Fault::Cold => {
            world.restart_worker(w, Duration::ZERO);
        }
        Fault::Hang => hang_with(world, w).await,
    }
    wait_for_list(world).await
}

async fn drain_and_undrain(world: &mut World, w: usize) -> Result<(), TrialError> {
    world.drain(w);
    wait_for_list(world).await?;
    world.undrain(w);
    Ok(())
}

/// Lets the workers of this worker's zone hang for a while; of a single zone a third.
async fn hang_with(world: &World, w: usize) {
    let deployment = &world.setup.deployment;
    let hangs = |other: &usize| match deployment.zones {
        1 => other % 3 == w % 3,
        // One of two zones leaves capacity enough: the load needs no more than half.
        _ => deployment.zone(*other) == deployment.zone(w),
    };
    let hanging: Vec<usize> = (0..world.setup.workers).filter(hangs).collect();
    for &worker in &hanging {
        world.hang(worker, true);
    }
    tokio::time::sleep(HANG).await;
    for &worker in &hanging {
        world.hang(worker, false);
    }
}
