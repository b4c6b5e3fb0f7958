//! Answers one client request.
//!
//! The scheduler decides what happens to a request: each step comes from the facade's `poll_step`, which
//! `Net::next_step` awaits, and is performed here at once. This module also reports the progress of the request's
//! attempts to the facade and counts the request and its outcome in the request counts.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};

use super::super::answers::{not_allowed, plain_text, rejection};
use super::super::durable;
use super::super::forwarded_request::ForwardedRequest;
use super::super::request_error::RequestError;
use super::super::workers::{self, Attempt, AttemptDeadlines, AttemptObserver, ClientConnection};
use super::super::Net;
use super::clients::{Client, Clients};
use super::request::{class_of, read_request, ArrivedRequest};
use oakshed_core::facade::{Ending, Handle, Job, Micros, Observation, Report, Step};
use oakshed_core::figures::{PendingRequest, RequestOutcome};

/// Routes a request by its path, answers it, and counts its outcome.
pub(super) async fn respond(
    net: &Rc<Net>,
    clients: &Clients,
    client: &Client,
    connection: &ClientConnection,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let arrived = net.clock.now();
    let (head, body) = request.into_parts();
    if head.uri.path() == "/ready" {
        return match head.method {
            Method::GET | Method::HEAD if net.is_ready() => plain_text(StatusCode::OK, "ready\n"),
            Method::GET | Method::HEAD => {
                plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
            }
            _ => not_allowed("GET, HEAD"),
        };
    }
    if net.durable.is_some() && head.uri.path().starts_with("/jobs/") {
        if head.method == Method::DELETE {
            // It waits for the disk: its connection is not idle meanwhile.
            client.idle_since.set(None);
        }
        return durable::serve_job_path(net, &head).await;
    }
    let class = class_of(&net.config.names, &head);
    let accounting = Accounting {
        net,
        class,
        entry: RefCell::new(None),
    };
    let sender = Sender {
        clients,
        client,
        connection,
    };
    let response = answer(net, &sender, &accounting, arrived, (head, body)).await;
    let end = match response.status() {
        StatusCode::OK => RequestOutcome::Completed,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => RequestOutcome::Rejected,
        // A durable job goes on without its client; its answer is returned by later queries.
        StatusCode::ACCEPTED => RequestOutcome::Abandoned,
        _ => RequestOutcome::Failed,
    };
    accounting.take_entry().end(end);
    response
}

/// Where a request comes from.
struct Sender<'a> {
    clients: &'a Clients,
    client: &'a Client,
    connection: &'a ClientConnection,
}

impl Sender<'_> {
    /// Whether its request may wait for an answer: a pipelined one may not while other clients wait for a connection.
    fn may_wait(&self, now: Micros) -> bool {
        !(self.client.state.is_pipelined() && self.clients.is_crowded(now))
    }
}

/// Counts a request from its complete arrival or its answer, whichever is first.
struct Accounting<'a> {
    net: &'a Net,
    class: Option<usize>,
    entry: RefCell<Option<PendingRequest>>,
}

impl Accounting<'_> {
    fn on_arrived(&self) {
        *self.entry.borrow_mut() = Some(self.net.request_counts.begin(self.class));
    }

    /// Takes the entry, or creates one for a request that was answered before its complete arrival.
    fn take_entry(&self) -> PendingRequest {
        self.entry
            .take()
            .unwrap_or_else(|| self.net.request_counts.begin(self.class))
    }
}

/// Reads a request, then processes it as a durable job or as a plain request; rejects one that may not wait.
async fn answer(
    net: &Rc<Net>,
    sender: &Sender<'_>,
    accounting: &Accounting<'_>,
    arrived: Micros,
    (head, body): (Parts, Incoming),
) -> Response<Full<Bytes>> {
    let client = sender.client;
    let options = durable::JobOptions::read(&head.headers);
    let ArrivedRequest {
        job,
        forwarded,
        mut reservation,
        client_deadline,
    } = match read_request(net, accounting.class, arrived, head, body).await {
        Ok(request) => request,
        Err(error) => {
            return reject_request(net, client, error);
        }
    };
    client.state.arrived();
    client.state.expect_response_by(client_deadline);
    accounting.on_arrived();
    client.has_sent_request.set(true);
    client.idle_since.set(None);
    if !sender.may_wait(net.clock.now()) {
        return reject_request(net, client, RequestError::Pipelined);
    }
    if net.durable.is_some() {
        return durable::submit_and_wait(net, &job, forwarded, &options).await;
    }
    if !reservation.claim(&forwarded.id) {
        return reject_request(net, client, RequestError::IdInUse);
    }
    if let Err(error) = reservation.track_execution(net, job.class as usize, &forwarded.id) {
        return reject_request(net, client, error.into());
    }
    let forwarded = Rc::new(ForwardedRequest {
        reservation: Some(reservation),
        ..forwarded
    });
    tokio::select! {
        response = perform_steps(net, sender.connection, &job, forwarded.clone()) => response,
        error = forwarded.repeated() => reject_request(net, client, error.into()),
    }
}

/// Answers a request that the scheduler does not see, and counts the error.
fn reject_request(net: &Net, client: &Client, error: RequestError) -> Response<Full<Bytes>> {
    net.counters.clients.bad_requests.increment();
    net.counters.request_errors.increment(error);
    if error == RequestError::NoMemory {
        net.counters.clients.out_of_memory.increment();
    }
    error.answer(&net.config.settings, client)
}

/// A request that is being processed, and its attempts. hyper drops it early if the client disconnects. The drop closes
/// the request at the facade, prevents attempts that are still connecting from being sent, and stops the attempts that
/// the facade names.
struct Handler<'a> {
    net: &'a Rc<Net>,
    request: Handle,
    attempts: Vec<Attempt>,
}

impl Drop for Handler<'_> {
    fn drop(&mut self) {
        let dropped = self
            .net
            .facade
            .borrow_mut()
            .close(self.net.clock.now(), self.request);
        for attempt in &self.attempts {
            attempt.cancel();
        }
        for attempt in dropped
            .into_iter()
            .filter_map(|number| self.attempts.get(number))
        {
            attempt.stop();
        }
    }
}

/// Reports the events of an attempt, which is identified by its request and its number in that request.
#[derive(Clone, Copy)]
struct RequestAttempt(Handle, usize);

impl AttemptObserver for RequestAttempt {
    fn on_progress(self, net: &Net, started: bool) {
        let RequestAttempt(request, attempt) = self;
        net.report(if started {
            Observation::Started(request, attempt)
        } else {
            Observation::Progress(request, attempt)
        });
    }

    fn on_ended(self, net: &Rc<Net>, ending: Ending, _: Option<Bytes>, load: Option<Report>) {
        let RequestAttempt(request, attempt) = self;
        net.report(Observation::Ended(request, attempt, ending, load));
    }
}

impl Handler<'_> {
    fn start_attempt(
        &mut self,
        connection: &ClientConnection,
        forwarded: &Rc<ForwardedRequest>,
        to: Rc<str>,
        deadlines: AttemptDeadlines,
    ) {
        let observer = RequestAttempt(self.request, self.attempts.len());
        let client = Some(connection.clone());
        let attempt = workers::start_attempt(self.net, forwarded, observer, client, to, deadlines);
        self.attempts.push(attempt);
    }

    /// Returns the response with an attempt's result.
    async fn serve(&mut self, attempt: usize) -> Response<Full<Bytes>> {
        let result = match self.attempts.get_mut(attempt) {
            Some(attempt) => attempt.result().await,
            None => None,
        };
        self.net
            .counters
            .check_invariant(result.is_some(), "a served attempt has its result");
        match result {
            Some(result) => Response::new(Full::new(result)),
            None => plain_text(StatusCode::BAD_GATEWAY, "failed\n"),
        }
    }

    /// Closes an attempt's connection and reports the attempt as revoked.
    fn revoke(&self, attempt: usize) {
        if let Some(attempt) = self.attempts.get(attempt) {
            attempt.stop();
        }
        self.net.report(Observation::Ended(
            self.request,
            attempt,
            Ending::Revoked,
            None,
        ));
    }
}

/// Performs the scheduler's steps for a request until one of them gives the response.
async fn perform_steps(
    net: &Rc<Net>,
    connection: &ClientConnection,
    job: &Job,
    forwarded: Rc<ForwardedRequest>,
) -> Response<Full<Bytes>> {
    let request = net.facade.borrow_mut().take(net.clock.now(), job);
    let mut handler = Handler {
        net,
        request,
        attempts: Vec::new(),
    };
    loop {
        match net.next_step(request).await {
            Step::Attempt {
                attempt,
                worker,
                until,
                write_deadline,
            } => {
                net.counters.check_invariant(
                    attempt == handler.attempts.len(),
                    "attempts are numbered in order",
                );
                let deadlines = AttemptDeadlines {
                    answer_deadline: until,
                    write_deadline,
                };
                handler.start_attempt(connection, &forwarded, worker, deadlines);
            }
            Step::Serve { attempt } => return handler.serve(attempt).await,
            Step::Reject { retry_after } => return rejection(retry_after),
            Step::Fail => return plain_text(StatusCode::BAD_GATEWAY, "failed\n"),
            Step::Cancel { attempt } => handler.revoke(attempt),
        }
    }
}
