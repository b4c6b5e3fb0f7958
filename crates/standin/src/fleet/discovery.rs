//! Discovery for many schedulers, which can be down, slow, serve one call at a time, and become unresponsive.
//!
//! It owns the list, its numbers, and the record of all calls. Each scheduler calls an address of its own,
//! so that it can get other addresses of the workers than the rest.

mod types;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::pending;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::{json, Value};
use tokio::sync::{watch, Mutex};
use tokio::time::{sleep, timeout};

use super::{answer, bind, now_us, reset, Body};
pub use types::{Call, Endpoint, ListFormat, Outcome, Pace};

/// Returns a worker's address as a caller is to see it.
type Resolve = Box<dyn Fn(usize, &str) -> SocketAddr>;

struct State {
    number: u64,
    endpoints: BTreeMap<String, Endpoint>,
    pace: Option<Pace>,
    slow: Duration,
    rejects_calls: bool,
    format: ListFormat,
    calls: Vec<Call>,
    bytes: u64,
}

/// What wakes the calls that wait.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Signal {
    number: u64,
    /// Watches that were open at a change of this are never answered.
    silenced: u64,
    down: bool,
}

struct Shared {
    state: RefCell<State>,
    signal: watch::Sender<Signal>,
    turn: Mutex<()>,
    resolve: Resolve,
}

/// Discovery.
#[derive(Clone)]
pub struct FleetDiscovery(Rc<Shared>);

impl FleetDiscovery {
    /// Discovery with an empty list of number 1. `resolve` returns the address of a worker for each caller.
    pub fn new(resolve: impl Fn(usize, &str) -> SocketAddr + 'static) -> FleetDiscovery {
        let state = State {
            number: 1,
            endpoints: BTreeMap::new(),
            pace: None,
            slow: Duration::ZERO,
            rejects_calls: false,
            format: ListFormat::default(),
            calls: Vec::new(),
            bytes: 0,
        };
        let signal = watch::Sender::new(Signal {
            number: 1,
            ..Signal::default()
        });
        FleetDiscovery(Rc::new(Shared {
            state: RefCell::new(state),
            signal,
            turn: Mutex::new(()),
            resolve: Box::new(resolve),
        }))
    }

    /// Serves a caller at an address of its own.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn listen(&self, caller: usize, at: IpAddr) -> std::io::Result<SocketAddr> {
        let (listener, address) = bind(at).await?;
        let shared = self.0.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if shared.signal.borrow().down {
                    reset(stream);
                    continue;
                }
                _ = stream.set_nodelay(true);
                let shared = shared.clone();
                let mut signal = shared.signal.subscribe();
                tokio::task::spawn_local(async move {
                    let service = service_fn(|request| {
                        let shared = shared.clone();
                        async move { Ok::<_, Infallible>(shared.call(caller, request).await) }
                    });
                    let mut http = hyper::server::conn::http1::Builder::new();
                    let serve = http
                        .timer(TokioTimer::new())
                        .serve_connection(TokioIo::new(stream), service);
                    tokio::select! {
                        _ = serve => {}
                        _ = signal.wait_for(|s| s.down) => {}
                    }
                });
            }
        });
        Ok(address)
    }

    /// Changes the list in one step; returns its new number.
    pub fn change(&self, change: impl FnOnce(&mut BTreeMap<String, Endpoint>)) -> u64 {
        let number = {
            let mut state = self.0.state.borrow_mut();
            state.number += 1;
            let number = state.number;
            let before = state.endpoints.clone();
            change(&mut state.endpoints);
            for (name, endpoint) in &mut state.endpoints {
                if before.get(name) != Some(endpoint) {
                    endpoint.since = number;
                }
            }
            number
        };
        self.0.signal.send_modify(|s| s.number = number);
        number
    }

    /// Sets a worker's lifecycle state and start time; returns the list's new number.
    ///
    /// # Panics
    /// Panics when the worker is not listed.
    #[must_use]
    pub fn set(&self, worker: &str, lifecycle: &'static str, started_ms: u64) -> u64 {
        self.change(|list| {
            let endpoint = list.get_mut(worker).expect("a listed worker");
            endpoint.lifecycle = lifecycle;
            endpoint.started_ms = started_ms;
        })
    }

    /// Sets the format of the answers.
    pub fn set_format(&self, format: ListFormat) {
        self.0.state.borrow_mut().format = format;
    }

    /// Sets whether each call that comes is rejected; watches that are open go on.
    pub fn reject_calls(&self, reject: bool) {
        self.0.state.borrow_mut().rejects_calls = reject;
    }

    /// Sets a worker's lifecycle state; returns the list's new number.
    ///
    /// # Panics
    /// Panics when the worker is not listed.
    #[must_use]
    pub fn lifecycle(&self, worker: &str, lifecycle: &'static str) -> u64 {
        self.change(|list| list.get_mut(worker).expect("a listed worker").lifecycle = lifecycle)
    }

    /// Sets the pace of serving one call at a time; nothing: calls are served at once.
    pub fn pace(&self, pace: Option<Pace>) {
        self.0.state.borrow_mut().pace = pace;
    }

    /// Delays each answer.
    pub fn slow(&self, by: Duration) {
        self.0.state.borrow_mut().slow = by;
    }

    /// Never answers the watches that are open now; new calls are answered.
    pub fn silence(&self) {
        self.0.signal.send_modify(|s| s.silenced += 1);
    }

    /// Sets whether it is down: connections are reset, new ones too.
    pub fn down(&self, down: bool) {
        self.0.signal.send_modify(|s| s.down = down);
    }

    /// A snapshot of the list as a caller sees it, for its `known`.
    #[must_use]
    pub fn known(&self, caller: usize) -> Value {
        self.0.list(caller, None)
    }

    /// The list's number.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.0.state.borrow().number
    }

    /// The bytes of all answers.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.0.state.borrow().bytes
    }

    /// All calls, in the order in which they came.
    #[must_use]
    pub fn calls(&self) -> Vec<Call> {
        self.0.state.borrow().calls.clone()
    }
}

impl Shared {
    /// The list as a caller sees it: a snapshot, or the delta since a number.
    fn list(&self, caller: usize, from: Option<u64>) -> Value {
        let state = self.state.borrow();
        let is_sent = |endpoint: &Endpoint| match from {
            None => endpoint.lifecycle != "gone",
            Some(from) => endpoint.since > from,
        };
        let instances: Vec<Value> = state
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_sent(endpoint))
            .map(|(name, endpoint)| {
                json!({
                    "instanceId": name,
                    "hostPort": (self.resolve)(caller, name),
                    "zone": endpoint.zone,
                    "machineType": "fast-7",
                    "cell": endpoint.cell,
                    "lifecycle": endpoint.lifecycle,
                    "weight": endpoint.weight,
                    "startedAtMs": endpoint.started_ms,
                })
            })
            .collect();
        json!({ "generation": state.number, "reset": from.is_none(), "instances": instances })
    }

    /// Records a call that came, and returns its index.
    fn begin(&self, caller: usize, from: Option<u64>) -> usize {
        let mut state = self.state.borrow_mut();
        state.calls.push(Call {
            caller,
            at: now_us(),
            from,
            outcome: Outcome::Open,
            done: None,
        });
        state.calls.len() - 1
    }

    fn end(&self, call: usize, outcome: Outcome) {
        let call = &mut self.state.borrow_mut().calls[call];
        call.outcome = outcome;
        call.done = Some(now_us());
    }

    async fn call(&self, caller: usize, request: Request<Incoming>) -> Response<Body> {
        let query = request.uri().query().unwrap_or("");
        let from = parameter(query, "from");
        let hold = Duration::from_millis(parameter(query, "hold_ms").unwrap_or(0));
        let call = self.begin(caller, from);
        let is_rejected = self.state.borrow().rejects_calls;
        if is_rejected || !self.wait_for_turn().await {
            self.end(call, Outcome::Rejected);
            return answer(503, "");
        }
        self.watch(from, hold).await;
        let format = self.state.borrow().format;
        if from.is_some() {
            sleep(format.delay).await;
        }
        let (outcome, list) = self.answer_call(caller, from, format);
        self.end(call, outcome);
        let body = if format.indented {
            format!("{list:#}")
        } else {
            list.to_string()
        };
        self.state.borrow_mut().bytes += body.len() as u64;
        answer(200, body)
    }

    /// Waits as the pace and the faults that are set demand; returns false where it takes too long.
    async fn wait_for_turn(&self) -> bool {
        let (pace, slow) = {
            let state = self.state.borrow();
            (state.pace, state.slow)
        };
        if let Some(pace) = pace {
            let Ok(turn) = timeout(pace.reject_after, self.turn.lock()).await else {
                return false;
            };
            sleep(pace.per_call).await;
            drop(turn);
        }
        sleep(slow).await;
        true
    }

    /// Waits until the list is newer than the one that a watch has, but no longer than it asks for.
    async fn watch(&self, from: Option<u64>, hold: Duration) {
        let mut signal = self.signal.subscribe();
        let silenced = signal.borrow_and_update().silenced;
        if from.is_none_or(|from| from != self.state.borrow().number) {
            return;
        }
        let is_over = |s: &Signal| Some(s.number) != from || s.silenced != silenced;
        _ = timeout(hold, signal.wait_for(is_over)).await;
        if signal.borrow().silenced != silenced {
            pending::<()>().await;
        }
    }

    /// The answer to a call that waited long enough.
    fn answer_call(
        &self,
        caller: usize,
        from: Option<u64>,
        format: ListFormat,
    ) -> (Outcome, Value) {
        let number = self.state.borrow().number;
        // A number that was never given is another discovery service's: it gets a snapshot.
        let from = from.filter(|from| *from <= number);
        match from {
            Some(from) if from == number => (Outcome::Unchanged, self.list(caller, Some(from))),
            Some(from) if !format.snapshots_only => {
                (Outcome::Delta(number), self.list(caller, Some(from)))
            }
            _ => (Outcome::Snapshot(number), self.list(caller, None)),
        }
    }
}

/// A number among the parameters of a query.
fn parameter(query: &str, name: &str) -> Option<u64> {
    let (_, value) = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(candidate, _)| *candidate == name)?;
    value.parse().ok()
}
