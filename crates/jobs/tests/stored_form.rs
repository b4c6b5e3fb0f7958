//! Compatibility of the log's format with earlier builds.
//!
//! The fixture is a segment written by a build whose types and fields had other names. Records are encoded by
//! position, so renaming must change neither how the segment is read nor the bytes that are written.

use std::path::Path;

use oakshed_jobs::disk::Disk;
use oakshed_jobs::log::{encode_all, read_all, MAGIC};
use oakshed_jobs::record::{Answer, JobId, JobPayload, Lease, Outcome, Record};

/// Directory of the fixture.
const DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/store-v1");
const SEGMENT: &str = "00000000000000000001.log";

fn lease(token: u64) -> Lease {
    Lease {
        token,
        worker: format!("worker-{token}"),
        start_ms: 1_700_000_000_000 + token,
        sent: 1_700_000_001_000_000,
    }
}

/// Returns the record of a finished job with one indeterminate attempt.
fn finished(number: u128, answer: Answer, outcome: Option<Outcome>) -> Record {
    Record::Finished {
        at: 1_700_000_002_000_000,
        id: JobId(number),
        fingerprint: 77,
        answer,
        indeterminate: vec![lease(9)],
        outcome,
    }
}

/// Returns the records of the fixture: each kind of record, with and without its optional parts.
fn records() -> Vec<Record> {
    let payload = JobPayload {
        class: "transfer".into(),
        owner: Some("owner".into()),
        target: "/transfer?fast".into(),
        fields: vec![("req-id".into(), b"r-1".to_vec())],
        body: b"payload".to_vec(),
        slots: Some(1.5),
        memory: Some(256.0),
        key: Some(42),
    };
    let accepted = |id, payload, leases| Record::Accepted {
        at: 1_700_000_000_500_000,
        id: JobId(id),
        fingerprint: 77,
        payload,
        deadline: 1_700_000_005_000_000,
        wait: 4_500_000,
        detached: true,
        leases,
    };
    vec![
        Record::Opened {
            at: 1_700_000_000_000_000,
            wall: 1_700_000_000_000_001,
            boot: 3,
            uptime: 5_000_000,
        },
        accepted(1, payload, vec![lease(4), lease(5)]),
        accepted(2, JobPayload::default(), Vec::new()),
        Record::Leased {
            id: JobId(2),
            lease: lease(4),
        },
        Record::Unsent {
            id: JobId(2),
            token: 4,
        },
        finished(1, Answer::Served(b"result".to_vec()), Some(Outcome::Ran)),
        finished(2, Answer::Failed, Some(Outcome::Never)),
        finished(3, Answer::Rejected(Some(250_000)), None),
        finished(4, Answer::Rejected(None), None),
        finished(5, Answer::Cancelled, None),
        Record::Dropped { id: JobId(3) },
    ]
}

#[test]
fn a_segment_of_an_earlier_build_is_read_and_reproduced_byte_for_byte() {
    let mut expected = MAGIC.to_vec();
    expected.extend_from_slice(&1_u64.to_le_bytes());
    expected.extend_from_slice(&encode_all(1, 0, &records()).0);
    let stored =
        std::fs::read(Path::new(DIRECTORY).join(SEGMENT)).expect("the fixture segment is readable");
    assert!(
        stored == expected,
        "the encoded records differ from the fixture"
    );

    let disk =
        Disk::open_read_only(Path::new(DIRECTORY)).expect("the fixture directory can be opened");
    let (recovered, damage) = read_all(&disk).expect("the fixture can be decoded");
    assert!(damage.is_empty(), "{damage:?}");
    assert!(recovered.torn_tail.is_none());
    let expected: Vec<(u64, Record)> = (1..).zip(records()).collect();
    assert_eq!(recovered.records, expected);
}
