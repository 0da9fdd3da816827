//! Keys rotate without a restart; peers without a trusted certificate are rejected at every step.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use link::{Authority, Identity, Incoming, Link};
use std::{path::Path, time::Duration};
use tokio::sync::mpsc::Receiver;
use units::{InstanceId, Version};
use wire::Frame;

struct Files {
    folder: tempfile::TempDir,
    authorities: Vec<Authority>,
}

impl Files {
    fn new() -> Self {
        let folder = tempfile::TempDir::new().unwrap();
        let authorities: Vec<_> = (0..2).map(|_| Authority::generate().unwrap()).collect();
        for (index, authority) in authorities.iter().enumerate() {
            std::fs::write(folder.path().join(format!("a{index}.pem")), authority.pem()).unwrap();
        }
        Self { folder, authorities }
    }

    fn path(&self, name: &str) -> std::path::PathBuf {
        Path::new(self.folder.path()).join(name)
    }

    /// Identity issued by authority `signer` that trusts the authorities `trusted`.
    fn identity(&self, signer: usize, trusted: &[usize]) -> Identity {
        let (certificate, key) = self.authorities[signer].issue().unwrap();
        std::fs::write(self.path("c.pem"), certificate).unwrap();
        std::fs::write(self.path("k.pem"), key).unwrap();
        let trusted: Vec<_> = trusted.iter().map(|i| self.path(&format!("a{i}.pem"))).collect();
        Identity::read(&self.path("c.pem"), &self.path("k.pem"), &trusted).unwrap()
    }
}

fn bind(name: &str, identity: &Identity) -> (Link, Receiver<Incoming>) {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Link::bind(InstanceId::new(name).unwrap(), "127.0.0.1:0".parse().unwrap(), identity, log)
        .unwrap()
}

/// Whether a frame from a new link with this identity reaches `to`.
async fn reaches(identity: &Identity, to: &Link, frames: &mut Receiver<Incoming>) -> bool {
    let (link, _own) = bind("caller", identity);
    link.send(to.local_address().unwrap(), Frame::WantPublication(Version(1)));
    tokio::time::timeout(Duration::from_secs(3), frames.recv()).await.is_ok()
}

#[tokio::test]
async fn in_three_steps() {
    let files = Files::new();
    let (server, mut frames) = bind("server", &files.identity(0, &[0]));
    let old = files.identity(0, &[0, 1]);
    let new = files.identity(1, &[0, 1]);
    assert!(reaches(&old, &server, &mut frames).await);
    assert!(
        !reaches(&new, &server, &mut frames).await,
        "a certificate of an untrusted authority was accepted"
    );

    server.reload(&files.identity(0, &[0, 1])).unwrap();
    assert!(reaches(&old, &server, &mut frames).await);
    assert!(reaches(&new, &server, &mut frames).await);

    server.reload(&files.identity(1, &[1])).unwrap();
    assert!(reaches(&new, &server, &mut frames).await);
    assert!(
        !reaches(&old, &server, &mut frames).await,
        "a certificate of the removed authority was accepted"
    );
    assert!(server.counters().rejected_handshakes.load(std::sync::atomic::Ordering::Relaxed) >= 2);
}

#[tokio::test]
async fn frames_keep_their_order() {
    let files = Files::new();
    let identity = files.identity(0, &[0]);
    let (server, mut frames) = bind("server", &identity);
    let (link, _own) = bind("caller", &identity);
    for number in 0..2000 {
        link.send(server.local_address().unwrap(), Frame::WantPublication(Version(number)));
    }
    for number in 0..2000 {
        let incoming = frames.recv().await.unwrap();
        assert_eq!(incoming.from.as_str(), "caller");
        assert_eq!(incoming.frame, Frame::WantPublication(Version(number)));
    }
}
