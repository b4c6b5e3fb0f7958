//! Clients that disconnect before their request is forwarded: while its body is read, or while workers are probed.
//!
//! Each test does this with the process running, and with the process stopped, so that the disconnect and the event
//! that the request waits for are handled in the same iteration of the event loop. A process that resumes after a stall
//! has to detect the disconnect before it writes.

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use oakshed_standin::*;

use super::disconnects::DISCONNECTS;
use super::{unread_at, unread_from};

/// The longest pause of a process that has to be tolerated.
const MAX_PROCESS_PAUSE: Duration = Duration::from_millis(150);
/// Settings with which workers are probed before they get a request, with a latency objective that allows waiting for
/// the answer.
const PROBING: [(&str, &str); 3] = [
    (r#""aim-ms":120"#, r#""aim-ms":4000"#),
    (
        r#""max-attempts":4"#,
        r#""max-attempts":4,"may-probe":true"#,
    ),
    (
        r#""resolution-ms":4"#,
        r#""resolution-ms":4,"load-info":{"how":"probe","columns":["x0"]}"#,
    ),
];

/// How much of the second part of a request is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Remainder {
    /// Nothing.
    Missing,
    /// All of it, right before the client disconnects.
    Complete,
    /// All of it, followed by another request.
    WithAnother,
}

/// Returns a request in two parts, the first of which ends within the body.
fn split_request(id: &str, is_chunked: bool) -> (String, String) {
    let text = request("transfer", id);
    if !is_chunked {
        let (first, rest) = text.split_at(text.len() - 2);
        return (first.to_owned(), rest.to_owned());
    }
    let head = text.replace(
        "Content-Length: 4\r\n\r\nbody",
        "Transfer-Encoding: chunked\r\n\r\n",
    );
    (head + "2\r\nbo\r\n", "2\r\ndy\r\n0\r\n\r\n".to_owned())
}

/// Returns the ids of the requests that a worker has received.
fn ids_at(worker: &Peer) -> Vec<String> {
    let seen = worker.seen.lock().unwrap();
    seen.iter()
        .filter_map(|message| message.field("req-id").map(str::to_owned))
        .collect()
}

/// A request whose client disconnects while the body is read must not be taken as complete and forwarded.
#[test]
fn request_is_not_forwarded_after_disconnect_during_its_body() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let mut program = Program::start(&discovery);
    for is_chunked in [false, true] {
        let (first, last) = split_request(&format!("next-{is_chunked}"), is_chunked);
        let mut client = program.connect();
        client.write_all(first.as_bytes()).expect("failed to write");
        assert_eq!(send_on(&mut client, &last).status(), 200);
    }
    let mut half_closed = Vec::new();
    for (method, disconnect) in DISCONNECTS.iter().enumerate() {
        for rest in [
            Remainder::Missing,
            Remainder::Complete,
            Remainder::WithAnother,
        ] {
            for is_chunked in [false, true] {
                let id = format!("left-{method}-{rest:?}-{is_chunked}");
                let (first, last) = split_request(&id, is_chunked);
                let mut client = program.connect();
                client.write_all(first.as_bytes()).expect("failed to write");
                until("the first part is read", || unread_at(program.address) == 0);
                let finish = |mut client: TcpStream| {
                    let another = request("transfer", &format!("{id}-behind"));
                    let text = match rest {
                        Remainder::Missing => String::new(),
                        Remainder::Complete => last,
                        Remainder::WithAnother => last + &another,
                    };
                    client.write_all(text.as_bytes()).expect("failed to write");
                    disconnect(&client);
                    // A half-closed client stays connected.
                    (method == 1).then_some(client)
                };
                if rest == Remainder::Missing {
                    half_closed.extend(finish(client));
                } else {
                    half_closed.extend(program.while_stopped(|| {
                        let client = finish(client);
                        std::thread::sleep(MAX_PROCESS_PAUSE);
                        client
                    }));
                }
                let next = program.send(&request("transfer", &format!("next-{id}")));
                assert_eq!(next.status(), 200);
            }
        }
    }
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0));
    let sent = ids_at(&worker);
    assert!(sent.iter().all(|id| id.starts_with("next-")), "{sent:?}");
}

/// Two workers that answer probes only once the gate is open.
struct ProbedWorkers {
    workers: [Peer; 2],
    gate: Arc<(Mutex<bool>, Condvar)>,
}

impl ProbedWorkers {
    fn start() -> ProbedWorkers {
        let gate: Arc<(Mutex<bool>, Condvar)> = Arc::default();
        let worker = || {
            let gate = gate.clone();
            Peer::new(move |message, stream| {
                if !message.first.starts_with("GET /status/load ") {
                    return done(message, stream, "made");
                }
                let (open, opened) = &*gate;
                drop(opened.wait_while(open.lock().unwrap(), |open| !*open));
                status(stream, "200 OK\r\nSrv-Load: TEXT inflight=1, queue=0, x0=4")
            })
        };
        let workers = [worker(), worker()];
        ProbedWorkers { workers, gate }
    }

    fn are_probed(&self) -> bool {
        self.workers.iter().any(|worker| worker.count() > 0)
    }

    /// Opens the gate, so that the probes are answered.
    fn answer(&self) {
        let (open, opened) = &*self.gate;
        *open.lock().unwrap() = true;
        opened.notify_all();
    }

    /// Opens the gate and waits until the answers have arrived at the program, which is stopped.
    fn answer_and_wait(&self) {
        self.answer();
        let probed = self.workers.iter().filter(|worker| worker.count() > 0);
        until("the answers to the probes", || {
            probed.clone().all(|worker| unread_from(worker.address) > 0)
        });
    }

    fn ids(&self) -> Vec<String> {
        self.workers.iter().flat_map(ids_at).collect()
    }
}

/// When a client disconnects whose request waits for the answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DisconnectAt {
    /// Before the answer, with the process running.
    Before,
    /// Before the answer, with the process stopped.
    StoppedBefore,
    /// After the answer, with the process stopped.
    StoppedAfter,
}

/// A request whose client has disconnected must not be forwarded when the probe that it waits for is answered.
#[test]
fn request_is_not_forwarded_after_disconnect_during_probe() {
    for disconnect_at in [
        DisconnectAt::Before,
        DisconnectAt::StoppedBefore,
        DisconnectAt::StoppedAfter,
    ] {
        std::thread::scope(|scope| {
            for method in 0..DISCONNECTS.len() {
                scope.spawn(move || disconnect_during_probe(method, disconnect_at));
            }
        });
    }
}

fn disconnect_during_probe(method: usize, disconnect_at: DisconnectAt) {
    let probed = ProbedWorkers::start();
    let [first, second] = &probed.workers;
    let discovery = Discovery::new(&[("s-1", first.address), ("s-2", second.address)]);
    let edits: Vec<_> = PROBING.into_iter().chain([ADMIN]).collect();
    let mut program = Program::start_with(&discovery, 1024, &edits);
    let mut client = program.connect();
    client
        .write_all(request("transfer", "left").as_bytes())
        .expect("failed to write");
    until("a probe", || probed.are_probed());
    assert_eq!(probed.ids(), [""; 0], "sent without waiting for the probe");
    let disconnect = |client: TcpStream| {
        DISCONNECTS[method](&client);
        // A half-closed client stays connected.
        (method == 1).then_some(client)
    };
    let _half_closed = match disconnect_at {
        DisconnectAt::Before => {
            let half_closed = disconnect(client);
            until("the disconnect", || {
                call(program.admin(), "telemetry").contains("edge_router.pending:0|g")
            });
            probed.answer();
            half_closed
        }
        DisconnectAt::StoppedBefore => program.while_stopped(|| {
            let half_closed = disconnect(client);
            probed.answer_and_wait();
            std::thread::sleep(MAX_PROCESS_PAUSE);
            half_closed
        }),
        DisconnectAt::StoppedAfter => program.while_stopped(|| {
            probed.answer_and_wait();
            let half_closed = disconnect(client);
            std::thread::sleep(MAX_PROCESS_PAUSE);
            half_closed
        }),
    };
    let next = program.send(&request("transfer", "next"));
    assert_eq!(next.status(), 200);
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0));
    assert_eq!(probed.ids(), ["next"], "method {method}, {disconnect_at:?}");
}
