//! A job that a worker has started: its run, the events that it streams, and its result.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use tokio::time::sleep;

use super::{Reports, Shared, PROGRESS};

/// A job that may run and holds one of the worker's slots.
pub(super) struct Execution {
    pub(super) worker: Rc<Shared>,
    pub(super) class: String,
    /// The identifier of the request, which each event repeats.
    pub(super) request: String,
    /// The identifier of the job: that of the lease where there is one.
    pub(super) id: String,
    /// Whether the ledger retains the result.
    pub(super) is_leased: bool,
}

impl Execution {
    /// Runs the job to its end, whether or not anyone still listens; only a restart ends it.
    pub(super) fn start(self) -> Channel<Bytes, Infallible> {
        let (mut events, channel) = Channel::<Bytes, Infallible>::new(8);
        tokio::task::spawn_local(async move {
            let mut incarnation = self.worker.incarnation.subscribe();
            tokio::select! {
                () = self.run(&mut events) => {}
                // The connection breaks first: an end of the stream would be an answer of sorts.
                _ = incarnation.changed() => sleep(PROGRESS).await,
            }
            self.worker.slots.add_permits(1);
        });
        channel
    }

    async fn run(&self, events: &mut Sender<Bytes, Infallible>) {
        let mut left = self.worker.service(&self.class);
        let reports_start = self.worker.options.reports_start;
        if reports_start {
            _ = events.send_data(self.line("\"started\"")).await;
        }
        while left > PROGRESS {
            sleep(PROGRESS).await;
            left -= PROGRESS;
            if reports_start {
                _ = events.send_data(self.line("\"running\"")).await;
            }
        }
        sleep(left).await;
        let id = &self.id;
        let result = format!("made {id}");
        if self.is_leased && self.worker.ledger.borrow_mut().done(id, &result).is_err() {
            return;
        }
        let load = self.load();
        let done = self.line(&format!("\"done\",\"result\":\"{result}\"{load}"));
        _ = events.send_data(done).await;
    }

    /// The worker's load, as the last event carries it.
    fn load(&self) -> String {
        match self.worker.options.reports {
            Reports::Answers => {
                let queue = self.worker.waiting.get();
                format!(
                    r#","load":{{"inflight":{},"queue":{queue},"x0":{}}}"#,
                    self.worker.running() + queue,
                    self.worker.free()
                )
            }
            Reports::None | Reports::Probes => String::new(),
        }
    }

    fn line(&self, rest: &str) -> Bytes {
        let request = &self.request;
        Bytes::from(format!(
            "{{\"id\":\"{request}\",\"from\":\"s\",\"state\":{rest}}}\n"
        ))
    }
}
