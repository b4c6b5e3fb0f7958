//! Selection of the seeds that a simulation runs.

use std::ops::RangeInclusive;

/// Returns the seeds given by the environment variable `OAKSHED_SEEDS`, either `FROM-TO` or a single number.
/// Returns `default` if the variable is unset or invalid.
pub fn seeds(default: RangeInclusive<u64>) -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("OAKSHED_SEEDS") else {
        return default;
    };
    let (from, to) = text.split_once('-').unwrap_or((&text, &text));
    match (from.parse(), to.parse()) {
        (Ok(from), Ok(to)) => from..=to,
        _ => default,
    }
}
