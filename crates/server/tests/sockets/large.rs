//! Endpoint lists of a thousand workers: loading, use and updates, and a measurement of what a list costs.

use std::io::Write as _;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use oakshed_standin::*;

use super::descriptors;

const WORKERS: usize = 1_024;

/// Returns a worker name of the maximum length of a host name.
fn long_name(n: usize) -> String {
    format!("{n:0253}")
}

/// Returns a list that is indented and has unknown fields.
fn indented(number: u64, is_snapshot: bool, entries: &[(usize, SocketAddr, &str)]) -> String {
    let entry = |(n, at, state): &(usize, SocketAddr, &str)| {
        serde_json::json!({
            "instanceId": long_name(*n), "hostPort": at, "zone": "hofdi", "machineType": "fast-7", "cell": n / 3,
            "lifecycle": state, "weight": 1.0, "startedAtMs": 0,
            "labels": {"rack": long_name(*n), "owner": long_name(*n), "image": long_name(*n)},
        })
    };
    let instances: Vec<_> = entries.iter().map(entry).collect();
    let list =
        serde_json::json!({"generation": number, "reset": is_snapshot, "instances": instances});
    serde_json::to_string_pretty(&list).expect("failed to serialize")
}

/// Starts a discovery service that answers `from=n` with the list after number `n`, and other calls with the first one.
/// Watches are held for 200 ms.
fn discovery_with(first: String) -> (Peer, Arc<Mutex<Vec<String>>>) {
    let all_lists = Arc::new(Mutex::new(vec![first]));
    let lists = all_lists.clone();
    let peer = Peer::new(move |message, stream| {
        let from = message
            .first
            .split("from=")
            .nth(1)
            .and_then(|t| t.split('&').next()?.parse::<usize>().ok());
        let (from, begin) = (from.unwrap_or(0), Instant::now());
        let body = loop {
            let next = lists.lock().unwrap().get(from).cloned();
            match next {
                Some(body) => break body,
                None if begin.elapsed() > Duration::from_millis(200) => {
                    break format!(r#"{{"generation":{from},"reset":false,"instances":[]}}"#)
                }
                None => std::thread::sleep(Duration::from_millis(5)),
            }
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).is_ok()
    });
    (peer, all_lists)
}

fn start(discovery: &Peer, known: &str, sockets: usize) -> Program {
    let path = config(discovery.address, known, sockets);
    let mut command = Command::new(Program::binary());
    command
        .arg("serve")
        .env_remove("TMPDIR")
        .env_remove("ROUTER_ADMIN")
        .env_remove("ROUTER_DISCOVERY");
    let program = Program::run(command.env("ROUTER_CONFIG", &path), path.clone());
    program.wait_until_ready();
    program
}

/// The limits on the bytes and entries of a list must allow a thousand workers, and idle connections to hundreds of
/// them must fit into 128 descriptors. That is half of 256, as in a hot restart, where two processes share them.
#[test]
fn list_of_a_thousand_workers_is_used_at_start_and_updated() {
    let (drained, remaining) = (good(), good());
    let remains = |n: usize| n % 32 == 28;
    let at = |n: usize| {
        if remains(n) {
            remaining.address
        } else {
            drained.address
        }
    };
    let entries = |state| {
        (0..WORKERS)
            .map(|n| (n, at(n), if remains(n) { "ready" } else { state }))
            .collect::<Vec<_>>()
    };
    let snapshot = indented(1, true, &entries("ready"));
    assert!(
        snapshot.len() > 1 << 20 && snapshot.len() < 2 << 20,
        "{} bytes",
        snapshot.len()
    );
    // The configuration holds a list; updates are read from the first call on.
    let (discovery, lists) = discovery_with(snapshot);
    let program = start(&discovery, &indented(1, true, &entries("ready")), 128);
    lists
        .lock()
        .unwrap()
        .push(indented(2, true, &entries("ready")));
    until("the list was read", || {
        program
            .log()
            .contains("list 2 (snapshot): 1024 entries, 1024 workers ready")
    });
    // Rejected requests are retried. On a busy machine there may be some.
    let serve = |name: &str, jobs: usize| {
        for n in 0..jobs {
            let mut tries = 0..;
            until("served", || {
                let id = format!("{name}-{n}-{}", tries.next().expect("the range is endless"));
                program.send(&request("new-plate", &id)).status() == 200
            });
            assert!(
                descriptors(&program) <= 128,
                "{} descriptors",
                descriptors(&program)
            );
        }
    };
    serve("a", 300);
    let before = (drained.count(), remaining.count());
    assert!(
        before.0 > before.1 && before.0 + before.1 >= 300,
        "{before:?}"
    );
    lists
        .lock()
        .unwrap()
        .push(indented(3, false, &entries("draining")));
    until("the change was read", || {
        program
            .log()
            .contains("list 3 (delta): 1024 entries, 32 workers ready")
    });
    serve("b", 50);
    assert_eq!(drained.count(), before.0, "a job went to a draining worker");
    assert!(
        remaining.count() >= before.1 + 50,
        "{} after {before:?}",
        remaining.count()
    );
    assert!(!program.log().contains("malformed"), "{}", program.log());
}

/// Returns the CPU time of the program's threads in nanoseconds, and its resident memory in KB.
fn cpu_time_and_memory(program: &Program) -> (u64, u64) {
    let path = |rest: &str| format!("/proc/{}/{rest}", program.child.id());
    let tasks = std::fs::read_dir(path("task"))
        .expect("failed to list the threads")
        .map_while(Result::ok);
    let ran = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok());
    let ran = ran
        .filter_map(|text| text.split(' ').next()?.parse::<u64>().ok())
        .sum();
    let status =
        std::fs::read_to_string(path("status")).expect("failed to read the process status");
    let resident = status.lines().find_map(|line| {
        line.strip_prefix("VmRSS:")?
            .split_whitespace()
            .next()?
            .parse()
            .ok()
    });
    (ran, resident.expect("no VmRSS line"))
}

/// Prints what lists of several lengths cost. The full table is printed by
/// `OAKSHED_SIZES=14,200,1024 cargo test --release -p oakshed --test sockets -- large::sizes --nocapture`.
/// Values that depend on the machine are not asserted.
#[test]
fn sizes() {
    let sizes = std::env::var("OAKSHED_SIZES").unwrap_or("14".into());
    println!("workers | ready KB | served KB | descriptors | snapshot, us | change of one, us | idle, % of a core");
    for n in sizes
        .split(',')
        .map(|n| n.parse::<usize>().expect("not a number"))
    {
        let worker = good();
        let entry = |n| {
            let at = worker.address;
            format!(
                r#"{{"instanceId":"worker-{n:04}","hostPort":"{at}","zone":"hofdi","machineType":"fast-7","cell":0,"lifecycle":"ready","weight":1.0,"startedAtMs":0}}"#
            )
        };
        let list = |number, is_snapshot, n: usize| {
            let entries: Vec<String> = (0..n).map(entry).collect();
            format!(
                r#"{{"generation":{number},"reset":{is_snapshot},"instances":[{}]}}"#,
                entries.join(",")
            )
        };
        let (discovery, lists) = discovery_with(list(1, true, n));
        let program = start(&discovery, "null", 1_024);
        let ready = cpu_time_and_memory(&program).1;
        let changes = 20;
        let time = |is_snapshot, n| {
            let before = cpu_time_and_memory(&program).0;
            for _ in 0..changes {
                let number = lists.lock().unwrap().len() + 1;
                lists.lock().unwrap().push(list(number, is_snapshot, n));
                until("the change was read", || {
                    program.log().contains(&format!("list {number} ("))
                });
            }
            (cpu_time_and_memory(&program).0 - before) / changes / 1_000
        };
        let (snapshot, one) = (time(true, n), time(false, 1));
        let jobs = 2 * n.max(100);
        for job in 0..jobs {
            assert_eq!(
                program
                    .send(&request("new-plate", &format!("c-{job}")))
                    .status(),
                200
            );
        }
        let (open, (_, served)) = (descriptors(&program), cpu_time_and_memory(&program));
        let (begin, before) = (Instant::now(), cpu_time_and_memory(&program).0);
        std::thread::sleep(Duration::from_secs(1));
        let idle = (cpu_time_and_memory(&program).0 - before) as f64
            / begin.elapsed().as_nanos() as f64
            * 100.0;
        println!("{n} | {ready} | {served} | {open} | {snapshot} | {one} | {idle:.2}");
        assert!(open <= 1_024);
    }
}
