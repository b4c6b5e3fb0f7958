//! Clients that disconnect while their request waits, with or without more requests behind it.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use oakshed_standin::*;

use super::{unread_at, unread_from};

/// The ways in which a client disconnects: it closes, half-closes or resets its connection.
pub(super) const DISCONNECTS: [fn(&TcpStream); 3] = [
    |client| client.shutdown(Shutdown::Both).expect("socket error"),
    |client| client.shutdown(Shutdown::Write).expect("socket error"),
    // Closing the socket then resets the connection.
    |client| {
        socket2::SockRef::from(client)
            .set_linger(Some(Duration::ZERO))
            .expect("socket error");
    },
];

/// How many clients send requests in each round.
const CLIENTS: usize = 120;
/// How many requests are written without a pause between them.
const BURST: usize = 12;
/// How often the process is stopped.
const ROUNDS: usize = 12;
/// The longest pause of a process that has to be tolerated.
const MAX_PROCESS_PAUSE: Duration = Duration::from_millis(150);

/// A request that waits because no worker is ready is not forwarded once its client has disconnected, whether the
/// disconnect is handled first or in the same iteration of the event loop as a worker's return. The reader must not
/// stop reading, and so miss the disconnect, when many requests follow the waiting one.
#[test]
fn request_of_disconnected_client_is_not_forwarded() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let program = Program::start_with(&discovery, 1024, &[ADMIN]);
    let pending = || call(program.admin(), "telemetry").contains("edge_router.pending:1|g");
    let ready = || program.ready_status() == 200;
    // More than the reader buffers. The kernel holds the rest until it is read.
    let many_requests: String = (0..400)
        .map(|n| request("transfer", &format!("behind-{n}")))
        .collect();
    let mut half_closed = Vec::new();
    for case in 0..12 {
        let (method, behind, same_iteration) = (case % 3, case % 6 > 2, case > 5);
        discovery.set("s-1", "draining");
        until("the drain", || !ready());
        let mut client = program.connect();
        client
            .write_all(request("transfer", &format!("gone-{case}")).as_bytes())
            .expect("failed to write");
        until("the wait for a worker", pending);
        if behind {
            client.set_nonblocking(true).expect("socket error");
            _ = client.write_all(many_requests.as_bytes());
        }
        let disconnect = |client: TcpStream| {
            DISCONNECTS[method](&client);
            (method == 1).then_some(client)
        };
        if same_iteration {
            program.signal("-STOP");
            half_closed.extend(disconnect(client));
            discovery.set("s-1", "ready");
            until("the update's arrival", || {
                unread_from(discovery.peer.address) > 0
            });
            program.signal("-CONT");
        } else {
            half_closed.extend(disconnect(client));
            until("the disconnect", || !pending());
            discovery.set("s-1", "ready");
        }
        until("the worker's return", ready);
        assert_eq!(
            program
                .send(&request("transfer", &format!("id-{case}")))
                .status(),
            200
        );
        let seen: Vec<_> = worker
            .seen
            .lock()
            .unwrap()
            .iter()
            .map(|m| format!("{:?}", m.field("req-id")))
            .collect();
        assert!(
            !seen.iter().any(|id| id.contains("gone")),
            "method {method}, requests behind {behind}, same iteration {same_iteration}: {seen:?}"
        );
    }
}

/// Returns how often each request was received by a worker.
fn request_counts(workers: &[Peer]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for worker in workers {
        for message in worker.seen.lock().unwrap().iter() {
            let id = message.field("req-id").expect("no Req-Id field").to_owned();
            *counts.entry(id).or_default() += 1;
        }
    }
    counts
}

/// No attempt begins for a client that disconnected while the process was stopped. The process is stopped while
/// requests are being read, wait for a connection, are sent, or are retried after a rejection or a refused connection.
/// All their clients disconnect before it resumes.
#[test]
fn no_attempt_begins_after_disconnect_while_stopped() {
    let declining = Peer::new(|_, stream| status(stream, "503 Busy\r\nSrv-Declined: 1"));
    let workers = [good(), good(), declining];
    let closed = ReservedPort::new();
    let mut list: Vec<_> = workers
        .iter()
        .map(|w| w.address)
        .zip(["s-1", "s-2", "s-3"])
        .collect();
    list.push((closed.address, "s-4"));
    let list: Vec<_> = list
        .into_iter()
        .map(|(address, name)| (name, address))
        .collect();
    let mut program = Program::start(&Discovery::new(&list));
    let (mut rounds_in_progress, mut counts, mut kept_open) = (0, BTreeMap::new(), Vec::new());
    for round in 0..ROUNDS {
        let clients: Vec<TcpStream> = (0..CLIENTS).map(|_| program.connect()).collect();
        let written = AtomicUsize::new(0);
        let count = &written;
        let write_all = move || {
            for (n, mut client) in clients.iter().enumerate() {
                let text = request(
                    ["transfer", "new-plate"][n % 2],
                    &format!("left-{round}-{n}"),
                );
                let behind = [
                    String::new(),
                    request("transfer", &format!("behind-{round}-{n}")),
                ];
                client
                    .write_all((text + &behind[usize::from(n % 4 == 3)]).as_bytes())
                    .expect("failed to write");
                count.fetch_add(1, Ordering::SeqCst);
                if n % BURST == 0 {
                    std::thread::sleep(Duration::from_millis(2));
                }
            }
            clients
        };
        let (before, half_closed) = std::thread::scope(|s| {
            let writer = s.spawn(write_all);
            // Each round stops the process at another point of its work on the requests.
            until("some of the requests", || {
                written.load(Ordering::SeqCst) > CLIENTS / 4 + round * 3
            });
            program.while_stopped(|| {
                let clients = writer.join().expect("the writer panicked");
                until("what was sent is read", || {
                    workers.iter().all(|w| unread_at(w.address) == 0)
                });
                std::thread::sleep(MAX_PROCESS_PAUSE);
                let before = request_counts(&workers);
                let disconnect = |(n, client): (usize, TcpStream)| {
                    DISCONNECTS[n % 3](&client);
                    (n % 3 == 1).then_some(client)
                };
                let half_closed: Vec<_> = clients
                    .into_iter()
                    .enumerate()
                    .filter_map(disconnect)
                    .collect();
                std::thread::sleep(MAX_PROCESS_PAUSE);
                (before, half_closed)
            })
        });
        let next = program
            .send(&request("transfer", &format!("next-{round}")))
            .status();
        assert!([200, 503].contains(&next), "{next}");
        let forwarded = before
            .keys()
            .filter(|id| id.starts_with(&format!("left-{round}-")))
            .count();
        rounds_in_progress += usize::from((1..CLIENTS).contains(&forwarded));
        counts.extend(before);
        kept_open.extend(half_closed);
    }
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0));
    let late: Vec<_> = request_counts(&workers)
        .into_iter()
        .filter(|(id, _)| !id.starts_with("next"))
        .filter(|(id, times)| counts.get(id) != Some(times))
        .collect();
    assert!(
        late.is_empty(),
        "attempts begun after the disconnect: {late:?}"
    );
    assert!(
        rounds_in_progress > 0,
        "the process was never stopped while requests were in progress"
    );
}
