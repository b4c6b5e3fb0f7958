//! The decisions once half windows are classified: which proposals are withdrawn, and which are made.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Known, Quarantine};
use crate::attribution::{attribute, NotAttributed, TotalEvidence};
use crate::detector::{after_last_recovery, find_onset, threshold};
use crate::proposals::{responsible, tag, Effect, Reason, Subject};
use crate::{Micros, Worker, WorkerState};

/// By how much the threshold is lowered (natural logarithm): see docs/quarantine.md, 'the bound'.
const SLACK: f64 = 3.0;
/// The part of the threshold that must be left when the member or zone that saw most is left out.
const REMAINING_RATIO: f64 = 0.2;
/// After how many windows a standing proposal is raised again.
const REFRESH: u32 = 6;
/// After how many half windows a class that fails on all workers is reported again.
const SHARED_REPORT_INTERVAL: u32 = 12;
/// By how much the failure rate of a class must have grown to be reported.
const SHARED_FACTOR: f64 = 2.0;
/// The bits of a worker's start that proposals have.
const START_BITS: u64 = 0xffff_ffff_ffff;

/// The half windows that a decision is made on.
#[derive(Clone, Copy)]
struct Range {
    /// The first that is retained.
    oldest: u32,
    /// The last that is over.
    over: u32,
}

/// A worker with enough evidence against it.
struct Suspect {
    name: Arc<str>,
    evidence: TotalEvidence,
}

/// A worker's start, as rows name it.
fn subject(worker: &Worker) -> Subject {
    (tag(&worker.name), worker.started & START_BITS)
}

impl Quarantine {
    /// Withdraws and makes the proposals that this member is responsible for.
    pub(super) fn decide(&mut self, now: Micros, over: u32, oldest: u32) {
        let window = u32::try_from(now / self.config.window.max(1)).unwrap_or(u32::MAX);
        let range = Range { oldest, over };
        let own_zones = self.own_zones();
        // Who is responsible for what no zone is.
        let is_default = self.is_responsible("");
        self.review_standing(now, window, range, &own_zones, is_default);
        self.open.clear();
        for (zone, mut suspects) in self.suspects(range) {
            suspects.sort_by(|a, b| {
                let by_evidence = b.evidence.log_evidence.total_cmp(&a.evidence.log_evidence);
                by_evidence.then_with(|| a.name.cmp(&b.name))
            });
            let is_own = own_zones.contains(&zone);
            self.propose(window, over, &zone, suspects, is_own);
        }
        self.report_shared(over, is_default);
    }

    /// Whether this member is responsible for a key.
    fn is_responsible(&self, key: &str) -> bool {
        responsible(key, self.living.iter()) == Some(&self.config.me)
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

    /// The evidence that a proposal needs.
    fn evidence_threshold(&self) -> f64 {
        let steps = 3.6e9 / (self.config.window / 2).max(1) as f64;
        threshold(self.config.worker_hours_per_false_proposal, steps) - SLACK
    }

    /// Withdraws or refreshes the standing proposals.
    fn review_standing(
        &mut self,
        now: Micros,
        window: u32,
        range: Range,
        own_zones: &BTreeSet<Arc<str>>,
        is_default: bool,
    ) {
        let by_tag: BTreeMap<Vec<u8>, Arc<str>> = self
            .workers
            .keys()
            .map(|name| (tag(name), name.clone()))
            .collect();
        let standing: Vec<(Subject, u32)> = self
            .proposals
            .list()
            .into_iter()
            .map(|(subject, _, figures)| (subject.clone(), figures.made))
            .collect();
        let retention = u64::from(self.config.retained_windows) * self.config.window;
        let has_full_memory = self.started_at.is_some_and(|at| now >= at + retention);
        for (subject, made) in &standing {
            let known = by_tag
                .get(&subject.0)
                .and_then(|name| self.workers.get(name));
            let reason = match known {
                None if is_default => Some(Reason::Removed),
                Some(known) if own_zones.contains(&known.worker.zone) => {
                    self.withdrawal(known, subject, *made, range, has_full_memory)
                }
                _ => continue,
            };
            match reason {
                Some(reason) => self.proposals.withdraw(window, subject, reason),
                None => self.proposals.refresh(window, subject, REFRESH),
            }
        }
    }

    /// Why a proposal of a listed worker no longer stands, if it does not.
    fn withdrawal(
        &self,
        known: &Known,
        subject: &Subject,
        made: u32,
        range: Range,
        has_full_memory: bool,
    ) -> Option<Reason> {
        let from = known.from.max(range.oldest).min(range.over);
        let steps = self.steps(known, from, range.over);
        if known.worker.started & START_BITS != subject.1 {
            return Some(Reason::Restarted);
        }
        let fresh = after_last_recovery(&steps) as u32;
        if fresh > 0 && from + fresh > made + 1 {
            return Some(Reason::Recovered);
        }
        let is_tried = steps.iter().any(|(_, expected)| *expected > 0.0);
        let may_have_expired = has_full_memory && range.oldest > made;
        (!is_tried && may_have_expired).then_some(Reason::Expired)
    }

    /// The workers with enough evidence against them, by zone. Those whose failures are not attributed to them
    /// are noted as open.
    fn suspects(&mut self, range: Range) -> BTreeMap<Arc<str>, Vec<Suspect>> {
        let threshold = self.evidence_threshold();
        let mut suspects: BTreeMap<Arc<str>, Vec<Suspect>> = BTreeMap::new();
        for (name, known) in &self.workers {
            if known.from > range.over {
                continue;
            }
            let from = known.from.max(range.oldest);
            let steps = self.steps(known, from, range.over);
            let fresh = after_last_recovery(&steps);
            let Some((at, log)) = find_onset(&steps[fresh..]).filter(|(_, log)| *log >= threshold)
            else {
                continue;
            };
            let Some(id) = self.store.workers.get(name) else {
                continue;
            };
            let from = from + (fresh + at) as u32;
            let remaining = threshold * REMAINING_RATIO;
            let (evidence, attribution) =
                attribute(&self.classifications, id, from, log, remaining);
            let name = name.clone();
            let why = match attribution {
                Ok(()) => {
                    let zone = known.worker.zone.clone();
                    let of_zone = suspects.entry(zone).or_default();
                    of_zone.push(Suspect { name, evidence });
                    continue;
                }
                Err(NotAttributed::SingleMember) => "one member only",
                Err(NotAttributed::SingleZone) => "one zone only",
            };
            self.open.insert(name, (evidence, why));
        }
        suspects
    }

    /// Failures and expected failures of a worker by half window.
    fn steps(&self, known: &Known, from: u32, over: u32) -> Vec<(u32, f64)> {
        let id = self.store.workers.get(&known.worker.name);
        let evidence = |interval: u32| {
            let classification = self.classifications.get(&interval)?;
            classification.workers.get(&id?)
        };
        (from..=over)
            .map(|interval| {
                evidence(interval).map_or((0, 0.0), |seen| (seen.failures, seen.expected))
            })
            .collect()
    }

    /// Proposes the worst first, within the share of the zone's capacity.
    fn propose(
        &mut self,
        window: u32,
        over: u32,
        zone: &Arc<str>,
        suspects: Vec<Suspect>,
        is_own: bool,
    ) {
        let standing: BTreeSet<Subject> = self.proposals.standing().into_keys().cloned().collect();
        let mut total = 0;
        let mut used = 0;
        for worker in self.workers.values().map(|known| &known.worker) {
            if worker.zone != *zone {
                continue;
            }
            total += u64::from(worker.capacity);
            if worker.state == WorkerState::Excluded || standing.contains(&subject(worker)) {
                used += u64::from(worker.capacity);
            }
        }
        for Suspect { name, evidence } in suspects {
            let Some(worker) = self.workers.get(&name).map(|known| &known.worker) else {
                continue;
            };
            if standing.contains(&subject(worker)) {
                continue;
            }
            let capacity = u64::from(worker.capacity);
            if (used + capacity) as f64 > self.config.max_zone_share * total as f64 {
                self.open
                    .insert(name, (evidence, "beyond the zone's share"));
                continue;
            }
            used += capacity;
            if is_own {
                let started = worker.started;
                self.proposals
                    .propose(window, &name, started, over, &evidence);
            }
        }
    }

    /// Reports classes that fail more on all workers.
    fn report_shared(&mut self, over: u32, is_responsible: bool) {
        let Some(classification) = self.classifications.get(&over) else {
            return;
        };
        for (class, (rate, before)) in &classification.classes {
            if *rate <= SHARED_FACTOR * before {
                continue;
            }
            let last = self.reported.insert(*class, over);
            let is_new = last.is_none_or(|last| last + SHARED_REPORT_INTERVAL < over);
            if is_new && is_responsible {
                self.effects.push_back(Effect::Shared {
                    class: usize::from(*class),
                    rate: *rate,
                    before: *before,
                });
            }
        }
    }
}
