//! HTTP client of tests.

use anyhow::{Context, Result};
use ntex::{
    SharedCfg,
    client::{Client as HttpClient, Connector},
    http::Method,
    time::Millis,
};
use std::net::SocketAddr;

/// Largest answer that is read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Time for one call.
const TIMEOUT: Millis = Millis(90_000);

/// Answer, as far as it came.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Value of the result code's header.
    pub code: Option<u16>,
    /// Whether the answer was given before.
    pub replayed: bool,
    /// Body.
    pub body: String,
    /// Whether the body ended in order.
    pub complete: bool,
}

impl Response {
    /// Body as JSON, null when it is none.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// Client with its own connections.
#[derive(Clone)]
pub struct Client {
    http: HttpClient,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").finish_non_exhaustive()
    }
}

impl Client {
    /// Client.
    ///
    /// # Errors
    /// It cannot be built.
    pub async fn new() -> Result<Self> {
        let http = HttpClient::builder()
            .connector::<()>(Connector::new().limit(4096))
            .disable_timeout()
            .build(SharedCfg::default())
            .await?;
        Ok(Self { http })
    }

    /// Sends a call and reads its answer as far as it comes.
    ///
    /// # Errors
    /// No answer at all.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response> {
        let mut request = self.http.request(method, format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.set_header(*name, *value);
        }
        let exchange = async {
            let response = request.send_body(body.to_owned()).await;
            let response = response.map_err(|e| anyhow::anyhow!("{e}"))?;
            let header = |name: &str| {
                let value = response.headers().get(name);
                value.and_then(|value| value.to_str().ok()).map(str::to_owned)
            };
            let code = header("bamboo-code").and_then(|code| code.parse().ok());
            let replayed = header("bamboo-replayed").is_some();
            let status = response.status().as_u16();
            let mut payload = response.take_payload();
            let mut bytes = Vec::new();
            let mut complete = true;
            while let Some(chunk) = payload.recv().await {
                match chunk {
                    Ok(chunk) if bytes.len() < MAX_RESPONSE_BYTES => {
                        bytes.extend_from_slice(&chunk)
                    }
                    _ => {
                        complete = false;
                        break;
                    }
                }
            }
            let body = String::from_utf8_lossy(&bytes).into_owned();
            Ok(Response { status, code, replayed, body, complete })
        };
        ntex::time::timeout(TIMEOUT, exchange)
            .await
            .map_err(|()| anyhow::anyhow!("no answer in time"))?
    }

    /// Sends a GET call.
    ///
    /// # Errors
    /// No answer at all.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Response> {
        self.call(Method::GET, address, path, &[], "").await.context("GET")
    }

    /// Sends a POST call with JSON.
    ///
    /// # Errors
    /// No answer at all.
    pub async fn post(&self, address: SocketAddr, path: &str, body: &str) -> Result<Response> {
        let headers = [("content-type", "application/json")];
        self.call(Method::POST, address, path, &headers, body).await.context("POST")
    }
}
