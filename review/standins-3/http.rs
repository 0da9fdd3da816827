//! Reading of HTTP/1.1 messages from a socket.

use std::{
    io::{Read, Result},
    net::TcpStream,
};

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the message ended by its own framing.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Buffered reader of one connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Result<bool> {
        let mut chunk = [0; 16 << 10];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length > 0)
    }

    fn line_end(&self, from: usize, end: &[u8]) -> Option<usize> {
        self.buffer[from..].windows(end.len()).position(|w| w == end).map(|at| from + at)
    }

    /// Head of the next message; none if the connection ends before it.
    pub fn head(&mut self) -> Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.line_end(0, b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message { start, headers, ..Message::default() }))
    }

    /// Next message with its body; none if the connection ends before its head.
    pub fn message(&mut self, is_response: bool) -> Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
        if chunked {
            message.complete = self.chunks(&mut message.body).unwrap_or(false);
        } else if let Some(length) = length {
            while self.buffer.len() < length && self.fill().unwrap_or(false) {}
            message.complete = self.buffer.len() >= length;
            let length = length.min(self.buffer.len());
            message.body = self.buffer.drain(..length).collect();
        } else if is_response && message.status() != 204 {
            let ended = loop {
                match self.fill() {
                    Ok(true) => {}
                    Ok(false) => break true,
                    Err(_) => break false,
                }
            };
            message.body = std::mem::take(&mut self.buffer);
            message.complete = ended;
        } else {
            message.complete = true;
        }
        Ok(Some(message))
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> Result<bool> {
        loop {
            let end = loop {
                if let Some(end) = self.line_end(0, b"\r\n") {
                    break end;
                }
                if !self.fill()? {
                    return Ok(false);
                }
            };
            let size = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
            let Ok(size) = size else { return Ok(false) };
            while self.buffer.len() < end + 2 + size + 2 {
                if !self.fill()? {
                    let from = (end + 2).min(self.buffer.len());
                    body.extend_from_slice(&self.buffer[from..]);
                    return Ok(false);
                }
            }
            body.extend_from_slice(&self.buffer[end + 2..end + 2 + size]);
            self.buffer.drain(..end + 2 + size + 2);
            if size == 0 {
                return Ok(true);
            }
        }
    }
}
