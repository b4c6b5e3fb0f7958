//! Attribution: whether the failures on a worker are the worker's, by witnesses in several zones.
//!
//! It is the last check before a proposal: what only one member or one zone of members sees is not attributed to
//! the worker.

use std::collections::{BTreeMap, BTreeSet};

use crate::classify::Classification;
use crate::detector::log_evidence;
use crate::FAILURE_KINDS;

/// A worker this many times worse than its peers fails so often that one failure alone is no sign of it.
const LARGE_RATIO: f64 = 10.0;
/// How many witnesses are needed, where as many members report.
const MIN_WITNESSES: usize = 3;
/// In how many zones witnesses are needed, where members of as many report.
const MIN_ZONES: usize = 2;

/// The evidence against a worker since `from`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TotalEvidence {
    pub(crate) from: u32,
    /// The natural logarithm of the e-value.
    pub(crate) log_evidence: f64,
    pub(crate) attempts: u32,
    pub(crate) failures: u32,
    pub(crate) expected: f64,
    pub(crate) kinds: [u32; FAILURE_KINDS],
    pub(crate) witnesses: usize,
    pub(crate) zones: usize,
}

/// Why there is no proposal although there is evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NotAttributed {
    /// Too few members saw it, or one saw nearly all of it.
    SingleMember,
    /// One zone of members saw nearly all of it, or the failures in one zone fit the peers' rate.
    SingleZone,
}

/// What one member saw of the worker.
#[derive(Clone, Copy, Default)]
struct Witness {
    zone: u16,
    attempts: u32,
    failures: u32,
}

/// Failures, and those to be expected, in one zone of members.
#[derive(Clone, Copy, Default)]
struct ZoneSums {
    failures: u32,
    expected: f64,
}

/// All evidence of a worker, by zone and member.
struct ObservedEvidence {
    total: TotalEvidence,
    zones: BTreeMap<u16, ZoneSums>,
    witnesses: BTreeMap<u32, Witness>,
    /// The members that reported anything, and their zones.
    reporters: BTreeMap<u32, u16>,
}

/// Attributes the evidence against a worker from half window `from` on. `remaining` is the evidence that must be
/// left when the member, or the zone, that saw the most is left out.
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
        let Some(seen) = classification.workers.get(&worker) else {
            return;
        };
        self.total.attempts += seen.attempts;
        self.total.failures += seen.failures;
        self.total.expected += seen.expected;
        for (sum, kind) in self.total.kinds.iter_mut().zip(seen.kinds) {
            *sum += kind;
        }
        for (zone, (failures, expected)) in &seen.zones {
            let sums = self.zones.entry(*zone).or_default();
            sums.failures += failures;
            sums.expected += expected;
        }
        for (member, (zone, attempts, failures)) in &seen.witnesses {
            let witness = self.witnesses.entry(*member).or_default();
            witness.zone = *zone;
            witness.attempts += attempts;
            witness.failures += failures;
        }
    }

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

    /// The evidence without that of one member or zone.
    fn log_evidence_without(&self, failures: u32, expected: f64) -> f64 {
        let failures = f64::from(self.total.failures - failures);
        log_evidence(failures, (self.total.expected - expected).max(0.0))
    }

    /// Whether the failures in a zone fit the peers' rate better than the worker's. Where the two lie far apart,
    /// one failure less: it may be chance. Where they are near, the mean of both is the mark, as a zone with few
    /// tries would otherwise outweigh what the others show. A zone that hardly tries the worker does not count.
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
