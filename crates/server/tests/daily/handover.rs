//! Hot restart: under load, with a successor that fails, and without a usable predecessor.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use oakshed_standin::*;

use crate::{metric, slow_worker, wait_for_readyz};

/// Runs a client that sends requests until `stop` is set, on a new connection each or with keep-alive. Returns the
/// number of served requests, and a description of each failure. A kept connection is replaced after an answer with
/// `Connection: close`.
pub(super) fn run_client(
    at: SocketAddr,
    name: &str,
    keep_alive: bool,
    stop: &AtomicBool,
) -> (usize, Vec<String>) {
    let (mut served, mut failures, mut kept) = (0, Vec::new(), None::<TcpStream>);
    for n in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let text = request("transfer", &format!("{name}-{n}"));
        let mut stream = match kept.take().map_or_else(|| TcpStream::connect(at), Ok) {
            Ok(stream) => stream,
            Err(e) => {
                failures.push(format!("connect: {e}"));
                continue;
            }
        };
        stream
            .set_read_timeout(Some(PATIENCE))
            .expect("a read timeout");
        let answer = match stream.write_all(text.as_bytes()) {
            Ok(()) => Message::read(&mut BufReader::new(&stream)),
            Err(_) => None,
        };
        match answer {
            Some(answer) if answer.status() == 200 => {
                served += 1;
                let is_closing = answer
                    .field("connection")
                    .is_some_and(|v| v.eq_ignore_ascii_case("close"));
                kept = (keep_alive && !is_closing).then_some(stream);
            }
            other => failures.push(format!("{name}-{n}: {other:?}")),
        }
    }
    (served, failures)
}

/// Ends the clients' loops when dropped. Otherwise the scope would wait for them forever after a failed assertion.
pub(super) struct StopOnDrop<'a>(pub(super) &'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Two hot restarts under load: no client sees a failure, and no job runs twice.
#[test]
fn hot_restart_is_invisible_to_clients() {
    let workers = [slow_worker(), slow_worker(), slow_worker()];
    let names = ["s-0", "s-1", "s-2"];
    let list: Vec<_> = names
        .into_iter()
        .zip(workers.iter().map(|worker| worker.address))
        .collect();
    let (discovery, place, stop) = (Discovery::new(&list), Place::new(), AtomicBool::new(false));
    let start = || Program::start_at(&place, &discovery, 512, &[ADMIN]);
    let mut running = start();
    wait_for_readyz(&running);
    // The successor knows of a drain that its predecessor was notified of, even if discovery does not repeat it.
    discovery.set("s-2", "draining");
    until("the drain", || {
        metric(&call(running.admin(), "telemetry"), "members_unavailable") == 1
    });
    let before = workers[2].count();
    std::thread::scope(|s| {
        let _stop_on_drop = StopOnDrop(&stop);
        let load: Vec<_> = (0..8)
            .map(|t| {
                let (stop, at) = (&stop, place.listen);
                s.spawn(move || run_client(at, &format!("c{t}"), t % 2 == 0, stop))
            })
            .collect();
        let jobs = || workers.iter().map(Peer::count).sum::<usize>();
        for _ in 0..2 {
            // An idle connection to the predecessor stays open during the shutdown, and serves one more request.
            let mut idle = running.connect();
            assert_eq!(
                send_on(&mut idle, &request("transfer", &format!("idle-{}", jobs()))).status(),
                200
            );
            let next = start();
            wait_for_readyz(&next);
            assert!(
                next.log().contains("took over the socket"),
                "{}",
                next.log()
            );
            running.signal("-TERM");
            until("the end of accepting in the log", || {
                running.log().contains("no longer accepting")
            });
            let jobs_before = jobs();
            until("more jobs", || jobs() > jobs_before + 100);
            let answer = send_on(&mut idle, &request("transfer", &format!("idle-{}", jobs())));
            assert_eq!(
                (answer.status(), answer.field("connection")),
                (200, Some("close"))
            );
            let exit_status = running.wait();
            assert_eq!(exit_status.code(), Some(0), "{}", running.log());
            assert_eq!(
                metric(&call(next.admin(), "telemetry"), "members_unavailable"),
                1
            );
            running = next;
        }
        stop.store(true, Ordering::SeqCst);
        for client in load {
            let (served, failures) = client.join().expect("its counts");
            assert!(
                served > 20 && failures.is_empty(),
                "{served} served, {failures:?}"
            );
        }
    });
    assert_eq!(workers[2].count(), before, "sent to a draining worker");
    let mut ids = std::collections::HashSet::new();
    for message in workers
        .iter()
        .flat_map(|worker| worker.seen.lock().unwrap().clone())
    {
        assert!(
            ids.insert(message.field("req-id").expect("an id").to_owned()),
            "{message:?} ran twice"
        );
    }
}

/// Guards against a wrong computation of how long idle connections stay open when the deadlines of the classes are so
/// short that they leave no time for it.
#[test]
fn predecessor_exits_in_time_with_short_deadlines() {
    let worker = good();
    let (discovery, place) = (Discovery::new(&[("s-1", worker.address)]), Place::new());
    let short_deadline = (r#""give-up-ms":5000"#, r#""give-up-ms":200"#);
    let start = || Program::start_at(&place, &discovery, 512, &[ADMIN, short_deadline]);
    let mut old = start();
    wait_for_readyz(&old);
    let mut idle = old.connect();
    assert_eq!(
        send_on(&mut idle, &request("transfer", "id-1")).status(),
        200
    );
    let new = start();
    wait_for_readyz(&new);
    until("the successor's readiness in the log", || {
        old.log().contains("the successor is ready")
    });
    old.signal("-TERM");
    assert_eq!(idle.read(&mut [0; 1]).expect("an orderly close"), 0);
    assert_eq!(old.wait().code(), Some(0));
    assert_eq!(
        send_raw(place.listen, &request("transfer", "id-2")).map(|m| m.status()),
        Some(200)
    );
}

/// A successor that exits before or after it is ready leaves its predecessor serving, and the next successor takes
/// over.
#[test]
fn failed_successor_does_not_affect_its_predecessor() {
    let worker = good();
    let (discovery, place) = (Discovery::new(&[("s-1", worker.address)]), Place::new());
    let start = || Program::start_at(&place, &discovery, 512, &[ADMIN]);
    let old = start();
    wait_for_readyz(&old);
    // Connections that end at once, within the hello, after receiving the socket, and after an invalid hello.
    let hellos = [
        "",
        "oakshed-hand",
        "oakshed-handover 1\n",
        "GET / HTTP/1.1\r\n\r\n",
    ];
    for (number, hello) in hellos.into_iter().enumerate() {
        let mut connection =
            UnixStream::connect(place.shared().join("handover")).expect("connected");
        _ = connection.write_all(hello.as_bytes());
        if hello.ends_with("1\n") {
            _ = connection.read(&mut [0; 1]);
        }
        drop(connection);
        let text = request("transfer", &format!("id-{number}"));
        assert_eq!(send_raw(place.listen, &text).map(|m| m.status()), Some(200));
    }
    for is_ready in [false, true] {
        let mut new = start();
        if is_ready {
            wait_for_readyz(&new);
        }
        new.child.kill().expect("killed");
        new.wait();
        until("the successor's exit in the log", || {
            old.log().matches("the successor has exited").count() > usize::from(is_ready)
        });
        for n in 0..20 {
            let answer = send_raw(
                place.listen,
                &request("transfer", &format!("id-{is_ready}-{n}")),
            );
            assert_eq!(answer.map(|m| m.status()), Some(200));
        }
    }
    until("the predecessor's Unix socket", || {
        UnixStream::connect(place.shared().join("handover")).is_ok()
    });
    let new = start();
    wait_for_readyz(&new);
    assert!(new.log().contains("took over the socket"), "{}", new.log());
}

/// Neither files that a killed process or another program left in the shared directory nor a predecessor that does not
/// answer prevent a start: the new process binds the address itself.
#[test]
fn start_without_predecessor_is_a_normal_start() {
    let worker = good();
    let (discovery, place) = (Discovery::new(&[("s-1", worker.address)]), Place::new());
    let socket = place.shared().join("handover");
    let start = || {
        let program = Program::start_at(&place, &discovery, 512, &[ADMIN]);
        wait_for_readyz(&program);
        let text = request("transfer", &format!("id-{}", program.child.id()));
        assert_eq!(send_raw(place.listen, &text).map(|m| m.status()), Some(200));
        program
    };
    let mut first = start();
    first.child.kill().expect("killed");
    first.wait();
    assert!(socket.exists());
    drop(start());
    // At the path of the socket: listeners with invalid answers, and then a directory.
    for answer in ["nonsense\n", "declined\n", "99999999999\n", "2\n{}", ""] {
        _ = std::fs::remove_file(&socket);
        let listener = std::os::unix::net::UnixListener::bind(&socket).expect("bound");
        std::thread::spawn(move || {
            let (mut connection, _) = listener.accept().expect("a caller");
            _ = connection.write_all(answer.as_bytes());
            _ = connection.read(&mut [0; 64]);
            std::thread::sleep(Duration::from_secs(3)); // keeps the connection open without further data
        });
        let start_time = Instant::now();
        drop(start());
        assert!(
            start_time.elapsed() < Duration::from_secs(3),
            "{answer:?} took {:?}",
            start_time.elapsed()
        );
    }
    _ = std::fs::remove_file(&socket);
    std::fs::create_dir(&socket).expect("created");
    let old = start();
    let new = start();
    assert!(!new.log().contains("took over the socket"));
    drop(old);
    assert_eq!(
        send_raw(place.listen, &request("transfer", "id-2")).map(|m| m.status()),
        Some(200)
    );
}

/// The path of a Unix socket is limited to about a hundred bytes, which the path of the shared directory may exceed.
#[test]
fn long_socket_path_is_accepted() {
    let worker = good();
    let (discovery, mut place) = (Discovery::new(&[("s-1", worker.address)]), Place::new());
    let parent = place.folder.clone();
    place.folder = parent.join("x".repeat(150));
    std::fs::create_dir(&place.folder).expect("created");
    let old = Program::start_at(&place, &discovery, 512, &[ADMIN]);
    wait_for_readyz(&old);
    let new = Program::start_at(&place, &discovery, 512, &[ADMIN]);
    wait_for_readyz(&new);
    assert!(new.log().contains("took over the socket"), "{}", new.log());
    place.folder = parent;
}
