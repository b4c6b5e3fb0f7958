//! A stand-in worker: slots, a first-come queue, the stream of a job, and leases.
//!
//! It serves the worker's side of the protocol on a loopback socket, with a thread for each connection. Whether
//! a job may start is decided by the ledger.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::ledger::Ledger;
use crate::message::Message;
use crate::peer::{chunk, status};

/// The size and behaviour of a worker.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Jobs that run at once.
    pub slots: usize,
    /// Jobs that may wait for one; further ones are declined.
    pub queue: usize,
    /// How long a job runs.
    pub service: Duration,
    /// Between two progress lines of a running job.
    pub progress: Duration,
    /// The ledger's file.
    pub ledger: Option<PathBuf>,
    /// Whether it implements leases.
    pub leases: bool,
}

impl Default for WorkerOptions {
    fn default() -> Self {
        WorkerOptions {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 4,
            queue: 16,
            service: Duration::from_millis(20),
            progress: Duration::from_millis(250),
            ledger: None,
            leases: true,
        }
    }
}

/// The slots, and the jobs that wait for one in order.
struct Slots {
    free: usize,
    queue: VecDeque<u64>,
    last_ticket: u64,
}

struct Shared {
    options: WorkerOptions,
    ledger: Mutex<Ledger>,
    slots: Mutex<Slots>,
    freed: Condvar,
}

/// A worker that listens; its threads end with the process.
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    /// Since when its memory is complete, in Unix time milliseconds.
    pub since_ms: u64,
}

impl Worker {
    /// Opens the ledger, listens, and serves from then on.
    ///
    /// # Errors
    /// Fails when the ledger cannot be opened or the address cannot be bound.
    pub fn start(options: WorkerOptions) -> std::io::Result<Worker> {
        let ledger = Ledger::open(options.ledger.as_deref())?;
        let listener = TcpListener::bind(options.listen)?;
        let worker = Worker {
            address: listener.local_addr()?,
            since_ms: ledger.since_ms(),
        };
        let slots = Slots {
            free: options.slots,
            queue: VecDeque::new(),
            last_ticket: 0,
        };
        let shared = Arc::new(Shared {
            options,
            ledger: Mutex::new(ledger),
            slots: Mutex::new(slots),
            freed: Condvar::new(),
        });
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve_connection(stream));
            }
        });
        Ok(worker)
    }
}

impl Shared {
    fn serve_connection(&self, mut stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let Ok(other) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(other);
        while let Some(message) = Message::read(&mut reader) {
            let path = message.first.split(' ').nth(1).unwrap_or("").to_owned();
            let keep_alive = match path.strip_prefix("/leases/") {
                Some(rest) if self.options.leases => self.lease(rest, &message, &mut stream),
                _ if message.first.starts_with("POST ") => self.job(&message, &mut stream),
                _ => status(&mut stream, "404 Not Found"),
            };
            if !keep_alive {
                return;
            }
        }
    }

    fn lease(&self, rest: &str, message: &Message, stream: &mut TcpStream) -> bool {
        if rest == "safe" {
            let text = String::from_utf8_lossy(&message.body);
            let mut ledger = self.ledger.lock().expect("not poisoned");
            ledger.all_safe(&text);
            return status(stream, "200 OK");
        }
        let token = message.field("lease-token").and_then(|t| t.parse().ok());
        let (Some((id, verb)), Some(token)) = (rest.split_once('/'), token) else {
            return status(stream, "400 Bad Request");
        };
        let mut ledger = self.ledger.lock().expect("not poisoned");
        if verb != "fence" {
            return status(stream, "404 Not Found");
        }
        let Ok(body) = ledger.fence_answer(id, token) else {
            return status(stream, "500 Internal Server Error");
        };
        drop(ledger);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).is_ok()
    }

    /// Waits for a slot in order; returns false where the queue is full.
    fn acquire_slot(&self) -> bool {
        let mut slots = self.slots.lock().expect("not poisoned");
        if slots.free == 0 && slots.queue.len() >= self.options.queue {
            return false;
        }
        slots.last_ticket += 1;
        let ticket = slots.last_ticket;
        slots.queue.push_back(ticket);
        while slots.free == 0 || slots.queue.front() != Some(&ticket) {
            slots = self.freed.wait(slots).expect("not poisoned");
        }
        slots.queue.pop_front();
        slots.free -= 1;
        drop(slots);
        self.freed.notify_all();
        true
    }

    fn job(&self, message: &Message, stream: &mut TcpStream) -> bool {
        let Some(request) = message.field("req-id").map(str::to_owned) else {
            return status(stream, "404 Not Found");
        };
        let declined = |stream: &mut TcpStream| {
            let head =
                "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(head.as_bytes()).is_ok()
        };
        if !self.acquire_slot() {
            return declined(stream);
        }
        let id = message.field("lease-id").unwrap_or(&request).to_owned();
        let token = message
            .field("lease-token")
            .and_then(|t| t.parse().ok())
            .unwrap_or(1);
        let may_start = self.ledger.lock().expect("not poisoned").start(&id, token);
        let keep_alive = match may_start {
            Ok(true) => self.run(&id, &request, stream),
            Ok(false) => declined(stream),
            Err(_) => false,
        };
        self.slots.lock().expect("not poisoned").free += 1;
        self.freed.notify_all();
        keep_alive
    }

    /// Runs the job to its end, whether or not anyone still listens.
    fn run(&self, id: &str, request: &str, stream: &mut TcpStream) -> bool {
        let line = |state: &str| {
            format!("{{\"id\":\"{request}\",\"from\":\"s\",\"state\":\"{state}\"}}\n")
        };
        chunk(stream, true, &line("started"));
        let mut left = self.options.service;
        while left > self.options.progress {
            std::thread::sleep(self.options.progress);
            left -= self.options.progress;
            chunk(stream, false, &line("running"));
        }
        std::thread::sleep(left);
        let result = format!("made {id}");
        if self
            .ledger
            .lock()
            .expect("not poisoned")
            .done(id, &result)
            .is_err()
        {
            return false;
        }
        let line = format!(
            "{{\"id\":\"{request}\",\"from\":\"s\",\"state\":\"done\",\"result\":\"{result}\"}}\n"
        );
        chunk(stream, false, &line);
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}
