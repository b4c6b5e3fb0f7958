//! Decides whether the endpoint list may be acted on while its source has not answered.
//!
//! A list is acted on only if its source has confirmed it, or if nothing that the source has counts as notified.
//! `docs/design.md` ('What confirms an endpoint list') has each case with the rule that allows it. There is no I/O here,
//! and time is passed in.

use std::time::Duration;

use tokio::time::Instant;

use oakshed_core::facade::MAX_PROCESS_PAUSE;

/// How long requests that arrive at a start wait for the first answer of the source, beyond the jitter of the first
/// call. They are rejected from then on until the list is confirmed.
const FIRST_ANSWER_ALLOWANCE: Duration = Duration::from_millis(300);
/// How long a start reports that it is not ready while an agent does not answer. Nine in ten restarted schedulers must be
/// ready within 6 s, and every start within 30 s.
const AGENT_READY_LIMIT: Duration = Duration::from_secs(5);
/// The same for a shared service, whose answers may take the jitter of the first call and a wait in its queue. Nine in ten
/// restarted schedulers must be ready within 10 s.
const SHARED_SERVICE_READY_LIMIT: Duration = Duration::from_secs(9);
/// When what the source at a new address has counts as notified, after SIGHUP.
const RELOAD_NOTIFICATION_DEADLINE: Duration = Duration::from_secs(4);
/// How long the list of the previous source is used after a reload if the new one does not answer.
const PREVIOUS_LIST_LIMIT: Duration =
    RELOAD_NOTIFICATION_DEADLINE.saturating_sub(MAX_PROCESS_PAUSE.as_duration());
/// The number of consecutive calls that a shared service has to reject at once before it counts as down.
const REJECTIONS_UNTIL_DOWN: u32 = 2;

/// Where the endpoint list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListSource {
    /// An agent on this machine, to which updates are pushed. All that it has counts as notified.
    Agent,
    /// A service that all schedulers poll. What it has counts as notified only if it can be reached.
    SharedService,
}

/// What a call without a usable answer shows about the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
    /// No connection could be established.
    Unreachable,
    /// The call was reset or rejected at once. A shared service that is up does so only after a wait in its queue.
    RejectedAtOnce,
    /// The source may have an update: it is unresponsive or overloaded, or its answer was incomplete or malformed.
    Inconclusive,
}

/// What has to change in the rest of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(super) enum Change {
    None,
    /// The cached list is used from now on.
    UseCached,
    /// Nothing is sent, and requests are rejected, until the source answers.
    Suspend,
}

/// Whether the endpoint list may be acted on.
#[derive(Debug)]
pub(crate) struct Confirmation {
    source: ListSource,
    started_at: Instant,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The source has not answered since the start, and no list is used.
    Awaiting {
        /// Consecutive calls that were rejected at once.
        rejections: u32,
        /// Until when requests wait for the first answer; `None` once they are rejected.
        hold_until: Option<Instant>,
    },
    /// A list is used.
    InUse,
    /// The source has moved and has not answered at its new address. The list of the previous one is used.
    Moved {
        until: Instant,
        /// The last call has shown that the shared service is down, so that nothing that it has counts as notified.
        is_down: bool,
    },
    /// The time of `Moved` has passed, and no list is used.
    Expired,
}

impl Confirmation {
    /// Creates the state of a start. Requests wait for the first answer for `first_call_jitter` and an allowance.
    pub(super) fn new(source: ListSource, now: Instant, first_call_jitter: Duration) -> Self {
        Confirmation {
            source,
            started_at: now,
            state: State::Awaiting {
                rejections: 0,
                hold_until: Some(now + first_call_jitter + FIRST_ANSWER_ALLOWANCE),
            },
        }
    }

    /// Whether a list is acted on that this source has confirmed or could not have changed.
    pub(super) fn is_in_use(&self) -> bool {
        self.state == State::InUse
    }

    /// Records that a list is used, because the source has answered or because it was inherited. Returns whether none was
    /// used before.
    pub(super) fn confirm(&mut self) -> bool {
        std::mem::replace(&mut self.state, State::InUse) != State::InUse
    }

    /// Processes a move of the source to another address. A list that no source has confirmed stays unconfirmed.
    pub(super) fn on_move(&mut self, now: Instant) {
        match &mut self.state {
            State::Awaiting { rejections, .. } => *rejections = 0,
            State::InUse => {
                self.state = State::Moved {
                    until: now + PREVIOUS_LIST_LIMIT,
                    is_down: false,
                };
            }
            // A further move does not extend the use of the list.
            State::Moved { is_down, .. } => *is_down = false,
            State::Expired => {}
        }
    }

    /// Processes a failed or overdue call.
    pub(super) fn on_failure(&mut self, evidence: Evidence, now: Instant) -> Change {
        // What an agent has counts as notified, whether or not it can be called.
        if self.source == ListSource::Agent {
            return Change::None;
        }
        match &mut self.state {
            State::Awaiting { rejections, .. } => {
                *rejections = match evidence {
                    Evidence::Unreachable => REJECTIONS_UNTIL_DOWN,
                    Evidence::RejectedAtOnce => *rejections + 1,
                    Evidence::Inconclusive => 0,
                };
                if *rejections < REJECTIONS_UNTIL_DOWN {
                    return Change::None;
                }
                self.state = State::InUse;
                Change::UseCached
            }
            State::Moved { is_down, .. } => {
                *is_down = evidence != Evidence::Inconclusive;
                self.expire(now)
            }
            State::InUse | State::Expired => Change::None,
        }
    }

    /// When `on_timer` is due.
    pub(super) fn due_at(&self) -> Option<Instant> {
        match self.state {
            State::Awaiting { hold_until, .. } => hold_until,
            State::Moved { until, .. } => Some(until),
            State::InUse | State::Expired => None,
        }
    }

    /// Processes the end of the time returned by `due_at`.
    pub(super) fn on_timer(&mut self, now: Instant) -> Change {
        match &mut self.state {
            State::Awaiting { hold_until, .. } => {
                *hold_until = None;
                Change::Suspend
            }
            State::Moved { .. } => self.expire(now),
            State::InUse | State::Expired => Change::None,
        }
    }

    /// Ends the use of the previous source's list once its time has passed, unless the new source is down.
    fn expire(&mut self, now: Instant) -> Change {
        match self.state {
            State::Moved { until, is_down } if now >= until && !is_down => {
                self.state = State::Expired;
                Change::Suspend
            }
            _ => Change::None,
        }
    }

    /// Whether the start has reached the time at which it reports itself ready, although it still rejects requests.
    pub(super) fn has_reached_ready_limit(&self, now: Instant) -> bool {
        let limit = match self.source {
            ListSource::Agent => AGENT_READY_LIMIT,
            ListSource::SharedService => SHARED_SERVICE_READY_LIMIT,
        };
        matches!(self.state, State::Awaiting { .. }) && now >= self.started_at + limit
    }
}
