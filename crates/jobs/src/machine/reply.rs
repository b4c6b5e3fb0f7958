//! Replies that are given only once the record behind them is durable.

use super::Jobs;

/// A reply whose record may not be durable yet. Only [`Jobs::confirm`] gives access to it, so that no client or
/// operator gets a reply that a later process contradicts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "a reply is given once it is confirmed"]
pub struct Provisional<T> {
    reply: T,
    /// Number of the record that must be durable; 0 if there is none.
    record: u64,
}

impl<T> Provisional<T> {
    /// Creates a reply that depends on a record.
    pub(super) fn after(record: u64, reply: T) -> Provisional<T> {
        Provisional { reply, record }
    }

    /// Creates a reply that depends on no record.
    pub(super) fn immediate(reply: T) -> Provisional<T> {
        Provisional::after(0, reply)
    }
}

impl Jobs {
    /// Returns a reply if its record is durable.
    ///
    /// # Errors
    /// Gives the reply back, unread, while its record is not durable. It may be passed again after the next sync.
    pub fn confirm<T>(&self, provisional: Provisional<T>) -> Result<T, Provisional<T>> {
        if provisional.record <= self.last_synced {
            Ok(provisional.reply)
        } else {
            Err(provisional)
        }
    }
}
