//! Schedulers as processes that share state as peers: kills, restarts, stalls, wrong wall clocks, drains and disk
//! faults.

mod scheduler;

use std::io::Write as _;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt as _;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use oakshed_fault_injection::{Faults, Switch};
use oakshed_standin::*;

use scheduler::{unused_addresses, Scheduler, TestFolder};

const HOUR_MS: i64 = 3_600_000;

#[test]
fn members_detect_a_kill_a_restart_and_a_stall() {
    let discovery = Discovery::new(&[("s-1", good().address)]);
    let (folder, peer_addresses) = (TestFolder::new("five"), unused_addresses(5));
    let mut all: Vec<Scheduler> = (0..5)
        .map(|i| Scheduler::start(&folder, discovery.peer.address, i, &peer_addresses))
        .collect();
    let others_logged = |all: &[Scheduler], event: &str, i: usize, times: usize| {
        let name = format!("p{i}");
        all.iter()
            .filter(|s| s.name != name)
            .all(|s| s.count_events(event, "member", &name) >= times)
    };
    until("all members to join", || {
        (0..5).all(|i| others_logged(&all, "joined", i, 1))
    });
    all[4].child.kill().expect("killed");
    all[4].child.wait().expect("an exit status");
    until("the detection of the kill", || {
        others_logged(&all, "dead", 4, 1)
    });
    all[4] = Scheduler::start(&folder, discovery.peer.address, 4, &peer_addresses);
    until("the new incarnation at the others", || {
        others_logged(&all, "joined", 4, 2)
    });
    until("the other members in its log", || {
        (0..4).all(|i| all[4].count_events("joined", "member", &format!("p{i}")) >= 1)
    });
    all[1].signal("-STOP");
    until("the detection of the stall", || {
        others_logged(&all, "dead", 1, 1)
    });
    all[1].signal("-CONT");
    until("its return", || others_logged(&all, "joined", 1, 2));
    // No member that answered was declared dead, not even by the stalled one.
    for i in [0, 2, 3] {
        assert!(
            all.iter()
                .all(|s| s.count_events("dead", "member", &format!("p{i}")) == 0),
            "p{i}"
        );
    }
    // Datagrams that waited for the stalled member may be rejected as too old; no other cause may occur.
    for scheduler in &all {
        let log = scheduler.log.lock().unwrap();
        for line in log.lines().filter(|line| line.contains("bad peers")) {
            for cause in [
                "cut",
                "version",
                "installation",
                "mac",
                "malformed",
                "impossible",
            ] {
                // A field is followed by a comma, or by the brace at the end of the line.
                let is_zero = [',', '}']
                    .iter()
                    .any(|end| line.contains(&format!("\"{cause}\":0{end}")));
                assert!(is_zero, "{}: {line}", scheduler.name);
            }
        }
    }
}

/// Guards against a member that dates its datagrams, and checks those of others, by the wall clock of its start: if
/// that was an hour behind, it and the other members would reject each other's datagrams for its whole incarnation.
#[test]
fn member_joins_once_its_wall_clock_is_corrected() {
    let discovery = Discovery::new(&[("s-1", good().address)]);
    let (folder, peer_addresses) = (TestFolder::new("wall"), unused_addresses(3));
    let clocks = [0, 1, 2].map(|_| Faults::new(""));
    clocks[2].set_clock_offset(-HOUR_MS);
    let mut all: Vec<Scheduler> = (0..3)
        .map(|i| {
            Scheduler::start_with(
                &folder,
                discovery.peer.address,
                i,
                &peer_addresses,
                Some(&clocks[i]),
            )
        })
        .collect();
    let has_logged = |scheduler: &Scheduler, event: &str, i: usize| {
        scheduler.count_events(event, "member", &format!("p{i}")) > 0
    };
    until("the members with the correct time to join", || {
        has_logged(&all[0], "joined", 1) && has_logged(&all[1], "joined", 0)
    });
    all[2].address();
    let is_isolated =
        (0..2).all(|i| !has_logged(&all[i], "joined", 2) && !has_logged(&all[2], "joined", i));
    assert!(is_isolated, "a datagram that is an hour old was accepted");
    clocks[2].set_clock_offset(0);
    until("all members to join", || {
        (0..2).all(|i| has_logged(&all[i], "joined", 2) && has_logged(&all[2], "joined", i))
    });
    // A step of the wall clock of all members at once does not separate them.
    for clock in &clocks {
        clock.set_clock_offset(HOUR_MS);
    }
    all[1].child.kill().expect("killed");
    all[1].child.wait().expect("an exit status");
    until("the detection of the kill", || {
        has_logged(&all[0], "dead", 1) && has_logged(&all[2], "dead", 1)
    });
    assert!(
        !has_logged(&all[0], "dead", 2) && !has_logged(&all[2], "dead", 0),
        "a member that answers was declared dead"
    );
}

#[test]
fn key_file_readable_by_others_is_rejected() {
    let folder = TestFolder::new("key");
    let operator = folder.operator_file(0, &unused_addresses(1));
    let check = || {
        let mut command = Command::new(Program::binary());
        let out = command
            .arg("check")
            .arg("--operator")
            .arg(&operator)
            .env_remove("ROUTER_CONFIG")
            .output();
        let out = out.expect("run");
        (
            out.status.success(),
            String::from_utf8(out.stderr).expect("text"),
        )
    };
    assert!(check().0);
    let world_readable = std::fs::Permissions::from_mode(0o644);
    std::fs::set_permissions(folder.0.join("key"), world_readable).expect("set");
    let (accepted, output) = check();
    assert!(
        !accepted && output.contains("/peers/key_file") && output.contains("mode 644"),
        "{output}"
    );
}

#[test]
fn drain_known_to_one_member_applies_at_all() {
    check_drain("drain", 0, 1);
}

/// Guards against the notification of a worker's new start time that, arriving after the drain, reverts it.
#[test]
fn drain_of_a_restarted_worker_applies_at_all() {
    check_drain("restarted", 5, 2);
}

/// Discovery notifies one of three members of a draining worker and of its start time. The other members each log
/// `lines` lines on it, and no member sends it a job.
fn check_drain(folder: &str, started: u64, lines: usize) {
    let (first, second) = (good(), good());
    let (is_draining, is_delivered) = (Arc::new(AtomicBool::new(false)), AtomicBool::new(false));
    let entry = |name: &str, at: SocketAddr, state: &str, started: u64| {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{at}","zone":"hofdi","machineType":"fast-7","cell":0,"lifecycle":"{state}","weight":1.0,"startedAtMs":{started}}}"#
        )
    };
    let snapshot = [
        entry("s-1", first.address, "ready", 0),
        entry("s-2", second.address, "ready", 0),
    ]
    .join(",");
    let drain = entry("s-2", second.address, "draining", started);
    let drain_published = is_draining.clone();
    // Only one watch receives the drain; the others are held and receive an empty delta.
    let discovery = Peer::new(move |message, stream| {
        let from = message
            .first
            .split("from=")
            .nth(1)
            .and_then(|t| t.split('&').next()?.parse::<u64>().ok());
        let (number, reset, list) = match from {
            None => (1, true, snapshot.as_str()),
            Some(1)
                if drain_published.load(Ordering::SeqCst)
                    && !is_delivered.swap(true, Ordering::SeqCst) =>
            {
                (2, false, drain.as_str())
            }
            Some(number) => {
                std::thread::sleep(Duration::from_millis(200)); // hold time of a watch
                (number, false, "")
            }
        };
        let body = format!(r#"{{"generation":{number},"reset":{reset},"instances":[{list}]}}"#);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).is_ok()
    });
    let (folder, peer_addresses) = (TestFolder::new(folder), unused_addresses(3));
    let all: Vec<Scheduler> = (0..3)
        .map(|i| Scheduler::start(&folder, discovery.address, i, &peer_addresses))
        .collect();
    for scheduler in &all {
        let text = |s: &Scheduler| s.log.lock().unwrap().clone();
        until("the first endpoint list", || {
            text(scheduler).contains("list 1 (snapshot)")
        });
        until("the other members in its log", || {
            text(scheduler).matches("\"event\":\"joined\"").count() == 2
        });
    }
    is_draining.store(true, Ordering::SeqCst);
    until("the drain at the other two members", || {
        all.iter()
            .filter(|s| s.count_events("learned", "worker", "s-2") == lines)
            .count()
            == 2
    });
    let is_reverted = |s: &Scheduler| s.log.lock().unwrap().contains("s-2 is Active");
    assert!(
        !all.iter().any(is_reverted),
        "a later update reverted the drain"
    );
    let before = second.count();
    for (i, at) in all.iter().map(Scheduler::address).enumerate() {
        for n in 0..20 {
            let answer =
                send_raw(at, &request("transfer", &format!("id-{i}-{n}"))).map(|m| m.status());
            assert_eq!(answer, Some(200));
        }
    }
    assert_eq!(
        second.count(),
        before,
        "a job was sent to the draining worker"
    );
    assert!(first.count() >= 60);
}

/// A failed write must not replace the snapshot file by a partial one. It is retried until the disk works again.
#[test]
fn snapshot_file_stays_intact_during_disk_faults() {
    let discovery = Discovery::new(&[("s-1", good().address)]);
    let (folder, peer_addresses) = (TestFolder::new("faults"), unused_addresses(1));
    let faults = Faults::new("fsync EIO 1/1 0 0 on=/peers-;write ENOSPC 1/1 0 0 on=/peers-");
    let file = folder.0.join(format!("peers-{}.kept", peer_addresses[0]));
    let scheduler = Scheduler::start_with(
        &folder,
        discovery.peer.address,
        0,
        &peer_addresses,
        Some(&faults),
    );
    let log = |text: &str| scheduler.log.lock().unwrap().matches(text).count();
    until("the snapshot file", || file.exists());
    let first = std::fs::read(&file).expect("a readable snapshot");
    for row in 0..2 {
        faults.switch(row, Switch::On);
        until("a failed write and a failed retry", || {
            faults.strikes(row) >= 2
        });
        assert_eq!(log("retrying"), row + 1, "not one line for each outage");
        let now = std::fs::read(&file).expect("a readable snapshot");
        assert!(
            now.len() == first.len(),
            "the snapshot had {} bytes, and then {}",
            first.len(),
            now.len()
        );
        faults.switch(row, Switch::Off);
        until("a successful write", || log("written again") == row + 1);
    }
    drop(scheduler);
    let next = Scheduler::start(&folder, discovery.peer.address, 0, &peer_addresses);
    next.address();
    let log = next.log.lock().unwrap();
    assert!(
        !log.contains("starting without the snapshot") && log.contains("peers: snapshot of"),
        "{log}"
    );
}
