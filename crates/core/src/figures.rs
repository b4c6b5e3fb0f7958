//! Counts requests by class and outcome, and renders the counts for operators.
//!
//! A request that has been taken in holds a [`PendingRequest`]. Consuming or dropping it counts the
//! end of the request, so that no end is counted twice or missed.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::rc::Rc;

/// How a request ended, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served with a worker's result.
    Completed,
    /// Rejected; the client may safely try again.
    Rejected,
    /// Failed for any reason.
    Failed,
    /// Ended without a final answer: the client disconnected, or the request became a durable job.
    Abandoned,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    taken: u64,
    ended: [u64; 4],
}

/// The numbers of workers that operators see beside the request counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Workers in the endpoint list.
    pub listed: usize,
    /// Listed workers to which nothing is sent now: not active in the list, excluded by an
    /// operator, or in backoff.
    pub unavailable: usize,
}

#[derive(Debug, Default)]
struct Inner {
    /// By class index; the last element counts requests of unknown classes.
    classes: Vec<Counts>,
    pending: u64,
}

impl Inner {
    /// Asserts, in debug builds, that the requests taken are those ended and those pending;
    /// otherwise one was counted twice or not at all. [`PendingRequest`] already ensures this, so
    /// the check guards against later changes.
    fn assert_consistent(&self) {
        if !cfg!(debug_assertions) {
            return;
        }
        let (taken, ended) = self.classes.iter().fold((0, 0), |(taken, ended), c| {
            (taken + c.taken, ended + c.ended.iter().sum::<u64>())
        });
        debug_assert_eq!(
            taken,
            ended + self.pending,
            "requests taken must equal requests ended plus pending"
        );
    }
}

/// Counts requests by class and outcome. Clones share the counts.
#[derive(Clone, Debug)]
pub struct RequestCounts(Rc<RefCell<Inner>>);

impl RequestCounts {
    /// Creates the counts for a number of classes.
    #[must_use]
    pub fn new(classes: usize) -> RequestCounts {
        RequestCounts(Rc::new(RefCell::new(Inner {
            classes: vec![Counts::default(); classes + 1],
            pending: 0,
        })))
    }

    /// Counts a request that has arrived; `None` if its class is unknown.
    #[must_use]
    pub fn begin(&self, class: Option<usize>) -> PendingRequest {
        let mut inner = self.0.borrow_mut();
        let unknown_class = inner.classes.len() - 1;
        let class = class
            .filter(|c| *c < unknown_class)
            .unwrap_or(unknown_class);
        inner.classes[class].taken += 1;
        inner.pending += 1;
        PendingRequest {
            counts: self.clone(),
            class,
            outcome: RequestOutcome::Abandoned,
        }
    }

    /// Returns the number of requests that were taken and have not ended.
    #[must_use]
    pub fn pending(&self) -> u64 {
        self.0.borrow().pending
    }

    /// Returns how many requests of a class ended with an outcome; `None` stands for the unknown
    /// classes.
    #[must_use]
    pub fn ended(&self, class: Option<usize>, outcome: RequestOutcome) -> u64 {
        let inner = self.0.borrow();
        let counts = class.map_or(inner.classes.last(), |c| inner.classes.get(c));
        counts.map_or(0, |c| c.ended[outcome as usize])
    }

    /// Renders the counts in the format for operators, one per line.
    #[must_use]
    pub fn render(&self, names: &[String], upstream: u64, members: Members) -> String {
        let inner = self.0.borrow();
        inner.assert_consistent();
        let mut text = String::new();
        let mut line = |name: std::fmt::Arguments<'_>, value: u64, kind: char| {
            _ = writeln!(text, "edge_router.{name}:{value}|{kind}");
        };
        for (name, counts) in names.iter().zip(&inner.classes) {
            for (end, suffix) in ["completed", "rejected", "failed"].into_iter().enumerate() {
                line(
                    format_args!("downstream_requests.{name}.{suffix}"),
                    counts.ended[end],
                    'c',
                );
            }
        }
        line(format_args!("upstream_requests"), upstream, 'c');
        line(format_args!("pending"), inner.pending, 'g');
        line(format_args!("members"), members.listed as u64, 'g');
        line(
            format_args!("members_unavailable"),
            members.unavailable as u64,
            'g',
        );
        text
    }
}

/// A request that was taken and has not ended. If it is dropped without an outcome, the request
/// counts as [`RequestOutcome::Abandoned`].
#[derive(Debug)]
pub struct PendingRequest {
    counts: RequestCounts,
    class: usize,
    outcome: RequestOutcome,
}

impl PendingRequest {
    /// Records the outcome of the request.
    pub fn end(mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        let mut inner = self.counts.0.borrow_mut();
        inner.classes[self.class].ended[self.outcome as usize] += 1;
        inner.pending -= 1;
        inner.assert_consistent();
    }
}
