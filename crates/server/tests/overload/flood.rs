//! Clients that send at full speed on one connection each.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::crowd::{fresh_id, head};

/// Requests that are written at once.
const BATCH: usize = 50;
/// How long a write or read may take before the connection is opened again.
const STALL: Duration = Duration::from_secs(1);

/// The requests of a flood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// Lines that are no requests.
    Malformed,
    /// Requests for a class and an owner that do not exist, each under another name.
    UnknownNames,
    /// Valid requests, each under another id, key and owner.
    NewNames,
    /// Requests whose deadline has passed.
    NoTimeLeft,
    /// Readiness checks.
    ReadyChecks,
}

/// All floods.
pub const ALL: [Flood; 5] = [
    Flood::Malformed,
    Flood::UnknownNames,
    Flood::NewNames,
    Flood::NoTimeLeft,
    Flood::ReadyChecks,
];

fn request(flood: Flood) -> String {
    let id = fresh_id("flood");
    let no_body = "Content-Length: 0\r\n\r\n";
    match flood {
        Flood::Malformed => "not a request\r\n\r\n".to_owned(),
        Flood::UnknownNames => head(&id, &id, &id) + &format!("Req-Owner: {id}\r\n") + no_body,
        Flood::NewNames => head("transfer", &id, &id) + &format!("Req-Owner: {id}\r\n") + no_body,
        Flood::NoTimeLeft => {
            head("transfer", &id, &id).replace("Deadline-Ms: 5000", "Deadline-Ms: 0") + no_body
        }
        Flood::ReadyChecks => "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(),
    }
}

/// Writes batches while another thread reads and discards the answers, until the connection ends.
fn flood_connection(address: SocketAddr, flood: Flood, stop: &AtomicBool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_write_timeout(Some(STALL))?;
    stream.set_read_timeout(Some(STALL))?;
    let mut answers = stream.try_clone()?;
    let reader = std::thread::spawn(move || {
        let mut buffer = vec![0; 64 << 10];
        while answers.read(&mut buffer).is_ok_and(|read| read > 0) {}
    });
    while !stop.load(Ordering::Relaxed) && !reader.is_finished() {
        let batch: String = (0..BATCH).map(|_| request(flood)).collect();
        if stream.write_all(batch.as_bytes()).is_err() {
            break;
        }
    }
    _ = stream.shutdown(std::net::Shutdown::Both);
    _ = reader.join();
    Ok(())
}

/// Floods on threads of their own, until the value is dropped.
pub struct Floods {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Floods {
    /// Starts one connection for each of `floods`.
    pub fn start(address: SocketAddr, floods: &[Flood]) -> Floods {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |flood: &Flood| {
            let (flood, stop) = (*flood, stop.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    _ = flood_connection(address, flood, &stop);
                }
            })
        };
        Floods {
            threads: floods.iter().map(start).collect(),
            stop,
        }
    }
}

impl Drop for Floods {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            _ = thread.join();
        }
    }
}
