//! Continuous batching and the prefix cache of an engine.

use crate::{fleet::Spec, stats::Stats};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::mpsc::UnboundedSender;
use units::PrefixHash;

/// Largest number of prompt tokens prefilled in one step, over all requests.
const PREFILL_CHUNK_TOKENS: u64 = 512;
/// Time for which a resumable request keeps running without a connection.
const RESUME_GRACE: Duration = Duration::from_secs(3);
/// Text in a prompt that crashes the engine.
const CRASH_MARKER: &str = "crash-engine";

/// Part of a streamed response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Chunk {
    /// Token, by its number from 1.
    Token(u64),
    /// End of a complete response.
    End,
}

/// Properties of a response that its events repeat.
#[derive(Debug)]
pub struct Response {
    /// Request id, from the `x-request-id` header.
    pub id: Box<str>,
    /// Text that every token repeats.
    pub marker: Box<str>,
    /// Prompt length, in tokens.
    pub prompt: u64,
    /// Model.
    pub model: Box<str>,
}

/// Request in the engine.
#[derive(Debug)]
pub struct Job {
    /// Response being generated.
    pub response: Arc<Response>,
    /// Prompt length, in tokens.
    pub prompt: u64,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Response length, in tokens.
    pub output: u64,
    /// Channel to the HTTP response; closed when the caller disconnects.
    pub sink: UnboundedSender<Chunk>,
    /// Tokens generated so far.
    pub generated: u64,
    /// Prompt tokens prefilled so far, including cached ones.
    prefilled: u64,
    disconnected_at: Option<Instant>,
}

/// Queue, batch and prefix cache of one engine.
#[derive(Debug, Default)]
pub struct Batch {
    /// Queued requests.
    pub waiting: VecDeque<Job>,
    /// Requests in the batch.
    pub running: Vec<Job>,
    /// Statistics.
    pub stats: Stats,
    /// Factor by which steps take longer, if above 1.
    pub slow: f64,
    /// Time until which no step starts.
    pub frozen_until: Option<Instant>,
    /// Whether new requests are refused.
    pub declines: bool,
    /// Cached prefixes: clock at the last use, and tokens beyond the next shorter prefix.
    cache: HashMap<PrefixHash, (u64, u64)>,
    cache_tokens: u64,
    cache_clock: u64,
}

/// Whether a request crashes its engine.
pub fn crashes_engine(text: &str) -> bool {
    text.contains(CRASH_MARKER)
}

impl Batch {
    /// Queues a request.
    pub fn enqueue(
        &mut self,
        response: Arc<Response>,
        output: u64,
        prefixes: &[(PrefixHash, u64)],
        spec: &Spec,
        sink: UnboundedSender<Chunk>,
    ) {
        let prompt = response.prompt;
        let cached = self.look_up(prefixes, spec.cache_tokens).min(prompt);
        self.stats.requests += 1;
        self.stats.cached += cached;
        let job = Job {
            response,
            prompt,
            cached,
            output,
            sink,
            generated: 0,
            prefilled: cached,
            disconnected_at: None,
        };
        self.waiting.push_back(job);
        self.stats.longest_queue = self.stats.longest_queue.max(self.waiting.len());
    }

    /// Returns the tokens of the longest cached prefix, then caches all prefixes and evicts the
    /// least recently used ones beyond `budget` tokens.
    fn look_up(&mut self, prefixes: &[(PrefixHash, u64)], budget: u64) -> u64 {
        let hit = prefixes.iter().rev().find(|(hash, _)| self.cache.contains_key(hash));
        let hit = hit.map_or(0, |(_, tokens)| *tokens);
        let mut before = 0;
        for (hash, tokens) in prefixes {
            self.cache_clock += 1;
            let own = tokens - before;
            before = *tokens;
            if self.cache.insert(*hash, (self.cache_clock, own)).is_none() {
                self.cache_tokens += own;
            }
        }
        while self.cache_tokens > budget {
            let oldest = self.cache.iter().min_by_key(|(_, (used, _))| *used).map(|(h, _)| *h);
            let Some((_, tokens)) = oldest.and_then(|hash| self.cache.remove(&hash)) else {
                break;
            };
            self.cache_tokens -= tokens;
        }
        hit
    }

    /// Starts a step and returns its duration, or `None` if there is no request.
    pub fn step(&mut self, spec: &Spec) -> Option<Duration> {
        while self.running.len() < spec.batch {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(job);
        }
        if self.running.is_empty() {
            return None;
        }
        let prefilled = self.prefill();
        let generating = self.running.iter().filter(|job| job.prefilled >= job.prompt).count();
        let generating = u64::try_from(generating).unwrap_or(0);
        let micros = spec.step_us
            + spec.per_request_us * generating
            + prefilled * 1_000_000 / spec.prefill_per_s.max(1);
        Some(Duration::from_micros(micros).mul_f64(self.slow.max(1.0)))
    }

    fn prefill(&mut self) -> u64 {
        let mut budget = PREFILL_CHUNK_TOKENS;
        for job in &mut self.running {
            let part = (job.prompt - job.prefilled).min(budget);
            job.prefilled += part;
            budget -= part;
        }
        let prefilled = PREFILL_CHUNK_TOKENS - budget;
        self.stats.prefill += prefilled;
        prefilled
    }

    /// Ends a step: emits its tokens and drops abandoned requests.
    pub fn finish_step(&mut self, resumable: bool) {
        let now = Instant::now();
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|job| self.advance(job, resumable, now));
        self.running = running;
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|job| {
            let disconnected = job.sink.is_closed();
            self.stats.cancelled += u64::from(disconnected);
            !disconnected
        });
        self.waiting = waiting;
    }

    /// Generates one token of a request; false if the request has ended.
    fn advance(&mut self, job: &mut Job, resumable: bool, now: Instant) -> bool {
        if job.sink.is_closed() && self.is_abandoned(job, resumable, now) {
            self.stats.cancelled += 1;
            self.stats.prefill_wasted += job.prefilled - job.cached;
            return false;
        }
        if job.prefilled < job.prompt {
            return true;
        }
        job.generated += 1;
        self.stats.generated += 1;
        let _ = job.sink.send(Chunk::Token(job.generated));
        if job.generated < job.output {
            return true;
        }
        let _ = job.sink.send(Chunk::End);
        self.stats.whole += 1;
        false
    }

    fn is_abandoned(&self, job: &mut Job, resumable: bool, now: Instant) -> bool {
        let since = *job.disconnected_at.get_or_insert(now);
        !resumable || now.duration_since(since) > RESUME_GRACE
    }

    /// Attaches a new channel to a running request and returns the number of tokens generated so
    /// far; `None` if the request is not running.
    pub fn resume(
        &mut self,
        id: &str,
        sink: UnboundedSender<Chunk>,
    ) -> Option<(u64, Arc<Response>)> {
        let job = self.running.iter_mut().find(|job| &*job.response.id == id)?;
        job.sink = sink;
        job.disconnected_at = None;
        Some((job.generated, Arc::clone(&job.response)))
    }

    /// Cancels a queued or running request.
    pub fn cancel(&mut self, id: &str) {
        let before = self.running.len() + self.waiting.len();
        let wasted: u64 = self
            .running
            .iter()
            .filter(|j| &*j.response.id == id)
            .map(|j| j.prefilled - j.cached)
            .sum();
        self.running.retain(|job| &*job.response.id != id);
        self.waiting.retain(|job| &*job.response.id != id);
        let cancelled = before - self.running.len() - self.waiting.len();
        self.stats.cancelled += u64::try_from(cancelled).unwrap_or(0);
        self.stats.prefill_wasted += wasted;
    }

    /// Closes the connection of every running request; the requests keep running.
    pub fn disconnect(&mut self) {
        for job in &mut self.running {
            job.sink = tokio::sync::mpsc::unbounded_channel().0;
        }
    }

    /// Drops all requests and the cache, like a crash; keeps the statistics.
    pub fn crash(&mut self) {
        self.stats.crashes += 1;
        self.stats.prefill_wasted +=
            self.running.iter().map(|j| j.prefilled - j.cached).sum::<u64>();
        self.waiting.clear();
        self.running.clear();
        self.cache.clear();
        self.cache_tokens = 0;
    }
}
