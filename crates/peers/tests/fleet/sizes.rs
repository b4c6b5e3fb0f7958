//! The cost of a member by the size of the fleet: bytes sent and processor time.
//!
//! To measure: `cargo test --release -p oakshed-peers --test fleet -- sizes --nocapture`, with
//! `OAKSHED_PEERS_SIZES=10,100,300` for fleet sizes other than the small default ones.

use std::time::Duration;

use oakshed_peers::budget::MAX_DEBT_BYTES;

use crate::world::{Slot, World, MS, S, START};

/// The duration of the measurement, in seconds.
const MEASURED_SECONDS: u64 = 20;

#[test]
fn sizes() {
    let sizes = std::env::var("OAKSHED_PEERS_SIZES").unwrap_or("10,40".into());
    for n in sizes
        .split(',')
        .map(|n| n.parse().expect("a size is a number"))
    {
        let mut world = World::new(n, 1, |_| ());
        let joined = world.run_until(60 * S, "membership converges", World::membership_converged);
        world.load = 1;
        world.run(10 * S);
        let from = (world.now - START) / S;
        let cpu: Vec<Duration> = world.slots.iter().map(|slot| slot.cpu).collect();
        world.run(MEASURED_SECONDS * S);
        print_sizes(&world, joined, from, &cpu);
        check_budget(&world);
    }
}

/// The bytes that a member sent in each measured second.
fn bytes_by_second(slot: &Slot, from: u64) -> impl Iterator<Item = u64> + '_ {
    let seconds = from + 1..from + MEASURED_SECONDS;
    seconds.map(|second| slot.sent_bytes.get(&second).copied().unwrap_or(0))
}

fn print_sizes(world: &World, joined: u64, from: u64, cpu_before: &[Duration]) {
    let n = world.slots.len();
    let bytes: Vec<u64> = world
        .slots
        .iter()
        .flat_map(|slot| bytes_by_second(slot, from))
        .collect();
    let max = bytes
        .iter()
        .max()
        .expect("at least one second was recorded");
    let ever = world.slots.iter().flat_map(|slot| slot.sent_bytes.values());
    let peak = ever.max().expect("at least one second was recorded");
    let cpu: Vec<f64> = world
        .slots
        .iter()
        .zip(cpu_before)
        .map(|(slot, before)| (slot.cpu - *before).as_secs_f64() / MEASURED_SECONDS as f64)
        .collect();
    let mean_cpu = cpu.iter().sum::<f64>() / n as f64;
    let max_cpu = cpu.iter().copied().fold(0.0, f64::max);
    let node = world.slots[0].node.as_ref().expect("the node is running");
    let stored = node.rows().sizes();
    println!(
        "{n} members: converged after {} ms; sent {} B/s mean, {max} B/s max, {peak} B in the worst \
         second since the start; {:.3}% of a core mean, {:.3}% max; {} rows, {} bytes stored",
        joined / MS,
        bytes.iter().sum::<u64>() / bytes.len() as u64,
        mean_cpu * 100.0,
        max_cpu * 100.0,
        stored.rows,
        stored.bytes,
    );
}

fn check_budget(world: &World) {
    let seconds = (world.now - START) / S;
    for slot in &world.slots {
        let total: u64 = slot.sent_bytes.values().sum();
        assert!(
            total <= 4_096 * seconds + 12_288 + MAX_DEBT_BYTES,
            "{}: {total} bytes in {seconds} s",
            slot.name
        );
    }
}
