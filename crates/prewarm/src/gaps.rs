//! A decaying histogram of inter-arrival times (gaps), and the hazard rate: the rate of the next arrival at each
//! age since the last one.
//!
//! Buckets above 8 s are logarithmic, so that the relative precision is constant up to a day and a half.

use serde::{Deserialize, Serialize};

/// Below this many seconds, buckets are one second wide.
const LINEAR_BUCKETS: usize = 8;
/// Buckets per octave above that.
const BUCKETS_PER_OCTAVE: usize = 32;
/// The number of buckets. They cover ages up to 2^17 s, a day and a half.
pub const BUCKETS: usize = LINEAR_BUCKETS + 14 * BUCKETS_PER_OCTAVE;
/// The ratio between adjacent bucket edges: the 32nd root of two.
const BUCKET_RATIO: f64 = 1.021_897_148_654_116_7;

/// The bucket edges, in seconds. Bucket `b` covers `bucket_edges()[b]` to `bucket_edges()[b + 1]`.
pub fn bucket_edges() -> &'static [f64; BUCKETS + 1] {
    static EDGES: std::sync::OnceLock<[f64; BUCKETS + 1]> = std::sync::OnceLock::new();
    EDGES.get_or_init(|| {
        let mut edges = [0.0; BUCKETS + 1];
        let mut octave = LINEAR_BUCKETS as f64;
        for (b, edge) in edges.iter_mut().enumerate() {
            if b < LINEAR_BUCKETS {
                *edge = b as f64;
                continue;
            }
            let within = (b - LINEAR_BUCKETS) % BUCKETS_PER_OCTAVE;
            if within == 0 && b > LINEAR_BUCKETS {
                octave *= 2.0;
            }
            *edge = octave * BUCKET_RATIO.powi(within as i32);
        }
        edges
    })
}

/// The bucket that contains an age in seconds. Ages beyond the last edge belong to the last bucket.
#[must_use]
pub fn bucket_of(age: f64) -> usize {
    bucket_edges()
        .partition_point(|edge| *edge <= age)
        .clamp(1, BUCKETS)
        - 1
}

/// A histogram of gaps. The weights of earlier gaps decay with each new one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GapHistogram {
    weights: Vec<f32>,
    total: f64,
    /// The number of gaps recorded, without decay.
    pub recorded: u64,
}

/// The scales of the estimate, coarse to fine: the block size in buckets, and the weight of the next coarser
/// estimate, in events. The coarsest scale refines the default hazard rate.
const SCALES: [(usize, f64); 4] = [(BUCKETS_PER_OCTAVE, 1.0), (8, 1.0), (2, 1.0), (1, 1.0)];
/// The weight of the coarser estimate where the finer one does not differ significantly, in events.
const INSIGNIFICANT_WEIGHT: f64 = 8.0;
/// The squared deviation, in variances, above which a finer estimate differs significantly (about 2.5 standard
/// deviations).
const MIN_SQUARED_DEVIATION: f64 = 6.0;

impl GapHistogram {
    /// Records one gap, in seconds. Earlier gaps retain `1 - 1 / memory` of their weight.
    pub fn record(&mut self, gap: f64, memory: f64) {
        self.weights.resize(BUCKETS, 0.0);
        let retained = 1.0 - 1.0 / memory.max(2.0);
        for weight in &mut self.weights {
            *weight *= retained as f32;
        }
        self.weights[bucket_of(gap)] += 1.0;
        self.total = self.total * retained + 1.0;
        self.recorded += 1;
    }

    /// Checks that a decoded histogram has a valid size and valid weights.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        let has_valid_weights = self.weights.iter().all(|w| w.is_finite() && *w >= 0.0);
        has_valid_weights && matches!(self.weights.len(), 0 | BUCKETS) && self.total.is_finite()
    }

    /// The total weight of the gaps: about their number, but at most the memory.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.total
    }

    /// The weight of the gaps longer than an age, in seconds, to the precision of a bucket.
    #[must_use]
    pub fn weight_beyond(&self, age: f64) -> f64 {
        self.weights
            .iter()
            .skip(bucket_of(age) + 1)
            .map(|w| f64::from(*w))
            .sum()
    }

    /// The ages from the early to the late percentile, widened by 10% at each end as in the paper cited at
    /// [`Rule::Percentiles`](crate::config::Rule). `None` with fewer than ten gaps, or when more than half of
    /// them exceed the last bucket.
    #[must_use]
    pub fn percentile_range(&self, early: f64, late: f64) -> Option<AgeRange> {
        let overflow = self.weights.last().copied().unwrap_or(0.0);
        if self.recorded < 10 || f64::from(overflow) > 0.5 * self.total {
            return None;
        }
        let at = |share: f64| {
            let mut sum = 0.0;
            let reached = |w: &f32| {
                sum += f64::from(*w);
                sum >= share * self.total
            };
            self.weights.iter().position(reached).unwrap_or(BUCKETS - 1)
        };
        Some(AgeRange {
            from: 0.9 * bucket_edges()[at(early)],
            to: 1.1 * bucket_edges()[at(late) + 1],
        })
    }

    /// The rate of the next arrival in each bucket of age, per second.
    ///
    /// The estimate starts from the default hazard rate, `prior_strength / age`, and is refined from coarse to
    /// fine scales, where each coarser estimate acts as the prior of the next finer one. An empty histogram
    /// leaves the default rate unchanged.
    #[must_use]
    pub fn hazard(&self, prior_strength: f64) -> Vec<f32> {
        let edges = bucket_edges();
        let counts = self.events_and_exposure();
        let mut rate: Vec<f64> = (0..BUCKETS)
            .map(|b| prior_strength / ((edges[b] + edges[b + 1]) / 2.0).max(0.5))
            .collect();
        for (size, weight) in SCALES {
            for block in (0..BUCKETS).step_by(size) {
                let range = block..(block + size).min(BUCKETS);
                let ratio = rate_ratio(&counts[range.clone()], &rate[range.clone()], size, weight);
                for rate in &mut rate[range] {
                    *rate *= ratio;
                }
            }
        }
        rate.into_iter().map(|rate| rate as f32).collect()
    }

    /// The weight of the gaps that ended in each bucket, and the exposure: for how many seconds they could have
    /// ended there.
    fn events_and_exposure(&self) -> Vec<BucketCounts> {
        let edges = bucket_edges();
        let mut counts = vec![BucketCounts::default(); BUCKETS];
        let mut later = 0.0;
        for b in (0..self.weights.len()).rev() {
            let width = edges[b + 1] - edges[b];
            let events = f64::from(self.weights[b]);
            counts[b] = BucketCounts {
                events,
                exposure: later * width + events * width / 2.0,
            };
            later += events;
        }
        counts
    }
}

/// Events of a bucket, and the seconds in which they could have happened.
#[derive(Clone, Copy, Default)]
struct BucketCounts {
    events: f64,
    exposure: f64,
}

/// The factor by which the rates of a block of buckets are to be multiplied. All buckets of a block get the same
/// factor, so that a rate that declines within the block still does.
fn rate_ratio(counts: &[BucketCounts], rate: &[f64], size: usize, weight: f64) -> f64 {
    let mut events = 0.0;
    let mut exposure = 0.0;
    let mut expected = 0.0;
    for (count, rate) in counts.iter().zip(rate) {
        events += count.events;
        exposure += count.exposure;
        expected += count.exposure * rate;
    }
    if exposure <= 0.0 {
        return 1.0;
    }
    // Below the scale of an octave, a difference that may be chance hardly changes the coarser estimate.
    let is_significant = size == BUCKETS_PER_OCTAVE
        || (events - expected).powi(2) > MIN_SQUARED_DEVIATION * (expected + 1.0);
    let weight = if is_significant {
        weight
    } else {
        INSIGNIFICANT_WEIGHT
    };
    (events + weight) / (expected + weight)
}

/// A range of ages at which a worker should be warm, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgeRange {
    /// The start of the range.
    pub from: f64,
    /// The end of the range.
    pub to: f64,
}

/// The age ranges in which the hazard rate is at least `min_rate`. Ranges separated by at most `max_pause`
/// seconds are merged, because loading again would cost as much as staying warm.
#[must_use]
pub fn ranges_above(rate: &[f32], min_rate: f64, max_pause: f64) -> Vec<AgeRange> {
    let edges = bucket_edges();
    let mut out: Vec<AgeRange> = Vec::new();
    for (b, rate) in rate
        .iter()
        .enumerate()
        .filter(|(_, r)| f64::from(**r) >= min_rate)
    {
        debug_assert!(*rate >= 0.0);
        let from = edges[b];
        let to = edges[b + 1];
        match out.last_mut() {
            Some(last) if from - last.to <= max_pause => last.to = to,
            _ => out.push(AgeRange { from, to }),
        }
    }
    out
}

/// The number of arrivals that a hazard rate predicts between an arrival and an age in seconds.
#[must_use]
pub fn expected_arrivals(rate: &[f32], age: f64) -> f64 {
    let edges = bucket_edges();
    let upto = rate.iter().enumerate().take_while(|(b, _)| edges[*b] < age);
    upto.map(|(b, rate)| f64::from(*rate) * (edges[b + 1].min(age) - edges[b]))
        .sum()
}
