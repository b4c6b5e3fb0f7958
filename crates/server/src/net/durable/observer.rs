//! Reports attempt events and endpoint list updates to the state machine of durable jobs.
//!
//! Events are passed on as they are seen; only the state machine judges what they prove.

use std::rc::Rc;

use bytes::Bytes;
use oakshed_core::facade::{Ending, Entry, ListKind, Report};
use oakshed_jobs::machine::AttemptEnd;
use oakshed_jobs::record::JobId;

use super::super::workers::AttemptObserver;
use super::super::Net;

/// Reports the events of an attempt, which is identified by its job and its fencing token.
#[derive(Clone, Copy)]
pub(super) struct JobAttempt(pub(super) JobId, pub(super) u64);

impl AttemptObserver for JobAttempt {
    fn on_progress(self, net: &Net, started: bool) {
        let JobAttempt(id, token) = self;
        let Some(durable) = &net.durable else { return };
        let now = net.clock.now();
        durable.jobs.borrow_mut().on_heartbeat(
            now,
            id,
            token,
            started,
            &mut net.facade.borrow_mut(),
        );
        durable.changed.notify_one();
    }

    fn on_ended(self, net: &Rc<Net>, ending: Ending, result: Option<Bytes>, load: Option<Report>) {
        let JobAttempt(id, token) = self;
        let Some(durable) = &net.durable else { return };
        // Removed without being stopped: its task still reads the rest of the response from the connection.
        durable.attempts.borrow_mut().remove(&(id, token));
        let end = result.map_or(AttemptEnd::NoResult(ending), |result| {
            AttemptEnd::Result(result.to_vec())
        });
        let now = net.clock.now();
        durable
            .jobs
            .borrow_mut()
            .on_ended(now, id, token, end, load, &mut net.facade.borrow_mut());
        durable.process_output(net);
    }
}

/// Reports a new or changed endpoint list.
pub(in super::super) fn on_list(net: &Rc<Net>, entries: &[Entry], kind: ListKind) {
    let Some(durable) = &net.durable else { return };
    let confirmed = matches!(kind, ListKind::Snapshot | ListKind::Delta);
    let starts = entries.iter().map(|e| (&e.worker, e.online_since / 1_000));
    let now = net.clock.now();
    durable.jobs.borrow_mut().on_endpoint_list(
        now,
        starts,
        confirmed,
        &mut net.facade.borrow_mut(),
    );
    durable.process_output(net);
}
