//! Malformed requests: rejected, closed, and never forwarded.

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
        // Taken as the class's own, a deadline that is no number would keep a request for too long.
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
    let odd = text
        .replace("Req-Deadline-Ms: 5000\r\n", "")
        .replace("slots=1", "slots=-1,,=x");
    let odd = odd.replace("storholt-bilar", "nobody");
    assert_eq!(
        program.send(&odd).status(),
        200,
        "bad extras count as absent"
    );
}

/// What a client's connection brings until it ends; the text is sent in pieces without waiting.
fn response_text(program: &Program, pieces: &[&str]) -> String {
    let mut client = program.connect();
    let mut sender = client.try_clone().expect("a clone");
    let pieces: Vec<String> = pieces.iter().map(|p| p.to_string()).collect();
    // What is still being sent when the answer comes may be cut off.
    std::thread::spawn(move || {
        pieces
            .iter()
            .all(|p| sender.write_all(p.as_bytes()).is_ok())
    });
    let (mut text, mut buffer) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = client.read(&mut buffer) {
        text.extend_from_slice(&buffer[..n]);
    }
    String::from_utf8(text).expect("text")
}

/// Guards against a second request hidden in a body: hyper drops `Content-Length` beside
/// `Transfer-Encoding`, whichever comes first, before anything above it sees the head.
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
        length_of("2"), // what is left of the body is no request
        "no request at all\r\n\r\n".to_owned(),
        "x".repeat(20_000),
    ] {
        let answer = response_text(&program, &[&ambiguous]);
        let one = answer.starts_with("HTTP/1.1 4") && answer.matches("HTTP/1.1").count() == 1;
        assert!(
            one,
            "{answer} to {}",
            &ambiguous[..ambiguous.len().min(400)]
        );
    }
    assert_eq!(worker.count(), 0);
    // A chunked body alone is not ambiguous; nothing may follow it.
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

/// Guards against clients that hold a connection, and us, with a request that never arrives.
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
        // Nothing at all, half a head, half a body, and half of one behind a whole request.
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

/// Guards against reading 60 MB only to reject them.
#[test]
fn oversized_request_is_rejected_at_once() {
    let worker = good();
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let (head, _) = request("transfer", "id-1")
        .replace("Length: 4", "Length: 60000000")
        .split_once("body")
        .map(|(head, rest)| (head.to_owned(), rest.to_owned()))
        .expect("a body");
    let start = std::time::Instant::now();
    let answer = response_text(&program, &[&head, &"x".repeat(60_000_000)]);
    assert!(
        answer.starts_with("HTTP/1.1 413") && answer.contains("connection: close"),
        "{answer}"
    );
    assert!(start.elapsed().as_millis() < 1_400, "{:?}", start.elapsed());
}

/// What is odd and no fault is served; what is malformed ends with a 400, and takes nothing along that came before it.
#[test]
fn unusual_requests_are_served_and_invalid_ones_end_with_400() {
    let worker = good();
    let mut program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let text = |id: &str| request("transfer", id);
    let with = |id: &str, field: &str| {
        text(id).replace("Content-Length", &format!("{field}\r\nContent-Length"))
    };
    let behind = |id: &str| with(id, "Connection: close");
    let served = [
        behind("closes") + &text("not-served"),
        text("old").replace("HTTP/1.1", "HTTP/1.0"),
        with("upgrades", "Upgrade: h2c") + &behind("then"),
        text("absolute").replace("POST /", "POST http://backend.local/") + &behind("follows"),
        "\r\n\r\n".to_owned() + &behind("late-lines"),
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
    // Its body comes once it is requested.
    let (head, body) = with("expects", "Expect: 100-continue")
        .split_once("body")
        .map(|(h, _)| (h.to_owned(), "body"))
        .expect("a body");
    let mut client = program.connect();
    client.write_all(head.as_bytes()).expect("written");
    let mut interim = [0; 25];
    client
        .read_exact(&mut interim)
        .expect("an interim response");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(send_on(&mut client, body).status(), 200);
    let before = worker.count();
    for amiss in [
        text("nul").replace("storholt", "stor\0holt"),
        text("nul-id").replace("nul-id", "nul\0id"),
        text("no-version").replace(" HTTP/1.1", ""),
        text("later").replace("HTTP/1.1", "HTTP/2.0"),
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned(),
        text("target").replace("POST /transfer", "POST transfer"),
        with("long", &format!("X: {}", "x".repeat(9_000))),
    ] {
        let answer = response_text(&program, &[&amiss]);
        let one = answer.starts_with("HTTP/1.1 4") && answer.matches("HTTP/1.").count() == 1;
        assert!(one, "{answer} to {}", &amiss[..amiss.len().min(400)]);
        // Behind one that is served it ends the connection, once that is answered or at once.
        let answer = response_text(&program, &[&text("before"), &amiss]);
        assert!(
            answer.matches(" 200 OK").count() <= 1,
            "{answer} to {}",
            &amiss[..amiss.len().min(400)]
        );
    }
    let seen = worker.seen.lock().unwrap()[before..].to_vec();
    assert!(
        seen.iter().all(|m| m.field("req-id") == Some("before")),
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
    assert!(log.lines().count() < 20, "no line for each: {log}");
}

/// Guards against a request that is read and never answered, as what its client sends behind it cannot be read, or as
/// it ends its sending: it is answered, and its own result where that comes soon.
#[test]
fn read_request_is_answered_whatever_follows_it() {
    let (worker, open) = gated_worker("made");
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    let answers = |client: std::net::TcpStream| {
        let mut reader = std::io::BufReader::new(client);
        [(); 3].map(|()| Message::read(&mut reader).map(|answer| answer.status()))
    };
    let taken = |id: &str, count: usize| {
        let mut client = program.connect();
        client
            .write_all(request("transfer", id).as_bytes())
            .expect("written");
        until("the attempt", || worker.count() == count);
        client
    };
    let mut client = taken("malformed", 1);
    client.write_all(b"no request\r\n\r\n").expect("written");
    until("it is read", || super::unread_at(program.address) == 0);
    open.send(()).expect("released");
    assert_eq!(answers(client), [Some(200), Some(400), None]);
    let client = taken("half-closed", 2);
    client.shutdown(std::net::Shutdown::Write).expect("ended");
    assert_eq!(answers(client), [Some(502), None, None]);
}
