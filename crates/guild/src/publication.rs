//! Versioned configuration that gateways share.

use crate::{Digest, service};
use anyhow::{Context, Result, ensure};
use serde::{Deserialize, Serialize};
use units::{AttemptToken, ServiceId, Version};

/// All service files of one configuration version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// Number of the publication; the first has 1.
    pub version: Version,
    /// Author of the publication.
    pub author: Box<str>,
    /// Services, sorted by name.
    pub services: Box<[service::File]>,
}

/// Table row that names the newest publication.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Newest version.
    pub version: Version,
    /// Digest of the publication's bytes.
    pub digest: Digest,
    /// Author of the publication.
    pub author: Box<str>,
    /// Attempt that wrote the row, to recognise it after a lost response.
    pub token: AttemptToken,
}

impl Publication {
    /// Publication of validated service files.
    ///
    /// # Errors
    /// Two files declare the same service.
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

    /// Service that serves the model `name`, which is its service name or its `model` key.
    #[must_use]
    pub fn service_for_model(&self, name: &str) -> Option<&service::File> {
        self.services
            .iter()
            .find(|file| file.service.as_str() == name || file.model.as_deref() == Some(name))
    }

    /// Encodes the publication as JSON, the bytes that its digest covers.
    ///
    /// # Errors
    /// Failure of the encoder; does not occur with these types.
    pub fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self).context("encoding the publication")
    }

    /// Decodes a publication whose bytes must match `digest`.
    ///
    /// # Errors
    /// The digest does not match, or the bytes are not a publication.
    pub fn decode(bytes: &[u8], digest: &Digest) -> Result<Self> {
        ensure!(Digest::of(bytes) == *digest, "publication does not match its digest {digest}");
        serde_json::from_slice(bytes).context("decoding the publication")
    }
}
