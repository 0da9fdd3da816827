//! Reads the events of one streamed response from its endpoint.
//!
//! Only complete events are passed on. A stream whose connection ends before
//! the final event is resumed at the same endpoint if the service allows it;
//! the request itself is never sent again.

use super::{exchange::Running, reply::Refused};
use codes::Event as LogEvent;
use engine::sse::{Decoder, Event};
use ntex::{client::ClientResponse, http::Payload};
use slog::info;
use std::{collections::VecDeque, sync::atomic::Ordering};

/// Maximum number of times one stream is resumed.
const MAX_RESUMES: u32 = 2;
/// Maximum size of an endpoint's error body that is passed on, in bytes; a larger one is left out.
const MAX_ERROR_BYTES: usize = 2048;

/// Item of a stream.
#[derive(Debug)]
pub enum Item {
    /// Event before the final one.
    Event(Event),
    /// Final event of a complete response.
    Last(Event),
    /// End of an incomplete response.
    Failed(Refused),
}

/// Reader of one streamed response.
#[derive(Debug)]
pub struct Reader {
    running: Option<Running>,
    payload: Payload,
    decoder: Decoder,
    ready: VecDeque<Event>,
    last_id: Option<Box<str>>,
    resumes: u32,
}

enum Outcome {
    Bytes,
    Ended(String),
    TimedOut,
    ShutDown,
}

impl Reader {
    /// Creates a reader of `response`.
    ///
    /// # Errors
    /// A response with an error status.
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
            decoder: Decoder::new(),
            ready: VecDeque::new(),
            last_id: None,
            resumes: 0,
        })
    }

    /// Next item; must not be called after [`Item::Last`] or [`Item::Failed`].
    pub async fn next(&mut self) -> Item {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return self.emit(event);
            }
            match self.read().await {
                Outcome::Bytes => {}
                Outcome::Ended(reason) => {
                    if !self.resume().await {
                        let running = self.take_running();
                        return Item::Failed(running.interrupted(&reason).await);
                    }
                }
                Outcome::TimedOut => return Item::Failed(self.take_running().timed_out()),
                Outcome::ShutDown => return Item::Failed(self.take_running().shut_down()),
            }
        }
    }

    fn take_running(&mut self) -> Running {
        self.running.take().expect("a stream is not read after its end")
    }

    fn emit(&mut self, event: Event) -> Item {
        if event.id.is_some() {
            self.last_id.clone_from(&event.id);
        }
        if event.is_done() {
            self.take_running().complete();
            return Item::Last(event);
        }
        if let Some(running) = &mut self.running {
            if !event.data.is_empty() {
                running.record_token();
            }
            if running.assignment.cross_region {
                let bytes = u64::try_from(event.raw.len()).unwrap_or(0);
                running.board.counters.cross_region_bytes.fetch_add(bytes, Ordering::Relaxed);
            }
        }
        Item::Event(event)
    }

    async fn read(&mut self) -> Outcome {
        let Some(running) = &self.running else {
            return Outcome::Ended("the stream has ended".into());
        };
        tokio::select! {
            biased;
            chunk = self.payload.recv() => match chunk {
                Some(Ok(bytes)) => {
                    self.ready.extend(self.decoder.push(&bytes));
                    Outcome::Bytes
                }
                Some(Err(e)) => Outcome::Ended(e.to_string()),
                None => Outcome::Ended("the stream ended without its final event".into()),
            },
            () = tokio::time::sleep(running.remaining()) => Outcome::TimedOut,
            () = running.board.shutdown_deadline() => Outcome::ShutDown,
        }
    }

    /// Resumes the stream after the last event that was passed on; false when that is not possible.
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
        let resuming = running.client.resume(running.assignment.address, request, &last);
        match tokio::time::timeout(running.remaining(), resuming).await {
            Ok(Ok(response)) if response.status().is_success() => {
                info!(running.board.log, "resumed"; LogEvent::Resumed, "request" => %request,
                    "after" => last.to_string());
                self.payload = response.take_payload();
                self.decoder = Decoder::new();
                true
            }
            _ => false,
        }
    }
}
