//! Requests as the stand-ins read them from a connection.

use anyhow::{Context, Result, ensure};
use std::collections::BTreeMap;
use tokio::{io::AsyncReadExt, net::TcpStream};

/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Request that a stand-in has received.
#[derive(Debug, Clone)]
pub struct Received {
    /// Request line.
    pub line: String,
    /// Headers, by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

/// Reads the next request; none if the connection has ended.
///
/// # Errors
/// The connection breaks within a request, or the request is malformed.
pub async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<Option<Received>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        ensure!(buffer.len() < MAX_HEAD_BYTES, "request head too large");
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8(buffer[..end].to_vec())?;
    let mut lines = head.trim_end().split("\r\n");
    let line = lines.next().context("no request line")?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").map_or(Ok(0), |text| text.parse())?;
    while buffer.len() < end + length {
        ensure!(stream.read_buf(buffer).await? > 0, "connection closed within the request body");
    }
    let body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Ok(Some(Received { line, headers, body }))
}
