//! Continuous batching.

use crate::{fleet::Spec, stats::Stats};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::mpsc::UnboundedSender;
use units::PrefixHash;

/// Prompt tokens read in one step.
const PREFILL_CHUNK: u64 = 512;
/// Time for which a resumable request runs on without a listener.
const RESUME_GRACE: Duration = Duration::from_secs(3);
/// Mark in a prompt that crashes the engine.
const CRASH_MARK: &str = "crash-engine";

/// Token of an answer, by its number from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Piece {
    /// Token.
    Token(u64),
    /// End of a whole answer.
    End,
}

/// What stands in each event of an answer.
#[derive(Debug)]
pub struct Answer {
    /// Caller's name for the request.
    pub id: Box<str>,
    /// Text that every token repeats.
    pub mark: Box<str>,
    /// Prompt length.
    pub prompt: u64,
    /// Model.
    pub model: Box<str>,
}

/// Request as the engine sees it.
#[derive(Debug)]
pub struct Job {
    /// What is answered.
    pub answer: Arc<Answer>,
    /// Prompt length.
    pub prompt: u64,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Answer length.
    pub output: u64,
    /// Where tokens go.
    pub listener: UnboundedSender<Piece>,
    /// Tokens generated.
    pub generated: u64,
    read: u64,
    lost_since: Option<Instant>,
}

/// Queue, batch and cache of one engine.
#[derive(Debug, Default)]
pub struct Batch {
    /// Requests that wait.
    pub waiting: VecDeque<Job>,
    /// Requests that run.
    pub running: Vec<Job>,
    /// Counts.
    pub stats: Stats,
    /// Factor by which steps take longer.
    pub slow: f64,
    /// Time until which nothing moves.
    pub frozen_until: Option<Instant>,
    /// Whether new work is refused.
    pub leaving: bool,
    cache: HashMap<PrefixHash, (u64, u64)>,
    cache_tokens: u64,
    cache_clock: u64,
}

/// Text that crashes an engine.
pub fn is_crash(text: &str) -> bool {
    text.contains(CRASH_MARK)
}

impl Batch {
    /// Admits a request to the queue.
    pub fn admit(
        &mut self,
        answer: Arc<Answer>,
        output: u64,
        prefixes: &[(PrefixHash, u64)],
        spec: &Spec,
        listener: UnboundedSender<Piece>,
    ) {
        let prompt = answer.prompt;
        let cached = self.look_up(prefixes, spec.cache_tokens).min(prompt);
        self.stats.requests += 1;
        self.stats.cached += cached;
        let job = Job {
            answer,
            prompt,
            cached,
            output,
            listener,
            generated: 0,
            read: cached,
            lost_since: None,
        };
        self.waiting.push_back(job);
        self.stats.longest_queue = self.stats.longest_queue.max(self.waiting.len());
    }

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

    /// Runs one step; gives the time that it takes, or none when there is nothing to do.
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
        let read = self.read_prompts();
        let generating = self.running.iter().filter(|job| job.read >= job.prompt).count();
        let generating = u64::try_from(generating).unwrap_or(0);
        let micros = spec.step_us
            + spec.per_request_us * generating
            + read * 1_000_000 / spec.prefill_per_s.max(1);
        Some(Duration::from_micros(micros).mul_f64(self.slow.max(1.0)))
    }

    fn read_prompts(&mut self) -> u64 {
        let mut budget = PREFILL_CHUNK;
        for job in &mut self.running {
            let part = (job.prompt - job.read).min(budget);
            job.read += part;
            budget -= part;
        }
        let read = PREFILL_CHUNK - budget;
        self.stats.prefill += read;
        read
    }

    /// Gives out the tokens of the step that has passed.
    pub fn emit(&mut self, resumable: bool) {
        let now = Instant::now();
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|job| self.advance(job, resumable, now));
        self.running = running;
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|job| {
            let gone = job.listener.is_closed();
            self.stats.cancelled += u64::from(gone);
            !gone
        });
        self.waiting = waiting;
    }

    /// One token for one request; false when it is over.
    fn advance(&mut self, job: &mut Job, resumable: bool, now: Instant) -> bool {
        if job.listener.is_closed() && self.is_abandoned(job, resumable, now) {
            self.stats.cancelled += 1;
            self.stats.prefill_wasted += job.read - job.cached;
            return false;
        }
        if job.read < job.prompt {
            return true;
        }
        job.generated += 1;
        self.stats.generated += 1;
        let _ = job.listener.send(Piece::Token(job.generated));
        if job.generated < job.output {
            return true;
        }
        let _ = job.listener.send(Piece::End);
        self.stats.whole += 1;
        false
    }

    fn is_abandoned(&self, job: &mut Job, resumable: bool, now: Instant) -> bool {
        let since = *job.lost_since.get_or_insert(now);
        !resumable || now.duration_since(since) > RESUME_GRACE
    }

    /// Gives a running request a new listener; its tokens so far, if it runs.
    pub fn resume(
        &mut self,
        id: &str,
        listener: UnboundedSender<Piece>,
    ) -> Option<(u64, Arc<Answer>)> {
        let job = self.running.iter_mut().find(|job| &*job.answer.id == id)?;
        job.listener = listener;
        job.lost_since = None;
        Some((job.generated, Arc::clone(&job.answer)))
    }

    /// Drops a request.
    pub fn cancel(&mut self, id: &str) {
        let before = self.running.len() + self.waiting.len();
        let wasted: u64 =
            self.running.iter().filter(|j| &*j.answer.id == id).map(|j| j.read - j.cached).sum();
        self.running.retain(|job| &*job.answer.id != id);
        self.waiting.retain(|job| &*job.answer.id != id);
        let gone = before - self.running.len() - self.waiting.len();
        self.stats.cancelled += u64::try_from(gone).unwrap_or(0);
        self.stats.prefill_wasted += wasted;
    }

    /// Cuts the connection of every running request; the requests run on.
    pub fn cut(&mut self) {
        for job in &mut self.running {
            job.listener = tokio::sync::mpsc::unbounded_channel().0;
        }
    }

    /// Loses everything but the counts.
    pub fn crash(&mut self) {
        self.stats.crashes += 1;
        self.stats.prefill_wasted += self.running.iter().map(|j| j.read - j.cached).sum::<u64>();
        self.waiting.clear();
        self.running.clear();
        self.cache.clear();
        self.cache_tokens = 0;
    }
}
