//! The bare forwarder: the cost of HTTP alone.
//!
//! Its connections to the workers are reused in turn. Like in the scheduler a job is read completely, forwarded, and
//! answered once the worker's answer is complete; it decides nothing and reads no body.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

type Sender = SendRequest<Full<Bytes>>;

struct Forwarder {
    workers: Vec<(SocketAddr, RefCell<Vec<Sender>>)>,
    turn: Cell<usize>,
}

/// Prints its address on standard output, and serves until standard input ends.
pub async fn run(workers: Vec<SocketAddr>) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("{}", listener.local_addr()?);
    let workers = workers
        .into_iter()
        .map(|address| (address, RefCell::default()))
        .collect();
    let forwarder = Rc::new(Forwarder {
        workers,
        turn: Cell::new(0),
    });
    let mut input = input()?;
    let mut nothing = [0; 1];
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted?.0,
            _ = input.read(&mut nothing) => return Ok(()),
        };
        stream.set_nodelay(true)?;
        let forwarder = forwarder.clone();
        tokio::task::spawn_local(async move {
            let service = hyper::service::service_fn(|request| async {
                let answer = forwarder.forward(request).await;
                Ok::<_, Infallible>(answer.unwrap_or_else(|_| {
                    let mut failed = Response::new(Full::default());
                    *failed.status_mut() = StatusCode::BAD_GATEWAY;
                    failed
                }))
            });
            let server = hyper::server::conn::http1::Builder::new();
            _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Standard input, a pipe, without a thread: one would count as the forwarder's.
fn input() -> io::Result<tokio::net::unix::pipe::Receiver> {
    let input = std::os::fd::AsFd::as_fd(&io::stdin()).try_clone_to_owned()?;
    tokio::net::unix::pipe::Receiver::from_owned_fd(input)
}

impl Forwarder {
    async fn forward(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let (head, body) = request.into_parts();
        let body = body.collect().await?.to_bytes();
        let turn = self.turn.get();
        self.turn.set(turn + 1);
        let (address, idle) = &self.workers[turn % self.workers.len()];
        let reused = idle.borrow_mut().pop();
        let mut sender = match reused.filter(Sender::is_ready) {
            Some(sender) => sender,
            None => dial(*address).await?,
        };
        let answer = sender
            .send_request(Request::from_parts(head, Full::new(body)))
            .await?;
        let (mut head, body) = answer.into_parts();
        let body = body.collect().await?.to_bytes();
        head.headers.remove(hyper::header::TRANSFER_ENCODING);
        if sender.ready().await.is_ok() {
            idle.borrow_mut().push(sender);
        }
        Ok(Response::from_parts(head, Full::new(body)))
    }
}

async fn dial(address: SocketAddr) -> Result<Sender, hyper::Error> {
    // All on loopback: a dial that fails ends the run.
    let stream = TcpStream::connect(address).await.expect("a worker");
    stream.set_nodelay(true).expect("set");
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    Ok(sender)
}
