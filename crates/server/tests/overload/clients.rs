//! Ordinary clients at a steady rate, on connections that are kept for the next request.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use oakshed_standin::Message;

use crate::crowd::{fresh_id, head};

/// Requests a second.
const RATE: f64 = 30.0;
/// A client gives up after this: the deadline of its request and half a second.
const PATIENCE: Duration = Duration::from_millis(5_500);
/// The part of the requests that open a new connection.
const NEW_CONNECTION_EVERY: usize = 3;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Rejected,
    Failed,
    /// No whole answer came.
    Lost,
}

/// The ends of requests, with how long each took.
#[derive(Default, Debug)]
pub struct Outcomes(Vec<(End, Duration)>);

impl Outcomes {
    pub fn total(&self) -> usize {
        self.0.len()
    }

    pub fn count(&self, end: End) -> usize {
        self.0.iter().filter(|(e, _)| *e == end).count()
    }

    /// The time within which a part of the requests was answered.
    pub fn quantile(&self, part: f64) -> Duration {
        let mut times: Vec<Duration> = self.0.iter().map(|(_, time)| *time).collect();
        times.sort();
        let last = times.len().saturating_sub(1);
        times
            .get((last as f64 * part) as usize)
            .copied()
            .unwrap_or_default()
    }

    pub fn summary(&self) -> String {
        format!(
            "{} requests: {} served, {} rejected, {} failed, {} lost; median {:?}, 99% {:?}, worst {:?}",
            self.total(),
            self.count(End::Served),
            self.count(End::Rejected),
            self.count(End::Failed),
            self.count(End::Lost),
            self.quantile(0.5),
            self.quantile(0.99),
            self.quantile(1.0)
        )
    }
}

/// Sends a request; also returns the connection if it can be used again. `None` if the connection ended without a
/// single byte of an answer.
fn exchange(mut stream: TcpStream, text: &str) -> Option<(End, Option<TcpStream>)> {
    _ = stream.set_read_timeout(Some(PATIENCE));
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(&stream);
    let mut first = [0];
    match reader.read(&mut first) {
        Ok(1) => {}
        Ok(_) => return None,
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
            return Some((End::Lost, None))
        }
        Err(_) => return None,
    }
    let Some(answer) = Message::read(&mut (&first[..]).chain(reader)) else {
        return Some((End::Lost, None));
    };
    let end = match answer.status() {
        200 => End::Served,
        429 | 503 => End::Rejected,
        _ => End::Failed,
    };
    let closes = answer
        .field("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    Some((end, (!closes).then_some(stream)))
}

/// Sends one request. A connection that ended without an answer did not carry it, so it is sent once more.
fn send_one(address: SocketAddr, kept: &Mutex<Vec<TcpStream>>, class: &str, fresh: bool) -> End {
    let id = fresh_id("ordinary");
    let text = head(class, "k", &id) + "Content-Length: 4\r\n\r\nbody";
    let reused = if fresh {
        None
    } else {
        kept.lock().expect("not poisoned").pop()
    };
    let on_kept = reused.and_then(|stream| exchange(stream, &text));
    let on_new = || exchange(TcpStream::connect_timeout(&address, PATIENCE).ok()?, &text);
    match on_kept.or_else(on_new).or_else(on_new) {
        Some((end, stream)) => {
            kept.lock().expect("not poisoned").extend(stream);
            end
        }
        None => End::Lost,
    }
}

/// Ordinary clients, which send until they are stopped.
pub struct OrdinaryClients {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Outcomes>>,
    open: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl OrdinaryClients {
    pub fn start(address: SocketAddr) -> OrdinaryClients {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes: Arc<Mutex<Outcomes>> = Arc::default();
        let open = Arc::new(AtomicUsize::new(0));
        let (stopped, record, in_progress) = (stop.clone(), outcomes.clone(), open.clone());
        let thread = std::thread::spawn(move || {
            let kept: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
            let start = Instant::now();
            for number in 0.. {
                let due = start + Duration::from_secs_f64(f64::from(number) / RATE);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if stopped.load(Ordering::SeqCst) {
                    break;
                }
                let (record, kept, open) = (record.clone(), kept.clone(), in_progress.clone());
                open.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    let class = ["transfer", "new-plate"][number as usize % 2];
                    let fresh = number as usize % NEW_CONNECTION_EVERY == 0;
                    let begin = Instant::now();
                    let end = send_one(address, &kept, class, fresh);
                    let mut outcomes = record.lock().expect("not poisoned");
                    outcomes.0.push((end, begin.elapsed()));
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        OrdinaryClients {
            stop,
            outcomes,
            open,
            thread: Some(thread),
        }
    }

    /// Stops sending, waits for the last answers, and returns all ends.
    pub fn finish(mut self) -> Outcomes {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
        oakshed_standin::until("the last answers", || self.open.load(Ordering::SeqCst) == 0);
        let outcomes = std::mem::take(&mut *self.outcomes.lock().expect("not poisoned"));
        println!("{}", outcomes.summary());
        outcomes
    }
}

impl Drop for OrdinaryClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}
