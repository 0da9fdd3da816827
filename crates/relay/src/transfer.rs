//! Transfer of whole documents between nodes.
//!
//! A configuration with 1,500 routes takes half a megabyte. If hundreds of
//! nodes read it from the store after each change, they saturate the link
//! between two regions for longer than a change may take to be in force. The
//! directory of thousands of endpoints is as large, and every node needs it at
//! its start. Only the readers of each region therefore read these documents
//! from the store; all other nodes get them, compressed, from a node that has
//! them.
//!
//! A node sends at most a few documents at the same time. Beyond that, it
//! refers to a node that it has sent the document to, so the number of senders
//! grows with the number of nodes that are served. A node that gets no document
//! in time reads the store itself; [`crate::watch`] decides that.
//!
//! Each exchange is one HTTP request on a connection of its own. Both bodies
//! end with an HMAC.

use crate::{
    authentication::{append_hmac, verify_hmac},
    blackboard::Blackboard,
    connections::Recent,
    journal::Snapshot,
    pool,
};
use anyhow::{Context, Result, bail, ensure};
use bytes::Bytes;
use codes::Event;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use slog::info;
use std::{
    cell::Cell,
    collections::VecDeque,
    convert::Infallible,
    io::{Read, Write},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::net::{TcpListener, TcpStream};
use units::{Time, Version};

/// Maximum number of documents that a node sends at the same time. Eight documents of 80 KB take a
/// node with a link of 10 Mbit/s half a second.
const MAX_UPLOADS: u32 = 8;
/// Number of recent recipients that a busy node refers to.
const MAX_RECIPIENTS: usize = 32;
/// Time limit of a whole upload, so that a frozen recipient does not occupy it.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for a reply, and between its parts.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of nodes asked per fetch.
const MAX_HOPS: usize = 4;
/// Largest encoded request, in bytes.
const MAX_REQUEST_BYTES: usize = 1_024;
/// Largest compressed document, in bytes.
const MAX_REPLY_BYTES: usize = 4 << 20;
/// Largest document, in bytes.
const MAX_DOCUMENT_BYTES: u64 = 16 << 20;
/// Time for which an encoded directory is sent again. Deltas contain the changes of a longer time.
const SNAPSHOT_TTL: Duration = Duration::from_millis(500);

/// Kind of document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Operators' configuration, as in the store.
    Configuration,
    /// Directory of endpoints.
    Directory,
}

/// Document at one version, compressed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version of the content.
    pub version: Version,
    compressed: Bytes,
}

impl Document {
    /// Compresses a document.
    ///
    /// # Errors
    /// The content cannot be compressed.
    pub fn new(version: Version, content: &[u8]) -> Result<Self> {
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(content)?;
        Ok(Self { version, compressed: encoder.finish()?.into() })
    }

    /// Content of the document.
    ///
    /// # Errors
    /// The document is corrupt or too large.
    pub fn content(&self) -> Result<Vec<u8>> {
        let mut content = Vec::new();
        let mut decoder = ZlibDecoder::new(&*self.compressed).take(MAX_DOCUMENT_BYTES + 1);
        decoder.read_to_end(&mut content).context("decompressing a document")?;
        let length = u64::try_from(content.len()).unwrap_or(u64::MAX);
        ensure!(length <= MAX_DOCUMENT_BYTES, "document of more than {MAX_DOCUMENT_BYTES} bytes");
        Ok(content)
    }
}

/// Request for a document of at least a version.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Request {
    kind: Kind,
    min_version: Version,
    /// Address at which the requesting node will serve the document.
    from: SocketAddr,
}

#[derive(Debug, Serialize, Deserialize)]
enum Reply {
    Document(Document),
    /// The node has too many uploads; another that has the document, if it knows one.
    Busy(Option<SocketAddr>),
    /// The node does not have the document.
    Missing,
}

/// Documents that a node sends to others.
#[derive(Debug, Default)]
pub struct Library {
    configuration: Option<Document>,
    directory: Option<(Document, Time)>,
    recipients: VecDeque<(Version, SocketAddr)>,
}

impl Library {
    /// Sets the configuration in force.
    pub fn set_configuration(&mut self, document: Document) {
        self.configuration = Some(document);
    }

    fn configuration(&self, min_version: Version) -> Option<Document> {
        self.configuration.clone().filter(|document| document.version >= min_version)
    }

    fn directory(&self, min_version: Version, now: Time) -> Option<Document> {
        let recent = self.directory.as_ref().filter(|(_, at)| now.since(*at) < SNAPSHOT_TTL);
        recent.map(|(document, _)| document.clone()).filter(|d| d.version >= min_version)
    }

    /// Records that a node was sent the configuration, so that others may be referred to it.
    fn record_recipient(&mut self, version: Version, address: SocketAddr) {
        self.recipients.retain(|(_, known)| *known != address);
        self.recipients.push_back((version, address));
        if self.recipients.len() > MAX_RECIPIENTS {
            self.recipients.pop_front();
        }
    }

    /// Next node that was sent at least a version; each is returned in turn.
    fn next_recipient(&mut self, min_version: Version) -> Option<SocketAddr> {
        let at = self.recipients.iter().position(|(version, _)| *version >= min_version)?;
        let recipient = self.recipients.remove(at)?;
        self.recipients.push_back(recipient);
        Some(recipient.1)
    }
}

/// Serves documents to other nodes until the process exits.
pub async fn serve(board: Rc<Blackboard>, listener: Rc<TcpListener>) {
    let uploads = Rc::new(Cell::new(0_u32));
    let mut open = Recent::new(board.shares.transfers);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                info!(board.log, "accept failed"; "error" => %e);
                tokio::time::sleep(STALL_TIMEOUT).await;
                continue;
            }
        };
        if open.make_room() {
            board.metrics.count("transfer", "closed");
        }
        let (board, uploads) = (Rc::clone(&board), Rc::clone(&uploads));
        open.push(tokio::task::spawn_local(async move {
            let connection = serve_connection(&board, stream, &uploads);
            if tokio::time::timeout(UPLOAD_TIMEOUT, connection).await.is_err() {
                board.metrics.count("transfer", "upload_timeout");
            }
        }));
    }
}

/// Upload in progress, counted until dropped.
struct Upload<'a>(&'a Cell<u32>);

impl Drop for Upload<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve_connection(board: &Rc<Blackboard>, stream: TcpStream, uploads: &Cell<u32>) {
    uploads.set(uploads.get() + 1);
    let upload = Upload(uploads);
    let is_busy = uploads.get() > MAX_UPLOADS;
    let handler = service_fn(|request| handle(Rc::clone(board), request, is_busy));
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(UPLOAD_TIMEOUT)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), handler);
    // The recipient asks another node if the connection breaks.
    serving.await.ok();
    drop(upload);
}

async fn handle(
    board: Rc<Blackboard>,
    request: http::Request<Incoming>,
    is_busy: bool,
) -> Result<http::Response<Full<Bytes>>, Infallible> {
    let body = match reply_to(&board, request, is_busy).await {
        Ok(body) => body,
        Err(e) => {
            board.metrics.count("transfer", "refused");
            info!(board.log, "request of a node refused"; Event::TransferFailed,
                "error" => format!("{e:#}"));
            Vec::new()
        }
    };
    Ok(http::Response::new(Full::new(body.into())))
}

async fn reply_to(
    board: &Blackboard,
    request: http::Request<Incoming>,
    is_busy: bool,
) -> Result<Vec<u8>> {
    let secret = board.roster.borrow().secret.clone().context("no secret yet")?;
    let reading = Limited::new(request.into_body(), MAX_REQUEST_BYTES).collect();
    let body = reading.await.map_err(|e| anyhow::anyhow!("reading the request: {e}"))?.to_bytes();
    let request: Request = postcard::from_bytes(verify_hmac(&body, &secret)?)?;
    let reply = choose_reply(board, &request, is_busy)?;
    append_hmac(postcard::to_stdvec(&reply)?, &secret)
}

fn choose_reply(board: &Blackboard, request: &Request, is_busy: bool) -> Result<Reply> {
    let now = board.now();
    if is_busy {
        let mut library = board.library.borrow_mut();
        let other = match request.kind {
            Kind::Configuration => library.next_recipient(request.min_version),
            Kind::Directory => None,
        };
        return Ok(Reply::Busy(other));
    }
    let document = match request.kind {
        Kind::Configuration => board.library.borrow().configuration(request.min_version),
        Kind::Directory => directory_document(board, request.min_version, now)?,
    };
    let Some(document) = document else { return Ok(Reply::Missing) };
    if request.kind == Kind::Configuration {
        board.library.borrow_mut().record_recipient(document.version, request.from);
    }
    board.metrics.count("transfer", "sent");
    Ok(Reply::Document(document))
}

fn directory_document(
    board: &Blackboard,
    min_version: Version,
    now: Time,
) -> Result<Option<Document>> {
    if let Some(document) = board.library.borrow().directory(min_version, now) {
        return Ok(Some(document));
    }
    let head = board.journal.borrow().head();
    if head < min_version || head == Version(0) {
        return Ok(None);
    }
    let snapshot = board.journal.borrow().snapshot(&board.fleet.borrow());
    let document = Document::new(head, &postcard::to_stdvec(&snapshot)?)?;
    board.library.borrow_mut().directory = Some((document.clone(), now));
    Ok(Some(document))
}

/// Fetches a document from another node: of at least a version, or the current one of a node that
/// reads the store.
///
/// # Errors
/// No node that was asked sent it.
pub async fn fetch(
    board: &Blackboard,
    kind: Kind,
    min_version: Option<Version>,
) -> Result<Document> {
    fetch_counted(board, kind, min_version, &Cell::default()).await
}

/// Same as [`fetch`]; adds the bytes that arrive to `received`.
///
/// # Errors
/// No node that was asked sent it.
pub async fn fetch_counted(
    board: &Blackboard,
    kind: Kind,
    min_version: Option<Version>,
    received: &Cell<usize>,
) -> Result<Document> {
    let mut referred = None;
    let mut last_error = None;
    let mut tried = Vec::new();
    let least = min_version.unwrap_or(Version(1));
    for _ in 0..MAX_HOPS {
        let now = board.now();
        let source = || board.roster.borrow().source(kind, min_version, &tried, now);
        let address = referred.take().or_else(source).context("no live node has the document")?;
        tried.push(address);
        match ask(board, address, kind, least, received).await {
            Ok(Reply::Document(document)) if document.version >= least => {
                info!(board.log, "document received"; Event::DocumentReceived,
                    "kind" => format!("{kind:?}"), "version" => document.version.get(),
                    "from" => %address, "bytes" => document.compressed.len(),
                    "took_ms" => crate::reply::millis(board.now().since(now)));
                board.metrics.count("transfer", "received");
                return Ok(document);
            }
            Ok(Reply::Busy(other)) => referred = other,
            Ok(_) => last_error = Some(format!("{address} does not have it")),
            Err(e) => last_error = Some(format!("{address}: {e:#}")),
        }
    }
    bail!("{}", last_error.unwrap_or_else(|| "all nodes asked are busy".into()))
}

async fn ask(
    board: &Blackboard,
    address: SocketAddr,
    kind: Kind,
    min_version: Version,
    received: &Cell<usize>,
) -> Result<Reply> {
    let secret = board.roster.borrow().secret.clone().context("no secret yet")?;
    let request = Request { kind, min_version, from: board.settings.listen.peers };
    let body = append_hmac(postcard::to_stdvec(&request)?, &secret)?;
    let request = http::Request::post("/").body(Full::new(Bytes::from(body)))?;
    let mut sender = pool::connect(address).await?;
    let sending = tokio::time::timeout(STALL_TIMEOUT, sender.send_request(request));
    let mut incoming = sending.await.context("no reply in time")??.into_body();
    let mut body = Vec::new();
    while let Some(frame) =
        tokio::time::timeout(STALL_TIMEOUT, incoming.frame()).await.context("the reply stalled")?
    {
        if let Ok(chunk) = frame?.into_data() {
            body.extend_from_slice(&chunk);
            received.set(received.get() + chunk.len());
        }
        ensure!(body.len() <= MAX_REPLY_BYTES, "reply of more than {MAX_REPLY_BYTES} bytes");
    }
    postcard::from_bytes(verify_hmac(&body, &secret)?).context("decoding a reply")
}

/// Decodes a directory.
///
/// # Errors
/// The document is corrupt.
pub fn decode_directory(document: &Document) -> Result<Snapshot> {
    postcard::from_bytes(&document.content()?).context("decoding a directory")
}
