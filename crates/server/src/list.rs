//! Discovery's list in its JSON form, as it comes over the network and in the configuration.
//!
//! It owns that form and the meaning of its words. It must never let a malformed list in, nor read a
//! state that it does not know as leave to send.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::rc::Rc;

use oakshed_core::facade::{Condition, Entry, UNKNOWN};
use oakshed_wire::Names;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// The state of an endpoint that is not in the list any more.
const REMOVED: &str = "gone";

/// An answer of discovery: the whole list, or what has changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// The list's number.
    pub generation: u64,
    #[serde(default)]
    /// The whole list, not only what has changed.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<Instance>,
}

/// One entry, as discovery words it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    instance_id: Rc<str>,
    /// Where it listens, as seen from here.
    pub host_port: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u32,
    #[serde(default, deserialize_with = "oakshed_wire::lenient")]
    weight: Option<f64>,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: f64,
}

impl Answer {
    /// Reads an answer as a whole or not at all.
    ///
    /// # Errors
    ///
    /// Where it is not JSON of this form.
    pub fn parse(text: &[u8]) -> Result<Answer, serde_json::Error> {
        serde_json::from_slice(text)
    }
}

/// How an answer changes the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// It is the whole list: what it does not name has left.
    Snapshot,
    /// It names what has changed.
    Delta,
}

/// The endpoint list as it stands.
#[derive(Debug, Default)]
pub struct EndpointList {
    generation: u64,
    instances: FxHashMap<Rc<str>, Instance>,
}

impl EndpointList {
    /// Applies an answer of discovery.
    pub fn apply(&mut self, answer: &Answer, kind: UpdateKind) {
        if kind == UpdateKind::Snapshot {
            self.instances.clear();
        }
        self.generation = answer.generation;
        for instance in &answer.instances {
            if instance.lifecycle == REMOVED {
                self.instances.remove(&instance.instance_id);
            } else {
                self.instances
                    .insert(instance.instance_id.clone(), instance.clone());
            }
        }
    }

    /// The entry of one worker, where the list has it.
    #[must_use]
    pub fn find(&self, worker: &str) -> Option<&Instance> {
        self.instances.get(worker)
    }

    /// The list, in discovery's form; nothing where it is empty.
    #[must_use]
    pub fn snapshot(&self) -> Option<Answer> {
        if self.instances.is_empty() {
            return None;
        }
        Some(self.to_answer())
    }

    /// The list, be it empty, in discovery's form.
    #[must_use]
    pub fn to_answer(&self) -> Answer {
        let instances = self.instances.values().cloned().collect();
        Answer {
            generation: self.generation,
            reset: true,
            instances,
        }
    }
}

impl Instance {
    /// The entry with its names resolved to the settings' places.
    #[must_use]
    pub fn entry(&self, names: &Names) -> Entry {
        let place = |names: &[String], name: &str| {
            names
                .iter()
                .position(|n| n == name)
                .map_or(UNKNOWN, |i| i as u32)
        };
        Entry {
            worker: self.instance_id.clone(),
            zone: place(&names.zones, &self.zone),
            kind: place(&names.kinds, &self.machine_type),
            cell: self.cell,
            weight: self.weight.unwrap_or(1.0),
            condition: match self.lifecycle.as_str() {
                "ready" => Condition::Active,
                REMOVED => Condition::Left,
                // Draining, or a state of a later version: nothing new goes there.
                _ => Condition::Leaving,
            },
            online_since: oakshed_wire::ms_to_micros(self.started_at_ms),
        }
    }
}
