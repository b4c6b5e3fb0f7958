//! Request metrics, compared with what clients and workers have counted themselves.

use std::io::{BufReader, Write};

use oakshed_standin::*;

use crate::metric;

/// Each way in which a request can end is counted once, with the outcome that its client saw.
#[test]
fn metrics_match_the_counts_of_clients_and_workers() {
    let worker = Peer::new(|message, stream| {
        match message.field("req-id").and_then(|id| id.split('-').next()) {
            Some("served") => done(message, stream, "made"),
            Some("broken") => status(stream, "500 Internal Server Error"),
            Some("reset") => false,
            Some("full") => status(stream, "503 Service Unavailable\r\nSrv-Declined: 1"),
            _ => true,
        }
    });
    let program = Program::start_with(&Discovery::new(&[("s-1", worker.address)]), 1024, &[ADMIN]);
    let (at, mut outcomes) = (program.admin(), [0; 3]);
    let mut count = |status: u16| match status {
        200 => outcomes[0] += 1,
        429 | 503 => outcomes[1] += 1,
        _ => outcomes[2] += 1,
    };
    for n in 0..10 {
        for kind in ["served", "served", "broken", "reset", "full"] {
            count(
                program
                    .send(&request("transfer", &format!("{kind}-{n}")))
                    .status(),
            );
        }
    }
    // Rejected before they reach the scheduling decisions.
    let text = request("transfer", "served-x");
    count(
        program
            .send(&text.replace("Req-Id: served-x\r\n", ""))
            .status(),
    );
    count(
        program
            .send(&text.replace("Req-Kind: transfer", "Req-Kind: new-plate"))
            .status(),
    );
    count(
        program
            .send(&text.replace("Length: 4", "Length: 70000"))
            .status(),
    );
    // Not counted: a request of an unknown class, and one that is not a job.
    assert_eq!(
        program
            .send(&text.replace("transfer", "scrapping"))
            .status(),
        404
    );
    assert_eq!(program.ready_status(), 200);
    // Ended by its deadline.
    let late = request("transfer", "silent-1").replace("Deadline-Ms: 5000", "Deadline-Ms: 100");
    count(program.send(&late).status());
    // A request whose client disconnects, one that waits for its worker, and a partial one.
    let open = |text: &str| {
        let mut client = program.connect();
        client.write_all(text.as_bytes()).expect("written");
        client
    };
    let in_flight = [
        open(&request("transfer", "silent-2")),
        open(&request("new-plate", "silent-3")),
    ];
    let _partial = open(&text[..text.len() - 2]);
    until("both requests in flight", || {
        metric(&call(at, "telemetry"), "pending") == 2
    });
    let [disconnecting, waiting] = in_flight;
    drop(disconnecting);
    until("the end of the disconnected request", || {
        metric(&call(at, "telemetry"), "pending") == 1
    });
    until("the counts of all attempts", || {
        metric(&call(at, "telemetry"), "upstream_requests") == worker.count() as u64
    });
    let telemetry = call(at, "telemetry");
    let names = ["completed", "rejected", "failed"];
    let counted = names.map(|outcome| {
        metric(
            &telemetry,
            &format!("downstream_requests.transfer.{outcome}"),
        )
    });
    assert_eq!(counted, outcomes, "{telemetry}");
    assert!(outcomes.iter().all(|n| *n > 0), "{outcomes:?}");
    assert_eq!(
        Message::read(&mut BufReader::new(waiting)).map(|m| m.status() == 200),
        Some(false)
    );
    let telemetry = call(at, "telemetry");
    assert_eq!(metric(&telemetry, "pending"), 0, "{telemetry}");
    let new_plates = names.map(|outcome| {
        metric(
            &telemetry,
            &format!("downstream_requests.new-plate.{outcome}"),
        )
    });
    assert_eq!(new_plates.iter().sum::<u64>(), 1, "{telemetry}");
}
