//! Discovery for one scheduler or a few: its endpoint list, and a watch on it.
//!
//! Tests set the list and the answers. For hundreds of schedulers there is another one, in [`crate::fleet`].

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::message::Message;
use crate::peer::Peer;

/// A malformed answer that is none: the connection ends.
pub const CLOSED: &str = "closed";
/// Between two checks of a watch for answers that tests have set.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The length of a chunk where answers are indented.
const CHUNK_LENGTH: usize = 7;

/// A worker in the list.
#[derive(Clone)]
struct Endpoint {
    name: String,
    at: SocketAddr,
    lifecycle: &'static str,
    started_ms: u64,
}

/// The list and its number.
#[derive(Clone)]
struct List {
    number: u64,
    endpoints: Vec<Endpoint>,
}

impl List {
    /// The list in the platform's form: a snapshot, or a delta without a change.
    fn encode(&self, is_snapshot: bool) -> String {
        let entry = |endpoint: &Endpoint| {
            let Endpoint {
                name,
                at,
                lifecycle,
                started_ms,
            } = endpoint;
            format!(
                r#"{{"instanceId":"{name}","hostPort":"{at}","zone":"hofdi","machineType":"fast-7","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":{started_ms}}}"#
            )
        };
        let endpoints = self.endpoints.iter().filter(|_| is_snapshot);
        let entries: Vec<String> = endpoints.map(entry).collect();
        format!(
            r#"{{"generation":{},"reset":{is_snapshot},"instances":[{}]}}"#,
            self.number,
            entries.join(",")
        )
    }
}

/// What the thread of a connection and the tests share.
struct Shared {
    list: Mutex<List>,
    changed: Condvar,
    malformed: Arc<Mutex<Vec<&'static str>>>,
    indented: Arc<AtomicBool>,
}

/// A discovery service that answers list calls and watches.
pub struct Discovery {
    /// Its connections.
    pub peer: Peer,
    /// The answers to the next calls in place of the list.
    pub malformed: Arc<Mutex<Vec<&'static str>>>,
    /// Whether changes come as snapshots without the removed workers, with line breaks and indentation, in small
    /// chunks.
    pub indented: Arc<AtomicBool>,
    shared: Arc<Shared>,
}

impl Discovery {
    /// Starts with these workers, all of them ready.
    ///
    /// # Panics
    /// Panics when no port can be bound.
    #[must_use]
    pub fn new(workers: &[(&str, SocketAddr)]) -> Discovery {
        let endpoint = |(name, at): &(&str, SocketAddr)| Endpoint {
            name: (*name).to_owned(),
            at: *at,
            lifecycle: "ready",
            started_ms: 0,
        };
        let list = List {
            number: 1,
            endpoints: workers.iter().map(endpoint).collect(),
        };
        let malformed = Arc::new(Mutex::new(Vec::new()));
        let indented = Arc::new(AtomicBool::new(false));
        let shared = Arc::new(Shared {
            list: Mutex::new(list),
            changed: Condvar::new(),
            malformed: malformed.clone(),
            indented: indented.clone(),
        });
        let served = shared.clone();
        Discovery {
            peer: Peer::new(move |message, stream| served.answer(message, stream)),
            malformed,
            indented,
            shared,
        }
    }

    /// A snapshot of the list, as the platform passes it to a start.
    ///
    /// # Panics
    /// Panics when another thread has panicked while it changed the list.
    #[must_use]
    pub fn known(&self) -> String {
        self.shared.lock().encode(true)
    }

    /// The number of the list.
    ///
    /// # Panics
    /// Panics when another thread has panicked while it changed the list.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.shared.lock().number
    }

    /// Sets the address of a worker.
    ///
    /// # Panics
    /// Panics when another thread has panicked while it changed the list.
    pub fn move_to(&self, name: &str, at: SocketAddr) {
        self.shared.change(name, |endpoint| endpoint.at = at);
    }

    /// Sets when a worker started, in Unix time milliseconds.
    ///
    /// # Panics
    /// Panics when another thread has panicked while it changed the list.
    pub fn started(&self, name: &str, at_ms: u64) {
        self.shared
            .change(name, |endpoint| endpoint.started_ms = at_ms);
    }

    /// Sets the lifecycle state of a worker.
    ///
    /// # Panics
    /// Panics when another thread has panicked while it changed the list.
    pub fn set(&self, name: &str, lifecycle: &'static str) {
        self.shared
            .change(name, |endpoint| endpoint.lifecycle = lifecycle);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap()
    }

    /// Changes a worker's entry; the list gets the next number.
    fn change(&self, name: &str, change: impl Fn(&mut Endpoint)) {
        let mut list = self.lock();
        for endpoint in &mut list.endpoints {
            if endpoint.name == name {
                change(endpoint);
            }
        }
        list.number += 1;
        self.changed.notify_all();
    }

    fn has_malformed(&self) -> bool {
        !self.malformed.lock().unwrap().is_empty()
    }

    fn answer(&self, message: &Message, stream: &mut TcpStream) -> bool {
        let from = parameter(&message.first, "from=");
        let hold = Duration::from_millis(parameter(&message.first, "hold_ms=").unwrap_or(0));
        let list = self.watch(from, hold);
        if self.has_malformed() {
            let raw = self.malformed.lock().unwrap().remove(0);
            return raw != CLOSED && stream.write_all(raw.as_bytes()).is_ok();
        }
        let is_snapshot = from != Some(list.number);
        if self.indented.load(Ordering::SeqCst) {
            return write_indented(&list, is_snapshot, stream);
        }
        let body = list.encode(is_snapshot);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).is_ok()
    }

    /// Waits until the list is newer than the one that a watch has. No longer than the watch asks for: guards
    /// against tests that pass by an answer that no discovery service gives.
    fn watch(&self, from: Option<u64>, hold: Duration) -> MutexGuard<'_, List> {
        let end = Instant::now() + hold;
        let mut list = self.lock();
        while from == Some(list.number) && !self.has_malformed() && Instant::now() < end {
            let (woken, _) = self.changed.wait_timeout(list, CHECK_INTERVAL).unwrap();
            list = woken;
        }
        list
    }
}

/// A number among the parameters of a request's first line.
fn parameter(line: &str, name: &str) -> Option<u64> {
    let text = line.split(name).nth(1)?;
    text.split(['&', ' ']).next()?.parse().ok()
}

fn write_indented(list: &List, is_snapshot: bool, stream: &mut TcpStream) -> bool {
    let mut present = list.clone();
    present
        .endpoints
        .retain(|endpoint| endpoint.lifecycle != "gone");
    let list = present.encode(is_snapshot);
    let value: serde_json::Value = serde_json::from_str(&list).expect("a list");
    let text = format!("\n{value:#}\r\n");
    _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for chunk in text.as_bytes().chunks(CHUNK_LENGTH) {
        let length = format!("{:x}\r\n", chunk.len());
        _ = stream.write_all(&[length.as_bytes(), chunk, b"\r\n"].concat());
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}
