//! Calls to discovery: at start, after failures and missing answers, and after a reload that changes its address.

use std::io::{BufReader, Write};
use std::sync::atomic::Ordering;

use oakshed_standin::*;

use super::log_after_stop;
use super::settings::edit;
use super::starting::StartingProcess;
use super::{gated_worker, unreachable_address};

/// A first start has no list, and gets no request before it is ready, so it has to poll without being triggered by one.
#[test]
fn start_without_a_list_polls_at_once() {
    let worker = good();
    for membership in ["on_request", "pushed"] {
        let discovery = Discovery::new(&[("s-1", worker.address)]);
        let edits = [(
            r#""membership-mode":"on_request""#,
            &*format!(r#""membership-mode":"{membership}""#),
        )];
        let program = Program::start_knowing(&discovery, "null", 1024, &edits);
        assert_eq!(
            program.send(&request("transfer", "id-1")).status(),
            200,
            "{membership}"
        );
    }
}

#[test]
fn failing_discovery_is_polled_again_and_malformed_lists_are_ignored() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let program = Program::start(&discovery);
    discovery.malformed.lock().unwrap().extend([
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"genera}",
        "HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n{\"generation\":9,\"instances\":[7]}",
        "no HTTP at all\r\n\r\n",
    ]);
    until("calls for all malformed answers", || {
        discovery.malformed.lock().unwrap().is_empty()
    });
    discovery.set("s-1", "draining");
    until("the update after the failures", || {
        program.log().contains("0 workers ready")
    });
    discovery.set("s-1", "ready");
    until("the second update", || {
        program.log().contains("entries, 1 workers ready")
    });
    until("a served request", || {
        program.send(&request("transfer", "id-1")).status() == 200
    });
}

/// An empty cached list must not keep the next list from being used.
#[test]
fn start_with_empty_list_serves_after_a_full_one() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let empty = r#"{"generation":0,"reset":true,"instances":[]}"#;
    let program = Program::start_knowing(&discovery, empty, 1024, &[]);
    assert_eq!(program.send(&request("transfer", "id-1")).status(), 200);
}

#[test]
fn discovery_without_long_polls_is_not_polled_without_pause() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let program = Program::start(&discovery);
    let start = std::time::Instant::now();
    let text =
        "HTTP/1.1 200 OK\r\nContent-Length: 45\r\n\r\n{\"generation\":1,\"reset\":false,\"instances\":[]}";
    discovery.malformed.lock().unwrap().extend([text; 10]);
    until("ten calls", || {
        discovery.malformed.lock().unwrap().is_empty()
    });
    assert!(
        start.elapsed().as_millis() >= 900,
        "ten calls in {:?}",
        start.elapsed()
    );
    assert!(!program.log().contains("malformed"), "{}", program.log());
}

/// If a watch and two calls beside it are unanswered, discovery counts as failed. It is polled again after a pause.
#[test]
fn unresponsive_discovery_is_abandoned_and_polled_again() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let program = Program::start(&discovery);
    discovery.malformed.lock().unwrap().extend(["", "", ""]); // these calls are read but not answered
    until("the end of the calls", || {
        program.log().contains("no answer in time")
    });
    discovery.set("s-1", "draining");
    until("the update after the failures", || {
        program.log().contains("0 workers ready")
    });
}

/// An unanswered watch must not be taken for a rejection. Among a hundred schedulers the next call would wait for
/// several seconds after a rejection, while a missed change already counts as notified.
#[test]
fn unresponsive_watch_is_reopened_before_missed_changes_are_due() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let edits = [(r#""balancers":1"#, r#""balancers":100"#)];
    let mut program = Program::start_with(&discovery, 1024, &edits);
    until("the second call of the watch", || {
        discovery.peer.count() >= 2
    });
    discovery.malformed.lock().unwrap().push("");
    until("the unanswered call", || {
        discovery.malformed.lock().unwrap().is_empty()
    });
    discovery.set("s-1", "draining");
    until("the update", || program.log().contains("0 workers ready"));
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0));
    let log = log_after_stop(&program);
    // There must be no failure, because the next call would have waited after one.
    assert!(
        log.contains("discovery_failures: 0,") && !log.contains("silent_watches: 0,"),
        "{log}"
    );
}

/// Among many schedulers, one that starts with a list delays its first call. Without requests only a timer triggers
/// that call, and the timer must not be lost.
#[test]
fn idle_scheduler_among_many_polls_discovery_after_start() {
    let discovery = Discovery::new(&[("s-1", "127.0.0.1:9".parse().expect("invalid address"))]);
    let edits = [
        (r#""balancers":1"#, r#""balancers":100"#),
        (r#""ask-every-ms":10000"#, r#""ask-every-ms":2000"#),
    ];
    let _program = Program::start_with(&discovery, 1024, &edits);
    until("a call", || discovery.peer.count() >= 1);
}

/// SIGHUP must not end the process. The file's address must replace the one from the environment, and the new discovery
/// service must not be asked for changes since a generation of the old one.
#[test]
fn reload_moves_to_new_discovery_and_continues_serving() {
    let (before, release) = gated_worker("before");
    let after = good();
    let (old, new) = (
        Discovery::new(&[("s-1", before.address)]),
        Discovery::new(&[("s-2", after.address)]),
    );
    let program = Program::start(&old);
    let mut client = program.connect();
    client
        .write_all(request("transfer", "id-1").as_bytes())
        .expect("failed to write");
    until("the attempt", || before.count() == 1);
    program.reload("\"discovery\"", "\"discovery");
    until("the rejected reload", || {
        program
            .log()
            .contains("the previous configuration stays in force")
    });
    program.reload("\"discovery", "\"discovery\"");
    until("the reload of the original file", || {
        program.log().contains("reload: discovery")
    });
    assert_eq!(new.peer.count(), 0);
    program.reload(&old.peer.address.to_string(), &new.peer.address.to_string());
    until("a watch on the new list", || new.peer.count() >= 2);
    assert_eq!(
        new.peer.seen.lock().unwrap()[0].first,
        "GET /v1/endpoints HTTP/1.1"
    );
    until("the end of the old watch", || {
        old.peer.ended.load(Ordering::SeqCst) == 1
    });
    assert_eq!(program.send(&request("transfer", "id-2")).body, b"made");
    release.send(()).expect("failed to release the worker");
    assert_eq!(
        Message::read(&mut BufReader::new(client))
            .expect("no answer")
            .body,
        b"before"
    );
}

/// An invalid configuration must not end the process or be applied in part, and its reload logs exactly one line.
#[test]
fn invalid_reload_logs_one_line_and_changes_nothing() {
    let worker = good();
    let (old, new) = (
        Discovery::new(&[("s-1", worker.address)]),
        Discovery::new(&[("s-1", worker.address)]),
    );
    let mut program = Program::start(&old);
    let moved = std::fs::read_to_string(&program.path).expect("failed to read the configuration");
    let moved = moved.replace(&old.peer.address.to_string(), &new.peer.address.to_string());
    let edits = [
        (r#""cold-share":0.32"#, r#""cold-share":-1"#),
        (r#""give-up-ms":5000"#, r#""give-up-ms":1e300"#),
        (r#""memory_mb":192"#, r#""memory_mb":0"#),
        (
            r#""discovery":"#,
            r#""discovery":"127.0.0.1:1","discovery":"#,
        ),
        (r#""discovery":"#, r#""discovered":"#),
        (r#""discovery":"#, r#""discovery":"here\nand there","x":"#),
        (r#""name":"new-plate""#, r#""name":"transfer""#),
    ];
    let edited = edits.map(|(from, to)| {
        assert!(moved.contains(from), "{from}");
        moved.replacen(from, to, 1)
    });
    let mut files: Vec<Option<&str>> = edited.iter().map(|text| Some(text.as_str())).collect();
    files.extend([
        Some(""),
        Some(&moved[..moved.len() / 2]),
        Some("null"),
        Some("[]"),
        Some("\u{0}"),
        None,
    ]);
    let lines = || {
        program
            .log()
            .lines()
            .filter(|l| !l.contains("counts:"))
            .count()
    };
    until("the first list in the log", || {
        program.log().contains("(snapshot)")
    });
    let before = lines();
    for (n, file) in files.iter().enumerate() {
        match file {
            Some(text) => std::fs::write(&program.path, text).expect("failed to write"),
            None => std::fs::remove_file(&program.path).expect("failed to remove"),
        }
        program.signal("-HUP");
        until("the rejected reload", || {
            program
                .log()
                .matches("the previous configuration stays in force")
                .count()
                == n + 1
        });
        assert_eq!(lines(), before + n + 1, "{}", program.log());
        assert_eq!(
            program
                .send(&request("transfer", &format!("id-{n}")))
                .status(),
            200
        );
    }
    assert_eq!(
        (new.peer.count(), old.peer.ended.load(Ordering::SeqCst)),
        (0, 0),
        "the watch did not continue"
    );
    // With two signals at once the last file counts. An invalid reload during a shutdown does not interrupt it.
    std::fs::write(&program.path, &moved).expect("failed to write");
    program.signal("-HUP");
    program.signal("-HUP");
    until("a watch on the new list", || new.peer.count() >= 2);
    program.signal("-TERM");
    until("the start of the shutdown", || {
        program.log().contains("shutdown requested")
    });
    std::fs::write(&program.path, "{").expect("failed to write");
    program.signal("-HUP");
    until("the rejected reload", || {
        program
            .log()
            .matches("the previous configuration stays in force")
            .count()
            == files.len() + 1
    });
    assert_eq!(program.send(&request("transfer", "last")).status(), 200);
    assert_eq!(program.wait().code(), Some(0));
}

/// SIGHUP must not end a process that has no list yet. The discovery service that the new file names is used.
#[test]
fn reload_before_first_list_polls_new_discovery() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let (old_address, _sockets) = unreachable_address();
    let path = config(old_address, "null", 1024);
    let mut process = StartingProcess::start(&path, &[]);
    let (old, new) = (old_address.to_string(), discovery.peer.address.to_string());
    edit(&path, &[(&old, &new)]);
    process.signal("-HUP");
    process.until_ready();
    process.signal("-TERM");
    assert!(process.wait().success());
}
