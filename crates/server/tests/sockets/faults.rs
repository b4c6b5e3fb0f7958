//! Faults of workers and of clients, which must not keep other requests from being answered in time.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use oakshed_standin::*;

/// The deadline of requests from well-behaved clients.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// How long after the deadline the answer may arrive.
const TOLERANCE: Duration = Duration::from_millis(500);

/// What a bad client sends before it disconnects: nothing, a partial head, a partial body, garbage behind a request, or
/// many requests at once.
fn bad_input(n: usize) -> String {
    let text = request("transfer", &format!("bad-{n}"));
    match n % 5 {
        0 => String::new(),
        1 => text[..text.len() / 2].to_owned(),
        2 => text[..text.len() - 2].to_owned(),
        3 => text + "no request\r\n\r\n",
        _ => text.repeat(50),
    }
}

/// Good clients are answered in time although most workers are faulty and bad clients are connected. Beside one good
/// worker there are ones that hang, close, reset, send garbage and reject. The bad clients send malformed requests and
/// disconnect.
#[test]
fn requests_are_answered_despite_faults_of_workers_and_other_clients() {
    let resetting = Peer::new(|_, stream| {
        socket2::SockRef::from(&*stream)
            .set_linger(Some(Duration::ZERO))
            .expect("socket error");
        false
    });
    let workers = [
        good(),
        Peer::new(|_, _| true),
        Peer::new(|_, _| false),
        resetting,
        Peer::new(|_, stream| stream.write_all(b"no answer\r\n\r\n").is_ok()),
        Peer::new(|_, stream| status(stream, "503 Busy\r\nSrv-Declined: 1")),
    ];
    let names = ["s-1", "s-2", "s-3", "s-4", "s-5", "s-6"];
    let list: Vec<_> = names
        .into_iter()
        .zip(workers.iter().map(|w| w.address))
        .collect();
    let program = Program::start(&Discovery::new(&list));
    let (address, stop) = (program.address, AtomicBool::new(false));
    let good_client = |n: usize| {
        for round in 0..20 {
            let text = request(
                ["transfer", "new-plate"][n % 2],
                &format!("good-{n}-{round}"),
            );
            let sent = Instant::now();
            let answer = send_raw(address, &text.replace("Ms: 5000", "Ms: 1500"))
                .expect("no answer")
                .status();
            assert!([200, 502, 503].contains(&answer), "{answer}");
            assert!(
                sent.elapsed() < DEADLINE + TOLERANCE,
                "answered after {:?}",
                sent.elapsed()
            );
        }
    };
    let bad_client = |first: usize| {
        for n in (first..).take_while(|_| !stop.load(Ordering::SeqCst)) {
            let Ok(mut client) = TcpStream::connect(address) else {
                continue;
            };
            _ = client.write_all(bad_input(n).as_bytes());
            std::thread::sleep(Duration::from_millis(5));
        }
    };
    std::thread::scope(|s| {
        for n in 0..3 {
            let bad_client = &bad_client;
            s.spawn(move || bad_client(n * 1_000_000));
        }
        let good_client = &good_client;
        let all: Vec<_> = (0..8).map(|n| s.spawn(move || good_client(n))).collect();
        let all_answered = all.into_iter().all(|client| client.join().is_ok());
        stop.store(true, Ordering::SeqCst);
        assert!(all_answered, "not every request was answered in time");
    });
}
