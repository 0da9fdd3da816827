//! Events of one streamed answer, from the endpoint to whoever reads them.
//!
//! Only whole events are passed on. A connection that ends before the closing
//! event is resumed at the same endpoint where the service allows it; the
//! request is never sent a second time.

use super::{exchange::Running, reply::Refused};
use codes::Event as LogEvent;
use engine::sse::{Decoder, Event};
use ntex::{client::ClientResponse, http::Payload};
use slog::info;
use std::{collections::VecDeque, sync::atomic::Ordering};

/// Times that one stream is resumed.
const MAX_RESUMES: u32 = 2;
/// Largest part of an endpoint's error that is passed on, in bytes.
const MAX_ERROR_BYTES: usize = 2048;

/// What comes next in a stream.
#[derive(Debug)]
pub enum Item {
    /// Event within the answer.
    Event(Event),
    /// Event that ends a whole answer.
    Last(Event),
    /// End without a whole answer.
    Failed(Refused),
}

/// Reader of one stream.
#[derive(Debug)]
pub struct Reader {
    running: Option<Running>,
    payload: Payload,
    splitter: Decoder,
    ready: VecDeque<Event>,
    last_id: Option<Box<str>>,
    resumes: u32,
}

enum Read {
    Bytes,
    Ended(String),
    TimedOut,
    ShutDown,
}

impl Reader {
    /// Reader of the answer `response`.
    ///
    /// # Errors
    /// The endpoint answered with an error.
    pub async fn new(response: ClientResponse, mut running: Running) -> Result<Self, Refused> {
        if !response.status().is_success() {
            let status = response.status().as_u16();
            let body = response.body().limit(MAX_ERROR_BYTES).await.unwrap_or_default();
            let detail = String::from_utf8_lossy(&body).into_owned();
            return Err(running.endpoint_error(status, &detail));
        }
        let payload = response.take_payload();
        Ok(Self {
            running: Some(running),
            payload,
            splitter: Decoder::new(),
            ready: VecDeque::new(),
            last_id: None,
            resumes: 0,
        })
    }

    /// Next item; nothing follows a [`Item::Last`] or [`Item::Failed`].
    pub async fn next(&mut self) -> Item {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return self.pass(event);
            }
            match self.read().await {
                Read::Bytes => {}
                Read::Ended(reason) => {
                    if !self.resume().await {
                        let running = self.take();
                        return Item::Failed(running.cut(&reason).await);
                    }
                }
                Read::TimedOut => return Item::Failed(self.take().timed_out()),
                Read::ShutDown => return Item::Failed(self.take().shut_down()),
            }
        }
    }

    fn take(&mut self) -> Running {
        self.running.take().expect("a stream is read only until it ends")
    }

    fn pass(&mut self, event: Event) -> Item {
        if event.id.is_some() {
            self.last_id.clone_from(&event.id);
        }
        if event.is_done() {
            self.take().complete();
            return Item::Last(event);
        }
        if let Some(running) = &mut self.running {
            if !event.data.is_empty() {
                running.token();
            }
            if running.assignment.cross_region {
                let bytes = u64::try_from(event.raw.len()).unwrap_or(0);
                running.board.counters.cross_region_bytes.fetch_add(bytes, Ordering::Relaxed);
            }
        }
        Item::Event(event)
    }

    async fn read(&mut self) -> Read {
        let Some(running) = &self.running else {
            return Read::Ended("the stream has ended".into());
        };
        tokio::select! {
            biased;
            chunk = self.payload.recv() => match chunk {
                Some(Ok(bytes)) => {
                    self.ready.extend(self.splitter.push(&bytes));
                    Read::Bytes
                }
                Some(Err(e)) => Read::Ended(e.to_string()),
                None => Read::Ended("the stream ended without its closing event".into()),
            },
            () = tokio::time::sleep(running.remaining()) => Read::TimedOut,
            () = running.board.shutdown_deadline() => Read::ShutDown,
        }
    }

    /// Continues the stream after the last event that was passed on.
    async fn resume(&mut self) -> bool {
        let Some(running) = &self.running else {
            return false;
        };
        let Some(last) = self.last_id.clone() else {
            return false;
        };
        if !running.accepted.resumable || self.resumes >= MAX_RESUMES {
            return false;
        }
        self.resumes += 1;
        let request = running.accepted.head.request;
        let resumed = running.client.resume(running.assignment.address, request, &last);
        match tokio::time::timeout(running.remaining(), resumed).await {
            Ok(Ok(response)) if response.status().is_success() => {
                info!(running.board.log, "resumed"; LogEvent::Resumed, "request" => %request,
                    "after" => last.to_string());
                self.payload = response.take_payload();
                self.splitter = Decoder::new();
                true
            }
            _ => false,
        }
    }
}
