//! The responsible member of a kind, and the workers on which it is kept warm.
//!
//! Both are selected by rendezvous hashing (Thaler and Ravishankar, 'Using name-based mappings to increase hit
//! rates', IEEE/ACM Transactions on Networking 6(1), 1998). All members compute the same order, and it changes
//! little when a member or worker joins or leaves. Unavailable workers are excluded.

use std::cmp::Reverse;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::machine::MAX_SAMPLING_EXPONENT;

/// A kind of job: the unit that is modelled and kept warm.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kind {
    /// The class, as named in the settings.
    pub class: Arc<str>,
    /// The zone in which the jobs arrive, as named in the endpoint list.
    pub zone: Arc<str>,
}

impl Kind {
    /// The kind of a class in a zone.
    #[must_use]
    pub fn new(class: &str, zone: &str) -> Kind {
        Kind {
            class: class.into(),
            zone: zone.into(),
        }
    }

    /// The subject of a shared row that counts a sample of one in 2^`sampling_exponent` arrivals.
    #[must_use]
    pub fn subject(&self, sampling_exponent: u8) -> Vec<u8> {
        let mut out = vec![sampling_exponent];
        out.extend_from_slice(self.class.as_bytes());
        out.push(0);
        out.extend_from_slice(self.zone.as_bytes());
        out
    }

    /// Decodes the kind and the sampling exponent from the subject of a row; `None` if it is malformed.
    #[must_use]
    pub fn from_subject(subject: &[u8]) -> Option<(Kind, u8)> {
        let (&sampling_exponent, rest) = subject.split_first()?;
        let separator = rest.iter().position(|byte| *byte == 0)?;
        let class = std::str::from_utf8(&rest[..separator]).ok()?;
        let zone = std::str::from_utf8(&rest[separator + 1..]).ok()?;
        if sampling_exponent > MAX_SAMPLING_EXPONENT || class.is_empty() {
            return None;
        }
        Some((Kind::new(class, zone), sampling_exponent))
    }

    /// The rendezvous hash of the kind and the name of a member or worker.
    fn score(&self, name: &str) -> u64 {
        let zone = xxh3_64_with_seed(self.zone.as_bytes(), 0);
        let kind = xxh3_64_with_seed(self.class.as_bytes(), zone);
        xxh3_64_with_seed(name.as_bytes(), kind)
    }

    /// The member responsible for the kind.
    #[must_use]
    pub fn responsible<'a>(&self, members: &'a [Arc<str>]) -> Option<&'a Arc<str>> {
        self.highest_scoring(members.iter())
    }

    /// The member with the highest score for the kind.
    pub(crate) fn highest_scoring<'a>(
        &self,
        members: impl Iterator<Item = &'a Arc<str>>,
    ) -> Option<&'a Arc<str>> {
        members.max_by_key(|m| (self.score(m), *m))
    }

    /// The sort key of a worker: highest score first, ties by name.
    pub(crate) fn sort_key(&self, worker: &Worker) -> (Reverse<u64>, Arc<str>) {
        (Reverse(self.score(&worker.name)), worker.name.clone())
    }

    /// The available workers of the zone, in the order in which they are kept warm for the kind.
    #[must_use]
    pub fn worker_order<'a>(&self, workers: &'a [Worker]) -> Vec<&'a Worker> {
        let mut available: Vec<&Worker> = workers
            .iter()
            .filter(|w| w.zone == self.zone && w.is_available())
            .collect();
        available.sort_by_cached_key(|worker| self.sort_key(worker));
        available
    }
}

/// A worker as this scheduler knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// The worker's name in the endpoint list.
    pub name: Arc<str>,
    /// The worker's zone.
    pub zone: Arc<str>,
    /// Whether the worker supports prewarming calls, according to the endpoint list or to an answer.
    pub supports_prewarm: bool,
    /// Whether the worker is ready for jobs.
    pub ready: bool,
    /// Whether the worker is draining, removed, or excluded by an operator.
    pub unavailable: bool,
    /// The slow-start budget: how many more classes it may be told to load until the next worker list.
    pub budget: u32,
    /// How many classes the worker can keep warm at once.
    pub max_classes: u32,
}

impl Worker {
    /// Whether the worker may be called.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.supports_prewarm && self.ready && !self.unavailable && self.max_classes > 0
    }
}
