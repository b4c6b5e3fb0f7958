//! Reads a job stream line by line up to its final line, and decides what each line means for the attempt.
//!
//! A stream with a line that is too long, malformed or for another request is discarded, and the attempt counts as
//! dropped.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::super::forwarded_request::ForwardedRequest;
use super::super::memory::Holder;
use super::super::Net;
use super::attempt::{AttemptEnd, AttemptObserver, Dispatch};
use super::connection::Connection;
use super::line_buffer::LineBuffer;
use super::stream::{result_bytes, Line, MAX_LINE_BYTES};
use oakshed_core::facade::{Ending, Report};

impl<W: AttemptObserver + Copy> Dispatch<W> {
    /// Reads the lines of a job stream up to the final one.
    pub(super) async fn read_stream(
        &self,
        connection: Connection,
        mut body: Incoming,
    ) -> AttemptEnd {
        let mut buffer = LineBuffer::default();
        let mut charge = self.net.memory.charge(Holder::WorkerLines, 0);
        let mut has_started = false;
        while let Some(Ok(frame)) = body.frame().await {
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if !self.net.memory.can_exceed(data.len()) {
                self.net.counters.workers.no_memory.increment();
                return Ending::Dropped.into();
            }
            buffer.extend(&data);
            charge.resize(buffer.capacity());
            if let Some(result) = self.forwarded.expected_result() {
                result.on_received(buffer.len());
            }
            while let Some(line) = buffer.next_line() {
                match read_line(&self.net, &self.forwarded, line, has_started) {
                    LineMeaning::Alive { started } => {
                        has_started = true;
                        self.observer.on_progress(&self.net, started);
                    }
                    LineMeaning::Unknown => {}
                    LineMeaning::Unusable => return Ending::Dropped.into(),
                    LineMeaning::Final {
                        ending,
                        result,
                        load,
                    } => {
                        self.record_result_size(result.as_ref());
                        return AttemptEnd {
                            ending,
                            result,
                            load,
                            reusable: Some((connection, body)),
                        };
                    }
                }
            }
            if buffer.len() > MAX_LINE_BYTES {
                self.net.counters.workers.malformed_lines.increment();
                return Ending::Dropped.into();
            }
        }
        self.net.counters.workers.early_ends.increment();
        Ending::Dropped.into()
    }

    fn record_result_size(&self, result: Option<&Bytes>) {
        if let (Some(expected), Some(result)) = (self.forwarded.expected_result(), result) {
            expected.on_result(result.len());
        }
    }
}

/// The meaning of a line of a job stream.
enum LineMeaning {
    /// The job has started, or is still running.
    Alive { started: bool },
    /// The job has ended.
    Final {
        ending: Ending,
        result: Option<Bytes>,
        load: Option<Report>,
    },
    /// A state that this version does not know, which is ignored.
    Unknown,
    /// The line is malformed or for another request, so the stream is not trusted.
    Unusable,
}

/// Parses one line. `has_started` says whether an earlier line reported the job as started or running.
fn read_line(
    net: &Net,
    forwarded: &ForwardedRequest,
    text: &[u8],
    has_started: bool,
) -> LineMeaning {
    let Ok(line) = serde_json::from_slice::<Line>(text) else {
        net.counters.workers.malformed_lines.increment();
        return LineMeaning::Unusable;
    };
    // A result for another request must never be served.
    if line.id.as_bytes() != forwarded.id.as_bytes() {
        net.counters.workers.wrong_id_lines.increment();
        return LineMeaning::Unusable;
    }
    let mut result = None;
    let ending = match &*line.state {
        "started" => return LineMeaning::Alive { started: true },
        "running" => return LineMeaning::Alive { started: false },
        "done" => {
            result = line.result.and_then(result_bytes);
            if result.is_none() {
                net.counters.workers.malformed_lines.increment();
                return LineMeaning::Unusable;
            }
            Ending::Delivered
        }
        "failed" => Ending::Error,
        "returned" if !has_started => Ending::Declined,
        // Returned after the worker had reported it as started: it may have run.
        "returned" => Ending::Dropped,
        "lost" => {
            net.counters.workers.lost_jobs.increment();
            Ending::Dropped
        }
        _ => return LineMeaning::Unknown,
    };
    LineMeaning::Final {
        ending,
        result,
        load: line.load.map(Report::from),
    }
}
