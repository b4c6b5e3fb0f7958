//! Property tests: limits on calls, merging of rows, subjects, snapshots, responsibility and sampling.

use std::collections::BTreeMap;
use std::sync::Arc;

use oakshed_prewarm::{Config, Effect, Kind, Prewarm, Raise, RestoreError, Worker, SECOND};
use proptest::prelude::*;

const START: u64 = 1_700_000_000 * SECOND;

fn kind(n: usize) -> Kind {
    Kind::new(&format!("K{}", n % 5), &format!("H{}", n % 2))
}

fn worker(n: usize, bits: u8) -> Worker {
    Worker {
        name: format!("w{n}").into(),
        zone: format!("H{}", n % 2).into(),
        supports_prewarm: bits & 1 != 0,
        ready: bits & 2 != 0,
        unavailable: bits & 4 != 0,
        budget: u32::from(bits >> 3 & 7),
        max_classes: u32::from(bits >> 6),
    }
}

fn available_worker(n: usize) -> Worker {
    Worker {
        budget: 1_000,
        max_classes: 4,
        ..worker(n, 3)
    }
}

/// A random input to the state machine.
#[derive(Clone, Debug)]
enum Step {
    Arrival(usize, usize),
    Row(u32, usize, Vec<u32>),
    Workers(Vec<u8>),
    Members(u8),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..10_usize, 0..8_usize).prop_map(|(k, w)| Step::Arrival(k, w)),
        2 => (0..4_u32, 0..10_usize, prop::collection::vec(0..4_u32, 0..10)).prop_map(|(o, k, c)| Step::Row(o, k, c)),
        1 => prop::collection::vec(any::<u8>(), 8).prop_map(Step::Workers),
        1 => any::<u8>().prop_map(Step::Members),
        4 => (0..200_000_000_u64).prop_map(Step::Wait),
    ]
}

/// The end of each requested keep-alive, by worker and class.
type Called = BTreeMap<(Arc<str>, Arc<str>), u64>;

/// A member under test, and its keep-alives as seen by the workers.
struct Harness {
    prewarm: Prewarm,
    workers: Vec<Worker>,
    now: u64,
    called: Called,
    calls: Vec<(u64, Effect)>,
}

impl Harness {
    fn new(seed: u64, share: f64) -> Harness {
        let config = Config {
            name: "me".into(),
            max_warm_share: share,
            ..Config::default()
        };
        let workers: Vec<Worker> = (0..8).map(available_worker).collect();
        let mut prewarm = Prewarm::new(config, seed);
        prewarm.set_workers(&workers);
        Harness {
            prewarm,
            workers,
            now: START,
            called: Called::new(),
            calls: Vec::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        let now = self.now;
        match step {
            Step::Arrival(k, w) => {
                let worker = &self.workers[*w].name;
                self.prewarm.record_arrival(now, &kind(*k), Some(worker));
            }
            Step::Row(o, k, counts) => {
                let window = (now / (10 * SECOND)) as u32;
                let subject = kind(*k).subject(0);
                self.prewarm
                    .merge_row(now, &format!("o{o}"), window, &subject, counts);
            }
            Step::Workers(bits) => {
                let numbered = bits.iter().enumerate();
                self.workers = numbered.map(|(n, bits)| worker(n, *bits)).collect();
                self.prewarm.set_workers(&self.workers);
                // Keep-alives on unavailable workers don't count towards the limits.
                let workers = &self.workers;
                let is_available = |worker: &Worker| worker.is_available();
                self.called.retain(|(name, _), _| {
                    workers.iter().any(|w| w.name == *name && is_available(w))
                });
            }
            Step::Members(bits) => {
                let live: Vec<Arc<str>> = (0..8)
                    .filter(|n| bits >> n & 1 != 0)
                    .map(|n| format!("o{n}").into())
                    .collect();
                self.prewarm.set_members(&live);
            }
            Step::Wait(span) => self.now += span,
        }
    }

    /// Takes all pending calls and checks them against the limits. The limits on numbers are not checked right after a
    /// change of the workers, which may have lowered them.
    fn check_calls(&mut self, known: usize, has_changed: bool) {
        let mut added = 0;
        while let Some(effect) = self.prewarm.poll_effect() {
            let Effect::Prepare {
                worker,
                class,
                keep_ms,
            } = &effect;
            let called_worker = self.workers.iter().find(|w| w.name == *worker);
            let is_available = called_worker.is_some_and(Worker::is_available);
            assert!(is_available, "call to the unavailable worker {worker}");
            assert!(*keep_ms > 0);
            let key = (worker.clone(), class.clone());
            let until = self.called.entry(key).or_insert_with(|| {
                added += 1;
                0
            });
            *until = (*until).max(self.now + keep_ms * 1_000);
            let on_worker = self
                .called
                .keys()
                .filter(|(name, _)| name == worker)
                .count();
            // New keep-alives must fit the current capacity and share.
            let capacity = called_worker.map_or(0, |w| w.max_classes as usize);
            assert!(
                has_changed || added == 0 || on_worker <= capacity.max(known),
                "{on_worker} classes on one worker with a capacity of {capacity}"
            );
            self.calls.push((self.now, effect));
        }
        let max = self.prewarm.max_keep_alives();
        let called = self.called.len();
        assert!(
            has_changed || added == 0 || called <= max,
            "{called} keep-alives, at most {max} allowed"
        );
    }
}

/// Applies the steps, checks each call against the limits, and returns all calls with their times.
fn run(steps: &[Step], seed: u64, share: f64) -> Vec<(u64, Effect)> {
    let mut harness = Harness::new(seed, share);
    for (n, step) in steps.iter().enumerate() {
        harness.apply(step);
        let now = harness.now;
        let known = harness.called.len();
        harness.called.retain(|_, until| *until > now);
        harness.prewarm.tick(now);
        if matches!(steps.get(n + 1), Some(Step::Workers(_))) {
            // The pending calls stay in the queue, to test that the change of workers removes invalid ones.
            continue;
        }
        harness.check_calls(known, matches!(step, Step::Workers(_)));
    }
    harness.calls
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Calls respect availability, capacity and share, and equal inputs give equal calls.
    #[test]
    fn calls_respect_the_limits_and_are_deterministic(steps in prop::collection::vec(step(), 1..120), seed in any::<u64>(), share in 0.0..1.0_f64) {
        prop_assert_eq!(run(&steps, seed, share), run(&steps, seed, share));
    }

    /// The models don't depend on the order, repetition or partial delivery of rows before their slots close.
    #[test]
    fn rows_merge_in_any_order(
        rows in prop::collection::vec((0..5_u32, 0..10_usize, prop::collection::vec(0..4_u32, 10)), 1..20),
        order in prop::collection::vec((0..20_usize, 0..10_usize), 0..60),
    ) {
        let now = START + SECOND;
        let window = (now / (10 * SECOND)) as u32;
        let mut rows = rows;
        rows.sort();
        rows.dedup_by_key(|r| (r.0, r.1));
        let model = |order: &[(usize, usize)]| {
            let mut p = Prewarm::new(Config { name: "me".into(), ..Config::default() }, 1);
            for n in 0..10 {
                p.record_running_time(&kind(n), SECOND);
            }
            let whole = rows.iter().map(|r| (r, 10));
            let parts = order.iter().map(|(r, upto)| (&rows[r % rows.len()], *upto));
            for ((o, k, counts), upto) in parts.chain(whole) {
                p.merge_row(now, &format!("o{o}"), window, &kind(*k).subject(0), &counts[..upto]);
            }
            for s in 1..100 {
                p.tick(now + s * SECOND);
            }
            p.snapshot(0)
        };
        prop_assert_eq!(model(&order), model(&[]));
    }

    /// A corrupted snapshot may be rejected or restored, but must not cause a panic.
    #[test]
    fn damaged_snapshots_cause_no_panic(at in any::<prop::sample::Index>(), to in any::<u8>(), cut in any::<prop::sample::Index>()) {
        let config = Config { name: "me".into(), ..Config::default() };
        let mut p = Prewarm::new(config.clone(), 1);
        p.set_workers(&(0..8).map(available_worker).collect::<Vec<_>>());
        for n in 0..60_u64 {
            p.record_arrival(START + n * n * SECOND, &kind((n % 10) as usize), Some("w1"));
            p.tick(START + (n * n + 10) * SECOND);
        }
        let mut bytes = p.snapshot(START);
        let place = at.index(bytes.len());
        bytes[place] = to;
        bytes.truncate(cut.index(bytes.len()) + 1);
        let mut q = Prewarm::new(config, 1);
        q.set_workers(&(0..8).map(available_worker).collect::<Vec<_>>());
        let _ = q.restore(START, &bytes);
        for s in 0..100 {
            q.record_arrival(START + s * SECOND, &kind(s as usize % 10), Some("w1"));
            q.tick(START + s * SECOND);
        }
    }

    /// Subjects survive encoding and decoding, and arbitrary subjects cause no panic.
    #[test]
    fn subjects_round_trip_and_malformed_ones_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..70), n in 0..10_usize, exponent in 0..=16_u8) {
        prop_assert_eq!(Kind::from_subject(&kind(n).subject(exponent)), Some((kind(n), exponent)));
        let mut p = Prewarm::new(Config::default(), 1);
        p.merge_row(START, "o1", (START / (10 * SECOND)) as u32, &bytes, &[1, u32::MAX, 3]);
        p.tick(START + 60 * SECOND);
    }
}

/// A snapshot from the future, or with times after its own, is rejected: such times would overflow in later sums.
#[test]
fn snapshots_with_future_times_are_rejected() {
    let config = Config {
        name: "me".into(),
        ..Config::default()
    };
    let mut p = Prewarm::new(config.clone(), 1);
    p.record_arrival(START, &kind(1), None);
    for s in 1..9 {
        p.tick(START + s * SECOND);
    }
    let mut q = Prewarm::new(config, 1);
    assert_eq!(
        q.restore(START, &p.snapshot(START + 1)),
        Err(RestoreError::Future)
    );
    assert_eq!(
        q.restore(START, &p.snapshot(START - 1)),
        Err(RestoreError::Invalid)
    );
    assert_eq!(q.restore(START, &[]), Err(RestoreError::Damaged));
    assert_eq!(
        q.restore(START + SECOND, &p.snapshot(START + SECOND)),
        Ok(())
    );
    assert!(q.forecast(START + SECOND, &kind(1), SECOND).is_some());
}

/// When a member dies, only its kinds move to other members, and kinds are spread evenly.
#[test]
fn only_the_kinds_of_a_dead_member_move() {
    let live: Vec<Arc<str>> = (0..30).map(|n| format!("s{n}").into()).collect();
    let without: Vec<Arc<str>> = live.iter().filter(|m| &***m != "s7").cloned().collect();
    let mut moved = 0;
    let mut counts = BTreeMap::<&str, usize>::new();
    for n in 0..3_000 {
        let kind = Kind::new(&format!("C{n}"), "H1");
        let (before, after) = (
            kind.responsible(&live).unwrap(),
            kind.responsible(&without).unwrap(),
        );
        *counts.entry(before).or_default() += 1;
        moved += usize::from(&**before == "s7");
        assert!(before == after || &**before == "s7");
    }
    assert!((70..140).contains(&moved), "{moved} kinds moved");
    assert!(counts.values().all(|c| (60..150).contains(c)), "{counts:?}");
}

/// Arrivals of a frequent kind are reported as a sample, from which the others estimate the number.
#[test]
fn arrivals_of_frequent_kinds_are_sampled() {
    let config = Config {
        name: "s0".into(),
        ..Config::default()
    };
    let (mut sender, mut receiver) = (Prewarm::new(config.clone(), 1), Prewarm::new(config, 2));
    let (frequent, mut reported, mut estimated) = (kind(0), Vec::new(), 0);
    for i in 0..40 * 300_u64 {
        let now = START + i * SECOND / 40;
        sender.record_arrival(now, &frequent, None);
        sender.tick(now);
        reported.extend(sender.take_raises());
    }
    for raise in &reported {
        let Raise {
            window,
            subject,
            index,
            add,
        } = raise;
        let (_, sampling_exponent) = Kind::from_subject(subject).unwrap();
        estimated += add << sampling_exponent;
        // Each increment is merged as the counts of a row of its own.
        let mut counts = vec![0; index + 1];
        counts[*index] = *add;
        let now = u64::from(*window) * 10 * SECOND + 10 * SECOND;
        receiver.merge_row(now, "s1", *window, subject, &counts);
    }
    // One in 64 is reported, so the standard deviation of the estimate is about 900.
    assert!((9_600..14_400).contains(&estimated), "{estimated} of 12000");
    assert!(
        reported.len() < 2_000,
        "{} raises for 12000 arrivals",
        reported.len()
    );
    assert!(receiver
        .forecast(START + 300 * SECOND, &frequent, SECOND)
        .is_some());
}
