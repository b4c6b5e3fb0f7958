//! Malformed requests, which are rejected and never forwarded, and unusual ones, which are served.

use std::io::{Read, Write};

use oakshed_standin::*;

use super::{gated_worker, log_after_stop};

#[test]
fn malformed_request_gets_4xx_and_reaches_no_worker() {
    let worker = good();
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let text = request("transfer", "id-1");
    let large = 65 * 1024;
    let cases = [
        (text.replace("Req-Id: id-1\r\n", ""), 400),
        (text.replace("id-1", "id 1"), 400),
        (text.replace("id-1", &"9".repeat(200)), 400),
        (
            text.replace("Req-Id: id-1\r\n", "Req-Id: id-1\r\nReq-Id: id-2\r\n"),
            400,
        ),
        (
            text.replace("Req-Kind: transfer", "Req-Kind: new-plate"),
            400,
        ),
        (text.replace("transfer", "scrapping"), 404),
        (text.replace("/transfer ", "/transfer/a/b "), 404),
        (text.replace("POST /transfer", "GET /transfer"), 405),
        (text.replace("POST /transfer", "POST /ready"), 405),
        (
            text.replace("Length: 4", &format!("Length: {large}")) + &"x".repeat(large - 4),
            413,
        ),
        (
            request("new-plate", "id-2").replace("Idempotency-Key: 5c0f\r\n", ""),
            400,
        ),
        // With the deadline of the class in place of an invalid one, the request would be kept for too long.
        (text.replace("Deadline-Ms: 5000", "Deadline-Ms: soon"), 400),
        (text.replace("Deadline-Ms: 5000", "Deadline-Ms: -5"), 400),
        (text.replace("Deadline-Ms: 5000", "Deadline-Ms: "), 400),
    ];
    for (text, status) in cases {
        assert_eq!(
            program.send(&text).status(),
            status,
            "{}",
            &text[..text.len().min(300)]
        );
    }
    assert_eq!(worker.count(), 0);
    let invalid_extra = text
        .replace("Req-Deadline-Ms: 5000\r\n", "")
        .replace("slots=1", "slots=-1,,=x");
    let invalid_extra = invalid_extra.replace("storholt-bilar", "nobody");
    assert_eq!(
        program.send(&invalid_extra).status(),
        200,
        "invalid extras should count as absent"
    );
}

/// Sends pieces of text without waiting, and returns all that is received until the connection ends.
fn response_text(program: &Program, pieces: &[&str]) -> String {
    let mut client = program.connect();
    let mut sender = client.try_clone().expect("failed to clone the socket");
    let pieces: Vec<String> = pieces.iter().map(|p| p.to_string()).collect();
    // Writing fails if the connection is closed after the answer; the rest is not sent then.
    std::thread::spawn(move || {
        pieces
            .iter()
            .all(|p| sender.write_all(p.as_bytes()).is_ok())
    });
    let (mut text, mut buffer) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = client.read(&mut buffer) {
        text.extend_from_slice(&buffer[..n]);
    }
    String::from_utf8(text).expect("not UTF-8")
}

/// A body must not hide a second request (request smuggling). hyper drops `Content-Length` beside `Transfer-Encoding`,
/// in either order, before the service sees the head.
#[test]
fn ambiguous_length_is_rejected_and_closed() {
    let worker = good();
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let text = request("transfer", "id-1");
    let (length, coding) = ("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    let hidden = "0\r\n\r\n".to_owned() + &request("transfer", "id-2");
    let length_of = |value: &str| text.replace("Length: 4", &format!("Length: {value}"));
    for ambiguous in [
        text.replace(length, &format!("{length}{coding}"))
            .replace("body", &hidden),
        text.replace(length, &format!("{coding}{length}"))
            .replace("body", &hidden),
        text.replace(length, &format!("{length}{length}")),
        length_of("-4"),
        length_of("99999999999999999999999"),
        length_of("2"), // the rest of the body is not a request
        "no request at all\r\n\r\n".to_owned(),
        "x".repeat(20_000),
    ] {
        let answer = response_text(&program, &[&ambiguous]);
        let is_one_error =
            answer.starts_with("HTTP/1.1 4") && answer.matches("HTTP/1.1").count() == 1;
        assert!(
            is_one_error,
            "{answer} to {}",
            &ambiguous[..ambiguous.len().min(400)]
        );
    }
    assert_eq!(worker.count(), 0);
    // A chunked body alone is not ambiguous, but the request behind it is not served.
    let chunked = text
        .replace(length, coding)
        .replace("body", "4\r\nbody\r\n0\r\n\r\n");
    let answer = response_text(&program, &[&chunked, &request("transfer", "id-3")]);
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.matches("HTTP/1.1").count() == 1,
        "{answer}"
    );
    assert_eq!(
        (
            worker.count(),
            worker.seen.lock().unwrap()[0].body.as_slice()
        ),
        (1, &b"body"[..])
    );
}

/// Clients must not hold connections open with requests that never arrive in full.
#[test]
fn slow_request_is_closed_and_idle_connection_is_not() {
    let worker = good();
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let mut active = program.connect();
    assert_eq!(
        send_on(&mut active, &request("transfer", "id-1")).status(),
        200
    );
    let start = std::time::Instant::now();
    let text = request("transfer", "id-2");
    std::thread::scope(|s| {
        // Nothing, a partial head, a partial body, and a partial head behind a complete request.
        for pieces in [vec![], vec![&text[..30]], vec![&text[..text.len() - 2]]] {
            let program = &program;
            s.spawn(move || response_text(program, &pieces));
        }
        s.spawn(|| {
            assert!(
                response_text(&program, &[&request("transfer", "id-3"), &text[..30]])
                    .starts_with("HTTP/1.1 200")
            );
        });
    });
    let took = start.elapsed().as_millis();
    assert!((1_400..2_900).contains(&took), "{took} ms");
    assert_eq!(
        send_on(&mut active, &request("transfer", "id-4")).status(),
        200
    );
    assert_eq!(worker.count(), 3);
}

/// A body of 60 MB must be rejected without being read in full.
#[test]
fn oversized_request_is_rejected_at_once() {
    let worker = good();
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let (head, _) = request("transfer", "id-1")
        .replace("Length: 4", "Length: 60000000")
        .split_once("body")
        .map(|(head, rest)| (head.to_owned(), rest.to_owned()))
        .expect("no body");
    let start = std::time::Instant::now();
    let answer = response_text(&program, &[&head, &"x".repeat(60_000_000)]);
    assert!(
        answer.starts_with("HTTP/1.1 413") && answer.contains("connection: close"),
        "{answer}"
    );
    assert!(start.elapsed().as_millis() < 1_400, "{:?}", start.elapsed());
}

/// Unusual but valid requests are served. Invalid ones are rejected, and requests before them on the same connection
/// are not affected.
#[test]
fn unusual_requests_are_served_and_invalid_ones_end_with_400() {
    let worker = good();
    let mut program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let text = |id: &str| request("transfer", id);
    let with = |id: &str, field: &str| {
        text(id).replace("Content-Length", &format!("{field}\r\nContent-Length"))
    };
    let with_close = |id: &str| with(id, "Connection: close");
    let served = [
        with_close("closes") + &text("not-served"),
        text("old").replace("HTTP/1.1", "HTTP/1.0"),
        with("upgrades", "Upgrade: h2c") + &with_close("then"),
        text("absolute").replace("POST /", "POST http://backend.local/") + &with_close("follows"),
        "\r\n\r\n".to_owned() + &with_close("late-lines"),
    ];
    for text in &served {
        let answer = response_text(&program, &[text]);
        let (served_count, ids) = (
            answer.matches(" 200 OK").count(),
            text.matches("Req-Id").count(),
        );
        assert_eq!(
            served_count,
            ids - text.matches("not-served").count(),
            "{answer} to {text}"
        );
        assert_eq!(
            answer.matches("HTTP/1.").count(),
            served_count,
            "{answer} to {text}"
        );
    }
    // The client sends the body after `100 Continue`.
    let (head, body) = with("expects", "Expect: 100-continue")
        .split_once("body")
        .map(|(h, _)| (h.to_owned(), "body"))
        .expect("no body");
    let mut client = program.connect();
    client.write_all(head.as_bytes()).expect("failed to write");
    let mut interim = [0; 25];
    client
        .read_exact(&mut interim)
        .expect("no interim response");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(send_on(&mut client, body).status(), 200);
    let before = worker.count();
    let invalid_requests = [
        text("nul").replace("storholt", "stor\0holt"),
        text("nul-id").replace("nul-id", "nul\0id"),
        text("no-version").replace(" HTTP/1.1", ""),
        text("later").replace("HTTP/1.1", "HTTP/2.0"),
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned(),
        text("target").replace("POST /transfer", "POST transfer"),
        with("long", &format!("X: {}", "x".repeat(9_000))),
    ];
    for (number, invalid) in invalid_requests.iter().enumerate() {
        let answer = response_text(&program, &[invalid]);
        let is_one_error =
            answer.starts_with("HTTP/1.1 4") && answer.matches("HTTP/1.").count() == 1;
        assert!(
            is_one_error,
            "{answer} to {}",
            &invalid[..invalid.len().min(400)]
        );
        // Behind a valid request it ends the connection, before or after the answer to that request.
        // Each with an id of its own: one that has run is rejected with 409 for 10 s, which counts as invalid too.
        let valid = text(&format!("before-{number}"));
        let answer = response_text(&program, &[&valid, invalid]);
        assert!(
            answer.matches(" 200 OK").count() <= 1,
            "{answer} to {}",
            &invalid[..invalid.len().min(400)]
        );
    }
    let seen = worker.seen.lock().unwrap()[before..].to_vec();
    assert!(
        seen.iter().all(|m| m
            .field("req-id")
            .is_some_and(|id| id.starts_with("before-"))),
        "{seen:?}"
    );
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0));
    let log = log_after_stop(&program);
    let bad = log
        .split("bad_requests: ")
        .last()
        .and_then(|t| t.split(',').next()?.parse().ok());
    assert!(
        bad.is_some_and(|bad: usize| (7..=14).contains(&bad)),
        "{log}"
    );
    assert!(
        log.lines().count() < 20,
        "too many lines for bad requests: {log}"
    );
}

/// A request that was read is answered even if malformed input follows it or its client half-closes the connection. If
/// its result arrives soon, that is the answer.
#[test]
fn read_request_is_answered_whatever_follows_it() {
    let (worker, release) = gated_worker("made");
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let answers = |client: std::net::TcpStream| {
        let mut reader = std::io::BufReader::new(client);
        [(); 3].map(|()| Message::read(&mut reader).map(|answer| answer.status()))
    };
    let send_and_wait = |id: &str, count: usize| {
        let mut client = program.connect();
        client
            .write_all(request("transfer", id).as_bytes())
            .expect("failed to write");
        until("the attempt", || worker.count() == count);
        client
    };
    let mut client = send_and_wait("malformed", 1);
    client
        .write_all(b"no request\r\n\r\n")
        .expect("failed to write");
    until("the malformed input is read", || {
        super::unread_at(program.address) == 0
    });
    release.send(()).expect("failed to release the worker");
    assert_eq!(answers(client), [Some(200), Some(400), None]);
    let client = send_and_wait("half-closed", 2);
    client
        .shutdown(std::net::Shutdown::Write)
        .expect("failed to half-close");
    assert_eq!(answers(client), [Some(502), None, None]);
}
