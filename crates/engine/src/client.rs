//! HTTP calls to endpoints.

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
use units::{RequestId, ServiceId};

/// Time after which an unused connection is closed.
const KEEP_ALIVE: Seconds = Seconds(4);
/// Connections to one endpoint.
const MAX_CONNECTIONS: usize = 1024;
/// Time for a load report.
const LOAD_TIMEOUT: Millis = Millis(1_000);
/// Time for a connection to be made; a silent endpoint is slow, not down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest load report, in bytes.
const MAX_LOAD_BYTES: usize = 16 * 1024;

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// No connection was made: no byte left.
    Unsent(Box<str>),
    /// Bytes may have left; the outcome is not known.
    Lost(Box<str>),
}

/// Load report of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Whether the endpoint says that it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ordered {
    /// The endpoint follows it.
    Accepted,
    /// The endpoint has seen a higher fencing number.
    Fenced,
    /// No clear answer.
    Unknown,
}

/// Order to run a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease that it is given under.
    pub fence: u64,
    /// Service to run.
    pub service: ServiceId,
}

/// Call to an endpoint.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path: Box<str>,
    /// Media type of the body.
    pub media_type: Box<str>,
    /// Body.
    pub body: Bytes,
    /// Request, named to the endpoint.
    pub request: RequestId,
    /// Key of a non-idempotent call, named to the endpoint as well.
    pub idempotency_key: Option<Box<str>>,
}

/// Client of endpoints; one for each thread.
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
    /// Client with its own connections.
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

    /// Sends a call and waits for the head of its answer.
    ///
    /// # Errors
    /// [`Error`], which says whether a byte may have left.
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

    /// Continues a stream after the event `last`.
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

    /// Asks an endpoint to cancel a request; its answer does not matter.
    pub async fn cancel(&self, address: SocketAddr, request: RequestId) {
        let url = format!("http://{address}/v1/requests/{request}/cancel");
        let _ = ntex::time::timeout(LOAD_TIMEOUT, self.http.post(url).send()).await;
    }

    /// Gives an order; giving the same one again is harmless.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Ordered {
        let call = self.http.post(format!("http://{address}/orders"));
        match ntex::time::timeout(LOAD_TIMEOUT, call.send_json(order)).await {
            Ok(Ok(response)) if response.status().is_success() => Ordered::Accepted,
            Ok(Ok(response)) if response.status().as_u16() == 409 => Ordered::Fenced,
            _ => Ordered::Unknown,
        }
    }

    /// Load report.
    ///
    /// # Errors
    /// No report in time.
    pub async fn load_report(&self, address: SocketAddr) -> Result<LoadReport> {
        let exchange = async {
            let call = self.http.get(format!("http://{address}/load"));
            let response = call.send().await.map_err(|e| anyhow::anyhow!("{e}"))?;
            anyhow::ensure!(response.status().is_success(), "status {}", response.status());
            let body = response.body().limit(MAX_LOAD_BYTES).await;
            let body = body.map_err(|e| anyhow::anyhow!("{e}"))?;
            Ok(serde_json::from_slice(&body)?)
        };
        ntex::time::timeout(LOAD_TIMEOUT, exchange)
            .await
            .map_err(|()| anyhow::anyhow!("no load report in time"))?
    }

    /// Whether a new connection can be made now; one kept from before would prove nothing.
    pub async fn accepts_connections(&self, address: SocketAddr) -> bool {
        let attempt = tokio::net::TcpStream::connect(address);
        match tokio::time::timeout(CONNECT_TIMEOUT, attempt).await {
            Ok(connected) => connected.is_ok(),
            Err(_) => true,
        }
    }
}

/// Tells a connection that was never made from one that broke.
fn classify(error: &ClientError) -> Error {
    let text = error.to_string().into();
    match error {
        // `Disconnected(None)` means that an established connection ended before the answer.
        ClientError::Connect(ConnectError::Disconnected(None)) => Error::Lost(text),
        ClientError::Connect(_) | ClientError::Url(_) => Error::Unsent(text),
        _ => Error::Lost(text),
    }
}
