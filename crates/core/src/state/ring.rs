//! The consistent-hash ring, which maps a request's key to a sequence of workers.
//!
//! The ring holds the live workers. It is updated incrementally, so that the cost of a small change of the
//! list depends on the number of workers that have changed.

use super::{Scheduler, WorkerIndex};

/// Points on the ring per worker. With a single point each, some workers would get five times their share of
/// keys.
const POINTS_PER_WORKER: u64 = 32;
/// The ring is rebuilt instead of updated when the changes exceed the number of live workers divided by this.
const REBUILD_DIVISOR: usize = 4;

/// A point on the ring. The order of the fields determines the order on the ring.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    position: u64,
    worker: WorkerIndex,
}

/// The live workers at the hashes of their ids; the workers for a key are those that follow the key's hash.
#[derive(Default)]
pub(crate) struct HashRing {
    /// All points in ascending order.
    points: Vec<Point>,
    /// The workers on the ring, in ascending order.
    workers: Vec<WorkerIndex>,
}

impl HashRing {
    /// Whether there are no workers on the ring.
    pub(crate) fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// The position on the ring at which the workers for a key begin. It leads to the same workers in all
    /// schedulers with the same list.
    pub(crate) fn home(&self, key: u64) -> usize {
        self.points
            .partition_point(|point| point.position < mix(key))
    }

    /// The worker `offset` points after a home, wrapping around at the end of the ring.
    pub(crate) fn worker_after(&self, home: usize, offset: usize) -> WorkerIndex {
        self.points[(home + offset) % self.points.len()].worker
    }

    /// Removes all workers, as their indices are no longer valid.
    pub(super) fn clear(&mut self) {
        self.points.clear();
        self.workers.clear();
    }

    /// Changes the ring to hold exactly the workers in `live`, which must be in ascending order.
    pub(crate) fn update(&mut self, live: &[WorkerIndex], id: impl Fn(WorkerIndex) -> u64) {
        let removed = difference(&self.workers, live);
        let added = difference(live, &self.workers);
        if removed.len() + added.len() > live.len() / REBUILD_DIVISOR {
            self.points = points_of(live, &id);
        } else {
            remove(&mut self.points, &points_of(&removed, &id));
            insert(&mut self.points, &points_of(&added, &id));
        }
        self.workers.clear();
        self.workers.extend_from_slice(live);
    }
}

impl Scheduler {
    /// The position on the ring at which the workers for a key begin. The ring is updated on the first call
    /// after the live workers have changed.
    pub(crate) fn home(&mut self, key: u64) -> usize {
        let live = &self.pools.live.workers;
        if self.ring.workers != *live {
            let workers = &self.workers;
            self.ring.update(live, |w| workers[w].id.0);
        }
        self.ring.home(key)
    }
}

/// All points of some workers, in ascending order.
fn points_of(workers: &[WorkerIndex], id: impl Fn(WorkerIndex) -> u64) -> Vec<Point> {
    let points = |&worker: &WorkerIndex| {
        let id = id(worker);
        (0..POINTS_PER_WORKER).map(move |n| Point {
            position: mix(id.wrapping_add(mix(n))),
            worker,
        })
    };
    let mut all: Vec<Point> = workers.iter().flat_map(points).collect();
    all.sort_unstable();
    all
}

/// The workers in `of` that are not in `without`; both must be in ascending order.
fn difference(of: &[WorkerIndex], without: &[WorkerIndex]) -> Vec<WorkerIndex> {
    let mut without = without.iter().copied().peekable();
    let is_missing = |w: &WorkerIndex| {
        while without.next_if(|other| other < w).is_some() {}
        without.peek() != Some(w)
    };
    of.iter().copied().filter(is_missing).collect()
}

/// Removes points, which must be in ascending order. The points between two removed ones are moved in one
/// piece.
fn remove(ring: &mut Vec<Point>, removed: &[Point]) {
    let found = removed
        .iter()
        .filter_map(|point| ring.binary_search(point).ok());
    let positions: Vec<usize> = found.collect();
    let Some(first) = positions.first() else {
        return;
    };
    let mut to = *first;
    for (n, position) in positions.iter().enumerate() {
        let run = position + 1..positions.get(n + 1).copied().unwrap_or(ring.len());
        let length = run.len();
        ring.copy_within(run, to);
        to += length;
    }
    ring.truncate(to);
}

/// Inserts points, which must be in ascending order, from the last to the first. The points between two
/// inserted ones are moved in one piece.
fn insert(ring: &mut Vec<Point>, added: &[Point]) {
    let mut end = ring.len();
    ring.extend_from_slice(added);
    let mut to = ring.len();
    for point in added.iter().rev() {
        let position = ring[..end].partition_point(|other| other < point);
        to -= end - position;
        ring.copy_within(position..end, to);
        to -= 1;
        ring[to] = *point;
        end = position;
    }
}

/// Hashes a number with the finaliser of MurmurHash3, which gives the same result on every machine.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
