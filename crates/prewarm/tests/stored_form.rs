//! Checks that rows and snapshots keep the encoding of an older build.

use std::fmt::Write as _;

use oakshed_prewarm::{Config, Kind, Prewarm, SECOND};

const START: u64 = 1_700_000_000 * SECOND;
/// One line per increment of a row, then the snapshot.
const FIXTURE: &str = include_str!("fixtures/stored-v1.txt");

fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to memory");
    }
    text
}

/// A member with 60 s of arrivals of three kinds. Its row increments are appended to `lines`.
fn member(lines: &mut String) -> Prewarm {
    let config = Config {
        name: "s0".into(),
        ..Config::default()
    };
    let mut prewarm = Prewarm::new(config, 1);
    let kinds = [
        Kind::new("RULES", "H1"),
        Kind::new("RULES", "H2"),
        Kind::new("PLATES", "H1"),
    ];
    for second in 0..60 {
        let now = START + second * SECOND;
        let kind = &kinds[second as usize % 7 % 3];
        prewarm.record_arrival(now, kind, None);
        prewarm.record_running_time(kind, SECOND / 2 + second * 10_000);
        prewarm.tick(now);
        for raise in prewarm.take_raises() {
            let subject = hex(&raise.subject);
            let (window, index, add) = (raise.window, raise.index, raise.add);
            writeln!(lines, "row {window} {subject} {index} {add}").expect("writing to memory");
        }
    }
    prewarm.tick(START + 70 * SECOND);
    prewarm
}

#[test]
fn rows_and_snapshots_keep_their_encoding() {
    let mut lines = String::new();
    let prewarm = member(&mut lines);
    let snapshot = prewarm.snapshot(START + 70 * SECOND);
    writeln!(lines, "snapshot {}", hex(&snapshot)).expect("writing to memory");
    assert!(
        lines == FIXTURE,
        "the encoding of rows or of the snapshot has changed"
    );
}

#[test]
fn a_snapshot_of_an_older_build_is_restored() {
    let line = FIXTURE.lines().last().expect("a line");
    let hex = line.strip_prefix("snapshot ").expect("the snapshot");
    let digits: Vec<u8> = hex
        .chars()
        .map(|digit| digit.to_digit(16).expect("a digit") as u8)
        .collect();
    let bytes: Vec<u8> = digits
        .chunks(2)
        .map(|pair| pair[0] << 4 | pair[1])
        .collect();
    let now = START + 70 * SECOND;
    let mut restored = Prewarm::new(Config::default(), 2);
    assert!(restored.restore(now, &bytes).is_ok());
    let mut original = member(&mut String::new());
    for kind in [Kind::new("RULES", "H1"), Kind::new("PLATES", "H1")] {
        let expected = original.forecast(now, &kind, 30 * SECOND);
        assert!(expected.is_some());
        assert_eq!(restored.forecast(now, &kind, 30 * SECOND), expected);
    }
}
