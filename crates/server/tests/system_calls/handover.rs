//! Transient failures of system calls during a hot restart.

use oakshed_fault_injection::Faults;
use oakshed_standin::*;

use super::{for_each_row, start_at_with_faults};

/// Transient errors of calls on the socket between the two processes, and of getsockname(2).
const ERRORS: [&str; 6] = [
    "recv EINTR 1/2 0 60000 on=handover",
    "recv ENOMEM 1/3 0 60000 on=handover",
    "connect EINTR 1/2 0 60000 on=handover",
    "send EINTR 1/2 0 60000 on=handover",
    "send ENOBUFS 1/2 0 60000 on=handover",
    "getsockname ENOBUFS 1/2 0 60000",
];
/// Reads and writes that transfer a single byte. The successor reads with blocking calls; the socket of the predecessor
/// is non-blocking.
const SHORT_TRANSFERS: [&str; 2] = [
    "recv SHORT 1/1 0 60000 on=handover",
    "send SHORT 1/1 0 60000 on=handover",
];

/// Each fault occurs in the predecessor, and then in the successor: the listening socket is handed over, and the
/// predecessor exits normally.
#[test]
fn hot_restart_succeeds_despite_faults() {
    let rows = || ERRORS.into_iter().chain(SHORT_TRANSFERS);
    for_each_row(rows(), |row| check_hot_restart(row, "", row));
    for_each_row(rows(), |row| check_hot_restart("", row, row));
}

fn check_hot_restart(predecessor_plan: &str, successor_plan: &str, row: &str) {
    let (worker, place) = (good(), Place::new());
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let (predecessor_faults, successor_faults) =
        (Faults::new(predecessor_plan), Faults::new(successor_plan));
    let mut predecessor = start_at_with_faults(&place, &discovery, &predecessor_faults);
    let successor = start_at_with_faults(&place, &discovery, &successor_faults);
    let (side, faults) = if predecessor_plan.is_empty() {
        ("successor", &successor_faults)
    } else {
        ("predecessor", &predecessor_faults)
    };
    assert!(
        successor.log().contains("took over the socket"),
        "{row} ({side}): {}",
        successor.log()
    );
    until("the successor's readiness in the log", || {
        predecessor.log().contains("the successor is ready")
    });
    predecessor.signal("-TERM");
    assert_eq!(predecessor.wait().code(), Some(0), "{row} ({side})");
    until("the predecessor's exit in the log", || {
        successor.log().contains("the predecessor has exited")
    });
    assert_eq!(
        successor.send(&request("transfer", "id-1")).status(),
        200,
        "{row} ({side})"
    );
    assert!(faults.strikes(0) > 0, "{row} ({side})");
}
