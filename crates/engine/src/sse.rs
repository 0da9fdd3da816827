//! Decoding of server-sent events.

/// Data of the event that ends a complete stream.
const DONE: &[u8] = b"[DONE]";

/// Complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes as received, including the empty line at the end.
    pub raw: Vec<u8>,
    /// Joined `data` lines.
    pub data: Vec<u8>,
    /// `id` line, if any.
    pub id: Option<Box<str>>,
}

impl Event {
    /// Whether the event ends a complete stream.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.data == DONE
    }

    fn new(raw: Vec<u8>) -> Self {
        let mut data = Vec::new();
        let mut id = None;
        for line in raw.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(rest) = field(line, b"data:") {
                if !data.is_empty() {
                    data.push(b'\n');
                }
                data.extend_from_slice(rest);
            } else if let Some(rest) = field(line, b"id:") {
                id = Some(String::from_utf8_lossy(rest).into());
            }
        }
        Self { raw, data, id }
    }
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let rest = line.strip_prefix(name)?;
    Some(rest.strip_prefix(b" ").unwrap_or(rest))
}

/// Decodes a byte stream into complete events, independent of how the bytes are split.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
}

impl Decoder {
    /// Empty decoder.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Events completed by `bytes`.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.buffer) {
            let rest = self.buffer.split_off(end);
            let raw = std::mem::replace(&mut self.buffer, rest);
            events.push(Event::new(raw));
        }
        events
    }
}

/// Length of the first complete event.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let lf = find(buffer, b"\n\n").map(|at| at + 2);
    let crlf = find(buffer, b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn find(buffer: &[u8], pattern: &[u8]) -> Option<usize> {
    buffer.windows(pattern.len()).position(|window| window == pattern)
}
