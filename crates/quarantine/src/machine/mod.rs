//! The state machine of one member: evidence in, proposals out.
//!
//! It decides when a half window is classified and whose failures count. It acts on no worker, and proposes only
//! where this member is responsible.

mod decide;
mod table;

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::attribution::TotalEvidence;
use crate::classify::{self, Classification};
use crate::code::{self, NameTable};
use crate::counter::{AttemptCounter, RowUpdate};
use crate::proposals::{tag, Effect, Proposals};
use crate::store::EvidenceStore;
use crate::{Config, Micros, Outcome, Owner, Worker, WorkerState};

/// The most sets of names that rows may have been written with.
const MAX_NAME_TABLES: usize = 8;
/// The most rows that wait for their set of names.
const MAX_WAITING_ROWS: usize = 4_096;

/// A worker of the endpoint list.
#[derive(Clone, Debug)]
struct Known {
    worker: Worker,
    /// The first half window that counts.
    from: u32,
}

/// A row of evidence whose set of names is not known yet.
type WaitingRow = (Owner, u32, Vec<u8>);

/// The quarantine proposals of one member.
#[derive(Clone, Debug)]
pub struct Quarantine {
    config: Config,
    counter: AttemptCounter,
    store: EvidenceStore,
    names: VecDeque<NameTable>,
    waiting: BTreeMap<WaitingRow, Vec<u32>>,
    workers: BTreeMap<Arc<str>, Known>,
    living: BTreeSet<Owner>,
    classifications: BTreeMap<u32, Classification>,
    /// The last half window that was classified.
    classified: Option<u32>,
    proposals: Proposals,
    /// Workers with evidence and no proposal, and why.
    open: BTreeMap<Arc<str>, (TotalEvidence, &'static str)>,
    effects: VecDeque<Effect>,
    started_at: Option<Micros>,
    /// Rows that could not be read.
    unread: u64,
    /// When each class that fails on all workers was reported last.
    reported: BTreeMap<u8, u32>,
}

impl Quarantine {
    /// A member without evidence. The seed is for probabilistic rounding.
    #[must_use]
    pub fn new(config: Config, seed: u64) -> Quarantine {
        Quarantine {
            counter: AttemptCounter::new(config.clone(), seed),
            store: EvidenceStore::new(config.max_cells),
            names: VecDeque::new(),
            waiting: BTreeMap::new(),
            workers: BTreeMap::new(),
            living: BTreeSet::from([config.me.clone()]),
            classifications: BTreeMap::new(),
            classified: None,
            proposals: Proposals::default(),
            open: BTreeMap::new(),
            effects: VecDeque::new(),
            started_at: None,
            unread: 0,
            reported: BTreeMap::new(),
            config,
        }
    }

    /// A try ended on a worker: `first` where the job had not been tried before.
    pub fn record_attempt(
        &mut self,
        now: Micros,
        worker: &str,
        class: usize,
        first: bool,
        outcome: Outcome,
    ) {
        self.counter
            .record_attempt(now, worker, class, first, outcome);
    }

    /// What is to be raised in the shared rows, table [`crate::TABLE`]. Own rows need not be merged.
    pub fn take_updates(&mut self, now: Micros) -> Vec<RowUpdate> {
        let rows = self.counter.take_updates(now);
        let me = self.config.me.clone();
        for row in &rows {
            self.merge_evidence(&me, row.window, &row.subject, &row.counts());
        }
        self.proposals
            .take_updates()
            .into_iter()
            .chain(rows)
            .collect()
    }

    /// Merges a row of any member, in any order, any number of times.
    pub fn merge(&mut self, owner: &Owner, window: u32, subject: &[u8], counts: &[u32]) {
        match subject.first() {
            Some(&code::PROPOSAL_TAG) => self.proposals.merge(window, subject, counts),
            _ => self.merge_evidence(owner, window, subject, counts),
        }
    }

    fn merge_evidence(&mut self, owner: &Owner, window: u32, subject: &[u8], counts: &[u32]) {
        let Some(digest) = code::names_digest(subject) else {
            return;
        };
        let Some(names) = self.names.iter().find(|names| names.digest == digest) else {
            return self.wait_for_names(owner, window, subject, counts);
        };
        match code::decode(names, subject, counts) {
            Some(evidence) => self.store.merge(owner, window, names, &evidence),
            None => self.unread += 1,
        }
    }

    /// Retains a row until its set of names is known.
    fn wait_for_names(&mut self, owner: &Owner, window: u32, subject: &[u8], counts: &[u32]) {
        let key = (owner.clone(), window, subject.to_vec());
        if self.waiting.len() >= MAX_WAITING_ROWS && !self.waiting.contains_key(&key) {
            self.unread += 1;
            return;
        }
        let joined = self.waiting.entry(key).or_default();
        joined.resize(joined.len().max(counts.len()), 0);
        for (joined, count) in joined.iter_mut().zip(counts) {
            *joined = (*joined).max(*count);
        }
    }

    /// Sets the members that are alive; this one is always among them.
    pub fn set_members(&mut self, living: impl IntoIterator<Item = Owner>) {
        self.living = living.into_iter().chain([self.config.me.clone()]).collect();
        self.counter.set_members(self.living.len());
    }

    /// Sets the endpoint list.
    pub fn set_workers(&mut self, now: Micros, workers: &[Worker]) {
        let interval = self.config.interval_at(now);
        let known = std::mem::take(&mut self.workers);
        for worker in workers {
            let from = self.counts_from(worker, known.get(&worker.name), interval);
            let worker = worker.clone();
            self.workers
                .insert(worker.name.clone(), Known { worker, from });
        }
        let names = NameTable::new(workers, &self.config.classes, &self.config.zone);
        if !self.names.contains(&names) {
            self.names.push_front(names);
            self.names.truncate(MAX_NAME_TABLES);
            for ((owner, window, subject), counts) in std::mem::take(&mut self.waiting) {
                self.merge_evidence(&owner, window, &subject, &counts);
            }
        }
        self.counter.set_workers(workers);
    }

    /// The first half window of a worker that counts, as the list has it at this half window.
    fn counts_from(&self, worker: &Worker, known: Option<&Known>, interval: u32) -> u32 {
        if worker.state != WorkerState::Ready {
            return u32::MAX;
        }
        let started = worker.started.saturating_mul(1_000);
        let warm = started.saturating_add(self.config.warmup);
        let warm = self.config.interval_at(warm).saturating_add(1);
        match known {
            None => warm,
            Some(known) if known.worker.started == worker.started && known.from != u32::MAX => {
                known.from
            }
            Some(_) => warm.max(interval + 1),
        }
    }

    /// Sets the time; to be called at least once a second.
    pub fn tick(&mut self, now: Micros) {
        self.started_at.get_or_insert(now);
        let retained = self.config.retained_windows.saturating_mul(2);
        let oldest = (self.config.interval_at(now) + 1).saturating_sub(retained);
        self.expire(oldest);
        // The last half window that is over, and whose rows have come.
        let over = self
            .config
            .interval_at(now.saturating_sub(self.config.allowed_lateness))
            .saturating_sub(1);
        let next = self.classified.map_or(oldest, |classified| classified + 1);
        let first_changed = self.store.take_first_changed().unwrap_or(next);
        let first = first_changed.min(next).max(oldest);
        if first <= over {
            for interval in first..=over {
                self.classify(interval);
            }
            self.classified = Some(over);
            self.decide(now, over, oldest);
        }
        let workers = &self.workers;
        let name = |tagged: &[u8]| workers.keys().find(|name| tag(name) == tagged).cloned();
        let effects = self.proposals.effects(name);
        self.effects.extend(effects);
    }

    fn expire(&mut self, oldest: u32) {
        self.store.expire(oldest);
        self.classifications = self.classifications.split_off(&oldest);
        self.proposals.expire(oldest / 2);
        self.waiting
            .retain(|(_, window, _), _| *window >= oldest / 2);
    }

    /// Classifies the evidence of a half window.
    fn classify(&mut self, interval: u32) {
        let cells = self
            .store
            .intervals
            .get(&interval)
            .cloned()
            .unwrap_or_default();
        let mut zones: BTreeMap<u32, u16> = BTreeMap::new();
        for (worker, _, _) in cells.keys() {
            let name = self.store.workers.name(*worker);
            let known = name.and_then(|name| self.workers.get(name));
            let Some(known) = known.filter(|known| known.from <= interval) else {
                continue;
            };
            let zone = known.worker.zone.clone();
            if let Entry::Vacant(new) = zones.entry(*worker) {
                if let Some(zone) = self.store.zone_number(&zone) {
                    new.insert(zone);
                }
            }
        }
        let none = classify::CarriedSums::default();
        let before = interval
            .checked_sub(1)
            .and_then(|interval| self.classifications.get(&interval))
            .map_or(&none, |classification| &classification.carried);
        let classes = self.config.classes.len().clamp(1, 32);
        let zone = |worker| zones.get(&worker).copied();
        let classification = classify::classify(before, &cells, classes, zone);
        self.classifications.insert(interval, classification);
    }

    /// The next effect, in order.
    pub fn poll_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }
}
