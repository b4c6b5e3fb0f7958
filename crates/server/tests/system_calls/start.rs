//! System calls that fail during the start of the program.

use oakshed_fault_injection::Faults;
use oakshed_standin::*;

use super::{for_each_row, start_at_with_faults};

/// Calls that fail in the first 300 ms of the process, with errors that may pass.
const ROWS: [(&str, &str); 13] = [
    ("socket", "ENFILE"),
    ("socket", "EMFILE"),
    ("socket", "ENOBUFS"),
    ("socket", "ENOMEM"),
    ("setsockopt", "ENOMEM"),
    ("setsockopt", "ENOBUFS"),
    ("getsockname", "ENOBUFS"),
    ("dup", "EMFILE"),
    ("dup", "ENFILE"),
    ("connect", "EADDRNOTAVAIL"),
    ("connect", "EAGAIN"),
    ("accept", "ENFILE"),
    ("epoll_wait", "EINTR"),
];

/// After the fault the program becomes ready, serves requests and hands over to a successor.
#[test]
fn start_succeeds_after_a_transient_fault() {
    for_each_row(ROWS, |(call, error)| {
        let rate = if call == "epoll_wait" { "1/2" } else { "1/1" };
        let faults = Faults::new(&format!("{call} {error} {rate} 0 300"));
        let (worker, place) = (good(), Place::new());
        let discovery = Discovery::new(&[("s-1", worker.address)]);
        let mut program = start_at_with_faults(&place, &discovery, &faults);
        assert!(faults.strikes(0) > 0, "{call} {error}");
        assert_eq!(
            program.send(&request("transfer", "id-1")).status(),
            200,
            "{call} {error}"
        );
        let successor = Program::start_at(&place, &discovery, 1_024, &[]);
        assert!(
            successor.log().contains("took over the socket"),
            "{call} {error}: {}",
            program.log()
        );
        program.signal("-TERM");
        assert_eq!(program.wait().code(), Some(0), "{call} {error}");
        assert_eq!(
            successor.send(&request("transfer", "id-2")).status(),
            200,
            "{call} {error}"
        );
    });
}
