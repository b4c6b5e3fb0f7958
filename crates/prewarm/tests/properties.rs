//! Properties that hold whatever comes: the order of rows, unavailable workers, the share, damaged snapshots.

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

/// One step of a run.
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

/// What was called for, by worker and class, until when.
type Called = BTreeMap<(Arc<str>, Arc<str>), u64>;

/// A member under test, with what it has called for.
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
                // Unavailable workers are not counted: they are about to be removed or empty.
                let workers = &self.workers;
                let is_available = |worker: &Worker| worker.is_available();
                self.called.retain(|(name, _), _| {
                    workers.iter().any(|w| w.name == *name && is_available(w))
                });
            }
            Step::Members(bits) => {
                let living: Vec<Arc<str>> = (0..8)
                    .filter(|n| bits >> n & 1 != 0)
                    .map(|n| format!("o{n}").into())
                    .collect();
                self.prewarm.set_members(&living);
            }
            Step::Wait(span) => self.now += span,
        }
    }

    /// Fetches all calls and checks them against the bounds, unless the workers have just changed.
    fn check_calls(&mut self, known: usize, has_changed: bool) {
        let mut grew = 0;
        while let Some(effect) = self.prewarm.poll_effect() {
            let Effect::Prepare {
                worker,
                class,
                keep_ms,
            } = &effect;
            let called_worker = self.workers.iter().find(|w| w.name == *worker);
            let is_available = called_worker.is_some_and(Worker::is_available);
            assert!(is_available, "called {worker}, which is unavailable");
            assert!(*keep_ms > 0);
            let key = (worker.clone(), class.clone());
            let until = self.called.entry(key).or_insert_with(|| {
                grew += 1;
                0
            });
            *until = (*until).max(self.now + keep_ms * 1_000);
            let here = self
                .called
                .keys()
                .filter(|(name, _)| name == worker)
                .count();
            // More than before only within the capacity and the share, as they are now.
            let capacity = called_worker.map_or(0, |w| w.max_classes as usize);
            assert!(
                has_changed || grew == 0 || here <= capacity.max(known),
                "{here} classes on one worker, capacity for {capacity}"
            );
            self.calls.push((self.now, effect));
        }
        let max = self.prewarm.max_keep_alives();
        let called = self.called.len();
        assert!(
            has_changed || grew == 0 || called <= max,
            "{called} kept warm of at most {max}"
        );
    }
}

/// Runs steps and checks each call against the bounds; returns all calls with their times.
fn run(steps: &[Step], seed: u64, share: f64) -> Vec<(u64, Effect)> {
    let mut harness = Harness::new(seed, share);
    for (n, step) in steps.iter().enumerate() {
        harness.apply(step);
        let now = harness.now;
        let known = harness.called.len();
        harness.called.retain(|_, until| *until > now);
        harness.prewarm.tick(now);
        if matches!(steps.get(n + 1), Some(Step::Workers(_))) {
            // A call that waits to be fetched must not go to a worker that is unavailable since.
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

    /// No call to an unavailable worker, over its capacity or over the share; and the same run twice is the same.
    #[test]
    fn bounds_hold(steps in prop::collection::vec(step(), 1..120), seed in any::<u64>(), share in 0.0..1.0_f64) {
        prop_assert_eq!(run(&steps, seed, share), run(&steps, seed, share));
    }

    /// Rows that come in any order, in parts and repeatedly before their slots close give the same models.
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

    /// A snapshot that was changed is rejected or restored, but never causes a panic.
    #[test]
    fn damaged_snapshots(at in any::<prop::sample::Index>(), to in any::<u8>(), cut in any::<prop::sample::Index>()) {
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

    /// Subjects of rows come back; any bytes are read without a panic.
    #[test]
    fn subjects(bytes in prop::collection::vec(any::<u8>(), 0..70), n in 0..10_usize, thin in 0..=16_u8) {
        prop_assert_eq!(Kind::from_subject(&kind(n).subject(thin)), Some((kind(n), thin)));
        let mut p = Prewarm::new(Config::default(), 1);
        p.merge_row(START, "o1", (START / (10 * SECOND)) as u32, &bytes, &[1, u32::MAX, 3]);
        p.tick(START + 60 * SECOND);
    }
}

/// A snapshot from the future, or one with times after it was taken, is rejected.
#[test]
fn snapshots_from_the_future() {
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

/// One member is responsible for each kind; when it dies only its kinds move.
#[test]
fn responsibility_moves_little() {
    let living: Vec<Arc<str>> = (0..30).map(|n| format!("s{n}").into()).collect();
    let without: Vec<Arc<str>> = living.iter().filter(|m| &***m != "s7").cloned().collect();
    let mut of_dead = 0;
    let mut counts = BTreeMap::<&str, usize>::new();
    for n in 0..3_000 {
        let kind = Kind::new(&format!("C{n}"), "H1");
        let (before, after) = (
            kind.responsible(&living).unwrap(),
            kind.responsible(&without).unwrap(),
        );
        *counts.entry(before).or_default() += 1;
        of_dead += usize::from(&**before == "s7");
        assert!(before == after || &**before == "s7");
    }
    assert!((70..140).contains(&of_dead), "{of_dead}");
    assert!(counts.values().all(|c| (60..150).contains(c)), "{counts:?}");
}

/// Of a frequent kind only a sample is reported, and the others count about as many.
#[test]
fn frequent_kinds_are_reported_as_a_sample() {
    let config = Config {
        name: "s0".into(),
        ..Config::default()
    };
    let (mut from, mut to) = (Prewarm::new(config.clone(), 1), Prewarm::new(config, 2));
    let (hot, mut reported, mut counted) = (kind(0), Vec::new(), 0);
    for i in 0..40 * 300_u64 {
        let now = START + i * SECOND / 40;
        from.record_arrival(now, &hot, None);
        from.tick(now);
        reported.extend(from.take_raises());
    }
    for raise in &reported {
        let Raise {
            window,
            subject,
            index,
            add,
        } = raise;
        let (_, thinning) = Kind::from_subject(subject).unwrap();
        counted += add << thinning;
        // Each raise as a row of its own owner: they only add up.
        let mut counts = vec![0; index + 1];
        counts[*index] = *add;
        let now = u64::from(*window) * 10 * SECOND + 10 * SECOND;
        to.merge_row(now, "s1", *window, subject, &counts);
    }
    // One in 64 is told: the deviation of the sum is about 900.
    assert!((9_600..14_400).contains(&counted), "{counted} of 12000");
    assert!(
        reported.len() < 2_000,
        "{} raises for 12000 arrivals",
        reported.len()
    );
    assert!(to.forecast(START + 300 * SECOND, &hot, SECOND).is_some());
}
