//! The load: jobs at a steady rate over reused connections, whether or not earlier ones are answered.
//!
//! No job is sent again, and none is delayed by a late one: where all connections are busy, one more is opened.

use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

type Sender = SendRequest<Full<Bytes>>;

/// Connections to the process under test, and the number of jobs sent.
pub struct Load {
    address: SocketAddr,
    idle: Rc<RefCell<VecDeque<Sender>>>,
    numbered: RefCell<u64>,
}

/// The answers to the jobs.
#[derive(Default)]
pub struct Answers {
    served: u32,
    others: u32,
    opened: u32,
    times: Vec<Duration>,
}

impl Answers {
    pub fn sent(&self) -> u32 {
        self.served + self.others
    }
}

impl fmt::Display for Answers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = |percent: usize| {
            let time = self
                .times
                .get(self.times.len() * percent / 100)
                .copied()
                .unwrap_or_default();
            time.as_secs_f64() * 1e3
        };
        let Answers {
            served,
            others,
            opened,
            ..
        } = self;
        let p50 = at(50);
        let p99 = at(99);
        write!(
            f,
            "served {served}, else {others}, dialled {opened}, p50 {p50:.1} ms, p99 {p99:.1} ms"
        )
    }
}

impl Load {
    pub async fn connect(address: SocketAddr, clients: usize) -> io::Result<Load> {
        let mut idle = VecDeque::new();
        for _ in 0..clients {
            idle.push_back(dial(address).await?);
        }
        Ok(Load {
            address,
            idle: Rc::new(RefCell::new(idle)),
            numbered: RefCell::new(0),
        })
    }

    /// Sends so many jobs at a rate, and waits for all answers.
    pub async fn run(&self, jobs: u32, rate: u32) -> Answers {
        let start = Instant::now();
        let interval = Duration::from_secs(1) / rate.max(1);
        let mut answers = Answers::default();
        let mut in_flight = JoinSet::new();
        for n in 0..jobs {
            let planned = start + interval * n;
            tokio::time::sleep_until(planned).await;
            let number = self.numbered.replace_with(|n| *n + 1);
            let reused = self.idle.borrow_mut().pop_front();
            answers.opened += u32::from(reused.is_none());
            let address = self.address;
            let idle = self.idle.clone();
            in_flight.spawn_local(async move {
                let answer = send_job(reused, address, number, &idle).await;
                (answer.ok(), planned.elapsed())
            });
            while let Some(Ok(ended)) = in_flight.try_join_next() {
                answers.take(ended);
            }
        }
        while let Some(Ok(ended)) = in_flight.join_next().await {
            answers.take(ended);
        }
        answers
    }
}

impl Answers {
    pub fn add(&mut self, more: Answers) {
        self.served += more.served;
        self.others += more.others;
        self.opened += more.opened;
        self.times.extend(more.times);
        self.times.sort();
    }

    fn take(&mut self, (status, time): (Option<StatusCode>, Duration)) {
        match status {
            Some(StatusCode::OK) => self.served += 1,
            _ => self.others += 1,
        }
        self.times.push(time);
    }
}

async fn dial(address: SocketAddr) -> io::Result<Sender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let made = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = made.map_err(io::Error::other)?;
    tokio::task::spawn_local(connection);
    Ok(sender)
}

/// One job in the platform's form; a third are keyed.
async fn send_job(
    reused: Option<Sender>,
    address: SocketAddr,
    number: u64,
    idle: &RefCell<VecDeque<Sender>>,
) -> Result<StatusCode, Box<dyn std::error::Error>> {
    let mut sender = match reused {
        Some(sender) => sender,
        None => dial(address).await?,
    };
    let class = if number % 3 == 0 {
        "new-plate"
    } else {
        "transfer"
    };
    let mut request = Request::post(format!("/{class}"))
        .header(HOST, "backend.local")
        .header("req-id", format!("price-{number}"))
        .header("req-kind", class)
        .header("req-owner", "storholt-bilar")
        .header("req-deadline-ms", "5000")
        .header("req-extra", "slots=1");
    if number % 3 == 0 {
        request = request.header("idempotency-key", format!("key-{number}"));
    }
    let answer = sender
        .send_request(request.body(Full::from("body"))?)
        .await?;
    let status = answer.status();
    answer.into_body().collect().await?;
    sender.ready().await?;
    idle.borrow_mut().push_back(sender);
    Ok(status)
}
