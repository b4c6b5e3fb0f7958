//! Several members in virtual time that share rows over links which can be cut. They see nothing but rows, the
//! endpoint list and who is alive.

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
    read: u64,
    column: usize,
}

pub struct Fleet {
    pub members: Vec<Member>,
    pub list: Vec<Worker>,
    pub second: u64,
    /// Directed pairs that are cut.
    pub cut: BTreeSet<(usize, usize)>,
    /// What each member reported: second, member, effect.
    pub effects: Vec<(u64, usize, Effect)>,
    pub line: Timeline,
    /// How many of a thousand tries fail, by worker.
    pub bad: Vec<u32>,
    rng: fastrand::Rng,
}

/// Retained windows of 10 s: fewer than by default, so that they expire soon.
pub const RETAINED_WINDOWS: u32 = 24;

pub const ZONES: [&str; 2] = ["east", "west"];

fn now(second: u64) -> Micros {
    (BEGIN + second) * 1_000_000
}

impl Fleet {
    /// Members and workers in two zones in turn.
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
            bad: vec![10; workers],
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
            read: 0,
            column: n,
        }
    }

    /// A member is killed and restarts without rows.
    pub fn restart(&mut self, n: usize) {
        let member = self.new_member(n);
        self.members[n] = member;
        self.line.event(self.second * 1_000_000, n, "restart");
    }

    pub fn kill(&mut self, n: usize) {
        self.members[n].up = false;
        self.line.event(self.second * 1_000_000, n, "kill");
    }

    /// Cuts, or heals, every link between two groups.
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

    /// All members get the endpoint list.
    pub fn send_list(&mut self) {
        let at = now(self.second);
        for member in &mut self.members {
            member.machine.set_workers(at, &self.list);
        }
    }

    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.one();
        }
    }

    fn one(&mut self) {
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
            let fails = self.rng.u32(0..1_000) < self.bad[w];
            let outcome = if fails {
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

    /// Each member raises its own rows.
    fn publish_rows(&mut self, at: Micros, up: &[usize]) {
        for &n in up {
            let m = &mut self.members[n];
            m.rows.expire(at);
            for raise in m.machine.take_updates(at) {
                m.rows
                    .raise(raise.window, TABLE, &raise.subject, &raise.increments)
                    .unwrap();
            }
        }
    }

    /// Each member gets the rows of all others that it is linked with.
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
                        .known()
                        .map(|(o, v)| (o.clone(), v))
                        .collect();
                    let owners: Vec<(Owner, u64)> =
                        from.known().map(|(o, v)| (o.clone(), v)).collect();
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

    /// Each member reads its rows and makes its proposals.
    fn tick_machines(&mut self, at: Micros, up: &[usize]) {
        for &n in up {
            let m = &mut self.members[n];
            m.machine.set_members(m.rows.alive_owners());
            if m.read != m.rows.revision() {
                m.read = m.rows.revision();
                m.rows.fold(TABLE, |owner, window, subject, counts| {
                    m.machine.merge(owner, window, subject, counts);
                });
            }
            m.machine.tick(at);
            while let Some(effect) = m.machine.poll_effect() {
                let line = describe(&effect);
                self.line.event(self.second * 1_000_000, m.column, line);
                self.effects.push((self.second, n, effect));
            }
        }
    }

    /// The standing proposals of a member, as lines.
    pub fn standing(&self, n: usize) -> Vec<String> {
        let lines = self.members[n].machine.telemetry_lines();
        lines
            .into_iter()
            .filter(|l| l.starts_with("proposal"))
            .collect()
    }

    /// Members that made a proposal: second, member, worker.
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

/// An effect as a line of the timeline.
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
        Effect::ClassDegraded { class, .. } => format!("shared class {class}"),
    }
}
