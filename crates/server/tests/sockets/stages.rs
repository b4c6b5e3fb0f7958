//! Requests that end at each stage of processing, after which nothing may stay reserved for them.

use std::io::{BufReader, Write};

use oakshed_standin::*;

use super::log_after_stop;
use super::{connections, descriptors, unreachable_address};

/// Starts a worker that keeps a request at the stage that its id names.
fn staged_worker() -> Peer {
    Peer::new(|message, stream| {
        let id = message.field("req-id").expect("no Req-Id field").to_owned();
        if id.starts_with("started") {
            chunk(
                stream,
                true,
                &format!("{{\"id\":\"{id}\",\"state\":\"started\"}}\n"),
            );
        }
        if id.starts_with("answered") {
            return done(message, stream, &"made ".repeat(8_000));
        }
        true
    })
}

/// Asserts that no transfer was sent twice.
fn assert_sent_once(workers: &[Peer]) {
    let seen: Vec<Message> = workers
        .iter()
        .flat_map(|b| b.seen.lock().unwrap().clone())
        .collect();
    let transfers = seen.iter().filter(|m| m.first.contains("/transfer"));
    let mut ids = std::collections::BTreeSet::new();
    transfers.for_each(|m| assert!(ids.insert(m.field("req-id")), "{} was sent twice", m.first));
}

/// A client disconnects, or its deadline passes, at each stage of its request. This must release the request's id, the
/// capacity for its body, its slot of the concurrency limit and its descriptor. What may have run must not run again.
#[test]
fn every_stage_releases_what_it_reserved() {
    let stages = [
        ("reading", "transfer", 0),
        ("queued", "new-plate", 0),
        ("dialling", "transfer", 0),
        ("sent", "transfer", 1),
        ("started", "transfer", 1),
        ("answered", "transfer", 1),
    ];
    for cancelling in ["true", "false"] {
        run_stages(cancelling, &stages, &["disconnect", "deadline"]);
    }
}

/// Brings requests to each stage and ends them there, by a disconnect or by their deadline. A stage is given by its
/// name, the class of its requests, and how often workers have received such a request by then.
#[expect(clippy::too_many_lines, reason = "one scenario in consecutive steps")]
fn run_stages(cancelling: &str, stages: &[(&str, &str, usize)], ends: &[&str]) {
    let workers = [staged_worker(), staged_worker()];
    let (unreachable, _sockets) = unreachable_address();
    let list = [
        ("s-1", workers[0].address),
        ("s-2", workers[1].address),
        ("s-3", unreachable),
    ];
    let discovery = Discovery::new(&list);
    let edits = [
        (
            r#""cancelling":true"#,
            &*format!(r#""cancelling":{cancelling}"#),
        ),
        (
            r#""connect-timeout-ms":200"#,
            r#""connect-timeout-ms":2000"#,
        ),
        (r#""give-up-ms":5000"#, r#""give-up-ms":1200"#),
    ];
    let mut program = Program::start_with(&discovery, 1024, &edits);
    let set_ready = |ready: &[&str]| {
        for (name, _) in list {
            discovery.set(
                name,
                if ready.contains(&name) {
                    "ready"
                } else {
                    "draining"
                },
            );
        }
        let ready_count = format!(", {} workers ready", ready.len());
        let newest = |log: String| {
            log.lines()
                .rfind(|l| l.contains("workers ready"))
                .map(str::to_owned)
        };
        let number = format!("list {} (", discovery.number());
        until("the update", || {
            newest(program.log()).is_some_and(|l| l.contains(&ready_count) && l.contains(&number))
        });
    };
    set_ready(&["s-1", "s-2"]);
    assert_eq!(
        program
            .send(&request("transfer", "answered-first"))
            .status(),
        200
    );
    let start = descriptors(&program);
    let seen = |id: &str| {
        let of = |b: &Peer| {
            b.seen
                .lock()
                .unwrap()
                .iter()
                .filter(|m| m.field("req-id") == Some(id))
                .count()
        };
        workers.iter().map(of).sum::<usize>()
    };
    for &(stage, class, sent) in stages {
        match stage {
            "queued" => set_ready(&[]),
            "dialling" => set_ready(&["s-3"]),
            _ => set_ready(&["s-1", "s-2"]),
        }
        // A request may be queued because the workers did not answer before. Its client then disconnects and retries.
        let reach_stage = |end: &str| {
            for n in 0..100 {
                let id = format!("{stage}-{end}-{n}");
                let text = request(class, &id);
                let text = if stage == "reading" {
                    &text[..text.len() - 2]
                } else {
                    &text
                };
                let mut client = program.connect();
                client.write_all(text.as_bytes()).expect("failed to write");
                let start = std::time::Instant::now();
                while start.elapsed().as_millis() < 700 {
                    if seen(&id) == sent {
                        return (id, client);
                    }
                    std::thread::sleep(std::time::Duration::from_millis(5));
                }
            }
            panic!("{stage} was never reached");
        };
        for end in ends {
            let (id, client) = reach_stage(end);
            if *end == "disconnect" {
                continue;
            }
            let answer = Message::read(&mut BufReader::new(client))
                .expect("no answer")
                .status();
            let expected = match stage {
                "reading" => 408,
                "queued" | "dialling" => 503, // never ran, so it may be retried
                "answered" => 200,
                _ => 502,
            };
            assert_eq!(answer, expected, "{id} with cancelling {cancelling}");
        }
    }
    set_ready(&["s-1", "s-2"]);
    // Without cancellation, open attempts last until their deadline. Idle connections are closed after a time.
    let established = || {
        workers
            .iter()
            .map(|b| connections(b.address, "01"))
            .sum::<usize>()
    };
    until("the release of all descriptors", || {
        established() == 0 && descriptors(&program) <= start
    });
    assert_sent_once(&workers);
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0));
    let log = log_after_stop(&program);
    let counts_at_end = log
        .lines()
        .rfind(|l| l.contains("stopped"))
        .expect("no final counts");
    let zero = "Open { requests: 0, held: 0, attempts: 0, slots: 0, ids: 0, body_bytes: 0,";
    assert!(
        counts_at_end.contains(zero),
        "cancelling {cancelling}: {counts_at_end}"
    );
    assert!(
        counts_at_end.contains("broken=0") && counts_at_end.contains("broken: 0"),
        "{counts_at_end}"
    );
    let sockets = counts_at_end
        .split("backend_sockets: ")
        .nth(1)
        .and_then(|t| t.split(',').next()?.parse().ok());
    assert!(
        sockets.is_some_and(|n: usize| n <= workers.len()),
        "{counts_at_end}"
    );
}

/// A shutdown must answer each request exactly once, end, and leave its address free. It begins with requests at
/// several stages, a partial head on a connection and unresponsive discovery, and gets more signals than one.
#[test]
fn shutdown_answers_requests_at_every_stage_and_restart_succeeds() {
    let worker = staged_worker();
    let (unreachable, _sockets) = unreachable_address();
    let discovery = Discovery::new(&[("s-1", worker.address), ("s-2", unreachable)]);
    let mut program = Program::start(&discovery);
    let mut partial_head = program.connect();
    partial_head
        .write_all(b"POST /transfer HTTP/1.1\r\nContent-Le")
        .expect("failed to write");
    let mut clients = Vec::new();
    for n in 0..24 {
        let stage = ["sent", "started", "answered"][n % 3];
        let text = request(["transfer", "new-plate"][n % 2], &format!("{stage}-{n}"));
        let mut client = program.connect();
        client
            .write_all(text.replace("Ms: 5000", "Ms: 2500").as_bytes())
            .expect("failed to write");
        clients.push(client);
    }
    until("some of the requests", || worker.count() > 2);
    let silent_discovery = unreachable_address();
    program.reload(
        &discovery.peer.address.to_string(),
        &silent_discovery.0.to_string(),
    );
    until("the reload", || program.log().contains("reload: discovery"));
    for signal in ["-TERM", "-TERM", "-INT", "-HUP"] {
        program.signal(signal);
    }
    let mut statuses = std::collections::BTreeMap::new();
    for client in clients {
        let mut reader = BufReader::new(client);
        let answer = Message::read(&mut reader).expect("no answer");
        *statuses.entry(answer.status()).or_insert(0) += 1;
        assert!(Message::read(&mut reader).is_none(), "a second answer");
    }
    assert!(
        statuses.keys().all(|s| [200, 502, 503].contains(s)),
        "{statuses:?}"
    );
    assert_eq!(program.wait().code(), Some(0), "{}", program.log());
    log_after_stop(&program);
    assert_sent_once(&[worker]);
    // Starts the next process at once at the same address, with an outdated list.
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let same_address = format!(r#""listen":"{}""#, program.address);
    let stale = format!(
        r#"{{"generation":99,"instances":[{{"instanceId":"s-9","hostPort":"{unreachable}","lifecycle":"ready"}}]}}"#
    );
    let next = Program::start_knowing(
        &discovery,
        &stale,
        1024,
        &[(r#""listen":"127.0.0.1:0""#, &same_address)],
    );
    assert_eq!(next.address, program.address);
    until("the current list", || {
        next.log().contains("list 1 (snapshot)")
    });
    assert_eq!(next.send(&request("transfer", "id-1")).status(), 200);
}
