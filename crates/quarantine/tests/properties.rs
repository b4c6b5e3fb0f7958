//! Property tests: the order of rows does not matter, a zone's share is never exceeded, malformed rows cause no panic.

use oakshed_quarantine::{
    AttemptCounter, Config, Effect, Outcome, Owner, Quarantine, RowTotals, Worker, WorkerState,
};
use proptest::prelude::*;

const BEGIN: u64 = 1_700_000_000;

fn list(workers: usize) -> Vec<Worker> {
    let each = |n: usize| Worker {
        name: format!("w{n}").into(),
        zone: ["east", "west"][n % 2].into(),
        capacity: 1 + (n as u32 * 7) % 5,
        started: (BEGIN - 3_600) * 1_000,
        state: WorkerState::Ready,
    };
    (0..workers).map(each).collect()
}

fn config(n: usize) -> Config {
    Config::new(
        Owner::new(&format!("s{n}"), 1),
        ["east", "west"][n % 2],
        &["read", "write"],
    )
}

/// A row: owner, window, subject, counts.
type Row = (Owner, u32, Vec<u8>, Vec<u32>);

/// The rows of four members over 100 s. `failures_per_thousand` is by worker.
fn rows(seed: u64, failures_per_thousand: &[u32]) -> Vec<Row> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let list = list(failures_per_thousand.len());
    let mut out = Vec::new();
    let mut counters: Vec<AttemptCounter> = (0..4)
        .map(|n| AttemptCounter::new(config(n), seed))
        .collect();
    for counter in &mut counters {
        counter.set_members(4);
        counter.set_workers(&list);
    }
    for second in 0..=100 {
        let now = (BEGIN + second) * 1_000_000;
        for (n, counter) in counters.iter_mut().enumerate() {
            for _ in 0..40 {
                let w = rng.usize(0..failures_per_thousand.len());
                let outcome = if rng.u32(0..1_000) < failures_per_thousand[w] {
                    Outcome::Reset
                } else {
                    Outcome::Success
                };
                counter.record_attempt(now, &list[w].name, rng.usize(0..2), true, outcome);
            }
            for row in counter.take_updates(now) {
                out.push((config(n).me, row.window, row.subject.clone(), row.counts()));
            }
        }
    }
    out
}

fn run(list: &[Worker], rows: &[Row]) -> (Vec<Effect>, Vec<String>) {
    let mut machine = Quarantine::new(config(0), 1);
    machine.set_workers(BEGIN * 1_000_000, list);
    for (owner, window, subject, counts) in rows {
        machine.merge(owner, *window, subject, counts);
    }
    machine.tick((BEGIN + 104) * 1_000_000);
    (
        std::iter::from_fn(|| machine.poll_effect()).collect(),
        machine.telemetry_lines(),
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::with_cases(24)
    })]

    #[test]
    fn rows_in_any_order_and_number_give_the_same_proposal(seed: u64, order: u64, which in 0_usize..10) {
        let mut failures_per_thousand = vec![10; 10];
        failures_per_thousand[which] = 300;
        let mut reported = rows(seed, &failures_per_thousand);
        let list = list(10);
        let first = run(&list, &reported);
        let name = format!("worker=w{which} ");
        prop_assert!(first.1.iter().any(|l| l.contains(&name)), "not proposed: {:?}", first.1);
        let mut rng = fastrand::Rng::with_seed(order);
        let again: Vec<Row> = reported.iter().filter(|_| rng.bool()).cloned().collect();
        reported.extend(again);
        rng.shuffle(&mut reported);
        prop_assert_eq!(run(&list, &reported), first);
    }

    #[test]
    fn the_share_of_a_zone_is_never_exceeded(
        seed: u64,
        failures_per_thousand in prop::collection::vec(0_u32..500, 4..14),
    ) {
        let list = list(failures_per_thousand.len());
        let (effects, _) = run(&list, &rows(seed, &failures_per_thousand));
        for zone in ["east", "west"] {
            let of = |w: &&Worker| &*w.zone == zone;
            let all: u32 = list.iter().filter(of).map(|w| w.capacity).sum();
            let proposed = |w: &&Worker| {
                effects.iter().any(|e| matches!(e, Effect::Proposed { worker, .. } if **worker == *w.name))
            };
            let out: u32 = list.iter().filter(of).filter(proposed).map(|w| w.capacity).sum();
            prop_assert!(f64::from(out) <= 0.2 * f64::from(all), "{out} of {all} in {zone}");
        }
    }

    #[test]
    fn rows_of_any_bytes_are_rejected_or_decoded(
        reported in prop::collection::vec(
            (0_u32..6, prop::collection::vec(any::<u8>(), 0..64), prop::collection::vec(any::<u32>(), 0..64)),
            0..60,
        ),
        tag in 0_u8..8,
    ) {
        let list = list(6);
        let mut machine = Quarantine::new(config(0), 1);
        machine.set_workers(BEGIN * 1_000_000, &list);
        let names = AttemptCounter::new(config(0), 1);
        prop_assert!(names.totals() == RowTotals::default());
        let window = (BEGIN / 10) as u32;
        // The digest of a real row, so that the bytes after it are decoded too.
        let real = rows(1, &[10; 6])[0].2.clone();
        for (ahead, mut subject, counts) in reported {
            machine.merge(&config(1).me, window + ahead, &subject, &counts);
            subject.splice(0..subject.len().min(4), [tag, 0, real[2], real[3]]);
            machine.merge(&config(1).me, window + ahead, &subject, &counts);
        }
        machine.tick((BEGIN + 30) * 1_000_000);
        prop_assert!(!machine.telemetry_lines().is_empty());
    }
}
