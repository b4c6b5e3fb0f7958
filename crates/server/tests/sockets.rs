//! The program from outside: it is started, and spoken to over sockets. One test for each thing
//! that its protocol promises, and for each failure found.

use std::io::{BufReader, Read, Write};
use std::process::Command;
use std::sync::atomic::Ordering;

use oakshed_standin::*;

#[test]
fn a_req_passes_through_unchanged_and_its_result_is_the_answer() {
    let backend = good();
    let program = Program::start(&Director::new(&[("s-1", backend.address)]));
    let text = req("new-plate", "9b1f03aa5c7e2d41").replace("/new-plate ", "/new-plate/%7euser?x=%20&y ");
    let answer = program.ask(&text);
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"made"[..]));
    let seen = backend.seen.lock().unwrap()[0].clone();
    assert_eq!(seen.first, "POST /new-plate/%7euser?x=%20&y HTTP/1.1");
    assert_eq!(seen.field("req-id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!(seen.field("idempotency-key"), Some("5c0f"));
    assert_eq!(seen.body, b"body");
    let left: u64 = seen.field("req-deadline-ms").expect("a deadline").parse().expect("a number");
    assert!((1..=5_000).contains(&left), "{left}");
}

/// A first start knows no list, and the front brings no req before it is ready: it has to ask by itself.
#[test]
fn a_start_without_a_list_asks_for_it_at_once() {
    let backend = good();
    for membership in ["on_request", "pushed"] {
        let director = Director::new(&[("s-1", backend.address)]);
        let edits = [(r#""membership-mode":"on_request""#, &*format!(r#""membership-mode":"{membership}""#))];
        let program = Program::start_knowing(&director, "null", 1024, &edits);
        assert_eq!(program.ask(&req("transfer", "id-1")).status(), 200, "{membership}");
    }
}

#[test]
fn backend_connections_are_used_again() {
    let backend = good();
    let program = Program::start(&Director::new(&[("s-1", backend.address)]));
    let mut client = program.connect();
    for n in 0..20 {
        assert_eq!(ask_on(&mut client, &req("transfer", &format!("id-{n}"))).status(), 200);
    }
    program.signal("-TERM");
    until("the log's last counts", || program.log().contains("stopped"));
    let dials = program.log().rsplit("dials: ").next().and_then(|t| t.split(',').next()?.parse::<u32>().ok());
    assert!(dials.is_some_and(|n| n < 20), "{dials:?} of 20");
}

#[test]
fn a_backend_that_closes_after_each_answer_loses_no_req() {
    let backend = Peer::new(|message, stream| {
        done(message, stream, "made");
        false
    });
    let program = Program::start(&Director::new(&[("s-1", backend.address)]));
    for n in 1..=20 {
        assert_eq!(program.ask(&req("transfer", &format!("id-{n}"))).status(), 200);
        // The system may tell of a close a while after the other side has made it.
        until("its close", || {
            backend.ended.load(Ordering::SeqCst) == n && connections(backend.address, "01") == 0
        });
    }
}

/// Guards against writing reqs to kept connections for as long as the settings allow, where these are
/// forgotten sooner on the way.
#[test]
fn connections_that_are_reset_when_idle_are_kept_for_less_time() {
    let last = std::sync::Mutex::new(std::collections::HashMap::new());
    let backend = Peer::new(move |message, stream| {
        let from = stream.peer_addr().expect("its address");
        let before = last.lock().unwrap().remove(&from);
        let fresh = before.is_none_or(|at: std::time::Instant| at.elapsed().as_millis() < 60);
        let served = fresh && done(message, stream, "made");
        last.lock().unwrap().insert(from, std::time::Instant::now());
        served
    });
    let program = Program::start(&Director::new(&[("s-1", backend.address)]));
    let mut failed = 0;
    for n in 0..30 {
        failed += u32::from(program.ask(&req("transfer", &format!("id-{n}"))).status() == 502);
        std::thread::sleep(std::time::Duration::from_millis(120)); // idle on purpose
    }
    assert!((1..=3).contains(&failed), "{failed} of 30");
}

#[test]
fn where_starts_are_not_told_load_is_asked_for() {
    let backends: Vec<Peer> = ["0", "6"]
        .into_iter()
        .map(|free| {
            Peer::new(move |message, stream| {
                let text = format!("TEXT inflight=1, queue=0, x0={free}");
                match message.first.starts_with("GET /status/load ") {
                    true => stream
                        .write_all(
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())
                                .as_bytes(),
                        )
                        .is_ok(),
                    false => done(message, stream, "made"),
                }
            })
        })
        .collect();
    let list = [("s-1", backends[0].address), ("s-2", backends[1].address)];
    let edits = [
        (r#""tells-start":true"#, r#""tells-start":false"#),
        (r#""max-attempts":4"#, r#""max-attempts":4,"may-probe":true"#),
        (r#""resolution-ms":4"#, r#""resolution-ms":4,"load-info":{"how":"probe","columns":["x0"]}"#),
    ];
    let program = Program::start_with(&Director::new(&list), 1024, &edits);
    // Reqs do not wait for probes: the first go anywhere.
    let seen = |b: &Peer, what| b.seen.lock().unwrap().iter().filter(|m| m.first.starts_with(what)).count();
    let mut asked = 0;
    let mut ask = || {
        assert_eq!(program.ask(&req("transfer", &format!("id-{asked}"))).status(), 200);
        asked += 1;
    };
    until("both are probed", || {
        ask();
        backends.iter().all(|b| seen(b, "GET") > 0)
    });
    let before = seen(&backends[0], "POST");
    (0..20).for_each(|_| ask());
    let to_full = seen(&backends[0], "POST") - before;
    assert!(to_full <= 2, "jobs go where slots are free: {to_full} of 20 did not");
}

#[test]
fn what_is_malformed_gets_a_4xx_and_reaches_no_backend() {
    let backend = good();
    let program = Program::start(&Director::new(&[("s-1", backend.address)]));
    let text = req("transfer", "id-1");
    let large = 65 * 1024;
    let cases = [
        (text.replace("Req-Id: id-1\r\n", ""), 400),
        (text.replace("id-1", "id 1"), 400),
        (text.replace("id-1", &"9".repeat(200)), 400),
        (text.replace("Req-Id: id-1\r\n", "Req-Id: id-1\r\nReq-Id: id-2\r\n"), 400),
        (text.replace("Req-Kind: transfer", "Req-Kind: new-plate"), 400),
        (text.replace("transfer", "scrapping"), 404),
        (text.replace("/transfer ", "/transfer/a/b "), 404),
        (text.replace("POST /transfer", "GET /transfer"), 405),
        (text.replace("POST /transfer", "POST /ready"), 405),
        (text.replace("Length: 4", &format!("Length: {large}")) + &"x".repeat(large - 4), 413),
        (req("new-plate", "id-2").replace("Idempotency-Key: 5c0f\r\n", ""), 400),
        // Taken as the class's own, a deadline that is no number would keep a req for too long.
        (text.replace("Deadline-Ms: 5000", "Deadline-Ms: soon"), 400),
        (text.replace("Deadline-Ms: 5000", "Deadline-Ms: -5"), 400),
        (text.replace("Deadline-Ms: 5000", "Deadline-Ms: "), 400),
    ];
    for (text, status) in cases {
        assert_eq!(program.ask(&text).status(), status, "{}", &text[..text.len().min(300)]);
    }
    assert_eq!(backend.count(), 0);
    let odd = text.replace("Req-Deadline-Ms: 5000\r\n", "").replace("slots=1", "slots=-1,,=x");
    let odd = odd.replace("storholt-bilar", "nobody");
    assert_eq!(program.ask(&odd).status(), 200, "bad extras count as absent");
}

/// What a client's connection brings until it ends; the text is sent in pieces without waiting.
fn told(program: &Program, pieces: &[&str]) -> String {
    let mut client = program.connect();
    let mut sender = client.try_clone().expect("a clone");
    let pieces: Vec<String> = pieces.iter().map(|p| p.to_string()).collect();
    // What is still being sent when the answer comes may be cut off.
    std::thread::spawn(move || pieces.iter().all(|p| sender.write_all(p.as_bytes()).is_ok()));
    let (mut text, mut buffer) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = client.read(&mut buffer) {
        text.extend_from_slice(&buffer[..n]);
    }
    String::from_utf8(text).expect("text")
}

/// Guards against a second request hidden in a body: hyper drops `Content-Length` beside
/// `Transfer-Encoding`, whichever comes first, before anything above it sees the head.
#[test]
fn what_leaves_its_end_in_doubt_is_refused_and_closed() {
    let backend = good();
    let program = Program::start(&Director::new(&[("s-1", backend.address)]));
    let text = req("transfer", "id-1");
    let (length, coding) = ("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    let hidden = "0\r\n\r\n".to_owned() + &req("transfer", "id-2");
    let length_of = |value: &str| text.replace("Length: 4", &format!("Length: {value}"));
    for doubt in [
        text.replace(length, &format!("{length}{coding}")).replace("body", &hidden),
        text.replace(length, &format!("{coding}{length}")).replace("body", &hidden),
        text.replace(length, &format!("{length}{length}")),
        length_of("-4"),
        length_of("99999999999999999999999"),
        length_of("2"), // what is left of the body is no request
        "no request at all\r\n\r\n".to_owned(),
        "x".repeat(20_000),
    ] {
        let answer = told(&program, &[&doubt]);
        let one = answer.starts_with("HTTP/1.1 4") && answer.matches("HTTP/1.1").count() == 1;
        assert!(one, "{answer} to {}", &doubt[..doubt.len().min(400)]);
    }
    assert_eq!(backend.count(), 0);
    // A chunked body alone is in no doubt; nothing may follow it.
    let chunked = text.replace(length, coding).replace("body", "4\r\nbody\r\n0\r\n\r\n");
    let answer = told(&program, &[&chunked, &req("transfer", "id-3")]);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.matches("HTTP/1.1").count() == 1, "{answer}");
    assert_eq!((backend.count(), backend.seen.lock().unwrap()[0].body.as_slice()), (1, &b"body"[..]));
}

/// Guards against clients that hold a connection, and us, with a req that never arrives.
#[test]
fn what_does_not_arrive_in_time_is_closed_and_what_is_idle_is_not() {
    let backend = good();
    let program = Program::start(&Director::new(&[("s-1", backend.address)]));
    let mut usual = program.connect();
    assert_eq!(ask_on(&mut usual, &req("transfer", "id-1")).status(), 200);
    let start = std::time::Instant::now();
    let text = req("transfer", "id-2");
    std::thread::scope(|s| {
        // Nothing at all, half a head, half a body, and half of one behind a whole req.
        for pieces in [vec![], vec![&text[..30]], vec![&text[..text.len() - 2]]] {
            let program = &program;
            s.spawn(move || told(program, &pieces));
        }
        s.spawn(|| {
            assert!(told(&program, &[&req("transfer", "id-3"), &text[..30]]).starts_with("HTTP/1.1 200"));
        });
    });
    let took = start.elapsed().as_millis();
    assert!((1_400..2_900).contains(&took), "{took} ms");
    assert_eq!(ask_on(&mut usual, &req("transfer", "id-4")).status(), 200);
    assert_eq!(backend.count(), 3);
}

/// Guards against reading 60 MB only to refuse them.
#[test]
fn what_is_too_large_is_refused_at_once() {
    let backend = good();
    let program = Program::start(&Director::new(&[("s-1", backend.address)]));
    let (head, _) = req("transfer", "id-1")
        .replace("Length: 4", "Length: 60000000")
        .split_once("body")
        .map(|(head, rest)| (head.to_owned(), rest.to_owned()))
        .expect("a body");
    let start = std::time::Instant::now();
    let answer = told(&program, &[&head, &"x".repeat(60_000_000)]);
    assert!(answer.starts_with("HTTP/1.1 413") && answer.contains("connection: close"), "{answer}");
    assert!(start.elapsed().as_millis() < 1_400, "{:?}", start.elapsed());
}

/// Guards against two reqs under one id: a backend's answer to one could be served to the other.
#[test]
fn the_id_of_an_open_req_is_refused() {
    let (open, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let backend = Peer::new(move |message, stream| {
        _ = gate.lock().unwrap().recv();
        done(message, stream, "made")
    });
    let program = Program::start(&Director::new(&[("s-1", backend.address)]));
    let mut first = program.connect();
    first.write_all(req("transfer", "id-1").as_bytes()).expect("written");
    until("the fetch", || backend.count() == 1);
    assert_eq!(program.ask(&req("new-plate", "id-1")).status(), 409);
    open.send(()).expect("released");
    assert_eq!(Message::read(&mut BufReader::new(first)).expect("an answer").status(), 200);
    open.send(()).expect("released");
    assert_eq!(program.ask(&req("transfer", "id-1")).status(), 200, "it is open no more");
    assert_eq!(backend.count(), 2);
    // Where attempts may not be cancelled, its fetch is open for longer than its client waits.
    let silent = Peer::new(|_, _| true);
    let edits = [(r#""cancelling":true"#, r#""cancelling":false"#)];
    let program = Program::start_with(&Director::new(&[("s-1", silent.address)]), 1024, &edits);
    let mut client = program.connect();
    client.write_all(req("transfer", "id-2").as_bytes()).expect("written");
    until("the fetch", || silent.count() == 1);
    let held = descriptors(&program);
    drop(client);
    until("the client's end", || descriptors(&program) < held);
    assert_eq!(program.ask(&req("transfer", "id-2")).status(), 409);
}

/// Guards against a reader that holds the next request back for good, mixes the order, or closes on
/// what cannot be read only once all before it is answered.
#[test]
fn pipelined_reqs_get_one_answer_each_in_order() {
    let backend = Peer::new(|message, stream| match message.field("req-id") {
        Some("never") => true,
        id => done(message, stream, id.expect("an id")),
    });
    let program = Program::start(&Director::new(&[("s-1", backend.address)]));
    let mut client = program.connect();
    let all: String = (0..100).map(|n| req("transfer", &format!("id-{n}"))).collect();
    client.write_all(all.as_bytes()).expect("written");
    let mut reader = BufReader::new(client);
    for n in 0..100 {
        let answer = Message::read(&mut reader).expect("an answer");
        assert_eq!((answer.status(), answer.body), (200, format!("id-{n}").into_bytes()));
    }
    let start = std::time::Instant::now();
    let mut client = program.connect();
    client.write_all(req("transfer", "never").as_bytes()).expect("written");
    until("the fetch", || backend.count() == 101);
    client.write_all(b"no request\r\n\r\n").expect("written");
    assert_eq!(client.read(&mut [0; 1]).map_or(0, |n| n), 0, "closed unanswered");
    until("the fetch's end", || backend.ended.load(Ordering::SeqCst) > 0);
    assert!(start.elapsed().as_millis() < 3_000);
}

#[test]
fn a_transfer_that_may_have_run_is_not_sent_again() {
    // Each way in which an attempt ends without proof that it never ran.
    let endings: [fn(&Message, &mut std::net::TcpStream) -> bool; 8] = [
        |_, _| false,
        |_, stream| status(stream, "500 Internal Server Error"),
        |_, stream| status(stream, "503 Service Unavailable"),
        |message, stream| {
            let id = message.field("req-id").expect("an id");
            chunk(stream, true, &format!("{{\"id\":\"{id}\",\"state\":\"started\"}}\n"));
            false
        },
        |message, stream| {
            let id = message.field("req-id").expect("an id");
            chunk(stream, true, &format!("{{\"id\":\"{id}\",\"state\":\"lost\"}}\n"));
            true
        },
        |_, stream| {
            chunk(stream, true, "{\"id\":\"another\",\"state\":\"done\",\"result\":\"theirs\"}\n");
            true
        },
        |_, stream| {
            chunk(stream, true, &"no line ".repeat(10_000));
            true
        },
        // A head without bound would take the memory of many reqs.
        |message, stream| {
            let head = format!(
                "HTTP/1.1 200 OK\r\nX: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
                "x".repeat(200_000)
            );
            let sent = stream.write_all(head.as_bytes()).is_ok();
            let id = message.field("req-id").expect("an id");
            chunk(stream, false, &format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"made\"}}\n"));
            sent && stream.write_all(b"0\r\n\r\n").is_ok()
        },
    ];
    for (n, ending) in endings.into_iter().enumerate() {
        let backends = [Peer::new(ending), Peer::new(ending)];
        let list = [("s-1", backends[0].address), ("s-2", backends[1].address)];
        let program = Program::start(&Director::new(&list));
        let answer = program.ask(&req("transfer", "id-1"));
        assert_eq!(answer.status(), 502, "ending {n}");
        assert_eq!(backends[0].count() + backends[1].count(), 1, "ending {n}");
    }
}

#[test]
fn what_provably_never_ran_goes_to_another_backend() {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("its address");
    let turning_away = Peer::new(|_, stream| status(stream, "503 Busy\r\nSrv-Declined: 1"));
    let handing_back = Peer::new(|message, stream| {
        let id = message.field("req-id").expect("an id");
        chunk(stream, true, &format!("{{\"id\":\"{id}\",\"state\":\"returned\"}}\n"));
        stream.write_all(b"0\r\n\r\n").is_ok()
    });
    for bad in [gone, turning_away.address, handing_back.address] {
        let backend = good();
        let program = Program::start(&Director::new(&[("s-1", bad), ("s-2", backend.address)]));
        for n in 0..6 {
            assert_eq!(program.ask(&req("transfer", &format!("id-{n}"))).status(), 200);
        }
        assert_eq!(backend.count(), 6);
    }
}

#[test]
fn a_line_may_come_in_pieces_and_a_result_with_escapes() {
    let backend = Peer::new(|message, stream| {
        let id = message.field("req-id").expect("an id");
        let text = format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"a\\\"\\u00e9\"}}\n");
        for (n, piece) in text.as_bytes().chunks(7).enumerate() {
            chunk(stream, n == 0, std::str::from_utf8(piece).expect("text"));
            _ = stream.flush();
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    });
    let program = Program::start(&Director::new(&[("s-1", backend.address)]));
    assert_eq!(program.ask(&req("transfer", "id-1")).body, "a\"é".as_bytes());
}

#[test]
fn nothing_new_goes_to_a_backend_that_drains() {
    let backends = [good(), good()];
    let list = [("s-1", backends[0].address), ("s-2", backends[1].address)];
    let director = Director::new(&list);
    let program = Program::start(&director);
    until("a kept connection", || {
        program.ask(&req("transfer", "id")).status() == 200 && connections(backends[0].address, "01") > 0
    });
    director.set("s-1", "draining");
    until("the news", || program.log().contains("1 backends ready"));
    let told = std::time::Instant::now();
    until("its end", || connections(backends[0].address, "01") == 0);
    assert!(told.elapsed().as_millis() < 2_000, "a drained backend's connections are kept as long as others");
    let before = backends[0].count();
    for n in 0..10 {
        assert_eq!(program.ask(&req("transfer", &format!("id-{n}"))).status(), 200);
    }
    assert_eq!(backends[0].count(), before);
    director.set("s-2", "gone");
    until("the news", || program.log().contains("0 backends ready"));
    assert_eq!(program.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 503);
    let answer = program.ask(&req("transfer", "id-x"));
    assert_eq!(answer.status(), 503, "with nobody to send to, the client is told to come again");
    let wait: f64 = answer.field("retry-after").expect("when").parse().expect("seconds");
    assert!(wait > 0.0 && wait <= 2.0);
}

#[test]
fn a_backend_that_moves_is_found_at_its_new_address_only() {
    let (open, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let before = Peer::new(move |message, stream| {
        _ = gate.lock().unwrap().recv();
        done(message, stream, "before")
    });
    let after = good();
    let director = Director::new(&[("s-1", before.address)]);
    let program = Program::start(&director);
    let mut client = program.connect();
    client.write_all(req("transfer", "id-1").as_bytes()).expect("written");
    until("the fetch", || before.count() == 1);
    director.move_to("s-1", after.address);
    until("the news", || program.log().matches("list ").count() >= 2);
    open.send(()).expect("released"); // its connection comes free only now, and is not kept
    assert_eq!(Message::read(&mut BufReader::new(client)).expect("an answer").body, b"before");
    for n in 2..6 {
        assert_eq!(program.ask(&req("transfer", &format!("id-{n}"))).body, b"made");
    }
    assert_eq!(before.count(), 1);
}

#[test]
fn a_failing_director_is_asked_again_and_what_it_garbles_is_not_believed() {
    let backend = good();
    let director = Director::new(&[("s-1", backend.address)]);
    let program = Program::start(&director);
    director.spoilt.lock().unwrap().extend([
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"genera}",
        "HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n{\"generation\":9,\"instances\":[7]}",
        "no HTTP at all\r\n\r\n",
    ]);
    until("each of them", || director.spoilt.lock().unwrap().is_empty());
    director.set("s-1", "draining");
    until("the news after", || program.log().contains("0 backends ready"));
    director.set("s-1", "ready");
    until("and again", || program.log().contains("entries, 1 backends ready"));
    until("a served req", || program.ask(&req("transfer", "id-1")).status() == 200);
}

#[test]
fn a_director_that_does_not_hold_is_not_called_without_pause() {
    let backend = good();
    let director = Director::new(&[("s-1", backend.address)]);
    let program = Program::start(&director);
    let start = std::time::Instant::now();
    let text =
        "HTTP/1.1 200 OK\r\nContent-Length: 45\r\n\r\n{\"generation\":1,\"reset\":false,\"instances\":[]}";
    director.spoilt.lock().unwrap().extend([text; 10]);
    until("ten calls", || director.spoilt.lock().unwrap().is_empty());
    assert!(start.elapsed().as_millis() >= 900, "ten calls in {:?}", start.elapsed());
    assert!(!program.log().contains("malformed"), "{}", program.log());
}

#[test]
fn a_director_that_falls_silent_is_given_up_and_asked_again() {
    let backend = good();
    let director = Director::new(&[("s-1", backend.address)]);
    let edits = [(r#""ask-every-ms":10000"#, r#""ask-every-ms":2000"#)]; // a hold of 1 s
    let program = Program::start_with(&director, 1024, &edits);
    director.spoilt.lock().unwrap().push(""); // the call is read, and never answered
    until("the call's end", || program.log().contains("no answer in time"));
    director.set("s-1", "draining");
    until("the news after", || program.log().contains("0 backends ready"));
}

/// Guards against ending at SIGHUP, against staying with the address of the start's environment, and
/// against asking the new director for changes since a list of the old one's numbering.
#[test]
fn told_to_reload_it_moves_to_the_new_director_and_goes_on_serving() {
    let (open, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let before = Peer::new(move |message, stream| {
        _ = gate.lock().unwrap().recv();
        done(message, stream, "before")
    });
    let after = good();
    let (old, new) = (Director::new(&[("s-1", before.address)]), Director::new(&[("s-2", after.address)]));
    let program = Program::start(&old);
    let mut client = program.connect();
    client.write_all(req("transfer", "id-1").as_bytes()).expect("written");
    until("the fetch", || before.count() == 1);
    program.reload("\"discovery\"", "\"discovery");
    until("the refusal", || program.log().contains("going on as before"));
    program.reload("\"discovery", "\"discovery\"");
    until("the same again", || program.log().contains("reload: director"));
    assert_eq!(new.peer.count(), 0);
    program.reload(&old.peer.address.to_string(), &new.peer.address.to_string());
    until("a watch on the new list", || new.peer.count() >= 2);
    assert_eq!(new.peer.seen.lock().unwrap()[0].first, "GET /v1/endpoints HTTP/1.1");
    until("the old one's end", || old.peer.ended.load(Ordering::SeqCst) == 1);
    assert_eq!(program.ask(&req("transfer", "id-2")).body, b"made");
    open.send(()).expect("released");
    assert_eq!(Message::read(&mut BufReader::new(client)).expect("an answer").body, b"before");
}

#[test]
fn a_client_that_goes_away_takes_its_fetch_along() {
    let backend = Peer::new(|message, stream| {
        if message.first.contains("transfer") {
            return done(message, stream, "made");
        }
        true // a new-plate is never answered
    });
    let program = Program::start_with(
        &Director::new(&[("s-1", backend.address)]),
        1024,
        &[(r#""give-up-ms":5000"#, r#""give-up-ms":600000"#)], // far longer than the test waits
    );
    let mut client = program.connect();
    let text = req("new-plate", "id-1").replace("Ms: 5000", "Ms: 600000");
    client.write_all(text.as_bytes()).expect("written");
    until("the fetch", || backend.count() == 1);
    drop(client);
    until("its connection's end", || backend.ended.load(Ordering::SeqCst) == 1);
    assert_eq!(program.ask(&req("transfer", "id-2")).status(), 200);
}

#[test]
fn a_req_without_an_answer_ends_with_its_deadline() {
    let backend = Peer::new(|_, _| true);
    let program = Program::start(&Director::new(&[("s-1", backend.address)]));
    let text = req("transfer", "id-1").replace("Deadline-Ms: 5000", "Deadline-Ms: 700");
    let start = std::time::Instant::now();
    assert_eq!(program.ask(&text).status(), 502);
    assert!(start.elapsed().as_millis() >= 690, "not before the client gives up");
    assert_eq!(backend.count(), 1);
}

#[test]
fn idle_clients_make_room_when_descriptors_run_out() {
    let backend = good();
    let program = Program::start_with(&Director::new(&[("s-1", backend.address)]), 64, &[]);
    let mut idle: Vec<_> = (0..60).map(|_| program.connect()).collect();
    idle[0].write_all(b"POST /tra").expect("half a head");
    let mut last = program.connect();
    assert_eq!(ask_on(&mut last, &req("transfer", "id-1")).status(), 200);
    let open = descriptors(&program);
    assert!(open <= 64, "{open} descriptors");
}

/// Crowds far beyond the limits that say nothing or stop half way, while every job comes on a new connection,
/// some written in 2 s: no job makes room for them.
#[test]
fn a_crowd_takes_no_room_from_jobs_however_slowly_they_are_written() {
    let backend = good();
    let program = Program::start_with(&Director::new(&[("s-1", backend.address)]), 96, &[]);
    let (stop, at) = (std::sync::atomic::AtomicBool::new(false), program.address);
    std::thread::scope(|s| {
        s.spawn(|| {
            let mut crowd = std::collections::VecDeque::new();
            for n in 0..3_000 {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let Ok(mut stream) = std::net::TcpStream::connect(at) else { continue };
                if n % 2 == 0 {
                    _ = stream.write_all(b"POST /transfer HTTP/1.1\r\nHo");
                }
                crowd.push_back(stream);
                if crowd.len() > 400 {
                    crowd.pop_front();
                }
                std::thread::sleep(std::time::Duration::from_millis(2)); // 500 a second
            }
        });
        let slow: Vec<_> = (0..4)
            .map(|n| {
                s.spawn(move || {
                    let text = req("transfer", &format!("slow-{n}"));
                    let mut stream = std::net::TcpStream::connect(at).expect("a connection");
                    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
                    for piece in text.as_bytes().chunks(text.len() / 19) {
                        stream.write_all(piece).expect("written");
                        std::thread::sleep(std::time::Duration::from_millis(100));
                        // slowly on purpose
                    }
                    Message::read(&mut BufReader::new(stream)).expect("an answer").status()
                })
            })
            .collect();
        for n in 0..60 {
            assert_eq!(program.ask(&req("transfer", &format!("quick-{n}"))).status(), 200);
        }
        let slow: Vec<u16> = slow.into_iter().map(|t| t.join().expect("answered")).collect();
        stop.store(true, Ordering::SeqCst);
        assert_eq!(slow, [200; 4]);
    });
}

/// Guards against closing on the client just accepted, where all others have brought a req before:
/// in a full house it would be the only one that has not.
#[test]
fn a_new_client_gets_the_time_to_bring_its_req_in_a_full_house() {
    let backend = good();
    let program = Program::start_with(&Director::new(&[("s-1", backend.address)]), 64, &[]);
    let mut kept: Vec<_> = (0..14).map(|_| program.connect()).collect();
    for (n, client) in kept.iter_mut().enumerate() {
        assert_eq!(ask_on(client, &req("transfer", &format!("id-{n}"))).status(), 200);
    }
    let mut new: Vec<_> = (0..8).map(|_| program.connect()).collect();
    for (n, client) in new.iter_mut().enumerate() {
        assert_eq!(ask_on(client, &req("transfer", &format!("new-{n}"))).status(), 200);
    }
    assert_eq!(kept[0].read(&mut [0]).map_or(0, |n| n), 0, "the one idle for longest has made room");
}

/// Guards against clients that ask once and stay until the platform gives us no more connections: it
/// lets clients hold a third of the descriptors for reqs.
#[test]
fn those_who_ask_once_and_stay_leave_room_for_others() {
    let backend = good();
    let program = Program::start_with(&Director::new(&[("s-1", backend.address)]), 96, &[]);
    let mut kept: Vec<_> = (0..30).map(|_| program.connect()).collect();
    for (n, client) in kept.iter_mut().enumerate() {
        assert_eq!(ask_on(client, &req("transfer", &format!("id-{n}"))).status(), 200);
    }
    std::thread::sleep(std::time::Duration::from_millis(300)); // idle on purpose
    assert_eq!(ask_on(&mut kept[20], &req("transfer", "once-more")).status(), 200);
    let limit = Some(std::time::Duration::from_secs(2));
    kept[0].set_read_timeout(limit).expect("a limit");
    assert_eq!(kept[0].read(&mut [0]).expect("an end"), 0, "24 of 32 connections are kept");
    assert_eq!(ask_on(&mut kept[20], &req("transfer", "again")).status(), 200);
}

#[test]
fn told_to_stop_it_serves_on_for_a_while_answers_all_and_exits_with_0() {
    let (open, gate) = std::sync::mpsc::channel::<()>();
    let gate = std::sync::Mutex::new(gate);
    let backend = Peer::new(move |message, stream| {
        if message.field("req-id") == Some("slow") {
            _ = gate.lock().unwrap().recv();
        }
        done(message, stream, "made")
    });
    let mut program = Program::start(&Director::new(&[("s-1", backend.address)]));
    let (mut slow, mut kept, unused) = (program.connect(), program.connect(), program.connect());
    let mut half = program.connect();
    half.write_all(b"POST /tra").expect("half a head");
    slow.write_all(req("transfer", "slow").as_bytes()).expect("written");
    until("the slow fetch", || backend.count() == 1);
    program.signal("-TERM");
    until("the signal", || program.log().contains("told to stop"));
    assert_eq!(ask_on(&mut kept, &req("transfer", "id-1")).status(), 200);
    assert_eq!(program.ask(&req("transfer", "id-2")).status(), 200, "on a new connection");
    until("the closing", || program.log().contains("closing"));
    assert_eq!(kept.read(&mut [0]).expect("an end"), 0, "idle connections are closed");
    open.send(()).expect("released");
    let answer = Message::read(&mut BufReader::new(&mut slow)).expect("the slow answer");
    assert_eq!((answer.status(), answer.field("connection")), (200, Some("close")));
    assert_eq!(program.wait().code(), Some(0));
    drop((unused, half));
}

/// Guards against a req taken late in a stop that waits for its deadline, when SIGKILL comes first
/// (3.7 s after SIGTERM, as the longest deadline is over 3 s).
#[test]
fn what_is_taken_late_in_a_stop_is_answered_before_the_kill() {
    let backend = Peer::new(|_, _| true);
    let mut program = Program::start(&Director::new(&[("s-1", backend.address)]));
    let mut client = program.connect();
    client.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").expect("written");
    assert_eq!(Message::read(&mut BufReader::new(&mut client)).expect("an answer").status(), 200);
    let start = std::time::Instant::now();
    program.signal("-TERM");
    std::thread::sleep(std::time::Duration::from_secs(1));
    assert_eq!(ask_on(&mut client, &req("transfer", "id-1")).status(), 502);
    assert_eq!((backend.count(), program.wait().code()), (1, Some(0)));
    assert!(start.elapsed().as_millis() < 3_700, "{:?}", start.elapsed());
}

#[test]
fn what_has_arrived_when_connections_are_closed_is_answered() {
    let backend = good();
    let mut program = Program::start(&Director::new(&[("s-1", backend.address)]));
    let mut clients: Vec<_> = (0..20).map(|_| program.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(ask_on(client, &req("transfer", &format!("first-{n}"))).status(), 200);
    }
    program.signal("-TERM");
    until("the signal", || program.log().contains("told to stop"));
    // It gets no time on its core, while the system still accepts and takes bytes for it. When it
    // goes on, it is to close already.
    program.signal("-STOP");
    clients.extend((0..20).map(|_| program.connect()));
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(req("transfer", &format!("last-{n}")).as_bytes()).expect("written");
    }
    std::thread::sleep(std::time::Duration::from_secs(2));
    program.signal("-CONT");
    for client in &mut clients {
        assert_eq!(Message::read(&mut BufReader::new(client)).expect("an answer").status(), 200);
    }
    drop(clients);
    assert_eq!(program.wait().code(), Some(0));
}

#[test]
fn a_value_that_cannot_be_used_is_named_in_one_line() {
    let path = config("127.0.0.1:9".parse().expect("an address"), "null", 1024);
    let run = |name: &str, value: &str| {
        let mut command = Command::new(Program::binary());
        let out = command.arg("check").env("ROUTER_CONFIG", &path).env(name, value).output().expect("run");
        (out.status.code(), String::from_utf8(out.stderr).expect("text"))
    };
    assert_eq!(run("ROUTER_NAME", "n7").0, Some(0));
    for (name, value) in
        [("ROUTER_LISTEN", "here"), ("ROUTER_DISCOVERY", "10.2.0.1"), ("ROUTER_CONFIG", "/nowhere.json")]
    {
        let (code, error) = run(name, value);
        assert_eq!((code, error.lines().count()), (Some(1), 1), "{error}");
        assert!(error.contains(name), "{error}");
    }
    _ = std::fs::remove_file(path);
}

/// Guards against a start with what cannot be used, a complaint that does not say where, and a value that
/// overflows into another: 2^44 MB were none at all.
#[test]
fn a_configuration_that_cannot_be_used_is_refused_with_its_place() {
    let path = config("127.0.0.1:9".parse().expect("an address"), "null", 1024);
    let text = std::fs::read_to_string(&path).expect("just written");
    let check = |text: &str, command: &str| {
        std::fs::write(&path, text).expect("written");
        let mut program = Command::new(Program::binary());
        let out = program.arg(command).env("ROUTER_CONFIG", &path).output().expect("run");
        (out.status.code(), String::from_utf8(out.stderr).expect("text"))
    };
    let cases = [
        (r#""memory_mb":192"#, r#""memory_mb":17592186044416"#, "memory_mb"),
        (r#""memory_mb":192"#, r#""memory_mb":0"#, "memory_mb"),
        (r#""memory_mb":192"#, r#""memory_mb":-1"#, "line 2"),
        (r#""memory_mb":192"#, r#""memory_mb":192,"memory_mb":64"#, "memory_mb"),
        (r#""sockets":1024"#, r#""sockets":63"#, "sockets"),
        (r#""sockets":1024"#, r#""sockets":1e99"#, "line 2"),
        (r#""seed":"8c1f30d27a5be964""#, r#""seed":"soon""#, "seed"),
        (r#""known":null"#, r#""known":{"generation":1,"instances":[7]}"#, "known"),
        (r#""known":null"#, r#""known":7"#, "known"),
        (r#""listen":"127.0.0.1:0""#, r#""listen":"127.0.0.1\nhere""#, "listen"),
        (r#""name":"transfer""#, r#""name":"""#, "categories"),
        (r#""name":"transfer""#, r#""name":"ready""#, "categories"),
        (r#""name":"transfer""#, r#""name":"a/b""#, "categories"),
        (r#""name":"transfer""#, r#""name":"new-plate""#, "categories"),
        (r#""cold-share":0.32"#, r#""cold-share":-0.32"#, "cold_share"),
        (r#""ramp-time-ms":9000"#, r#""ramp-time-ms":-9000"#, "ramp-time-ms"),
        (r#""categories":["#, r#""categories":[],"x":["#, "classes"),
    ];
    for (from, to, place) in cases {
        assert!(text.contains(from), "{from}");
        for command in ["check", "serve"] {
            let (code, error) = check(&text.replacen(from, to, 1), command);
            assert_eq!((code, error.lines().count()), (Some(1), 1), "{command} with {to}: {error}");
            assert!(error.contains(place), "{command} with {to}: {error}");
        }
    }
    assert_eq!(check(&text, "check").0, Some(0));
    _ = std::fs::remove_file(path);
}

/// Guards against a reload that ends the program, takes half of a file, or says it in many lines or none.
#[test]
fn a_reload_with_what_cannot_be_used_is_one_line_and_changes_nothing() {
    let backend = good();
    let (old, new) = (Director::new(&[("s-1", backend.address)]), Director::new(&[("s-1", backend.address)]));
    let mut program = Program::start(&old);
    let moved = std::fs::read_to_string(&program.path).expect("its configuration");
    let moved = moved.replace(&old.peer.address.to_string(), &new.peer.address.to_string());
    let edits = [
        (r#""cold-share":0.32"#, r#""cold-share":-1"#),
        (r#""give-up-ms":5000"#, r#""give-up-ms":1e300"#),
        (r#""memory_mb":192"#, r#""memory_mb":0"#),
        (r#""discovery":"#, r#""discovery":"127.0.0.1:1","discovery":"#),
        (r#""discovery":"#, r#""discovered":"#),
        (r#""discovery":"#, r#""discovery":"here\nand there","x":"#),
        (r#""name":"new-plate""#, r#""name":"transfer""#),
    ];
    let edited = edits.map(|(from, to)| {
        assert!(moved.contains(from), "{from}");
        moved.replacen(from, to, 1)
    });
    let mut files: Vec<Option<&str>> = edited.iter().map(|text| Some(text.as_str())).collect();
    files.extend([Some(""), Some(&moved[..moved.len() / 2]), Some("null"), Some("[]"), Some("\u{0}"), None]);
    let lines = || program.log().lines().filter(|l| !l.contains("counts:")).count();
    let before = lines();
    for (n, file) in files.iter().enumerate() {
        match file {
            Some(text) => std::fs::write(&program.path, text).expect("written"),
            None => std::fs::remove_file(&program.path).expect("removed"),
        }
        program.signal("-HUP");
        until("the refusal", || program.log().matches("going on as before").count() == n + 1);
        assert_eq!(lines(), before + n + 1, "{}", program.log());
        assert_eq!(program.ask(&req("transfer", &format!("id-{n}"))).status(), 200);
    }
    assert_eq!((new.peer.count(), old.peer.ended.load(Ordering::SeqCst)), (0, 0), "the watch stands");
    // Two at once and one while it stops: the last file counts, and the stop goes on.
    std::fs::write(&program.path, &moved).expect("written");
    program.signal("-HUP");
    program.signal("-HUP");
    until("a watch on the new list", || new.peer.count() >= 2);
    program.signal("-TERM");
    until("the signal", || program.log().contains("told to stop"));
    std::fs::write(&program.path, "{").expect("written");
    program.signal("-HUP");
    until("the refusal", || program.log().matches("going on as before").count() == files.len() + 1);
    assert_eq!(program.ask(&req("transfer", "last")).status(), 200);
    assert_eq!(program.wait().code(), Some(0));
}

/// The program started without waiting until it is ready: the process, its address, its log, and the
/// log's first line.
fn serve(
    path: &std::path::Path,
    more: &[&str],
) -> (std::process::Child, std::net::SocketAddr, BufReader<std::process::ChildStderr>, String) {
    let listen = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("it");
    let mut child = Command::new(Program::binary())
        .arg("serve")
        .args(more)
        .env("ROUTER_CONFIG", path)
        .env("ROUTER_LISTEN", listen.to_string())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("started");
    let mut log = BufReader::new(child.stderr.take().expect("its log"));
    let mut line = String::new();
    std::io::BufRead::read_line(&mut log, &mut line).expect("a line");
    (child, listen, log, line)
}

/// Descriptors that the program holds.
fn descriptors(program: &Program) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).map_or(0, |d| d.count())
}

/// An address at which connections never come up: its queue is full, and nobody accepts.
fn unreachable() -> (std::net::SocketAddr, Vec<socket2::Socket>) {
    let new = || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let listener = new();
    let any: std::net::SocketAddr = "127.0.0.1:0".parse().expect("an address");
    listener.bind(&any.into()).expect("a port");
    listener.listen(0).expect("listening");
    let address = listener.local_addr().expect("its address").as_socket().expect("one of IP");
    let mut kept = vec![listener];
    for _ in 0..4 {
        let socket = new();
        socket.set_nonblocking(true).expect("set");
        _ = socket.connect(&address.into());
        kept.push(socket);
    }
    (address, kept)
}

/// A backend that keeps a req at the stage that its id names.
fn staged() -> Peer {
    Peer::new(|message, stream| {
        let id = message.field("req-id").expect("an id").to_owned();
        if id.starts_with("started") {
            chunk(stream, true, &format!("{{\"id\":\"{id}\",\"state\":\"started\"}}\n"));
        }
        if id.starts_with("answered") {
            return done(message, stream, &"made ".repeat(8_000));
        }
        true
    })
}

/// Guards against a signal that comes before there is a list, or anything to serve: it ends nothing, and the
/// director named then is the one that counts.
#[test]
fn told_to_reload_before_the_first_list_it_asks_the_new_director() {
    let backend = good();
    let director = Director::new(&[("s-1", backend.address)]);
    let (nowhere, _full) = unreachable();
    let path = config(nowhere, "null", 1024);
    let (mut child, listen, _log, _) = serve(&path, &[]);
    let text = std::fs::read_to_string(&path).expect("its configuration");
    let text = text.replace(&nowhere.to_string(), &director.peer.address.to_string());
    std::fs::write(&path, text).expect("written");
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-HUP", &pid]).status().expect("kill runs").success());
    until("ready", || {
        ask(listen, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").is_some_and(|m| m.status() == 200)
    });
    assert!(Command::new("kill").arg(&pid).status().expect("kill runs").success());
    assert!(child.wait().expect("its end").success());
    _ = std::fs::remove_file(path);
}

/// Guards against a first byte to a backend that was told to drain while the connection to it came up.
#[test]
fn a_backend_that_drains_or_is_taken_out_while_it_is_dialled_gets_nothing() {
    gets_nothing("0 backends ready", |director, _| director.set("s-1", "draining"));
    gets_nothing("taken out by hand", |_, program| {
        assert!(call(program.admin(), "exclude s-1").starts_with("YES"));
    });
}

fn gets_nothing(news: &str, ends: impl Fn(&Director, &Program)) {
    let (address, mut full) = unreachable();
    let director = Director::new(&[("s-1", address)]);
    let edits = [(r#""connect-timeout-ms":200"#, r#""connect-timeout-ms":4000"#), ADMIN];
    let program = Program::start_with(&director, 1024, &edits);
    let dials = || connections(address, "02");
    let (before, mut client) = (dials(), program.connect());
    client.write_all(req("transfer", "id-1").as_bytes()).expect("written");
    until("the dial", || dials() > before);
    ends(&director, &program);
    until("the news", || program.log().contains(news));
    // There is room now: its next try comes up.
    let listener = full.remove(0);
    full.clear();
    let end = std::time::Instant::now() + PATIENCE;
    listener.set_nonblocking(true).expect("set");
    let mut accepted = Vec::new();
    let answer = std::thread::spawn(move || Message::read(&mut BufReader::new(client)));
    while !answer.is_finished() && std::time::Instant::now() < end {
        accepted.extend(listener.accept().ok());
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    assert_eq!(answer.join().expect("whole").expect("an answer").status(), 503);
    for (connection, _) in accepted {
        let mut bytes = [std::mem::MaybeUninit::uninit(); 16];
        assert_eq!(connection.recv(&mut bytes).unwrap_or(0), 0, "something was sent to who drains");
    }
    program.signal("-TERM");
    until("the log's last counts", || program.log().contains("stopped"));
    assert!(program.log().contains("drained_before_send: 1"), "{}", program.log());
}

/// Connections to an address that are in a state, as the system numbers these: 01 is established, 02 is
/// being dialled.
fn connections(address: std::net::SocketAddr, state: &str) -> usize {
    let std::net::SocketAddr::V4(v4) = address else { panic!("{address} is not of IPv4") };
    let entry = format!("{:08X}:{:04X} {state} ", u32::from_ne_bytes(v4.ip().octets()), v4.port());
    std::fs::read_to_string("/proc/net/tcp").expect("the system's list").matches(&entry).count()
}

/// Guards against a stop that takes all that waits to be accepted at once, whatever it may hold.
#[test]
fn what_waits_to_be_accepted_at_a_stop_is_answered_within_the_descriptors() {
    let backend = good();
    let mut program = Program::start_with(&Director::new(&[("s-1", backend.address)]), 64, &[]);
    assert_eq!(program.ask(&req("transfer", "first")).status(), 200);
    program.signal("-TERM");
    until("the signal", || program.log().contains("told to stop"));
    program.signal("-STOP");
    let mut clients: Vec<_> = (0..90).map(|_| program.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(req("transfer", &format!("last-{n}")).as_bytes()).expect("written");
    }
    std::thread::sleep(std::time::Duration::from_secs(2)); // it is to close when it goes on
    program.signal("-CONT");
    let most = std::thread::scope(|s| {
        let answers = s.spawn(|| {
            let answer = |client| Message::read(&mut BufReader::new(client)).expect("an answer").status();
            clients.into_iter().map(answer).all(|status| [200, 503].contains(&status))
        });
        let mut most = 0;
        while !answers.is_finished() {
            most = most.max(descriptors(&program));
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        assert!(answers.join().expect("whole"), "each is answered");
        most
    });
    assert!((1..=64).contains(&most), "{most} descriptors");
    assert_eq!(program.wait().code(), Some(0));
}

/// No transfer went out twice.
fn once_each(backends: &[Peer]) {
    let seen: Vec<Message> = backends.iter().flat_map(|b| b.seen.lock().unwrap().clone()).collect();
    let transfers = seen.iter().filter(|m| m.first.contains("/transfer"));
    let mut ids = std::collections::BTreeSet::new();
    transfers.for_each(|m| assert!(ids.insert(m.field("req-id")), "{} went out twice", m.first));
}

/// Guards against a place on a req's way at which its client's end leaves something taken: its id, the
/// room for its body, a slot of the cap, a descriptor. And against a second run of what may have run.
#[test]
fn every_stage_gives_back_what_it_took() {
    let stages = [
        ("reading", "transfer", 0),
        ("held", "new-plate", 0),
        ("dialling", "transfer", 0),
        ("sent", "transfer", 1),
        ("started", "transfer", 1),
        ("answered", "transfer", 1),
    ];
    for cancelling in ["true", "false"] {
        play(cancelling, &stages, &["gone", "late"]);
    }
}

/// Lets reqs of a class reach a stage, which so many backends have seen then, and end there.
fn play(cancelling: &str, stages: &[(&str, &str, usize)], ends: &[&str]) {
    let backends = [staged(), staged()];
    let (nowhere, _full) = unreachable();
    let list = [("s-1", backends[0].address), ("s-2", backends[1].address), ("s-3", nowhere)];
    let director = Director::new(&list);
    let edits = [
        (r#""cancelling":true"#, &*format!(r#""cancelling":{cancelling}"#)),
        (r#""connect-timeout-ms":200"#, r#""connect-timeout-ms":2000"#),
        (r#""give-up-ms":5000"#, r#""give-up-ms":1200"#),
    ];
    let mut program = Program::start_with(&director, 1024, &edits);
    let listen = |ready: &[&str]| {
        for (name, _) in list {
            director.set(name, if ready.contains(&name) { "ready" } else { "draining" });
        }
        let told = format!(", {} backends ready", ready.len());
        let newest = |log: String| log.lines().rfind(|l| l.contains("backends ready")).map(str::to_owned);
        let number = format!("list {} (", director.number());
        until("the news", || newest(program.log()).is_some_and(|l| l.contains(&told) && l.contains(&number)));
    };
    listen(&["s-1", "s-2"]);
    assert_eq!(program.ask(&req("transfer", "answered-first")).status(), 200);
    let start = descriptors(&program);
    let seen = |id: &str| {
        let of = |b: &Peer| b.seen.lock().unwrap().iter().filter(|m| m.field("req-id") == Some(id)).count();
        backends.iter().map(of).sum::<usize>()
    };
    for &(stage, class, sent) in stages {
        match stage {
            "held" => listen(&[]),
            "dialling" => listen(&["s-3"]),
            _ => listen(&["s-1", "s-2"]),
        }
        // One that is held, as the backends were silent before, goes away and comes again.
        let at_its_stage = |end: &str| {
            for n in 0..100 {
                let id = format!("{stage}-{end}-{n}");
                let text = req(class, &id);
                let text = if stage == "reading" { &text[..text.len() - 2] } else { &text };
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
            let answer = Message::read(&mut BufReader::new(client)).expect("one answer").status();
            let expected = match stage {
                "reading" => 408,
                "held" | "dialling" => 503, // never ran: come again
                "answered" => 200,
                _ => 502,
            };
            assert_eq!(answer, expected, "{id} with cancelling {cancelling}");
        }
    }
    listen(&["s-1", "s-2"]);
    // Where nothing is cancelled, what is out has until its deadline. Idle connections are closed.
    let out = || backends.iter().map(|b| connections(b.address, "01")).sum::<usize>();
    until("its descriptors again", || out() == 0 && descriptors(&program) <= start);
    once_each(&backends);
    program.signal("-TERM");
    assert_eq!(program.wait().code(), Some(0));
    until("the log's last counts", || program.log().contains("stopped"));
    let log = program.log();
    let last = log.lines().rfind(|l| l.contains("stopped")).expect("its counts");
    let zero = "Open { reqs: 0, held: 0, attempts: 0, slots: 0, ids: 0, body_bytes: 0,";
    assert!(last.contains(zero), "cancelling {cancelling}: {last}");
    assert!(last.contains("broken=0") && last.contains("broken: 0"), "{last}");
    let sockets = last.split("backend_sockets: ").nth(1).and_then(|t| t.split(',').next()?.parse().ok());
    assert!(sockets.is_some_and(|n: usize| n <= backends.len()), "{last}");
}

/// Guards against a stop that loses what was taken, answers it twice, never ends, or leaves its address
/// taken: with reqs at every stage, half of one on a client's connection, the director down, and whoever
/// stops it out of patience.
#[test]
fn a_stop_with_reqs_at_every_stage_answers_each_and_the_next_start_succeeds() {
    let backend = staged();
    let (nowhere, _full) = unreachable();
    let director = Director::new(&[("s-1", backend.address), ("s-2", nowhere)]);
    let mut program = Program::start(&director);
    let mut half = program.connect();
    half.write_all(b"POST /transfer HTTP/1.1\r\nContent-Le").expect("half a head");
    let mut clients = Vec::new();
    for n in 0..24 {
        let stage = ["sent", "started", "answered"][n % 3];
        let text = req(["transfer", "new-plate"][n % 2], &format!("{stage}-{n}"));
        let mut client = program.connect();
        client.write_all(text.replace("Ms: 5000", "Ms: 2500").as_bytes()).expect("written");
        clients.push(client);
    }
    until("some of them", || backend.count() > 2);
    let dead = unreachable();
    program.reload(&director.peer.address.to_string(), &dead.0.to_string());
    until("the reload", || program.log().contains("reload: director"));
    for signal in ["-TERM", "-TERM", "-INT", "-HUP"] {
        program.signal(signal);
    }
    let mut statuses = std::collections::BTreeMap::new();
    for client in clients {
        let mut reader = BufReader::new(client);
        let answer = Message::read(&mut reader).expect("one answer");
        *statuses.entry(answer.status()).or_insert(0) += 1;
        assert!(Message::read(&mut reader).is_none(), "one answer, and no second one");
    }
    assert!(statuses.keys().all(|s| [200, 502, 503].contains(s)), "{statuses:?}");
    assert_eq!(program.wait().code(), Some(0), "{}", program.log());
    until("the log's last counts", || program.log().contains("stopped"));
    once_each(&[backend]);
    // On the same address at once, with a list as it was held long ago.
    let backend = good();
    let director = Director::new(&[("s-1", backend.address)]);
    let again = format!(r#""listen":"{}""#, program.address);
    let stale = format!(
        r#"{{"generation":99,"instances":[{{"instanceId":"s-9","hostPort":"{nowhere}","lifecycle":"ready"}}]}}"#
    );
    let next = Program::start_knowing(&director, &stale, 1024, &[(r#""listen":"127.0.0.1:0""#, &again)]);
    assert_eq!(next.address, program.address);
    until("the list of today", || next.log().contains("list 1 (All)"));
    assert_eq!(next.ask(&req("transfer", "id-1")).status(), 200);
}

/// Guards against a log that nobody reads any more: telling of that on standard error would end it.
#[test]
fn the_log_is_json_where_wanted_and_its_loss_ends_nothing() {
    let backend = good();
    let director = Director::new(&[("s-1", backend.address)]);
    let path = config(director.peer.address, "null", 1024);
    let (mut child, listen, log, line) = serve(&path, &["--log-format", "json"]);
    assert!(line.starts_with('{') && line.contains(r#""sockets":1024"#), "{line}");
    drop(log);
    let ready = || ask(listen, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").is_some_and(|m| m.status() == 200);
    until("ready", ready);
    director.set("s-1", "draining");
    until("the news, which it logs", || !ready());
    assert!(Command::new("kill").arg(child.id().to_string()).status().expect("kill runs").success());
    assert!(child.wait().expect("its end").success());
    _ = std::fs::remove_file(path);
}

#[test]
fn an_operator_file_that_cannot_be_used_stops_the_start() {
    let path = std::env::temp_dir().join(format!("oakshed-operator-{}.json", std::process::id()));
    std::fs::write(&path, r#"{"jobs":{"dir":"/x","lease_ms":1},"jbos":1}"#).expect("written");
    let told = Command::new(Program::binary())
        .args(["check", "--operator", path.to_str().expect("a path")])
        .env_remove("ROUTER_CONFIG")
        .output()
        .expect("run");
    let text = String::from_utf8_lossy(&told.stderr);
    assert_eq!(told.status.code(), Some(1), "{text}");
    assert!(text.contains("/jobs/lease_ms") && text.contains("jbos"), "{text}");
    _ = std::fs::remove_file(path);
}
