//! HTTP client for endpoints.

use anyhow::Result;
use ntex::{
    SharedCfg,
    client::{
        Client as HttpClient, ClientResponse, Connector,
        error::{ClientError, ConnectError},
    },
    http::Method,
    time::{Millis, Seconds},
    util::Bytes,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};
use units::{Fingerprint, RequestId, ServiceId};
use xxhash_rust::xxh3::Xxh3;

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Seconds = Seconds(4);
/// Maximum number of connections to one endpoint.
const MAX_CONNECTIONS: usize = 1024;
/// Time limit of a load report, an order or a cancellation.
const CONTROL_TIMEOUT: Millis = Millis(1_000);
/// Time limit of a connection test; an endpoint that does not react is slow, not down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Size limit of a load report.
const MAX_LOAD_BYTES: usize = 16 * 1024;

/// Reason why there is no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No connection was established, so no byte was sent.
    Unsent(Box<str>),
    /// Bytes may have been sent; the outcome is unknown.
    Lost(Box<str>),
}

/// Hash of a call to a plain service, from that of its content and the rest of what the endpoint receives
/// again when the call is repeated. All builds must agree on it.
#[must_use]
pub fn call_fingerprint(content: Fingerprint, method: &Method, media_type: &str) -> Fingerprint {
    let mut hasher = Xxh3::new();
    hasher.update(&content.0.to_le_bytes());
    hasher.update(method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(media_type.as_bytes());
    Fingerprint(hasher.digest())
}

/// Load report of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests queued inside the engine.
    pub waiting: u32,
    /// Whether the endpoint reports that it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ordered {
    /// The endpoint accepted it.
    Accepted,
    /// The endpoint has seen a higher fencing number and rejected it.
    Fenced,
    /// No usable response; the endpoint may have accepted it.
    Unknown,
}

/// Order to an endpoint to run a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which it is given.
    pub fence: u64,
    /// Service to run.
    pub service: ServiceId,
}

/// Request to an endpoint.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: Box<str>,
    /// Media type of the body; empty for none.
    pub media_type: Box<str>,
    /// Body.
    pub body: Bytes,
    /// Identifier of the request, sent to the endpoint.
    pub request: RequestId,
    /// Idempotency key of a non-idempotent request, sent to the endpoint.
    pub idempotency_key: Option<Box<str>>,
}

/// HTTP client for endpoints; each thread has its own.
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
    /// Client with its own connection pool.
    ///
    /// # Errors
    /// The HTTP client cannot be built.
    pub async fn new() -> Result<Self> {
        let connector = Connector::new().keep_alive(KEEP_ALIVE).limit(MAX_CONNECTIONS);
        let http = HttpClient::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .build(SharedCfg::default())
            .await?;
        Ok(Self { http })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`Error`], which tells whether a byte may have been sent.
    pub async fn send(&self, address: SocketAddr, call: &Call) -> Result<ClientResponse, Error> {
        let url = format!("http://{address}{}", call.path);
        let mut request = self
            .http
            .request(call.method.clone(), url)
            .no_decompress()
            .set_header("x-request-id", call.request.to_string());
        if !call.media_type.is_empty() {
            request = request.set_header("content-type", &*call.media_type);
        }
        if let Some(key) = &call.idempotency_key {
            request = request.set_header("idempotency-key", &**key);
        }
        request.send_body(call.body.clone()).await.map_err(|e| classify(&e))
    }

    /// Resumes a stream after the event `last`.
    ///
    /// # Errors
    /// The endpoint cannot be reached.
    pub async fn resume(
        &self,
        address: SocketAddr,
        request: RequestId,
        last: &str,
    ) -> Result<ClientResponse, Error> {
        let url = format!("http://{address}/v1/requests/{request}/events");
        let call = self.http.get(url).no_decompress().set_header("last-event-id", last);
        call.send().await.map_err(|e| classify(&e))
    }

    /// Asks an endpoint to cancel a request; the response is ignored.
    pub async fn cancel(&self, address: SocketAddr, request: RequestId) {
        let url = format!("http://{address}/v1/requests/{request}/cancel");
        let _ = ntex::time::timeout(CONTROL_TIMEOUT, self.http.post(url).send()).await;
    }

    /// Sends an order; idempotent for the same order.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Ordered {
        let call = self.http.post(format!("http://{address}/orders"));
        match ntex::time::timeout(CONTROL_TIMEOUT, call.send_json(order)).await {
            Ok(Ok(response)) if response.status().is_success() => Ordered::Accepted,
            Ok(Ok(response)) if response.status().as_u16() == 409 => Ordered::Fenced,
            _ => Ordered::Unknown,
        }
    }

    /// Requests the load report.
    ///
    /// # Errors
    /// No valid report in time.
    pub async fn load_report(&self, address: SocketAddr) -> Result<Load> {
        let exchange = async {
            let call = self.http.get(format!("http://{address}/load"));
            let response = call.send().await.map_err(|e| anyhow::anyhow!("{e}"))?;
            anyhow::ensure!(response.status().is_success(), "status {}", response.status());
            let body = response.body().limit(MAX_LOAD_BYTES).await;
            let body = body.map_err(|e| anyhow::anyhow!("{e}"))?;
            Ok(serde_json::from_slice(&body)?)
        };
        ntex::time::timeout(CONTROL_TIMEOUT, exchange)
            .await
            .map_err(|()| anyhow::anyhow!("no load report in time"))?
    }

    /// Whether the endpoint accepts a new connection; a pooled one would prove nothing. Also true
    /// if the attempt times out.
    pub async fn accepts_connections(&self, address: SocketAddr) -> bool {
        let attempt = tokio::net::TcpStream::connect(address);
        match tokio::time::timeout(CONNECT_TIMEOUT, attempt).await {
            Ok(connected) => connected.is_ok(),
            Err(_) => true,
        }
    }
}

/// Distinguishes a connection that was never established from one that broke.
fn classify(error: &ClientError) -> Error {
    let text = error.to_string().into();
    match error {
        // `Disconnected(None)` means that an established connection closed before the response.
        ClientError::Connect(ConnectError::Disconnected(None)) => Error::Lost(text),
        ClientError::Connect(_) | ClientError::Url(_) => Error::Unsent(text),
        _ => Error::Lost(text),
    }
}
