//! Shared rows of counters. Only its owner increments a row; all members store and forward it.
//!
//! [`Rows`] merges and expires rows, and enforces limits. Merging takes the larger version and the
//! larger of each count: a grow-only counter as in Shapiro et al., 'A comprehensive study of
//! convergent and commutative replicated data types', INRIA RR-7506, 2011, section 3.1.1. Rows may
//! therefore be merged in any order and any number of times. The rows of a dead owner are retained
//! until they expire.

use std::collections::{BTreeMap, BTreeSet};

use crate::Micros;

mod read;
mod types;

pub use types::{
    Key, Limits, Owner, RejectedRows, Row, RowError, Sizes, MAX_COUNTS, MAX_NAME_LENGTH,
    MAX_SUBJECT_LENGTH,
};

/// Bytes accounted for a row in addition to its subject and counts: the entries in both indices.
const ROW_OVERHEAD: usize = 128;

/// A stored row.
#[derive(Clone, Debug, Default)]
struct StoredRow {
    version: u64,
    counts: Vec<u32>,
}

/// The rows of one owner.
#[derive(Clone, Debug, Default)]
struct OwnerRows {
    /// The version up to which all rows of the owner are stored or have expired.
    known_version: u64,
    rows: BTreeMap<Key, StoredRow>,
    by_version: BTreeSet<(u64, Key)>,
    alive: bool,
    /// The window in which the owner was declared dead.
    died_in_window: u32,
}

impl OwnerRows {
    fn expire(&mut self, oldest: u32) {
        self.rows.retain(|key, _| key.window >= oldest);
        self.by_version.retain(|(_, key)| key.window >= oldest);
        debug_assert_eq!(self.rows.len(), self.by_version.len());
    }

    /// Merges a row into the stored one, which is created if absent. Returns whether that changed
    /// it.
    fn join(&mut self, key: &Key, version: u64, counts: &[u32]) -> bool {
        let stored = self.rows.entry(key.clone()).or_default();
        if stored.counts.len() < counts.len() {
            stored.counts.resize(counts.len(), 0);
        }
        let is_newer = stored.version < version;
        let mut changed = is_newer;
        for (stored, new) in stored.counts.iter_mut().zip(counts) {
            changed |= *stored < *new;
            *stored = (*stored).max(*new);
        }
        if is_newer {
            self.by_version.remove(&(stored.version, key.clone()));
            self.by_version.insert((version, key.clone()));
            stored.version = version;
        }
        changed
    }
}

/// The rows of all owners.
#[derive(Clone, Debug)]
pub struct Rows {
    me: Owner,
    limits: Limits,
    owners: BTreeMap<Owner, OwnerRows>,
    row_count: usize,
    total_bytes: usize,
    /// The current window by the local clock.
    current_window: u32,
    now: Micros,
    revision: u64,
    rejected: RejectedRows,
}

fn accounted_bytes(key: &Key, counts: usize) -> usize {
    ROW_OVERHEAD + key.subject.len() + 4 * counts
}

impl Rows {
    /// Creates an empty store for one incarnation of a member. `now` is Unix time.
    #[must_use]
    pub fn new(me: Owner, limits: Limits, now: Micros) -> Rows {
        let own = OwnerRows {
            alive: true,
            ..OwnerRows::default()
        };
        let mut rows = Rows {
            owners: BTreeMap::from([(me.clone(), own)]),
            me,
            limits,
            row_count: 0,
            total_bytes: 0,
            current_window: 0,
            now,
            revision: 0,
            rejected: RejectedRows::default(),
        };
        rows.expire(now);
        rows
    }

    /// The name and incarnation of this process as an owner.
    #[must_use]
    pub fn me(&self) -> &Owner {
        &self.me
    }

    /// The number of the window that contains a time.
    #[must_use]
    pub fn window(&self, at: Micros) -> u32 {
        u32::try_from(at / self.limits.window_length.max(1)).unwrap_or(u32::MAX)
    }

    /// Increments counts of one of this process's own rows, which is created if absent.
    /// `increments` are pairs of index and amount. Counts saturate at [`Limits::max_count`].
    ///
    /// # Errors
    /// Returns an error if the row is too long or outside the accepted windows, or if a limit is
    /// reached.
    pub fn raise(
        &mut self,
        window: u32,
        table: u8,
        subject: &[u8],
        increments: &[(usize, u32)],
    ) -> Result<(), RowError> {
        let too_long = subject.len() > MAX_SUBJECT_LENGTH;
        if too_long || increments.iter().any(|(index, _)| *index >= MAX_COUNTS) {
            self.rejected.count(RowError::TooLong);
            return Err(RowError::TooLong);
        }
        if increments.iter().all(|(_, increment)| *increment == 0) {
            return Ok(());
        }
        let key = Key {
            table,
            window,
            subject: subject.into(),
        };
        let own = self.owners.get(&self.me);
        let version = own.map_or(0, |own| own.known_version) + 1;
        let stored = own.and_then(|own| own.rows.get(&key));
        let mut counts = stored.map_or_else(Vec::new, |row| row.counts.clone());
        for (index, increment) in increments {
            if counts.len() <= *index {
                counts.resize(index + 1, 0);
            }
            let sum = counts[*index].saturating_add(*increment);
            counts[*index] = sum.min(self.limits.max_count);
        }
        let me = self.me.clone();
        let row = Row {
            version,
            key,
            counts,
        };
        self.store(&me, row)
            .inspect_err(|error| self.rejected.count(*error))?;
        if let Some(own) = self.owners.get_mut(&me) {
            own.known_version = version;
        }
        Ok(())
    }

    /// Merges a row received from another process or read from a snapshot.
    ///
    /// # Errors
    /// Returns an error if the row is implausible, too long or outside the accepted windows, or if a
    /// limit is reached.
    pub fn merge(&mut self, owner: &Owner, row: Row) -> Result<(), RowError> {
        self.validate(owner, &row)
            .and_then(|()| self.store(owner, row))
            .inspect_err(|error| self.rejected.count(*error))
    }

    fn validate(&self, owner: &Owner, row: &Row) -> Result<(), RowError> {
        let name_is_too_long = owner.name.len() > MAX_NAME_LENGTH;
        let subject_is_too_long = row.key.subject.len() > MAX_SUBJECT_LENGTH;
        if name_is_too_long || subject_is_too_long || row.counts.len() > MAX_COUNTS {
            return Err(RowError::TooLong);
        }
        let started = owner.incarnation.saturating_mul(1_000);
        let latest = self.now.saturating_add(self.limits.max_clock_skew);
        let age = latest.checked_sub(started).ok_or(RowError::Implausible)?;
        let max_version =
            (age / 1_000_000 + 1).saturating_mul(self.limits.max_increments_per_second);
        let max_count = self.limits.max_count;
        if row.version == 0
            || row.version > max_version
            || row.counts.iter().any(|count| *count > max_count)
        {
            return Err(RowError::Implausible);
        }
        if *owner == self.me && !self.is_own_row(row) {
            return Err(RowError::OwnerConflict);
        }
        Ok(())
    }

    /// Whether a row that another process forwarded was produced by this one: neither its version
    /// nor any count is higher than in the stored row.
    fn is_own_row(&self, row: &Row) -> bool {
        let Some(own) = self
            .owners
            .get(&self.me)
            .and_then(|own| own.rows.get(&row.key))
        else {
            return false;
        };
        let is_within_own =
            |(index, count): (usize, &u32)| own.counts.get(index).is_some_and(|own| count <= own);
        row.version <= own.version && row.counts.iter().enumerate().all(is_within_own)
    }

    /// Merges a row into the stored ones, within the limits.
    fn store(&mut self, owner: &Owner, row: Row) -> Result<(), RowError> {
        let Row {
            version,
            key,
            mut counts,
        } = row;
        let newest = self
            .current_window
            .saturating_add(self.limits.windows_ahead);
        if key.window < self.oldest_window() || key.window > newest {
            return Err(RowError::Window);
        }
        while counts.last() == Some(&0) {
            counts.pop();
        }
        if !self.owners.contains_key(owner) && self.owners.len() >= self.limits.max_owners {
            return Err(RowError::Full);
        }
        let stored = self.owners.entry(owner.clone()).or_default();
        let old = stored.rows.get(&key).map(|row| row.counts.len());
        let before = old.map_or(0, |old| accounted_bytes(&key, old));
        let after = accounted_bytes(&key, counts.len().max(old.unwrap_or(0)));
        let is_full = self.row_count >= self.limits.max_rows
            || stored.rows.len() >= self.limits.max_rows_per_owner;
        if old.is_none() && is_full || self.total_bytes - before + after > self.limits.max_bytes {
            return Err(RowError::Full);
        }
        let changed = stored.join(&key, version, &counts);
        self.row_count += usize::from(old.is_none());
        self.total_bytes = self.total_bytes - before + after;
        self.revision += u64::from(changed);
        Ok(())
    }

    /// The oldest retained window.
    fn oldest_window(&self) -> u32 {
        (self.current_window + 1).saturating_sub(self.limits.retained_windows)
    }

    /// Advances the clock. Rows of windows that are no longer retained expire, and dead owners
    /// without rows are removed. A clock that is set back has no effect.
    pub fn expire(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let current = self.window(self.now);
        if current == self.current_window {
            return;
        }
        self.current_window = current;
        let oldest = self.oldest_window();
        self.row_count = 0;
        self.total_bytes = 0;
        self.owners.retain(|owner, stored| {
            stored.expire(oldest);
            self.row_count += stored.rows.len();
            for (key, row) in &stored.rows {
                self.total_bytes += accounted_bytes(key, row.counts.len());
            }
            // An owner that has just died is retained, so that its death reaches other members.
            stored.alive
                || *owner == self.me
                || !stored.rows.is_empty()
                || stored.died_in_window.saturating_add(1) >= current
        });
        self.revision += 1;
    }

    /// Sets whether an owner is alive. New owners beyond the limit are ignored.
    pub fn set_alive(&mut self, owner: &Owner, alive: bool) {
        if *owner == self.me {
            return;
        }
        if let Some(stored) = self.owners.get_mut(owner) {
            self.revision += u64::from(stored.alive != alive);
            stored.alive = alive;
            if !alive {
                stored.died_in_window = self.current_window;
            }
        } else if alive
            && owner.name.len() <= MAX_NAME_LENGTH
            && self.owners.len() < self.limits.max_owners
        {
            let stored = OwnerRows {
                alive,
                ..OwnerRows::default()
            };
            self.owners.insert(owner.clone(), stored);
            self.revision += 1;
        }
    }

    /// Advances the version up to which an owner's rows are known, after all of those from `since`
    /// to `up_to` were merged or rejected. Has no effect if there is a gap before `since`.
    pub fn advance(&mut self, owner: &Owner, since: u64, up_to: u64) {
        if *owner == self.me {
            return;
        }
        if let Some(stored) = self.owners.get_mut(owner) {
            if since <= stored.known_version && up_to > stored.known_version {
                stored.known_version = up_to;
            }
        }
    }
}
