//! Tests that workers are drawn in proportion to their weights in the endpoint list and to the speeds of their machine
//! kinds.

use oakshed_core::interface::*;

use crate::common::*;

/// Runs 2,000 jobs one at a time, each for the time that `run` returns for its worker. Counts the second 1,000 by
/// worker.
fn distribution(weights: Weights, rows: &[Row], run: impl Fn(u64) -> Micros) -> Vec<u32> {
    let mut harness = Harness::new(
        Settings {
            weights,
            ..settings()
        },
        0,
    );
    harness.event(Event::List {
        kind: ListKind::Snapshot,
        rows,
    });
    let mut jobs_to = vec![0; rows.len()];
    for n in 0..2_000 {
        harness.now += 50 * MS;
        let (id, actions) = harness.request(0);
        let WorkerId(w) = sent_to(&actions, id).expect("all workers are idle");
        harness.started(id, 0);
        harness.now += run(w);
        harness.settled(id, 0, Ending::Delivered);
        jobs_to[w as usize] += u32::from(n >= 1_000);
    }
    jobs_to
}

fn rows(weight: impl Fn(u32) -> f64, kind: impl Fn(u32) -> u32) -> Vec<Row> {
    (0..40)
        .map(|w| Row {
            weight: weight(w),
            kind: kind(w),
            ..row(w)
        })
        .collect()
}

/// Among many workers, each contacted rarely, a scheduler knows little more than the weights in the list. With uniform
/// draws, small workers were full while large ones were idle.
#[test]
fn workers_are_drawn_by_weight() {
    let to_even = |jobs_to: Vec<u32>| jobs_to.iter().step_by(2).sum::<u32>();
    let weighted = rows(|w| if w % 2 == 0 { 3.0 } else { 1.0 }, |_| 0);
    for weights in [Weights::Size, Weights::Live] {
        let jobs = to_even(distribution(weights, &weighted, |_| 100 * MS));
        assert!(
            (700..960).contains(&jobs),
            "{jobs} of 1,000 jobs to the workers of three times the weight, {weights:?}"
        );
    }
    let jobs = to_even(distribution(Weights::None, &weighted, |_| 100 * MS));
    assert!(
        (440..560).contains(&jobs),
        "{jobs} of 1,000 jobs to the workers of three times the weight, where weights have no meaning"
    );
    // An invalid or extreme weight counts as 1.
    for invalid in [0.0, -2.0, f64::NAN, f64::INFINITY, 1e300, 1e-300] {
        let list = rows(|w| if w % 2 == 0 { invalid } else { 1.0 }, |_| 0);
        let jobs = to_even(distribution(Weights::Size, &list, |_| 100 * MS));
        assert!(
            (440..560).contains(&jobs),
            "{jobs} of 1,000 jobs to the workers of weight {invalid}"
        );
    }
}

/// Weights alone are not enough: of workers with the same weight, one kind runs a job in a third of the time.
#[test]
fn workers_are_drawn_by_the_speed_of_their_kind() {
    let kinds = rows(|_| 2.0, |w| w % 2);
    let jobs_to = distribution(Weights::Size, &kinds, |w| {
        if w % 2 == 0 {
            60 * MS
        } else {
            180 * MS
        }
    });
    let fast = jobs_to.iter().step_by(2).sum::<u32>();
    assert!(
        (700..960).contains(&fast),
        "{fast} of 1,000 jobs to the kind that is three times as fast"
    );
}

/// Schedulers with the same list must not all send to its best worker.
#[test]
fn schedulers_with_the_same_weights_do_not_herd_to_one_worker() {
    let list = rows(|w| if w == 0 { 8.0 } else { 2.0 + f64::from(w % 3) }, |_| 0);
    let mut jobs_to = [0; 40];
    for seed in 0..400 {
        let mut harness = Harness::with_seed(
            Settings {
                weights: Weights::Live,
                schedulers: 400,
                ..settings()
            },
            0,
            seed,
        );
        harness.list(ListKind::Snapshot, &list);
        for _ in 0..3 {
            let (id, actions) = harness.request(0);
            jobs_to[sent_to(&actions, id).expect("all workers are idle").0 as usize] += 1;
        }
    }
    // By weight, worker 0 gets 8 / 125 of 1,200 jobs. It may get about twice as many.
    assert!(
        (60..=160).contains(&jobs_to[0]),
        "{} of 1,200 jobs to the best of 40 workers",
        jobs_to[0]
    );
    assert!(jobs_to.iter().all(|&n| n > 0), "{jobs_to:?}");
}
