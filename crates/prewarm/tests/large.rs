//! The state machine with a thousand members, workers and kinds.

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

/// The calls of a member within ten minutes in which one job of each kind arrives every 20 s.
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

/// Responsibilities are updated from the members that joined or left. After any sequence of changes they must equal
/// those computed from the final list alone.
#[test]
fn responsibility_does_not_depend_on_earlier_member_lists() {
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
    let (mut incremental, mut direct) = (new(), new());
    let begin = Instant::now();
    for n in 1..=MANY {
        incremental.set_members(&(0..n).map(member).collect::<Vec<_>>());
    }
    println!(
        "{MANY} members join one by one, {MANY} kinds: {} us per change",
        begin.elapsed().as_micros() / MANY as u128
    );
    for n in (8..MANY).rev().step_by(3) {
        incremental.set_members(&(0..n).map(member).collect::<Vec<_>>());
    }
    // Some members return, together with new ones.
    incremental.set_members(&(2..40).map(member).collect::<Vec<_>>());
    let last: Vec<_> = (0..30).filter(|n| n % 4 > 0).map(member).collect();
    incremental.set_members(&last);
    direct.set_members(&last);
    let responsible_for = (0..MANY)
        .filter(|k| kind(*k).responsible(&last) == Some(&member(5)))
        .count();
    let (incremental, direct) = (calls(&mut incremental), calls(&mut direct));
    assert!(
        incremental == direct,
        "{} calls, expected {}",
        incremental.len(),
        direct.len()
    );
    assert!(
        responsible_for > 10 && incremental.len() >= responsible_for,
        "{responsible_for} kinds, {} calls",
        incremental.len()
    );
}

/// The index of workers by zone must give the same order as a sort of the whole list, also after a change.
#[test]
fn worker_order_matches_the_full_list_after_a_change() {
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
            "{MANY} workers, {MANY} kinds: {} us per list",
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
        let capacity: u32 = workers
            .iter()
            .filter(|w| w.is_available())
            .map(|w| w.max_classes)
            .sum();
        assert_eq!(p.max_keep_alives(), capacity as usize / 2);
    }
}
