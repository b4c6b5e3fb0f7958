//! Discovery: the list of backends, and the watch on its changes.
//!
//! It owns the connections to discovery (up to three for as long as a watch seems silent) and the number of
//! the list held, and keeps the backends' addresses and the facade's list in step. It must never decide when to
//! subscribe (the facade says so) or for how long to wait (`watch`), or let a malformed list in.

mod watch;

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{header::HOST, Request, StatusCode};
use tokio::time::timeout;
use tracing::{info, warn};

use super::backends::Link;
use super::{durable, peers, Net};
use crate::list::Answer;
use oakshed_core::facade::{Entry, ListKind, Micros, Seen};
use watch::Watch;

const PATH: &str = "/v1/endpoints";
/// The longest that connecting may take.
const DIAL: Duration = Duration::from_secs(1);
/// The largest list that is read: 4 KB for each of 1,024 workers, so that it may come indented, with the longest
/// names and fields that are not known yet. As much as is read of the file that holds such a list.
const LARGEST_LIST: usize = 4 << 20;

/// Takes in the list as it was last held, before anything else is known. Not where the list is pushed: what the
/// agent has counts as told from the first moment, so that nothing is sent by an older one unless the agent is
/// silent or fails.
pub(crate) fn remember(net: &Rc<Net>) {
    if net.config.settings.list_on_request {
        recall(net);
    }
}

fn recall(net: &Rc<Net>) {
    if let Some(known) = &net.config.known {
        apply(net, known, ListKind::Remembered);
    }
}

fn apply(net: &Rc<Net>, answer: &Answer, kind: ListKind) {
    let entries: Vec<Entry> = answer.instances.iter().map(|i| i.entry(&net.config.names)).collect();
    let addresses = answer.instances.iter().map(|i| i.host_port);
    net.backends.update(kind != ListKind::Changes, entries.iter().zip(addresses));
    net.held.borrow_mut().update(answer, kind != ListKind::Changes);
    net.report(Seen::List(kind, &entries));
    durable::list(net, &entries, kind);
    if kind != ListKind::Remembered {
        peers::listed(net);
    }
    if !entries.is_empty() {
        let (number, ready) = (answer.generation, net.backends.ready_count());
        info!(number, ready, "list {number} ({kind:?}): {} entries, {ready} backends ready", entries.len());
    }
}

/// Watches the list, always at discovery's present address.
pub(crate) async fn run(net: Rc<Net>) {
    let settings = &net.config.settings;
    // Where the settings say that the list is pushed, the module never asks for the first one, and the whole is
    // asked for.
    let pushed = !settings.list_on_request;
    let mut generation = net.config.known.as_ref().filter(|_| !pushed).map(|known| known.generation);
    let (mut at_once, unheard) = (pushed, Cell::new(pushed));
    let mut address = net.discovery.subscribe();
    loop {
        let at = *address.borrow_and_update();
        let (seed, failing) = (net.config.seed ^ net.clock.now(), Cell::new(false));
        let discovery = At { net: &net, at, unheard: &unheard, failing };
        // Wherever the watch stands when discovery moves (in a call, or waiting for the next),
        // it ends: the old one may close any moment, and what it tells is old.
        tokio::select! {
            _ = address.changed() => {}
            () = Watch::new(&discovery, settings, seed).run(&mut generation, at_once) => {}
        }
        // The new one may number its lists differently: it is asked for the whole, at once.
        (generation, at_once) = (None, true);
    }
}

/// Discovery at one address.
struct At<'a> {
    net: &'a Rc<Net>,
    at: SocketAddr,
    /// The list is pushed, and nothing was heard yet.
    unheard: &'a Cell<bool>,
    /// The last call has failed.
    failing: Cell<bool>,
}

impl watch::Discovery for At<'_> {
    type Link = Link;

    async fn call(
        &self,
        link: Option<Link>,
        from: Option<u64>,
        hold: Duration,
    ) -> Result<(Answer, Link), String> {
        self.net.count(|c| &mut c.discovery_calls);
        let mut link = match link.filter(|link| !link.is_dead()) {
            Some(link) => link,
            None => {
                let dialled = timeout(DIAL, Link::dial(self.at)).await;
                let dialled = dialled.map_err(|_| "cannot connect: no answer in time".to_owned())?;
                dialled.map_err(|e| format!("cannot connect: {e}"))?
            }
        };
        // Until its answer has been taken in, which is in the same turn: what comes meanwhile counts as told.
        let _news = self.net.backends.listen(&link);
        let path = match from {
            Some(from) => format!("{PATH}?from={from}&hold_ms={}", hold.as_millis()),
            None => PATH.to_owned(),
        };
        let request = Request::get(path).header(HOST, self.at.to_string()).body(Full::<Bytes>::default());
        let request = request.map_err(|e| e.to_string())?;
        link.sender.ready().await.map_err(|e| e.to_string())?;
        let response = link.sender.send_request(request).await.map_err(|e| e.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("answered {}", response.status()));
        }
        let body = Limited::new(response.into_body(), LARGEST_LIST).collect().await;
        let body = body.map_err(|e| format!("broken answer: {e}"))?;
        let answer = Answer::parse(&body.to_bytes()).map_err(|e| {
            self.net.count(|c| &mut c.malformed_lists);
            format!("malformed list: {e}")
        })?;
        Ok((answer, link))
    }

    async fn wanted(&self) {
        self.net.subscribe.notified().await;
    }

    fn spread(&self) -> Micros {
        self.net.facade.borrow().ask_spread()
    }

    fn holds_a_list(&self) -> bool {
        self.net.config.known.is_some() || self.net.facade.borrow().members().listed > 0
    }

    fn told(&self, answer: &Answer) {
        self.unheard.set(false);
        self.failing.set(false);
        apply(self.net, answer, if answer.reset { ListKind::All } else { ListKind::Changes });
    }

    fn silent(&self) {
        self.net.count(|c| &mut c.silent_watches);
        self.unheard.take().then(|| recall(self.net));
    }

    fn failed(&self, why: &str) {
        self.unheard.take().then(|| recall(self.net));
        self.net.count(|c| &mut c.discovery_failures);
        // Once for all in a row: discovery that is down is called many times a second where the list is
        // pushed.
        if !self.failing.replace(true) {
            warn!("discovery: {why}");
        }
        self.net.report(Seen::List(ListKind::Refused, &[]));
    }
}
