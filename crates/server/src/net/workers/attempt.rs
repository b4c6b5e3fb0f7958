//! One attempt to run a request at a worker, from connecting to the end of the answer.
//!
//! A request is written at most once per attempt; retries are the facade's decision. An attempt that failed is reported
//! as never run only where the count of written bytes proves that the worker cannot have received the whole request.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::super::forwarded_request::ForwardedRequest;
use super::super::Net;
use super::client::{Cancellation, ClientConnection};
use super::connection::{Connection, ConnectionError, Socket};
use super::eligible_address;
use super::fault::is_local_fault;
use super::stream::{load_from_headers, MAX_LINE_BYTES};
use oakshed_core::facade::{Ending, Micros, Report};

/// The time limit for reading an answer to its end after the result is known.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

static SRV_DECLINED: HeaderName = HeaderName::from_static("srv-declined");

/// The number of bytes that hyper writes for a request with a body of this length.
pub(super) fn encoded_len(request: &Request<Full<Bytes>>, body: usize) -> u64 {
    let target = request
        .uri()
        .path_and_query()
        .map_or(1, |t| t.as_str().len());
    let request_line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(n, v)| n.as_str().len() + v.len() + ": \r\n".len())
        .sum();
    (request_line + headers + "\r\n".len() + body) as u64
}

/// A handle to an attempt that is under way.
pub(crate) struct Attempt {
    task: AbortHandle,
    cancellation: Rc<Cancellation>,
    result: Option<oneshot::Receiver<Bytes>>,
}

impl Attempt {
    /// Takes the result, once the facade has decided to serve it.
    pub(crate) async fn result(&mut self) -> Option<Bytes> {
        self.result.take()?.await.ok()
    }

    /// Prevents the attempt from being begun, because its client has disconnected. One that is already being written
    /// goes on: not every class allows attempts to be cancelled.
    pub(crate) fn cancel(&self) {
        self.cancellation.cancel();
    }

    /// Aborts the attempt and closes its connection.
    pub(crate) fn stop(&self) {
        self.cancel();
        self.task.abort();
    }
}

/// How much of an attempt's request has been written: the socket, and the value of its byte count at the end of the
/// request. `None` until the request is passed to the connection.
#[derive(Default)]
pub(super) struct WriteProgress(pub(super) RefCell<Option<(Rc<Socket>, u64)>>);

impl WriteProgress {
    /// Whether the request was passed to a connection.
    fn is_begun(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Whether the system has taken the last byte, so that the worker may have the whole request.
    pub(super) fn is_complete(&self) -> bool {
        self.0
            .borrow()
            .as_ref()
            .is_some_and(|(socket, end)| socket.written.get() >= *end)
    }
}

/// Is notified of the start, progress and end of an attempt. Implemented by those that start attempts.
pub(crate) trait AttemptObserver {
    /// The worker reports that the job has started (`started`) or is still running.
    fn on_progress(self, net: &Net, started: bool);

    /// The attempt has ended. `load` is the load report that came with the answer.
    fn on_ended(self, net: &Rc<Net>, ending: Ending, result: Option<Bytes>, load: Option<Report>);
}

/// The deadlines of an attempt.
#[derive(Clone, Copy)]
pub(crate) struct AttemptDeadlines {
    /// When the answer must have arrived.
    pub answer_deadline: Micros,
    /// When the request must have been written in full.
    pub write_deadline: Micros,
}

/// The state of an attempt that its task works with.
pub(super) struct Dispatch<W> {
    pub(super) net: Rc<Net>,
    pub(super) forwarded: Rc<ForwardedRequest>,
    pub(super) observer: W,
    /// The worker's name.
    to: Rc<str>,
    deadlines: AttemptDeadlines,
    cancellation: Rc<Cancellation>,
    progress: WriteProgress,
}

/// Starts an attempt at the worker `to` on a task of its own, which reports the end to `observer` even if the returned
/// handle is dropped. If a `client` is given, nothing is written unless it is still connected at the first byte.
pub(crate) fn start_attempt<W: AttemptObserver + Copy + 'static>(
    net: &Rc<Net>,
    forwarded: &Rc<ForwardedRequest>,
    observer: W,
    client: Option<ClientConnection>,
    to: Rc<str>,
    deadlines: AttemptDeadlines,
) -> Attempt {
    let (tx, rx) = oneshot::channel();
    let cancellation = Rc::new(Cancellation::new(client));
    let answer_deadline = deadlines.answer_deadline.min(forwarded.deadline);
    let dispatch = Dispatch {
        net: net.clone(),
        forwarded: forwarded.clone(),
        observer,
        to,
        deadlines: AttemptDeadlines {
            answer_deadline,
            write_deadline: deadlines.write_deadline.min(answer_deadline),
        },
        cancellation: cancellation.clone(),
        progress: WriteProgress::default(),
    };
    let task = tokio::task::spawn_local(dispatch.run(tx));
    Attempt {
        task: task.abort_handle(),
        cancellation,
        result: Some(rx),
    }
}

impl<W: AttemptObserver + Copy> Dispatch<W> {
    /// Makes the attempt and reports its end. The result is also sent to `result`, for the `Attempt` handle.
    async fn run(self, result: oneshot::Sender<Bytes>) {
        let end = tokio::select! {
            biased;
            end = self.exchange() => end,
            ending = self.time_out() => ending.into(),
        };
        // Dropped and Expired mean that the job may have run. Without the whole request it cannot have.
        let ending = match end.ending {
            Ending::Dropped | Ending::Expired if !self.progress.is_complete() => Ending::DialFailed,
            ending => ending,
        };
        self.note_if_never_ran(ending);
        // Sent before the observer is notified, so that it is there when the facade decides to serve it.
        if let Some(bytes) = end.result.clone() {
            _ = result.send(bytes);
        }
        self.observer
            .on_ended(&self.net, ending, end.result, end.load);
        let Dispatch {
            net, forwarded, to, ..
        } = self;
        drop(forwarded); // frees the request's id and memory, which the rest does not need
        if let Some((connection, body)) = end.reusable {
            _ = timeout(DRAIN_TIMEOUT, drain(&net, &to, connection, body)).await;
        }
    }

    /// Notes an attempt that was begun, but whose ending proves that it has never run.
    fn note_if_never_ran(&self, ending: Ending) {
        let never_ran = matches!(
            ending,
            Ending::Declined | Ending::DialFailed | Ending::Unused | Ending::LocalFault
        );
        let execution = self.forwarded.execution();
        if let Some(execution) = execution.filter(|_| never_ran && self.progress.is_begun()) {
            execution.on_never_ran();
        }
    }

    /// Waits until one of the attempt's deadlines has passed.
    async fn time_out(&self) -> Ending {
        let AttemptDeadlines {
            answer_deadline,
            write_deadline,
        } = self.deadlines;
        let clock = &self.net.clock;
        tokio::time::sleep_until(clock.instant(write_deadline)).await;
        // Ends the attempt as soon as it can no longer run, so that its client does not wait for its deadline.
        if write_deadline < answer_deadline && !self.progress.is_complete() {
            return Ending::Unused;
        }
        tokio::time::sleep_until(clock.instant(answer_deadline)).await;
        Ending::Expired
    }
}

/// The end of an attempt.
pub(super) struct AttemptEnd {
    pub(super) ending: Ending,
    pub(super) result: Option<Bytes>,
    pub(super) load: Option<Report>,
    /// The connection, if it can be used again once the remaining body has been read.
    pub(super) reusable: Option<(Connection, Incoming)>,
}

impl From<Ending> for AttemptEnd {
    fn from(ending: Ending) -> Self {
        AttemptEnd {
            ending,
            result: None,
            load: None,
            reusable: None,
        }
    }
}

impl<W: AttemptObserver + Copy> Dispatch<W> {
    /// Connects, writes the request, and reads the answer.
    async fn exchange(&self) -> AttemptEnd {
        let net = &self.net;
        let mut connection = match connect(net, &self.to).await {
            Ok(connection) => connection,
            Err(ending) => return ending.into(),
        };
        let Ok(request) = self.forwarded.request(net.clock.now()) else {
            return Ending::Unused.into();
        };
        if self
            .forwarded
            .execution()
            .is_some_and(|e| !e.begin_attempt())
        {
            net.workers.put_back(&self.to, connection);
            return Ending::Unused.into();
        }
        let end = self.arm_write_guard(&connection, &request);
        let Ok(response) = connection.sender.send_request(request).await else {
            return self.classify_lost_connection(&connection).into();
        };
        // The worker answered before it had the whole request, without which no job starts. The rest is not sent.
        if !self.progress.is_complete() {
            net.counters.workers.resets.increment();
            return Ending::Dropped.into();
        }
        net.counters.check_invariant(
            connection.socket.written.get() == end,
            "the computed length of a request is the number of bytes written",
        );
        let (head, body) = response.into_parts();
        if head.status != StatusCode::OK {
            return classify_error_status(&head);
        }
        self.read_stream(connection, body).await
    }

    /// Sets up the write guard for the request; returns the socket's byte count at the end of the request.
    fn arm_write_guard(&self, connection: &Connection, request: &Request<Full<Bytes>>) -> u64 {
        let size = encoded_len(request, self.forwarded.body.len());
        let job = (self.forwarded.deadline, self.cancellation.clone());
        let write_deadline = self.deadlines.write_deadline;
        let end = connection.guard_request(&self.net, &self.to, size, write_deadline, Some(job));
        *self.progress.0.borrow_mut() = Some((connection.socket.clone(), end));
        end
    }

    /// The ending of an attempt whose connection failed before the response headers arrived.
    fn classify_lost_connection(&self, connection: &Connection) -> Ending {
        let net = &self.net;
        let counters = &net.counters.workers;
        // The write guard stopped the request before it was complete, so it never ran.
        if connection.socket.is_write_denied.get() {
            counters.drained_before_send.increment();
            return Ending::Unused;
        }
        counters.resets.increment();
        if let Some(idle) = connection.idle {
            counters.idle_resets.increment();
            net.workers.reduce_idle_limit(idle);
        }
        Ending::Dropped
    }
}

/// The end of an attempt whose answer has a status other than 200.
fn classify_error_status(head: &Parts) -> AttemptEnd {
    let declined = head.headers.get(&SRV_DECLINED).is_some_and(|v| v == "1");
    let busy = matches!(
        head.status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    );
    let ending = if declined && busy {
        Ending::Declined
    } else {
        Ending::Error
    };
    // The connection is not reused. Such an answer has no request id: a late duplicate of it would pass for the answer
    // to the next request on the connection, and for proof that this next request never ran.
    AttemptEnd {
        load: load_from_headers(&head.headers),
        ..ending.into()
    }
}

/// Takes an idle connection to a worker or opens a new one. The error is the ending of an attempt that cannot connect.
pub(super) async fn connect(net: &Net, to: &str) -> Result<Connection, Ending> {
    let address = eligible_address(net, to).ok_or(Ending::Unused)?;
    if let Some(connection) = net.workers.take_idle(&net.counters.workers, to) {
        net.counters.workers.reused.increment();
        return Ok(connection);
    }
    let Some(slot) = net.workers.reserve_slot(net.worker_share()) else {
        net.counters.workers.no_socket.increment();
        return Err(Ending::LocalFault);
    };
    net.counters.workers.dials.increment();
    match timeout(
        net.workers.connect_timeout,
        Connection::open(address, Some(slot)),
    )
    .await
    {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(ConnectionError::Connect(error))) if is_local_fault(&error) => {
            net.counters.workers.local_faults.increment();
            Err(Ending::LocalFault)
        }
        _ => Err(Ending::DialFailed),
    }
}

/// Reads an answer to its end, so that its connection can be used again. A longer remainder than one line is not read.
async fn drain(net: &Net, to: &str, mut connection: Connection, mut body: Incoming) {
    let mut left = MAX_LINE_BYTES;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return };
        let read = frame.data_ref().map_or(0, Buf::remaining);
        let Some(remaining) = left.checked_sub(read) else {
            return;
        };
        left = remaining;
    }
    if connection.sender.ready().await.is_ok() {
        net.workers.put_back(to, connection);
    }
}
