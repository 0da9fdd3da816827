//! Object store.

use crate::http::Client;
use anyhow::{Result, ensure};
use ntex::http::Method;

/// Client of the object store.
#[derive(Debug, Clone)]
pub struct Objects {
    client: Client,
}

impl Objects {
    /// Object store behind `client`.
    #[must_use]
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// Stores an object; storing the same bytes again is harmless.
    ///
    /// # Errors
    /// The store does not confirm.
    pub async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<()> {
        let answer = self.client.call(Method::PUT, &format!("/objects/{name}"), bytes).await?;
        ensure!(answer.status.is_success(), "object store answered {}", answer.status);
        Ok(())
    }

    /// Reads an object.
    ///
    /// # Errors
    /// The store does not answer, or has no such object.
    pub async fn get(&self, name: &str) -> Result<Vec<u8>> {
        let answer = self.client.call(Method::GET, &format!("/objects/{name}"), Vec::new()).await?;
        ensure!(answer.status.is_success(), "object store answered {}", answer.status);
        Ok(answer.body.to_vec())
    }
}
