//! Client of the platform's directory of live and leaving processes.
//!
//! The directory lags behind reality. It serves to discover peers and
//! endpoints; direct observations take precedence over it.

use crate::http::Client;
use anyhow::{Result, ensure};
use ntex::http::Method;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use units::{RegionId, ServiceId, ZoneId};

/// State of a process in the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// Accepts no new work.
    Leaving,
}

/// Directory entry of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Name.
    pub id: Box<str>,
    /// Service that an endpoint runs; absent for our own instances.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Address: for requests if an endpoint, for peer traffic if an instance.
    pub address: SocketAddr,
    /// Operator address, of an instance.
    #[serde(default)]
    pub operator: Option<SocketAddr>,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region.
    pub region: RegionId,
    /// State.
    pub state: State,
}

/// Response of the directory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Entries.
    pub listings: Vec<Listing>,
}

/// Client of the directory.
#[derive(Debug, Clone)]
pub struct Directory {
    client: Client,
}

impl Directory {
    /// Directory that `client` connects to.
    #[must_use]
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// Current list.
    ///
    /// # Errors
    /// The directory cannot be reached or returns an error status.
    pub async fn list(&self) -> Result<List> {
        let response = self.client.call(Method::GET, "/directory", Vec::new()).await?;
        ensure!(response.status.is_success(), "directory returned status {}", response.status);
        Ok(serde_json::from_slice(&response.body)?)
    }

    /// Registers or updates an entry, where the platform allows instances to register themselves.
    ///
    /// # Errors
    /// The directory does not confirm the write.
    pub async fn register(&self, listing: &Listing) -> Result<()> {
        let body = serde_json::to_vec(listing)?;
        let response = self.client.call(Method::POST, "/directory", body).await?;
        ensure!(response.status.is_success(), "directory returned status {}", response.status);
        Ok(())
    }
}
