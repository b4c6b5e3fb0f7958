//! Starts while the agent that pushes the endpoint list gives no usable answer.
//!
//! What the agent has counts as notified from the first moment of a process, so nothing may be sent by the cached list.
//! The process becomes ready in time all the same, rejects what it cannot send, and serves as soon as the agent answers.

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
const MALFORMED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// What the agent writes to each call while it is down.
#[derive(Clone, Copy, Debug)]
enum Outage {
    Unresponsive,
    Closing,
    Answering(&'static str),
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
        let path = config(agent, &self.cached, 1024);
        edit(&path, &[PUSHED]);
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
