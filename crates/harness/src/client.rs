//! HTTP client for tests.

use anyhow::{Context, Result};
use ntex::{
    SharedCfg,
    client::{Client as HttpClient, Connector},
    http::Method,
    time::Millis,
};
use std::net::SocketAddr;

/// Limit after which a response body is no longer read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Timeout of one request.
const TIMEOUT: Millis = Millis(90_000);

/// Response, with the body as far as it was received.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Result code from the `bamboo-code` header.
    pub code: Option<u16>,
    /// Whether the response repeats a recorded outcome.
    pub replayed: bool,
    /// Body, invalid UTF-8 replaced.
    pub body: String,
    /// Whether the body was received to its end.
    pub complete: bool,
}

impl Response {
    /// Body as JSON; null if it is not valid.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// Client with its own connection pool.
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
    /// Creates a client.
    ///
    /// # Errors
    /// The client cannot be built.
    pub async fn new() -> Result<Self> {
        let http = HttpClient::builder()
            .connector::<()>(Connector::new().limit(4096))
            .disable_timeout()
            .build(SharedCfg::default())
            .await?;
        Ok(Self { http })
    }

    /// Sends a request and reads the response as far as it is received.
    ///
    /// # Errors
    /// No response head was received, or the timeout passed.
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
            .map_err(|()| anyhow::anyhow!("no response within the timeout"))?
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// As of [`Client::call`].
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Response> {
        self.call(Method::GET, address, path, &[], "").await.context("GET")
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    /// As of [`Client::call`].
    pub async fn post(&self, address: SocketAddr, path: &str, body: &str) -> Result<Response> {
        let headers = [("content-type", "application/json")];
        self.call(Method::POST, address, path, &headers, body).await.context("POST")
    }
}
