//! Validation of a configuration before it is published.
//!
//! Service files and the platform's configuration document are converted to
//! the neutral [`Configuration`]. [`Report::new`] analyses it and compares it
//! with the version in force. Nothing here reads or writes files.
//!
//! An error means that an entry cannot do what it states; a warning, that the
//! configuration is served but probably not as intended.

mod difference;
mod report;
mod rules;

pub use self::{
    difference::{Change, Difference, Field},
    report::{Finding, Report, Severity, Value},
};

use std::collections::{BTreeMap, BTreeSet};

/// Configuration in neutral terms.
#[derive(Default)]
pub struct Configuration {
    /// Version, if the format has one.
    pub version: Option<u64>,
    /// Which of several matching routes gets a request.
    pub precedence: Precedence,
    /// Routes, in the order of the document.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Organisations.
    pub organisations: Vec<Organisation>,
    /// Limits on requests and on the process.
    pub limits: Limits,
    /// Whether entries are missing because they cannot be decoded.
    pub incomplete: bool,
}

/// Which of several matching routes gets a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Precedence {
    /// The longest path; the first of equally long ones.
    #[default]
    Longest,
    /// The first one.
    First,
}

/// What entries of all kinds have. Has no `Debug`, so that secrets cannot be printed.
#[derive(Default)]
pub struct Entry {
    /// Where the entry is, for example `routes[3] "r-pay"`.
    pub place: String,
    /// Name, unique among entries of its kind.
    pub name: String,
    /// Settings that are compared and printed.
    pub settings: BTreeMap<String, String>,
    /// Secrets that are compared and never printed.
    pub secrets: BTreeSet<String>,
}

impl Entry {
    /// Entry whose settings are the fields of a JSON object except its name and the `omitted` ones.
    #[must_use]
    pub fn new(place: &str, name: &str, object: &serde_json::Value, omitted: &[&str]) -> Self {
        let fields = object.as_object().into_iter().flatten();
        let fields = fields.filter(|(key, value)| !value.is_null() && !omitted.contains(&&***key));
        Self {
            place: place.into(),
            name: name.into(),
            settings: fields.map(|(key, value)| (key.clone(), value.to_string())).collect(),
            secrets: BTreeSet::new(),
        }
    }
}

/// Route or operation. Times are in milliseconds.
#[derive(Default)]
pub struct Route {
    /// Place and settings.
    pub entry: Entry,
    /// Host, or another scope in which paths are matched.
    pub host: String,
    /// Method; `None` for all.
    pub method: Option<String>,
    /// Path.
    pub path: String,
    /// Whether only this path matches, and not those that begin with it.
    pub is_exact: bool,
    /// Services with their weights.
    pub backends: Vec<(String, u32)>,
    /// Whether requests may run more than once.
    pub is_repeatable: bool,
    /// Whether callers need a key.
    pub needs_key: bool,
    /// Maximum number of attempts.
    pub attempts: Option<u32>,
    /// Longest time until the end of a response.
    pub timeout: Option<f64>,
    /// Target latency of the first response.
    pub target_latency: Option<f64>,
    /// Target gap between events.
    pub target_gap: Option<f64>,
}

/// Service.
#[derive(Default)]
pub struct Service {
    /// Place and settings.
    pub entry: Entry,
    /// Names by which callers select the service without a route.
    pub aliases: Vec<String>,
    /// Whether requests reach the service through routes only.
    pub needs_route: bool,
    /// Addresses of the endpoints that the configuration lists.
    pub addresses: Vec<String>,
}

/// Organisation; its keys are the secrets of its entry.
#[derive(Default)]
pub struct Organisation {
    /// Place, settings and keys.
    pub entry: Entry,
    /// Tokens per second; 0 means no limit.
    pub rate: f64,
    /// Size of the bucket.
    pub burst: f64,
    /// Largest cost of one request that the configuration states.
    pub cost: f64,
}

/// Limits on requests, and those of the process where its settings are known.
#[derive(Default)]
pub struct Limits {
    /// Place and settings.
    pub entry: Entry,
    /// Largest body, in bytes.
    pub max_body: Option<u64>,
    /// Time for a body to arrive, in milliseconds.
    pub body_timeout: Option<f64>,
    /// Memory for all bodies, in bytes.
    pub body_memory: Option<u64>,
    /// Time from the stop signal until the process ends, in milliseconds.
    pub drain_time: Option<f64>,
    /// Whether the retry budget ever allows a retry.
    pub has_retries: Option<bool>,
}
