//! The arrival model of one kind, with one histogram of gaps per concurrency level.
//!
//! A job that arrives while `n` others of its kind run belongs to level `n`. The jobs of level `n` are those that
//! would use one more warm worker beside `n` busy ones, so each level is planned from its own gaps alone.

use serde::{Deserialize, Serialize};

use crate::config::Rule;
use crate::gaps::{self, AgeRange, GapHistogram};
use crate::{Config, Micros, SECOND};

/// The maximum number of workers kept warm for one kind.
pub const MAX_LEVELS: usize = 8;
/// The weight of the previous mean running time, relative to a new sample.
const MEAN_RUNNING_TIME_WEIGHT: u64 = 15;
/// The on-time share is rounded to this many steps, so that small changes cause no recomputation.
const ON_TIME_STEPS: f64 = 20.0;
/// The standard normal quantile of a two-sided 95% interval.
const NORMAL_QUANTILE: f64 = 1.96;
/// The memory of the short-term rate correction, in gaps.
const CORRECTION_MEMORY: f64 = 15.0;
/// The weight of the uncorrected hazard rate in the short-term correction, in gaps.
const CORRECTION_PRIOR: f64 = 8.0;
/// The step to which the logarithm of the correction is rounded.
const CORRECTION_STEP: f64 = 0.1;
/// The maximum number of expected arrivals that one gap contributes to the correction.
const MAX_EXPECTED_PER_GAP: f64 = 4.0;
/// The longest running time of a valid snapshot, and the furthest `busy_until` past its creation: one day.
const MAX_DURATION: Micros = 86_400 * SECOND;

/// The arrivals of one concurrency level.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Level {
    gaps: GapHistogram,
    /// The time of the last arrival.
    pub last_arrival: Option<Micros>,
    /// The expected end of its last job.
    busy_until: Micros,
    /// Decaying counts of recent gaps: observed, and expected by the hazard rate.
    recent_gaps: (f64, f64),
    /// The rate of the next arrival for each bucket of age.
    #[serde(skip)]
    hazard: Vec<f32>,
    /// The ages at which a worker should be warm.
    #[serde(skip)]
    warm_ranges: Vec<AgeRange>,
    /// The number of gaps and the on-time share, in steps, from which `hazard` was computed.
    #[serde(skip)]
    hazard_inputs: Option<(u64, u8)>,
    /// The rate correction, in steps, from which `warm_ranges` was computed.
    #[serde(skip)]
    warm_correction: i32,
}

/// A forecast of the arrivals of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// The horizon: microseconds from now.
    pub horizon: Micros,
    /// The probability of an arrival within the horizon.
    pub arrival_probability: f64,
    /// The probability that the next job arrives within the horizon and finds no warm worker under the current
    /// plan.
    pub cold_start_probability: f64,
    /// The 95% Wilson score interval of `arrival_probability`, with `supporting_gaps` as its sample size.
    pub confidence_interval: (f64, f64),
    /// The weight of the gaps that were longer than the current age.
    pub supporting_gaps: f64,
}

/// The model of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ArrivalModel {
    levels: Vec<Level>,
    /// The moving mean of running times, in microseconds; 0 if none is known.
    mean_running_time: Micros,
}

impl ArrivalModel {
    /// Updates the mean running time with that of a job that has ended.
    pub fn record_running_time(&mut self, running_time: Micros) {
        self.mean_running_time = if self.mean_running_time == 0 {
            running_time
        } else {
            (self.mean_running_time * MEAN_RUNNING_TIME_WEIGHT + running_time)
                / (MEAN_RUNNING_TIME_WEIGHT + 1)
        };
    }

    /// Records `count` arrivals in the slot of the given length that starts at `at`. Slots must be given in
    /// order.
    pub fn record_arrivals(&mut self, at: Micros, length: Micros, count: u32, config: &Config) {
        let running_time = if self.mean_running_time == 0 {
            SECOND
        } else {
            self.mean_running_time
        };
        // Arrivals of one slot count as simultaneous, unless the running time is less than half a slot.
        let spacing = if 2 * running_time >= length {
            0
        } else {
            length / u64::from(count.max(1))
        };
        for n in 0..u64::from(count).min(4 * MAX_LEVELS as u64) {
            self.add_job(at + n * spacing, running_time, config);
        }
    }

    fn add_job(&mut self, at: Micros, running_time: Micros, config: &Config) {
        let free_level = self.levels.iter().position(|l| l.busy_until <= at);
        let index = match free_level {
            Some(index) => index,
            None if self.levels.len() < MAX_LEVELS => {
                self.levels.push(Level::default());
                self.levels.len() - 1
            }
            None => return,
        };
        let level = &mut self.levels[index];
        if let Some(last) = level.last_arrival {
            level.record_gap(at.saturating_sub(last) as f64 / SECOND as f64, config);
        }
        level.last_arrival = Some(level.last_arrival.map_or(at, |last| last.max(at)));
        level.busy_until = at + running_time;
    }

    /// Records an arrival that was reported after its slot was closed. It updates the last arrival, but its gap
    /// is unknown and not recorded.
    pub fn record_late_arrival(&mut self, at: Micros) {
        if self.levels.is_empty() {
            self.levels.push(Level::default());
        }
        let level = &mut self.levels[0];
        level.last_arrival = Some(level.last_arrival.map_or(at, |last| last.max(at)));
    }

    /// Adds levels up to the given one, because a worker of that rank received a job.
    pub fn ensure_level(&mut self, level: usize) {
        let levels = (level + 1).min(MAX_LEVELS).max(self.levels.len());
        self.levels.resize_with(levels, Level::default);
    }

    /// Checks that a decoded model can have been stored at that time. Times far in the future would overflow in
    /// later sums.
    #[must_use]
    pub fn is_plausible(&self, at: Micros) -> bool {
        self.levels.len() <= MAX_LEVELS
            && self.mean_running_time <= MAX_DURATION
            && self.levels.iter().all(|level| level.is_plausible(at))
    }

    /// The number of levels, including those added by [`ArrivalModel::ensure_level`].
    #[must_use]
    pub fn levels(&self) -> usize {
        self.levels.len()
    }

    /// The time of a level's last arrival.
    #[must_use]
    pub fn last_arrival(&self, level: usize) -> Option<Micros> {
        self.levels.get(level).and_then(|level| level.last_arrival)
    }

    /// The ages since a level's last arrival at which a worker should be warm. The hazard rate is weighted by
    /// `on_time_share`, the share of arrivals reported in time, and the default hazard rate by the remainder.
    pub fn warm_ranges(
        &mut self,
        level: usize,
        on_time_share: f64,
        config: &Config,
    ) -> &[AgeRange] {
        let strength = Level::prior_strength(level, config);
        let Some(level) = self.levels.get_mut(level) else {
            return &[];
        };
        level.update(on_time_share, strength, config);
        &level.warm_ranges
    }

    /// Forecasts the arrivals within a horizon, given in microseconds.
    pub fn forecast(
        &mut self,
        now: Micros,
        horizon: Micros,
        on_time_share: f64,
        config: &Config,
    ) -> Forecast {
        self.warm_ranges(0, on_time_share, config);
        let Some(level) = self.levels.first() else {
            return Forecast {
                horizon,
                arrival_probability: 0.0,
                cold_start_probability: 0.0,
                confidence_interval: (0.0, 1.0),
                supporting_gaps: 0.0,
            };
        };
        let age = now.saturating_sub(level.last_arrival.unwrap_or(now)) as f64 / SECOND as f64;
        let until = age + horizon as f64 / SECOND as f64;
        let (arrival_probability, cold_start_probability) = level.probabilities(age, until);
        let supporting_gaps = level.gaps.weight_beyond(age);
        Forecast {
            horizon,
            arrival_probability,
            cold_start_probability,
            confidence_interval: wilson_interval(arrival_probability, supporting_gaps),
            supporting_gaps,
        }
    }
}

/// The 95% Wilson score interval of a probability estimated from that many events.
fn wilson_interval(probability: f64, events: f64) -> (f64, f64) {
    if events < 1e-6 {
        return (0.0, 1.0);
    }
    let events = events.max(1e-9);
    let quantile_squared = NORMAL_QUANTILE * NORMAL_QUANTILE;
    let center = probability + quantile_squared / (2.0 * events);
    let variance = probability * (1.0 - probability) / events;
    let margin = NORMAL_QUANTILE * (variance + (NORMAL_QUANTILE / (2.0 * events)).powi(2)).sqrt();
    let scale = 1.0 + quantile_squared / events;
    ((center - margin) / scale, (center + margin) / scale)
}

impl Level {
    /// Records a gap in the histogram and in the short-term rate correction.
    fn record_gap(&mut self, gap: f64, config: &Config) {
        if !self.hazard.is_empty() {
            let retained = 1.0 - 1.0 / CORRECTION_MEMORY;
            let expected_in_gap =
                gaps::expected_arrivals(&self.hazard, gap).min(MAX_EXPECTED_PER_GAP);
            let (observed, expected) = self.recent_gaps;
            self.recent_gaps = (
                observed * retained + 1.0,
                expected * retained + expected_in_gap,
            );
        }
        self.gaps.record(gap, config.gap_memory);
    }

    /// The ratio of recent arrivals to those the hazard rate predicted. It follows daily cycles and recent
    /// changes faster than the histogram does.
    fn rate_correction(&self) -> f64 {
        (self.recent_gaps.0 + CORRECTION_PRIOR) / (self.recent_gaps.1 + CORRECTION_PRIOR)
    }

    /// The strength of the default hazard rate, which declines with the level.
    fn prior_strength(level: usize, config: &Config) -> f64 {
        config.default_keep_alive_ratio / (1 + level) as f64
    }

    fn is_plausible(&self, at: Micros) -> bool {
        let is_count = |count: f64| count.is_finite() && count >= 0.0;
        self.gaps.is_plausible()
            && self.last_arrival.is_none_or(|last| last <= at)
            && self.busy_until <= at.saturating_add(MAX_DURATION)
            && is_count(self.recent_gaps.0)
            && is_count(self.recent_gaps.1)
    }

    /// Recomputes the hazard rate and the warm ranges if their inputs have changed enough.
    fn update(&mut self, on_time_share: f64, strength: f64, config: &Config) {
        let on_time = (on_time_share.clamp(0.0, 1.0) * ON_TIME_STEPS).round() as u8;
        let is_current = self
            .hazard_inputs
            .is_some_and(|(n, steps)| steps == on_time && self.gaps.recorded <= n + n / 32);
        if !is_current {
            self.update_hazard(on_time, strength);
        }
        let correction = (self.rate_correction().ln() / CORRECTION_STEP).round() as i32;
        if !is_current || self.warm_correction != correction {
            self.update_warm_ranges(correction, strength, config);
        }
    }

    /// `on_time` is the on-time share in steps.
    fn update_hazard(&mut self, on_time: u8, strength: f64) {
        let on_time_share = f32::from(on_time) / ON_TIME_STEPS as f32;
        let default_hazard = GapHistogram::default().hazard(strength);
        self.hazard = self.gaps.hazard(strength);
        for (rate, default) in self.hazard.iter_mut().zip(default_hazard) {
            *rate = on_time_share * *rate + (1.0 - on_time_share) * default;
        }
        self.hazard_inputs = Some((self.gaps.recorded, on_time));
    }

    /// `correction` is the logarithm of the rate correction in steps.
    fn update_warm_ranges(&mut self, correction: i32, strength: f64, config: &Config) {
        let max_pause = 2.0 * config.load_time as f64 / SECOND as f64;
        self.warm_correction = correction;
        self.warm_ranges = match config.rule {
            Rule::BreakEven => {
                let break_even_rate = 1.0 / config.cold_start_cost.max(1e-3);
                let min_rate = break_even_rate / (f64::from(correction) * CORRECTION_STEP).exp();
                gaps::ranges_above(&self.hazard, min_rate, max_pause)
            }
            Rule::Percentiles(early, late) => {
                let default_range = AgeRange {
                    from: 0.0,
                    to: strength * config.cold_start_cost,
                };
                let mut range = self
                    .gaps
                    .percentile_range(early, late)
                    .unwrap_or(default_range);
                if range.from <= max_pause {
                    range.from = 0.0;
                }
                vec![range]
            }
        };
    }

    /// The probability of an arrival between two ages, in seconds, and the probability that the first one finds
    /// no warm worker.
    fn probabilities(&self, age: f64, until: f64) -> (f64, f64) {
        let mut no_arrival = 1.0_f64;
        let mut cold = 0.0;
        for b in gaps::bucket_of(age)..gaps::BUCKETS {
            let from = gaps::bucket_edges()[b].max(age);
            let to = gaps::bucket_edges()[b + 1].min(until);
            if from >= to {
                break;
            }
            let expected = f64::from(self.hazard[b]) * self.rate_correction() * (to - from);
            let no_arrival_after = no_arrival * (-expected).exp();
            let is_warm = self
                .warm_ranges
                .iter()
                .any(|range| range.from <= from && to <= range.to);
            if !is_warm {
                cold += no_arrival - no_arrival_after;
            }
            no_arrival = no_arrival_after;
        }
        (1.0 - no_arrival, cold)
    }
}
