//! Changes of the endpoint list are applied before they count as notified, even if calls to discovery fail.
//!
//! The tests combine drains with failed and unanswered calls and with a move of discovery to another address. They wait
//! for conditions, never for a fixed time.

use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use oakshed_standin::*;

use super::settings::edit;
use super::starting::StartingProcess;

/// A change counts as notified this long after discovery had it.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(6);
/// The longest poll interval to be expected in settings. The pauses after failures must not grow with it.
const RARE_POLLING: (&str, &str) = (r#""ask-every-ms":10000"#, r#""ask-every-ms":1200000"#);
pub(super) const BUSY: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
pub(super) const TRUNCATED: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"generation\":2,";

/// Drains a worker after the watch and the calls that follow it failed in this way, and asserts that the drain is
/// applied in time.
fn assert_drain_is_applied_after(failures: &[&'static str]) {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let program = Program::start_with(&discovery, 1024, &[RARE_POLLING]);
    until("the second call of the watch", || {
        discovery.peer.count() >= 2
    });
    discovery.malformed.lock().unwrap().extend(failures);
    until("the first failure", || {
        discovery.malformed.lock().unwrap().len() < failures.len()
    });
    discovery.set("s-1", "draining");
    let drained = Instant::now();
    until("the update", || program.log().contains("0 workers ready"));
    assert!(
        drained.elapsed() < NOTIFICATION_LIMIT,
        "{failures:?}: applied after {:?}",
        drained.elapsed()
    );
    assert!(
        discovery.malformed.lock().unwrap().is_empty(),
        "{failures:?}: not all failures were used"
    );
}

/// A reset watch must not be taken for a rejection by an overloaded discovery service. The pause after a rejection
/// grows with the poll interval, past the time at which a change counts as notified.
#[test]
fn drain_is_applied_after_watch_reset() {
    std::thread::scope(|s| {
        for failures in [
            &[CLOSED][..],
            &[CLOSED, BUSY],
            &[BUSY, CLOSED],
            &[CLOSED, ""],
        ] {
            s.spawn(|| assert_drain_is_applied_after(failures));
        }
    });
}

/// A second call beside an unresponsive watch must leave enough time for a third one, whether it fails or is not
/// answered.
#[test]
fn drain_is_applied_when_watch_and_second_call_fail() {
    std::thread::scope(|s| {
        for failures in [
            &["", BUSY][..],
            &["", CLOSED],
            &["", ""],
            &["", TRUNCATED],
            &[TRUNCATED, BUSY],
        ] {
            s.spawn(|| assert_drain_is_applied_after(failures));
        }
    });
}

/// The first call to another discovery service must not be given as much time as a first call without any list: the
/// list in use becomes stale meanwhile.
#[test]
fn drain_is_applied_after_reload_to_unresponsive_discovery() {
    let worker = good();
    let (old, new) = (
        Discovery::new(&[("s-1", worker.address)]),
        Discovery::new(&[("s-1", worker.address)]),
    );
    let program = Program::start(&old);
    until("a watch", || old.peer.count() >= 1);
    new.set("s-1", "draining");
    new.malformed.lock().unwrap().push("");
    let moved = Instant::now();
    program.reload(&old.peer.address.to_string(), &new.peer.address.to_string());
    until("the update", || program.log().contains("0 workers ready"));
    assert!(
        moved.elapsed() < NOTIFICATION_LIMIT,
        "applied after {:?}",
        moved.elapsed()
    );
    assert!(
        new.malformed.lock().unwrap().is_empty(),
        "the unanswered call was not made"
    );
}

pub(super) const PUSHED: (&str, &str) = (
    r#""membership-mode":"on_request""#,
    r#""membership-mode":"pushed""#,
);

/// Nothing is sent to the workers of a cached list before discovery, which answers late here, has confirmed it: a
/// worker that left while no process was running counts as notified, whether lists are pushed or polled.
#[test]
fn cached_list_is_not_used_at_start_before_an_answer() {
    // The answer to a poll may be a delta since the cached list, a snapshot, an indented list, or a list with a lower
    // generation, from a discovery service that was restarted.
    let as_delta = |list: String| list.replace(r#""reset":true"#, r#""reset":false"#);
    let indented = |list: String| list.replace(',', ",\n    ").replace('{', "{\n  ");
    assert_start_waits_for_answer(true, &|list| list);
    assert_start_waits_for_answer(false, &|list| list);
    assert_start_waits_for_answer(false, &as_delta);
    assert_start_waits_for_answer(false, &|list| {
        as_delta(list).replace(r#""generation":2"#, r#""generation":0"#)
    });
    assert_start_waits_for_answer(false, &indented);
}

fn assert_start_waits_for_answer(pushed: bool, reformat: &dyn Fn(String) -> String) {
    let (before, after) = (good(), good());
    let cached = Discovery::new(&[("s-1", before.address)]);
    let current = Discovery::new(&[("s-1", before.address), ("s-2", after.address)]);
    current.set("s-1", "draining");
    let (release, gate) = channel::<()>();
    let (gate, snapshot) = (Mutex::new(gate), current.known());
    let first = reformat(snapshot.clone());
    let discovery = Peer::new(move |message, stream| {
        _ = gate.lock().unwrap().recv();
        let list = if message.first.contains("from=") {
            &first
        } else {
            &snapshot
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
        stream.write_all((head + list).as_bytes()).is_ok()
    });
    let path = config(discovery.address, &cached.known(), 1024);
    if pushed {
        edit(&path, &[PUSHED]);
    }
    let process = StartingProcess::start(&path, &[]);
    until("the first call", || discovery.count() >= 1);
    let ready = process.readiness();
    assert_eq!(
        (ready, before.count()),
        (Some(503), 0),
        "ready by the cached list alone"
    );
    // A request that arrives nevertheless is queued, not rejected.
    let address = process.address;
    let early = std::thread::spawn(move || {
        send_raw(address, &request("transfer", "id-0")).map(|answer| answer.status())
    });
    _ = (release.send(()), release.send(()));
    process.until_ready();
    assert_eq!(early.join().expect("the thread panicked"), Some(200));
    assert_eq!(process.transfer("id-1"), Some(200));
    assert_eq!((before.count(), after.count()), (0, 2));
}

/// If a polled discovery service is down at start, nothing that it has counts as notified, and the cached list is used.
/// Services that are up, and pushed lists, are in `unresponsive_agent`.
#[test]
fn cached_list_is_used_at_start_if_discovery_is_down() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let closed = ReservedPort::new();
    let closing = Peer::new(|_, _| false);
    let busy = Peer::new(|_, stream| stream.write_all(BUSY.as_bytes()).is_ok());
    std::thread::scope(|s| {
        for at in [closed.address, closing.address, busy.address] {
            let discovery = &discovery;
            s.spawn(move || {
                let path = config(at, &discovery.known(), 1024);
                let process = StartingProcess::start(&path, &[]);
                process.until_ready();
                assert_eq!(process.transfer("id-1"), Some(200));
            });
        }
    });
    // One failed call is not enough: the service may have been restarted just then.
    assert!(busy.count() >= 2, "used after {} calls", busy.count());
    assert!(closing.count() >= 2, "used after {} calls", closing.count());
}

/// If a reload names another discovery service while the first call is unanswered, that service is polled. Giving up
/// the first call must not put the cached list into use.
#[test]
fn reload_before_first_answer_waits_for_new_discovery() {
    let (before, after) = (good(), good());
    let cached = Discovery::new(&[("s-1", before.address)]);
    let current = Discovery::new(&[("s-2", after.address)]);
    let unresponsive = Peer::new(|_, _| true);
    let path = config(unresponsive.address, &cached.known(), 1024);
    let process = StartingProcess::start(&path, &[]);
    until("the first call", || unresponsive.count() >= 1);
    let (old, new) = (
        unresponsive.address.to_string(),
        current.peer.address.to_string(),
    );
    edit(&path, &[(&old, &new)]);
    process.signal("-HUP");
    process.until_ready();
    assert_eq!(process.transfer("id-1"), Some(200));
    assert_eq!((before.count(), after.count()), (0, 1));
}
