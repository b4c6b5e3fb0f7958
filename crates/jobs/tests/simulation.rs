//! Deterministic simulation of durable jobs under random faults.
//!
//! Scheduler processes, the disk, workers, the network and clients are simulated and fail at random; the state
//! machine, the log and the scheduling decisions are the real code. The invariants are checked against what the
//! simulated workers ran. A failing seed is printed with the command that replays it.

mod seeds;
mod world;

use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU64, Ordering};

/// Default seeds of the simulation; `OAKSHED_SEEDS` overrides them.
const SEEDS: RangeInclusive<u64> = 0..=19_999;

#[test]
fn no_job_runs_twice_and_each_has_one_answer() {
    let seeds = seeds::seeds(SEEDS);
    let count = seeds.end() - seeds.start() + 1;
    let verbose = count == 1;
    let next = AtomicU64::new(*seeds.start());
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    let total = std::sync::Mutex::new(world::Coverage::default());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > *seeds.end() {
                    return;
                }
                match std::panic::catch_unwind(|| world::World::run(seed, verbose)) {
                    Ok(Ok(coverage)) => total
                        .lock()
                        .expect("no thread panics with the lock")
                        .add(&coverage),
                    Ok(Err(violation)) => fail(seed, &violation),
                    Err(_) => fail(seed, "the simulation panicked, see the message above"),
                }
            });
        }
    });
    let total = total.into_inner().expect("no thread panics with the lock");
    println!("{count} seeds: {total:?}");
    // A run of this length must cover each kind of event.
    if count >= 1_000 {
        for (kind, occurrences) in total.required() {
            assert!(occurrences > 0, "never happened: {kind}");
        }
    }
}

/// Prints a violation and the command that replays its seed, and exits.
fn fail(seed: u64, violation: &str) {
    eprintln!("seed {seed}: {violation}");
    eprintln!(
        "replay: OAKSHED_SEEDS={seed} cargo test -p oakshed-jobs --test simulation -- --nocapture"
    );
    std::process::exit(101);
}
