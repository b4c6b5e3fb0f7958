//! The replication of discovery's endpoint list between members.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use oakshed_peers::endpoint_list::{Worker, WorkerState};
use oakshed_peers::polling::{may_poll_after, Fleet, PollSchedule};
use oakshed_peers::Micros;

use crate::list_helpers::worker;
use crate::world::{address, seed_count, World, MS, S, START};

/// The time that discovery takes to answer a call.
const DISCOVERY_RESPONSE_TIME: Micros = 20 * MS;

fn list(workers: usize) -> Vec<Worker> {
    (0..workers).map(|i| worker(format!("w{i}"))).collect()
}

#[test]
fn a_drain_reaches_all_members_and_is_not_reverted_by_an_older_list() {
    let mut world = World::new(100, 1, |config| config.discovery = "d1".into());
    world.run_until(30 * S, "membership converges", World::membership_converged);
    let mut workers = list(60);
    for i in 0..100 {
        world.send_list(i, 40, &workers);
    }
    world.run(2 * S);
    workers[7].state = WorkerState::Draining;
    workers.remove(9);
    world.send_list(3, 41, &workers);
    let took = world.run_until(3 * S, "all members have list 41", |world| {
        world.all_have_list(41)
    });
    println!("a drain reaches 100 members in {} ms", took / MS);
    for i in (0..100).filter(|i| *i != 3) {
        assert_eq!(
            world.withdrawn(i, START),
            [("w7", WorkerState::Draining), ("w9", WorkerState::Removed)],
            "n{i}"
        );
    }
    // A member that receives the old list again reverts nothing.
    world.send_list(5, 40, &list(60));
    world.run(3 * S);
    assert!(world.all_have_list(41));
}

/// A fleet that starts without a list. Discovery answers calls one at a time.
struct ColdStart {
    world: World,
    join_addresses: Vec<SocketAddr>,
    polled: BTreeSet<usize>,
    /// How many of the first polling members are still to be killed.
    to_kill: usize,
    /// When discovery has answered all calls made so far.
    idle_at: Micros,
    /// Pending answers: when each arrives, and at which member.
    pending: Vec<(Micros, usize)>,
    first_answer: Option<Micros>,
}

impl ColdStart {
    fn new(n: usize, seed: u64, to_kill: usize) -> ColdStart {
        ColdStart {
            world: World::new(n, seed, |config| config.discovery = "d1".into()),
            join_addresses: (0..seed_count(n)).map(address).collect(),
            polled: BTreeSet::new(),
            to_kill,
            idle_at: START,
            pending: Vec::new(),
            first_answer: None,
        }
    }

    /// Runs until all live members have the list. Returns the number of calls to discovery, and the
    /// time since its first answer.
    fn run(mut self) -> (usize, Micros) {
        while self
            .world
            .alive()
            .any(|(i, _)| self.world.list_number(i) == 0)
        {
            assert!(self.world.now < START + 10 * S, "no list within 10 s");
            self.world.run(20 * MS);
            for i in 0..self.world.slots.len() {
                if self.is_due(i) {
                    self.poll(i);
                }
            }
            self.deliver_answers();
        }
        let first = self.first_answer.expect("discovery answered");
        (self.polled.len(), self.world.now - first)
    }

    /// Whether a member is due to poll discovery.
    fn is_due(&self, i: usize) -> bool {
        let Some(node) = &self.world.slots[i].node else {
            return false;
        };
        let live_members: Vec<_> = node
            .live_members()
            .map(|(owner, at)| (owner.clone(), at))
            .collect();
        let fleet = Fleet {
            me: node.rows().me(),
            address: address(i),
            live_members: &live_members,
            join_addresses: &self.join_addresses,
            configured_members: self.world.slots.len(),
        };
        let after = may_poll_after(&PollSchedule::default(), &fleet, |at| node.is_dead(at));
        let has_no_list = self.world.list_number(i) == 0;
        has_no_list && self.world.now >= START + after && !self.polled.contains(&i)
    }

    fn poll(&mut self, i: usize) {
        self.polled.insert(i);
        if self.to_kill > 0 {
            self.to_kill -= 1;
            self.world.kill(i);
            return;
        }
        self.idle_at = self.idle_at.max(self.world.now) + DISCOVERY_RESPONSE_TIME;
        self.pending.push((self.idle_at, i));
    }

    /// Delivers the answers that are due.
    fn deliver_answers(&mut self) {
        let now = self.world.now;
        let workers = list(60);
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.pending = later;
        for (_, i) in due {
            self.world.send_list(i, 1, &workers);
            self.first_answer.get_or_insert(now);
        }
    }
}

#[test]
fn a_cold_start_of_two_hundred_members_makes_few_discovery_calls() {
    for seed in [1, 2, 3] {
        for kill in [0, 2] {
            let (calls, took) = ColdStart::new(200, seed, kill).run();
            println!(
                "seed {seed}, {kill} polling members killed: {calls} calls, all have the list {} ms \
                 after the first answer",
                took / MS
            );
            assert!(calls <= 12 + 2 * 8, "{calls} calls");
            assert!(
                took <= if kill == 0 { 2 * S } else { 3 * S },
                "{} ms",
                took / MS
            );
        }
    }
}
