//! Stand-in workers that take little of the processor: a job starts at once and runs for a span.
//!
//! They serve the platform's chunked stream of a job (`started`, `done`) and the answer to a probe, on a thread of
//! their own, and queue, decline or remember nothing.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::Sleep;

/// Starts so many; they serve until the process ends.
pub fn start(many: usize, service: Duration) -> io::Result<Vec<SocketAddr>> {
    let listeners: Vec<_> = (0..many)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0"))
        .collect::<io::Result<_>>()?;
    let addresses = listeners
        .iter()
        .map(|l| l.local_addr())
        .collect::<io::Result<_>>()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::spawn(move || {
        let local = tokio::task::LocalSet::new();
        for listener in listeners {
            local.spawn_local(serve(listener, service));
        }
        runtime.block_on(local);
    });
    Ok(addresses)
}

async fn serve(listener: std::net::TcpListener, service: Duration) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        tokio::task::spawn_local(async move {
            let job = hyper::service::service_fn(move |request| run(request, service));
            let server = hyper::server::conn::http1::Builder::new();
            _ = server.serve_connection(TokioIo::new(stream), job).await;
        });
    }
}

async fn run(request: Request<Incoming>, service: Duration) -> Result<Response<Lines>, Infallible> {
    let sleep = Box::pin(tokio::time::sleep(service));
    if request.uri().path() == "/status/load" {
        let lines = [Some("inflight=1, queue=0".to_owned()), None];
        return Ok(Response::new(Lines { lines, sleep }));
    }
    let id = request
        .headers()
        .get("req-id")
        .and_then(|id| id.to_str().ok())
        .unwrap_or("")
        .to_owned();
    _ = request.into_body().collect().await;
    let line = |end: &str| {
        Some(format!(
            "{{\"id\":\"{id}\",\"from\":\"s\",\"state\":{end}}}\n"
        ))
    };
    let lines = [line(r#""started""#), line(r#""done","result":"made""#)];
    Ok(Response::new(Lines { lines, sleep }))
}

/// The stream of a job: a line at once, and one after the sleep.
struct Lines {
    lines: [Option<String>; 2],
    sleep: Pin<Box<Sleep>>,
}

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let first = self.lines[0].take();
        if first.is_none() && self.lines[1].is_some() {
            ready!(self.sleep.as_mut().poll(cx));
        }
        let line = first.or_else(|| self.lines[1].take());
        Poll::Ready(line.map(|line| Ok(Frame::data(line.into()))))
    }

    fn is_end_stream(&self) -> bool {
        self.lines.iter().all(Option::is_none)
    }
}
