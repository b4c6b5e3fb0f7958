//! The steps of a random run, and their generator.

use oakshed_core::facade::Ending;
use proptest::prelude::*;

/// The endings of attempts that a step can report.
pub const ENDINGS: [Ending; 7] = [
    Ending::Delivered,
    Ending::Error,
    Ending::Declined,
    Ending::DialFailed,
    Ending::Dropped,
    Ending::Unused,
    Ending::LocalFault,
];

/// A step of a run. A `usize` selects among the requests or attempts that exist at that time.
#[derive(Clone, Debug)]
pub enum Step {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// A request arrives: its class and the time left, in milliseconds.
    Request(u32, u64),
    /// An attempt starts.
    Start(usize),
    /// An attempt ends: the attempt and the index of its ending.
    End(usize, usize),
    /// All attempts end at once with the ending of this index.
    EndAll(usize),
    /// A client disconnects.
    Disconnect(usize),
    /// A delta arrives: a worker and whether it is active.
    List(usize, bool),
    /// A snapshot arrives: a bit mask of the listed workers, and whether all have restarted.
    Snapshot(u8, bool),
    /// An operator excludes or includes a worker.
    Exclude(usize, bool),
    /// A poll fails.
    Failed,
}

/// Generates steps, the common ones with larger weights.
pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..400u64).prop_map(Step::Wait),
        6 => (0..2u32, 1..5_000u64).prop_map(|(class, left)| Step::Request(class, left)),
        3 => any::<usize>().prop_map(Step::Start),
        6 => (any::<usize>(), 0..ENDINGS.len()).prop_map(|(pick, ending)| Step::End(pick, ending)),
        1 => (0..ENDINGS.len()).prop_map(Step::EndAll),
        1 => any::<usize>().prop_map(Step::Disconnect),
        1 => (0..4usize, any::<bool>()).prop_map(|(worker, active)| Step::List(worker, active)),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(mask, restarted)| Step::Snapshot(mask, restarted)),
        2 => (0..4usize, any::<bool>()).prop_map(|(worker, excluded)| Step::Exclude(worker, excluded)),
        1 => Just(Step::Failed),
    ]
}
