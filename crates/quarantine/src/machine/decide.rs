//! Decides, after intervals were classified, which proposals are withdrawn and which are made.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{ListedWorker, Quarantine};
use crate::attribution::{attribute, NotAttributed, TotalEvidence};
use crate::detector::{after_last_recovery, find_onset, threshold};
use crate::proposals::{responsible, row_name, Effect, Reason, WorkerIncarnation};
use crate::{Micros, Worker, WorkerState};

/// The amount by which the threshold is lowered, as a natural logarithm. See docs/quarantine.md, 'the bound'.
const THRESHOLD_REDUCTION: f64 = 3.0;
/// The part of the threshold that the evidence must still reach without any one member or zone.
const REMAINING_RATIO: f64 = 0.2;
/// After how many windows a standing proposal is published again.
const REFRESH_WINDOWS: u32 = 6;
/// For how many intervals a class must not have been degraded to be reported again.
const CLASS_REPORT_INTERVALS: u32 = 12;
/// The ratio of current to long-term failure rate above which a class is reported.
const CLASS_REPORT_RATIO: f64 = 2.0;
/// The bits of a worker's start time that fit into a proposal's row.
const START_MASK: u64 = 0xffff_ffff_ffff;

/// The intervals that a decision is based on.
#[derive(Clone, Copy)]
struct IntervalRange {
    /// The first retained interval.
    oldest: u32,
    /// The last interval that is complete.
    last_complete: u32,
}

/// A worker with enough evidence against it.
struct Suspect {
    name: Arc<str>,
    evidence: TotalEvidence,
}

/// The incarnation of a worker, as rows name it.
fn incarnation_of(worker: &Worker) -> WorkerIncarnation {
    (row_name(&worker.name), worker.started & START_MASK)
}

impl Quarantine {
    /// Withdraws and makes proposals in the zones that this member is responsible for.
    pub(super) fn decide(&mut self, now: Micros, last_complete: u32, oldest: u32) {
        let window = u32::try_from(now / self.config.window.max(1)).unwrap_or(u32::MAX);
        let range = IntervalRange {
            oldest,
            last_complete,
        };
        let own_zones = self.own_zones();
        // Whether this member is responsible for what belongs to no zone.
        let is_fallback = self.is_responsible("");
        self.review_standing(now, window, range, &own_zones, is_fallback);
        self.withheld.clear();
        for (zone, mut suspects) in self.suspects(range) {
            suspects.sort_by(|a, b| {
                let by_evidence = b.evidence.log_evidence.total_cmp(&a.evidence.log_evidence);
                by_evidence.then_with(|| a.name.cmp(&b.name))
            });
            let is_own = own_zones.contains(&zone);
            self.propose(window, last_complete, &zone, suspects, is_own);
        }
        self.report_degraded_classes(last_complete, is_fallback);
    }

    /// Whether this member is responsible for a key.
    fn is_responsible(&self, key: &str) -> bool {
        responsible(key, self.alive.iter()) == Some(&self.config.me)
    }

    /// The zones of workers that this member is responsible for.
    fn own_zones(&self) -> BTreeSet<Arc<str>> {
        let zones: BTreeSet<&Arc<str>> = self
            .workers
            .values()
            .map(|known| &known.worker.zone)
            .collect();
        zones
            .into_iter()
            .filter(|zone| self.is_responsible(zone))
            .cloned()
            .collect()
    }

    /// The log evidence that a proposal needs.
    fn log_evidence_threshold(&self) -> f64 {
        let steps = 3.6e9 / (self.config.window / 2).max(1) as f64;
        threshold(self.config.worker_hours_per_false_proposal, steps) - THRESHOLD_REDUCTION
    }

    /// Withdraws or refreshes the standing proposals that this member is responsible for.
    fn review_standing(
        &mut self,
        now: Micros,
        window: u32,
        range: IntervalRange,
        own_zones: &BTreeSet<Arc<str>>,
        is_fallback: bool,
    ) {
        let by_row_name: BTreeMap<Vec<u8>, Arc<str>> = self
            .workers
            .keys()
            .map(|name| (row_name(name), name.clone()))
            .collect();
        let standing: Vec<(WorkerIncarnation, u32)> = self
            .proposals
            .list()
            .into_iter()
            .map(|(incarnation, _, summary)| (incarnation.clone(), summary.proposed_in))
            .collect();
        let retention = u64::from(self.config.retained_windows) * self.config.window;
        let has_full_history = self.started_at.is_some_and(|at| now >= at + retention);
        for (incarnation, proposed_in) in &standing {
            let known = by_row_name
                .get(&incarnation.0)
                .and_then(|name| self.workers.get(name));
            let reason = match known {
                None if is_fallback => Some(Reason::Removed),
                Some(known) if own_zones.contains(&known.worker.zone) => {
                    self.withdrawal(known, incarnation, *proposed_in, range, has_full_history)
                }
                _ => continue,
            };
            match reason {
                Some(reason) => self.proposals.withdraw(window, incarnation, reason),
                None => self.proposals.refresh(window, incarnation, REFRESH_WINDOWS),
            }
        }
    }

    /// The reason to withdraw the proposal of a listed worker, if there is one.
    fn withdrawal(
        &self,
        known: &ListedWorker,
        incarnation: &WorkerIncarnation,
        proposed_in: u32,
        range: IntervalRange,
        has_full_history: bool,
    ) -> Option<Reason> {
        let from = known
            .first_counted
            .max(range.oldest)
            .min(range.last_complete);
        let steps = self.steps(known, from, range.last_complete);
        if known.worker.started & START_MASK != incarnation.1 {
            return Some(Reason::Restarted);
        }
        let skipped = after_last_recovery(&steps) as u32;
        if skipped > 0 && from + skipped > proposed_in + 1 {
            return Some(Reason::Recovered);
        }
        let has_attempts = steps.iter().any(|(_, expected)| *expected > 0.0);
        let may_have_expired = has_full_history && range.oldest > proposed_in;
        (!has_attempts && may_have_expired).then_some(Reason::Expired)
    }

    /// The workers with enough evidence against them, by zone. Workers whose failures are not attributed to them are
    /// entered in `withheld`.
    fn suspects(&mut self, range: IntervalRange) -> BTreeMap<Arc<str>, Vec<Suspect>> {
        let threshold = self.log_evidence_threshold();
        let mut suspects: BTreeMap<Arc<str>, Vec<Suspect>> = BTreeMap::new();
        for (name, known) in &self.workers {
            if known.first_counted > range.last_complete {
                continue;
            }
            let from = known.first_counted.max(range.oldest);
            let steps = self.steps(known, from, range.last_complete);
            let skipped = after_last_recovery(&steps);
            let Some((at, log_evidence)) = find_onset(&steps[skipped..])
                .filter(|(_, log_evidence)| *log_evidence >= threshold)
            else {
                continue;
            };
            let Some(id) = self.store.workers.get(name) else {
                continue;
            };
            let onset = from + (skipped + at) as u32;
            let remaining = threshold * REMAINING_RATIO;
            let (evidence, attribution) =
                attribute(&self.classifications, id, onset, log_evidence, remaining);
            let name = name.clone();
            let reason = match attribution {
                Ok(()) => {
                    let zone = known.worker.zone.clone();
                    let of_zone = suspects.entry(zone).or_default();
                    of_zone.push(Suspect { name, evidence });
                    continue;
                }
                Err(NotAttributed::SingleMember) => "one member only",
                Err(NotAttributed::SingleZone) => "one zone only",
            };
            self.withheld.insert(name, (evidence, reason));
        }
        suspects
    }

    /// Observed and expected failures of a worker by interval.
    fn steps(&self, known: &ListedWorker, from: u32, last_complete: u32) -> Vec<(u32, f64)> {
        let id = self.store.workers.get(&known.worker.name);
        let evidence = |interval: u32| {
            let classification = self.classifications.get(&interval)?;
            classification.workers.get(&id?)
        };
        (from..=last_complete)
            .map(|interval| {
                evidence(interval)
                    .map_or((0, 0.0), |evidence| (evidence.failures, evidence.expected))
            })
            .collect()
    }

    /// Proposes suspects in the given order, within the maximum share of the zone's capacity.
    fn propose(
        &mut self,
        window: u32,
        last_complete: u32,
        zone: &Arc<str>,
        suspects: Vec<Suspect>,
        is_own: bool,
    ) {
        let standing: BTreeSet<WorkerIncarnation> =
            self.proposals.standing().into_keys().cloned().collect();
        let mut total_capacity = 0;
        let mut used_capacity = 0;
        for worker in self.workers.values().map(|known| &known.worker) {
            if worker.zone != *zone {
                continue;
            }
            total_capacity += u64::from(worker.capacity);
            if worker.state == WorkerState::Excluded || standing.contains(&incarnation_of(worker)) {
                used_capacity += u64::from(worker.capacity);
            }
        }
        for Suspect { name, evidence } in suspects {
            let Some(worker) = self.workers.get(&name).map(|known| &known.worker) else {
                continue;
            };
            if standing.contains(&incarnation_of(worker)) {
                continue;
            }
            let capacity = u64::from(worker.capacity);
            if (used_capacity + capacity) as f64
                > self.config.max_zone_share * total_capacity as f64
            {
                self.withheld
                    .insert(name, (evidence, "beyond the zone's share"));
                continue;
            }
            used_capacity += capacity;
            if is_own {
                let started = worker.started;
                self.proposals
                    .propose(window, &name, started, last_complete, &evidence);
            }
        }
    }

    /// Reports the classes that fail more than before on all workers.
    fn report_degraded_classes(&mut self, last_complete: u32, is_responsible: bool) {
        let Some(classification) = self.classifications.get(&last_complete) else {
            return;
        };
        for (class, (rate, before)) in &classification.classes {
            if *rate <= CLASS_REPORT_RATIO * before {
                continue;
            }
            let last = self.class_degraded_in.insert(*class, last_complete);
            let is_new = last.is_none_or(|last| last + CLASS_REPORT_INTERVALS < last_complete);
            if is_new && is_responsible {
                self.effects.push_back(Effect::ClassDegraded {
                    class: usize::from(*class),
                    rate: *rate,
                    before: *before,
                });
            }
        }
    }
}
