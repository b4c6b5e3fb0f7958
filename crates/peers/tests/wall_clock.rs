//! Datagrams between processes that started at different readings of the wall clock.

use oakshed_peers::datagram::{DatagramCodec, DatagramError};
use oakshed_peers::rows::Owner;

const NOW: u64 = 1_700_000_000_000_000;
const HOUR: u64 = 3_600_000_000;
const SKEW: u64 = 60_000_000;

fn codec(name: &str, born: u64) -> DatagramCodec {
    DatagramCodec::new("here", None, Owner::new(name, born / 1_000), SKEW, 64)
}

/// One process began while the wall clock was an hour behind, and it is right again: its own clock stays behind.
#[test]
fn a_process_started_with_a_skewed_clock_recovers_with_the_clock() {
    let behind = NOW - HOUR;
    let (mut right, mut wrong) = (codec("right", NOW), codec("wrong", behind));
    let datagram = right.encode(NOW, b"body").expect("it fits");
    assert_eq!(
        wrong.decode(behind, &datagram),
        Err(DatagramError::Implausible)
    );
    let stale = wrong.encode(behind, b"body").expect("it fits");
    assert_eq!(right.decode(NOW, &stale), Err(DatagramError::Replayed));

    wrong.observe_wall_clock(behind, NOW);
    let datagram = right.encode(NOW, b"body").expect("it fits");
    assert_eq!(
        wrong
            .decode(behind, &datagram)
            .map(|(from, _)| &*from.name == "right"),
        Ok(true)
    );
    let stale = wrong.encode(behind, b"body").expect("it fits");
    assert_eq!(
        right
            .decode(NOW, &stale)
            .map(|(from, _)| &*from.name == "wrong"),
        Ok(true)
    );
}

/// The wall clock of a machine is stepped with all processes on it: they go on understanding each other, and what
/// was stamped before the step is too old, or not yet.
#[test]
fn processes_on_one_machine_survive_a_clock_step() {
    for wall in [NOW + HOUR, NOW - HOUR] {
        let (mut one, mut other) = (codec("one", NOW - 2 * HOUR), codec("other", NOW - 2 * HOUR));
        let before = one.encode(NOW, b"body").expect("it fits");
        one.observe_wall_clock(NOW, wall);
        other.observe_wall_clock(NOW, wall);
        assert_eq!(other.decode(NOW, &before), Err(DatagramError::Replayed));
        let after = one.encode(NOW, b"body").expect("it fits");
        assert!(other.decode(NOW, &after).is_ok(), "stepped to {wall}");
    }
}
