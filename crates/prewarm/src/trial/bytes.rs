//! The encoded size of the shared rows that one member sends, for many members and kinds with skewed frequencies.

use std::collections::BTreeMap;
use std::sync::Arc;

use oakshed_peers::rows::{Key, Row};

use super::scenarios::START;
use crate::slots::{Slots, WINDOW};
use crate::{Config, Kind, Micros, Prewarm, SECOND, TABLE};

/// A row version that takes three bytes as a varint, as versions do after some hours.
const TYPICAL_VERSION: u64 = 100_000;

/// The counts of a window's rows, by owner and subject.
type WindowRows = BTreeMap<(usize, Vec<u8>), Vec<u32>>;

/// Members that receive jobs of kinds with skewed frequencies.
struct Fleet {
    machines: Vec<Prewarm>,
    kinds: Vec<Kind>,
    /// The sum of the weights by which kinds are drawn.
    total_weight: f64,
    rng: fastrand::Rng,
    /// The arrival rate, over all members.
    jobs_per_second: f64,
    /// The time of the next arrival, in microseconds.
    next_arrival: f64,
}

/// The mean bytes per second of one member's rows in each window. Each row is counted once per window, with its
/// final counts.
#[must_use]
pub fn row_bytes_per_second(
    members: usize,
    jobs_per_second: f64,
    kinds: usize,
    windows: u64,
    max_exact_rate: f64,
) -> Vec<f64> {
    let mut fleet = Fleet::new(members, jobs_per_second, kinds, max_exact_rate);
    (0..windows)
        .map(|window| {
            let rows = fleet.run_window(window);
            let end = START + (window + 1) * WINDOW;
            let bytes = fleet.merge(end, rows);
            bytes as f64 / members as f64 / (WINDOW / SECOND) as f64
        })
        .collect()
}

impl Fleet {
    fn new(members: usize, jobs_per_second: f64, kinds: usize, max_exact_rate: f64) -> Fleet {
        let machine = |n: usize| {
            let config = Config {
                name: format!("s{n}").into(),
                max_exact_rate,
                ..Config::default()
            };
            Prewarm::new(config, n as u64)
        };
        Fleet {
            machines: (0..members).map(machine).collect(),
            kinds: (0..kinds)
                .map(|n| Kind::new(&format!("C{}", n / 4), &format!("H{}", n % 4)))
                .collect(),
            // Zipf weights: the n-th kind is 1/n times as frequent as the first.
            total_weight: (1..=kinds).map(|n| 1.0 / n as f64).sum(),
            rng: fastrand::Rng::with_seed(members as u64),
            jobs_per_second,
            next_arrival: START as f64,
        }
    }

    /// Generates the arrivals of a window, and returns its rows.
    fn run_window(&mut self, window: u64) -> WindowRows {
        let end = START + (window + 1) * WINDOW;
        let mut rows = WindowRows::new();
        let mut second = START / SECOND + window * (WINDOW / SECOND);
        loop {
            self.next_arrival +=
                -(1.0 - self.rng.f64()).ln() / self.jobs_per_second * SECOND as f64;
            let now = (self.next_arrival as Micros).min(end - 1);
            while second < now / SECOND {
                second += 1;
                for machine in &mut self.machines {
                    machine.tick(second * SECOND);
                }
            }
            if self.next_arrival >= end as f64 {
                return rows;
            }
            let kind = self.draw_kind();
            let owner = self.rng.usize(..self.machines.len());
            let machine = &mut self.machines[owner];
            machine.record_arrival(now, &kind, None);
            machine.record_running_time(&kind, SECOND);
            for raise in machine.take_raises() {
                let counts = rows.entry((owner, raise.subject)).or_default();
                counts.resize(counts.len().max(raise.index + 1), 0);
                counts[raise.index] += raise.add;
            }
        }
    }

    fn draw_kind(&mut self) -> Kind {
        let mut draw = self.rng.f64() * self.total_weight;
        let mut numbered = self.kinds.iter().zip(1..);
        let drawn = numbered.find(|(_, n)| {
            draw -= 1.0 / f64::from(*n);
            draw <= 0.0
        });
        drawn.map_or(&self.kinds[0], |(kind, _)| kind).clone()
    }

    /// Merges the rows of a window into all other members, and returns the encoded size of the rows.
    fn merge(&mut self, end: Micros, rows: WindowRows) -> usize {
        let window = Slots::window(end - 1);
        let mut bytes = 0;
        for ((owner, subject), counts) in rows {
            for (n, machine) in self.machines.iter_mut().enumerate() {
                if n != owner {
                    machine.merge_row(end, &format!("s{owner}"), window, &subject, &counts);
                }
            }
            let subject: Arc<[u8]> = subject.into();
            let row = Row {
                version: TYPICAL_VERSION,
                key: Key {
                    table: TABLE,
                    window,
                    subject,
                },
                counts,
            };
            bytes += postcard::to_stdvec(&row).map_or(usize::MAX, |bytes| bytes.len());
        }
        bytes
    }
}
