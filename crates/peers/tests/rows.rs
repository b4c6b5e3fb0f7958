//! Properties of the shared rows: merging is commutative and idempotent, limits hold, and
//! implausible rows are rejected.

use oakshed_peers::rows::{
    Key, Limits, Owner, Row, RowError, Rows, Sizes, MAX_COUNTS, MAX_SUBJECT_LENGTH,
};
use proptest::prelude::*;

const START: u64 = 1_700_000_000_000_000;
const WINDOW: u64 = 10_000_000;

fn limits() -> Limits {
    Limits {
        retained_windows: 6,
        ..Limits::default()
    }
}

fn rows(name: &str) -> Rows {
    Rows::new(Owner::new(name, START / 1_000), limits(), START)
}

fn contents(rows: &Rows) -> Vec<String> {
    let mut all = Vec::new();
    for table in 0..4 {
        rows.for_each_row(table, |o, w, s, c| {
            all.push(format!(
                "{}/{} {table} {w} {s:?} {c:?}",
                o.name, o.incarnation
            ));
        });
    }
    all
}

fn row(version: u64, window: u32, subject: &[u8], counts: Vec<u32>) -> Row {
    Row {
        version,
        key: Key {
            table: 1,
            window,
            subject: subject.into(),
        },
        counts,
    }
}

fn any_row() -> impl Strategy<Value = (u8, Row)> {
    let at = (START / WINDOW) as u32;
    (
        0u8..4,
        1u64..60,
        0u8..4,
        at - 8..at + 4,
        0u8..3,
        prop::collection::vec(0u32..9, 0..4),
    )
        .prop_map(|(owner, version, table, window, subject, counts)| {
            (
                owner,
                Row {
                    version,
                    key: Key {
                        table,
                        window,
                        subject: [subject].into(),
                    },
                    counts,
                },
            )
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn merging_is_commutative_and_idempotent(
        all in prop::collection::vec(any_row(), 0..60), seed in any::<u64>(), repeated in 0usize..60,
    ) {
        let merged = |some: &[(u8, Row)]| {
            let mut stored = rows("me");
            for (owner, row) in some {
                let _ = stored.merge(&Owner::new(&format!("s{owner}"), 7), row.clone());
            }
            stored
        };
        let in_order = merged(&all);
        let mut shuffled = all.clone();
        shuffled.extend(all.iter().take(repeated).cloned());
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        prop_assert_eq!(contents(&in_order), contents(&merged(&shuffled)));
        prop_assert_eq!(in_order.sizes(), merged(&shuffled).sizes());
    }

    #[test]
    fn memory_stays_within_the_limits(all in prop::collection::vec(any_row(), 0..200)) {
        let tight = Limits { max_owners: 3, max_rows_per_owner: 5, max_rows: 9, max_bytes: 1_300, retained_windows: 6, ..Limits::default() };
        let mut stored = Rows::new(Owner::new("me", START / 1_000), tight.clone(), START);
        for (owner, row) in all {
            let _ = stored.merge(&Owner::new(&format!("s{owner}"), 7), row);
            let Sizes { rows, owners, bytes } = stored.sizes();
            prop_assert!(rows <= tight.max_rows);
            prop_assert!(owners <= tight.max_owners);
            prop_assert!(bytes <= tight.max_bytes);
        }
        stored.expire(START + 20 * WINDOW);
        prop_assert_eq!(stored.sizes(), Sizes { rows: 0, owners: 1, bytes: 0 });
    }
}

#[test]
fn rows_are_incremented_by_their_owner_and_read_by_others() {
    let (mut a, mut b) = (rows("a"), rows("b"));
    let at = a.window(START);
    a.raise(at, 1, b"w7", &[(0, 2), (3, 1)])
        .expect("the row is within the limits");
    a.raise(at, 1, b"w7", &[(0, 5)])
        .expect("the row is within the limits");
    let forwarded: Vec<Row> = a.newer_than(a.me(), 0).collect();
    assert_eq!(forwarded, [row(2, at, b"w7", vec![7, 0, 0, 1])]);
    b.merge(a.me(), forwarded[0].clone())
        .expect("a row of the other member is accepted");
    b.advance(a.me(), 0, 2);
    assert_eq!(contents(&a), contents(&b));
    assert!(b
        .known_versions()
        .any(|(owner, version)| owner == a.me() && version == 2));
    // Own rows that others forward are accepted. Rows that claim this incarnation as their owner,
    // but were never produced by it, are rejected.
    a.merge(&a.me().clone(), forwarded[0].clone())
        .expect("an own row is accepted");
    for unknown in [
        row(3, at, b"w7", vec![7]),
        row(2, at, b"w7", vec![8]),
        row(1, at, b"w8", vec![1]),
    ] {
        assert_eq!(
            a.merge(&a.me().clone(), unknown),
            Err(RowError::OwnerConflict)
        );
    }
    assert_eq!(contents(&a), contents(&b));
    assert_eq!(a.rejected().owner_conflict, 3);
}

/// Asserts that each of these rows of an owner is rejected for this reason.
fn assert_rejected(stored: &mut Rows, owner: &Owner, rows: &[Row], cause: RowError) {
    for row in rows {
        let outcome = stored.merge(owner, row.clone());
        assert_eq!(outcome, Err(cause), "{owner:?} {row:?}");
    }
}

#[test]
fn implausible_rows_are_rejected_and_counted() {
    let mut stored = rows("me");
    let at = stored.window(START);
    let max_count = limits().max_count;
    let other = Owner::new("s1", START / 1_000 - 5_000);
    let implausible = [
        row(1, at, b"w", vec![max_count + 1]),
        row(0, at, b"w", vec![1]),
        row(u64::MAX, at, b"w", vec![1]),
    ];
    assert_rejected(&mut stored, &other, &implausible, RowError::Implausible);
    let valid = [row(1, at, b"w", vec![1])];
    let from_the_future = Owner::new("s1", u64::MAX);
    assert_rejected(&mut stored, &from_the_future, &valid, RowError::Implausible);
    let outside = [row(1, at + 3, b"w", vec![1]), row(1, at - 6, b"w", vec![1])];
    assert_rejected(&mut stored, &other, &outside, RowError::Window);
    let too_long = [
        row(1, at, &[0; MAX_SUBJECT_LENGTH + 1], vec![1]),
        row(1, at, b"w", vec![1; MAX_COUNTS + 1]),
    ];
    assert_rejected(&mut stored, &other, &too_long, RowError::TooLong);
    let long_name = Owner::new(&"n".repeat(33), 5);
    assert_rejected(&mut stored, &long_name, &valid, RowError::TooLong);
    assert!(contents(&stored).is_empty());
    let rejected = stored.rejected();
    assert_eq!(
        (rejected.implausible, rejected.window, rejected.too_long),
        (4, 2, 3)
    );
}

#[test]
fn rows_of_a_dead_owner_are_retained_until_they_expire() {
    let mut stored = rows("me");
    let (other, at) = (
        Owner::new("s1", START / 1_000 - 5_000),
        stored.window(START),
    );
    stored.set_alive(&other, true);
    assert_eq!(stored.alive_owners().len(), 2);
    stored
        .merge(&other, row(1, at, b"w", vec![4]))
        .expect("the row is accepted");
    stored.set_alive(&other, false);
    assert_eq!(stored.alive_owners(), [stored.me().clone()]);
    // A new incarnation with the same name has its own rows, in addition to the old ones.
    let restarted = Owner::new("s1", START / 1_000);
    stored
        .merge(&restarted, row(1, at + 1, b"w", vec![2]))
        .expect("a row of the new incarnation is accepted");
    stored.expire(START + 5 * WINDOW);
    assert_eq!(contents(&stored).len(), 2);
    stored.expire(START + 6 * WINDOW);
    assert_eq!(contents(&stored).len(), 1);
    stored.expire(START + 7 * WINDOW);
    let sizes = Sizes {
        rows: 0,
        owners: 1,
        bytes: 0,
    };
    assert_eq!(stored.sizes(), sizes);
}

#[test]
fn the_known_version_does_not_advance_past_a_gap() {
    let mut stored = rows("me");
    let (other, at) = (
        Owner::new("s1", START / 1_000 - 5_000),
        stored.window(START),
    );
    stored
        .merge(&other, row(9, at, b"w", vec![4]))
        .expect("the row is accepted");
    let known = |stored: &Rows| {
        stored
            .known_versions()
            .find(|(o, _)| **o == other)
            .map(|(_, v)| v)
    };
    stored.advance(&other, 5, 9);
    assert_eq!(known(&stored), Some(0));
    stored.advance(&other, 0, 6);
    stored.advance(&other, 5, 9);
    assert_eq!(known(&stored), Some(9));
}
