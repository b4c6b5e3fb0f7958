//! Datagrams between processes that started at different wall-clock times.

use oakshed_peers::datagram::{DatagramCodec, DatagramError};
use oakshed_peers::rows::Owner;

const NOW: u64 = 1_700_000_000_000_000;
const HOUR: u64 = 3_600_000_000;
const SKEW: u64 = 60_000_000;

fn codec(name: &str, started: u64) -> DatagramCodec {
    DatagramCodec::new("here", None, Owner::new(name, started / 1_000), SKEW, 64)
}

/// One process started while the wall clock was an hour behind. The wall clock has since been
/// corrected, but the process's own clock is still behind.
#[test]
fn a_process_started_with_a_lagging_clock_recovers_after_its_correction() {
    let behind = NOW - HOUR;
    let (mut correct, mut slow) = (codec("correct", NOW), codec("slow", behind));
    let datagram = correct.encode(NOW, b"body").expect("the body fits");
    assert_eq!(
        slow.decode(behind, &datagram),
        Err(DatagramError::Implausible)
    );
    let stale = slow.encode(behind, b"body").expect("the body fits");
    assert_eq!(correct.decode(NOW, &stale), Err(DatagramError::Replayed));

    slow.observe_wall_clock(behind, NOW);
    let datagram = correct.encode(NOW, b"body").expect("the body fits");
    assert_eq!(
        slow.decode(behind, &datagram)
            .map(|(from, _)| &*from.name == "correct"),
        Ok(true)
    );
    let stale = slow.encode(behind, b"body").expect("the body fits");
    assert_eq!(
        correct
            .decode(NOW, &stale)
            .map(|(from, _)| &*from.name == "slow"),
        Ok(true)
    );
}

/// The wall clock of a machine is stepped while several processes run on it. They continue to
/// accept each other's datagrams, and reject those stamped before the step.
#[test]
fn processes_on_one_machine_survive_a_clock_step() {
    for wall in [NOW + HOUR, NOW - HOUR] {
        let (mut one, mut other) = (codec("one", NOW - 2 * HOUR), codec("other", NOW - 2 * HOUR));
        let before = one.encode(NOW, b"body").expect("the body fits");
        one.observe_wall_clock(NOW, wall);
        other.observe_wall_clock(NOW, wall);
        assert_eq!(other.decode(NOW, &before), Err(DatagramError::Replayed));
        let after = one.encode(NOW, b"body").expect("the body fits");
        assert!(
            other.decode(NOW, &after).is_ok(),
            "wall clock stepped to {wall}"
        );
    }
}
