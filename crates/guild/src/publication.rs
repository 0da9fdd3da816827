//! One version of the guild's configuration.

use crate::{Digest, service};
use anyhow::{Context, Result, ensure};
use serde::{Deserialize, Serialize};
use units::{AttemptToken, ServiceId, Version};

/// Every service file in force at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// Position in the order of publications, from 1.
    pub version: Version,
    /// Who published it.
    pub author: Box<str>,
    /// Services, by name.
    pub services: Box<[service::File]>,
}

/// Row of the table that names the newest publication.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Newest version.
    pub version: Version,
    /// Digest of its bytes.
    pub digest: Digest,
    /// Who published it.
    pub author: Box<str>,
    /// Attempt that wrote the row, for reading back a lost answer.
    pub token: AttemptToken,
}

impl Publication {
    /// Publication of checked service files.
    ///
    /// # Errors
    /// Two files that declare the same service.
    pub fn new(version: Version, author: &str, mut services: Vec<service::File>) -> Result<Self> {
        services.sort_by(|a, b| a.service.cmp(&b.service));
        for pair in services.windows(2) {
            ensure!(
                pair[0].service != pair[1].service,
                "two files declare the service {}",
                pair[0].service
            );
        }
        Ok(Self { version, author: author.into(), services: services.into() })
    }

    /// Service by name.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&service::File> {
        self.services.iter().find(|file| file.service == *id)
    }

    /// Service that serves a model; a model's name is its service's name or its `model` key.
    #[must_use]
    pub fn service_for_model(&self, name: &str) -> Option<&service::File> {
        self.services
            .iter()
            .find(|file| file.service.as_str() == name || file.model.as_deref() == Some(name))
    }

    /// Canonical bytes.
    ///
    /// # Errors
    /// None in practice; the encoder's error type is passed on.
    pub fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self).context("encoding the publication")
    }

    /// Publication from bytes that must match `digest`.
    ///
    /// # Errors
    /// A digest that does not match, or bytes that are not a publication.
    pub fn decode(bytes: &[u8], digest: &Digest) -> Result<Self> {
        ensure!(Digest::of(bytes) == *digest, "publication does not match its digest {digest}");
        serde_json::from_slice(bytes).context("decoding the publication")
    }
}
