//! Operators' commands: each is answered in time, also with other callers, under load and during a shutdown.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use oakshed_standin::*;

use crate::metric;

#[test]
fn commands_are_answered_and_unknown_ones_rejected() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let program = Program::start_with(&discovery, 1024, &[ADMIN]);
    let at = program.admin();
    let bytewise: Vec<&[u8]> = b"readyz\r\n".chunks(1).collect();
    let too_long = [b'x'; 5_000];
    let cases: [(&[&[u8]], bool, &str); 14] = [
        (&[b"readyz\n"], false, "YES"),
        (&[b"readyz\r\n"], false, "YES"),
        (&bytewise, false, "YES"),
        (&[b"ready", b"z"], true, "YES"),
        (&[b"readyz\nreadyz\n"], false, "YES"),
        (&[b"readyz now\n"], false, "NO"),
        (&[b"telemetry all\n"], false, "NO"),
        (&[b"exclude\n"], false, "NO"),
        (&[b"include a b\n"], false, "NO"),
        (&[b"reboot\n"], false, "NO"),
        (&[b"\n"], false, "NO"),
        (&[], true, "NO"),
        (&[b"\xff\xfe\x00\n"], false, "NO"),
        (&[&too_long], false, "NO"),
    ];
    for (pieces, half_closes, expected) in cases {
        let answer = call_in(at, pieces, half_closes);
        assert!(answer.starts_with(expected), "{answer:?} to {pieces:?}");
        assert_eq!(answer.matches('\n').count(), 1, "{answer:?} to {pieces:?}");
    }
    // Jobs are not served at the operators' address.
    assert!(call_in(at, &[request("transfer", "id-1").as_bytes()], false).starts_with("NO"));
    assert_eq!(worker.count(), 0);
    let telemetry = call(at, "telemetry");
    assert!(telemetry.ends_with("\nEND\n"), "{telemetry}");
    assert_eq!(
        (
            metric(&telemetry, "members"),
            metric(&telemetry, "members_unavailable")
        ),
        (1, 0)
    );
    discovery.set("s-1", "draining");
    until("the drain in the telemetry", || {
        metric(&call(at, "telemetry"), "members_unavailable") == 1
    });
    until("the drain in the readyz answer", || {
        call(at, "readyz").starts_with("NO")
    });
    discovery.set("s-1", "gone");
    until("the removal in the telemetry", || {
        metric(&call(at, "telemetry"), "members") == 0
    });
}

#[test]
fn unusable_operators_address_is_reported() {
    let path = config("127.0.0.1:9".parse().expect("an address"), "null", 1024);
    let start = |admin: &str| {
        let mut command = std::process::Command::new(Program::binary());
        let out = command
            .arg("serve")
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_ADMIN", admin)
            .output();
        let out = out.expect("started");
        (
            out.status.code(),
            String::from_utf8(out.stderr).expect("text"),
        )
    };
    let (status, log) = start("operators");
    assert_eq!((status, log.lines().count()), (Some(1), 1), "{log}");
    assert!(
        log.contains("ROUTER_ADMIN") && log.contains("operators"),
        "{log}"
    );
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let used = listener.local_addr().expect("its address");
    let (status, log) = start(&used.to_string());
    assert_eq!(status, Some(1));
    assert!(
        log.contains("operators' address") && log.contains(&used.to_string()),
        "{log}"
    );
    _ = std::fs::remove_file(path);
}

/// Guards against calls that wait for idle operators' connections: there are many more of these than slots, and clients
/// use all connections that they are allowed.
#[test]
fn idle_operator_connections_delay_no_call() {
    let worker = good();
    let program = Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 128, &[ADMIN]);
    let at = program.admin();
    let _clients: Vec<TcpStream> = (0..200).map(|_| program.connect()).collect();
    let connect_idle = |n: usize| {
        let mut stream = TcpStream::connect(at).expect("a connection");
        if n % 2 == 0 {
            _ = stream.write_all(b"teleme");
        }
        stream
    };
    let mut connections: Vec<TcpStream> = Vec::new();
    for round in 0..20 {
        connections.extend((0..10).map(|n| connect_idle(round + n)));
        let start = Instant::now();
        assert!(call(at, "readyz").starts_with("YES"));
        assert!(call(at, "telemetry").ends_with("END\n"));
        assert!(
            start.elapsed() < Duration::from_secs(1),
            "{:?}",
            start.elapsed()
        );
    }
    assert!(
        std::fs::read_dir(format!("/proc/{}/fd", program.child.id()))
            .expect("listed")
            .count()
            <= 128
    );
}

#[test]
fn commands_are_answered_in_time_under_load_and_at_shutdown() {
    let worker = good();
    let program = Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 256, &[ADMIN]);
    let (at, stop) = (program.admin(), AtomicBool::new(false));
    std::thread::scope(|s| {
        for t in 0..8 {
            let (program, stop) = (&program, &stop);
            s.spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    _ = send_raw(
                        program.address,
                        &request("transfer", &format!("id-{t}-{n}")),
                    );
                }
            });
        }
        let mut longest = Duration::ZERO;
        for n in 0..60 {
            let start = Instant::now();
            assert!(call(at, "telemetry").ends_with("END\n"));
            longest = longest.max(start.elapsed());
            if n == 40 {
                program.signal("-TERM");
            }
            std::thread::sleep(Duration::from_millis(10)); // pause between commands
        }
        stop.store(true, Ordering::SeqCst);
        assert!(longest < Duration::from_secs(1), "{longest:?}");
    });
}
