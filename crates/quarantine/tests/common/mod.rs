//! A fleet of members in virtual time, which exchange rows over links that can be cut. Each member gets only rows, the
//! endpoint list and the set of members that are alive.

use std::collections::BTreeSet;

use oakshed_peers::rows::{Limits, Rows};
use oakshed_quarantine::{
    Config, Effect, Micros, Outcome, Owner, Quarantine, Worker, WorkerState, TABLE,
};
use oakshed_timeline::Timeline;

pub const BEGIN: u64 = 1_700_000_000;

pub struct Member {
    pub owner: Owner,
    pub rows: Rows,
    pub machine: Quarantine,
    pub up: bool,
    read_revision: u64,
    column: usize,
}

pub struct Fleet {
    pub members: Vec<Member>,
    pub list: Vec<Worker>,
    pub second: u64,
    /// The links that are cut, as pairs of sender and receiver.
    pub cut: BTreeSet<(usize, usize)>,
    /// The effects of all members: second, member, effect.
    pub effects: Vec<(u64, usize, Effect)>,
    pub line: Timeline,
    /// Failures in a thousand attempts, by worker.
    pub failures_per_thousand: Vec<u32>,
    rng: fastrand::Rng,
}

/// The number of retained windows of 10 s, fewer than by default so that rows expire within a test.
pub const RETAINED_WINDOWS: u32 = 24;

pub const ZONES: [&str; 2] = ["east", "west"];

fn now(second: u64) -> Micros {
    (BEGIN + second) * 1_000_000
}

impl Fleet {
    /// Creates members and workers, which are assigned to the two zones in turn.
    pub fn new(members: usize, workers: usize) -> Fleet {
        let list = (0..workers)
            .map(|n| Worker {
                name: format!("w{n}").into(),
                zone: ZONES[n % 2].into(),
                capacity: 4,
                started: (BEGIN - 3_600) * 1_000,
                state: WorkerState::Ready,
            })
            .collect();
        let mut fleet = Fleet {
            members: Vec::new(),
            list,
            second: 0,
            cut: BTreeSet::new(),
            effects: Vec::new(),
            line: Timeline::new((0..members).map(|n| format!("s{n}"))),
            failures_per_thousand: vec![10; workers],
            rng: fastrand::Rng::with_seed(77),
        };
        for n in 0..members {
            let member = fleet.new_member(n);
            fleet.members.push(member);
        }
        fleet
    }

    fn new_member(&self, n: usize) -> Member {
        let owner = Owner::new(&format!("s{n}"), (BEGIN + self.second) * 1_000 - 60_000);
        let config = Config {
            retained_windows: RETAINED_WINDOWS,
            ..Config::new(owner.clone(), ZONES[n % 2], &["read"])
        };
        let mut machine = Quarantine::new(config, n as u64);
        machine.set_workers(now(self.second), &self.list);
        let rows = Rows::new(
            owner.clone(),
            Limits {
                retained_windows: RETAINED_WINDOWS,
                ..Limits::default()
            },
            now(self.second),
        );
        Member {
            owner,
            rows,
            machine,
            up: true,
            read_revision: 0,
            column: n,
        }
    }

    /// Replaces a member with a new incarnation that has no rows.
    pub fn restart(&mut self, n: usize) {
        let member = self.new_member(n);
        self.members[n] = member;
        self.line.event(self.second * 1_000_000, n, "restart");
    }

    pub fn kill(&mut self, n: usize) {
        self.members[n].up = false;
        self.line.event(self.second * 1_000_000, n, "kill");
    }

    /// Cuts or heals every link between the members before `at` and the others.
    pub fn split(&mut self, at: usize, cut: bool) {
        for a in 0..self.members.len() {
            for b in 0..self.members.len() {
                if (a < at) != (b < at) {
                    if cut {
                        self.cut.insert((a, b));
                    } else {
                        self.cut.remove(&(a, b));
                    }
                }
            }
        }
        self.line.event(
            self.second * 1_000_000,
            0,
            if cut { "split" } else { "heal" },
        );
    }

    /// Passes the endpoint list to all members.
    pub fn send_list(&mut self) {
        let at = now(self.second);
        for member in &mut self.members {
            member.machine.set_workers(at, &self.list);
        }
    }

    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.step();
        }
    }

    fn step(&mut self) {
        self.second += 1;
        let at = now(self.second);
        let up: Vec<usize> = (0..self.members.len())
            .filter(|n| self.members[*n].up)
            .collect();
        self.run_jobs(at, &up);
        self.publish_rows(at, &up);
        self.exchange_rows(&up);
        self.tick_machines(at, &up);
    }

    /// Runs 320 jobs a second over all members that are up.
    fn run_jobs(&mut self, at: Micros, up: &[usize]) {
        for _ in 0..320 {
            let n = up[self.rng.usize(0..up.len())];
            let w = self.rng.usize(0..self.list.len());
            let is_failure = self.rng.u32(0..1_000) < self.failures_per_thousand[w];
            let outcome = if is_failure {
                Outcome::Error
            } else {
                Outcome::Success
            };
            let name = self.list[w].name.clone();
            self.members[n]
                .machine
                .record_attempt(at - 1, &name, 0, true, outcome);
        }
    }

    /// Each member publishes its own rows.
    fn publish_rows(&mut self, at: Micros, up: &[usize]) {
        for &n in up {
            let member = &mut self.members[n];
            member.rows.expire(at);
            for update in member.machine.take_updates(at) {
                member
                    .rows
                    .raise(update.window, TABLE, &update.subject, &update.increments)
                    .unwrap();
            }
        }
    }

    /// Each member receives the rows of all members that it has a link from.
    fn exchange_rows(&mut self, up: &[usize]) {
        for &to in up {
            let linked: Vec<usize> = up
                .iter()
                .copied()
                .filter(|from| *from != to && !self.cut.contains(&(*from, to)))
                .collect();
            let alive: Vec<Owner> = linked
                .iter()
                .map(|n| self.members[*n].owner.clone())
                .collect();
            let known = self.members[to].rows.alive_owners();
            for owner in known.iter().filter(|owner| !alive.contains(owner)) {
                self.members[to].rows.set_alive(owner, false);
            }
            for owner in &alive {
                self.members[to].rows.set_alive(owner, true);
            }
            for from in linked {
                let rows: Vec<_> = {
                    let from = &self.members[from].rows;
                    let have: std::collections::BTreeMap<Owner, u64> = self.members[to]
                        .rows
                        .known_versions()
                        .map(|(o, v)| (o.clone(), v))
                        .collect();
                    let owners: Vec<(Owner, u64)> =
                        from.known_versions().map(|(o, v)| (o.clone(), v)).collect();
                    owners
                        .into_iter()
                        .flat_map(|(o, _)| {
                            let after = have.get(&o).copied().unwrap_or(0);
                            from.newer_than(&o, after)
                                .map(|r| (o.clone(), r))
                                .collect::<Vec<_>>()
                        })
                        .collect()
                };
                let me = self.members[to].owner.clone();
                for (owner, row) in rows.into_iter().filter(|(o, _)| *o != me) {
                    _ = self.members[to].rows.merge(&owner, row);
                }
            }
        }
    }

    /// Each member merges the rows that it has and decides on proposals.
    fn tick_machines(&mut self, at: Micros, up: &[usize]) {
        for &n in up {
            let member = &mut self.members[n];
            member.machine.set_members(member.rows.alive_owners());
            if member.read_revision != member.rows.revision() {
                member.read_revision = member.rows.revision();
                member
                    .rows
                    .for_each_row(TABLE, |owner, window, subject, counts| {
                        member.machine.merge(owner, window, subject, counts);
                    });
            }
            member.machine.tick(at);
            while let Some(effect) = member.machine.poll_effect() {
                let line = describe(&effect);
                self.line
                    .event(self.second * 1_000_000, member.column, line);
                self.effects.push((self.second, n, effect));
            }
        }
    }

    /// The telemetry lines of a member's standing proposals.
    pub fn standing(&self, n: usize) -> Vec<String> {
        let lines = self.members[n].machine.telemetry_lines();
        lines
            .into_iter()
            .filter(|l| l.starts_with("proposal"))
            .collect()
    }

    /// The proposals that were made: second, member, worker.
    pub fn made(&self) -> Vec<(u64, usize, String)> {
        let made = |(at, n, e): &(u64, usize, Effect)| match e {
            Effect::Proposed {
                worker,
                by_this_member: true,
                ..
            } => Some((*at, *n, worker.clone())),
            _ => None,
        };
        self.effects.iter().filter_map(made).collect()
    }
}

/// Formats an effect for the timeline.
fn describe(effect: &Effect) -> String {
    match effect {
        Effect::Proposed {
            worker,
            number,
            by_this_member,
            ..
        } => {
            format!(
                "{} {number} {worker}",
                if *by_this_member { "propose" } else { "show" }
            )
        }
        Effect::Withdrawn { worker, reason, .. } => format!("drop {worker} {reason:?}"),
        Effect::ClassDegraded { class, .. } => format!("degraded class {class}"),
    }
}
