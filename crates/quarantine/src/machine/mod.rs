//! The state machine of one member, which turns evidence into proposals.
//!
//! It collects the rows of all members, and classifies an interval once it has ended and its rows have had time to
//! arrive. When late rows change an interval, it and those after it are classified again. Only the responsible member
//! publishes a proposal, so that the fleet makes one.

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

/// The maximum number of name tables that rows are decoded with, the latest first.
const MAX_NAME_TABLES: usize = 8;
/// The maximum number of rows that are held until their name table is known.
const MAX_UNDECODED_ROWS: usize = 4_096;

/// A worker of the endpoint list.
#[derive(Clone, Debug)]
struct ListedWorker {
    worker: Worker,
    /// The first interval whose failures count.
    first_counted: u32,
}

/// The owner, window and subject of a row whose name table is not known yet.
type UndecodedRow = (Owner, u32, Vec<u8>);

/// The state machine of one member.
#[derive(Clone, Debug)]
pub struct Quarantine {
    config: Config,
    counter: AttemptCounter,
    store: EvidenceStore,
    name_tables: VecDeque<NameTable>,
    /// Rows that are held until their name table is known.
    undecoded: BTreeMap<UndecodedRow, Vec<u32>>,
    workers: BTreeMap<Arc<str>, ListedWorker>,
    /// The members that are alive.
    alive: BTreeSet<Owner>,
    classifications: BTreeMap<u32, Classification>,
    /// The last interval that was classified.
    last_classified: Option<u32>,
    proposals: Proposals,
    /// Workers with enough evidence but no proposal, and the reason.
    withheld: BTreeMap<Arc<str>, (TotalEvidence, &'static str)>,
    effects: VecDeque<Effect>,
    /// The time of the first tick.
    started_at: Option<Micros>,
    /// The number of rows that were malformed, or could not be held.
    unread_rows: u64,
    /// The interval in which each degraded class was last found so.
    class_degraded_in: BTreeMap<u8, u32>,
}

impl Quarantine {
    /// Creates the state of a member without evidence. The seed is for probabilistic rounding.
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
            class_degraded_in: BTreeMap::new(),
            config,
        }
    }

    /// Records the outcome of an attempt. `first` is whether it was the job's first attempt.
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

    /// Returns the updates of rows to publish, in table [`crate::TABLE`]. Own rows need not be passed to
    /// [`Quarantine::merge`].
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

    /// Merges a row of any member. Rows may arrive in any order and any number of times.
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

    /// Holds a row until its name table is known.
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

    /// Sets the members that are alive. This member is always among them.
    pub fn set_members(&mut self, alive: impl IntoIterator<Item = Owner>) {
        self.alive = alive.into_iter().chain([self.config.me.clone()]).collect();
        self.counter.set_members(self.alive.len());
    }

    /// Sets the endpoint list, and decodes held rows if it has new names.
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

    /// The first interval in which a listed worker's failures count: after its warm-up, and after the current interval
    /// if it restarted or became ready again.
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

    /// Advances the time, which must be done at least once a second: classifies intervals, decides on proposals and
    /// queues effects.
    pub fn tick(&mut self, now: Micros) {
        self.started_at.get_or_insert(now);
        let retained = self.config.retained_windows.saturating_mul(2);
        let oldest = (self.config.interval_at(now) + 1).saturating_sub(retained);
        self.expire(oldest);
        // The last interval that has ended and whose rows have had time to arrive.
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
        let name = |wanted: &[u8]| {
            workers
                .keys()
                .find(|name| row_name(name) == wanted)
                .cloned()
        };
        let effects = self.proposals.effects(name);
        self.effects.extend(effects);
    }

    /// Removes evidence and proposals from before an interval.
    fn expire(&mut self, oldest: u32) {
        self.store.expire(oldest);
        self.classifications = self.classifications.split_off(&oldest);
        self.proposals.expire(oldest / 2);
        self.undecoded
            .retain(|(_, window, _), _| *window >= oldest / 2);
    }

    /// Classifies the evidence of an interval.
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

    /// Takes the next effect, in the order in which they occurred.
    pub fn poll_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }
}
