//! A thousand members, workers and kinds.

use std::sync::Arc;
use std::time::Instant;

use oakshed_prewarm::{Config, Effect, Kind, Prewarm, Worker, SECOND};

const START: u64 = 1_700_000_000 * SECOND;
const MANY: usize = 1_024;
const ZONES: usize = 64;

fn kind(n: usize) -> Kind {
    Kind::new(&format!("K{}", n / ZONES), &format!("H{}", n % ZONES))
}

fn worker(n: usize) -> Worker {
    Worker {
        name: format!("w{n}").into(),
        zone: format!("H{}", n % ZONES).into(),
        supports_prewarm: true,
        ready: n % 7 > 0,
        unavailable: n % 11 == 0,
        budget: 1_000,
        max_classes: 16,
    }
}

fn member(n: usize) -> Arc<str> {
    format!("m{n}").into()
}

/// Every kind comes every 20 s, at one worker each; what the member asks for within ten minutes.
fn calls(p: &mut Prewarm) -> Vec<(u64, Effect)> {
    let mut out = Vec::new();
    for n in 0..600 {
        let now = START + n * SECOND;
        for k in (0..MANY).filter(|k| (*k as u64 + n) % 20 == 0) {
            let counts: Vec<u32> = (0..10).map(|slot| u32::from(slot == n % 10)).collect();
            p.merge_row(
                now,
                "another",
                (now / (10 * SECOND)) as u32,
                &kind(k).subject(0),
                &counts,
            );
        }
        p.tick(now);
        out.extend(std::iter::from_fn(|| p.poll_effect()).map(|effect| (n, effect)));
    }
    out
}

/// Guards against a shortcut in who answers for a kind: whoever came and went in whatever order, the answer must
/// be that of who hears of all at once.
#[test]
fn who_answers_for_a_thousand_kinds_is_the_same_however_a_thousand_members_came_and_went() {
    let new = || {
        let mut p = Prewarm::new(
            Config {
                name: member(5),
                ..Config::default()
            },
            3,
        );
        p.set_workers(&(0..MANY).map(worker).collect::<Vec<_>>());
        (0..MANY).for_each(|k| p.keep_warm(START, &kind(k), "nobody"));
        p
    };
    let (mut one, mut other) = (new(), new());
    let begin = Instant::now();
    for n in 1..=MANY {
        one.set_members(&(0..n).map(member).collect::<Vec<_>>());
    }
    println!(
        "{MANY} members come one by one, {MANY} kinds: {} us each",
        begin.elapsed().as_micros() / MANY as u128
    );
    for n in (8..MANY).rev().step_by(3) {
        one.set_members(&(0..n).map(member).collect::<Vec<_>>());
    }
    // Back again, others among them.
    one.set_members(&(2..40).map(member).collect::<Vec<_>>());
    let last: Vec<_> = (0..30).filter(|n| n % 4 > 0).map(member).collect();
    one.set_members(&last);
    other.set_members(&last);
    let is_responsible = (0..MANY)
        .filter(|k| kind(*k).responsible(&last) == Some(&member(5)))
        .count();
    let (one, other) = (calls(&mut one), calls(&mut other));
    assert!(one == other, "{} calls, and {}", one.len(), other.len());
    assert!(
        is_responsible > 10 && one.len() >= is_responsible,
        "{is_responsible} kinds, {} calls",
        one.len()
    );
}

/// The places by zone give the order that the whole list gives, also after a change.
#[test]
fn the_order_of_a_thousand_workers_survives_a_change_of_the_list() {
    let mut p = Prewarm::new(
        Config {
            name: member(5),
            ..Config::default()
        },
        3,
    );
    for shift in [0, 1] {
        let workers: Vec<Worker> = (0..MANY).map(|n| worker(n + shift)).collect();
        let begin = Instant::now();
        p.set_workers(&workers);
        (0..MANY).for_each(|k| p.keep_warm(START, &kind(k), "nobody"));
        let listed = Instant::now();
        p.set_workers(&workers);
        println!(
            "{MANY} workers, {MANY} kinds: {} us a list",
            listed.elapsed().as_micros()
        );
        assert!(begin <= listed);
        for k in 0..MANY {
            let order: Vec<_> = kind(k)
                .worker_order(&workers)
                .into_iter()
                .map(|w| w.name.clone())
                .collect();
            assert_eq!(p.worker_order(&kind(k)), order);
        }
        let fit: u32 = workers
            .iter()
            .filter(|w| w.is_available())
            .map(|w| w.max_classes)
            .sum();
        assert_eq!(p.max_keep_alives(), fit as usize / 2);
    }
}
