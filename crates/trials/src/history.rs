//! The recorded history of a trial, as its checkers read it: events by node, requests and their answers,
//! incarnations and stops of processes, and log lines.
//!
//! Times are in microseconds of Unix time: all nodes are on one machine.

use std::cell::RefCell;
use std::rc::Rc;

use oakshed_standin::fleet::now_us;
pub use oakshed_standin::fleet::now_us as now;

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// An answer with this status.
    Answer(u16),
    /// The connection ended without an answer.
    Disconnected,
    /// It could not be sent: no connection.
    Unsent,
    /// No answer came for much longer than its deadline, and its client disconnected.
    TimedOut,
    /// Its client disconnected early, on purpose.
    Cancelled,
}

/// One request of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its `Req-Id`.
    pub id: String,
    /// The scheduler that it was sent to.
    pub scheduler: usize,
    /// Index of its class in the settings.
    pub class: usize,
    /// It may run at most once.
    pub once: bool,
    /// How long its client waits, in microseconds.
    pub patience: u64,
    /// When it was sent.
    pub sent: u64,
    /// When the connection that it was sent on was dialled.
    pub dialled: u64,
    /// When it ended.
    pub ended: u64,
    /// How it ended.
    pub end: End,
}

/// A span of time; without an end where it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// When it began.
    pub from: u64,
    /// When it ended.
    pub to: Option<u64>,
}

impl Span {
    /// Whether it overlaps the span `from..=to`.
    #[must_use]
    pub fn overlaps(&self, from: u64, to: u64) -> bool {
        self.from <= to && self.to.is_none_or(|end| end >= from)
    }

    /// A span that begins now.
    pub(crate) fn begin() -> Span {
        Span {
            from: now_us(),
            to: None,
        }
    }

    /// Ends the last of `spans` now, if it is open.
    pub(crate) fn end_last(spans: &mut [Span]) {
        if let Some(open) = spans.last_mut().filter(|s| s.to.is_none()) {
            open.to = Some(now_us());
        }
    }

    /// Begins a span now, unless the last one is open; or ends that.
    pub(crate) fn set_open(spans: &mut Vec<Span>, open: bool) {
        if !open {
            Span::end_last(spans);
        } else if spans.last().is_none_or(|s| s.to.is_some()) {
            spans.push(Span::begin());
        }
    }
}

/// A line of a scheduler's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// When it was written, by the scheduler's clock.
    pub at: u64,
    /// Its message.
    pub message: String,
    /// The list's number, where it names one.
    pub number: Option<u64>,
}

/// An event on a node, for the timeline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// When.
    pub at: u64,
    /// The node's name.
    pub node: String,
    /// What happened.
    pub label: String,
}

/// The history that a scenario records; clones share one.
#[derive(Clone, Debug, Default)]
pub struct History(Rc<RefCell<Record>>);

/// The whole record.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Events, in the order of their times.
    pub events: Vec<Event>,
    /// Requests that ended.
    pub requests: Vec<Request>,
}

impl History {
    /// Records an event that happens now.
    pub fn event(&self, node: &str, label: impl Into<String>) {
        self.0.borrow_mut().events.push(Event {
            at: now_us(),
            node: node.to_owned(),
            label: label.into(),
        });
    }

    /// Records a request that has ended.
    pub fn ended(&self, request: Request) {
        self.0.borrow_mut().requests.push(request);
    }

    /// The record so far.
    #[must_use]
    pub fn record(&self) -> Record {
        self.0.borrow().clone()
    }

    /// How many requests have ended.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.0.borrow().requests.len()
    }
}
