//! The backends: their addresses, the connections to them, and the fetches on these.
//!
//! It owns dialling, the pool of idle connections, the form of a job's stream, and the proof of
//! whether a request was written in full. It must never send a request a second time on its own,
//! send to a backend that is not listed as ready, or call a fetch unsent where that is in doubt.

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use oakshed_jobs::record::JobId;
use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::timeout;

use super::{durable, Net};
use oakshed_core::facade::{Condition, Ending, Entry, Micros, Report, Req, Seen};

/// The longest line of a job's stream, and the most of an answer that is held before it is read: no body
/// on the platform is longer. Guards against heads without bound, as many as there are connections.
const LONGEST_LINE: usize = 64 << 10;
/// How long the rest of an answer may take until its connection is given up.
const REST: Duration = Duration::from_millis(500);
/// The longest that a dial may take where the settings don't say.
const DIAL: Duration = Duration::from_secs(1);
/// In what time the span for which connections are kept idle doubles again after it was cut.
const REGAIN: Micros = 20_000_000;
/// The least that it is cut to.
const LEAST_KEPT: Micros = 10_000;
/// Between two looks at the idle connections.
const SWEEP: Duration = Duration::from_millis(250);
/// Backends that are not ready are remembered up to this number beside those that are.
const GONE_KEPT: usize = 4_096;

static REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");
pub(super) static LEASE_ID: HeaderName = HeaderName::from_static("lease-id");
pub(super) static LEASE_TOKEN: HeaderName = HeaderName::from_static("lease-token");
pub(super) static LEASE_MS: HeaderName = HeaderName::from_static("lease-ms");
static SRV_DECLINED: HeaderName = HeaderName::from_static("srv-declined");
static SRV_LOAD: HeaderName = HeaderName::from_static("srv-load");

// ---- Connections ----

/// Counts an open socket for as long as it lives.
struct Slot(Rc<Cell<usize>>);

impl Slot {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Slot(open.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A socket, with a count of the bytes that the system has taken from us. Counting here, below
/// hyper, is the proof of whether all of a request can have arrived.
struct Socket {
    stream: RefCell<TcpStream>,
    written: Cell<u64>,
    /// Where the present attempt ends, and who counts it once it is written whole.
    attempt: RefCell<Option<(u64, Rc<Cell<u64>>)>>,
    _slot: Option<Slot>,
}

/// What hyper reads from and writes to.
struct Io(Rc<Socket>);

impl AsyncRead for Io {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_read(cx, buf)
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let n = ready!(Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, buf))?;
        self.0.written.set(self.0.written.get() + n as u64);
        if let Some((_, whole)) = self.0.attempt.borrow_mut().take_if(|(end, _)| self.0.written.get() >= *end)
        {
            whole.set(whole.get() + 1);
        }
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(super::end_sending(&self.0.stream.borrow()))
    }
}

/// A connection that carries one request at a time. Dropping it closes it.
pub(crate) struct Link {
    address: SocketAddr,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    socket: Rc<Socket>,
    task: JoinHandle<()>,
    /// How long it had been idle when it was last taken; `None` for a new one.
    idle: Option<Micros>,
}

impl Link {
    /// Opens a connection; `slot` counts it where that is wanted.
    async fn open(address: SocketAddr, slot: Option<Slot>) -> io::Result<Link> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (stream, written, attempt) = (RefCell::new(stream), Cell::new(0), RefCell::default());
        let socket = Rc::new(Socket { stream, written, attempt, _slot: slot });
        let io = TokioIo::new(Io(socket.clone()));
        let form = Builder::new().max_buf_size(LONGEST_LINE).handshake(io);
        let (sender, connection) = form.await.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move { _ = connection.await });
        Ok(Link { address, sender, socket, task, idle: None })
    }

    /// Opens a connection that no budget counts.
    pub(crate) async fn dial(address: SocketAddr) -> io::Result<Link> {
        Link::open(address, None).await
    }

    /// Whether an idle connection has ended. Guards against one that the other side has closed
    /// while hyper has not yet been told: a request written to it would count as sent.
    pub(crate) fn is_dead(&self) -> bool {
        let peeked =
            socket2::SockRef::from(&*self.socket.stream.borrow()).peek(&mut [MaybeUninit::uninit(); 1]);
        self.sender.is_closed() || !peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

// ---- The table of backends ----

struct Backend {
    address: SocketAddr,
    ready: bool,
    /// Idle connections and since when, the newest last.
    idle: Vec<(Micros, Link)>,
}

/// All backends that the director has named, and the connections to them.
#[derive(Default)]
pub(crate) struct Backends {
    all: RefCell<FxHashMap<Rc<str>, Backend>>,
    open: Rc<Cell<usize>>,
    /// Attempts that were written whole.
    attempts: Rc<Cell<u64>>,
    /// How long an idle connection was last held to be safe, and when.
    safe: Cell<Option<(Micros, Micros)>>,
}

impl Backends {
    /// Takes over what the director tells; in a whole list, who is not named is gone.
    pub(crate) fn update<'a>(&self, whole: bool, list: impl Iterator<Item = (&'a Entry, SocketAddr)>) {
        let mut all = self.all.borrow_mut();
        if whole {
            all.values_mut().for_each(|b| b.ready = false);
        }
        for (entry, address) in list {
            let new = || Backend { address, ready: false, idle: Vec::new() };
            let backend = all.entry(entry.backend.clone()).or_insert_with(new);
            if backend.address != address {
                backend.idle.clear();
            }
            backend.address = address;
            backend.ready = entry.condition == Condition::Active;
        }
        all.values_mut().filter(|b| !b.ready).for_each(|b| b.idle.clear());
        // Guards against a fleet whose machines are replaced for months, each with a new id.
        if all.len() > 2 * all.values().filter(|b| b.ready).count() + GONE_KEPT {
            all.retain(|_, b| b.ready);
        }
    }

    pub(crate) fn ready_count(&self) -> usize {
        self.all.borrow().values().filter(|b| b.ready).count()
    }

    pub(crate) fn any_ready(&self, which: impl Fn(&str) -> bool) -> bool {
        self.all.borrow().iter().any(|(name, b)| b.ready && which(name))
    }

    /// Sockets to backends that are open or being opened.
    pub(crate) fn sockets(&self) -> usize {
        self.open.get()
    }

    /// Attempts that were written whole, whatever became of them.
    pub(crate) fn attempts(&self) -> u64 {
        self.attempts.get()
    }

    /// Where a backend was last, ready or not: only what asks it for nothing new goes there.
    fn last_address(&self, name: &str) -> Option<SocketAddr> {
        self.all.borrow().get(name).map(|b| b.address)
    }

    fn address(&self, name: &str) -> Option<SocketAddr> {
        self.all.borrow().get(name).filter(|b| b.ready).map(|b| b.address)
    }

    /// The newest idle connection to a backend that is still good.
    fn take_idle(&self, net: &Net, name: &str) -> Option<Link> {
        let mut all = self.all.borrow_mut();
        let backend = all.get_mut(name)?;
        while let Some((since, mut link)) = backend.idle.pop() {
            let idle = net.clock.now().saturating_sub(since);
            if idle < keep(net) && !link.is_dead() && link.sender.is_ready() {
                link.idle = Some(idle);
                return Some(link);
            }
            net.count(|c| &mut c.dead_idle);
        }
        None
    }

    fn put_back(&self, net: &Net, name: &str, link: Link) {
        if let Some(backend) =
            self.all.borrow_mut().get_mut(name).filter(|b| b.ready && b.address == link.address)
        {
            backend.idle.push((net.clock.now(), link));
        }
    }

    /// Room for one more socket: where there is none, the longest idle connection goes.
    fn slot(&self, net: &Net) -> Option<Slot> {
        if self.open.get() >= net.socket_share() && !self.close_oldest() {
            return None;
        }
        Some(Slot::new(&self.open))
    }

    /// Closes the connection that has been idle for longest; tells whether there was one.
    pub(crate) fn close_oldest(&self) -> bool {
        let mut all = self.all.borrow_mut();
        let oldest = all.values_mut().filter(|b| !b.idle.is_empty()).min_by_key(|b| b.idle[0].0);
        oldest.map(|b| b.idle.remove(0)).is_some()
    }
}

/// How long a dial may take. Guards against settings without a limit, under which none would succeed.
fn dial_limit(net: &Net) -> Duration {
    match net.config.settings.connect_timeout {
        0 => DIAL,
        limit => Duration::from_micros(limit),
    }
}

/// How long a connection is kept idle: half of what the other side may, or less for a while where one
/// that had been idle was reset. Guards against whatever lies between and forgets connections sooner
/// than the settings say: a transfer written to such a one is in doubt, and lost.
fn keep(net: &Net) -> Micros {
    let most = net.config.settings.idle_close / 2;
    net.backends.safe.get().map_or(most, |(safe, at)| {
        let doublings = net.clock.now().saturating_sub(at) as f64 / REGAIN as f64;
        most.min((safe as f64 * doublings.exp2()) as Micros)
    })
}

/// Closes connections that have been idle for long enough.
pub(crate) async fn sweep(net: Rc<Net>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let now = net.clock.now();
        for backend in net.backends.all.borrow_mut().values_mut() {
            backend.idle.retain(|(since, link)| now < since + keep(&net) && !link.sender.is_closed());
        }
    }
}

// ---- Fetches ----

/// What goes to a backend unchanged.
pub(crate) struct Order {
    pub method: Method,
    pub target: PathAndQuery,
    pub headers: HeaderMap,
    pub id: HeaderValue,
    pub body: Bytes,
    /// When the client gives up, or this program has to end.
    pub deadline: Micros,
    /// The id and the room for the body, which are given back with the last copy of this.
    pub _held: Option<super::front::Held>,
}

impl Order {
    fn request(&self, now: Micros) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(Uri::from(self.target.clone()))
            .body(Full::new(self.body.clone()))?;
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        headers.insert(CONTENT_LENGTH, self.body.len().into());
        headers.insert(&REQ_DEADLINE, (self.deadline.saturating_sub(now) / 1_000).into());
        Ok(request)
    }
}

/// How many bytes hyper makes of a request.
fn size_of(request: &Request<Full<Bytes>>, body: usize) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |t| t.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let fields: usize =
        request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + ": \r\n".len()).sum();
    (line + fields + "\r\n".len() + body) as u64
}

/// A fetch on its way, as its req's handler sees it.
pub(crate) struct Fetch {
    task: AbortHandle,
    result: Option<oneshot::Receiver<Bytes>>,
}

impl Fetch {
    /// The result, once the facade has said to serve it.
    pub(crate) async fn result(&mut self) -> Option<Bytes> {
        self.result.take()?.await.ok()
    }

    /// Gives the fetch up: its connection is closed.
    pub(crate) fn stop(&self) {
        self.task.abort();
    }
}

/// What a request is known to have written, wherever its fetch ends.
#[derive(Default)]
struct Sent(RefCell<Option<(Rc<Socket>, u64)>>);

impl Sent {
    /// Whether the last byte may have been written.
    fn in_full(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|(socket, end)| socket.written.get() >= *end)
    }
}

/// For whom a fetch is: its start, progress and end are told there.
#[derive(Clone, Copy)]
pub(crate) enum Whose {
    /// A req's fetch, by its number.
    Req(Req, usize),
    /// A durable job's attempt, by its token.
    Job(JobId, u64),
}

impl Whose {
    fn alive(self, net: &Net, started: bool) {
        match self {
            Whose::Req(req, fetch) if started => net.report(Seen::Started(req, fetch)),
            Whose::Req(req, fetch) => net.report(Seen::Progress(req, fetch)),
            Whose::Job(id, token) => durable::alive(net, id, token, started),
        }
    }

    fn ended(self, net: &Rc<Net>, ending: Ending, result: Option<Bytes>, load: Option<Report>) {
        match self {
            Whose::Req(req, fetch) => net.report(Seen::Ended(req, fetch, ending, load)),
            Whose::Job(id, token) => durable::ended(net, id, token, ending, result, load),
        }
    }
}

/// Begins a fetch. It reports its own end, whether or not its handler still waits.
pub(crate) fn start(net: &Rc<Net>, order: &Rc<Order>, whose: Whose, to: Rc<str>, until: Micros) -> Fetch {
    let (tx, rx) = oneshot::channel();
    let (net, order) = (net.clone(), order.clone());
    let task = tokio::task::spawn_local(async move {
        let sent = Sent::default();
        let run = run(&net, &order, whose, &to, &sent);
        let until = net.clock.instant(until.min(order.deadline));
        let ended = tokio::time::timeout_at(until, run).await;
        let Ended { ending, result, load, rest } = ended.unwrap_or_else(|_| Ending::Expired.into());
        // Dropped and Expired are for what may have run; what was not written in full never did.
        let ending = match ending {
            Ending::Dropped | Ending::Expired if !sent.in_full() => Ending::DialFailed,
            ending => ending,
        };
        // A req's handler takes the result from here, once it is told to serve it.
        if let Some(result) = result.clone() {
            _ = tx.send(result);
        }
        whose.ended(&net, ending, result, load);
        drop(order); // what is left is the connection's affair
        if let Some((link, body)) = rest {
            _ = timeout(REST, finish(&net, &to, link, body)).await;
        }
    });
    Fetch { task: task.abort_handle(), result: Some(rx) }
}

/// How a fetch ended, its result, and what is left of its connection where that is still good.
struct Ended {
    ending: Ending,
    result: Option<Bytes>,
    load: Option<Report>,
    rest: Option<(Link, Incoming)>,
}

impl From<Ending> for Ended {
    fn from(ending: Ending) -> Self {
        Ended { ending, result: None, load: None, rest: None }
    }
}

async fn run(net: &Net, order: &Order, whose: Whose, to: &Rc<str>, sent: &Sent) -> Ended {
    let mut link = match connect(net, to).await {
        Ok(link) => link,
        Err(ending) => return ending.into(),
    };
    // The dial may have outlasted the time in which sends to a draining backend must end, and the
    // backend may have moved, or been taken out, meanwhile.
    if open_address(net, to) != Some(link.address) {
        net.count(|c| &mut c.drained_before_send);
        return Ending::Unused.into();
    }
    let Ok(request) = order.request(net.clock.now()) else { return Ending::Unused.into() };
    let end = link.socket.written.get() + size_of(&request, order.body.len());
    *sent.0.borrow_mut() = Some((link.socket.clone(), end));
    *link.socket.attempt.borrow_mut() = Some((end, net.backends.attempts.clone()));
    let Ok(response) = link.sender.send_request(request).await else {
        net.count(|c| &mut c.resets);
        if let Some(idle) = link.idle {
            net.count(|c| &mut c.idle_resets);
            let safe = keep(net).min(idle) / 2;
            net.backends.safe.set(Some((safe.max(LEAST_KEPT), net.clock.now())));
        }
        return Ending::Dropped.into();
    };
    net.must(link.socket.written.get() == end, "a request is as long as reckoned");
    let (head, mut body) = response.into_parts();
    if head.status != StatusCode::OK {
        let declined = head.headers.get(&SRV_DECLINED).is_some_and(|v| v == "1");
        let busy = matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
        let ending = if declined && busy { Ending::Shed } else { Ending::Error };
        return Ended { ending, result: None, load: load_in(&head.headers), rest: Some((link, body)) };
    }
    let mut buffer = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else { continue };
        buffer.extend_from_slice(&data);
        while let Some(at) = buffer.iter().position(|b| *b == b'\n') {
            let line = buffer.split_to(at + 1);
            if line.trim_ascii().is_empty() {
                continue;
            }
            let Ok(line) = serde_json::from_slice::<Line>(&line) else {
                net.count(|c| &mut c.malformed_lines);
                return Ending::Dropped.into();
            };
            // Only what a backend made for this very req may be served.
            if line.id.as_bytes() != order.id.as_bytes() {
                net.count(|c| &mut c.wrong_id_lines);
                return Ending::Dropped.into();
            }
            let ending = match &*line.state {
                "started" => {
                    whose.alive(net, true);
                    continue;
                }
                "running" => {
                    whose.alive(net, false);
                    continue;
                }
                "done" => {
                    let Some(result) = line.result.and_then(result_bytes) else {
                        net.count(|c| &mut c.malformed_lines);
                        return Ending::Dropped.into();
                    };
                    let (result, load) = (Some(result), line.load.map(Report::from));
                    return Ended { ending: Ending::Delivered, result, load, rest: Some((link, body)) };
                }
                "failed" => Ending::Error,
                "returned" => Ending::Shed,
                "lost" => {
                    net.count(|c| &mut c.lost_jobs);
                    Ending::Dropped
                }
                _ => continue, // a word of a later day
            };
            let load = line.load.map(Report::from);
            return Ended { ending, result: None, load, rest: Some((link, body)) };
        }
        if buffer.len() > LONGEST_LINE {
            net.count(|c| &mut c.malformed_lines);
            return Ending::Dropped.into();
        }
    }
    net.count(|c| &mut c.early_ends);
    Ending::Dropped.into()
}

/// Where something new may go: a backend that is listed as ready, and that operators have not taken out.
fn open_address(net: &Net, to: &str) -> Option<SocketAddr> {
    net.backends.address(to).filter(|_| !net.facade.borrow().is_out(to))
}

/// An idle connection, or a new one. Its failure says what the fetch ends with.
async fn connect(net: &Net, to: &str) -> Result<Link, Ending> {
    let address = open_address(net, to).ok_or(Ending::Unused)?;
    if let Some(link) = net.backends.take_idle(net, to) {
        net.count(|c| &mut c.reused);
        return Ok(link);
    }
    let Some(slot) = net.backends.slot(net) else {
        net.count(|c| &mut c.no_socket);
        return Err(Ending::Unused);
    };
    net.count(|c| &mut c.dials);
    match timeout(dial_limit(net), Link::open(address, Some(slot))).await {
        Ok(Ok(link)) => Ok(link),
        _ => Err(Ending::DialFailed),
    }
}

/// Reads an answer to its end, so that its connection can be used again.
async fn finish(net: &Net, to: &str, mut link: Link, mut body: Incoming) {
    let mut left = LONGEST_LINE;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return };
        let read = frame.data_ref().map_or(0, Buf::remaining);
        let Some(rest) = left.checked_sub(read) else { return };
        left = rest;
    }
    if link.sender.ready().await.is_ok() {
        net.backends.put_back(net, to, link);
    }
}

// ---- The form of a job's stream ----

/// One line of a job's stream.
#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    state: Cow<'a, str>,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
    load: Option<LoadForm>,
}

/// A result's bytes: the text of a string, or any other value as it stands.
fn result_bytes(result: &RawValue) -> Option<Bytes> {
    let text = result.get();
    if !text.starts_with('"') {
        return Some(Bytes::copy_from_slice(text.as_bytes()));
    }
    serde_json::from_str::<String>(text).ok().map(Bytes::from)
}

/// A load report; what is absent or no number is left out.
#[derive(Default, Deserialize)]
#[serde(default)]
struct LoadForm {
    #[serde(alias = "outstanding")]
    inflight: Option<f64>,
    #[serde(alias = "backlog")]
    queue: Option<f64>,
    x0: Option<f64>,
    x1: Option<f64>,
}

impl From<LoadForm> for Report {
    fn from(form: LoadForm) -> Report {
        let LoadForm { inflight: outstanding, queue: backlog, x0: free_slots, x1: free_memory } = form;
        Report { free_slots, free_memory, outstanding, backlog }
    }
}

/// A report in its text form: `TEXT inflight=7, queue=2`.
fn load_of(text: &str) -> Report {
    let mut form = LoadForm::default();
    for (name, value) in text.split([' ', ',']).filter_map(|field| field.split_once('=')) {
        let value = value.parse().ok();
        match name {
            "inflight" | "outstanding" => form.inflight = value,
            "queue" | "backlog" => form.queue = value,
            "x0" => form.x0 = value,
            "x1" => form.x1 = value,
            _ => {}
        }
    }
    form.into()
}

fn load_in(headers: &HeaderMap) -> Option<Report> {
    headers.get(&SRV_LOAD)?.to_str().ok().map(load_of)
}

/// Asks a backend for its load, where the decisions want it.
pub(crate) async fn probe(net: Rc<Net>, to: Rc<str>) {
    let load = timeout(2 * dial_limit(&net), ask_load(&net, &to)).await.ok().flatten();
    net.report(Seen::Probed(&to, load.is_some(), load));
}

async fn ask_load(net: &Net, to: &str) -> Option<Report> {
    let mut link = connect(net, to).await.ok()?;
    let host = net.backends.address(to)?.to_string();
    let request = Request::get("/status/load").header(HOST, host).body(Full::default()).ok()?;
    let response = link.sender.send_request(request).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let in_head = load_in(response.headers());
    let body =
        http_body_util::Limited::new(response.into_body(), LONGEST_LINE).collect().await.ok()?.to_bytes();
    if link.sender.ready().await.is_ok() {
        net.backends.put_back(net, to, link);
    }
    let in_json = || serde_json::from_slice::<LoadForm>(&body).ok().map(Report::from);
    in_head.or_else(in_json).or_else(|| std::str::from_utf8(&body).ok().map(load_of))
}

/// Asks a backend something that is no job, on a connection of its own; tells its answer's body where
/// that is a 200. It need not be ready: a draining one still knows of what it has.
pub(crate) async fn consult(net: &Net, to: &str, path: &str, token: u64, body: Bytes) -> Option<Bytes> {
    let address = net.backends.last_address(to)?;
    let slot = net.backends.slot(net)?;
    let mut link = timeout(dial_limit(net), Link::open(address, Some(slot))).await.ok()?.ok()?;
    let request = Request::post(path)
        .header(HOST, address.to_string())
        .header(&LEASE_TOKEN, token)
        .header(CONTENT_LENGTH, body.len())
        .body(Full::new(body));
    let response = link.sender.send_request(request.ok()?).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = http_body_util::Limited::new(response.into_body(), 2 * LONGEST_LINE).collect().await;
    Some(body.ok()?.to_bytes())
}

#[cfg(test)]
mod tests {
    use super::super::Clock;
    use super::*;
    use crate::config::Config;
    use oakshed_core::facade::Facade;

    /// Guards against a cut-off request that counts as sent, which a transfer pays for with a failure, and
    /// against one that counts as unsent though all of it was written, which would run it twice.
    #[test]
    fn a_request_written_in_part_is_known_from_one_written_in_full() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        socket2::SockRef::from(&listener).set_recv_buffer_size(4_096).expect("a small buffer");
        let address = listener.local_addr().expect("its address");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let mut link = Link::dial(address).await.expect("a connection");
            socket2::SockRef::from(&*link.socket.stream.borrow())
                .set_send_buffer_size(4_096)
                .expect("a small buffer");
            let (mut peer, _) = listener.accept().expect("accepted");
            let body = Bytes::from(vec![b'x'; 1 << 20]);
            let request = Request::post("/transfer").header(HOST, "x").header(CONTENT_LENGTH, body.len());
            let request = request.body(Full::new(body.clone())).expect("a request");
            let end = size_of(&request, body.len());
            let sent = Sent(RefCell::new(Some((link.socket.clone(), end))));
            let mut response = std::pin::pin!(link.sender.send_request(request));
            // The peer reads nothing: what the system takes comes to a stand.
            let mut last = 0;
            while last == 0 || link.socket.written.get() > last {
                last = link.socket.written.get();
                assert!(timeout(Duration::from_millis(100), response.as_mut()).await.is_err());
            }
            assert!(last < end && !sent.in_full(), "{last} of {end} bytes");
            std::thread::spawn(move || std::io::copy(&mut peer, &mut std::io::sink()));
            let start = std::time::Instant::now();
            while !sent.in_full() {
                assert!(start.elapsed() < Duration::from_secs(20), "never written in full");
                _ = timeout(Duration::from_millis(10), response.as_mut()).await;
            }
            assert_eq!(link.socket.written.get(), end, "it is as long as reckoned");
        });
    }

    /// A reused connection may have ended without hyper having been told yet: a transfer written to
    /// it would be in doubt, and failed.
    #[test]
    fn a_connection_that_has_ended_is_noticed_before_hyper_is_told() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let mut link = Link::dial(address).await.expect("a connection");
            link.sender.ready().await.expect("ready");
            assert!(!link.is_dead());
            drop(listener.accept().expect("accepted"));
            // Nothing is awaited from here on, so that hyper has no chance to read.
            let start = std::time::Instant::now();
            while !link.is_dead() {
                assert!(start.elapsed() < Duration::from_secs(20), "its end was never noticed");
            }
            assert!(!link.sender.is_closed());
            let net = net();
            let (backend, condition) = ("s-1".into(), Condition::Active);
            let entry = Entry { backend, zone: 0, kind: 0, cell: 0, condition, online_since: 0 };
            net.backends.update(true, std::iter::once((&entry, address)));
            net.backends.put_back(&net, "s-1", link);
            assert!(net.backends.take_idle(&net, "s-1").is_none(), "it is used again");
            assert_eq!(net.counters.borrow().dead_idle, 1);
        });
    }

    /// What the parts share, without a listener or a task.
    fn net() -> Rc<Net> {
        let path = oakshed_standin::config("127.0.0.1:9".parse().expect("an address"), "null", 1_024);
        let var = |name: &str| path.to_str().filter(|_| name == "ROUTER_CONFIG").map(str::to_owned);
        let config = Config::read(var, None);
        _ = std::fs::remove_file(&path);
        let config = config.expect("usable");
        let facade = Facade::new(config.settings.clone(), config.seed).expect("usable");
        Rc::new(Net::new(config, Clock::new(), facade, None))
    }
}
