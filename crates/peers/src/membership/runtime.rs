//! The runtime that foca requires: its notifications, packets and timers are queued as values.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use foca::{Header, Message, Notification, Timer};
use rand_core::RngCore;

use super::types::{Action, Identity};
use crate::budget::TrafficClass;
use crate::Micros;

/// How often an unanswered probe is repeated.
const PROBE_RETRIES: u8 = 3;

pub(super) struct FocaRng(pub fastrand::Rng);

impl RngCore for FocaRng {
    fn next_u32(&mut self) -> u32 {
        self.0.u32(..)
    }

    fn next_u64(&mut self) -> u64 {
        self.0.u64(..)
    }

    fn fill_bytes(&mut self, into: &mut [u8]) {
        self.0.fill(into);
    }
}

/// A member that this process suspects.
pub(super) struct Suspect {
    pub identity: Identity,
    pub swim_incarnation: u16,
    pub next_ping: Micros,
    pub deadline: Micros,
}

/// A probe that was not answered in time. It is repeated while other members probe indirectly,
/// because one lost datagram must not cause a suspicion.
pub(super) struct ProbeRetry {
    pub to: Identity,
    pub probe_number: u8,
    pub next_at: Micros,
    pub remaining: u8,
}

/// The queues and timers behind [`foca::Runtime`].
pub(super) struct Runtime {
    pub now: Micros,
    /// The number of timers set so far, which distinguishes timers that expire at the same time.
    pub timer_count: u64,
    pub timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    pub actions: VecDeque<Action>,
    pub suspects: BTreeMap<SocketAddr, Suspect>,
    pub probe_retry: Option<ProbeRetry>,
}

impl Runtime {
    pub(super) fn new(now: Micros) -> Runtime {
        Runtime {
            now,
            timer_count: 0,
            timers: BTreeMap::new(),
            actions: VecDeque::new(),
            suspects: BTreeMap::new(),
            probe_retry: None,
        }
    }

    /// Postpones all timers and suspicion deadlines after a stall.
    pub(super) fn postpone(&mut self, by: Micros) {
        let timers = std::mem::take(&mut self.timers);
        for ((at, count), timer) in timers {
            self.timers.insert((at + by, count), timer);
        }
        for suspect in self.suspects.values_mut() {
            suspect.deadline += by;
        }
    }

    /// When the next timer, ping or repeated probe is due.
    pub(super) fn next_wake(&self) -> Micros {
        let timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        let ping = self
            .suspects
            .values()
            .map(|suspect| suspect.next_ping)
            .min();
        let retry = self.probe_retry.as_ref().map(|retry| retry.next_at);
        [timer, ping, retry]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Micros::MAX)
    }
}

impl foca::Runtime<Identity> for &mut Runtime {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        match notification {
            Notification::MemberUp(id) => self.actions.push_back(Action::Joined(id.clone())),
            Notification::MemberDown(id) => {
                self.suspects.remove(&id.address);
                self.actions.push_back(Action::Died(id.owner.clone()));
            }
            // A new incarnation runs at the same address, so the previous one has ended.
            Notification::Rename(old, new) if old.owner != new.owner => {
                self.suspects.remove(&old.address);
                self.actions.push_back(Action::Died(old.owner.clone()));
                self.actions.push_back(Action::Joined(new.clone()));
            }
            _ => {}
        }
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        let message =
            postcard::take_from_bytes::<Header<Identity>>(data).map(|(header, _)| header.message);
        if let Ok(Message::PingReq {
            target,
            probe_number,
        }) = &message
        {
            self.probe_retry = Some(ProbeRetry {
                to: target.clone(),
                probe_number: *probe_number,
                next_at: self.now,
                remaining: PROBE_RETRIES,
            });
        }
        if matches!(message, Ok(Message::Feed)) {
            self.actions
                .push_back(Action::SendInitialMembers(to.address));
            return;
        }
        let class = match message {
            Ok(Message::Gossip | Message::Announce | Message::TurnUndead) => TrafficClass::Update,
            _ => TrafficClass::Probe,
        };
        self.actions.push_back(Action::Send {
            to: to.address,
            bytes: data.to_vec(),
            class,
        });
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        let at = self.now + after.as_micros() as Micros;
        if let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = &event
        {
            let suspect = Suspect {
                identity: member_id.clone(),
                swim_incarnation: *incarnation,
                next_ping: self.now,
                deadline: at,
            };
            let owner = member_id.owner.clone();
            self.actions.push_back(Action::Suspected(owner));
            self.suspects.insert(member_id.address, suspect);
        }
        self.timer_count += 1;
        self.timers.insert((at, self.timer_count), event);
    }
}
