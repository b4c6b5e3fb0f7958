//! The memory budget in the metrics and in the log.

use std::fmt::{self, Write as _};

use super::{Holder, Memory};

impl Memory {
    /// Appends the figures in the operators' format, one per line.
    pub(in super::super) fn render(&self, text: &mut String) {
        for (name, value) in self.figures() {
            _ = writeln!(text, "edge_router.memory.{name}:{value}|g");
        }
    }

    /// All figures, in bytes.
    fn figures(&self) -> impl Iterator<Item = (&'static str, usize)> + '_ {
        let totals = [
            ("heap", oakshed_heap::live_bytes()),
            ("heap_limit", self.heap_limit()),
            ("reserved", self.reserved.get()),
        ];
        let holders = Holder::ALL.map(|holder| (holder.name(), self.charged_to(holder)));
        totals.into_iter().chain(holders)
    }
}

impl fmt::Display for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for (name, value) in self.figures() {
            write!(f, "{separator}{name}={value}")?;
            separator = " ";
        }
        Ok(())
    }
}
