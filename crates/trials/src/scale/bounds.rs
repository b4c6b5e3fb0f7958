//! The bounds of the growth of a scheduler's needs with the number of workers, as the operators allow it.

use super::Needs;

/// A kilobyte in bytes.
const KILOBYTE: f64 = 1024.0;
/// The least share served, as a part of that of the baseline fleet.
const LEAST_SERVED: f64 = 0.85;

/// A bound: a multiple of what the baseline fleet needs, and constants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// What is counted.
    pub name: &'static str,
    /// The multiple.
    pub times: f64,
    /// A constant.
    pub plus: f64,
    /// A constant for each thousand workers.
    pub per_thousand: f64,
}

const fn allowance(name: &'static str, times: f64, plus: f64, per_thousand: f64) -> Allowance {
    Allowance {
        name,
        times,
        plus,
        per_thousand,
    }
}

const CPU: Allowance = allowance("CPU seconds", 1.4, 0.02, 0.03);
const MEMORY: Allowance = allowance("peak memory, MB", 1.5, 8.0, 4.0);
const DESCRIPTORS: Allowance = allowance("descriptors", 2.0, 40.0, 0.0);
const CONNECTIONS: Allowance = allowance("connections", 2.5, 40.0, 0.0);
const LIST_BYTES: Allowance = allowance("list bytes", 2.0, 64.0 * KILOBYTE, 500.0 * KILOBYTE);

impl Allowance {
    /// The most that is allowed with so many workers, where the baseline fleet needs `baseline`.
    #[must_use]
    pub fn most(&self, baseline: f64, workers: usize) -> f64 {
        self.times * baseline + self.plus + self.per_thousand * workers as f64 / 1_000.0
    }
}

/// One figure on both days, beside its bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// What is counted.
    pub name: &'static str,
    /// With the baseline number of workers.
    pub baseline: f64,
    /// With the large number.
    pub large: f64,
    /// The bound for the latter.
    pub bound: f64,
    /// It is within the bound.
    pub within: bool,
}

/// The same workload at both sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// The figures, in the order of the operators' table.
    pub rows: Vec<Row>,
}

impl Comparison {
    /// Compares a large fleet of so many workers with the baseline one.
    #[must_use]
    pub fn new(baseline: Needs, large: Needs, workers: usize) -> Comparison {
        let row = |allowed: Allowance, figure: &dyn Fn(&Needs) -> f64| {
            let bound = allowed.most(figure(&baseline), workers);
            let large = figure(&large);
            Row {
                name: allowed.name,
                baseline: figure(&baseline),
                large,
                bound,
                within: large <= bound,
            }
        };
        let least = LEAST_SERVED * baseline.served;
        Comparison {
            rows: vec![
                row(CPU, &|needs| needs.cpu),
                row(MEMORY, &|needs| needs.memory),
                row(DESCRIPTORS, &|needs| needs.descriptors as f64),
                row(CONNECTIONS, &|needs| needs.connections as f64),
                row(LIST_BYTES, &|needs| needs.list_bytes as f64),
                Row {
                    name: "share served",
                    baseline: baseline.served,
                    large: large.served,
                    bound: least,
                    within: large.served >= least,
                },
            ],
        }
    }

    /// The figures beside their bounds, a line each.
    #[must_use]
    pub fn table(&self) -> String {
        let head = format!(
            "  {:<16} {:>12} {:>12} {:>12}",
            "", "usual", "large", "bound"
        );
        let line = |row: &Row| {
            let verdict = if row.within { "" } else { "  BROKEN" };
            format!(
                "  {:<16} {:>12.2} {:>12.2} {:>12.2}{verdict}",
                row.name, row.baseline, row.large, row.bound
            )
        };
        let lines: Vec<String> = std::iter::once(head)
            .chain(self.rows.iter().map(line))
            .collect();
        lines.join("\n")
    }

    /// The figures that are not within their bounds.
    #[must_use]
    pub fn exceeded(&self) -> Vec<Row> {
        self.rows
            .iter()
            .copied()
            .filter(|row| !row.within)
            .collect()
    }
}
