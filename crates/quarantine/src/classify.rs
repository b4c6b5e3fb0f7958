//! Separates the failures of an interval by cause: classes, members, paths between zones, zones, and workers.
//!
//! The failures to be expected of a worker come from the failure rate of each class, computed without outlying workers
//! and without members that fail on all workers. Attempts of these members, and on failing paths, are no evidence
//! against a worker, and more failures are expected in zones that fail as a whole. [`crate::attribution`] decides
//! whether the remaining failures are the worker's own.
//!
//! Counts are whole numbers and are summed in the order of names, so that all members get the same result from the
//! same rows.

mod rates;
mod samples;

use std::collections::{BTreeMap, BTreeSet};

use crate::detector::excess_log_likelihood;
use crate::store::Cells;
use crate::FAILURE_KINDS;

use rates::{add, decayed, decayed_by_class, total_failures, ClassCounts, Rates, Sums};
use samples::{samples, sum_by, Sample};

/// The factor by which the sums for long-term rates decay with each interval.
const RATE_DECAY: f64 = 0.97;
/// The decay of the sums for current rates.
const SHORT_RATE_DECAY: f64 = 0.5;
/// The decay of the sums of workers.
const WORKER_DECAY: f64 = 0.85;
/// The decay of the sums of members, paths and zones.
const OTHERS_DECAY: f64 = 0.7;
/// The decay of attempts by class and worker.
const ATTEMPTS_DECAY: f64 = 0.95;
/// Decayed attempts at or below this are dropped.
const MIN_DECAYED_ATTEMPTS: f64 = 0.01;
/// The log likelihood ratio above which a class, member, path or zone is classified as failing.
const FAILING_LOG_LIKELIHOOD: f64 = 3.0;
/// The log likelihood ratio above which a worker is an outlier, and left out of the rates of its peers.
const OUTLIER_LOG_LIKELIHOOD: f64 = 4.0;
/// The largest share of a zone's workers that may be outliers.
const MAX_OUTLIER_SHARE: f64 = 0.2;
/// How many other workers must have had attempts of a class for its rate to be known.
const MIN_PEERS: u32 = 3;

/// The decaying sums that are carried from one interval to the next.
#[derive(Clone, Debug, Default)]
pub(crate) struct CarriedSums {
    /// Failures and attempts by class, for the long-term rates.
    long: Vec<Sums>,
    /// Failures and attempts by class, for the current rates.
    short: Vec<Sums>,
    /// Observed and expected failures of each worker; likewise for owners, paths and zones.
    workers: BTreeMap<u32, Sums>,
    owners: BTreeMap<u32, Sums>,
    paths: BTreeMap<(u16, u16), Sums>,
    zones: BTreeMap<u16, Sums>,
    /// Attempts by class and worker, which tell whether a worker has peers.
    recent_attempts: BTreeMap<(u8, u32), f64>,
}

/// The evidence of one interval on one worker, without attempts of failing members and on failing paths.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct WorkerEvidence {
    pub(crate) attempts: u32,
    pub(crate) kinds: [u32; FAILURE_KINDS],
    pub(crate) failures: u32,
    pub(crate) expected: f64,
    /// Observed and expected failures, by the zone of the members.
    pub(crate) zones: BTreeMap<u16, (u32, f64)>,
    /// The members that observed failures, each with its zone, attempts and failures.
    pub(crate) witnesses: BTreeMap<u32, (u16, u32, u32)>,
}

impl WorkerEvidence {
    fn add(&mut self, sample: &Sample<'_>) {
        let attempts = sample.cell.attempts;
        self.attempts += attempts;
        self.failures += sample.failures;
        for (kind, failures) in self.kinds.iter_mut().zip(sample.cell.failures) {
            *kind += failures;
        }
        if sample.failures > 0 {
            let (_, attempts_so_far, failures_so_far) = self
                .witnesses
                .entry(sample.owner)
                .or_insert((sample.cell.zone, 0, 0));
            *attempts_so_far += attempts;
            *failures_so_far += sample.failures;
        }
    }

    /// Sets the expected failures, by zone of the members and in total. `factor` is the ratio of the failure rate in
    /// the worker's zone to the rate of the class.
    fn set_expected(&mut self, by_zone: BTreeMap<u16, ClassCounts>, rates: &Rates, factor: f64) {
        let expected = |count: &ClassCounts| -> f64 {
            let each = |(class, (attempts, _)): (&u8, &(u32, u32))| {
                let class = usize::from(*class);
                let rate = rates.rate[class] * rates.uncertainty[class] * factor;
                f64::from(*attempts) * rate.min(1.0)
            };
            count.iter().map(each).sum()
        };
        let mut all = ClassCounts::new();
        for (zone, count) in by_zone {
            let sums = (total_failures(&count), expected(&count));
            self.zones.insert(zone, sums);
            for (class, (attempts, failures)) in &count {
                add(&mut all, *class, *attempts, *failures);
            }
        }
        self.expected = expected(&all);
    }
}

/// The causes of failures in one interval.
#[derive(Clone, Debug, Default)]
pub(crate) struct Classification {
    pub(crate) workers: BTreeMap<u32, WorkerEvidence>,
    /// The members that fail on all workers.
    pub(crate) members: BTreeSet<u32>,
    /// The failing paths, from the zone of members to the zone of workers.
    pub(crate) paths: BTreeSet<(u16, u16)>,
    /// The zones in which all workers fail, with the ratio to the expected rate.
    pub(crate) zones: BTreeMap<u16, f64>,
    /// The classes that fail more than before on all workers, with the current and the long-term rate.
    pub(crate) classes: BTreeMap<u8, (f64, f64)>,
    /// The members that reported any attempts, with their zones.
    pub(crate) reporters: BTreeMap<u32, u16>,
    /// The sums for the next interval.
    pub(crate) carried: CarriedSums,
}

/// Classifies an interval. `zone` returns a worker's zone, or `None` for workers that do not count, such as removed
/// ones.
pub(crate) fn classify(
    before: &CarriedSums,
    cells: &Cells,
    classes: usize,
    zone: impl Fn(u32) -> Option<u16>,
) -> Classification {
    let samples = samples(cells, classes, &zone);
    let reporters: BTreeMap<u32, u16> = samples.iter().map(|s| (s.owner, s.cell.zone)).collect();
    // Outliers are found by the rates over all workers and left out of the following rates.
    let (all, by_worker) = sum_by(samples.iter(), |sample| sample.worker);
    let rates = before.rates(classes, &all).rates;
    let workers = decayed(&before.workers, &by_worker, WORKER_DECAY, &rates);
    let outliers = outliers(&workers, &zone);
    // Failing members are found by the rates without outliers.
    let remaining = samples.iter().filter(|s| !outliers.contains(&s.worker));
    let (rest, by_owner) = sum_by(remaining, |sample| sample.owner);
    let rates = before.rates(classes, &rest).rates;
    let owners = decayed(&before.owners, &by_owner, OTHERS_DECAY, &rates);
    let members = failing_members(&owners, reporters.len());
    // Failing paths and zones are found without outliers and without failing members.
    let remaining = samples
        .iter()
        .filter(|s| !outliers.contains(&s.worker) && !members.contains(&s.owner));
    let (rest, by_path) = sum_by(remaining, Sample::path);
    let RatesAndSums { long, short, rates } = before.rates(classes, &rest);
    let path_sums = decayed(&before.paths, &by_path, OTHERS_DECAY, &rates);
    let paths = failing_paths(&path_sums);
    let by_zone = counts_by_zone(&by_path, &paths);
    let zone_sums = decayed(&before.zones, &by_zone, OTHERS_DECAY, &rates);
    let mut classification = Classification {
        members,
        paths,
        zones: failing_zones(&zone_sums),
        classes: rates.elevated.clone(),
        reporters,
        carried: CarriedSums {
            long,
            short,
            workers,
            owners,
            paths: path_sums,
            zones: zone_sums,
            recent_attempts: decayed_attempts(&before.recent_attempts, &by_worker),
        },
        ..Classification::default()
    };
    classification.add_own_evidence(&samples, &rates, zone);
    classification
}

/// The rates by class, and the decayed sums that they are computed from.
struct RatesAndSums {
    long: Vec<Sums>,
    short: Vec<Sums>,
    rates: Rates,
}

impl CarriedSums {
    /// Adds new counts and computes the rates by class.
    fn rates(&self, classes: usize, new: &ClassCounts) -> RatesAndSums {
        let long = decayed_by_class(classes, &self.long, new, RATE_DECAY);
        let short = decayed_by_class(classes, &self.short, new, SHORT_RATE_DECAY);
        let rates = Rates::new(&long, &short);
        RatesAndSums { long, short, rates }
    }
}

impl Classification {
    /// Adds the evidence against each worker, without failing members and paths.
    fn add_own_evidence(
        &mut self,
        samples: &[Sample<'_>],
        rates: &Rates,
        zone: impl Fn(u32) -> Option<u16>,
    ) {
        for (worker, by_zone) in self.own_counts(samples) {
            let factor = zone(worker)
                .and_then(|zone| self.zones.get(&zone).copied())
                .unwrap_or(1.0);
            if let Some(evidence) = self.workers.get_mut(&worker) {
                evidence.set_expected(by_zone, rates, factor);
            }
        }
    }

    /// Adds each worker's attempts and failures to its evidence, and returns them by the zone of the members. Failing
    /// members and paths are left out, and classes in which the worker has no peers.
    fn own_counts(&mut self, samples: &[Sample<'_>]) -> BTreeMap<u32, BTreeMap<u16, ClassCounts>> {
        let recent_attempts = &self.carried.recent_attempts;
        let attempted = attempted(recent_attempts);
        let mut own: BTreeMap<u32, BTreeMap<u16, ClassCounts>> = BTreeMap::new();
        for sample in samples {
            if self.members.contains(&sample.owner)
                || self.paths.contains(&sample.path())
                || !has_peers(recent_attempts, &attempted, sample.class, sample.worker)
            {
                continue;
            }
            let by_zone = own.entry(sample.worker).or_default();
            sample.add_to(by_zone.entry(sample.cell.zone).or_default());
            self.workers.entry(sample.worker).or_default().add(sample);
        }
        own
    }
}

/// The members that fail on all workers. `reporters` is the number of members that reported any attempts.
fn failing_members(owners: &BTreeMap<u32, Sums>, reporters: usize) -> BTreeSet<u32> {
    let members: BTreeSet<u32> = owners
        .iter()
        .filter(|(_, (observed, expected))| {
            excess_log_likelihood(*observed, *expected) > FAILING_LOG_LIKELIHOOD
        })
        .map(|(owner, _)| *owner)
        .collect();
    // Failures that most members observe are not caused by the members.
    if members.len() * 2 > reporters || reporters < 2 {
        return BTreeSet::new();
    }
    members
}

/// Counts by the zone of the workers, without failing paths.
fn counts_by_zone(
    by_path: &BTreeMap<(u16, u16), ClassCounts>,
    paths: &BTreeSet<(u16, u16)>,
) -> BTreeMap<u16, ClassCounts> {
    let mut by_zone: BTreeMap<u16, ClassCounts> = BTreeMap::new();
    for (path, count) in by_path.iter().filter(|(path, _)| !paths.contains(path)) {
        let of_zone = by_zone.entry(path.1).or_default();
        for (class, (attempts, failures)) in count {
            add(of_zone, *class, *attempts, *failures);
        }
    }
    by_zone
}

/// The zones in which all workers fail, with the ratio to the expected rate.
fn failing_zones(sums: &BTreeMap<u16, Sums>) -> BTreeMap<u16, f64> {
    sums.iter()
        .filter(|(_, (observed, expected))| {
            excess_log_likelihood(*observed, *expected) > FAILING_LOG_LIKELIHOOD
        })
        .map(|(zone, (observed, expected))| (*zone, ((observed + 1.0) / (expected + 1.0)).max(1.0)))
        .collect()
}

/// Adds new attempts by class and worker to the decayed earlier ones.
fn decayed_attempts(
    before: &BTreeMap<(u8, u32), f64>,
    by_worker: &BTreeMap<u32, ClassCounts>,
) -> BTreeMap<(u8, u32), f64> {
    let mut recent_attempts: BTreeMap<(u8, u32), f64> = before
        .iter()
        .map(|(key, attempts)| (*key, attempts * ATTEMPTS_DECAY))
        .filter(|(_, attempts)| *attempts > MIN_DECAYED_ATTEMPTS)
        .collect();
    for (worker, count) in by_worker {
        for (class, (attempts, _)) in count {
            *recent_attempts.entry((*class, *worker)).or_default() += f64::from(*attempts);
        }
    }
    recent_attempts
}

/// The workers that fail most above expectation, up to the maximum share of each zone.
fn outliers(workers: &BTreeMap<u32, Sums>, zone: impl Fn(u32) -> Option<u16>) -> BTreeSet<u32> {
    let mut by_zone: BTreeMap<u16, (usize, Vec<(f64, u32)>)> = BTreeMap::new();
    for (worker, (observed, expected)) in workers {
        let Some(zone) = zone(*worker) else { continue };
        let (all, candidates) = by_zone.entry(zone).or_default();
        *all += 1;
        let excess = excess_log_likelihood(*observed, *expected);
        if excess > OUTLIER_LOG_LIKELIHOOD {
            candidates.push((excess, *worker));
        }
    }
    let mut outliers = BTreeSet::new();
    for (all, mut candidates) in by_zone.into_values() {
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
        let max = ((all as f64 * MAX_OUTLIER_SHARE) as usize).max(1);
        outliers.extend(candidates.into_iter().take(max).map(|(_, worker)| worker));
    }
    outliers
}

/// The paths that fail more than the best of the other paths to the same zone.
fn failing_paths(sums: &BTreeMap<(u16, u16), Sums>) -> BTreeSet<(u16, u16)> {
    // The two best paths to each zone are found in one pass: with hundreds of zones there are as many paths to each.
    let mut best_two: BTreeMap<u16, [(f64, u16); 2]> = BTreeMap::new();
    for ((from, to), (observed, expected)) in sums {
        let ratio = (observed + 1.0) / (expected + 1.0);
        let best = best_two.entry(*to).or_insert([(f64::INFINITY, 0); 2]);
        if ratio < best[0].0 {
            *best = [(ratio, *from), best[0]];
        } else if ratio < best[1].0 {
            best[1] = (ratio, *from);
        }
    }
    let is_failing = |(from, to): &(u16, u16), (observed, expected): &Sums| {
        let best_other = best_two
            .get(to)
            .and_then(|best| best.iter().find(|(_, other)| other != from))
            .map_or(f64::INFINITY, |(ratio, _)| *ratio);
        best_other.is_finite()
            && excess_log_likelihood(*observed, expected * best_other.max(1.0))
                > FAILING_LOG_LIKELIHOOD
    };
    sums.iter()
        .filter(|(path, sums)| is_failing(path, sums))
        .map(|(path, _)| *path)
        .collect()
}

/// Whether enough other workers have had attempts of a class, and together at least as many as this worker, for the
/// class's rate to be known without it.
fn has_peers(
    recent_attempts: &BTreeMap<(u8, u32), f64>,
    attempted: &BTreeMap<u8, (u32, f64)>,
    class: u8,
    worker: u32,
) -> bool {
    let own = recent_attempts
        .get(&(class, worker))
        .copied()
        .unwrap_or(0.0);
    let (count, all) = attempted.get(&class).copied().unwrap_or_default();
    count - u32::from(own >= 0.5) >= MIN_PEERS && all - own >= own
}

/// By class, the number of workers with attempts and the attempts on all of them.
fn attempted(recent_attempts: &BTreeMap<(u8, u32), f64>) -> BTreeMap<u8, (u32, f64)> {
    let mut attempted: BTreeMap<u8, (u32, f64)> = BTreeMap::new();
    for ((class, _), attempts) in recent_attempts {
        let (count, all) = attempted.entry(*class).or_default();
        *count += u32::from(*attempts >= 0.5);
        *all += attempts;
    }
    attempted
}
