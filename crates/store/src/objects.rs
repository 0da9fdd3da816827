//! Client of the platform's object store.

use crate::http::Client;
use anyhow::{Result, ensure};
use ntex::http::Method;

/// Client of the object store.
#[derive(Debug, Clone)]
pub struct Objects {
    client: Client,
}

impl Objects {
    /// Object store that `client` connects to.
    #[must_use]
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// Stores an object; idempotent for the same bytes.
    ///
    /// # Errors
    /// The store does not confirm the write.
    pub async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<()> {
        let response = self.client.call(Method::PUT, &format!("/objects/{name}"), bytes).await?;
        ensure!(response.status.is_success(), "object store returned status {}", response.status);
        Ok(())
    }

    /// Reads an object.
    ///
    /// # Errors
    /// The store cannot be reached, or has no such object.
    pub async fn get(&self, name: &str) -> Result<Vec<u8>> {
        let response =
            self.client.call(Method::GET, &format!("/objects/{name}"), Vec::new()).await?;
        ensure!(response.status.is_success(), "object store returned status {}", response.status);
        Ok(response.body.to_vec())
    }
}
