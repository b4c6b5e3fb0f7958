//! Clients: an open load on all running schedulers, with the outcome of each request in the history.
//!
//! Connections are pooled for each scheduler. A request is sent once, unless its clients retry.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use oakshed_standin::fleet::now_us;
use tokio::net::TcpStream;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

use crate::history::{self, End, History};
use crate::settings::{Class, Effect};
use crate::world::World;

/// How much longer than its deadline a client waits for an answer.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections that are pooled for one scheduler.
const IDLE_CONNECTIONS: usize = 16;
/// Requests in flight; further ones are not sent, as a load of clients is bounded too.
const MOST_IN_FLIGHT: usize = 4_096;

/// How long a client retries, in microseconds, and after what pause.
const RETRY_FOR: u64 = 40_000_000;
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// One request in so many has a client that disconnects after so long, where clients do so.
const CANCEL_ONE_IN: usize = 8;
const CANCEL_AFTER: Duration = Duration::from_millis(30);

/// One request in so many has a key in its path, where there are keys.
const KEYED_ONE_IN: usize = 3;

type Sender = SendRequest<Full<Bytes>>;

/// A connection to a scheduler.
struct Connection {
    sender: Sender,
    dialled: u64,
}

struct Pool {
    front: SocketAddr,
    idle: RefCell<Vec<Connection>>,
}

impl Pool {
    async fn connection(&self) -> Option<Connection> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let Some(mut connection) = idle else {
                break;
            };
            if connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
        let dialled = now_us();
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.front))
            .await
            .ok()?
            .ok()?;
        _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(connection);
        Some(Connection { sender, dialled })
    }

    /// Sends a request and waits for its end.
    async fn send(&self, class: &Class, id: &str, key: Option<u64>) -> Sent {
        let dialled = Cell::new(now_us());
        let limit = Duration::from_millis(class.deadline_ms) + ANSWER_MARGIN;
        let answer = self.answer(class, id, key, &dialled);
        let end = timeout(limit, answer).await.unwrap_or(End::TimedOut);
        Sent {
            end,
            dialled: dialled.get(),
        }
    }

    /// Sends a request and waits for its answer, without a limit; sets when its connection was dialled.
    async fn answer(&self, class: &Class, id: &str, key: Option<u64>, dialled: &Cell<u64>) -> End {
        // An idle connection may end just as it is taken: what hyper did not write may be sent again.
        for _ in 0..IDLE_CONNECTIONS {
            let Some(mut connection) = self.connection().await else {
                return End::Unsent;
            };
            dialled.set(connection.dialled);
            let request = request(class, id, key);
            let response = match connection.sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut e) => match e.take_message() {
                    Some(_) => continue,
                    None => return End::Disconnected,
                },
            };
            let status: StatusCode = response.status();
            if response.into_body().collect().await.is_err() {
                return End::Disconnected;
            }
            let mut idle = self.idle.borrow_mut();
            if idle.len() < IDLE_CONNECTIONS {
                idle.push(connection);
            }
            return End::Answer(status.as_u16());
        }
        End::Unsent
    }
}

/// How a request that was sent ended.
struct Sent {
    end: End,
    /// When the connection that it was sent on was dialled.
    dialled: u64,
}

fn request(class: &Class, id: &str, key: Option<u64>) -> Request<Full<Bytes>> {
    let path = match key {
        Some(key) => format!("/{}/{key}", class.name),
        None => format!("/{}", class.name),
    };
    let mut request = Request::post(path)
        .header("Host", "backend.local")
        .header("Req-Id", id)
        .header("Req-Kind", class.name)
        .header("Req-Owner", "storholt-bilar")
        .header("Req-Deadline-Ms", class.deadline_ms)
        .header("Req-Extra", "slots=1");
    if matches!(class.effect, Effect::Guarded(..)) {
        request = request.header("Idempotency-Key", id);
    }
    request.body(Full::from("body")).expect("a request")
}

/// How clients behave.
#[derive(Clone, Copy, Default)]
struct Clients {
    /// They retry with the same id until they have a final answer.
    retry: bool,
    /// Some disconnect before their answer comes.
    cancel: bool,
    /// Some requests have one of so many keys in their path.
    keys: Option<u64>,
}

struct Shared {
    history: History,
    classes: Vec<Class>,
    pools: Vec<Pool>,
    clients: Clients,
    stop: Cell<bool>,
    in_flight: Cell<usize>,
    sent: Cell<usize>,
}

/// A load that goes on until it is ended.
pub struct Load(Rc<Shared>);

impl Load {
    /// Sends so many requests a second, each to a random scheduler.
    #[must_use]
    pub fn start(world: &World, per_second: f64, seed: u64) -> Load {
        Load::of(world, per_second, seed, Clients::default())
    }

    /// As [`Load::start`], where some requests have one of so many keys in their path.
    #[must_use]
    pub fn keyed(world: &World, per_second: f64, seed: u64, keys: u64) -> Load {
        let clients = Clients {
            keys: Some(keys),
            ..Clients::default()
        };
        Load::of(world, per_second, seed, clients)
    }

    /// As [`Load::start`], of clients of which some disconnect early.
    #[must_use]
    pub fn cancelling(world: &World, per_second: f64, seed: u64) -> Load {
        let clients = Clients {
            cancel: true,
            ..Clients::default()
        };
        Load::of(world, per_second, seed, clients)
    }

    /// As [`Load::start`], of clients that retry with the same id until their answer is final: 200, or 502 for
    /// what may have run. For durable jobs, where an id names a job permanently.
    #[must_use]
    pub fn retrying(world: &World, per_second: f64, seed: u64) -> Load {
        let clients = Clients {
            retry: true,
            ..Clients::default()
        };
        Load::of(world, per_second, seed, clients)
    }

    fn of(world: &World, per_second: f64, seed: u64, clients: Clients) -> Load {
        let pool = |s: &crate::scheduler::Scheduler| Pool {
            front: s.front,
            idle: RefCell::default(),
        };
        let shared = Rc::new(Shared {
            history: world.history.clone(),
            classes: world.setup.deployment.classes.clone(),
            pools: world.schedulers.iter().map(pool).collect(),
            clients,
            stop: Cell::new(false),
            in_flight: Cell::new(0),
            sent: Cell::new(0),
        });
        tokio::task::spawn_local(shared.clone().send_all(per_second, seed));
        Load(shared)
    }

    /// How many were sent.
    #[must_use]
    pub fn sent(&self) -> usize {
        self.0.sent.get()
    }

    /// Sends no more, and waits until each request has ended, at most for a client's patience.
    pub async fn end(&self) {
        self.0.stop.set(true);
        while self.0.in_flight.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Shared {
    async fn send_all(self: Rc<Self>, per_second: f64, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut pace = interval(Duration::from_secs_f64(1.0 / per_second));
        pace.set_missed_tick_behavior(MissedTickBehavior::Burst);
        while !self.stop.get() {
            pace.tick().await;
            let scheduler = rng.usize(..self.pools.len());
            let class = self.draw_class(&mut rng);
            if self.in_flight.get() >= MOST_IN_FLIGHT {
                continue;
            }
            let n = self.sent.get();
            self.sent.set(n + 1);
            self.in_flight.set(self.in_flight.get() + 1);
            let cancels = self.clients.cancel && n % CANCEL_ONE_IN == 0;
            let keys = self.clients.keys.filter(|_| n % KEYED_ONE_IN == 0);
            let planned = PlannedRequest {
                scheduler,
                id: format!("{seed:x}-{n}"),
                class,
                key: keys.map(|keys| rng.u64(..keys)),
                cancel_after: cancels.then_some(CANCEL_AFTER),
            };
            tokio::task::spawn_local(self.clone().send_one(planned));
        }
    }

    /// The index of a class, drawn by weight.
    fn draw_class(&self, rng: &mut fastrand::Rng) -> usize {
        let all: u32 = self.classes.iter().map(|c| c.weight).sum();
        let mut drawn = rng.u32(..all);
        for (index, class) in self.classes.iter().enumerate() {
            if drawn < class.weight {
                return index;
            }
            drawn -= class.weight;
        }
        unreachable!("drawn below the sum of the weights")
    }

    async fn send_one(self: Rc<Self>, planned: PlannedRequest) {
        let PlannedRequest {
            scheduler,
            id,
            class,
            key,
            cancel_after,
        } = planned;
        let sent = now_us();
        let kind = &self.classes[class];
        let answer = self.pools[scheduler].send(kind, &id, key);
        let cancelled = Sent {
            end: End::Cancelled,
            dialled: sent,
        };
        let mut last = match cancel_after {
            Some(after) => timeout(after, answer).await.unwrap_or(cancelled),
            None => answer.await,
        };
        let mut patience = kind.deadline_ms * 1_000;
        if self.clients.retry {
            patience = RETRY_FOR;
            while !matches!(last.end, End::Answer(200 | 502)) && now_us() < sent + RETRY_FOR {
                sleep(RETRY_PAUSE).await;
                last = self.pools[scheduler].send(kind, &id, key).await;
            }
        }
        self.history.ended(history::Request {
            id,
            scheduler,
            class,
            once: kind.effect == Effect::Once,
            patience,
            sent,
            dialled: last.dialled,
            ended: now_us(),
            end: last.end,
        });
        self.in_flight.set(self.in_flight.get() - 1);
    }
}

/// A request as it was drawn.
struct PlannedRequest {
    scheduler: usize,
    id: String,
    class: usize,
    key: Option<u64>,
    /// How soon its client disconnects, if it does.
    cancel_after: Option<Duration>,
}
