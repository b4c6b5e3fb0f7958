//! Worker stand-ins, whose answer depends on the key in a request's path.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use oakshed_standin::{chunk, done, Message, Peer};

/// The number of workers.
const WORKERS: usize = 12;
/// How long a job runs.
const RUN_TIME: Duration = Duration::from_millis(20);
/// The size of a large result: within the 64 KiB of a body, with headers and other lines.
pub const LARGE_RESULT_BYTES: usize = 60_000;
const BLANK_LINES_COUNT: usize = 200_000;
/// How long a worker stays silent behind an unfinished line.
const SILENCE: Duration = Duration::from_secs(6);

/// Between two pieces of an answer that comes byte by byte.
const PIECE_INTERVAL: Duration = Duration::from_micros(50);

/// The key of a request that gets a result of [`LARGE_RESULT_BYTES`].
pub const LARGE: &str = "large";
/// The key of a request whose answer stops within the line of its result.
pub const UNFINISHED: &str = "unfinished";

/// The key of a request whose result comes in chunks of one byte, many in one write.
pub const IN_PIECES: &str = "in-pieces";
/// The key of a request whose result comes after very many blank lines.
pub const BLANK_LINES: &str = "blank-lines";

/// The workers, which record what has come to them.
pub struct Workers(Vec<Peer>);

fn answer(message: &Message, stream: &mut TcpStream) -> bool {
    _ = stream.set_nodelay(true);
    if message.first.starts_with("GET /status/load ") {
        return answer_byte_by_byte(stream);
    }
    std::thread::sleep(RUN_TIME);
    let target = message.first.split(' ').nth(1).unwrap_or("");
    match target.split('/').nth(2) {
        Some(LARGE) => done(message, stream, &"x".repeat(LARGE_RESULT_BYTES)),
        Some(UNFINISHED) => {
            let id = message.field("req-id").unwrap_or("");
            let started = format!("{{\"id\":\"{id}\",\"from\":\"s\",\"state\":\"started\"}}\n");
            let line = format!("{{\"id\":\"{id}\",\"from\":\"s\",\"state\":\"done\",\"result\":\"");
            chunk(stream, true, &started);
            chunk(stream, false, &(line + &"x".repeat(LARGE_RESULT_BYTES)));
            std::thread::sleep(SILENCE);
            false
        }
        Some(IN_PIECES) => {
            let id = message.field("req-id").unwrap_or("");
            let result = "x".repeat(LARGE_RESULT_BYTES);
            let line = format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"{result}\"}}\n");
            let pieces: String = line.chars().map(|c| format!("1\r\n{c}\r\n")).collect();
            chunk(stream, true, "\n");
            stream.write_all((pieces + "0\r\n\r\n").as_bytes()).is_ok()
        }
        Some(BLANK_LINES) => {
            chunk(stream, true, &"\n".repeat(BLANK_LINES_COUNT));
            done_after_head(message, stream)
        }
        _ => done(message, stream, "made"),
    }
}

/// Ends an answer whose head has been written with a result.
fn done_after_head(message: &Message, stream: &mut TcpStream) -> bool {
    let id = message.field("req-id").unwrap_or("");
    let line = format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"made\"}}\n");
    chunk(stream, false, &line);
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Answers a probe in chunks of one byte, each written by itself, until the connection ends.
fn answer_byte_by_byte(stream: &mut TcpStream) -> bool {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut written = stream.write_all(head.as_bytes());
    while written.is_ok() {
        std::thread::sleep(PIECE_INTERVAL);
        written = stream.write_all(b"1\r\n \r\n");
    }
    false
}

impl Workers {
    pub fn start() -> Workers {
        Workers((0..WORKERS).map(|_| Peer::new(answer)).collect())
    }

    /// Names and addresses.
    pub fn list(&self) -> Vec<(&'static str, SocketAddr)> {
        const NAMES: [&str; WORKERS] = [
            "s-0", "s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7", "s-8", "s-9", "s-10", "s-11",
        ];
        NAMES
            .into_iter()
            .zip(self.0.iter().map(|peer| peer.address))
            .collect()
    }

    /// The ids of a class's requests that have come more than once.
    pub fn duplicates(&self, class: &str) -> Vec<String> {
        let mut counts: HashMap<String, usize> = HashMap::new();
        for peer in &self.0 {
            for message in peer.seen.lock().expect("not poisoned").iter() {
                if message.field("req-kind") == Some(class) {
                    let id = message.field("req-id").unwrap_or("").to_owned();
                    *counts.entry(id).or_default() += 1;
                }
            }
        }
        let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
        repeated.map(|(id, _)| id).collect()
    }

    /// How many probes have come.
    pub fn probes(&self) -> usize {
        let is_probe = |m: &&Message| m.first.starts_with("GET /status/load ");
        let count = |peer: &Peer| {
            let seen = peer.seen.lock().expect("not poisoned");
            seen.iter().filter(is_probe).count()
        };
        self.0.iter().map(count).sum()
    }

    /// How many requests have come whose id starts with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let matches = |m: &&Message| m.field("req-id").is_some_and(|id| id.starts_with(prefix));
        let count = |peer: &Peer| {
            let seen = peer.seen.lock().expect("not poisoned");
            seen.iter().filter(matches).count()
        };
        self.0.iter().map(count).sum()
    }
}
