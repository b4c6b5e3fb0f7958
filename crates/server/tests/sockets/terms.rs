//! Guarantees that only a whole process can show: a restart after a kill, a drain after a reload, all forms of lists,
//! the deadline of retries, and the rejection of requests that were never forwarded.
//!
//! None of the tests depends on a fixed waiting time.

use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use oakshed_standin::*;

use super::descriptors;
use super::readiness::READY;
use super::requests::assert_all_served;

const PUSHED: (&str, &str) = (
    r#""membership-mode":"on_request""#,
    r#""membership-mode":"pushed""#,
);
const BUSY: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// Connections that a killed process had accepted must not keep its address in use, and its clients must not get
/// partial answers. The next process must not forward requests that it did not receive.
#[test]
fn restart_after_kill_at_accept_serves_at_the_same_address() {
    // Answers requests of the restarted processes, but none of the killed ones.
    let worker = Peer::new(|message, stream| {
        !message
            .field("req-id")
            .is_some_and(|id| id.starts_with("next"))
            || done(message, stream, "made")
    });
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let place = Place::new();
    let mut complete = Vec::new();
    for round in 0..3 {
        let program = Program::start_at(&place, &discovery, 1024, &[]);
        let before = descriptors(&program);
        // Some clients have sent nothing, some a part of their request, some all of it.
        let mut clients: Vec<_> = (0..12).map(|_| program.connect()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            let text = request("transfer", &format!("id-{round}-{n}"));
            let part = [0, text.len() / 2, text.len()][n % 3];
            complete.extend((part == text.len()).then(|| format!("id-{round}-{n}")));
            client
                .write_all(&text.as_bytes()[..part])
                .expect("failed to write");
        }
        until("an accept", || descriptors(&program) > before);
        program.signal("-KILL");
        for client in &mut clients {
            let mut all = Vec::new();
            _ = client.read_to_end(&mut all); // the end of the connection, or a reset
            assert_eq!(all, b"", "partial answer");
        }
        drop(program);
        let next = Program::start_at(&place, &discovery, 1024, &[]);
        assert_eq!(next.address, place.listen);
        let id = format!("next-{round}");
        assert_eq!(next.send(&request("transfer", &id)).status(), 200);
        let seen = worker.seen.lock().unwrap();
        let ids: Vec<_> = seen.iter().filter_map(|m| m.field("req-id")).collect();
        assert!(
            ids.iter()
                .all(|id| ids.iter().filter(|other| *other == id).count() == 1),
            "{ids:?}"
        );
        assert!(
            ids.iter()
                .filter(|id| id.starts_with("id-"))
                .all(|id| complete.iter().any(|w| w == id)),
            "{ids:?}"
        );
    }
}

/// A reload counts as applied after 4 s, even if the first call to the new discovery service fails.
#[test]
fn drain_after_reload_is_applied_within_four_seconds() {
    let drain_after_reload = |failure: Option<&'static str>, edits: &[(&str, &str)]| {
        let (stays, drains) = (good(), good());
        let list = [("s-1", drains.address), ("s-2", stays.address)];
        let (old, new) = (Discovery::new(&list), Discovery::new(&list));
        let program = Program::start_with(&old, 1024, edits);
        until("a watch", || old.peer.count() >= 1);
        new.malformed.lock().unwrap().extend(failure);
        new.set("s-1", "draining");
        let at = Instant::now();
        program.reload(&old.peer.address.to_string(), &new.peer.address.to_string());
        until("the update", || program.log().contains("1 workers ready"));
        assert!(
            at.elapsed() < Duration::from_secs(4),
            "{failure:?}, {edits:?}: applied after {:?}",
            at.elapsed()
        );
        let before = drains.count();
        assert_all_served(&program, "id", 0..20);
        assert_eq!((drains.count(), stays.count()), (before, 20));
    };
    std::thread::scope(|s| {
        for failure in [None, Some(CLOSED), Some(BUSY)] {
            for edits in [&[][..], &[PUSHED]] {
                s.spawn(move || drain_after_reload(failure, edits));
            }
        }
    });
}

/// Lists are applied in every form: indented, in small chunks, and as a snapshot in place of a delta. Workers that are
/// missing from a snapshot are removed, even if it arrives after a call that was not answered.
#[test]
fn snapshot_late_and_indented_lists_are_applied() {
    let (goes, stays) = (good(), good());
    let discovery = Discovery::new(&[("s-1", goes.address), ("s-2", stays.address)]);
    discovery.indented.store(true, Ordering::SeqCst);
    let program = Program::start_knowing(&discovery, "null", 1024, &[]);
    let served = |round: &str| {
        let before = (goes.count(), stays.count());
        for n in 0..20 {
            assert_eq!(
                program
                    .send(&request("transfer", &format!("{round}-{n}")))
                    .status(),
                200
            );
        }
        (goes.count() - before.0, stays.count() - before.1)
    };
    discovery.set("s-1", "gone");
    until("the removal", || {
        program
            .log()
            .contains("list 2 (snapshot): 1 entries, 1 workers ready")
    });
    assert_eq!(served("gone"), (0, 20));
    discovery.set("s-1", "ready");
    discovery.set("s-2", "draining");
    until("both changes", || {
        program
            .log()
            .contains("list 4 (snapshot): 2 entries, 1 workers ready")
    });
    assert_eq!(served("back"), (20, 0));
    // A call is not answered, and an update follows.
    discovery.malformed.lock().unwrap().push("");
    until("the unanswered call", || {
        discovery.malformed.lock().unwrap().is_empty()
    });
    discovery.set("s-2", "ready");
    discovery.set("s-1", "gone");
    until("the late update", || {
        program
            .log()
            .contains("list 6 (snapshot): 1 entries, 1 workers ready")
    });
    assert_eq!(served("late"), (0, 20));
}

/// A retry is given at most the time that its client has left, not the deadline of the first attempt.
#[test]
fn retry_carries_the_remaining_deadline() {
    let deadlines = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let recorded = deadlines.clone();
    let declining = move |message: &Message, stream: &mut std::net::TcpStream| {
        let ms: u64 = message
            .field("req-deadline-ms")
            .and_then(|t| t.parse().ok())
            .expect("no deadline");
        let mut deadlines = recorded.lock().unwrap();
        deadlines.push((Instant::now(), ms));
        if deadlines.len() == 2 {
            return done(message, stream, "made");
        }
        drop(deadlines);
        // Some of the time passes before the rejection.
        std::thread::sleep(Duration::from_millis(150));
        stream
            .write_all(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            .is_ok()
    };
    let declining = std::sync::Arc::new(declining);
    let peers: Vec<Peer> = (0..2)
        .map(|_| {
            let script = declining.clone();
            Peer::new(move |message, stream| script(message, stream))
        })
        .collect();
    let list = [("s-1", peers[0].address), ("s-2", peers[1].address)];
    // The latency objective of 3 s leaves time for a retry. The client waits for 1.2 s.
    let edits = [(r#""aim-ms":120"#, r#""aim-ms":3000"#)];
    let program = Program::start_with(&Discovery::new(&list), 1024, &edits);
    let text =
        request("transfer", "id-1").replace("Req-Deadline-Ms: 5000", "Req-Deadline-Ms: 1200");
    assert!(text.contains("Req-Deadline-Ms: 1200"), "{text}");
    let sent = Instant::now();
    assert_eq!(program.send(&text).status(), 200);
    let deadlines = deadlines.lock().unwrap();
    assert_eq!(deadlines.len(), 2);
    for (at, ms) in deadlines.iter() {
        let left = Duration::from_millis(1_200).saturating_sub(*at - sent);
        assert!(
            Duration::from_millis(*ms) <= left + Duration::from_millis(150),
            "{ms} ms, {left:?} left"
        );
    }
    assert!(
        deadlines[1].1 <= 1_050,
        "the retry was given {} ms",
        deadlines[1].1
    );
}

/// A request that no worker has received is rejected with a time to retry. It must not be answered as failed: that says
/// nothing about whether it ran, and its client could have retried it.
#[test]
fn unforwarded_request_is_rejected_and_never_failed() {
    // Nothing listens there, so that each attempt provably never ran.
    let closed = ReservedPort::new();
    let known = Discovery::new(&[("s-1", closed.address), ("s-2", closed.address)]);
    let program = Program::start(&known);
    for class in ["transfer", "new-plate"] {
        for n in 0..10 {
            let answer = program.send(&request(class, &format!("{class}-{n}")));
            assert_eq!(answer.status(), 503, "{class}");
            let wait: f64 = answer
                .field("retry-after")
                .and_then(|t| t.parse().ok())
                .expect("no Retry-After field");
            assert!(wait <= 2.0, "{wait}");
        }
    }
    // The result is the same without a ready worker in the list.
    known.set("s-1", "draining");
    known.set("s-2", "gone");
    until("a list without ready workers", || {
        program.log().contains("0 workers ready")
    });
    let answer = program.send(&request("transfer", "last"));
    assert_eq!(
        (answer.status(), answer.field("retry-after").is_some()),
        (503, true)
    );
    assert_eq!(program.send(READY).status(), 503);
}
