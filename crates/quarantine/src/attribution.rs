//! Decides whether failures on a worker are attributed to the worker itself.
//!
//! Before a proposal is made, its evidence must come from several members and zones. Failures that only one member, or
//! the members of one zone, observe have their cause more likely there or on the path.

use std::collections::{BTreeMap, BTreeSet};

use crate::classify::Classification;
use crate::detector::log_evidence;
use crate::FAILURE_KINDS;

/// Above this ratio to the peers' failure rate a worker fails so often that a single failure may be chance.
const LARGE_RATIO: f64 = 10.0;
/// The number of members that must have observed failures, if as many report.
const MIN_WITNESSES: usize = 3;
/// The number of zones in which members must have observed failures, if members of as many report.
const MIN_ZONES: usize = 2;

/// The evidence against a worker, summed from interval `from` on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TotalEvidence {
    pub(crate) from: u32,
    /// The natural logarithm of the e-value.
    pub(crate) log_evidence: f64,
    pub(crate) attempts: u32,
    pub(crate) failures: u32,
    /// The failures to be expected at the peers' rate.
    pub(crate) expected: f64,
    pub(crate) kinds: [u32; FAILURE_KINDS],
    /// The number of members that observed failures.
    pub(crate) witnesses: usize,
    /// The number of zones of these members.
    pub(crate) zones: usize,
}

/// Why failures are not attributed to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NotAttributed {
    /// Too few members observed them, or one observed nearly all.
    SingleMember,
    /// The members of one zone observed nearly all, or the failures in one zone fit the peers' rate.
    SingleZone,
}

/// What one member observed of the worker.
#[derive(Clone, Copy, Default)]
struct Witness {
    zone: u16,
    attempts: u32,
    failures: u32,
}

/// Observed and expected failures, summed over the members of a zone.
#[derive(Clone, Copy, Default)]
struct ZoneSums {
    failures: u32,
    expected: f64,
}

/// The evidence against a worker, in total and by the zones and members that observed it.
struct ObservedEvidence {
    total: TotalEvidence,
    zones: BTreeMap<u16, ZoneSums>,
    witnesses: BTreeMap<u32, Witness>,
    /// The members that reported anything, and their zones.
    reporters: BTreeMap<u32, u16>,
}

/// Sums the evidence against a worker from interval `from` on and decides whether to attribute it. `remaining` is the
/// log evidence that must be left without any one member or zone.
pub(crate) fn attribute(
    classifications: &BTreeMap<u32, Classification>,
    worker: u32,
    from: u32,
    log_evidence: f64,
    remaining: f64,
) -> (TotalEvidence, Result<(), NotAttributed>) {
    let observed = ObservedEvidence::collect(classifications, worker, from, log_evidence);
    let attribution = observed.check(remaining);
    (observed.total, attribution)
}

impl ObservedEvidence {
    fn collect(
        classifications: &BTreeMap<u32, Classification>,
        worker: u32,
        from: u32,
        log_evidence: f64,
    ) -> ObservedEvidence {
        let mut observed = ObservedEvidence {
            total: TotalEvidence {
                from,
                log_evidence,
                attempts: 0,
                failures: 0,
                expected: 0.0,
                kinds: [0; FAILURE_KINDS],
                witnesses: 0,
                zones: 0,
            },
            zones: BTreeMap::new(),
            witnesses: BTreeMap::new(),
            reporters: BTreeMap::new(),
        };
        for (_, classification) in classifications.range(from..) {
            observed.add(classification, worker);
        }
        let zones: BTreeSet<u16> = observed.witnesses.values().map(|w| w.zone).collect();
        observed.total.witnesses = observed.witnesses.len();
        observed.total.zones = zones.len();
        observed
    }

    fn add(&mut self, classification: &Classification, worker: u32) {
        for (member, zone) in &classification.reporters {
            if !classification.members.contains(member) {
                self.reporters.insert(*member, *zone);
            }
        }
        let Some(evidence) = classification.workers.get(&worker) else {
            return;
        };
        self.total.attempts += evidence.attempts;
        self.total.failures += evidence.failures;
        self.total.expected += evidence.expected;
        for (sum, kind) in self.total.kinds.iter_mut().zip(evidence.kinds) {
            *sum += kind;
        }
        for (zone, (failures, expected)) in &evidence.zones {
            let sums = self.zones.entry(*zone).or_default();
            sums.failures += failures;
            sums.expected += expected;
        }
        for (member, (zone, attempts, failures)) in &evidence.witnesses {
            let witness = self.witnesses.entry(*member).or_default();
            witness.zone = *zone;
            witness.attempts += attempts;
            witness.failures += failures;
        }
    }

    /// Whether enough members and zones agree.
    fn check(&self, remaining: f64) -> Result<(), NotAttributed> {
        let reporters = self.reporters.len();
        let zones: BTreeSet<u16> = self.reporters.values().copied().collect();
        if self.total.witnesses < reporters.min(MIN_WITNESSES) {
            return Err(NotAttributed::SingleMember);
        }
        if self.total.zones < zones.len().min(MIN_ZONES) {
            return Err(NotAttributed::SingleZone);
        }
        let expected_rate = self.total.expected / f64::from(self.total.attempts.max(1));
        let is_dominant = |witness: &Witness| {
            let expected = f64::from(witness.attempts) * expected_rate;
            self.log_evidence_without(witness.failures, expected) < remaining
        };
        if reporters >= MIN_WITNESSES && self.witnesses.values().any(is_dominant) {
            return Err(NotAttributed::SingleMember);
        }
        let contradicts = |sums: &ZoneSums| {
            self.log_evidence_without(sums.failures, sums.expected) < remaining
                || self.fits_peers(*sums, zones.len())
        };
        if zones.len() >= MIN_ZONES && self.zones.values().any(contradicts) {
            return Err(NotAttributed::SingleZone);
        }
        Ok(())
    }

    /// The log evidence without the failures and expected failures of one member or zone.
    fn log_evidence_without(&self, failures: u32, expected: f64) -> f64 {
        let failures = f64::from(self.total.failures - failures);
        log_evidence(failures, (self.total.expected - expected).max(0.0))
    }

    /// Whether the failures in a zone fit the peers' rate better than the worker's. If the two rates lie far apart, one
    /// failure is not counted, as it may be chance. If they are near, the zone is compared with their geometric mean:
    /// a zone with few attempts would otherwise outweigh the others. A zone with hardly any attempts on the worker is
    /// ignored.
    fn fits_peers(&self, sums: ZoneSums, zones: usize) -> bool {
        let ratio = (f64::from(self.total.failures) / self.total.expected.max(1e-9)).max(1.1);
        let min_expected = self.total.expected / (4 * zones.max(1)) as f64;
        let (ratio_limit, allowance) = if ratio > LARGE_RATIO {
            (ratio, 1.0)
        } else {
            (ratio.sqrt(), 0.0)
        };
        let failures = f64::from(sums.failures) - allowance;
        sums.expected >= min_expected
            && failures * ratio_limit.ln() <= (ratio_limit - 1.0) * sums.expected
    }
}
