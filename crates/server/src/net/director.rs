//! The director: the list of backends, and the watch on its changes.
//!
//! It owns the connection to the director (two for as long as a watch seems silent) and the number of the
//! list held, and keeps the backends' addresses and the facade's list in step. It must never decide when to
//! subscribe (the facade says so), wait for a call without bound, or let a malformed list in.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
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
use oakshed_core::facade::{Entry, ListKind, Seen};

const PATH: &str = "/v1/endpoints";
/// Whatever the director has to tell counts as told so long after a watch fell silent, or `AFTER_HOLD` after
/// the wait that was asked for, if that is later.
const TOLD_ANYWAY: Duration = Duration::from_secs(6);
const AFTER_HOLD: Duration = Duration::from_secs(2);
/// A watch is asked to hold for no longer than this, so that one that is silent is noticed, and a fresh call
/// answered, before that time; and for a quarter of it at the least.
const LONGEST_HOLD: Duration = TOLD_ANYWAY.saturating_sub(AFTER_HOLD);
const SHORTEST_HOLD: Duration = Duration::from_secs(1);
const LEAST_PART: u32 = 4;
/// Where the director serves watches in turn too, the whole fleet's take a third of its time: the longest hold
/// is so many times what one takes, for each scheduler, up to half of what a director holds at the most.
const TURNS: u32 = 3;
const MOST_HOLD: Duration = Duration::from_secs(30);
/// The pause after an answer that came at once and holds no news: half the time within which the
/// next call of a watch must come.
const PAUSE: Duration = Duration::from_millis(100);
/// What the answer of a watch that goes on may take beyond its hold, and twice what such answers took lately. A
/// new call may have to wait for its turn, for as long as `AFTER_HOLD`.
const QUIET: Duration = Duration::from_millis(300);
/// The longest that connecting may take.
const DIAL: Duration = Duration::from_secs(1);
/// The largest list that is read.
const LARGEST_LIST: usize = 1 << 20;

/// Takes in the list as it was last held, before anything else is known.
pub(crate) fn remember(net: &Rc<Net>) {
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

/// Watches the list, always at the director's present address.
pub(crate) async fn run(net: Rc<Net>) {
    let mut address = net.director.subscribe();
    let mut generation = net.config.known.as_ref().map(|known| known.generation);
    // Where the settings say that the list is pushed, the module never asks for the first one.
    let mut at_once = !net.config.settings.list_on_request;
    loop {
        let at = *address.borrow_and_update();
        // Wherever the watch stands when the director moves (in a call, or waiting for the next),
        // it ends: the old one may close any moment, and what it tells is old.
        tokio::select! {
            _ = address.changed() => {}
            () = watch(&net, at, &mut generation, at_once) => {}
        }
        // The new one may number its lists differently: it is asked for the whole, at once.
        (generation, at_once) = (None, true);
    }
}

/// How calls go at one address.
struct Watch {
    link: Option<Link>,
    /// How much later than their holds answers without news came lately: what a turn at the director takes.
    turn: Duration,
    rng: fastrand::Rng,
}

/// Watches the list whenever the facade asks for it, and now where that is wanted.
async fn watch(net: &Rc<Net>, at: SocketAddr, generation: &mut Option<u64>, mut now: bool) {
    let rng = fastrand::Rng::with_seed(net.config.seed ^ net.clock.now());
    let mut watch = Watch { link: None, turn: Duration::ZERO, rng };
    loop {
        let told = std::mem::take(&mut now);
        if !told {
            net.subscribe.notified().await;
        }
        let (first, spread) = (generation.is_none() && !told, net.facade.borrow().ask_spread());
        let failure = loop {
            let called = net.clock.now();
            match ask(net, at, &mut watch, *generation).await {
                Ok(answer) => {
                    let whole = generation.replace(answer.generation).is_none();
                    apply(net, &answer, if answer.reset { ListKind::All } else { ListKind::Changes });
                    // Guards against a director that does not hold: calls would chase each other.
                    if answer.instances.is_empty() && net.clock.now() < called + PAUSE.as_micros() as u64 {
                        tokio::time::sleep(PAUSE).await;
                    }
                    // Guards against watches that keep those waiting who have no list yet.
                    if whole && first {
                        tokio::time::sleep(Duration::from_micros(spread)).await;
                    }
                }
                Err(failure) => break failure,
            }
        };
        // A connection on which a call has failed may carry its answer yet.
        watch.link = None;
        net.count(|c| &mut c.director_failures);
        warn!("director: {failure}");
        net.report(Seen::List(ListKind::Refused, &[]));
    }
}

/// One call of a watch. Where its answer is overdue, a second one goes out beside it, on a connection of its own,
/// and the first answer counts. Guards against taking silence for a refusal: after one, a director in trouble
/// is spared for seconds, in which what a broken watch has missed counts as told. And against giving up the
/// turn of a call that only waits.
async fn ask(net: &Net, at: SocketAddr, watch: &mut Watch, from: Option<u64>) -> Result<Answer, String> {
    let settings = &net.config.settings;
    let longest = Duration::from_micros(settings.ask_every / 2).clamp(SHORTEST_HOLD, LONGEST_HOLD);
    let longest = (TURNS.saturating_mul(settings.dispatchers) * watch.turn).clamp(longest, MOST_HOLD);
    let shortest = longest / LEAST_PART;
    let new = watch.link.as_ref().is_none_or(Link::is_dead);
    // By chance, as all schedulers begin anew whenever there is news: else all would find a silent director, and
    // call it, at one moment. A new one for as short as may be, as beside it has to be given time for its turn.
    let part = if new { 0.0 } else { watch.rng.f64() };
    let hold = shortest + (longest - shortest).mul_f64(part);
    let patience = match from {
        None => TOLD_ANYWAY, // who has no list has nothing to lose by waiting
        Some(_) if new => AFTER_HOLD,
        Some(_) => QUIET + 2 * watch.turn,
    };
    let called = net.clock.now();
    let mut beside = None;
    let (answer, silent) = {
        let mut first = pin!(call(net, at, &mut watch.link, from, hold));
        match timeout(hold + patience, first.as_mut()).await {
            Ok(answer) => (answer, false),
            Err(_) => {
                net.count(|c| &mut c.silent_watches);
                let first = async {
                    match first.await {
                        Ok(answer) => answer,
                        Err(_) => std::future::pending().await, // the second one decides
                    }
                };
                tokio::select! {
                    answer = first => (Ok(answer), false),
                    answer = in_time(shortest + AFTER_HOLD, call(net, at, &mut beside, from, shortest)) => (answer, true),
                }
            }
        }
    };
    let took = Duration::from_micros(net.clock.now().saturating_sub(called));
    let at_its_end = from.is_none() || answer.as_ref().is_ok_and(|a| a.instances.is_empty());
    if !silent && answer.is_ok() && at_its_end {
        let waited = if from.is_none() { Duration::ZERO } else { hold };
        let turn = took.saturating_sub(waited).min(AFTER_HOLD);
        watch.turn = if watch.turn.is_zero() { turn } else { (watch.turn + turn) / 2 };
    }
    if silent {
        watch.link = beside;
    }
    answer
}

async fn in_time<T>(limit: Duration, call: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    timeout(limit, call).await.unwrap_or_else(|_| Err("no answer in time".into()))
}

async fn call(
    net: &Net,
    address: SocketAddr,
    link: &mut Option<Link>,
    from: Option<u64>,
    hold: Duration,
) -> Result<Answer, String> {
    net.count(|c| &mut c.director_calls);
    if link.as_ref().is_none_or(Link::is_dead) {
        let dial = async { Link::dial(address).await.map_err(|e| format!("cannot connect: {e}")) };
        *link = Some(in_time(DIAL, dial).await?);
    }
    let link = link.as_mut().ok_or("no connection")?;
    let _news = net.backends.listen(link);
    let path = match from {
        Some(from) => format!("{PATH}?from={from}&hold_ms={}", hold.as_millis()),
        None => PATH.to_owned(),
    };
    let request = Request::get(path).header(HOST, address.to_string()).body(Full::<Bytes>::default());
    let request = request.map_err(|e| e.to_string())?;
    link.sender.ready().await.map_err(|e| e.to_string())?;
    let response = link.sender.send_request(request).await.map_err(|e| e.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(format!("answered {}", response.status()));
    }
    let body = Limited::new(response.into_body(), LARGEST_LIST).collect().await;
    let body = body.map_err(|e| format!("broken answer: {e}"))?;
    Answer::parse(&body.to_bytes()).map_err(|e| {
        net.count(|c| &mut c.malformed_lists);
        format!("malformed list: {e}")
    })
}
