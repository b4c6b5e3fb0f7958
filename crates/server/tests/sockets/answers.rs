//! Workers that answer a request twice: the second answer must not be taken for the answer to the next request.

use std::collections::HashSet;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use oakshed_standin::*;

/// A worker repeats its rejection of a request when the next request has been written on the same connection. If the
/// repetition were taken for a rejection of the next request, that one would run here and again on another worker.
#[test]
fn late_second_rejection_is_not_taken_for_the_next_request() {
    let (rejecting, requests) = (
        Arc::new(AtomicBool::new(true)),
        Arc::new(AtomicUsize::new(0)),
    );
    let (is_rejecting, count, rejected) = (
        rejecting.clone(),
        requests.clone(),
        Mutex::new(HashSet::new()),
    );
    let worker = Peer::new(move |message, stream| {
        const BUSY: &str = "503 Busy\r\nSrv-Declined: 1";
        count.fetch_add(1, Ordering::SeqCst);
        let from = stream.peer_addr().expect("no peer address");
        if is_rejecting.load(Ordering::SeqCst) {
            rejected.lock().unwrap().insert(from);
            return status(stream, BUSY);
        }
        // The second rejection of the previous request, then the answer to this one.
        if rejected.lock().unwrap().remove(&from) {
            status(stream, BUSY);
        }
        done(message, stream, "made")
    });
    let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
    until("a rejection", || {
        assert_eq!(program.send(&request("transfer", "id-0")).status(), 503);
        requests.load(Ordering::SeqCst) > 0
    });
    rejecting.store(false, Ordering::SeqCst);
    let before = requests.load(Ordering::SeqCst);
    let mut answer = 0;
    until("the next request at the worker", || {
        answer = program.send(&request("transfer", "id-1")).status();
        requests.load(Ordering::SeqCst) > before
    });
    assert_eq!(
        (answer, requests.load(Ordering::SeqCst)),
        (200, before + 1),
        "a request that ran was reported as rejected, or sent again"
    );
}

/// A result that a worker sends unasked, on an idle connection or ahead of the next answer, must not be served as the
/// answer to the next request.
#[test]
fn late_second_result_is_discarded() {
    for with_the_next in [true, false] {
        let worker = Peer::new(move |message, stream| {
            let send_stray_result = |stream: &mut std::net::TcpStream| {
                let line = "{\"id\":\"id-1\",\"state\":\"done\",\"result\":\"first\"}\n";
                chunk(stream, true, line);
                _ = stream.write_all(b"0\r\n\r\n");
            };
            match message.field("req-id") {
                Some("id-1") if with_the_next => done(message, stream, "first"),
                Some("id-1") => {
                    done(message, stream, "first");
                    send_stray_result(stream); // read with the answer, or on the idle connection
                    true
                }
                _ if with_the_next => {
                    send_stray_result(stream);
                    done(message, stream, "made")
                }
                _ => done(message, stream, "made"),
            }
        });
        let program = Program::start(&Discovery::new(&[("s-1", worker.address)]));
        assert_eq!(program.send(&request("transfer", "id-1")).body, b"first");
        if !with_the_next {
            until("the end of the connection", || {
                worker.ended.load(Ordering::SeqCst) == 1
            });
        }
        let next = program.send(&request("transfer", "id-2"));
        assert_eq!(
            next.status(),
            if with_the_next { 502 } else { 200 },
            "indeterminate on the same connection, served on a new one"
        );
        assert_ne!(next.body, b"first");
        assert_eq!(worker.count(), 2);
    }
}
