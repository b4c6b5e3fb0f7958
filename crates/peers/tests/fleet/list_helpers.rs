//! Helpers for tests of endpoint lists: sending lists from discovery, and inspecting the lists and
//! updates of nodes.

use oakshed_peers::endpoint_list::{ListUpdate, Worker, WorkerState};
use oakshed_peers::rows::Owner;
use oakshed_peers::Micros;

use crate::world::{NodeEvent, World, START};

/// A ready worker.
pub fn worker(id: String) -> Worker {
    Worker {
        id,
        state: WorkerState::Ready,
        start: START / 1_000,
    }
}

impl World {
    /// The owner name and incarnation of a running node.
    pub fn owner(&self, i: usize) -> Owner {
        let node = self.slots[i].node.as_ref().expect("the node is running");
        node.rows().me().clone()
    }

    /// Delivers a list from discovery to a node.
    pub fn send_list(&mut self, i: usize, number: u64, list: &[Worker]) {
        let now = self.now;
        let node = self.slots[i].node.as_mut().expect("the node is running");
        node.on_discovery_list(now, number, list);
        self.apply_effects(i);
    }

    /// The number of a node's cached list.
    pub fn list_number(&self, i: usize) -> u64 {
        let node = self.slots[i].node.as_ref();
        node.map_or(0, |node| node.endpoint_list().version().number)
    }

    /// Whether all live nodes have cached the list with this number.
    pub fn all_have_list(&self, number: u64) -> bool {
        self.alive().all(|(i, _)| self.list_number(i) == number)
    }

    /// The withdrawals of workers reported by a node since a time.
    pub fn withdrawn(&self, i: usize, since: Micros) -> Vec<(&str, WorkerState)> {
        self.log
            .iter()
            .filter(|entry| entry.node == i && entry.at >= since)
            .filter_map(|entry| match &entry.event {
                NodeEvent::List(ListUpdate::Withdrawn { worker, state, .. }) => {
                    Some((worker.as_str(), *state))
                }
                _ => None,
            })
            .collect()
    }
}
