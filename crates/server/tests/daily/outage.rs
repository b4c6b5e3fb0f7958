//! Hot restart while the agent that pushes the endpoint list does not answer.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use oakshed_standin::*;

use super::handover::{run_client, StopOnDrop};
use crate::{metric, slow_worker, wait_for_readyz};

const PUSHED: (&str, &str) = (
    r#""membership-mode":"on_request""#,
    r#""membership-mode":"pushed""#,
);
/// The longest that a rejection may take.
const PROMPT: Duration = Duration::from_millis(500);
/// An empty answer stands for none; there are more than there will be calls.
const UNANSWERED_CALLS: usize = 10_000;

/// A setting that makes a successor another configuration's, so that it does not go on with its predecessor's list.
const OTHER_SETTINGS: (&str, &str) = (r#""ask-every-ms":10000"#, r#""ask-every-ms":9000"#);

/// Makes the agent leave all calls from now on without an answer, and waits until one was made.
fn silence(discovery: &Discovery) {
    let unanswered = || discovery.malformed.lock().expect("not poisoned").len();
    let calls = std::iter::repeat_n("", UNANSWERED_CALLS);
    discovery
        .malformed
        .lock()
        .expect("not poisoned")
        .extend(calls);
    until("an unanswered call", || unanswered() < UNANSWERED_CALLS);
}

/// Guards against a successor that rejects requests although its predecessor's list is all that the agent has: the two
/// processes are one scheduler. No client may see a failure, and the worker that drains gets nothing.
#[test]
fn hot_restart_amid_an_outage_of_the_agent_serves_all_along() {
    let workers = [slow_worker(), slow_worker()];
    let discovery = Discovery::new(&[("s-1", workers[0].address), ("s-2", workers[1].address)]);
    let (place, stop) = (Place::new(), AtomicBool::new(false));
    let start = || Program::start_at(&place, &discovery, 512, &[ADMIN, PUSHED]);
    let mut old = start();
    wait_for_readyz(&old);
    discovery.set("s-2", "draining");
    until("the drain", || {
        metric(&call(old.admin(), "telemetry"), "members_unavailable") == 1
    });
    silence(&discovery);
    std::thread::scope(|s| {
        let _stop_on_drop = StopOnDrop(&stop);
        let load: Vec<_> = (0..4)
            .map(|t| {
                let (stop, at) = (&stop, place.listen);
                s.spawn(move || run_client(at, &format!("c{t}"), t % 2 == 0, stop))
            })
            .collect();
        let served_by_successor = |new: &Program| {
            let text = call(new.admin(), "telemetry");
            metric(&text, "downstream_requests.transfer.completed")
        };
        let new = start();
        wait_for_readyz(&new);
        old.signal("-TERM");
        assert_eq!(old.wait().code(), Some(0), "{}", old.log());
        until("jobs of the successor", || served_by_successor(&new) > 100);
        stop.store(true, Ordering::SeqCst);
        for client in load {
            let (served, failures) = client.join().expect("the thread panicked");
            assert_eq!((served > 0, failures), (true, vec![]), "{}", new.log());
        }
        assert!(
            !new.log().contains("(snapshot)"),
            "the agent answered: {}",
            new.log()
        );
    });
    assert_eq!(workers[1].count(), 0, "jobs at the draining worker");
}

/// Guards against a successor that accepts connections and rejects their requests, as it has no list that it may act on,
/// while its predecessor serves. Once that has ended, the successor answers at once.
#[test]
fn successor_without_a_usable_list_accepts_nothing_beside_its_predecessor() {
    let worker = slow_worker();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let (place, stop) = (Place::new(), AtomicBool::new(false));
    let mut old = Program::start_at(&place, &discovery, 512, &[ADMIN, PUSHED]);
    wait_for_readyz(&old);
    silence(&discovery);
    let edits = [ADMIN, PUSHED, OTHER_SETTINGS];
    let new = Program::start_at(&place, &discovery, 512, &edits);
    until("the successor's rejecting", || {
        new.log().contains("rejecting requests")
    });
    std::thread::scope(|s| {
        let _stop_on_drop = StopOnDrop(&stop);
        let load: Vec<_> = (0..4)
            .map(|t| {
                let (stop, at) = (&stop, place.listen);
                s.spawn(move || run_client(at, &format!("c{t}"), false, stop))
            })
            .collect();
        let jobs = worker.count();
        until("jobs at the worker", || worker.count() > jobs + 300);
        stop.store(true, Ordering::SeqCst);
        for client in load {
            let (served, failures) = client.join().expect("the thread panicked");
            assert_eq!((served > 0, failures), (true, vec![]), "{}", new.log());
        }
    });
    assert!(call(new.admin(), "readyz").starts_with("NO"));
    old.signal("-TERM");
    assert_eq!(old.wait().code(), Some(0), "{}", old.log());
    until("the predecessor's end", || {
        new.log().contains("the predecessor has exited")
    });
    for number in 0..20 {
        let sent = Instant::now();
        let answer = send_raw(place.listen, &request("transfer", &format!("id-{number}")));
        assert_eq!(answer.map(|answer| answer.status()), Some(503));
        assert!(
            sent.elapsed() < PROMPT,
            "answered after {:?}",
            sent.elapsed()
        );
    }
}
