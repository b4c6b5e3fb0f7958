//! Starts and reloads while the agent that pushes the endpoint list, or the polled service, gives no usable answer.
//!
//! What the agent has counts as notified from the first moment of a process, so nothing may be sent by the cached list.
//! The process becomes ready in time all the same, rejects what it cannot send, and serves as soon as the agent answers.
//! What an agent at a new address has counts as notified 4 s after SIGHUP.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use oakshed_standin::*;

use super::change_notification::{BUSY, PUSHED, TRUNCATED};
use super::settings::edit;
use super::starting::StartingProcess;

/// Every start must be ready within this time.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// The longest that a request may take to be rejected, and a served one once the agent answers.
const PROMPT: Duration = Duration::from_secs(1);
/// What discovery at a new address has counts as notified this long after SIGHUP.
const RELOAD_LIMIT: Duration = Duration::from_secs(4);
/// How long after that a request may still be on its way to a worker: the grace of the settings, 50 ms for sockets and as
/// much for the test.
const DRAIN_GRACE: Duration = Duration::from_millis(400);
/// How long an overloaded service lets a call wait before it rejects it.
const QUEUE_WAIT: Duration = Duration::from_millis(1_500);
const MALFORMED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// What the agent writes to each call while it is down.
#[derive(Clone, Copy, Debug)]
enum Outage {
    Unresponsive,
    Closing,
    Answering(&'static str),
    /// Calls are rejected after a wait in the queue.
    Overloaded,
}

/// An agent that is down until it is brought up, and then answers calls with `list`. Calls that it received while it was
/// silent are never answered.
struct Agent {
    peer: Peer,
    is_up: Arc<AtomicBool>,
}

impl Agent {
    fn new(outage: Outage, list: String) -> Agent {
        let is_up = Arc::new(AtomicBool::new(false));
        let up = is_up.clone();
        let peer = Peer::new(move |_, stream| {
            let text = match outage {
                _ if up.load(Ordering::SeqCst) => {
                    format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                        list.len()
                    )
                }
                Outage::Unresponsive => return true,
                Outage::Closing => return false,
                Outage::Answering(text) => text.to_owned(),
                Outage::Overloaded => {
                    std::thread::sleep(QUEUE_WAIT);
                    BUSY.to_owned()
                }
            };
            stream.write_all(text.as_bytes()).is_ok() && text != TRUNCATED
        });
        Agent { peer, is_up }
    }

    fn bring_up(&self) {
        self.is_up.store(true, Ordering::SeqCst);
    }
}

/// Two workers, of which one has been draining since before the start; the cached list has both as ready.
struct Fleet {
    draining: Peer,
    ready: Peer,
    cached: String,
    current: String,
}

impl Fleet {
    fn new() -> Fleet {
        let (draining, ready) = (good(), good());
        let list = Discovery::new(&[("s-1", draining.address), ("s-2", ready.address)]);
        let cached = list.known();
        list.set("s-1", "draining");
        let current = list.known();
        Fleet {
            draining,
            ready,
            cached,
            current,
        }
    }

    /// Starts a process with the cached list, to which the agent pushes updates.
    fn start(&self, agent: SocketAddr) -> StartingProcess {
        self.start_with(agent, &[PUSHED])
    }

    fn start_with(&self, discovery: SocketAddr, edits: &[(&str, &str)]) -> StartingProcess {
        let path = config(discovery, &self.cached, 1024);
        edit(&path, edits);
        StartingProcess::start(&path, &[])
    }

    fn assert_nothing_was_sent(&self, context: &str) {
        assert_eq!(
            (self.draining.count(), self.ready.count()),
            (0, 0),
            "sent to the draining and the ready worker, {context}"
        );
    }
}

/// Waits until the process is ready, sending a request every now and then: each has to be rejected at once.
fn assert_rejects_until_ready(process: &StartingProcess, context: &str) {
    let started = Instant::now();
    let mut number = 0;
    while process.readiness() != Some(200) {
        assert!(
            started.elapsed() < READY_LIMIT,
            "not ready after {:?}, {context}",
            started.elapsed()
        );
        assert_rejected_at_once(process, &format!("early-{number}"), context);
        number += 1;
    }
    for number in 0..20 {
        assert_rejected_at_once(process, &format!("late-{number}"), context);
    }
}

fn assert_rejected_at_once(process: &StartingProcess, id: &str, context: &str) {
    let sent = Instant::now();
    let answer = send_raw(process.address, &request("transfer", id)).expect("no answer");
    assert_eq!(answer.status(), 503, "{id}, {context}");
    assert!(answer.field("retry-after").is_some(), "{id}, {context}");
    assert!(
        sent.elapsed() < PROMPT,
        "{id} was answered after {:?}, {context}",
        sent.elapsed()
    );
}

/// Sends requests until one is served, and returns how long that took.
fn time_until_served(process: &StartingProcess) -> Duration {
    let started = Instant::now();
    let mut number = 0;
    until("a served request", || {
        number += 1;
        process.transfer(&format!("served-{number}")) == Some(200)
    });
    started.elapsed()
}

/// Guards against jobs sent to a worker that drains: a start took the cached list for true once a first call to the
/// agent had failed or was overdue, although the agent had the drain.
#[test]
fn draining_worker_gets_nothing_until_the_agent_answers() {
    std::thread::scope(|s| {
        for outage in [
            Outage::Unresponsive,
            Outage::Closing,
            Outage::Answering(BUSY),
            Outage::Answering(TRUNCATED),
            Outage::Answering(MALFORMED),
        ] {
            s.spawn(move || {
                let context = format!("{outage:?}");
                let fleet = Fleet::new();
                let agent = Agent::new(outage, fleet.current.clone());
                let process = fleet.start(agent.peer.address);
                until("the first call", || agent.peer.count() >= 1);
                assert_rejects_until_ready(&process, &context);
                fleet.assert_nothing_was_sent(&context);
                agent.bring_up();
                let took = time_until_served(&process);
                assert!(took < PROMPT, "served {took:?} after the outage, {context}");
                assert_eq!(fleet.draining.count(), 0, "{context}");
            });
        }
    });
}

/// The same where no agent listens at the address, or no connection to it comes up.
#[test]
fn nothing_is_sent_while_the_agent_cannot_be_reached() {
    let closed = ReservedPort::new();
    let (unreachable, _sockets) = super::unreachable_address();
    std::thread::scope(|s| {
        for address in [closed.address, unreachable] {
            s.spawn(move || {
                let fleet = Fleet::new();
                let process = fleet.start(address);
                assert_rejects_until_ready(&process, "unreachable");
                fleet.assert_nothing_was_sent("unreachable");
            });
        }
    });
}

/// Guards against jobs sent to a worker that drains by a polled service that is up: calls that were not answered, or not
/// usably, let the cached list in. Only a service that is down has nothing that counts as notified.
#[test]
fn draining_worker_gets_nothing_until_polled_discovery_answers() {
    std::thread::scope(|s| {
        for outage in [
            Outage::Unresponsive,
            Outage::Overloaded,
            Outage::Answering(TRUNCATED),
            Outage::Answering(MALFORMED),
        ] {
            s.spawn(move || {
                let context = format!("polled, {outage:?}");
                let fleet = Fleet::new();
                let service = Agent::new(outage, fleet.current.clone());
                let process = fleet.start_with(service.peer.address, &[]);
                until("the second call", || service.peer.count() >= 2);
                assert_rejects_until_ready(&process, &context);
                fleet.assert_nothing_was_sent(&context);
                service.bring_up();
                time_until_served(&process);
                assert_eq!(fleet.draining.count(), 0, "{context}");
            });
        }
    });
}

/// Starts a process that serves by a first source, moves it to `new` with SIGHUP, and returns it.
fn start_and_move(old: &Discovery, new: SocketAddr, is_pushed: bool) -> StartingProcess {
    let path = config(old.peer.address, &old.known(), 1024);
    if is_pushed {
        edit(&path, &[PUSHED]);
    }
    let process = StartingProcess::start(&path, &[]);
    process.until_ready();
    edit(&path, &[(&old.peer.address.to_string(), &new.to_string())]);
    process.signal("-HUP");
    process
}

/// Guards against jobs sent to a worker that drains after a reload: the list of the previous source was used until the
/// new one answered, however long that took.
#[test]
fn previous_list_is_used_for_at_most_four_seconds_after_a_reload() {
    std::thread::scope(|s| {
        for (outage, is_pushed) in [
            (Outage::Unresponsive, true),
            (Outage::Closing, true),
            (Outage::Answering(BUSY), true),
            (Outage::Unresponsive, false),
            (Outage::Answering(MALFORMED), false),
        ] {
            s.spawn(move || {
                let context = format!("{outage:?}, pushed: {is_pushed}");
                let fleet = Fleet::new();
                let workers = [
                    ("s-1", fleet.draining.address),
                    ("s-2", fleet.ready.address),
                ];
                let agent = Agent::new(outage, fleet.current.clone());
                let old = Discovery::new(&workers);
                let process = start_and_move(&old, agent.peer.address, is_pushed);
                let moved = Instant::now();
                let mut number = 0;
                let mut last_sent = Duration::ZERO;
                until("a rejection", || {
                    number += 1;
                    let before = fleet.draining.count();
                    let status = process.transfer(&format!("moved-{number}"));
                    if fleet.draining.count() > before {
                        last_sent = moved.elapsed();
                    }
                    status == Some(503)
                });
                assert!(
                    last_sent < RELOAD_LIMIT + DRAIN_GRACE,
                    "{last_sent:?}, {context}"
                );
                let sent = fleet.draining.count();
                for number in 0..20 {
                    assert_rejected_at_once(&process, &format!("expired-{number}"), &context);
                }
                agent.bring_up();
                let took = time_until_served(&process);
                assert!(
                    !is_pushed || took < PROMPT,
                    "served after {took:?}, {context}"
                );
                assert_eq!(fleet.draining.count(), sent, "{context}");
            });
        }
    });
}

/// A polled service that is down has nothing that counts as notified, so that requests are served through its outage.
#[test]
fn previous_list_is_used_while_polled_discovery_is_down_after_a_reload() {
    let worker = good();
    let old = Discovery::new(&[("s-1", worker.address)]);
    let closed = ReservedPort::new();
    let process = start_and_move(&old, closed.address, false);
    let moved = Instant::now();
    let mut number = 0;
    until("the end of the time limit", || {
        number += 1;
        assert_eq!(process.transfer(&format!("id-{number}")), Some(200));
        moved.elapsed() > RELOAD_LIMIT + PROMPT
    });
}
