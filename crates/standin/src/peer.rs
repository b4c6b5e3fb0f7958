//! Scripted peers: servers that answer by a script, with a thread for each connection, and record what came.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use crate::message::Message;

/// Serves connections with a script, and records what came.
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
    /// All messages that came, in order.
    pub seen: Arc<Mutex<Vec<Message>>>,
    /// Connections that have ended.
    pub ended: Arc<AtomicUsize>,
}

impl Peer {
    /// Starts a peer. `script` answers a message; where it returns false, the connection ends.
    ///
    /// # Panics
    /// Panics when no port can be bound.
    pub fn new(script: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let ended = Arc::new(AtomicUsize::new(0));
        let script = Arc::new(script);
        let record = seen.clone();
        let ended_count = ended.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let script = script.clone();
                let record = record.clone();
                let ended_count = ended_count.clone();
                std::thread::spawn(move || {
                    serve(stream, &record, &*script);
                    ended_count.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Peer {
            address,
            seen,
            ended,
        }
    }

    /// How many messages have come.
    ///
    /// # Panics
    /// Panics when a script has panicked.
    #[must_use]
    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

/// Serves one connection until the script or the client ends it.
fn serve(
    mut stream: TcpStream,
    record: &Mutex<Vec<Message>>,
    script: &impl Fn(&Message, &mut TcpStream) -> bool,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    while let Some(message) = Message::read(&mut reader) {
        record.lock().unwrap().push(message.clone());
        if !script(&message, &mut stream) {
            break;
        }
    }
}

/// Writes one chunk of a job's stream; the first opens the answer.
pub fn chunk(stream: &mut TcpStream, first: bool, text: &str) {
    let head = if first {
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    } else {
        ""
    };
    _ = stream.write_all(format!("{head}{:x}\r\n{text}\r\n", text.len()).as_bytes());
}

/// Answers a job with its whole stream, which ends with a result.
///
/// # Panics
/// Panics when the message names no request.
pub fn done(message: &Message, stream: &mut TcpStream, result: &str) -> bool {
    let id = message.field("req-id").expect("an id").to_owned();
    chunk(
        stream,
        true,
        &format!("{{\"id\":\"{id}\",\"from\":\"s\",\"state\":\"started\"}}\n"),
    );
    chunk(
        stream,
        false,
        &format!("{{\"id\":\"{id}\",\"from\":\"s\",\"state\":\"done\",\"result\":\"{result}\"}}\n"),
    );
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// A worker that serves everything.
#[must_use]
pub fn good() -> Peer {
    Peer::new(|message, stream| done(message, stream, "made"))
}

/// Answers with a status and fields, and no body.
pub fn status(stream: &mut TcpStream, line: &str) -> bool {
    stream
        .write_all(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").as_bytes())
        .is_ok()
}
