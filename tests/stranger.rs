//! Peers without a certificate from the cluster's authority are refused.
//!
//! Guards against a gateway that accepts frames from a peer whose certificate
//! was issued by another authority, and adds it to the members. The peer itself
//! trusts the cluster's authority, so only the gateway can refuse the connection.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use harness::{Client, Cluster, Topology, request};
use link::{Authority, Identity, Link};
use member::{Message, Record, State};
use std::time::Duration;
use units::{InstanceId, RegionId, ZoneId};
use wire::Frame;

#[ntex::test]
async fn a_stranger_joins_nothing() {
    let cluster = Cluster::start(Topology::new(2)).await.unwrap();
    let client = Client::new().await.unwrap();
    let folder = tempfile::TempDir::new().unwrap();
    let path = |name: &str| folder.path().join(name);
    let authority = Authority::generate().unwrap();
    let (certificate, key) = authority.issue().unwrap();
    std::fs::write(path("a.pem"), authority.pem()).unwrap();
    std::fs::write(path("c.pem"), certificate).unwrap();
    std::fs::write(path("k.pem"), key).unwrap();
    // Trusts the cluster's authority; its own certificate was issued by another one.
    let cluster_authority = cluster.folder.path().join("authority.pem");
    let identity = Identity::read(&path("c.pem"), &path("k.pem"), &[cluster_authority]).unwrap();
    let name = InstanceId::new("stranger").unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let (link, _frames) =
        Link::bind(name.clone(), "127.0.0.1:0".parse().unwrap(), &identity, log).unwrap();
    let record = Record {
        instance: name,
        address: link.local_address().unwrap(),
        zone: ZoneId::new("z").unwrap(),
        region: RegionId::new("r").unwrap(),
        incarnation: 1,
        state: State::Alive,
    };
    for _ in 0..3 {
        let message = Message::Sync { records: Box::new([record.clone()]), reply: true };
        link.send(cluster.gateways[0].peers, Frame::Member(message));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let refused = async || {
        let status = cluster.status(&client, 0).await.unwrap();
        status["link"]["strangers"].as_u64() > Some(0)
    };
    request::eventually("the stranger is refused", Duration::from_secs(10), refused).await;
    let status = cluster.status(&client, 0).await.unwrap();
    assert_eq!(status["members"].as_array().unwrap().len(), 2, "{status}");
}
