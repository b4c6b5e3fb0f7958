//! Faults of all kinds, drawn from the seed: the long form.

use std::time::Duration;

use super::report::request_summary;
use super::{all_have_list, start_with_list, wait_until_serving, Options, Outcome, PATIENCE};
use crate::load::Load;
use crate::relays::Faults;
use crate::schedule::{schedule, Fault, Step};
use crate::scheduler::CachedList;
use crate::settings::{COLD_SHARE, RAMP_MS};
use crate::world::{Setup, World, DISCOVERY};
use crate::TrialError;

const WORKERS: usize = 8;
/// Faults in one run.
const FAULTS: usize = 16;
/// The load, in requests a second.
const PER_SECOND: f64 = 200.0;
/// Up to so many schedulers have relays to their workers: 12,000 listeners and more would need as many descriptors.
const MOST_WITH_RELAYS: usize = 100;

pub(super) fn setup(options: Options) -> Setup {
    let schedulers = options.schedulers.unwrap_or(6);
    let mut setup = Setup::new(schedulers, WORKERS, options.seed);
    setup.relay_workers = schedulers <= MOST_WITH_RELAYS;
    setup.worker.cold_share = COLD_SHARE;
    setup.worker.ramp = Duration::from_millis(RAMP_MS);
    setup
}

/// Faults of all kinds under load; after the last one all schedulers have the list and serve.
pub(super) async fn mixed(world: &mut World) -> Result<Outcome, TrialError> {
    let (schedulers, seed) = (world.setup.schedulers, world.setup.seed);
    start_with_list(world).await?;
    let load = Load::cancelling(world, PER_SECOND, seed);
    let steps = schedule(seed, schedulers, WORKERS, FAULTS);
    let count = steps.len();
    for Step { after, fault } in steps {
        tokio::time::sleep(after).await;
        inject(world, fault).await?;
    }
    let recovered = wait_for_recovery(world).await;
    load.end().await;
    let mut violations = Vec::new();
    let recovery = match recovered {
        Ok(took) => format!("all is well {took:.3?} after the last"),
        Err(error) => {
            violations.push(error.to_string());
            String::new()
        }
    };
    Ok(Outcome {
        figures: vec![
            format!("{schedulers} schedulers, {count} steps; {recovery}"),
            request_summary(&world.facts()),
        ],
        violations,
        spare_capacity: false,
    })
}

/// Waits until all schedulers have the current list, and then until each serves.
async fn wait_for_recovery(world: &mut World) -> Result<Duration, TrialError> {
    let number = world.discovery.number();
    world
        .until("the last list on all", PATIENCE, |w| {
            all_have_list(w, number)
        })
        .await?;
    let all: Vec<usize> = (0..world.setup.schedulers).collect();
    wait_until_serving(world, &all).await
}

async fn inject(world: &mut World, fault: Fault) -> Result<(), TrialError> {
    match fault {
        Fault::Kill(s) => world.kill(s).await,
        Fault::Restart(s, true) => world.start(s, CachedList::Saved)?,
        Fault::Restart(s, false) => world.start(s, CachedList::None)?,
        Fault::Stop(s) => world.stop(s),
        Fault::GoOn(s) => world.go_on(s),
        Fault::CutDiscovery(s, there, back) => world.to_discovery(s, cut(there, back)),
        Fault::StallDiscovery(s) => world.to_discovery(s, STALL),
        Fault::HealDiscovery(s) => world.to_discovery(s, Faults::none()),
        Fault::ResetWorker(s, w) => reset_worker(world, s, w),
        Fault::DelayWorker(s, w, ms) => delay_worker(world, s, w, Duration::from_millis(ms)),
        Fault::Down(down) => world.down(down),
        Fault::Slow(ms) => {
            world.history.event(DISCOVERY, format!("slow by {ms} ms"));
            world.discovery.slow(Duration::from_millis(ms));
        }
        Fault::Silence => {
            world.history.event(DISCOVERY, "silent");
            world.discovery.silence();
        }
        Fault::Drain(w, true) => {
            world.drain(w);
        }
        Fault::Drain(w, false) => {
            world.undrain(w);
        }
        Fault::RestartWorker(w, ahead) => {
            world.restart_worker(w, Duration::from_millis(ahead));
        }
    }
    Ok(())
}

const STALL: Faults = Faults {
    stall: true,
    ..Faults::none()
};

fn cut(cut_there: bool, cut_back: bool) -> Faults {
    Faults {
        cut_there,
        cut_back,
        ..Faults::none()
    }
}

fn reset_worker(world: &World, s: usize, w: usize) {
    let (from, to) = (&world.schedulers[s].name, &world.workers[w].0);
    // Without relays to workers there is no such pair.
    _ = world.relays.reset(from, to);
}

fn delay_worker(world: &World, s: usize, w: usize, delay: Duration) {
    let (from, to) = (&world.schedulers[s].name, &world.workers[w].0);
    let faults = Faults {
        delay,
        jitter: delay,
        ..Faults::none()
    };
    world.relays.set(from, to, faults);
}
