//! Tables of minimum, median and maximum, with bounds.

use std::collections::BTreeMap;

/// Bound on a figure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Bound {
    /// At least this.
    AtLeast(f64),
    /// At most this.
    AtMost(f64),
    /// No bound.
    None,
}

impl Bound {
    fn holds(self, value: f64) -> bool {
        match self {
            Self::AtLeast(bound) => value >= bound,
            Self::AtMost(bound) => value <= bound,
            Self::None => true,
        }
    }
}

impl std::fmt::Display for Bound {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::AtLeast(bound) => write!(f, ">= {bound}"),
            Self::AtMost(bound) => write!(f, "<= {bound}"),
            Self::None => f.write_str("-"),
        }
    }
}

/// Figures in the order of their names.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, (Bound, Vec<f64>)>,
}

impl Table {
    /// Adds one value of a figure.
    pub fn add(&mut self, name: &str, bound: Bound, value: f64) {
        self.rows.entry(name.into()).or_insert((bound, Vec::new())).1.push(value);
    }

    /// Median of a figure.
    pub fn median(&self, name: &str) -> Option<f64> {
        let mut values = self.rows.get(name)?.1.clone();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied()
    }

    /// Prints the table. A figure misses its bound if any of its runs does.
    pub fn print(&self) {
        println!("| figure | runs | min | median | max | bound | |");
        println!("|---|---|---|---|---|---|---|");
        for (name, (bound, values)) in &self.rows {
            let mut sorted = values.clone();
            sorted.sort_by(f64::total_cmp);
            let (first, last) = (sorted[0], sorted[sorted.len() - 1]);
            let median = sorted[sorted.len() / 2];
            let missed = values.iter().filter(|value| !bound.holds(**value)).count();
            let verdict = match (bound, missed) {
                (Bound::None, _) => String::new(),
                (_, 0) => "met".into(),
                (_, missed) => format!("MISS in {missed} of {}", values.len()),
            };
            let count = values.len();
            println!(
                "| {name} | {count} | {first:.3} | {median:.3} | {last:.3} | {bound} | {verdict} |"
            );
        }
    }
}
