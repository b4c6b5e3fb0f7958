//! The relay of one pair's connections: two pipes each, with a bounded number of chunks in flight.
//!
//! A relay closes no connection by itself while a cut or a stall is on: ends are forwarded in order with the bytes
//! before them, as late as these.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, Instant};

use super::{Controls, Faults};

/// Chunks in flight on one pipe.
const CHUNKS: usize = 32;
/// The size of a chunk at most, in bytes.
const CHUNK_SIZE: usize = 16 << 10;
/// The pause after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

pub(super) async fn run(
    listener: TcpListener,
    target: SocketAddr,
    controls: Controls,
    mut rng: fastrand::Rng,
) {
    // Ends with the trial's runtime; a failed accept (no descriptors) is retried.
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = connection(stream, target, controls.clone(), rng.fork());
                tokio::task::spawn_local(connection);
            }
            Err(_) => sleep(ACCEPT_RETRY).await,
        }
        // Every relay belongs to a link; without it, nobody can set a fault any more.
        if controls.faults.has_changed().is_err() {
            return;
        }
    }
}

async fn connection(
    near: TcpStream,
    target: SocketAddr,
    mut controls: Controls,
    mut rng: fastrand::Rng,
) {
    controls.resets.mark_unchanged();
    let far = tokio::select! {
        far = dial(target, &mut controls.faults) => far,
        _ = controls.resets.changed() => return reset(&near),
    };
    // Nobody listens there: the client sees a reset, the nearest to a refused connection that a relay has.
    let Ok(far) = far else {
        return reset(&near);
    };
    _ = near.set_nodelay(true);
    _ = far.set_nodelay(true);
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let there = Pipe {
        faults: controls.faults.clone(),
        is_cut: |f| f.cut_there,
    };
    let back = Pipe {
        faults: controls.faults.clone(),
        is_cut: |f| f.cut_back,
    };
    let there = there.run(near_in, far_out, rng.fork());
    let back = back.run(far_in, near_out, rng.fork());
    let (mut there, mut back) = (std::pin::pin!(there), std::pin::pin!(back));
    let mut there_end = None;
    let mut back_end = None;
    // A pipe drops its two halves at its end, so that a reset of one side is forwarded as a reset.
    while there_end.is_none() || back_end.is_none() {
        tokio::select! {
            end = &mut there, if there_end.is_none() => there_end = Some(end),
            end = &mut back, if back_end.is_none() => back_end = Some(end),
            _ = controls.resets.changed() => break,
        }
        if [there_end, back_end].contains(&Some(PipeEnd::Failed)) {
            break;
        }
    }
    // Dropping both pipes closes; with bytes unread or unsent the kernel makes it a reset.
}

/// Lets the close of a connection be a reset.
fn reset(stream: &TcpStream) {
    _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Connects to the target. The dial is a packet too: it is delayed, and waits while the direction there is cut.
/// While only the direction back is cut, it goes on, so that requests arrive whose answers do not.
async fn dial(
    target: SocketAddr,
    faults: &mut watch::Receiver<Faults>,
) -> std::io::Result<TcpStream> {
    // Copied first: a guard across the sleep would block the setter of a fault.
    let delay = faults.borrow().delay;
    sleep(delay).await;
    _ = faults.wait_for(|f| !f.cut_there).await;
    TcpStream::connect(target).await
}

/// How a pipe ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PipeEnd {
    /// After the end of the stream, which was forwarded.
    Orderly,
    Failed,
}

impl PipeEnd {
    fn orderly(is_orderly: bool) -> PipeEnd {
        if is_orderly {
            PipeEnd::Orderly
        } else {
            PipeEnd::Failed
        }
    }
}

/// Bytes on the way. An empty chunk is the end of the stream.
struct Chunk {
    /// When it arrives.
    at: Instant,
    bytes: Bytes,
}

/// One direction of a connection.
struct Pipe {
    faults: watch::Receiver<Faults>,
    is_cut: fn(&Faults) -> bool,
}

impl Pipe {
    /// Forwards bytes until their end.
    async fn run(self, from: OwnedReadHalf, to: OwnedWriteHalf, rng: fastrand::Rng) -> PipeEnd {
        let (sender, chunks) = mpsc::channel(CHUNKS);
        let read = read_chunks(from, self.faults.clone(), sender, rng);
        let write = self.write_chunks(chunks, to);
        let (mut read, mut write) = (std::pin::pin!(read), std::pin::pin!(write));
        tokio::select! {
            // The bytes that were read still arrive.
            end = &mut read => match write.await {
                PipeEnd::Orderly => end,
                PipeEnd::Failed => PipeEnd::Failed,
            },
            // A failed write ends the reading as well.
            end = &mut write => end,
        }
    }

    async fn write_chunks(
        mut self,
        mut chunks: mpsc::Receiver<Chunk>,
        mut to: OwnedWriteHalf,
    ) -> PipeEnd {
        while let Some(Chunk { at, bytes }) = chunks.recv().await {
            if at > Instant::now() {
                sleep_until(at).await;
            }
            let is_cut = self.is_cut;
            let passable = self.faults.wait_for(|f| !is_cut(f) && !f.stall).await;
            let Ok(rate) = passable.map(|faults| faults.rate) else {
                return PipeEnd::Failed;
            };
            if let Some(rate) = rate {
                let seconds = bytes.len() as f64 / rate.max(1) as f64;
                sleep(Duration::from_secs_f64(seconds)).await;
            }
            if bytes.is_empty() {
                return PipeEnd::orderly(to.shutdown().await.is_ok());
            }
            if to.write_all(&bytes).await.is_err() {
                return PipeEnd::Failed;
            }
        }
        PipeEnd::Failed
    }
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    faults: watch::Receiver<Faults>,
    sender: mpsc::Sender<Chunk>,
    mut rng: fastrand::Rng,
) -> PipeEnd {
    let mut last = Instant::now();
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK_SIZE);
        let Ok(n) = from.read_buf(&mut chunk).await else {
            return PipeEnd::Failed;
        };
        let Faults { delay, jitter, .. } = *faults.borrow();
        // Later chunks never overtake earlier ones.
        last = last.max(Instant::now() + delay + jitter.mul_f64(rng.f64()));
        let chunk = Chunk {
            at: last,
            bytes: chunk.freeze(),
        };
        if sender.send(chunk).await.is_err() {
            return PipeEnd::Failed;
        }
        if n == 0 {
            return PipeEnd::Orderly;
        }
    }
}
