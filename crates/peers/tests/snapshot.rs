//! Restoring snapshots after a restart, and rejecting unusable ones as a whole.

use oakshed_peers::rows::{Limits, Owner, Rows};
use oakshed_peers::snapshot::{Snapshot, SnapshotError};

const NOW: u64 = 1_700_000_000_000_000;
const SKEW: u64 = 60_000_000;

fn rows_and_snapshot() -> (Rows, Vec<u8>) {
    let mut rows = Rows::new(Owner::new("a", NOW / 1_000), Limits::default(), NOW);
    let at = rows.window(NOW);
    for n in 0..9 {
        rows.raise(at, 1, &[n], &[(0, 3)])
            .expect("the row is within the limits");
    }
    let bytes = Snapshot::of(
        &rows,
        NOW,
        "here",
        vec!["127.0.0.1:7000".parse().expect("the address is valid")],
    )
    .encode();
    (rows, bytes)
}

#[test]
fn rows_of_an_earlier_incarnation_are_restored() {
    let (old, bytes) = rows_and_snapshot();
    let later = NOW + 5_000_000;
    let mut new = Rows::new(Owner::new("a", later / 1_000), Limits::default(), later);
    let snapshot =
        Snapshot::decode(&bytes, "here", later, SKEW).expect("the snapshot can be decoded");
    assert_eq!(snapshot.members.len(), 1);
    snapshot.restore(&mut new);
    let mut read = Vec::new();
    new.for_each_row(1, |owner, _, subject, counts| {
        read.push((owner.clone(), subject[0], counts[0]));
    });
    assert_eq!(
        read,
        (0..9).map(|n| (old.me().clone(), n, 3)).collect::<Vec<_>>()
    );
    // The version up to which rows are known is restored too, so peers need not send them again.
    assert!(new
        .known_versions()
        .any(|(owner, version)| owner == old.me() && version == 9));
}

#[test]
fn unusable_snapshots_are_rejected_with_the_reason() {
    let (_, bytes) = rows_and_snapshot();
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert!(
            Snapshot::decode(&changed, "here", NOW, SKEW).is_err(),
            "byte {at}"
        );
        assert!(
            Snapshot::decode(&bytes[..at], "here", NOW, SKEW).is_err(),
            "truncated at {at}"
        );
    }
    let read = |installation, now| Snapshot::decode(&bytes, installation, now, SKEW).map(|_| ());
    assert_eq!(
        read("here", NOW - SKEW - 1_000),
        Err(SnapshotError::Future(1_000))
    );
    assert_eq!(
        read("there", NOW),
        Err(SnapshotError::Installation("here".into()))
    );
    assert_eq!(read("here", NOW - SKEW), Ok(()));
}
