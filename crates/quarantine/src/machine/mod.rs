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
use crate::proposals::{row_name, Effect, Proposals};
use crate::store::EvidenceStore;
use crate::{Config, Micros, Outcome, Owner, Worker, WorkerState};

/// The most sets of names that rows may have been written with.
const MAX_NAME_TABLES: usize = 8;
/// The most rows that wait for their set of names.
const MAX_UNDECODED_ROWS: usize = 4_096;

/// A worker of the endpoint list.
#[derive(Clone, Debug)]
struct ListedWorker {
    worker: Worker,
    /// The first half window that counts.
    first_counted: u32,
}

/// A row of evidence whose set of names is not known yet.
type UndecodedRow = (Owner, u32, Vec<u8>);

/// The quarantine proposals of one member.
#[derive(Clone, Debug)]
pub struct Quarantine {
    config: Config,
    counter: AttemptCounter,
    store: EvidenceStore,
    name_tables: VecDeque<NameTable>,
    undecoded: BTreeMap<UndecodedRow, Vec<u32>>,
    workers: BTreeMap<Arc<str>, ListedWorker>,
    alive: BTreeSet<Owner>,
    classifications: BTreeMap<u32, Classification>,
    /// The last half window that was classified.
    last_classified: Option<u32>,
    proposals: Proposals,
    /// Workers with evidence and no proposal, and why.
    withheld: BTreeMap<Arc<str>, (TotalEvidence, &'static str)>,
    effects: VecDeque<Effect>,
    started_at: Option<Micros>,
    /// Rows that could not be read.
    unread_rows: u64,
    /// When each class that fails on all workers was reported last.
    class_reported_in: BTreeMap<u8, u32>,
}

impl Quarantine {
    /// A member without evidence. The seed is for probabilistic rounding.
    #[must_use]
    pub fn new(config: Config, seed: u64) -> Quarantine {
        Quarantine {
            counter: AttemptCounter::new(config.clone(), seed),
            store: EvidenceStore::new(config.max_cells),
            name_tables: VecDeque::new(),
            undecoded: BTreeMap::new(),
            workers: BTreeMap::new(),
            alive: BTreeSet::from([config.me.clone()]),
            classifications: BTreeMap::new(),
            last_classified: None,
            proposals: Proposals::default(),
            withheld: BTreeMap::new(),
            effects: VecDeque::new(),
            started_at: None,
            unread_rows: 0,
            class_reported_in: BTreeMap::new(),
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
        let Some(names) = self.name_tables.iter().find(|names| names.digest == digest) else {
            return self.hold_until_named(owner, window, subject, counts);
        };
        match code::decode(names, subject, counts) {
            Some(evidence) => self.store.merge(owner, window, names, &evidence),
            None => self.unread_rows += 1,
        }
    }

    /// Retains a row until its set of names is known.
    fn hold_until_named(&mut self, owner: &Owner, window: u32, subject: &[u8], counts: &[u32]) {
        let key = (owner.clone(), window, subject.to_vec());
        if self.undecoded.len() >= MAX_UNDECODED_ROWS && !self.undecoded.contains_key(&key) {
            self.unread_rows += 1;
            return;
        }
        let joined = self.undecoded.entry(key).or_default();
        joined.resize(joined.len().max(counts.len()), 0);
        for (joined, count) in joined.iter_mut().zip(counts) {
            *joined = (*joined).max(*count);
        }
    }

    /// Sets the members that are alive; this one is always among them.
    pub fn set_members(&mut self, alive: impl IntoIterator<Item = Owner>) {
        self.alive = alive.into_iter().chain([self.config.me.clone()]).collect();
        self.counter.set_members(self.alive.len());
    }

    /// Sets the endpoint list.
    pub fn set_workers(&mut self, now: Micros, workers: &[Worker]) {
        let interval = self.config.interval_at(now);
        let known = std::mem::take(&mut self.workers);
        for worker in workers {
            let first_counted = self.first_counted(worker, known.get(&worker.name), interval);
            let worker = worker.clone();
            self.workers.insert(
                worker.name.clone(),
                ListedWorker {
                    worker,
                    first_counted,
                },
            );
        }
        let names = NameTable::new(workers, &self.config.classes, &self.config.zone);
        if !self.name_tables.contains(&names) {
            self.name_tables.push_front(names);
            self.name_tables.truncate(MAX_NAME_TABLES);
            for ((owner, window, subject), counts) in std::mem::take(&mut self.undecoded) {
                self.merge_evidence(&owner, window, &subject, &counts);
            }
        }
        self.counter.set_workers(workers);
    }

    /// The first half window of a worker that counts, as the list has it at this half window.
    fn first_counted(&self, worker: &Worker, known: Option<&ListedWorker>, interval: u32) -> u32 {
        if worker.state != WorkerState::Ready {
            return u32::MAX;
        }
        let started = worker.started.saturating_mul(1_000);
        let warm_at = started.saturating_add(self.config.warmup);
        let warm_at = self.config.interval_at(warm_at).saturating_add(1);
        match known {
            None => warm_at,
            Some(known)
                if known.worker.started == worker.started && known.first_counted != u32::MAX =>
            {
                known.first_counted
            }
            Some(_) => warm_at.max(interval + 1),
        }
    }

    /// Sets the time; to be called at least once a second.
    pub fn tick(&mut self, now: Micros) {
        self.started_at.get_or_insert(now);
        let retained = self.config.retained_windows.saturating_mul(2);
        let oldest = (self.config.interval_at(now) + 1).saturating_sub(retained);
        self.expire(oldest);
        // The last half window that is over, and whose rows have come.
        let last_complete = self
            .config
            .interval_at(now.saturating_sub(self.config.allowed_lateness))
            .saturating_sub(1);
        let next = self
            .last_classified
            .map_or(oldest, |last_classified| last_classified + 1);
        let first_changed = self.store.take_first_changed().unwrap_or(next);
        let first = first_changed.min(next).max(oldest);
        if first <= last_complete {
            for interval in first..=last_complete {
                self.classify(interval);
            }
            self.last_classified = Some(last_complete);
            self.decide(now, last_complete, oldest);
        }
        let workers = &self.workers;
        let name = |tagged: &[u8]| {
            workers
                .keys()
                .find(|name| row_name(name) == tagged)
                .cloned()
        };
        let effects = self.proposals.effects(name);
        self.effects.extend(effects);
    }

    fn expire(&mut self, oldest: u32) {
        self.store.expire(oldest);
        self.classifications = self.classifications.split_off(&oldest);
        self.proposals.expire(oldest / 2);
        self.undecoded
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
            let Some(known) = known.filter(|known| known.first_counted <= interval) else {
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
