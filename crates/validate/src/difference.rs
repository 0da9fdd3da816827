//! Differences between two configurations.

use crate::{Configuration, Entry};
use serde::Serialize;
use std::{collections::BTreeMap, fmt};

/// Text for a setting that is absent.
const ABSENT: &str = "absent";

/// Differences from the version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Version in force.
    pub from_version: Option<u64>,
    /// Version that was checked.
    pub to_version: Option<u64>,
    /// Changes by entry.
    pub changes: Vec<Change>,
}

/// Change of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "lowercase")]
pub enum Change {
    /// Only in the new configuration.
    Added {
        /// Kind and name.
        entry: String,
    },
    /// Only in the configuration in force.
    Removed {
        /// Kind and name.
        entry: String,
    },
    /// In both, with different settings.
    Changed {
        /// Kind and name.
        entry: String,
        /// Settings that differ.
        fields: Vec<Field>,
    },
}

/// Setting that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Field {
    /// Name.
    pub name: String,
    /// Value in force.
    pub from: String,
    /// New value.
    pub to: String,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} -> {}", self.name, self.from, self.to)
    }
}

/// Compares `new` with `old`.
pub(crate) fn compare(old: &Configuration, new: &Configuration) -> Difference {
    let mut changes = Vec::new();
    for kind in [routes, services, organisations, limits] {
        let (label, old) = kind(old);
        compare_entries(label, &by_name(old), &by_name(kind(new).1), &mut changes);
    }
    Difference { from_version: old.version, to_version: new.version, changes }
}

type Entries<'a> = (&'static str, Vec<&'a Entry>);

fn routes(configuration: &Configuration) -> Entries<'_> {
    ("route", configuration.routes.iter().map(|route| &route.entry).collect())
}

fn services(configuration: &Configuration) -> Entries<'_> {
    ("service", configuration.services.iter().map(|service| &service.entry).collect())
}

fn organisations(configuration: &Configuration) -> Entries<'_> {
    ("organisation", configuration.organisations.iter().map(|o| &o.entry).collect())
}

fn limits(configuration: &Configuration) -> Entries<'_> {
    ("limits", vec![&configuration.limits.entry])
}

/// Entries by name, and by position among those of the same name.
fn by_name(entries: Vec<&Entry>) -> BTreeMap<(&str, usize), &Entry> {
    let mut map = BTreeMap::new();
    for entry in entries {
        let earlier = map.range((&*entry.name, 0)..=(&*entry.name, usize::MAX)).count();
        map.insert((&*entry.name, earlier), entry);
    }
    map
}

fn compare_entries(
    label: &str,
    old: &BTreeMap<(&str, usize), &Entry>,
    new: &BTreeMap<(&str, usize), &Entry>,
    changes: &mut Vec<Change>,
) {
    let title = |name: &str| {
        if name.is_empty() { label.to_owned() } else { format!("{label} {name:?}") }
    };
    for (key, entry) in old {
        match new.get(key) {
            None => changes.push(Change::Removed { entry: title(key.0) }),
            Some(other) => {
                let fields = fields(entry, other);
                if !fields.is_empty() {
                    changes.push(Change::Changed { entry: title(key.0), fields });
                }
            }
        }
    }
    let added = new.keys().filter(|key| !old.contains_key(*key));
    changes.extend(added.map(|key| Change::Added { entry: title(key.0) }));
}

fn fields(old: &Entry, new: &Entry) -> Vec<Field> {
    let mut names: Vec<&String> = old.settings.keys().chain(new.settings.keys()).collect();
    names.sort();
    names.dedup();
    let value = |entry: &Entry, name: &String| entry.settings.get(name).cloned();
    let differing = names.into_iter().filter(|name| value(old, name) != value(new, name));
    let mut fields: Vec<Field> = differing
        .map(|name| Field {
            name: name.clone(),
            from: value(old, name).unwrap_or_else(|| ABSENT.into()),
            to: value(new, name).unwrap_or_else(|| ABSENT.into()),
        })
        .collect();
    if old.secrets != new.secrets {
        let added = new.secrets.difference(&old.secrets).count();
        let removed = old.secrets.difference(&new.secrets).count();
        fields.push(Field {
            name: "keys".into(),
            from: old.secrets.len().to_string(),
            to: format!("{} ({added} added, {removed} removed)", new.secrets.len()),
        });
    }
    fields
}
