//! The timing of discovery calls: when a call is made, how long discovery may hold it, and when it is overdue.
//!
//! No socket is opened here, so that the tests can run whole fleets in virtual time. Every call has a time limit, and
//! the limits together keep within the time budget that is described at `Settings::poll_quarter`.

use std::future::{pending, Future};
use std::pin::pin;
use std::time::Duration;

use hyper::StatusCode;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::confirmation::Evidence;
use super::error::CallError;
use crate::list::Answer;
use oakshed_core::facade::{Micros, Settings, NOTIFICATION_DEADLINE};

/// The longest time until an unresponsive watch is detected: its hold and the delay allowed beyond it. A missed update
/// counts as notified after twice as long; the other half is left for the two hedged calls.
const DETECTION_LIMIT: Duration = Duration::from_micros(NOTIFICATION_DEADLINE.as_micros() / 2);
/// The part of `DETECTION_LIMIT` that the longest hold leaves for the delay of its answer.
const DELAY_RESERVE: Duration = Duration::from_micros(NOTIFICATION_DEADLINE.as_micros() / 8);
const MAX_HOLD: Duration = DETECTION_LIMIT.saturating_sub(DELAY_RESERVE);
/// Holds are not shortened below this for a slow discovery service: it would only be called more often.
const MIN_HOLD: Duration = Duration::from_micros(NOTIFICATION_DEADLINE.as_micros() / 4);
/// How late the answer of an established watch may be in any case. More is allowed for queueing at discovery, see
/// `Watch::overdue_after`.
const MIN_DELAY_ALLOWANCE: Duration = Duration::from_millis(300);
/// A call rejected after this time was waiting in discovery's queue, and was not served within the time limit there. One
/// rejected sooner shows that discovery is down.
const OVERLOAD_WAIT: Duration = Duration::from_secs(1);
/// How much sooner a watch is overdue, in proportion to the part of its hold above `MIN_HOLD`: leaves
/// `MIN_DELAY_ALLOWANCE` at `MAX_HOLD`.
const LONG_HOLD_PENALTY: f64 = 0.6;
/// The pause after an immediate answer without an update: half the time within which discovery expects the next call of
/// a watch. Also the hold of a new watch's first call, so that a lack of answer is detected early.
const REPOLL_PAUSE: Duration = Duration::from_millis(100);
/// The interval between calls to an agent that does not answer.
const AGENT_CALL_INTERVAL: Duration = Duration::from_millis(400);

/// The interface to discovery and to the scheduler's list, which the tests replace.
pub(super) trait Discovery {
    /// A connection, reused from one call to the next.
    type Connection;
    /// Makes one call, on the given connection or a new one. `from` is the generation to report changes since; `None`
    /// requests the whole list.
    async fn call(
        &self,
        connection: Option<Self::Connection>,
        from: Option<u64>,
        hold: Duration,
    ) -> Result<(Answer, Self::Connection), CallError>;
    /// Returns when the facade requests a poll.
    async fn poll_requested(&self);
    /// The span over which all schedulers currently spread their calls, in microseconds.
    fn poll_jitter(&self) -> Micros;
    /// Whether there is a list, which becomes stale while a call waits.
    fn has_list(&self) -> bool;
    /// Applies an answer.
    fn on_answer(&self, answer: &Answer);
    /// Called when a call is overdue and a hedged call is about to be made.
    fn on_overdue(&self);
    /// Called when the watch has failed. The facade decides when to poll again, and waits longer if discovery was
    /// overloaded.
    fn on_failure(&self, failure: &Failure);
}

/// Why a poll failed.
pub(super) struct Failure {
    pub(super) error: CallError,
    /// The call ended after a time that a call may wait in discovery's queue.
    has_waited: bool,
}

impl Failure {
    /// No call was answered within its time limit.
    const TIMEOUT: Failure = Failure {
        error: CallError::Timeout,
        has_waited: true,
    };

    /// Whether the call was rejected after it had waited in discovery's queue.
    pub(super) fn is_overload(&self) -> bool {
        self.has_waited && matches!(self.error, CallError::Status(_))
    }

    /// What the failure shows about discovery.
    pub(super) fn evidence(&self) -> Evidence {
        match self.error {
            CallError::ConnectTimeout | CallError::Connect(_) => Evidence::Unreachable,
            CallError::Connection(_) | CallError::Status(StatusCode::SERVICE_UNAVAILABLE)
                if !self.has_waited =>
            {
                Evidence::RejectedAtOnce
            }
            _ => Evidence::Inconclusive,
        }
    }
}

/// The sequence of calls to discovery at one address.
pub(super) struct Watch<'a, D: Discovery> {
    discovery: &'a D,
    settings: &'a Settings,
    rng: fastrand::Rng,
    connection: Option<D::Connection>,
    /// The moving average of the delay of recent answers beyond their holds, which is the time that discovery takes to
    /// serve a call, with the wait in its queue.
    answer_delay: Duration,
}

impl<'a, D: Discovery> Watch<'a, D> {
    pub(super) fn new(discovery: &'a D, settings: &'a Settings, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        Watch {
            discovery,
            settings,
            rng,
            connection: None,
            answer_delay: Duration::ZERO,
        }
    }

    /// Opens a watch whenever the facade requests a poll, and the first one at once if `now` is set. Each watch lasts
    /// until it fails; `run` does not return.
    pub(super) async fn run(mut self, generation: &mut Option<u64>, mut now: bool) {
        loop {
            let at_once = std::mem::take(&mut now);
            if !at_once {
                self.discovery.poll_requested().await;
            }
            let starts_without_list = generation.is_none() && !at_once;
            // Half of the time for which a scheduler without a watch may use its list.
            let max_pause = self.settings.poll_interval.min(NOTIFICATION_DEADLINE) / 2;
            let pause =
                Duration::from_micros(self.discovery.poll_jitter()).min(max_pause.as_duration());
            let mut is_new = true;
            let failure = loop {
                let called_at = Instant::now();
                let answer = match self.poll(*generation, is_new).await {
                    Ok(answer) => answer,
                    Err(failure) => break failure,
                };
                is_new = false;
                // A lower generation means that discovery has restarted and numbers its generations from the
                // start again: these changes are not changes to the list at hand.
                if !answer.reset && generation.is_some_and(|from| answer.generation < from) {
                    *generation = None;
                    sleep(REPOLL_PAUSE).await;
                    continue;
                }
                let is_first_list = generation.replace(answer.generation).is_none();
                self.discovery.on_answer(&answer);
                // Prevents a busy loop if discovery does not hold calls.
                if answer.instances.is_empty() && called_at.elapsed() < REPOLL_PAUSE {
                    sleep(REPOLL_PAUSE).await;
                }
                // Where many schedulers start together, those without a list are to be served before the watches of
                // those that have one.
                if is_first_list && starts_without_list {
                    sleep_until(called_at + pause).await;
                }
            };
            self.discovery.on_failure(&failure);
        }
    }

    /// Requests the whole list from an agent on this machine, which answers at once if it is up.
    ///
    /// It may never answer a call that it received while it was silent, so the call is repeated at intervals. The first
    /// one stays open beside the others, for an agent that is slow.
    async fn request_list_from_agent(&mut self) -> Result<Answer, Failure> {
        let discovery = self.discovery;
        let first = classify_failure(discovery.call(self.connection.take(), None, Duration::ZERO));
        let repeated = async {
            sleep(AGENT_CALL_INTERVAL).await;
            discovery.on_overdue();
            repeat_until_answered(discovery).await
        };
        let answered = async {
            tokio::select! {
                answer = first => answer,
                answer = repeated => Ok(answer),
            }
        };
        let outcome = timeout(NOTIFICATION_DEADLINE.as_duration(), answered).await;
        let (answer, connection) = outcome.unwrap_or(Err(Failure::TIMEOUT))?;
        self.connection = Some(connection);
        Ok(answer)
    }

    /// The time after which the call of an established watch is overdue.
    ///
    /// Discovery serves calls one after another, so the delay allowed grows with the number of schedulers and with the
    /// delays seen recently: each hedged call takes discovery more time, and the hedged calls of a whole fleet would
    /// keep it from recovering. A longer hold is allowed less delay, so that watches opened at one moment do not all
    /// become overdue at one moment.
    fn overdue_after(&self, hold: Duration) -> Duration {
        let queueing =
            Duration::from_micros(self.discovery.poll_jitter()).max(2 * self.answer_delay);
        let limit = DETECTION_LIMIT - (hold - MIN_HOLD).mul_f64(LONG_HOLD_PENALTY);
        (hold + MIN_DELAY_ALLOWANCE + queueing).min(limit)
    }

    /// Makes one call of a watch. If its answer is overdue, a second call is made beside it on a connection of its own,
    /// and later a third; the first answer is used.
    ///
    /// An overdue call is not reported as a failure, because the facade backs off after one. Nor is it cancelled,
    /// because it may only be queued at discovery and would lose its place.
    async fn poll(&mut self, from: Option<u64>, is_new: bool) -> Result<Answer, Failure> {
        if from.is_none() && !self.settings.list_on_request {
            return self.request_list_from_agent().await;
        }
        let quarter = self
            .settings
            .poll_quarter()
            .as_duration()
            .max(MIN_DELAY_ALLOWANCE);
        let (hold, overdue) = match from {
            // Without a list there is nothing that becomes stale during the wait.
            None if !self.discovery.has_list() => {
                (Duration::ZERO, NOTIFICATION_DEADLINE.as_duration())
            }
            None => (Duration::ZERO, 2 * quarter),
            Some(_) if is_new => (REPOLL_PAUSE, 2 * quarter),
            // Random, because each update makes all schedulers call again at the same moment: with equal holds they
            // would also detect an unresponsive discovery service, and make their hedged calls, at the same moment.
            Some(_) => {
                let hold = MIN_HOLD + (MAX_HOLD - MIN_HOLD).mul_f64(self.rng.f64());
                (hold, self.overdue_after(hold))
            }
        };
        let discovery = self.discovery;
        let hedged_hold = hold.min(REPOLL_PAUSE);
        let called_at = Instant::now();
        let hedged_call = || discovery.call(None, from, hedged_hold);
        let first = classify_failure(discovery.call(self.connection.take(), from, hold));
        let second = hedge(discovery, first, overdue, classify_failure(hedged_call()));
        let third = hedge(
            discovery,
            second,
            overdue + quarter,
            classify_failure(hedged_call()),
        );
        // Queued calls keep their places for this long. If they were cancelled and repeated sooner, a slow discovery
        // service would spend its time on calls whose callers have gone.
        let outcome = timeout(overdue + quarter + DETECTION_LIMIT, third).await;
        let (answer, connection) = outcome.unwrap_or(Err(Failure::TIMEOUT))?;
        self.connection = Some(connection);
        if called_at.elapsed() < overdue && (from.is_none() || answer.instances.is_empty()) {
            let delay = called_at.elapsed().saturating_sub(hold);
            self.answer_delay = if self.answer_delay.is_zero() {
                delay
            } else {
                (self.answer_delay + delay) / 2
            };
        }
        Ok(answer)
    }
}

/// Makes a call in place of the last one at intervals, until one is answered.
async fn repeat_until_answered<D: Discovery>(discovery: &D) -> (Answer, D::Connection) {
    loop {
        let called_at = Instant::now();
        let call = discovery.call(None, None, Duration::ZERO);
        if let Ok(Ok(answer)) = timeout(AGENT_CALL_INTERVAL, call).await {
            return answer;
        }
        sleep_until(called_at + AGENT_CALL_INTERVAL).await;
    }
}

/// Makes a call and, if it fails, decides by its own waiting time whether it may have waited in discovery's queue. Each
/// hedged call is timed separately: that one is rejected at once shows nothing about an earlier one.
async fn classify_failure<T>(
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, Failure> {
    let called_at = Instant::now();
    call.await.map_err(|error| Failure {
        has_waited: called_at.elapsed() >= OVERLOAD_WAIT,
        error,
    })
}

/// Waits for the older call and, once that is overdue, makes the newer one beside it; returns the first answer. From
/// then on a failure of the older call is ignored, and the outcome of the newer one decides.
async fn hedge<D: Discovery, T>(
    discovery: &D,
    older: impl Future<Output = Result<T, Failure>>,
    overdue: Duration,
    newer: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let mut older = pin!(older);
    if let Ok(answer) = timeout(overdue, older.as_mut()).await {
        return answer;
    }
    discovery.on_overdue();
    let older = async {
        match older.await {
            Ok(answer) => answer,
            Err(_) => pending().await,
        }
    };
    tokio::select! {
        answer = older => Ok(answer),
        answer = newer => answer,
    }
}
