//! Read access to the stored rows.

use std::ops::Bound;
use std::sync::Arc;

use super::{Key, Owner, RejectedRows, Row, Rows, Sizes};

/// The lowest possible key of a table.
fn first_key(table: u8) -> Key {
    Key {
        table,
        window: 0,
        subject: Arc::from([]),
    }
}

impl Rows {
    /// Calls `each` for the rows of one table, including own rows and those of dead owners. The
    /// order depends only on the contents: owner (name, then incarnation), window, subject.
    pub fn for_each_row(&self, table: u8, mut each: impl FnMut(&Owner, u32, &[u8], &[u32])) {
        let first = first_key(table);
        for (owner, stored) in &self.owners {
            let from_first = (Bound::Included(&first), Bound::Unbounded);
            for (key, row) in stored.rows.range(from_first) {
                if key.table != table {
                    break;
                }
                each(owner, key.window, &key.subject, &row.counts);
            }
        }
    }

    /// The owners known to be alive, including this process, sorted by name and incarnation.
    #[must_use]
    pub fn alive_owners(&self) -> Vec<Owner> {
        self.owners
            .iter()
            .filter(|(_, stored)| stored.alive)
            .map(|(owner, _)| owner.clone())
            .collect()
    }

    /// A number that increases whenever [`Rows::for_each_row`] or [`Rows::alive_owners`] may return
    /// something else.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The number of rejected rows by reason.
    #[must_use]
    pub fn rejected(&self) -> RejectedRows {
        self.rejected
    }

    /// The number of stored rows and owners, and their bytes.
    #[must_use]
    pub fn sizes(&self) -> Sizes {
        Sizes {
            rows: self.row_count,
            owners: self.owners.len(),
            bytes: self.total_bytes,
        }
    }

    /// Each owner, and the version up to which all of its rows are stored or have expired.
    pub fn known_versions(&self) -> impl Iterator<Item = (&Owner, u64)> {
        self.owners
            .iter()
            .map(|(owner, stored)| (owner, stored.known_version))
    }

    /// Each owner and version as returned by [`Rows::known_versions`], and whether the owner is alive.
    pub fn states(&self) -> impl Iterator<Item = (&Owner, u64, bool)> {
        self.owners
            .iter()
            .map(|(owner, stored)| (owner, stored.known_version, stored.alive))
    }

    /// The rows of an owner that are newer than a version, in ascending order of their versions.
    pub fn newer_than(&self, owner: &Owner, version: u64) -> impl Iterator<Item = Row> + '_ {
        let first = (version.saturating_add(1), first_key(0));
        self.owners.get(owner).into_iter().flat_map(move |stored| {
            let newer = stored.by_version.range(first.clone()..);
            newer.filter_map(|(version, key)| {
                let row = stored.rows.get(key)?;
                Some(Row {
                    version: *version,
                    key: key.clone(),
                    counts: row.counts.clone(),
                })
            })
        })
    }
}
