//! Settings of the state machine.

use std::sync::Arc;

use crate::{Micros, SECOND};

/// How the ages at which a worker is kept warm are chosen. The age is the time since the last job of a kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rule {
    /// Warm wherever the hazard rate is at least the break-even rate, `1 / cold_start_cost`.
    BreakEven,
    /// Warm from the early to the late percentile of the gaps, both given as shares of 1, or for the default
    /// keep-alive while there are few gaps. This is the window of Shahrad et al., 'Serverless in the Wild'
    /// (USENIX ATC 2020, section 4.2), implemented for comparison.
    Percentiles(f64, f64),
}

/// Settings of one member. All members of an installation must agree on everything but `name`.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// This member's name in the member list.
    pub name: Arc<str>,
    /// The cost of a cold start, in seconds of an idle warm worker. All decisions to load a class or keep it
    /// loaded weigh this cost against idle time.
    pub cold_start_cost: f64,
    /// How warm ages are chosen.
    pub rule: Rule,
    /// The default keep-alive, as a share of `cold_start_cost`: how long a worker stays warm after a job while
    /// the histogram is empty.
    pub default_keep_alive_ratio: f64,
    /// How long a worker takes to load a class, in microseconds.
    pub load_time: Micros,
    /// The shortest keep-alive of one call, in microseconds. It must exceed the time to detect a member's death.
    pub min_keep_alive: Micros,
    /// The longest keep-alive of one call, in microseconds.
    pub max_keep_alive: Micros,
    /// The largest share of the fleet's capacity (classes, summed over workers) that may be kept warm at once.
    pub max_warm_share: f64,
    /// The memory of the histogram, in gaps: each new gap reduces the weight of earlier ones by `1 / gap_memory`.
    pub gap_memory: f64,
    /// The maximum number of kinds that are modelled. Kinds beyond it are not prewarmed.
    pub max_kinds: usize,
    /// Up to this rate of arrivals per second in the fleet, rows report each arrival of a kind; above it they
    /// report a sample.
    pub max_exact_rate: f64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            name: "".into(),
            cold_start_cost: 300.0,
            rule: Rule::BreakEven,
            default_keep_alive_ratio: 0.5,
            load_time: 2 * SECOND,
            min_keep_alive: 10 * SECOND,
            max_keep_alive: 3_600 * SECOND,
            max_warm_share: 0.5,
            gap_memory: 200.0,
            max_kinds: 1_024,
            max_exact_rate: 1.0,
        }
    }
}
