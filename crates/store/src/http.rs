//! HTTP client for the platform's services.

use anyhow::{Context, Result};
use ntex::{
    SharedCfg,
    client::{Client as HttpClient, Connector},
    http::{Method, StatusCode},
    time::{Millis, Seconds},
    util::Bytes,
};
use std::{net::SocketAddr, time::Duration};

/// Size limit of a response body.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Time after which an unused connection is closed.
const KEEP_ALIVE: Seconds = Seconds(15);

/// Response of a platform service.
#[derive(Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// Client of one service of the platform.
#[derive(Clone)]
pub struct Client {
    http: HttpClient,
    base: Box<str>,
    timeout: Duration,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").field("base", &self.base).finish_non_exhaustive()
    }
}

impl Client {
    /// Client of the service at `address`.
    ///
    /// # Errors
    /// The client cannot be built.
    pub async fn new(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let http = HttpClient::builder()
            .connector::<()>(Connector::new().keep_alive(KEEP_ALIVE))
            .response_payload_limit(MAX_RESPONSE_BYTES)
            .disable_timeout()
            .build(SharedCfg::default())
            .await
            .context("building the HTTP client")?;
        Ok(Self { http, base: format!("http://{address}").into(), timeout })
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// No complete response within the timeout; the request may have taken effect.
    pub async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Response> {
        let timeout = Millis(u32::try_from(self.timeout.as_millis()).unwrap_or(u32::MAX));
        let exchange = async {
            let request = self.http.request(method, format!("{}{path}", self.base));
            let response = request.send_body(body).await.map_err(|e| anyhow::anyhow!("{e}"))?;
            let status = response.status();
            let body = response.body().limit(MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|e| anyhow::anyhow!("{e}"))?;
            Ok(Response { status, body })
        };
        ntex::time::timeout(timeout, exchange)
            .await
            .map_err(|()| anyhow::anyhow!("no response from {} within {timeout:?}", self.base))?
    }
}
