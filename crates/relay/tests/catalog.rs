//! Route matching, weights and API keys.

#![allow(clippy::unwrap_used, reason = "test helpers")]

use relay::configuration::{Backend, Configuration, Kind, Limits, Organisation, Route};
use sched::quota::Quota;
use units::{OrganisationId, Rank, ServiceId, Tokens, Version};

fn route(name: &str, prefix: &str, weights: &[(&str, u32)]) -> Route {
    let backend = |(service, weight): &(&str, u32)| Backend {
        service: ServiceId::new(service).unwrap(),
        weight: *weight,
    };
    Route {
        name: name.into(),
        prefix: prefix.into(),
        backends: weights.iter().map(backend).collect(),
        kind: Kind::Idempotent,
        timeout: None,
        target_latency: None,
        target_gap: None,
        max_attempts: 1,
        rank: Rank(0),
        anonymous: false,
    }
}

fn configuration() -> Configuration {
    Configuration::new(Version(1), Limits::default())
        .with_route("a.example", route("short", "/x/", &[("s", 1)]))
        .with_route("A.example", route("long", "/x/y/", &[("s", 1)]))
        .with_route("b.example", route("other", "/", &[("s", 1)]))
}

fn name(host: &str, path: &str) -> Option<Box<str>> {
    configuration().route(host, path).map(|route| route.name.clone())
}

#[test]
fn longest_prefix_of_the_host_wins() {
    assert_eq!(name("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(name("a.example:80", "/x/z").as_deref(), Some("short"));
    assert_eq!(name("B.Example", "/x/y/").as_deref(), Some("other"));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn weights_part_the_requests() {
    let route = route("r", "/", &[("s", 90), ("t", 10), ("u", 0)]);
    let to = |draw| route.backend(draw).unwrap().as_str().to_owned();
    assert_eq!((0..100).filter(|draw| to(*draw) == "s").count(), 90);
    assert_eq!((0..100).filter(|draw| to(*draw) == "t").count(), 10);
}

#[test]
fn keys_name_their_organisation() {
    let id = OrganisationId::new("o").unwrap();
    let quota = Quota { rate: Tokens(5), burst: Tokens(6) };
    let organisation =
        Organisation { id: id.clone(), rank: None, quota, default_cost: Tokens(200) };
    let configuration =
        configuration().with_organisation(organisation, &["k1".into(), "k2".into()]);
    assert_eq!(configuration.organisation_by_key("k2").unwrap().id, id);
    assert!(configuration.organisation_by_key("k3").is_none());
    assert_eq!(configuration.quota(&id), Some(quota));
}
