//! Countermeasures against false suspicions: unanswered probes are repeated, and suspects are
//! notified by pings.

use foca::{Header, Member, Message, State};

use super::runtime::Suspect;
use super::types::{Action, Identity};
use super::Membership;
use crate::budget::TrafficClass;
use crate::Micros;

/// The interval between repetitions of a probe: 80 ms.
const PROBE_RETRY_INTERVAL: Micros = 80_000;

impl Membership {
    /// Repeats the unanswered probe if that is due.
    pub(super) fn retry_probe(&mut self, now: Micros) {
        let me = self.foca.identity().clone();
        let Some(retry) = &mut self.runtime.probe_retry else {
            return;
        };
        if retry.next_at > now {
            return;
        }
        let ping = ping(me, retry.to.clone(), retry.probe_number);
        if let Ok(bytes) = postcard::to_allocvec(&ping) {
            self.runtime.actions.push_back(Action::Send {
                to: retry.to.address,
                bytes,
                class: TrafficClass::Probe,
            });
        }
        retry.next_at = now + PROBE_RETRY_INTERVAL;
        retry.remaining -= 1;
        if retry.remaining == 0 {
            self.runtime.probe_retry = None;
        }
    }

    /// Pings the members that this process suspects. foca on their side answers the ping, and the
    /// answer carries the refutation.
    pub(super) fn ping_suspects(&mut self, now: Micros) {
        let me = self.foca.identity().clone();
        let suspects = &mut self.runtime.suspects;
        suspects.retain(|_, suspect| suspect.deadline > now);
        for suspect in suspects.values_mut() {
            if suspect.next_ping > now {
                continue;
            }
            suspect.next_ping = now + self.timing.suspect_ping_interval;
            if let Ok(bytes) = suspect_ping(me.clone(), suspect) {
                self.runtime.actions.push_back(Action::Send {
                    to: suspect.identity.address,
                    bytes,
                    class: TrafficClass::Probe,
                });
            }
        }
    }
}

fn ping(src: Identity, dst: Identity, number: u8) -> Header<Identity> {
    Header {
        src,
        src_incarnation: 0,
        dst,
        message: Message::Ping(number),
    }
}

/// A ping that carries one update: its receiver is suspected.
fn suspect_ping(me: Identity, suspect: &Suspect) -> postcard::Result<Vec<u8>> {
    let identity = suspect.identity.clone();
    let mut bytes = postcard::to_allocvec(&ping(me, identity.clone(), 0))?;
    bytes.extend_from_slice(&1_u16.to_be_bytes());
    let update = Member::new(identity, suspect.swim_incarnation, State::Suspect);
    postcard::to_extend(&update, bytes)
}
