//! Four members with real shared rows and a periodic kind: the death of the responsible member, and a partition. The
//! calls and jobs are checked against a timeline.

use std::sync::Arc;

use oakshed_peers::rows::{Limits, Owner, Rows};
use oakshed_prewarm::{Config, Effect, Kind, Prewarm, Worker, SECOND, TABLE};
use oakshed_timeline::{Style, Timeline};

const START: u64 = 1_700_000_000 * SECOND;
const PERIOD: u64 = 300;

struct Member {
    prewarm: Prewarm,
    rows: Rows,
    read_revision: u64,
    up: bool,
}

struct Fleet {
    members: Vec<Member>,
    /// When the keep-alive of the class ends, by worker.
    warm_until: Vec<u64>,
    timeline: Timeline,
    /// When the timeline begins.
    timeline_start: u64,
    is_partitioned: bool,
}

fn kind() -> Kind {
    Kind::new("RULES", "H1")
}

impl Member {
    /// Merges the rows of all other members if any has changed.
    fn read_rows(&mut self, now: u64) {
        if self.rows.revision() == self.read_revision {
            return;
        }
        self.read_revision = self.rows.revision();
        let me = self.rows.me().clone();
        let prewarm = &mut self.prewarm;
        self.rows
            .for_each_row(TABLE, |owner, window, subject, counts| {
                if *owner != me {
                    let owner = format!("{}/{}", owner.name, owner.incarnation);
                    prewarm.merge_row(now, &owner, window, subject, counts);
                }
            });
    }
}

impl Fleet {
    fn new(timeline_start: u64) -> Fleet {
        let member = |n: usize| {
            let config = Config {
                name: format!("s{n}").into(),
                cold_start_cost: 100.0,
                ..Config::default()
            };
            let mut prewarm = Prewarm::new(config, n as u64);
            prewarm.set_workers(&(0..3).map(worker).collect::<Vec<_>>());
            let owner = Owner::new(&format!("s{n}"), START / 1_000);
            Member {
                prewarm,
                rows: Rows::new(owner, Limits::default(), START),
                read_revision: 0,
                up: true,
            }
        };
        let mut fleet = Fleet {
            members: (0..4).map(member).collect(),
            warm_until: vec![0; 3],
            timeline: Timeline::new(["s0", "s1", "s2", "s3", "w0", "w1", "w2"]),
            timeline_start,
            is_partitioned: false,
        };
        fleet.notify_members();
        fleet
    }

    /// Gives each member the list of members that it can reach.
    fn notify_members(&mut self) {
        for n in 0..4 {
            let live: Vec<Arc<str>> = (0..4)
                .filter(|m| self.members[*m].up && self.is_linked(n, *m))
                .map(|m| format!("s{m}").into())
                .collect();
            self.members[n].prewarm.set_members(&live);
        }
    }

    fn responsible(&self, among: &[usize]) -> usize {
        let names: Vec<Arc<str>> = among.iter().map(|n| format!("s{n}").into()).collect();
        let responsible = kind().responsible(&names).cloned();
        among
            .iter()
            .copied()
            .find(|n| responsible.as_deref() == Some(&*format!("s{n}")))
            .unwrap()
    }

    fn event(&mut self, now: u64, node: usize, label: String) {
        if now >= self.timeline_start {
            self.timeline.event(now - START, node, label);
        }
    }

    /// The work of each second: raise rows, exchange rows, tick, carry out calls.
    fn advance_to(&mut self, now: u64) {
        for n in self.up() {
            let Member { prewarm, rows, .. } = &mut self.members[n];
            rows.expire(now);
            for raise in prewarm.take_raises() {
                let adds = [(raise.index, raise.add)];
                rows.raise(raise.window, TABLE, &raise.subject, &adds)
                    .unwrap();
            }
        }
        self.exchange_rows();
        for n in self.up() {
            self.members[n].read_rows(now);
            self.members[n].prewarm.tick(now);
            self.apply_effects(n, now);
        }
    }

    fn up(&self) -> Vec<usize> {
        (0..4).filter(|n| self.members[*n].up).collect()
    }

    fn is_linked(&self, a: usize, b: usize) -> bool {
        !self.is_partitioned || (a < 2) == (b < 2)
    }

    fn exchange_rows(&mut self) {
        for (from, to) in (0..16).map(|i| (i / 4, i % 4)) {
            let both_up = self.members[from].up && self.members[to].up;
            if from == to || !both_up || !self.is_linked(from, to) {
                continue;
            }
            let owner = self.members[from].rows.me().clone();
            let rows: Vec<_> = self.members[from].rows.newer_than(&owner, 0).collect();
            for row in rows {
                self.members[to].rows.merge(&owner, row).unwrap();
            }
        }
    }

    fn apply_effects(&mut self, n: usize, now: u64) {
        while let Some(Effect::Prepare {
            worker, keep_ms, ..
        }) = self.members[n].prewarm.poll_effect()
        {
            let w: usize = worker[1..].parse().unwrap();
            self.warm_until[w] = self.warm_until[w].max(now + keep_ms * 1_000);
            if now >= self.timeline_start {
                let label = format!("keep {}s", keep_ms / 1_000);
                self.timeline
                    .message(now - START, n, 4 + w, Some(now - START), label);
            }
        }
    }

    /// Runs a job that arrives at a member, and returns whether it found a warm worker.
    fn run_job(&mut self, n: usize, now: u64) -> bool {
        let order = self.members[n].prewarm.worker_order(&kind());
        let workers: Vec<usize> = order.iter().map(|w| w[1..].parse().unwrap()).collect();
        let warm = workers.iter().copied().find(|w| self.warm_until[*w] > now);
        let w = warm.unwrap_or(workers[0]);
        let label = format!("job {}", if warm.is_some() { "warm" } else { "COLD" });
        if now >= self.timeline_start {
            self.timeline
                .message(now - START, n, 4 + w, Some(now - START), label);
        }
        let worker = format!("w{w}");
        self.members[n]
            .prewarm
            .record_arrival(now, &kind(), Some(&worker));
        self.members[n]
            .prewarm
            .record_running_time(&kind(), SECOND / 2);
        self.apply_effects(n, now);
        warm.is_some()
    }
}

fn worker(n: usize) -> Worker {
    let name = format!("w{n}").into();
    let zone = "H1".into();
    Worker {
        name,
        zone,
        supports_prewarm: true,
        ready: true,
        unavailable: false,
        budget: 1_000,
        max_classes: 4,
    }
}

/// The arrival of the job shortly before which the responsible member dies, in seconds since the start.
const FAULT_JOB: u64 = 30 * PERIOD;

/// Applies the faults of second `s`: the responsible member dies and restarts, and the fleet is partitioned once.
fn inject_faults(fleet: &mut Fleet, responsible: usize, s: u64) {
    let now = START + s * SECOND;
    if s == FAULT_JOB - 12 {
        // The member dies when its next call is due. The others detect it 5 s later.
        fleet.members[responsible].up = false;
        fleet.event(now, responsible, "kill".into());
    }
    if s == FAULT_JOB - 7 {
        fleet.notify_members();
        let next = fleet.responsible(&fleet.up());
        fleet.event(now, next, format!("s{responsible} dead: mine"));
    }
    if s == FAULT_JOB + PERIOD {
        fleet.members[responsible].up = true;
        fleet.notify_members();
        fleet.event(now, responsible, "back".into());
    }
    if s == FAULT_JOB + 2 * PERIOD - 40 || s == FAULT_JOB + 2 * PERIOD + 20 {
        fleet.is_partitioned = !fleet.is_partitioned;
        fleet.notify_members();
        for n in 0..4 {
            let cut = if n < 2 { "cut | s2 s3" } else { "cut | s0 s1" };
            let label = if fleet.is_partitioned { cut } else { "healed" };
            fleet.event(now, n, label.into());
        }
    }
}

/// Consecutive jobs arrive at different members, so that no member sees the period of five minutes on its own.
#[test]
fn the_next_member_takes_over_and_each_side_of_a_partition_warms() {
    let mut fleet = Fleet::new(START + (FAULT_JOB - 40) * SECOND);
    let responsible = fleet.responsible(&[0, 1, 2, 3]);
    let mut found_warm = Vec::new();
    let mut receiver = 0;
    for s in 1..FAULT_JOB + 3 * PERIOD + 20 {
        let now = START + s * SECOND;
        inject_faults(&mut fleet, responsible, s);
        fleet.advance_to(now);
        if s % PERIOD == 0 {
            receiver = (receiver + 1) % 4;
            if !fleet.members[receiver].up {
                receiver = (receiver + 1) % 4;
            }
            // The period has some jitter.
            let at = now + (s / PERIOD % 7) * 300_000;
            found_warm.push(fleet.run_job(receiver, at));
        }
        let warm = fleet
            .warm_until
            .iter()
            .filter(|until| **until > now)
            .count();
        assert!(
            warm <= 2,
            "{warm} workers are warm for one kind at second {s}"
        );
    }
    assert!(
        found_warm[10..].iter().all(|warm| *warm),
        "a job after the first ten periods found no warm worker: {found_warm:?}"
    );
    let picture = fleet.timeline.draw(&Style {
        width: 130,
        quiet: 5 * SECOND,
        step: 100_000,
    });
    insta::assert_snapshot!(picture);
}
