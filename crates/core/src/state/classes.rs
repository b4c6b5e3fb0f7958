//! The classes of requests, with estimates of running time, work and hints per class.

use std::ops::{Index, IndexMut};

use super::queues::Tier;
use crate::interface::{Class, Settings};
use crate::time::Span;

/// The index of a class in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ClassIndex(u32);

impl Settings {
    /// The settings of a class.
    pub(crate) fn class(&self, index: ClassIndex) -> &Class {
        &self.classes[index.0 as usize]
    }
}

/// The estimates for all classes, in the order of the settings.
#[derive(Default)]
pub(crate) struct ClassTable {
    classes: Vec<ClassEstimate>,
}

impl ClassTable {
    pub(crate) fn new(classes: Vec<ClassEstimate>) -> Self {
        ClassTable { classes }
    }

    /// Converts a number to the index of a class, if there is such a class.
    pub(crate) fn find(&self, number: u32) -> Option<ClassIndex> {
        ((number as usize) < self.classes.len()).then_some(ClassIndex(number))
    }

    /// The number of classes.
    pub(super) fn len(&self) -> usize {
        self.classes.len()
    }

    pub(crate) fn iter(&self) -> std::slice::Iter<'_, ClassEstimate> {
        self.classes.iter()
    }

    pub(super) fn iter_mut(&mut self) -> std::slice::IterMut<'_, ClassEstimate> {
        self.classes.iter_mut()
    }

    /// The unweighted mean of the running times of all classes, in microseconds.
    pub(crate) fn mean_run(&self) -> f64 {
        let count = self.classes.len() as f64;
        self.classes.iter().map(|class| class.run / count).sum()
    }
}

impl Index<ClassIndex> for ClassTable {
    type Output = ClassEstimate;

    fn index(&self, index: ClassIndex) -> &ClassEstimate {
        &self.classes[index.0 as usize]
    }
}

impl IndexMut<ClassIndex> for ClassTable {
    fn index_mut(&mut self, index: ClassIndex) -> &mut ClassEstimate {
        &mut self.classes[index.0 as usize]
    }
}

/// The estimates for a class.
#[derive(Default)]
pub(crate) struct ClassEstimate {
    pub tier: Tier,
    /// Moving average of the running time, in microseconds.
    pub run: f64,
    /// Long-term mean of the running time, in microseconds, as an estimate of a job's own work.
    pub work: f64,
    /// The number of jobs in `work`, with small ones counted in part and the initial guess as several.
    pub served: f64,
    /// Moving average of the hints, in microseconds; 0 before the first.
    pub hinted: f64,
    /// The longest time that any request had left on arrival.
    pub longest_remaining: Span,
}

impl ClassEstimate {
    /// Creates the estimates for a class without observations from a guess of its running time. The guess
    /// carries as much weight as `served` served jobs.
    pub(crate) fn new(tier: Tier, run: f64, served: f64) -> Self {
        ClassEstimate {
            tier,
            run,
            work: run,
            served,
            ..ClassEstimate::default()
        }
    }

    /// Adds a hint to the mean of the hints with a weight, and returns its ratio to that mean, from 0.1 to
    /// 10.
    pub(crate) fn observe_hint(&mut self, hint: f64, weight: f64) -> f64 {
        self.hinted += (hint - self.hinted) * if self.hinted > 0.0 { weight } else { 1.0 };
        (hint / self.hinted.max(1.0)).clamp(0.1, 10.0)
    }
}
