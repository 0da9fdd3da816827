//! HTTP client of a caller: requests on a new or a kept connection.

use anyhow::{Context, Result};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::{net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, task::JoinHandle};

/// Longest wait for a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Received part of the body.
    pub body: Vec<u8>,
    /// Whether the body was received to its end.
    pub complete: bool,
}

impl Response {
    /// Body as text, invalid UTF-8 replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Value of a header, if it is text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Request {
    /// GET request to a path of the host `a.example`, with an attempt id and an API key.
    #[must_use]
    pub fn new(path: &str, attempt: &str) -> Self {
        let headers = [
            ("host", "a.example"),
            ("x-attempt-id", attempt),
            ("x-api-key", "key-1"),
            ("x-deadline-ms", "10000"),
        ];
        let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
        Self {
            method: Method::GET,
            path: path.to_owned(),
            headers: headers.into(),
            body: Vec::new(),
        }
    }

    /// Requests a token stream.
    #[must_use]
    pub fn streamed(self) -> Self {
        self.with_header("x-token-usage", "100,50")
    }

    /// Requests a token stream for a prompt of these parts.
    #[must_use]
    pub fn with_prompt(self, parts: &[&str]) -> Self {
        let parts: Vec<String> = parts.iter().map(|part| format!("{part}:25")).collect();
        self.streamed().with_header("x-prompt-prefix", &parts.join(","))
    }

    /// Adds a header or replaces it.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Changes the method to POST with this body.
    #[must_use]
    pub fn with_body(mut self, body: &[u8]) -> Self {
        self.method = Method::POST;
        self.body = body.to_vec();
        self
    }

    /// Sends the request on a new connection and reads the response, complete or not.
    ///
    /// # Errors
    /// No connection was made, no response head was received, or the timeout passed.
    pub async fn send(&self, address: SocketAddr) -> Result<Response> {
        Connection::connect(address).await?.send(self).await
    }

    fn to_http(&self) -> Result<http::Request<Full<Bytes>>> {
        let mut request = http::Request::builder().method(self.method.clone()).uri(&self.path);
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        Ok(request.body(Full::new(Bytes::from(self.body.clone())))?)
    }
}

/// Connection of a caller, usable for several requests.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<hyper::Result<()>>,
}

impl Connection {
    /// Connects to a node.
    ///
    /// # Errors
    /// The connection cannot be made.
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        Ok(Self { sender, driver: tokio::spawn(connection) })
    }

    /// Whether another request can be sent.
    pub async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and reads the response, complete or not.
    ///
    /// # Errors
    /// No response head was received, or the timeout passed.
    pub async fn send(&mut self, request: &Request) -> Result<Response> {
        tokio::time::timeout(RESPONSE_TIMEOUT, self.exchange(request))
            .await
            .context("no response within the timeout")?
    }

    async fn exchange(&mut self, request: &Request) -> Result<Response> {
        let response = self.sender.send_request(request.to_http()?).await?;
        let (parts, mut incoming) = response.into_parts();
        let mut body = Vec::new();
        let mut complete = true;
        while let Some(frame) = incoming.frame().await {
            match frame {
                Ok(frame) => body.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        Ok(Response { status: parts.status, headers: parts.headers, body, complete })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the connection, like a caller that disconnects.
        self.driver.abort();
    }
}
