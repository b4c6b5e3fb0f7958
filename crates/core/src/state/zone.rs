//! Zones of workers and schedulers, and when two of them are the same.

use crate::interface::{Settings, UNKNOWN};

/// A zone by its index in the settings, or [`UNKNOWN`] if they do not list it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Zone(u32);

impl Zone {
    pub(crate) fn new(index: u32) -> Self {
        Zone(index)
    }

    /// Whether both are the same zone and the settings list it. All zones that the settings do not list share
    /// the number [`UNKNOWN`], so that two of them may differ.
    pub(super) fn is_same_known(self, other: Zone) -> bool {
        self == other && self.0 != UNKNOWN
    }
}

impl Settings {
    /// The zone of this scheduler.
    pub(crate) fn own_zone(&self) -> Zone {
        Zone(self.zone)
    }
}
