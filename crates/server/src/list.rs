//! Endpoint lists in the JSON form of discovery's answers and of the configuration.
//!
//! A malformed list is rejected as a whole. A worker whose lifecycle state is unknown to this version is treated as
//! leaving, so that no new requests are sent to it.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::rc::Rc;

use oakshed_core::facade::{Condition, Entry, UNKNOWN};
use oakshed_wire::Names;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// The lifecycle state of a worker that has been removed from the list.
const REMOVED: &str = "gone";

/// An answer of discovery: the whole list, or the entries that have changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// The number of the list.
    pub generation: u64,
    #[serde(default)]
    /// Whether this is the whole list.
    pub reset: bool,
    /// The entries, one for each worker.
    pub instances: Vec<Instance>,
}

/// One entry of an answer, in discovery's form.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    instance_id: Rc<str>,
    /// The address at which this scheduler reaches the worker.
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
    /// Parses an answer.
    ///
    /// # Errors
    ///
    /// The text is not JSON of the expected form, in any of its entries.
    pub fn parse(text: &[u8]) -> Result<Answer, serde_json::Error> {
        serde_json::from_slice(text)
    }
}

/// How an answer changes the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The answer is the whole list: workers that are not in it have left.
    Snapshot,
    /// The answer has only the entries that have changed.
    Delta,
}

/// The current endpoint list.
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

    /// The entry of a worker, if it is listed.
    #[must_use]
    pub fn find(&self, worker: &str) -> Option<&Instance> {
        self.instances.get(worker)
    }

    /// The list in discovery's form; `None` if it is empty.
    #[must_use]
    pub fn snapshot(&self) -> Option<Answer> {
        if self.instances.is_empty() {
            return None;
        }
        Some(self.to_answer())
    }

    /// The list in discovery's form, even if it is empty.
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
    /// Converts to an entry in which names are replaced by their indices in the settings.
    #[must_use]
    pub fn entry(&self, names: &Names) -> Entry {
        let index_of = |names: &[String], name: &str| {
            names
                .iter()
                .position(|n| n == name)
                .map_or(UNKNOWN, |i| i as u32)
        };
        Entry {
            worker: self.instance_id.clone(),
            zone: index_of(&names.zones, &self.zone),
            kind: index_of(&names.kinds, &self.machine_type),
            cell: self.cell,
            weight: self.weight.unwrap_or(1.0),
            condition: match self.lifecycle.as_str() {
                "ready" => Condition::Active,
                REMOVED => Condition::Left,
                // Draining, or a state that a later version has added: no new requests.
                _ => Condition::Leaving,
            },
            online_since: oakshed_wire::ms_to_micros(self.started_at_ms),
        }
    }
}
