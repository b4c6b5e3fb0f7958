//! Faults between schedulers and discovery: unresponsive watches, and a cut in one direction.

use std::time::Duration;

use oakshed_standin::fleet::{now_us, Outcome as CallOutcome};

use super::report::request_summary;
use super::{all_have_list, start_with_list, wait_for_requests, Options, Outcome, PATIENCE};
use crate::checks::{calls, densest, Facts, NOTIFICATION_DEADLINE};
use crate::load::Load;
use crate::relays::Faults;
use crate::world::{Setup, World, DISCOVERY};
use crate::TrialError;

/// The load, in requests a second.
const PER_SECOND: f64 = 100.0;
/// The calls of so long after the watches became unresponsive are counted, in microseconds.
const COUNTED: u64 = 8_000_000;

pub(super) fn setup(options: Options) -> Setup {
    Setup {
        relay_workers: false,
        ..Setup::new(options.schedulers.unwrap_or(12), 12, options.seed)
    }
}

/// All watches become unresponsive at one moment, and a worker is drained right then.
pub(super) async fn unresponsive_watches(world: &mut World) -> Result<Outcome, TrialError> {
    start_with_list(world).await?;
    let load = Load::start(world, PER_SECOND, world.setup.seed);
    wait_for_watches(world).await?;
    let at = now_us();
    world.history.event(DISCOVERY, "silent");
    world.discovery.silence();
    let number = world.drain(0);
    let received = world
        .until("the drain on all", PATIENCE, |w| all_have_list(w, number))
        .await;
    let counted = Duration::from_micros(COUNTED.saturating_sub(now_us() - at));
    tokio::time::sleep(counted).await;
    load.end().await;
    let facts = world.facts();
    let delays = notification_delays(&facts, number, at);
    let mut violations = Vec::new();
    if let Err(error) = received {
        violations.push(error.to_string());
    }
    let late = delays
        .iter()
        .filter(|t| **t > NOTIFICATION_DEADLINE)
        .count();
    if late > 0 {
        let deadline = Duration::from_micros(NOTIFICATION_DEADLINE);
        violations.push(format!(
            "{late} schedulers have the drain later than {deadline:?} after the silence"
        ));
    }
    Ok(Outcome {
        figures: unresponsive_figures(&facts, &delays, at),
        violations,
        spare_capacity: false,
    })
}

/// How long after `at` each scheduler received that list or a later one, sorted; without it the largest number.
fn notification_delays(facts: &Facts, number: u64, at: u64) -> Vec<u64> {
    let mut delays: Vec<u64> = facts
        .schedulers
        .iter()
        .map(|scheduler| {
            let received = scheduler.received.iter().filter(|l| l.number >= number);
            let delays = received.map(|list| list.at.saturating_sub(at));
            delays.min().unwrap_or(u64::MAX)
        })
        .collect();
    delays.sort_unstable();
    delays
}

fn unresponsive_figures(facts: &Facts, delays: &[u64], at: u64) -> Vec<String> {
    let schedulers = facts.schedulers.len();
    let counts = calls(facts, at, at + COUNTED);
    let call_times = facts.calls.iter().map(|c| c.at).filter(|t| *t >= at);
    let seconds = |delay: u64| delay as f64 / 1e6;
    vec![
        format!(
            "{schedulers} schedulers have the drain after {:.3} s (first), {:.3} s (half), {:.3} s (last)",
            seconds(delays[0]),
            seconds(delays[delays.len() / 2]),
            seconds(delays[delays.len() - 1])
        ),
        format!(
            "calls in 8 s: {} ({:.2} a scheduler, at most {} by one), whole lists {}, refused {}, most in 100 ms {}",
            counts.all,
            counts.all as f64 / schedulers as f64,
            counts.most,
            counts.snapshots,
            counts.rejected,
            densest(call_times.collect(), 100_000)
        ),
        request_summary(facts),
    ]
}

/// Waits until each scheduler has a watch open on the current list.
async fn wait_for_watches(world: &mut World) -> Result<(), TrialError> {
    let all_watch = |world: &mut World| {
        let number = world.discovery.number();
        let calls = world.discovery.calls();
        let open: Vec<usize> = calls
            .iter()
            .filter(|c| c.from == Some(number) && c.outcome == CallOutcome::Open)
            .map(|c| c.caller)
            .collect();
        (0..world.schedulers.len()).all(|s| open.contains(&s))
    };
    world.until("a watch of each", PATIENCE, all_watch).await?;
    Ok(())
}

/// Discovery's answers to half of the schedulers do not arrive; a worker is drained; then the cut heals.
pub(super) async fn cut(world: &mut World) -> Result<Outcome, TrialError> {
    let schedulers = world.setup.schedulers;
    start_with_list(world).await?;
    let load = Load::start(world, PER_SECOND, world.setup.seed);
    wait_for_watches(world).await?;
    let (cut, connected): (Vec<usize>, Vec<usize>) = (0..schedulers).partition(|s| s % 2 == 0);
    let cut_back = Faults {
        cut_back: true,
        ..Faults::none()
    };
    for &s in &cut {
        world.to_discovery(s, cut_back);
    }
    let number = world.drain(0);
    let notified = wait_for_list(world, "the drain on the others", &connected, number).await?;
    let noticed = wait_for_new_calls(world, &cut).await?;
    let violations = notified_despite_cut(world, &cut, number);
    for &s in &cut {
        world.to_discovery(s, Faults::none());
    }
    let healed = wait_for_list(world, "the drain on all", &cut, number).await?;
    wait_for_requests(world, 200, &load).await?;
    load.end().await;
    let count = cut.len();
    Ok(Outcome {
        figures: vec![
            format!("{schedulers} schedulers, {count} cut off; the others have the drain after {notified:.3?}"),
            format!(
                "all that are cut off call anew within {noticed:.3?}; have the drain {healed:.3?} after healing"
            ),
            request_summary(&world.facts()),
        ],
        violations,
        spare_capacity: false,
    })
}

/// The violation where schedulers that are cut off have received the list.
fn notified_despite_cut(world: &World, cut: &[usize], number: u64) -> Vec<String> {
    let received = cut
        .iter()
        .filter(|&&s| world.schedulers[s].has_list(number))
        .count();
    if received == 0 {
        return Vec::new();
    }
    vec![format!(
        "{received} that were cut off have heard: the cut does not cut"
    )]
}

/// Waits until each of these schedulers has that list.
async fn wait_for_list(
    world: &mut World,
    condition: &str,
    which: &[usize],
    number: u64,
) -> Result<Duration, TrialError> {
    let have_list = |w: &mut World| which.iter().all(|&s| w.schedulers[s].has_list(number));
    world.until(condition, PATIENCE, have_list).await
}

/// Waits until each of these schedulers has detected its cut and calls again, without an answer.
async fn wait_for_new_calls(world: &mut World, cut: &[usize]) -> Result<Duration, TrialError> {
    let at = now_us();
    let called = |world: &mut World| {
        let calls = world.discovery.calls();
        cut.iter()
            .all(|&s| calls.iter().any(|c| c.caller == s && c.at > at))
    };
    world
        .until("a fresh call of each that is cut off", PATIENCE, called)
        .await
}
