//! The clients' side: the listener, the clients' connections, and one handler for each req.
//!
//! It owns the reading of the platform's client protocol and the writing of answers. It must never
//! decide what a req gets (each step comes from the facade's `pick`), hold an answer back, or let
//! what is malformed reach a backend.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, ALLOW, CONNECTION, CONTENT_TYPE, HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashSet;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tracing::warn;

use super::backends::{self, Fetch, Order, Whose};
use super::durable;
use super::reader::{Intake, Reader, ARRIVAL, LONGEST_HEAD};
use super::Net;
use oakshed_core::facade::{Ending, Job, Micros, Req, Seen, Step};
use oakshed_core::figures::{End, Entry};
use oakshed_core::interface::Effect;
use oakshed_core::names;

/// The largest body of a req.
const LARGEST_BODY: usize = 64 << 10;
/// The longest `Req-Id`.
const LONGEST_ID: usize = 128;
/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// How long to wait where accepting fails for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a connection that is to close is read once more.
const LAST_LOOK: Duration = Duration::from_millis(50);
/// How long a connection that is to close may stand without a req.
const CLOSE_WAIT: Duration = Duration::from_secs(1);
/// How long a body may take to arrive: its client is then told so, before the whole is overdue.
const BODY_WAIT: Duration = ARRIVAL.saturating_sub(Duration::from_millis(200));
/// The time that a new connection has to bring a req before it is the first to make room, in
/// microseconds.
const GRACE: Micros = 200_000;
/// Between two looks at what is overdue.
const SWEEP: Duration = Duration::from_millis(250);
/// The most bytes, and for how long, that are still read from a client after an answer that closes.
const LINGER_BYTES: usize = 256 << 10;
const LINGER: Duration = Duration::from_millis(200);
/// The answer to what cannot be read.
const UNREADABLE: &[u8] = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Bodies may take this part of the memory.
const BODIES_PART: usize = 8;

static REQ_ID: HeaderName = HeaderName::from_static("req-id");
static REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
pub(super) static REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
static REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");
static REQ_EXTRA: HeaderName = HeaderName::from_static("req-extra");
pub(super) static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

// ---- Connections ----

/// Binds the one address given. `shared` lets the next process of this scheduler bind it too.
pub(crate) fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    let bound = socket.bind(address).and_then(|()| socket.listen(BACKLOG));
    bound.map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {address}: {e}")))
}

/// A client's connection.
struct Client {
    /// Since when no whole req is under way on it.
    idle_since: Cell<Option<Micros>>,
    /// It has brought a whole req.
    known: Cell<bool>,
    told_to_close: Cell<bool>,
    close: Notify,
    intake: Rc<Intake>,
}

impl Client {
    fn close(&self) {
        self.told_to_close.set(true);
        self.close.notify_one();
    }
}

/// The clients' connections.
#[derive(Default)]
struct Clients {
    open: RefCell<Vec<Rc<Client>>>,
    changed: Notify,
}

impl Clients {
    /// Asks the connection that is missed least to close; tells whether there was one. First goes who has
    /// said nothing in the time to bring a req, longest first; then whose req has begun and makes no
    /// progress; then who is idle between reqs; last who came just now. Never one whose req is taken, or
    /// still comes in, however slowly. Guards against usual clients that lose theirs to hundreds that say
    /// nothing or half of something, and against closing, in a full house, always on the one just accepted.
    fn close_one(&self, now: Micros) -> bool {
        let at = tokio::time::Instant::now();
        let rank = |c: &Client, since: Micros| match c.intake.part(at) {
            Some(true) => None,
            Some(false) => Some(1),
            None if c.known.get() => Some(2),
            None if now > since + GRACE => Some(0),
            None => Some(3),
        };
        let open = self.open.borrow();
        let staying = open.iter().filter(|c| !c.told_to_close.get());
        let ranked = |c: &Rc<Client>| c.idle_since.get().and_then(|since| Some((rank(c, since)?, since)));
        let least = staying.filter_map(|c| Some((ranked(c)?, c))).min_by_key(|(key, _)| *key);
        least.map(|(_, client)| client.close()).is_some()
    }

    async fn all_gone(&self) {
        while !self.open.borrow().is_empty() {
            self.changed.notified().await;
        }
    }

    /// Closes the one idle for longest of those that have brought a req, where these are too many.
    /// Guards against clients that ask once and stay: the platform gives us no more connections for
    /// reqs than a third of the descriptors, and turns usual clients away from there on.
    fn keep_room(&self, sockets: usize, now: Micros) {
        let open = self.open.borrow();
        let known = || open.iter().filter(|c| c.known.get() && !c.told_to_close.get());
        let most = sockets / 3 * 3 / 4;
        if open.len() > most && known().count() > most {
            // One that was answered just now may not have all of its answer yet.
            let begun = |c: &Client| c.intake.part(tokio::time::Instant::now()).is_some();
            let idle = known().filter(|c| !begun(c));
            let idle = idle.filter_map(|c| Some((c.idle_since.get().filter(|at| now > at + GRACE)?, c)));
            idle.min_by_key(|(since, _)| *since).into_iter().for_each(|(_, client)| client.close());
        }
    }
}

/// Closes connections whose req began too long ago and is not there yet; one that never said
/// anything is such a one, one that is idle between reqs is not.
async fn sweep(net: Rc<Net>, clients: Rc<Clients>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let now = tokio::time::Instant::now();
        for client in clients.open.borrow().iter().filter(|c| c.intake.overdue(now)) {
            net.count(|c| &mut c.overdue_reqs);
            client.close();
        }
    }
}

/// Accepts and serves until the program is to close, and then until every connection has ended.
pub(crate) async fn run(net: &Rc<Net>, listener: TcpListener) {
    let clients = Rc::new(Clients::default());
    tokio::task::spawn_local(sweep(net.clone(), clients.clone()));
    let mut told = net.closing.subscribe();
    let mut closing = pin!(told.wait_for(|closing| *closing));
    let mut told = net.handed.subscribe();
    let mut handed = pin!(told.wait_for(|handed| *handed));
    loop {
        // A full house accepts nobody until an idle connection has made room.
        while clients.open.borrow().len() >= net.socket_share() {
            if clients.close_one(net.clock.now()) {
                net.count(|c| &mut c.evicted_clients);
            }
            tokio::select! {
                () = clients.changed.notified() => {}
                () = tokio::time::sleep(ACCEPT_PAUSE) => {}
            }
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = &mut closing => break,
            // The next process accepts from the same queue.
            _ = &mut handed => {
                drop(listener);
                net.others.close();
                return clients.all_gone().await;
            }
        };
        match accepted {
            Ok((stream, _)) => welcome(net, &clients, stream),
            // It ended before it was accepted: nothing of ours is amiss.
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => {
                // Mostly for want of descriptors: trying again at once would spin.
                net.count(|c| &mut c.accept_errors);
                let errors = net.counters.borrow().accept_errors;
                if errors.is_power_of_two() {
                    warn!(errors, "accept failed for the {errors}. time: {e}");
                }
                net.backends.close_oldest();
                clients.close_one(net.clock.now());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Connections that the system has accepted for us may carry reqs already. There may be as many as
    // BACKLOG, and descriptors for fewer: the others wait until one of these has ended.
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        welcome(net, &clients, stream);
        while clients.open.borrow().len() >= net.socket_share() {
            clients.changed.notified().await;
        }
    }
    drop(listener);
    net.others.close();
    clients.all_gone().await;
}

fn welcome(net: &Rc<Net>, clients: &Rc<Clients>, stream: TcpStream) {
    _ = stream.set_nodelay(true);
    let client = Rc::new(Client {
        idle_since: Cell::new(Some(net.clock.now())),
        known: Cell::new(false),
        told_to_close: Cell::new(false),
        close: Notify::new(),
        intake: Rc::new(Intake::new()),
    });
    clients.open.borrow_mut().push(client.clone());
    let (net, clients) = (net.clone(), clients.clone());
    tokio::task::spawn_local(async move {
        let stream = Rc::new(RefCell::new(stream));
        converse(&net, &clients, &client, stream.clone()).await;
        if let Some(stream) = Rc::into_inner(stream).map(RefCell::into_inner) {
            _ = tokio::time::timeout(LINGER, part(&net, &client, &stream)).await;
        }
        clients.open.borrow_mut().retain(|c| !Rc::ptr_eq(c, &client));
        clients.changed.notify_one();
    });
}

/// One connection from its first req to its last.
async fn converse(net: &Rc<Net>, clients: &Clients, client: &Rc<Client>, stream: Rc<RefCell<TcpStream>>) {
    let service = service_fn(|request| async {
        let mut response = respond(net, client, request).await;
        if client.intake.last.get() || *net.handed.borrow() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        client.idle_since.set(Some(net.clock.now()));
        client.intake.answered();
        clients.keep_room(net.config.sockets, net.clock.now());
        Ok::<_, Infallible>(response)
    });
    let reader = TokioIo::new(Reader::new(stream, client.intake.clone()));
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .max_buf_size(LONGEST_HEAD)
        .serve_connection(reader, service);
    let mut connection = pin!(connection);
    let mut closing = net.closing.subscribe();
    loop {
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closing| *closing) => break,
            () = client.close.notified() => {
                let now = tokio::time::Instant::now();
                let comes = client.intake.part(now) == Some(true) && !client.intake.overdue(now);
                if client.idle_since.get().is_some() && !comes {
                    return;
                }
                // A req has come meanwhile, or begun to: another one is to make room.
                client.told_to_close.set(false);
                clients.changed.notify_one();
            }
        }
    }
    // Guards against closing on a req that has arrived but was not read yet: hyper closes a
    // connection without another look, and one accepted last has not been looked at once.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = tokio::time::sleep(LAST_LOOK) => {}
    }
    // Idle: it closes now. Busy: it closes after the answer, which says so.
    connection.as_mut().graceful_shutdown();
    // Guards against a client that has begun a req and never ends it: hyper would wait for it.
    while tokio::time::timeout(CLOSE_WAIT, connection.as_mut()).await.is_err() {
        if client.idle_since.get().is_some() {
            return;
        }
    }
}

/// What is left to do on a connection that hyper is done with: the answer to what cannot be read, of
/// which hyper knows nothing, and reading on for a moment after an answer that closes. The latter
/// guards against a reset, on which a client that still sends may throw the answer away.
async fn part(net: &Net, client: &Client, stream: &TcpStream) {
    if client.intake.unreadable.get() {
        net.count(|c| &mut c.bad_reqs);
        _ = stream.writable().await;
        _ = stream.try_write(UNREADABLE);
    } else if !client.intake.last.get() {
        return;
    }
    _ = super::end_sending(stream);
    let mut buffer = vec![0; 16 << 10];
    let mut left = LINGER_BYTES;
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(n) if (1..left).contains(&n) => left -= n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

// ---- Requests ----

pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

pub(super) fn synthetic(retry_after: Option<Micros>) -> Response<Full<Bytes>> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "try again later\n");
    let value = retry_after.map(|t| format!("{:.3}", t as f64 / 1e6));
    if let Some(value) = value.and_then(|v| HeaderValue::try_from(v).ok()) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

async fn respond(net: &Rc<Net>, client: &Client, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let arrived = net.clock.now();
    let (head, body) = request.into_parts();
    if head.uri.path() == "/ready" {
        return match head.method {
            Method::GET | Method::HEAD if net.can_serve() => plain(StatusCode::OK, "ready\n"),
            Method::GET | Method::HEAD => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            _ => not_allowed("GET, HEAD"),
        };
    }
    if net.durable.is_some() && head.uri.path().starts_with("/jobs/") {
        return durable::job(net, &head).await;
    }
    let class = class_of(net, &head);
    let taken = Taken { net, class, entry: RefCell::new(None) };
    let answer = answer(net, client, &taken, arrived, head, body).await;
    let end = match answer.status() {
        StatusCode::OK => End::Completed,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => End::Rejected,
        // A durable job that goes on without its client: whoever asks for it later is told its end.
        StatusCode::ACCEPTED => End::Abandoned,
        _ => End::Failed,
    };
    taken.entry().end(end);
    answer
}

/// The class that a path names.
fn class_of(net: &Net, head: &Parts) -> Option<usize> {
    let class = head.uri.path().split('/').nth(1);
    net.config.names.classes.iter().position(|c| Some(c.as_str()) == class)
}

/// A req's place in the operators' figures: it counts from when it has arrived in full, or has its
/// answer, whichever comes first.
struct Taken<'a> {
    net: &'a Net,
    class: Option<usize>,
    entry: RefCell<Option<Entry>>,
}

impl Taken<'_> {
    fn arrived(&self) {
        *self.entry.borrow_mut() = Some(self.net.ledger.take(self.class));
    }

    fn entry(&self) -> Entry {
        self.entry.take().unwrap_or_else(|| self.net.ledger.take(self.class))
    }
}

async fn answer(
    net: &Rc<Net>,
    client: &Client,
    taken: &Taken<'_>,
    arrived: Micros,
    head: Parts,
    body: Incoming,
) -> Response<Full<Bytes>> {
    let asked = durable::Asked::read(&head.headers);
    let (job, order, mut held) = match read(net, client, taken.class, arrived, head, body).await {
        Ok(read) => read,
        Err(answer) => {
            net.count(|c| &mut c.bad_reqs);
            return answer;
        }
    };
    client.intake.arrived();
    taken.arrived();
    client.known.set(true);
    client.idle_since.set(None);
    if net.durable.is_some() {
        return durable::handle(net, &job, order, &asked).await;
    }
    if !held.claim(&order.id) {
        net.count(|c| &mut c.bad_reqs);
        return plain(StatusCode::CONFLICT, "another open req has this Req-Id\n");
    }
    handle(net, &job, Rc::new(Order { _held: Some(held), ..order })).await
}

/// The ids of the open reqs, and the bytes of their bodies and of those under way.
#[derive(Default)]
pub(crate) struct Open {
    ids: RefCell<FxHashSet<HeaderValue>>,
    bodies: Cell<usize>,
}

impl Open {
    pub(super) fn ids(&self) -> usize {
        self.ids.borrow().len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bodies.get()
    }
}

/// What one req holds of these, for as long as its handler or a fetch has its order: where attempts may
/// not be cancelled, a fetch outlives its client.
pub(crate) struct Held {
    net: Rc<Net>,
    id: Option<HeaderValue>,
    body: usize,
}

impl Held {
    /// Room for a body. Guards against many large ones at once, which would end the program.
    fn room(net: &Rc<Net>, body: usize) -> Option<Held> {
        let bodies = net.open.bodies.get() + body;
        if bodies > net.config.memory / BODIES_PART / net.others.sharers() {
            return None;
        }
        net.open.bodies.set(bodies);
        Some(Held { net: net.clone(), id: None, body })
    }

    /// The id, unless another open req has it: a backend's answer could not be told apart.
    fn claim(&mut self, id: &HeaderValue) -> bool {
        let new = self.net.open.ids.borrow_mut().insert(id.clone());
        self.id = new.then(|| id.clone());
        new
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let open = &self.net.open;
        open.bodies.set(open.bodies.get() - self.body);
        self.id.take().into_iter().for_each(|id| _ = open.ids.borrow_mut().remove(&id));
    }
}

pub(super) fn not_allowed(allow: &'static str) -> Response<Full<Bytes>> {
    let mut answer = plain(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n");
    answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
    answer
}

/// Takes out of a request what the decisions need and keeps the rest as it came. What no backend
/// should see is answered here.
async fn read(
    net: &Rc<Net>,
    client: &Client,
    class: Option<usize>,
    arrived: Micros,
    head: Parts,
    body: Incoming,
) -> Result<(Job, Order, Held), Response<Full<Bytes>>> {
    let bad = |text| plain(StatusCode::BAD_REQUEST, text);
    // What is left of the body is not read: nothing can follow it.
    let last = |status, text| {
        client.intake.last.set(true);
        plain(status, text)
    };
    let too_large = || last(StatusCode::PAYLOAD_TOO_LARGE, "body too large\n");
    let Some(target) = head.uri.path_and_query().cloned() else { return Err(bad("no path\n")) };
    let names = &net.config.names;
    let mut parts = target.path().split('/').skip(2);
    let Some(class) = class else { return Err(plain(StatusCode::NOT_FOUND, "no such class\n")) };
    let key = parts.next().filter(|key| !key.is_empty());
    if parts.next().is_some() {
        return Err(plain(StatusCode::NOT_FOUND, "no such path\n"));
    }
    if head.method != Method::POST {
        return Err(not_allowed("POST"));
    }
    let mut fields = head.headers;
    if fields.get(&REQ_KIND).is_some_and(|kind| kind != names.classes[class].as_str()) {
        return Err(bad("Req-Kind is not the path's class\n"));
    }
    let usable = |id: &HeaderValue| {
        (1..=LONGEST_ID).contains(&id.len()) && id.as_bytes().iter().all(u8::is_ascii_graphic)
    };
    let mut ids = fields.get_all(&REQ_ID).iter();
    let (Some(id), None) = (ids.next().filter(|id| usable(id)).cloned(), ids.next()) else {
        return Err(bad("no usable Req-Id\n"));
    };
    let c = &net.config.settings.classes[class];
    if c.effect == Effect::Keyed && !fields.contains_key(&IDEMPOTENCY_KEY) {
        return Err(bad("no Idempotency-Key\n"));
    }
    let text = |name: &HeaderName| fields.get(name).and_then(|v| v.to_str().ok());
    let wait = match text(&REQ_DEADLINE) {
        // A number too large for any clock is a number; the class's time is the longest anyway.
        Some(t) if !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit()) => {
            t.parse::<u64>().map_or(c.deadline, |ms| ms.saturating_mul(1_000).min(c.deadline))
        }
        None if !fields.contains_key(&REQ_DEADLINE) => c.deadline,
        _ => return Err(bad("Req-Deadline-Ms is not a whole number\n")),
    };
    let deadline = arrived + wait;
    let tenant = text(&REQ_OWNER).and_then(|t| names.tenants.iter().position(|n| n == t));
    let extra = |name: &str| {
        let mut pairs = text(&REQ_EXTRA)?.split(',').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(n, _)| n.trim() == name)?
            .1
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|x| x.is_finite() && *x >= 0.0)
    };
    let mut job = Job {
        class: class as u32,
        tenant: tenant.map(|t| t as u32),
        slots: extra("slots"),
        memory: extra("memory"),
        // Where a path goes on after the class, it ends with what the req concerns.
        key: key.map(names::number_of),
        hint: None,
        remaining: 0,
    };
    let size = body.size_hint();
    if size.lower() > LARGEST_BODY as u64 {
        return Err(too_large());
    }
    let Some(held) = Held::room(net, size.exact().map_or(LARGEST_BODY, |n| n as usize)) else {
        net.count(|c| &mut c.no_room);
        let s = &net.config.settings;
        client.intake.last.set(true);
        return Err(synthetic(s.retry_after.then_some(s.max_retry_after / 2)));
    };
    let body = Limited::new(body, LARGEST_BODY).collect();
    let by = net.clock.instant(deadline).min(tokio::time::Instant::now() + BODY_WAIT);
    let body = match tokio::time::timeout_at(by, body).await {
        Err(_) => return Err(last(StatusCode::REQUEST_TIMEOUT, "the body never came\n")),
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => return Err(too_large()),
        Ok(Err(_)) => return Err(last(StatusCode::BAD_REQUEST, "broken body\n")),
    };
    job.remaining = deadline.saturating_sub(net.clock.now());
    let mut headers = HeaderMap::with_capacity(8);
    for name in [HOST, CONTENT_TYPE, REQ_ID.clone(), IDEMPOTENCY_KEY.clone(), REQ_KIND.clone()] {
        if let Some(value) = fields.remove(&name) {
            headers.insert(name, value);
        }
    }
    if !headers.contains_key(HOST) {
        return Err(bad("no Host\n"));
    }
    // A durable job outlives a stop; only its client's wait is cut.
    let deadline = if net.durable.is_some() { deadline } else { net.bounded(arrived, deadline) };
    Ok((job, Order { method: head.method, target, headers, id, body, deadline, _held: None }, held))
}

/// A req from its arrival to its answer. Where its client goes away first, hyper drops it, and
/// what is still out is given up.
struct Handler<'a> {
    net: &'a Rc<Net>,
    req: Req,
    fetches: Vec<Fetch>,
}

impl Drop for Handler<'_> {
    fn drop(&mut self) {
        let drops = self.net.facade.borrow_mut().leave(self.net.clock.now(), self.req);
        drops.into_iter().filter_map(|n| self.fetches.get(n)).for_each(Fetch::stop);
    }
}

async fn handle(net: &Rc<Net>, job: &Job, order: Rc<Order>) -> Response<Full<Bytes>> {
    let req = net.facade.borrow_mut().take(net.clock.now(), job);
    let mut handler = Handler { net, req, fetches: Vec::new() };
    loop {
        match net.pick(req).await {
            Step::Fetch { fetch, backend, until } => {
                net.must(fetch == handler.fetches.len(), "fetches are numbered in order");
                handler.fetches.push(backends::start(net, &order, Whose::Req(req, fetch), backend, until));
            }
            Step::Serve { fetch } => {
                let result = match handler.fetches.get_mut(fetch) {
                    Some(fetch) => fetch.result().await,
                    None => None,
                };
                net.must(result.is_some(), "a served fetch has its result");
                let Some(result) = result else { return plain(StatusCode::BAD_GATEWAY, "failed\n") };
                return Response::new(Full::new(result));
            }
            Step::Synthetic { retry_after } => return synthetic(retry_after),
            Step::Fail => return plain(StatusCode::BAD_GATEWAY, "failed\n"),
            Step::Drop { fetch } => {
                handler.fetches.get(fetch).into_iter().for_each(Fetch::stop);
                net.report(Seen::Ended(req, fetch, Ending::Revoked, None));
            }
        }
    }
}
