//! The queues of requests, one per tier, each ordered by dispatch deadline.
//!
//! Which request may be dispatched is decided in `scheduler`.

use std::collections::BTreeSet;

use crate::interface::RequestId;
use crate::time::Instant;

/// An entry of a queue. The order of the fields determines the order of dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedRequest {
    pub dispatch_deadline: Instant,
    pub id: RequestId,
}

impl QueuedRequest {
    /// The least possible entry, from which a scan of a queue starts.
    pub(crate) const FIRST: QueuedRequest = QueuedRequest {
        dispatch_deadline: Instant::ZERO,
        id: RequestId(0),
    };

    /// The least entry that sorts after this one, from which a scan continues.
    pub(crate) fn next(self) -> Self {
        QueuedRequest {
            id: RequestId(self.id.0.saturating_add(1)),
            ..self
        }
    }
}

/// A tier, numbered from the top, which is 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tier(usize);

impl Tier {
    /// The tier that has `tiers` tiers above it.
    pub(crate) fn from_top(tiers: usize) -> Self {
        Tier(tiers)
    }
}

/// The queues of all tiers.
#[derive(Default)]
pub(crate) struct TierQueues {
    tiers: Vec<BTreeSet<QueuedRequest>>,
}

impl TierQueues {
    pub(crate) fn new(tiers: usize) -> Self {
        TierQueues {
            tiers: vec![BTreeSet::new(); tiers],
        }
    }

    /// Iterates over all tiers from the top.
    pub(crate) fn tiers(&self) -> impl Iterator<Item = Tier> + use<> {
        (0..self.tiers.len()).map(Tier)
    }

    /// Whether there is a tier above the lowest.
    pub(crate) fn has_premium_tier(&self) -> bool {
        self.tiers.len() > 1
    }

    pub(crate) fn is_lowest(&self, tier: Tier) -> bool {
        tier.0 + 1 == self.tiers.len()
    }

    /// The tier for requests that belong to `tier` but exceed their tenant's share. The lower half of all
    /// tiers is reserved for such requests.
    pub(crate) fn beyond_share(&self, tier: Tier) -> Tier {
        Tier(tier.0 + self.tiers.len() / 2)
    }

    pub(crate) fn insert(&mut self, tier: Tier, queued: QueuedRequest) {
        self.tiers[tier.0].insert(queued);
    }

    pub(crate) fn remove(&mut self, tier: Tier, queued: QueuedRequest) {
        self.tiers[tier.0].remove(&queued);
    }

    /// The first request of a tier that does not sort before `start`.
    pub(crate) fn first_from(&self, tier: Tier, start: QueuedRequest) -> Option<QueuedRequest> {
        self.tiers[tier.0].range(start..).next().copied()
    }

    /// The first request of a tier, if its dispatch deadline has been reached.
    pub(crate) fn first_expired(&self, tier: Tier, now: Instant) -> Option<QueuedRequest> {
        let first = self.tiers[tier.0].first().copied()?;
        (first.dispatch_deadline <= now).then_some(first)
    }

    /// The earliest dispatch deadline over all tiers.
    pub(crate) fn first_deadline(&self) -> Option<Instant> {
        let firsts = self.tiers.iter().filter_map(BTreeSet::first);
        firsts.map(|first| first.dispatch_deadline).min()
    }

    /// The number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.tiers.iter().map(BTreeSet::len).sum()
    }

    /// The number of requests queued above the lowest tier.
    pub(crate) fn len_above_lowest(&self) -> usize {
        self.len() - self.tiers.last().map_or(0, BTreeSet::len)
    }
}
