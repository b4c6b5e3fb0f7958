//! The way of a request to a worker and back: forwarding, retries, cancellation and deadlines.

use std::io::{BufReader, Write};
use std::sync::atomic::Ordering;

use oakshed_standin::*;

use super::requests::assert_all_served;
use super::{descriptors, gated_worker};

#[test]
fn request_is_forwarded_unchanged_and_its_result_is_the_answer() {
    let worker = good();
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let text = request("new-plate", "9b1f03aa5c7e2d41")
        .replace("/new-plate ", "/new-plate/%7euser?x=%20&y ");
    let answer = program.send(&text);
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, &b"made"[..])
    );
    let seen = worker.seen.lock().unwrap()[0].clone();
    assert_eq!(seen.first, "POST /new-plate/%7euser?x=%20&y HTTP/1.1");
    assert_eq!(seen.field("req-id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!(seen.field("idempotency-key"), Some("5c0f"));
    assert_eq!(seen.body, b"body");
    let left: u64 = seen
        .field("req-deadline-ms")
        .expect("no Req-Deadline-Ms field")
        .parse()
        .expect("not a number");
    assert!((1..=5_000).contains(&left), "{left}");
}

#[test]
fn load_is_probed_where_starts_are_not_notified() {
    let workers: Vec<Peer> = ["0", "6"]
        .into_iter()
        .map(|free| {
            Peer::new(move |message, stream| {
                let text = format!("TEXT inflight=1, queue=0, x0={free}");
                if message.first.starts_with("GET /status/load ") {
                    stream
                        .write_all(
                            format!(
                                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
                                text.len()
                            )
                            .as_bytes(),
                        )
                        .is_ok()
                } else {
                    done(message, stream, "made")
                }
            })
        })
        .collect();
    let list = [("s-1", workers[0].address), ("s-2", workers[1].address)];
    let edits = [
        (r#""tells-start":true"#, r#""tells-start":false"#),
        (
            r#""max-attempts":4"#,
            r#""max-attempts":4,"may-probe":true"#,
        ),
        (
            r#""resolution-ms":4"#,
            r#""resolution-ms":4,"load-info":{"how":"probe","columns":["x0"]}"#,
        ),
    ];
    let program = Program::start_with(&Discovery::new(&list), 1024, &edits);
    // Requests do not wait for probes, so the first ones may go to either worker.
    let seen = |b: &Peer, what| {
        b.seen
            .lock()
            .unwrap()
            .iter()
            .filter(|m| m.first.starts_with(what))
            .count()
    };
    let mut number = 0;
    let mut send = || {
        assert_eq!(
            program
                .send(&request("transfer", &format!("id-{number}")))
                .status(),
            200
        );
        number += 1;
    };
    until("both are probed", || {
        send();
        workers.iter().all(|b| seen(b, "GET") > 0)
    });
    let before = seen(&workers[0], "POST");
    (0..20).for_each(|_| send());
    let to_full = seen(&workers[0], "POST") - before;
    assert!(
        to_full <= 2,
        "{to_full} of 20 jobs went to the worker without free slots"
    );
}

/// Two requests must not be open under one id: a worker's answer to one could be served as the answer to the other.
#[test]
fn id_of_an_open_request_is_rejected() {
    let (worker, release) = gated_worker("made");
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let mut first = program.connect();
    first
        .write_all(request("transfer", "id-1").as_bytes())
        .expect("failed to write");
    until("the attempt", || worker.count() == 1);
    assert_eq!(program.send(&request("new-plate", "id-1")).status(), 409);
    release.send(()).expect("failed to release the worker");
    assert_eq!(
        Message::read(&mut BufReader::new(first))
            .expect("no answer")
            .status(),
        200
    );
    assert_eq!(
        program.send(&request("transfer", "id-1")).status(),
        409,
        "it must not run twice"
    );
    assert_eq!(worker.count(), 1);
    release.send(()).expect("failed to release the worker");
    release.send(()).expect("failed to release the worker");
    for _ in 0..2 {
        let status = program.send(&request("new-plate", "id-3")).status();
        assert_eq!(status, 200, "the id should be free again");
    }
    assert_eq!(worker.count(), 3);
    // Where attempts may not be cancelled, one stays open, with its id, after its client has disconnected.
    let unresponsive = Peer::new(|_, _| true);
    let edits = [(r#""cancelling":true"#, r#""cancelling":false"#)];
    let program = Program::start_with(
        &Discovery::new(&[("s-1", unresponsive.address)]),
        1024,
        &edits,
    );
    let mut client = program.connect();
    client
        .write_all(request("transfer", "id-2").as_bytes())
        .expect("failed to write");
    until("the attempt", || unresponsive.count() == 1);
    let open = descriptors(&program);
    drop(client);
    until("the disconnect", || descriptors(&program) < open);
    assert_eq!(program.send(&request("transfer", "id-2")).status(), 409);
}

/// Pipelined requests are all answered, in order. Malformed input behind a request closes the connection without
/// waiting for a slow answer; the request is answered with a 502 then.
#[test]
fn pipelined_requests_get_one_answer_each_in_order() {
    let worker = Peer::new(|message, stream| match message.field("req-id") {
        Some("never") => true,
        id => done(message, stream, id.expect("no Req-Id field")),
    });
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let mut client = program.connect();
    let all: String = (0..100)
        .map(|n| request("transfer", &format!("id-{n}")))
        .collect();
    client.write_all(all.as_bytes()).expect("failed to write");
    let mut reader = BufReader::new(client);
    for n in 0..100 {
        let answer = Message::read(&mut reader).expect("no answer");
        assert_eq!(
            (answer.status(), answer.body),
            (200, format!("id-{n}").into_bytes())
        );
    }
    let start = std::time::Instant::now();
    let mut client = program.connect();
    client
        .write_all(request("transfer", "never").as_bytes())
        .expect("failed to write");
    until("the attempt", || worker.count() == 101);
    client
        .write_all(b"no request\r\n\r\n")
        .expect("failed to write");
    // The request was read, so it is answered before the connection ends.
    let mut reader = BufReader::new(client);
    let answers = [(); 3].map(|()| Message::read(&mut reader).map(|answer| answer.status()));
    assert_eq!(answers, [Some(502), Some(400), None]);
    until("the end of the attempt", || {
        worker.ended.load(Ordering::SeqCst) > 0
    });
    assert!(start.elapsed().as_millis() < 3_000);
}

#[test]
fn transfer_that_may_have_run_is_not_retried() {
    // The ways in which an attempt can end without proof that it never ran.
    let endings: [fn(&Message, &mut std::net::TcpStream) -> bool; 14] = [
        |_, _| false,
        |_, stream| status(stream, "500 Internal Server Error"),
        |_, stream| status(stream, "503 Service Unavailable"),
        |message, stream| {
            let id = message.field("req-id").expect("no Req-Id field");
            chunk(
                stream,
                true,
                &format!("{{\"id\":\"{id}\",\"state\":\"started\"}}\n"),
            );
            false
        },
        |message, stream| {
            let id = message.field("req-id").expect("no Req-Id field");
            chunk(
                stream,
                true,
                &format!("{{\"id\":\"{id}\",\"state\":\"lost\"}}\n"),
            );
            true
        },
        |_, stream| {
            chunk(
                stream,
                true,
                "{\"id\":\"another\",\"state\":\"done\",\"result\":\"other\"}\n",
            );
            true
        },
        |_, stream| {
            chunk(stream, true, &"no line ".repeat(10_000));
            true
        },
        // A partial line before a close; no line; a line without a line break; an id that is not a string.
        |_, stream| {
            chunk(stream, true, "{\"id\":\"id-1\",\"state\":\"retu");
            false
        },
        |_, stream| {
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                .is_ok()
        },
        |_, stream| {
            chunk(stream, true, "{\"id\":\"id-1\",\"state\":\"returned\"}");
            stream.write_all(b"0\r\n\r\n").is_ok()
        },
        |_, stream| {
            chunk(stream, true, "{\"id\":1,\"state\":\"returned\"}\n");
            true
        },
        |_, stream| {
            status(
                stream,
                "101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x",
            )
        },
        // Returned after it was reported as started: indeterminate.
        |_, stream| {
            chunk(stream, true, "{\"id\":\"id-1\",\"state\":\"started\"}\n");
            chunk(stream, false, "{\"id\":\"id-1\",\"state\":\"returned\"}\n");
            stream.write_all(b"0\r\n\r\n").is_ok()
        },
        // A response head over the limit, which keeps one response from taking the memory of many requests.
        |message, stream| {
            let head = format!(
                "HTTP/1.1 200 OK\r\nX: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
                "x".repeat(200_000)
            );
            let sent = stream.write_all(head.as_bytes()).is_ok();
            let id = message.field("req-id").expect("no Req-Id field");
            chunk(
                stream,
                false,
                &format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"made\"}}\n"),
            );
            sent && stream.write_all(b"0\r\n\r\n").is_ok()
        },
    ];
    for (n, ending) in endings.into_iter().enumerate() {
        let workers = [Peer::new(ending), Peer::new(ending)];
        let list = [("s-1", workers[0].address), ("s-2", workers[1].address)];
        let program = Program::start(&Discovery::new(&list));
        let answer = program.send(&request("transfer", "id-1"));
        assert_eq!(answer.status(), 502, "ending {n}");
        assert_eq!(workers[0].count() + workers[1].count(), 1, "ending {n}");
    }
}

#[test]
fn unstarted_attempt_is_retried_on_another_worker() {
    let closed = ReservedPort::new();
    let rejecting = Peer::new(|_, stream| status(stream, "503 Busy\r\nSrv-Declined: 1"));
    let returning = Peer::new(|message, stream| {
        let id = message.field("req-id").expect("no Req-Id field");
        chunk(
            stream,
            true,
            &format!("{{\"id\":\"{id}\",\"state\":\"returned\"}}\n"),
        );
        stream.write_all(b"0\r\n\r\n").is_ok()
    });
    for bad in [closed.address, rejecting.address, returning.address] {
        let worker = good();
        let program = Program::start(&Discovery::new(&[("s-1", bad), ("s-2", worker.address)]));
        assert_all_served(&program, "id", 0..6);
        assert_eq!(worker.count(), 6);
    }
}

#[test]
fn split_lines_and_escaped_results_are_parsed() {
    let worker = Peer::new(|message, stream| {
        let id = message.field("req-id").expect("no Req-Id field");
        let text = format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"a\\\"\\u00e9\"}}\n");
        for (n, piece) in text.as_bytes().chunks(7).enumerate() {
            chunk(
                stream,
                n == 0,
                std::str::from_utf8(piece).expect("not UTF-8"),
            );
            _ = stream.flush();
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    });
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    assert_eq!(
        program.send(&request("transfer", "id-1")).body,
        "a\"é".as_bytes()
    );
}

#[test]
fn client_disconnect_cancels_its_attempt() {
    let worker = Peer::new(|message, stream| {
        if message.first.contains("transfer") {
            return done(message, stream, "made");
        }
        true // a `new-plate` is never answered
    });
    let program = Program::start_with(
        &Discovery::new(&[("s-1", worker.address)]),
        1024,
        &[(r#""give-up-ms":5000"#, r#""give-up-ms":600000"#)], // far longer than the test waits
    );
    let mut client = program.connect();
    let text = request("new-plate", "id-1").replace("Ms: 5000", "Ms: 600000");
    client.write_all(text.as_bytes()).expect("failed to write");
    until("the attempt", || worker.count() == 1);
    drop(client);
    until("the end of the connection", || {
        worker.ended.load(Ordering::SeqCst) == 1
    });
    assert_eq!(program.send(&request("transfer", "id-2")).status(), 200);
}

#[test]
fn unanswered_request_ends_at_its_deadline() {
    let worker = Peer::new(|_, _| true);
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let text = request("transfer", "id-1").replace("Deadline-Ms: 5000", "Deadline-Ms: 700");
    let start = std::time::Instant::now();
    assert_eq!(program.send(&text).status(), 502);
    assert!(
        start.elapsed().as_millis() >= 690,
        "answered before the deadline"
    );
    assert_eq!(worker.count(), 1);
}
