//! The scenarios: the faults that each injects, and the invariants that are checked after it.
//!
//! A scenario gets its seed and its size, injects its faults, and reports figures and violations. It waits for
//! conditions, not for moments; its limits are those of the rules.

mod calls;
mod cold;
mod discovery;
mod drawn;
mod list;
mod mixed;
mod processes;
mod report;
mod returns;

use std::future::Future;
use std::time::Duration;

use tokio::signal::unix::{signal, SignalKind};

use crate::history::{now, End, Request};
use crate::load::Load;
use crate::scheduler::CachedList;
use crate::world::{block_on, Setup, World};
use crate::TrialError;

use list::Kind;
pub use list::{Scenario, ALL};
pub use report::Report;

/// The parameters of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The seed of its faults and loads.
    pub seed: u64,
    /// The number of schedulers; None: as many as in CI.
    pub schedulers: Option<usize>,
}

/// Runs a scenario. Where `interruptible`, Ctrl-C and SIGTERM end it in order; else they end this process, and the
/// watchdog ends the processes that were started.
///
/// # Errors
/// Where there is none of that name, it could not be set up, or it was interrupted; all that was started has
/// ended by then.
pub fn run(name: &str, options: Options, interruptible: bool) -> Result<Report, TrialError> {
    let scenario = ALL.iter().find(|scenario| scenario.name == name);
    let kind = scenario
        .ok_or_else(|| TrialError::UnknownScenario(name.to_owned()))?
        .kind;
    let mut report = run_to_end(run_kind(kind, options), interruptible)?;
    if !report.violations.is_empty() {
        let mut command = format!("oakshed-trials play {name} --seed {}", options.seed);
        if let Some(schedulers) = options.schedulers {
            command += &format!(" --schedulers {schedulers}");
        }
        report.violations.push(format!("play it again: {command}"));
    }
    Ok(report)
}

/// Runs a trial on a runtime of its own. Where `interruptible`, Ctrl-C and SIGTERM end it.
///
/// # Errors
/// The trial's, those of the runtime, and [`TrialError::Interrupted`].
pub(crate) fn run_to_end<T>(
    trial: impl Future<Output = Result<T, TrialError>>,
    interruptible: bool,
) -> Result<T, TrialError> {
    block_on(async {
        if !interruptible {
            return trial.await;
        }
        let mut term = signal(SignalKind::terminate())?;
        tokio::select! {
            result = trial => result,
            _ = tokio::signal::ctrl_c() => Err(TrialError::Interrupted),
            _ = term.recv() => Err(TrialError::Interrupted),
        }
    })?
}

/// What a scenario reports of itself.
#[derive(Default)]
struct Outcome {
    figures: Vec<String>,
    violations: Vec<String>,
    /// There was capacity for all requests, so that the terms of such days hold.
    spare_capacity: bool,
}

fn setup(kind: Kind, options: Options) -> Setup {
    match kind {
        Kind::ColdStart => cold::setup(options),
        Kind::Returns => returns::setup(options),
        Kind::SilentWatches | Kind::DiscoveryCut => discovery::setup(options),
        Kind::Stopped => processes::setup_stopped(options),
        Kind::ThirdKilled => processes::setup_killed(options),
        Kind::DurableKills => processes::setup_durable(options),
        Kind::Drawn => drawn::setup(options),
        Kind::FailingCalls => calls::setup(options),
        Kind::Mixed => mixed::setup(options),
    }
}

async fn run_kind(kind: Kind, options: Options) -> Result<Report, TrialError> {
    let mut world = World::new(setup(kind, options)).await?;
    let outcome = match kind {
        Kind::ColdStart => cold::start(&mut world).await,
        Kind::Returns => returns::returns(&mut world).await,
        Kind::SilentWatches => discovery::unresponsive_watches(&mut world).await,
        Kind::DiscoveryCut => discovery::cut(&mut world).await,
        Kind::Stopped => processes::stopped(&mut world).await,
        Kind::ThirdKilled => processes::killed(&mut world).await,
        Kind::DurableKills => processes::durable(&mut world).await,
        Kind::Drawn => drawn::drawn(&mut world).await,
        Kind::FailingCalls => calls::failing(&mut world).await,
        Kind::Mixed => mixed::mixed(&mut world).await,
    };
    // A condition that was not reached is a violation too, and is read from the same timeline.
    let outcome = outcome.unwrap_or_else(|error| Outcome {
        violations: vec![error.to_string()],
        ..Outcome::default()
    });
    Ok(report::report(&world, outcome))
}

/// How long a scenario waits for a condition, beyond any limit of a rule: a machine may be busy.
const PATIENCE: Duration = Duration::from_secs(30);

/// Starts all schedulers with the current list, and waits until each has logged it.
async fn start_with_list(world: &mut World) -> Result<(), TrialError> {
    world.start_all(CachedList::Saved)?;
    let number = world.discovery.number();
    world
        .until("a list on all", PATIENCE, |w| all_have_list(w, number))
        .await?;
    Ok(())
}

/// Whether each scheduler has that list, or a later one.
fn all_have_list(world: &World, number: u64) -> bool {
    world.schedulers.iter().all(|s| s.has_list(number))
}

/// Waits until so many further requests have ended.
async fn wait_for_requests(world: &World, requests: usize, load: &Load) -> Result<(), TrialError> {
    let wanted = world.history.requests() + requests;
    let start = tokio::time::Instant::now();
    while world.history.requests() < wanted {
        if start.elapsed() > PATIENCE {
            return Err(TrialError::LoadStalled {
                sent: load.sent(),
                ended: world.history.requests(),
            });
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// Waits until each of these schedulers has served a request that was sent from now on.
async fn wait_until_serving(world: &mut World, which: &[usize]) -> Result<Duration, TrialError> {
    let from = now();
    let served = |requests: &[Request], s: usize| {
        requests
            .iter()
            .rev()
            .filter(|r| r.scheduler == s && r.sent >= from)
            .any(|r| r.end == End::Answer(200))
    };
    let all_serve = |world: &mut World| {
        let requests = world.history.record().requests;
        which.iter().all(|&s| served(&requests, s))
    };
    world
        .until("a request served by each", PATIENCE, all_serve)
        .await
}
