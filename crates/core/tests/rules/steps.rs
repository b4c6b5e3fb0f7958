//! The steps of a random run, and their generator.

use proptest::prelude::*;

/// A step of a run. A `usize` selects among the requests or attempts that exist at that time.
#[derive(Clone, Debug)]
pub enum Step {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// A request arrives: its class and the time left, in milliseconds.
    Request(u32, u64),
    /// An attempt ends: the attempt and the index of its ending.
    Settle(usize, u8),
    /// An attempt starts.
    Start(usize),
    /// A client disconnects.
    Cancel(usize),
    /// A delta arrives: a worker and the index of its condition.
    List(u32, u8),
    /// A poll fails.
    Failed,
}

/// Generates steps, the common ones with larger weights.
pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..400u64).prop_map(Step::Wait),
        6 => (0..3u32, 1..5_000u64).prop_map(|(class, left)| Step::Request(class, left)),
        6 => (any::<usize>(), 0..8u8).prop_map(|(pick, ending)| Step::Settle(pick, ending)),
        3 => any::<usize>().prop_map(Step::Start),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0..8u32, 0..3u8).prop_map(|(worker, condition)| Step::List(worker, condition)),
        1 => Just(Step::Failed),
    ]
}
