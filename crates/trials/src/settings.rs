//! The settings that a trial's schedulers are told, in the platform's form: the usual ones, and such as are
//! drawn from a seed.
//!
//! It owns their figures; what they mean is docs/settings.md. It must never draw what no deployment can serve: a
//! deadline below the work, a class that fits no worker.

use std::time::Duration;

use oakshed_standin::fleet::{FleetWorkerOptions, ListFormat, Reports};
use serde_json::{json, Value};

use crate::checks::{ClassFacts, ColdRule, Group};

/// What a fresh worker is allowed in the usual settings.
pub const COLD_SHARE: f64 = 0.32;
/// How long it warms there, in milliseconds.
pub const RAMP_MS: u64 = 9_000;

/// What becomes of a repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// It may run as often as it likes.
    Free,
    /// It must not run again.
    Once,
    /// A group of workers drops it, for so many milliseconds.
    Guarded(Group, u64),
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// What becomes of repeats.
    pub effect: Effect,
    /// The time within which they are to be answered, in milliseconds.
    pub deadline_ms: u64,
    /// That within which an answer is in time.
    pub aim_ms: u64,
    /// What one is worth.
    pub worth: u32,
    /// How many come, in proportion to the others'.
    pub weight: u32,
    /// How much longer than the usual job theirs run.
    pub factor: f64,
}

/// All that a fleet's settings say.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The classes.
    pub classes: Vec<Class>,
    /// Zones.
    pub zones: usize,
    /// Workers in a cell.
    pub cell_size: usize,
    /// The list is pushed; else it is asked for.
    pub pushed: bool,
    /// The time for asking, in milliseconds.
    pub ask_every_ms: u64,
    /// The format of discovery's answers.
    pub list_format: ListFormat,
    /// The grace for drains, in milliseconds.
    pub grace_ms: u64,
    /// What a cold worker may get.
    pub cold: ColdRule,
    /// How workers tell their load.
    pub reports: Reports,
    /// They tell starts and progress.
    pub reports_start: bool,
    /// What the list's weights mean.
    pub weights: &'static str,
    /// Attempts at most.
    pub max_attempts: u32,
    /// Attempts may be given up.
    pub cancelling: bool,
    /// Refusals may say when to come again.
    pub retry_after: bool,
    /// The price of a crossing.
    pub cross_zone: f64,
}

const ZONES: [&str; 6] = [
    "hofdi",
    "selfoss",
    "akureyri",
    "keflavik",
    "borgarnes",
    "vik",
];
const NAMES: [&str; 4] = ["transfer", "lookup", "renewal", "permit"];

impl Default for Deployment {
    fn default() -> Self {
        let class = |name, effect, worth, weight| Class {
            name,
            effect,
            deadline_ms: 5_000,
            aim_ms: 150,
            worth,
            weight,
            factor: 1.0,
        };
        Deployment {
            classes: vec![
                class(NAMES[0], Effect::Once, 10, 3),
                class(NAMES[1], Effect::Free, 20, 1),
            ],
            zones: 2,
            cell_size: usize::MAX,
            pushed: false,
            ask_every_ms: 10_000,
            list_format: ListFormat::default(),
            grace_ms: 300,
            cold: ColdRule {
                cold_share: COLD_SHARE,
                ramp: RAMP_MS as f64 / 1e3,
                multiple: 3.0,
                fall: 2.0,
            },
            reports: Reports::None,
            reports_start: true,
            weights: "none",
            max_attempts: 4,
            cancelling: true,
            retry_after: true,
            cross_zone: 0.0,
        }
    }
}

impl Deployment {
    /// A deployment of its own for each seed.
    #[must_use]
    pub fn drawn(seed: u64) -> Deployment {
        let mut rng = fastrand::Rng::with_seed(seed);
        let classes = NAMES[..rng.usize(1..=NAMES.len())].to_vec();
        let mut class = |name| Class {
            name,
            effect: match rng.u8(..3) {
                0 => Effect::Free,
                1 => Effect::Once,
                _ => Effect::Guarded(
                    [Group::All, Group::Zone, Group::Cell][rng.usize(..3)],
                    [400, 900, 2_500, 7_500][rng.usize(..4)],
                ),
            },
            deadline_ms: [1_500, 3_000, 5_000, 12_000][rng.usize(..4)],
            aim_ms: [60, 120, 200, 350][rng.usize(..4)],
            worth: [1, 3, 4, 10, 30][rng.usize(..5)],
            weight: rng.u32(1..=6),
            factor: [0.5, 1.0, 1.0, 3.0][rng.usize(..4)],
        };
        let classes = classes.into_iter().map(&mut class).collect();
        let pushed = rng.bool();
        Deployment {
            classes,
            zones: rng.usize(1..=ZONES.len()),
            cell_size: rng.usize(1..=5),
            pushed,
            ask_every_ms: [2_500, 5_000, 10_000, 30_000][rng.usize(..4)],
            list_format: ListFormat {
                snapshots_only: rng.bool(),
                indented: rng.bool(),
                // What is pushed counts as told when the agent has it: nothing is late there.
                delay: Duration::from_millis(if pushed {
                    0
                } else {
                    [0, 200, 800][rng.usize(..3)]
                }),
            },
            grace_ms: [300, 600, 1_000, 3_000][rng.usize(..4)],
            cold: ColdRule {
                cold_share: [0.15, 0.32, 0.5][rng.usize(..3)],
                ramp: [4.0, 9.0, 15.0][rng.usize(..3)],
                multiple: [2.0, 2.5, 3.0][rng.usize(..3)],
                fall: [1.0, 2.0, 3.0][rng.usize(..3)],
            },
            reports: [Reports::None, Reports::Answers, Reports::Probes][rng.usize(..3)],
            reports_start: rng.u8(..3) > 0,
            weights: ["none", "nominal", "rough", "live"][rng.usize(..4)],
            max_attempts: rng.u32(2..=5),
            cancelling: rng.u8(..3) > 0,
            retry_after: rng.u8(..4) > 0,
            cross_zone: [0.0, 0.01, 0.03][rng.usize(..3)],
        }
    }

    /// The zone of a node, by its number.
    #[must_use]
    pub fn zone(&self, n: usize) -> &'static str {
        ZONES[n % self.zones]
    }

    /// The zone and the cell of a worker: cells lie within a zone.
    #[must_use]
    pub fn place(&self, w: usize) -> (String, u64) {
        let cell = (w / self.zones / self.cell_size) * self.zones + w % self.zones;
        (self.zone(w).to_owned(), cell as u64)
    }

    /// How much longer than the usual job those of all classes run, in the mean.
    #[must_use]
    pub fn mean_factor(&self) -> f64 {
        let all: u32 = self.classes.iter().map(|c| c.weight).sum();
        self.classes
            .iter()
            .map(|c| f64::from(c.weight) * c.factor)
            .sum::<f64>()
            / f64::from(all.max(1))
    }

    /// Workers as these settings have them.
    #[must_use]
    pub fn worker(&self, slots: usize, service: Duration) -> FleetWorkerOptions {
        FleetWorkerOptions {
            slots,
            service,
            cold_share: self.cold.cold_share,
            ramp: Duration::from_secs_f64(self.cold.ramp),
            factors: self
                .classes
                .iter()
                .map(|c| (c.name.to_owned(), c.factor))
                .collect(),
            reports_start: self.reports_start,
            reports: self.reports,
            ..FleetWorkerOptions::default()
        }
    }

    /// The classes, as checkers see them.
    #[must_use]
    pub fn facts(&self) -> Vec<ClassFacts> {
        let repeats = |effect| match effect {
            Effect::Guarded(group, window_ms) => Some((group, window_ms * 1_000)),
            Effect::Free | Effect::Once => None,
        };
        self.classes
            .iter()
            .map(|c| ClassFacts {
                name: c.name.to_owned(),
                repeats: repeats(c.effect),
            })
            .collect()
    }

    /// The settings of a scheduler, by its number, in a fleet of so many.
    #[must_use]
    pub fn settings(&self, s: usize, balancers: usize) -> Value {
        let class = |c: &Class| {
            let mut class = json!({ "name": c.name, "aim-ms": c.aim_ms, "give-up-ms": c.deadline_ms, "importance": c.worth });
            match c.effect {
                Effect::Free => class["idempotency"] = "free".into(),
                Effect::Once => class["idempotency"] = "single_shot".into(),
                Effect::Guarded(group, window_ms) => {
                    let scope = match group {
                        Group::All => "all",
                        Group::Zone => "zone",
                        Group::Cell => "cell",
                    };
                    class["idempotency"] = "guarded".into();
                    class["dedup-scope"] = scope.into();
                    class["memory-span-ms"] = window_ms.into();
                }
            }
            class
        };
        let how = match self.reports {
            Reports::None => "none",
            Reports::Answers => "answers",
            Reports::Probes => "probe",
        };
        json!({
            "az": s % self.zones, "azs": ZONES[..self.zones], "balancers": balancers, "machine-types": ["fast-7"],
            "categories": self.classes.iter().map(class).collect::<Vec<_>>(),
            "family-info": { "class-stretch": vec![2.0; self.classes.len()], "tells-start": self.reports_start,
                             "progress-ms": if self.reports_start { 1000 } else { 0 } },
            "membership-mode": if self.pushed { "pushed" } else { "on_request" },
            "limits": { "cancelling": self.cancelling, "connect-timeout-ms": 200, "idle-close-ms": 5000,
                        "max-attempts": self.max_attempts, "max-retry-after-ms": 2000,
                        "retry-after": self.retry_after, "may-probe": self.reports == Reports::Probes },
            "load-info": { "how": how, "columns": if how == "none" { vec![] } else { vec!["outstanding", "backlog", "x0"] } },
            "resolution-ms": 4, "weight-kind": self.weights, "prices": { "cross-zone": self.cross_zone },
            "obligations": { "ask-every-ms": self.ask_every_ms, "cold-share": self.cold.cold_share,
                             "fall-ms": self.cold.fall * 1e3, "fall-multiple": self.cold.multiple,
                             "ramp-time-ms": self.cold.ramp * 1e3, "drain-grace-ms": self.grace_ms },
            "tenants": [{ "name": "storholt-bilar", "quota-rps": 100000 }],
        })
    }
}
