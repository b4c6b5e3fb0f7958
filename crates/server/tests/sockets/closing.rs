//! Requests that arrive on a connection before it is evicted.

use std::io::{BufReader, Write};

use oakshed_standin::*;

/// A request that arrived before an eviction is answered, even on the connection that was idle longest.
#[test]
fn request_before_eviction_is_answered() {
    let worker = good();
    let program = Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 64, &[]);
    let mut idle: Vec<_> = (0..14).map(|_| program.connect()).collect();
    for (n, client) in idle.iter_mut().enumerate() {
        assert_eq!(
            send_on(client, &request("transfer", &format!("id-{n}"))).status(),
            200
        );
    }
    program.signal("-STOP");
    idle[0]
        .write_all(request("transfer", "on-idle").as_bytes())
        .expect("failed to write");
    let mut clients: Vec<_> = (0..5).map(|_| program.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client
            .write_all(request("transfer", &format!("new-{n}")).as_bytes())
            .expect("failed to write");
    }
    program.signal("-CONT");
    clients.push(idle.swap_remove(0));
    for client in clients {
        assert_eq!(
            Message::read(&mut BufReader::new(client))
                .expect("no answer")
                .status(),
            200
        );
    }
}
