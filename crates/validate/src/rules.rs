//! Rules that a configuration is checked against.

use crate::{Configuration, Finding, Limits, Organisation, Precedence, Route, Service};
use std::collections::{BTreeMap, BTreeSet};

/// Findings of all rules.
pub(crate) fn check(configuration: &Configuration) -> Vec<Finding> {
    let mut found = Vec::new();
    for (index, route) in configuration.routes.iter().enumerate() {
        found.extend(shadowed(configuration, index));
        found.extend(unmatchable(route));
        found.extend(weights(route));
        found.extend(backends(configuration, route));
        found.extend(times(route, &configuration.limits));
        found.extend(attempts(route, &configuration.limits));
    }
    found.extend(unusable_keys(configuration));
    for organisation in &configuration.organisations {
        found.extend(quota(organisation));
    }
    found.extend(duplicates(configuration));
    found.extend(services(configuration));
    found.extend(limits(&configuration.limits));
    found
}

/// Whether all requests that `inner` matches match `outer` too.
fn covers(outer: &Route, inner: &Route) -> bool {
    let path = if outer.is_exact {
        inner.is_exact && outer.path == inner.path
    } else {
        inner.path.starts_with(&outer.path)
    };
    let method = outer.method.is_none() || outer.method == inner.method;
    path && method && outer.host.eq_ignore_ascii_case(&inner.host)
}

fn shadowed(configuration: &Configuration, index: usize) -> Option<Finding> {
    let route = &configuration.routes[index];
    let by = configuration.routes[..index].iter().find(|earlier| {
        let same_length = earlier.path.len() == route.path.len();
        covers(earlier, route) && (configuration.precedence == Precedence::First || same_length)
    })?;
    let cause = format!("never matches: {} takes its requests", by.entry.place);
    let finding = Finding::error(&route.entry.place, cause).with("path", &route.path);
    Some(finding.with("other path", &by.path))
}

fn unmatchable(route: &Route) -> Option<Finding> {
    let place = &route.entry.place;
    if route.host.contains(':') {
        let cause = "never matches: hosts are compared without their port";
        return Some(Finding::error(place, cause).with("host", &route.host));
    }
    let is_path = route.path.is_empty() || route.path.starts_with('/');
    let cause = "never matches: a path begins with / and has neither query nor fragment";
    let is_unmatchable = !is_path || route.path.contains(['?', '#']);
    is_unmatchable.then(|| Finding::error(place, cause).with("path", &route.path))
}

fn weights(route: &Route) -> Vec<Finding> {
    let place = &route.entry.place;
    let first = route.backends.first();
    if let Some((service, _)) = first
        && route.backends.iter().all(|(_, weight)| *weight == 0)
    {
        let cause = format!("all weights are 0, so that {service} gets every request");
        return vec![Finding::error(place, cause)];
    }
    let unused = route.backends.iter().filter(|(_, weight)| *weight == 0);
    unused
        .map(|(service, _)| {
            Finding::warning(place, format!("{service} gets no requests: its weight is 0"))
        })
        .collect()
}

fn backends(configuration: &Configuration, route: &Route) -> Vec<Finding> {
    if configuration.services.is_empty() || configuration.incomplete {
        return Vec::new();
    }
    let is_listed = |name: &str| configuration.services.iter().any(|s| s.entry.name == name);
    let missing = route.backends.iter().filter(|(service, _)| !is_listed(service));
    missing
        .map(|(service, _)| {
            let cause = format!("service {service} is not listed and may have no endpoints");
            Finding::warning(&route.entry.place, cause)
        })
        .collect()
}

fn milliseconds(value: f64) -> String {
    format!("{value} ms")
}

fn times(route: &Route, limits: &Limits) -> Vec<Finding> {
    let place = &route.entry.place;
    let mut found = Vec::new();
    let targets = [("target latency", route.target_latency), ("target gap", route.target_gap)];
    for (name, target) in targets {
        let Some(target) = target else { continue };
        if target <= 0.0 {
            let cause = format!("no response meets a {name} of 0 or less");
            found.push(Finding::error(place, cause).with(name, milliseconds(target)));
        }
        if let Some(timeout) = route.timeout.filter(|timeout| *timeout > 0.0 && *timeout < target) {
            let finding = Finding::error(place, format!("the timeout ends before the {name}"));
            let finding = finding.with("timeout", milliseconds(timeout));
            found.push(finding.with(name, milliseconds(target)));
        }
    }
    if let Some(timeout) = route.timeout.filter(|timeout| *timeout <= 0.0) {
        let cause = "every request has timed out on arrival";
        found.push(Finding::error(place, cause).with("timeout", milliseconds(timeout)));
    }
    if let (Some(timeout), Some(drain)) = (route.timeout, limits.drain_time)
        && timeout > drain
    {
        let cause = "a request may still run when a stopped process ends, and is cut off";
        let finding = Finding::warning(place, cause).with("timeout", milliseconds(timeout));
        found.push(finding.with("drain time", milliseconds(drain)));
    }
    found
}

fn attempts(route: &Route, limits: &Limits) -> Option<Finding> {
    let attempts = route.attempts?;
    let place = &route.entry.place;
    let cause = if attempts == 0 {
        "0 attempts count as 1"
    } else if attempts > 1 && !route.is_repeatable {
        "further attempts are never made: its requests may run only once"
    } else if attempts > 1 && limits.has_retries == Some(false) {
        "further attempts are never made: the retry budget allows none"
    } else {
        return None;
    };
    Some(Finding::warning(place, cause).with("attempts", attempts))
}

/// Keys that two organisations have, organisations without a key and routes that need one in vain.
fn unusable_keys(configuration: &Configuration) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut owners: BTreeMap<&str, &Organisation> = BTreeMap::new();
    for organisation in &configuration.organisations {
        let place = &organisation.entry.place;
        if organisation.entry.secrets.is_empty() {
            found.push(Finding::warning(place, "has no key, so that no request is its own"));
        }
        for key in &organisation.entry.secrets {
            if key.trim().is_empty() {
                found.push(Finding::error(place, "one of its keys is empty"));
            }
            if let Some(other) = owners.insert(key, organisation) {
                let other = &other.entry.place;
                let cause = format!("shares a key with {other}, whose requests count as its own");
                found.push(Finding::error(place, cause));
            }
        }
    }
    if owners.is_empty() && !configuration.incomplete {
        let closed = configuration.routes.iter().filter(|route| route.needs_key);
        let cause = "needs a key, and no organisation has one";
        found.extend(closed.map(|route| Finding::error(&route.entry.place, cause)));
    }
    found
}

fn quota(organisation: &Organisation) -> Option<Finding> {
    let Organisation { entry, rate, burst, cost } = organisation;
    if *rate < 0.0 || (*rate > 0.0 && *rate < 0.5) {
        let cause = "the rate is rounded to 0, which means no limit";
        return Some(Finding::error(&entry.place, cause).with("rate", rate));
    }
    if *rate == 0.0 && *burst > 0.0 {
        let cause = "the burst has no effect: a rate of 0 means no limit";
        return Some(Finding::warning(&entry.place, cause).with("rate", rate).with("burst", burst));
    }
    (*rate > 0.0 && cost > burst).then(|| {
        let cause = "one request costs more than the quota allows at once";
        Finding::error(&entry.place, cause).with("cost", cost).with("burst", burst)
    })
}

/// Services and organisations that are listed twice.
fn duplicates(configuration: &Configuration) -> Vec<Finding> {
    let services = configuration.services.iter().map(|s| ("service", &s.entry));
    let organisations = configuration.organisations.iter().map(|o| ("organisation", &o.entry));
    let mut seen = BTreeSet::new();
    let twice = services.chain(organisations).filter(|(kind, e)| !seen.insert((*kind, &e.name)));
    twice.map(|(_, e)| Finding::error(&e.place, "listed twice; the last one counts")).collect()
}

fn services(configuration: &Configuration) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut aliases: BTreeMap<&str, &Service> = BTreeMap::new();
    let mut addresses: BTreeMap<&str, &Service> = BTreeMap::new();
    let is_used = |name: &str| {
        let backends = configuration.routes.iter().flat_map(|route| &route.backends);
        backends.into_iter().any(|(service, _)| service == name)
    };
    for service in &configuration.services {
        let place = &service.entry.place;
        if service.needs_route && !configuration.incomplete && !is_used(&service.entry.name) {
            found.push(Finding::warning(place, "no route leads to it"));
        }
        for alias in &service.aliases {
            if let Some(other) = aliases.insert(alias, service) {
                let other = &other.entry.place;
                let cause = format!("the model name {alias} already selects {other}");
                found.push(Finding::error(place, cause));
            }
        }
        for address in &service.addresses {
            if let Some(other) = addresses.insert(address, service) {
                let other = &other.entry.place;
                let cause = format!("the address {address} is already an endpoint of {other}");
                found.push(Finding::error(place, cause));
            }
        }
    }
    found
}

fn limits(limits: &Limits) -> Vec<Finding> {
    let place = &limits.entry.place;
    let mut found = Vec::new();
    if let Some(time) = limits.body_timeout.filter(|time| *time <= 0.0) {
        let cause = "no body arrives in time";
        found.push(Finding::error(place, cause).with("body timeout", milliseconds(time)));
    }
    if let (Some(body), Some(memory)) = (limits.max_body, limits.body_memory)
        && body > memory
    {
        let cause = "a body of the allowed size does not fit into the memory for bodies";
        let finding = Finding::error(place, cause).with("largest body", format!("{body} bytes"));
        found.push(finding.with("memory for bodies", format!("{memory} bytes")));
    }
    found
}
