//! Requests at every stage: what ends there gives back what it took.

use std::io::{BufReader, Write};

use oakshed_standin::*;

use super::log_after_stop;
use super::{connections, descriptors, unreachable_address};

/// A worker that keeps a request at the stage that its id names.
fn staged() -> Peer {
    Peer::new(|message, stream| {
        let id = message.field("req-id").expect("an id").to_owned();
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

/// No transfer went out twice.
fn once_each(workers: &[Peer]) {
    let seen: Vec<Message> = workers
        .iter()
        .flat_map(|b| b.seen.lock().unwrap().clone())
        .collect();
    let transfers = seen.iter().filter(|m| m.first.contains("/transfer"));
    let mut ids = std::collections::BTreeSet::new();
    transfers.for_each(|m| assert!(ids.insert(m.field("req-id")), "{} went out twice", m.first));
}

/// Guards against a place on a request's way at which its client's end leaves something reserved: its id, the
/// capacity for its body, a slot of the concurrency limit, a descriptor. And against a second run of what may have run.
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
        run_stages(cancelling, &stages, &["gone", "late"]);
    }
}

/// Lets requests of a class reach a stage, which so many workers have seen then, and end there.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, a step after the other"
)]
fn run_stages(cancelling: &str, stages: &[(&str, &str, usize)], ends: &[&str]) {
    let workers = [staged(), staged()];
    let (nowhere, _full) = unreachable_address();
    let list = [
        ("s-1", workers[0].address),
        ("s-2", workers[1].address),
        ("s-3", nowhere),
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
    let listen = |ready: &[&str]| {
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
    listen(&["s-1", "s-2"]);
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
            "queued" => listen(&[]),
            "dialling" => listen(&["s-3"]),
            _ => listen(&["s-1", "s-2"]),
        }
        // One that is queued, as the workers were unresponsive before, disconnects and comes again.
        let at_its_stage = |end: &str| {
            for n in 0..100 {
                let id = format!("{stage}-{end}-{n}");
                let text = request(class, &id);
                let text = if stage == "reading" {
                    &text[..text.len() - 2]
                } else {
                    &text
                };
                let mut client = program.connect();
                client.write_all(text.as_bytes()).expect("written");
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
            let (id, client) = at_its_stage(end);
            if *end == "gone" {
                continue;
            }
            let answer = Message::read(&mut BufReader::new(client))
                .expect("one answer")
                .status();
            let expected = match stage {
                "reading" => 408,
                "queued" | "dialling" => 503, // never ran: come again
                "answered" => 200,
                _ => 502,
            };
            assert_eq!(answer, expected, "{id} with cancelling {cancelling}");
        }
    }
    listen(&["s-1", "s-2"]);
    // Where nothing is cancelled, what is out has until its deadline. Idle connections are closed.
    let out = || {
        workers
            .iter()
            .map(|b| connections(b.address, "01"))
            .sum::<usize>()
    };
    until("its descriptors again", || {
        out() == 0 && descriptors(&program) <= start
    });
    once_each(&workers);
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0));
    let log = log_after_stop(&program);
    let counts_at_end = log
        .lines()
        .rfind(|l| l.contains("stopped"))
        .expect("its counts");
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

/// Guards against a stop that loses what was taken, answers it twice, never ends, or leaves its address
/// taken: with requests at every stage, half of one on a client's connection, discovery down, and whoever
/// stops it out of patience.
#[test]
fn shutdown_answers_requests_at_every_stage_and_restart_succeeds() {
    let worker = staged();
    let (nowhere, _full) = unreachable_address();
    let discovery = Discovery::new(&[("s-1", worker.address), ("s-2", nowhere)]);
    let mut program = Program::start(&discovery);
    let mut half = program.connect();
    half.write_all(b"POST /transfer HTTP/1.1\r\nContent-Le")
        .expect("half a head");
    let mut clients = Vec::new();
    for n in 0..24 {
        let stage = ["sent", "started", "answered"][n % 3];
        let text = request(["transfer", "new-plate"][n % 2], &format!("{stage}-{n}"));
        let mut client = program.connect();
        client
            .write_all(text.replace("Ms: 5000", "Ms: 2500").as_bytes())
            .expect("written");
        clients.push(client);
    }
    until("some of them", || worker.count() > 2);
    let dead = unreachable_address();
    program.reload(&discovery.peer.address.to_string(), &dead.0.to_string());
    until("the reload", || program.log().contains("reload: discovery"));
    for signal in ["-TERM", "-TERM", "-INT", "-HUP"] {
        program.signal(signal);
    }
    let mut statuses = std::collections::BTreeMap::new();
    for client in clients {
        let mut reader = BufReader::new(client);
        let answer = Message::read(&mut reader).expect("one answer");
        *statuses.entry(answer.status()).or_insert(0) += 1;
        assert!(
            Message::read(&mut reader).is_none(),
            "one answer, and no second one"
        );
    }
    assert!(
        statuses.keys().all(|s| [200, 502, 503].contains(s)),
        "{statuses:?}"
    );
    assert_eq!(program.wait().code(), Some(0), "{}", program.log());
    log_after_stop(&program);
    once_each(&[worker]);
    // On the same address at once, with a list as it was long ago.
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let again = format!(r#""listen":"{}""#, program.address);
    let stale = format!(
        r#"{{"generation":99,"instances":[{{"instanceId":"s-9","hostPort":"{nowhere}","lifecycle":"ready"}}]}}"#
    );
    let next = Program::start_knowing(
        &discovery,
        &stale,
        1024,
        &[(r#""listen":"127.0.0.1:0""#, &again)],
    );
    assert_eq!(next.address, program.address);
    until("the list of today", || {
        next.log().contains("list 1 (snapshot)")
    });
    assert_eq!(next.send(&request("transfer", "id-1")).status(), 200);
}
