//! The processor time that a process has used.

use std::time::Duration;

/// The unit in `/proc`, which is 10 ms on every Linux.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// The fields of user and system time, after the name in parentheses.
const TIMES: std::ops::RangeInclusive<usize> = 11..=12;

/// User and system time of a process that runs.
pub fn cpu_time(process: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).expect("it runs");
    let (_, fields) = text.rsplit_once(')').expect("a name");
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = fields[TIMES]
        .iter()
        .map(|field| field.parse::<u32>().expect("a number"));
    CLOCK_TICK * ticks.sum::<u32>()
}
