//! Result of a validation, as text or JSON.

use crate::{Change, Configuration, Difference, difference, rules};
use serde::Serialize;
use std::fmt;

/// Severity of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// An entry cannot do what it states.
    Error,
    /// Served, but probably not as intended.
    Warning,
}

/// Value that contributes to a contradiction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Value {
    /// What the value limits.
    pub name: &'static str,
    /// Value with its unit.
    pub value: String,
}

/// Fault of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Severity.
    pub severity: Severity,
    /// Entry.
    pub place: String,
    /// Cause.
    pub cause: String,
    /// Contradicting values.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub values: Vec<Value>,
}

impl Finding {
    /// Error at an entry.
    pub fn error(place: &str, cause: impl Into<String>) -> Self {
        Self { severity: Severity::Error, place: place.into(), cause: cause.into(), values: vec![] }
    }

    /// Warning at an entry.
    pub fn warning(place: &str, cause: impl Into<String>) -> Self {
        Self { severity: Severity::Warning, ..Self::error(place, cause) }
    }

    /// Adds a contradicting value.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.values.push(Value { name, value: value.to_string() });
        self
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = if self.severity == Severity::Error { "error" } else { "warning" };
        write!(f, "{severity}: {}: {}", self.place, self.cause)?;
        let values: Vec<_> =
            self.values.iter().map(|v| format!("{} {}", v.name, v.value)).collect();
        if values.is_empty() { Ok(()) } else { write!(f, " ({})", values.join(", ")) }
    }
}

/// Findings and differences.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Findings, errors first.
    pub findings: Vec<Finding>,
    /// Differences from the version in force, if one was given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub difference: Option<Difference>,
}

impl Report {
    /// Analyses a configuration and compares it with the one in force. `findings` are those of its
    /// decoding.
    #[must_use]
    pub fn new(
        mut findings: Vec<Finding>,
        configuration: &Configuration,
        in_force: Option<&Configuration>,
    ) -> Self {
        findings.extend(rules::check(configuration));
        let difference = in_force.map(|old| difference::compare(old, configuration));
        if let Some(difference) = &difference
            && let (Some(old), Some(new)) = (difference.from_version, difference.to_version)
            && (new < old || (new == old && !difference.changes.is_empty()))
        {
            let cause = "nodes apply a version only if it is above the one in force";
            let finding = Finding::error("version", cause).with("version", new);
            findings.push(finding.with("in force", old));
        }
        findings.sort_by_key(|finding| finding.severity);
        Self { findings, difference }
    }

    /// Number of errors.
    #[must_use]
    pub fn errors(&self) -> usize {
        self.findings.iter().filter(|finding| finding.severity == Severity::Error).count()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        if let Some(difference) = &self.difference {
            writeln!(f, "changes from the version in force: {}", difference.changes.len())?;
            for change in &difference.changes {
                writeln!(f, "  {change}")?;
            }
        }
        let errors = self.errors();
        write!(f, "errors: {errors}, warnings: {}", self.findings.len() - errors)
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { entry } => write!(f, "{entry}: added"),
            Self::Removed { entry } => write!(f, "{entry}: removed"),
            Self::Changed { entry, fields } => {
                let text: Vec<String> = fields.iter().map(ToString::to_string).collect();
                write!(f, "{entry}: {}", text.join("; "))
            }
        }
    }
}
