//! The director's list in its JSON form, as it comes over the network and in the configuration.
//!
//! It owns that form and the meaning of its words. It must never let a malformed list in, nor read a
//! word that it does not know as leave to send.

use std::net::SocketAddr;
use std::rc::Rc;

use oakshed_core::facade::{Condition, Entry, UNKNOWN};
use oakshed_wire::Names;
use serde::Deserialize;

/// An answer of the director: the whole list, or what has changed.
#[derive(Clone, Debug, Deserialize)]
pub struct Answer {
    /// The list's number.
    pub generation: u64,
    #[serde(default)]
    /// The whole list, not only what has changed.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<Instance>,
}

/// One entry, as the director words it.
#[derive(Clone, Debug, Deserialize)]
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
    lifecycle: String,
    #[serde(default)]
    started_at_ms: f64,
}

impl Answer {
    /// Reads an answer; what is malformed is told, never half taken.
    pub fn parse(text: &[u8]) -> Result<Answer, String> {
        serde_json::from_slice(text).map_err(|e| e.to_string())
    }
}

impl Instance {
    /// The entry with its names resolved to the settings' places.
    pub fn entry(&self, names: &Names) -> Entry {
        let place =
            |names: &[String], name: &str| names.iter().position(|n| n == name).map_or(UNKNOWN, |i| i as u32);
        Entry {
            backend: self.instance_id.clone(),
            zone: place(&names.zones, &self.zone),
            kind: place(&names.kinds, &self.machine_type),
            cell: self.cell,
            condition: match self.lifecycle.as_str() {
                "ready" => Condition::Active,
                "gone" => Condition::Left,
                // Draining, or a word of a later day: nothing new goes there.
                _ => Condition::Leaving,
            },
            online_since: oakshed_wire::micros(self.started_at_ms),
        }
    }
}
