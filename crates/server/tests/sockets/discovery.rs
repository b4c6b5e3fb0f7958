//! Discovery: polled at the start, failing, unresponsive, moved by a reload.

use std::io::{BufReader, Write};
use std::sync::atomic::Ordering;

use oakshed_standin::*;

use super::log_after_stop;
use super::settings::edit;
use super::starting::StartingProcess;
use super::{gated_worker, unreachable_address};

/// A first start knows no list, and the front brings no request before it is ready: it has to poll by itself.
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
    until("each of them", || {
        discovery.malformed.lock().unwrap().is_empty()
    });
    discovery.set("s-1", "draining");
    until("the update after it", || {
        program.log().contains("0 workers ready")
    });
    discovery.set("s-1", "ready");
    until("and again", || {
        program.log().contains("entries, 1 workers ready")
    });
    until("a served request", || {
        program.send(&request("transfer", "id-1")).status() == 200
    });
}

/// Guards against a first list without anybody in it: nothing of it may keep the next one from being used.
#[test]
fn start_with_empty_list_serves_after_a_full_one() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let nobody = r#"{"generation":0,"reset":true,"instances":[]}"#;
    let program = Program::start_knowing(&discovery, nobody, 1024, &[]);
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

/// A watch and two calls beside it unanswered, discovery is at fault: it is left alone for a moment, and
/// then polled again.
#[test]
fn unresponsive_discovery_is_abandoned_and_polled_again() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let program = Program::start(&discovery);
    discovery.malformed.lock().unwrap().extend(["", "", ""]); // the calls are read, and never answered
    until("the calls' end", || {
        program.log().contains("no answer in time")
    });
    discovery.set("s-1", "draining");
    until("the update after it", || {
        program.log().contains("0 workers ready")
    });
}

/// Guards against taking a watch that became unresponsive for a rejection: among a hundred schedulers the next call
/// waited for seconds then, and what was missed counted as notified meanwhile.
#[test]
fn unresponsive_watch_is_reopened_before_missed_changes_are_due() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let edits = [(r#""balancers":1"#, r#""balancers":100"#)];
    let mut program = Program::start_with(&discovery, 1024, &edits);
    until("a watch that goes on", || discovery.peer.count() >= 2);
    discovery.malformed.lock().unwrap().push("");
    until("its silence", || {
        discovery.malformed.lock().unwrap().is_empty()
    });
    discovery.set("s-1", "draining");
    until("the update", || program.log().contains("0 workers ready"));
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0));
    let log = log_after_stop(&program);
    // Not one failure: else the call after it would have waited.
    assert!(
        log.contains("discovery_failures: 0,") && !log.contains("silent_watches: 0,"),
        "{log}"
    );
}

/// Guards against a timer that is lost: among many schedulers the first call comes a moment after a start with
/// a list, and nothing but that timer brings it where no request comes.
#[test]
fn idle_scheduler_among_many_polls_discovery_after_start() {
    let discovery = Discovery::new(&[("s-1", "127.0.0.1:9".parse().expect("an address"))]);
    let edits = [
        (r#""balancers":1"#, r#""balancers":100"#),
        (r#""ask-every-ms":10000"#, r#""ask-every-ms":2000"#),
    ];
    let _program = Program::start_with(&discovery, 1024, &edits);
    until("a call", || discovery.peer.count() >= 1);
}

/// Guards against ending at SIGHUP, against staying with the address of the start's environment, and
/// against asking the new discovery for changes since a list of the old one's numbering.
#[test]
fn reload_moves_to_new_discovery_and_continues_serving() {
    let (before, open) = gated_worker("before");
    let after = good();
    let (old, new) = (
        Discovery::new(&[("s-1", before.address)]),
        Discovery::new(&[("s-2", after.address)]),
    );
    let program = Program::start(&old);
    let mut client = program.connect();
    client
        .write_all(request("transfer", "id-1").as_bytes())
        .expect("written");
    until("the attempt", || before.count() == 1);
    program.reload("\"discovery\"", "\"discovery");
    until("the refusal", || {
        program
            .log()
            .contains("the previous configuration stays in force")
    });
    program.reload("\"discovery", "\"discovery\"");
    until("the same again", || {
        program.log().contains("reload: discovery")
    });
    assert_eq!(new.peer.count(), 0);
    program.reload(&old.peer.address.to_string(), &new.peer.address.to_string());
    until("a watch on the new list", || new.peer.count() >= 2);
    assert_eq!(
        new.peer.seen.lock().unwrap()[0].first,
        "GET /v1/endpoints HTTP/1.1"
    );
    until("the old one's end", || {
        old.peer.ended.load(Ordering::SeqCst) == 1
    });
    assert_eq!(program.send(&request("transfer", "id-2")).body, b"made");
    open.send(()).expect("released");
    assert_eq!(
        Message::read(&mut BufReader::new(client))
            .expect("an answer")
            .body,
        b"before"
    );
}

/// Guards against a reload that ends the program, takes half of a file, or says it in many lines or none.
#[test]
fn invalid_reload_logs_one_line_and_changes_nothing() {
    let worker = good();
    let (old, new) = (
        Discovery::new(&[("s-1", worker.address)]),
        Discovery::new(&[("s-1", worker.address)]),
    );
    let mut program = Program::start(&old);
    let moved = std::fs::read_to_string(&program.path).expect("its configuration");
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
    let before = lines();
    for (n, file) in files.iter().enumerate() {
        match file {
            Some(text) => std::fs::write(&program.path, text).expect("written"),
            None => std::fs::remove_file(&program.path).expect("removed"),
        }
        program.signal("-HUP");
        until("the refusal", || {
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
        "the watch stands"
    );
    // Two at once and one while it stops: the last file counts, and the stop goes on.
    std::fs::write(&program.path, &moved).expect("written");
    program.signal("-HUP");
    program.signal("-HUP");
    until("a watch on the new list", || new.peer.count() >= 2);
    program.signal("-TERM");
    until("the signal", || {
        program.log().contains("shutdown requested")
    });
    std::fs::write(&program.path, "{").expect("written");
    program.signal("-HUP");
    until("the refusal", || {
        program
            .log()
            .matches("the previous configuration stays in force")
            .count()
            == files.len() + 1
    });
    assert_eq!(program.send(&request("transfer", "last")).status(), 200);
    assert_eq!(program.wait().code(), Some(0));
}

/// Guards against a signal that comes before there is a list, or anything to serve: it ends nothing, and
/// discovery named then is the one that counts.
#[test]
fn reload_before_first_list_polls_new_discovery() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let (nowhere, _full) = unreachable_address();
    let path = config(nowhere, "null", 1024);
    let mut process = StartingProcess::start(&path, &[]);
    let (old, new) = (nowhere.to_string(), discovery.peer.address.to_string());
    edit(&path, &[(&old, &new)]);
    process.signal("-HUP");
    process.until_ready();
    process.signal("-TERM");
    assert!(process.wait().success());
}
