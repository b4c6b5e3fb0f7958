//! Attempts between the decision on them and their first and last byte: what comes in between is forced, by
//! connections that are blocked, and by a program that is stopped until all of it has come.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use oakshed_standin::*;
use socket2::Socket;

use super::{connections, descriptors, unreachable_address};

/// A client's patience, and the time for which its job's repeats are dropped.
const LONG: Duration = Duration::from_secs(20);
const WINDOW: Duration = Duration::from_millis(3_000);
/// How late the program reads a request that is to run into its deadline.
const READ_LATE: Duration = Duration::from_millis(300);
const EDITS: [(&str, &str); 5] = [
    (
        r#""connect-timeout-ms":200"#,
        r#""connect-timeout-ms":15000"#,
    ),
    (
        r#""give-up-ms":5000,"idempotency":"guarded""#,
        r#""give-up-ms":20000,"idempotency":"guarded""#,
    ),
    (r#""aim-ms":150"#, r#""aim-ms":1000"#),
    (r#""memory-span-ms":7500"#, r#""memory-span-ms":3000"#),
    (r#""idle-close-ms":5000"#, r#""idle-close-ms":60000"#),
];

/// A worker at which connections come up only once they are let.
struct BlockedWorker {
    address: SocketAddr,
    sockets: Vec<Socket>,
    accepted: Vec<Socket>,
    before: usize,
}

impl BlockedWorker {
    fn new() -> BlockedWorker {
        let (address, sockets) = unreachable_address();
        sockets[0].set_nonblocking(true).expect("set");
        let before = connections(address, "02");
        BlockedWorker {
            address,
            sockets,
            accepted: Vec::new(),
            before,
        }
    }

    fn dialled(&self) -> bool {
        connections(self.address, "02") > self.before
    }

    fn accept(&mut self) {
        self.accepted.extend(
            self.sockets[0]
                .accept()
                .ok()
                .map(|(connection, _)| connection),
        );
    }

    /// Lets them; waits until the program's is up, as the system tries it again.
    fn let_connect(&mut self) {
        let fillers: Vec<_> = self
            .sockets
            .drain(1..)
            .filter_map(|s| s.local_addr().ok()?.as_socket())
            .collect();
        let other = |s: &Socket| {
            s.peer_addr()
                .is_ok_and(|a| a.as_socket().is_some_and(|a| !fillers.contains(&a)))
        };
        until("the connection", || {
            self.accept();
            self.accepted.iter().any(other)
        });
    }

    /// How much came on them up to their ends.
    fn received_bytes(mut self) -> usize {
        until("its end", || {
            self.accept();
            let open = |s: &Socket| {
                s.set_nonblocking(true).expect("set");
                s.peek(&mut [std::mem::MaybeUninit::uninit(); 1])
                    .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
            };
            !self.accepted.iter().any(open)
        });
        let bytes = |mut s: Socket| {
            let mut all = Vec::new();
            _ = std::io::Read::read_to_end(&mut s, &mut all);
            all.len()
        };
        self.accepted.into_iter().map(bytes).sum()
    }
}

/// Whether bytes from there lie unread in the program's end of a connection.
fn unread(from: SocketAddr) -> bool {
    let SocketAddr::V4(v4) = from else {
        panic!("{from} is not of IPv4")
    };
    let entry = format!(
        "{:08X}:{:04X} 01 ",
        u32::from_ne_bytes(v4.ip().octets()),
        v4.port()
    );
    let all = std::fs::read_to_string("/proc/net/tcp").expect("the system's list");
    let waits = |rest: &str| {
        !rest
            .split([':', ' '])
            .nth(1)
            .expect("a queue")
            .bytes()
            .all(|b| b == b'0')
    };
    all.split(&entry).skip(1).any(waits)
}

/// The list says that a worker drains, and the program could read it.
fn set_draining(discovery: &Discovery, name: &str) {
    discovery.set(name, "draining");
    until("the update", || unread(discovery.peer.address));
}

/// Plays until what came while the program stood still had the list in it: its watch may have been over just
/// then, and the next call shows it.
fn until_list_arrives_in_time(
    scenario: impl Fn(&mut dyn FnMut(&Program, &Discovery, &mut dyn FnMut()) -> bool),
) {
    let mut list_arrived = false;
    for _ in 0..10 {
        scenario(&mut |program, discovery, meanwhile| {
            let calls = |from: usize| {
                let seen = discovery.peer.seen.lock().unwrap();
                seen.iter()
                    .skip(from)
                    .map(|m| m.first.clone())
                    .collect::<Vec<_>>()
            };
            until("a watch", || calls(0).iter().any(|c| c.contains("from=")));
            let before = calls(0).len();
            program.while_stopped(meanwhile);
            until("the next call", || !calls(before).is_empty());
            list_arrived = calls(before)[0].contains(&format!("from={}&", discovery.number()));
            list_arrived
        });
        if list_arrived {
            return;
        }
    }
    panic!("the watch was over each time");
}

fn send(client: &mut TcpStream, class: &str, id: &str) {
    let text = request(class, id).replace("Ms: 5000", "Ms: 20000");
    client.write_all(text.as_bytes()).expect("written");
    client.set_read_timeout(Some(LONG)).expect("a limit");
}

fn status_of(client: TcpStream) -> u16 {
    Message::read(&mut BufReader::new(client))
        .expect("an answer")
        .status()
}

/// Guards against sending to a worker that was set to drain, where the list lies unread beside the request.
#[test]
fn list_that_arrived_before_first_byte_counts() {
    for list_first in [true, false] {
        until_list_arrives_in_time(|while_stopped| {
            let worker = good();
            let discovery = Discovery::new(&[("s-1", worker.address)]);
            let program = Program::start(&discovery);
            // Its connection is idle, and those of the clients are at rest.
            let rested = |n| {
                let mut client = program.connect();
                assert_eq!(
                    send_on(&mut client, &request("transfer", &format!("first-{n}"))).status(),
                    200
                );
                client
            };
            let mut clients: Vec<TcpStream> = (0..4).map(rested).collect();
            let before = worker.count();
            let list_arrived = while_stopped(&program, &discovery, &mut || {
                if list_first {
                    set_draining(&discovery, "s-1");
                }
                for (n, client) in clients.iter_mut().enumerate() {
                    send(client, "transfer", &format!("id-{n}"));
                    let from = client.local_addr().expect("its address");
                    until("the request", || unread(from));
                }
                if !list_first {
                    set_draining(&discovery, "s-1");
                }
            });
            let statuses: Vec<u16> = clients.into_iter().map(status_of).collect();
            assert!(
                !list_arrived || worker.count() == before,
                "sent to who drains; list first: {list_first}"
            );
            assert!(
                !list_arrived || statuses == [503; 4],
                "{statuses:?}; list first: {list_first}"
            );
        });
    }
}

/// The same where the connection came up beside the list.
#[test]
fn list_that_arrived_with_connection_counts() {
    for list_first in [true, false] {
        until_list_arrives_in_time(|while_stopped| {
            let mut blocked = BlockedWorker::new();
            let discovery = Discovery::new(&[("s-1", blocked.address)]);
            let program = Program::start_with(&discovery, 1024, &EDITS);
            // The watch has to last until the connection is tried again.
            let long = |m: &Message| m.first.contains("hold_ms=2") || m.first.contains("hold_ms=3");
            until("a long watch", || {
                discovery.peer.seen.lock().unwrap().last().is_some_and(long)
            });
            let mut client = program.connect();
            send(&mut client, "new-plate", "id-1");
            until("the dial", || blocked.dialled());
            let list_arrived = while_stopped(&program, &discovery, &mut || {
                if list_first {
                    set_draining(&discovery, "s-1");
                }
                blocked.let_connect();
                if !list_first {
                    set_draining(&discovery, "s-1");
                }
            });
            if list_arrived {
                assert_eq!(status_of(client), 503);
                assert_eq!(
                    blocked.received_bytes(),
                    0,
                    "sent to who drains; list first: {list_first}"
                );
            }
        });
    }
}

/// A job that may have run at one worker, and is on its way to another where connections are blocked.
fn retried_job() -> (BlockedWorker, Program, TcpStream, Instant, Discovery) {
    for _ in 0..10 {
        let (open, gate) = std::sync::mpsc::channel::<()>();
        let gate = std::sync::Mutex::new(gate);
        let breaks = Peer::new(move |_, _| {
            _ = gate.lock().unwrap().recv();
            false
        });
        let blocked = BlockedWorker::new();
        let discovery = Discovery::new(&[("s-1", breaks.address), ("s-2", blocked.address)]);
        discovery.set("s-2", "draining");
        let program = Program::start_with(&discovery, 1024, &EDITS);
        let (mut client, sent) = (program.connect(), Instant::now());
        send(&mut client, "new-plate", "id-1");
        until("the first attempt", || breaks.count() == 1);
        discovery.set("s-2", "ready");
        until("the update", || program.log().contains("2 workers ready"));
        open.send(()).expect("released");
        // On a loaded machine it may be too late for another attempt: then anew.
        let answered = || {
            client.set_nonblocking(true).expect("set");
            let answered = client.peek(&mut [0]).is_ok();
            client.set_nonblocking(false).expect("set");
            answered
        };
        until("the second attempt, or an answer", || {
            blocked.dialled() || answered()
        });
        if blocked.dialled() {
            return (blocked, program, client, sent, discovery);
        }
    }
    panic!("there was no second attempt");
}

/// Guards against a repeat that its group does not know any more: the decision on it is made in time, but the
/// connection comes up later.
#[test]
fn retry_is_written_in_its_window_or_not_at_all() {
    // The program stands still, and finds the connection up after the window.
    let (mut blocked, program, client, sent, _discovery) = retried_job();
    program.while_stopped(|| {
        blocked.let_connect();
        until("the window's end", || sent.elapsed() > WINDOW);
    });
    assert_eq!(status_of(client), 503);
    assert_eq!(blocked.received_bytes(), 0, "written after the window");
    // It does not come up at all: the client is answered at the window's end, long before the dial is given up.
    let (blocked, _program, client, sent, _discovery) = retried_job();
    assert_eq!(status_of(client), 503);
    assert!(
        sent.elapsed() < LONG / 2,
        "kept waiting for a dial that could help no more"
    );
    drop(blocked);
    // In time it is sent.
    let (mut blocked, _program, client, sent, _discovery) = retried_job();
    blocked.let_connect();
    let has_bytes = |s: &Socket| {
        s.peek(&mut [std::mem::MaybeUninit::uninit(); 1])
            .is_ok_and(|n| n > 0)
    };
    until("the repeat, or the window's end", || {
        blocked.accept();
        blocked
            .accepted
            .iter()
            .any(|s| s.set_nonblocking(true).is_ok() && has_bytes(s))
            || sent.elapsed() > WINDOW
    });
    assert!(sent.elapsed() > WINDOW || blocked.accepted.iter().any(has_bytes));
    drop(client);
}

/// Guards against a first byte after the client has stopped waiting.
#[test]
fn no_attempt_begins_after_its_deadline() {
    let mut blocked = BlockedWorker::new();
    let discovery = Discovery::new(&[("s-1", blocked.address)]);
    let program = Program::start_with(&discovery, 1024, &EDITS);
    let mut client = program.connect();
    let text = request("new-plate", "id-1").replace("Ms: 5000", "Ms: 3000");
    // On a busy machine the program reads the request some time after it was written.
    program.while_stopped(|| {
        client.write_all(text.as_bytes()).expect("written");
        std::thread::sleep(READ_LATE);
    });
    until("the dial", || blocked.dialled());
    // The deadline counts from when the program read the request, which was before the dial.
    let dialled = Instant::now();
    program.while_stopped(|| {
        blocked.let_connect();
        until("the deadline", || dialled.elapsed() > WINDOW);
    });
    assert_eq!(status_of(client), 503);
    assert_eq!(blocked.received_bytes(), 0, "written after the deadline");
}

/// Guards against an attempt that begins for nobody: where attempts may not be cancelled, one that was being
/// dialled when its client disconnected would still be written.
#[test]
fn no_attempt_begins_after_client_disconnect() {
    for cancelling in ["true", "false"] {
        let mut blocked = BlockedWorker::new();
        let discovery = Discovery::new(&[("s-1", blocked.address)]);
        let cancel = format!(r#""cancelling":{cancelling}"#);
        let edits = [EDITS[0], EDITS[1], (r#""cancelling":true"#, &*cancel)];
        let program = Program::start_with(&discovery, 1024, &edits);
        let mut client = program.connect();
        send(&mut client, "new-plate", "id-1");
        until("the dial", || blocked.dialled());
        let open = descriptors(&program);
        drop(client);
        until("the client's end", || descriptors(&program) < open);
        match cancelling {
            "true" => blocked.sockets.truncate(1), // its dial is given up
            _ => blocked.let_connect(),
        }
        assert_eq!(
            blocked.received_bytes(),
            0,
            "begun for nobody; cancelling {cancelling}"
        );
    }
}
