//! The list's weights and the kinds' speeds: who is drawn how often, and who fits.
//!
//! It owns these tests. It must never depend on one draw: counts over many decide.

use oakshed_core::interface::*;

use crate::common::*;

/// So many jobs, one at a time; each runs as long as its worker's `run` says. Tells where the second half went.
fn spread(weights: Weights, rows: &[Row], run: impl Fn(u64) -> Micros) -> Vec<u32> {
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
        let WorkerId(w) = sent_to(&actions, id).expect("all are idle");
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

/// Guards against picks that are uniform where the list says that one worker does several times another's work:
/// among many, each seldom contacted, nothing else is known of it, and the small ones were full while the large ones idled.
#[test]
fn workers_are_drawn_by_weight() {
    let large = |jobs_to: Vec<u32>| jobs_to.iter().step_by(2).sum::<u32>();
    let three = rows(|w| if w % 2 == 0 { 3.0 } else { 1.0 }, |_| 0);
    for weights in [Weights::Size, Weights::Live] {
        let of = large(spread(weights, &three, |_| 100 * MS));
        assert!(
            (700..960).contains(&of),
            "{of} of 1,000 to the half that can do three times as much, {weights:?}"
        );
    }
    let of = large(spread(Weights::None, &three, |_| 100 * MS));
    assert!(
        (440..560).contains(&of),
        "{of} of 1,000, where weights hold nothing"
    );
    // What is no weight counts as 1, and draws neither all nor none.
    for odd in [0.0, -2.0, f64::NAN, f64::INFINITY, 1e300, 1e-300] {
        let half = rows(|w| if w % 2 == 0 { odd } else { 1.0 }, |_| 0);
        let of = large(spread(Weights::Size, &half, |_| 100 * MS));
        assert!(
            (440..560).contains(&of),
            "{of} of 1,000 to those of weight {odd}"
        );
    }
}

/// Guards against weights alone: of the same size by the list, one kind runs a job in a third of the time.
#[test]
fn workers_are_drawn_by_the_pace_of_their_kind() {
    let kinds = rows(|_| 2.0, |w| w % 2);
    let jobs_to = spread(Weights::Size, &kinds, |w| {
        if w % 2 == 0 {
            60 * MS
        } else {
            180 * MS
        }
    });
    let fast = jobs_to.iter().step_by(2).sum::<u32>();
    assert!(
        (700..960).contains(&fast),
        "{fast} of 1,000 to the kind that is three times as fast"
    );
}

/// Guards against all schedulers that read one list running to its best worker.
#[test]
fn schedulers_with_the_same_weights_do_not_flock_to_one_worker() {
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
            jobs_to[sent_to(&actions, id).expect("idle").0 as usize] += 1;
        }
    }
    // Of 1,200 jobs it has 1,200 x 8 / 125 by its weight: no more than about twice that.
    assert!(
        (60..=160).contains(&jobs_to[0]),
        "{} of 1,200 to the best of 40",
        jobs_to[0]
    );
    assert!(jobs_to.iter().all(|&n| n > 0), "{jobs_to:?}");
}
