//! Clients that leave while their request waits, however much they have sent.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use oakshed_standin::*;

use super::unread_from;

/// A request that waits, as no backend is ready, goes nowhere once its client has left: neither where the
/// client is seen to leave first, nor where a backend is found to be ready in the same turn. Guards against a
/// reader that stops reading where much waits behind a request.
#[test]
fn whose_client_has_left_is_never_sent_on() {
    let ways: [fn(&TcpStream); 3] = [
        |client| client.shutdown(Shutdown::Both).expect("closed"),
        |client| client.shutdown(Shutdown::Write).expect("half-closed"),
        // The close that follows resets the connection.
        |client| socket2::SockRef::from(client).set_linger(Some(Duration::ZERO)).expect("set"),
    ];
    let backend = good();
    let discovery = Discovery::new(&[("s-1", backend.address)]);
    let program = Program::start_with(&discovery, 1024, &[ADMIN]);
    let pending = || call(program.admin(), "telemetry").contains("edge_router.pending:1|g");
    let ready = || program.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200;
    // More than is held of a connection; the system holds it, or the rest of it, for as long as nobody reads.
    let much: String = (0..400).map(|n| request("transfer", &format!("behind-{n}"))).collect();
    let mut half_closed = Vec::new();
    for case in 0..12 {
        let (way, behind, same_turn) = (case % 3, case % 6 > 2, case > 5);
        discovery.set("s-1", "draining");
        until("the drain", || !ready());
        let mut client = program.connect();
        client.write_all(request("transfer", &format!("gone-{case}")).as_bytes()).expect("written");
        until("its wait", pending);
        if behind {
            client.set_nonblocking(true).expect("set");
            _ = client.write_all(much.as_bytes());
        }
        let leave = |client: TcpStream| {
            ways[way](&client);
            (way == 1).then_some(client)
        };
        if same_turn {
            program.signal("-STOP");
            half_closed.extend(leave(client));
            discovery.set("s-1", "ready");
            until("the list's arrival", || unread_from(discovery.peer.address) > 0);
            program.signal("-CONT");
        } else {
            half_closed.extend(leave(client));
            until("the client's end", || !pending());
            discovery.set("s-1", "ready");
        }
        until("the backend's return", ready);
        assert_eq!(program.ask(&request("transfer", &format!("id-{case}"))).status(), 200);
        let seen: Vec<_> =
            backend.seen.lock().unwrap().iter().map(|m| format!("{:?}", m.field("req-id"))).collect();
        assert!(
            !seen.iter().any(|id| id.contains("gone")),
            "way {way}, much {behind}, {same_turn}: {seen:?}"
        );
    }
}
