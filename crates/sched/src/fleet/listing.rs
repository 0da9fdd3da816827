//! Endpoint, as listed in the directory.
//!
//! Nodes of different builds exchange listings and compare a hash over their
//! `Debug` text. A listing without a release has the text and the bytes that
//! older builds have; one with a release has a tag that they reject.

use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};
use units::{EndpointId, Release, ServiceId, ZoneId};

/// Endpoint, as listed in the directory.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Encoded", into = "Encoded")]
pub struct Listing {
    /// Endpoint.
    pub id: EndpointId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Address of its server.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it runs concurrently; 0 if unknown.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Start time of its process, in Unix milliseconds.
    pub born: Option<u64>,
    /// Version of its software, if the deployment has rollouts.
    pub release: Option<Release>,
}

impl fmt::Debug for Listing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = f.debug_struct("Listing");
        debug
            .field("id", &self.id)
            .field("service", &self.service)
            .field("address", &self.address)
            .field("zone", &self.zone)
            .field("slots", &self.slots)
            .field("leaving", &self.leaving)
            .field("born", &self.born);
        if let Some(release) = &self.release {
            debug.field("release", release);
        }
        debug.finish()
    }
}

/// Listing as it is encoded between nodes.
#[derive(Serialize, Deserialize)]
struct Encoded {
    id: EndpointId,
    service: ServiceId,
    address: SocketAddr,
    zone: ZoneId,
    slots: u32,
    leaving: bool,
    process: Process,
}

/// Start time and release of an endpoint's process. The first two variants have the bytes of an
/// optional start time.
#[derive(Serialize, Deserialize)]
enum Process {
    Unknown,
    Born(u64),
    Released(Release),
    BornReleased(u64, Release),
}

impl From<Listing> for Encoded {
    fn from(listing: Listing) -> Self {
        let process = match (listing.born, listing.release) {
            (None, None) => Process::Unknown,
            (Some(born), None) => Process::Born(born),
            (None, Some(release)) => Process::Released(release),
            (Some(born), Some(release)) => Process::BornReleased(born, release),
        };
        Self {
            id: listing.id,
            service: listing.service,
            address: listing.address,
            zone: listing.zone,
            slots: listing.slots,
            leaving: listing.leaving,
            process,
        }
    }
}

impl From<Encoded> for Listing {
    fn from(encoded: Encoded) -> Self {
        let (born, release) = match encoded.process {
            Process::Unknown => (None, None),
            Process::Born(born) => (Some(born), None),
            Process::Released(release) => (None, Some(release)),
            Process::BornReleased(born, release) => (Some(born), Some(release)),
        };
        Self {
            id: encoded.id,
            service: encoded.service,
            address: encoded.address,
            zone: encoded.zone,
            slots: encoded.slots,
            leaving: encoded.leaving,
            born,
            release,
        }
    }
}
