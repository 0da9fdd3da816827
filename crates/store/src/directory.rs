//! The platform's list of live and leaving instances.
//!
//! The list lags. It is used to find peers and endpoints; direct evidence
//! goes before it.

use crate::http::Client;
use anyhow::{Result, ensure};
use ntex::http::Method;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use units::{RegionId, ServiceId, ZoneId};

/// State of a listed process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// Takes no new work.
    Leaving,
}

/// Process that the platform lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Name.
    pub id: Box<str>,
    /// Service of an endpoint; absent for our own instances.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Address: of requests for an endpoint, of peers for an instance.
    pub address: SocketAddr,
    /// Address for operators of an instance.
    #[serde(default)]
    pub operator: Option<SocketAddr>,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region.
    pub region: RegionId,
    /// State.
    pub state: State,
}

/// Answer of the directory.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Listed processes.
    pub listings: Vec<Listing>,
}

/// Client of the directory.
#[derive(Debug, Clone)]
pub struct Directory {
    client: Client,
}

impl Directory {
    /// Directory behind `client`.
    #[must_use]
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// Current list.
    ///
    /// # Errors
    /// The directory does not answer.
    pub async fn list(&self) -> Result<List> {
        let answer = self.client.call(Method::GET, "/directory", Vec::new()).await?;
        ensure!(answer.status.is_success(), "directory answered {}", answer.status);
        Ok(serde_json::from_slice(&answer.body)?)
    }

    /// Registers or changes one listing, where the platform lets instances do so themselves.
    ///
    /// # Errors
    /// The directory does not confirm.
    pub async fn register(&self, listing: &Listing) -> Result<()> {
        let body = serde_json::to_vec(listing)?;
        let answer = self.client.call(Method::POST, "/directory", body).await?;
        ensure!(answer.status.is_success(), "directory answered {}", answer.status);
        Ok(())
    }
}
