//! Stand-in for a worker, with the answers that a case chooses.

use crate::{http, net};
use anyhow::Result;
use serde_json::{Value, json};
use std::{net::SocketAddr, rc::Rc};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

/// Request that a worker has received.
#[derive(Debug, Clone)]
pub struct Call {
    /// Connection, numbered from one.
    pub connection: usize,
    /// Request.
    pub request: http::Received,
}

impl Call {
    /// Identifier of the client's attempt.
    #[must_use]
    pub fn attempt(&self) -> &str {
        self.request.headers.get("x-attempt-id").map_or("", String::as_str)
    }

    /// Head and body of an answer.
    #[must_use]
    pub fn answer(&self, status: &str, extra: &str, body: &[u8]) -> Vec<u8> {
        let head = format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {}\r\n{extra}Content-Length: {}\r\n\r\n",
            self.attempt(),
            body.len()
        );
        [head.as_bytes(), body].concat()
    }
}

/// Answers of a worker.
pub trait Answers: 'static {
    /// Answers a request; false if the connection must be closed.
    fn answer(&self, stream: &mut TcpStream, call: Call) -> impl Future<Output = Result<bool>>;
}

/// Worker that serves until the case ends.
#[derive(Debug)]
pub struct Worker {
    /// Identifier.
    pub id: String,
    address: SocketAddr,
}

impl Worker {
    /// Starts a worker.
    ///
    /// # Errors
    /// No address can be bound.
    pub async fn start<A: Answers>(id: &str, answers: Rc<A>) -> Result<Self> {
        let listener = TcpListener::bind((net::unused_address(), 0)).await?;
        let address = listener.local_addr()?;
        let own_id = id.to_owned();
        spawn_local(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                connection += 1;
                let (answers, id) = (Rc::clone(&answers), own_id.clone());
                // An error means that the caller has closed the connection.
                spawn_local(async move { serve(stream, &id, connection, &*answers).await.ok() });
            }
        });
        Ok(Self { id: id.to_owned(), address })
    }

    /// Entry in the store.
    #[must_use]
    pub fn entry(&self, service: &str, zone: &str, slots: u32, state: &str) -> Value {
        json!({"service": service, "address": self.address.to_string(), "zone": zone,
            "version": "v1", "concurrency": slots, "state": state, "warmup_left_ms": 0, "seq": 1,
            "born": 1_790_000_000_000_u64})
    }
}

async fn serve<A: Answers>(
    mut stream: TcpStream,
    id: &str,
    connection: usize,
    answers: &A,
) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = http::read(&mut stream, &mut buffer).await? {
        let call = Call { connection, request };
        if call.request.headers.get("x-target-instance").is_some_and(|target| target != id) {
            let answer = call.answer("421 Misdirected Request", "X-Not-Executed: 1\r\n", b"");
            stream.write_all(&answer).await?;
        } else if !answers.answer(&mut stream, call).await? {
            return Ok(());
        }
    }
    Ok(())
}
