//! What the operator tells of prewarming, and its bounds.
//!
//! It owns settings only. It must never hold what was learned.

use std::sync::Arc;

use crate::{Micros, SECOND};

/// When a worker is warm, by the age since the last job of a kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rule {
    /// Wherever the rate of the next job is at least the price, `1 / worth`.
    Price,
    /// From the early to the late percentile of the gaps, given as shares, and the plain keep-alive with few
    /// gaps: the window of Shahrad et al., 'Serverless in the Wild' (USENIX ATC 2020, section 4.2), kept to be
    /// measured against.
    Percentiles(f64, f64),
}

/// Settings of one member. All members of an installation have the same, but for `name`.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// This member's name, as the list of members has it.
    pub name: Arc<str>,
    /// How many seconds of an idle warm worker one job that meets cold is worth: the one price from which
    /// all that is kept or loaded follows.
    pub worth: f64,
    /// When a worker is warm.
    pub rule: Rule,
    /// Where the histogram says nothing a worker is kept for this share of `worth` after a job (the plain
    /// keep-alive).
    pub plain: f64,
    /// How long a worker takes to load a kind, in microseconds.
    pub load: Micros,
    /// The least length of one call to keep, in microseconds: longer than it takes to know a member dead.
    pub hold: Micros,
    /// The most one call may ask to keep, in microseconds.
    pub longest: Micros,
    /// The most of the fleet's capacity (classes held, summed over workers) that may be held at once.
    pub share: f64,
    /// How many gaps are remembered: older ones weigh less by one part in so many with each new one.
    pub memory: f64,
    /// The most kinds learned; further ones are left to the plain keep-alive.
    pub kinds: usize,
    /// The most arrivals of a kind in a second and in the fleet that are told one by one: above it rows
    /// tell a sample.
    pub told: f64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            name: "".into(),
            worth: 300.0,
            rule: Rule::Price,
            plain: 0.5,
            load: 2 * SECOND,
            hold: 10 * SECOND,
            longest: 3_600 * SECOND,
            share: 0.5,
            memory: 200.0,
            kinds: 1_024,
            told: 1.0,
        }
    }
}
