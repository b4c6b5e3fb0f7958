//! One scheduler of a fleet over all its incarnations: its addresses, its process if it runs, and its log.
//! [`World`](crate::world::World) starts and ends it.

use std::net::SocketAddr;

use oakshed_fault_injection::Faults;
use serde_json::Value;

use crate::checks::ReceivedList;
use crate::history::{LogLine, Span};
use crate::process::{Log, Process};

/// The cached list with which a scheduler starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CachedList {
    /// None.
    None,
    /// The list as it had it when it was killed; at its first start, the current list.
    Saved,
}

/// A scheduler.
pub struct Scheduler {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where clients reach it.
    pub front: SocketAddr,
    /// Where it reaches discovery.
    pub(crate) discovery: SocketAddr,
    pub(crate) cached: Option<Value>,
    pub(crate) process: Option<Process>,
    pub(crate) incarnations: Vec<Span>,
    pub(crate) stops: Vec<Span>,
    pub(crate) reloads: Vec<u64>,
    pub(crate) log: Log,
    /// The failing system calls of its current process.
    pub(crate) call_faults: Option<Faults>,
}

impl Scheduler {
    /// Its log so far.
    pub fn log(&self) -> Vec<LogLine> {
        self.log.borrow().clone()
    }

    /// When its processes logged that they listen.
    pub fn listens(&self) -> Vec<u64> {
        let log = self.log.borrow();
        log.iter()
            .filter(|line| line.message.contains(" listens on "))
            .map(|line| line.at)
            .collect()
    }

    /// The lists that it has logged.
    pub fn received_lists(&self) -> Vec<ReceivedList> {
        self.log
            .borrow()
            .iter()
            .filter_map(|line| {
                Some(ReceivedList {
                    at: line.at,
                    number: line.number?,
                })
            })
            .collect()
    }

    /// Whether its current incarnation has this list, or a later one.
    pub fn has_list(&self, number: u64) -> bool {
        let since = self.incarnations.last().map_or(u64::MAX, |span| span.from);
        self.log
            .borrow()
            .iter()
            .any(|line| line.at >= since && line.number.is_some_and(|n| n >= number))
    }
}
