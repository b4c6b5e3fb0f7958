//! Formats a member's state as telemetry lines.

use super::Quarantine;

impl Quarantine {
    /// Lines for telemetry: standing proposals, workers with evidence but no proposal, failing members, paths, zones
    /// and classes, and totals of rows.
    #[must_use]
    pub fn telemetry_lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for (subject, number, summary) in self.proposals.list() {
            lines.push(format!(
                "proposal {number} worker={} tries={} failures={} expected={:.2} evidence={:.2} witnesses={} zones={}",
                String::from_utf8_lossy(&subject.0),
                summary.attempts,
                summary.failures,
                summary.expected,
                summary.evidence,
                summary.witnesses,
                summary.zones
            ));
        }
        for (name, (evidence, reason)) in &self.withheld {
            lines.push(format!(
                "open worker={name} tries={} failures={} expected={:.2} evidence={:.2} why=\"{reason}\"",
                evidence.attempts, evidence.failures, evidence.expected, evidence.log_evidence
            ));
        }
        self.add_other_failures(&mut lines);
        let totals = self.counter.totals();
        let full = self.store.rejected + self.proposals.rejected;
        lines.push(format!(
            "rows reported={} dropped={} unread={} full={full} waiting={}",
            totals.bytes,
            totals.dropped_failures,
            self.unread_rows,
            self.undecoded.len()
        ));
        lines
    }

    /// Adds the members, paths, zones and classes that fail in the last interval.
    fn add_other_failures(&self, lines: &mut Vec<String>) {
        let Some((_, last)) = self.classifications.last_key_value() else {
            return;
        };
        let zone = |id: &u16| {
            let name = self.store.zones.get(usize::from(*id));
            name.map_or("?", |name| &**name)
        };
        for owner in &last.members {
            let name = self.store.owners.name(*owner);
            let name = name.map_or("?", |owner| &*owner.name);
            lines.push(format!("fails-everywhere member={name}"));
        }
        for (from, to) in &last.paths {
            lines.push(format!("fails path={}>{}", zone(from), zone(to)));
        }
        for (id, times) in &last.zones {
            lines.push(format!("shared zone={} times={times:.1}", zone(id)));
        }
        for (class, (rate, before)) in &last.classes {
            lines.push(format!(
                "shared class={class} rate={rate:.4} before={before:.4}"
            ));
        }
    }
}
