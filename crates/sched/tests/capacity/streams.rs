//! Virtual-time replay of engines that run streams in batch steps with chunked prefill.

use super::*;

/// Prompt tokens that an engine reads in one step.
const CHUNK: f64 = 512.0;

struct Stream {
    request: usize,
    unread: f64,
    left: u32,
    last_event: f64,
}

struct Engine {
    speed: f64,
    step_end: f64,
    waiting: VecDeque<Stream>,
    batch: Vec<Stream>,
    /// Prompt tokens that the step in progress reads.
    chunk: f64,
}

/// What the engines are like, and the load.
pub struct Case {
    pub speeds: &'static [f64],
    pub tokens_per_ms: f64,
    pub step_ms: f64,
    pub slots: u32,
    pub per_second: f64,
    pub long_prompt: f64,
    pub end_ms: u32,
    pub seed: u64,
}

pub struct Result {
    pub first_ms: Vec<f64>,
    pub gaps_ms: Vec<f64>,
    pub token_ms: Vec<Option<f64>>,
    pub choices: Vec<EndpointId>,
}

struct Request {
    prompt: f64,
    arrived: f64,
    sent: f64,
    ahead: Option<Usage>,
    endpoint: usize,
    size: Size,
    first: bool,
}

/// Runs the load through one node that owns all slots; `prepare` sets the fleet up.
pub fn replay(case: &Case, prepare: impl FnOnce(&mut Fleet)) -> Result {
    let mut rng = Pcg64::seed_from_u64(case.seed);
    let service = service();
    let mut fleet = fleet(case.speeds.len(), case.slots);
    prepare(&mut fleet);
    fleet.set_owned([service.clone()]);
    let mut engines: Vec<Engine> = case
        .speeds
        .iter()
        .map(|speed| Engine {
            speed: *speed,
            step_end: 0.0,
            waiting: VecDeque::new(),
            batch: Vec::new(),
            chunk: 0.0,
        })
        .collect();
    let mut requests: Vec<Request> = Vec::new();
    let mut queue: VecDeque<usize> = VecDeque::new();
    let mut result =
        Result { first_ms: vec![], gaps_ms: vec![], token_ms: vec![], choices: vec![] };
    let warm = f64::from(case.end_ms) / 4.0;
    for ms in 0..case.end_ms {
        let (now, at) = (Time::from_millis(ms.into()), f64::from(ms));
        if ms % 100 == 0 {
            fleet.allocate(|_| 1.0, INTERVAL, || 0.5, now);
        }
        for (number, engine) in engines.iter_mut().enumerate() {
            if engine.step_end > at || (engine.batch.is_empty() && engine.waiting.is_empty()) {
                continue;
            }
            // A busy engine's steps follow each other; an idle one begins now.
            let was_busy = engine.chunk > 0.0 || !engine.batch.is_empty();
            let start = if was_busy { engine.step_end } else { at };
            end_step(engine, number, start, &mut requests, &mut fleet, now, warm, &mut result);
            if let Some(head) = engine.waiting.front() {
                engine.chunk = head.unread.min(CHUNK);
            }
            let step = case.step_ms + 0.15 * engine.batch.len() as f64;
            engine.step_end = start + engine.speed * (step + engine.chunk / case.tokens_per_ms);
        }
        if unit(&mut rng) < case.per_second / 1_000.0 {
            let long = unit(&mut rng) < 0.3;
            let prompt = if long { case.long_prompt } else { 300.0 } * (0.5 + unit(&mut rng));
            let output = 20 + (unit(&mut rng) * 60.0) as u64;
            let size = Size { prompt: Tokens(prompt as u64), output: Tokens(output) };
            let (arrived, sent) = (at, 0.0);
            let request =
                Request { prompt, arrived, sent, ahead: None, endpoint: 0, size, first: false };
            requests.push(request);
            queue.push_back(requests.len() - 1);
        }
        while let Some(&number) = queue.front() {
            let query = Query { size: requests[number].size, ..query(&service, true) };
            let Some(choice) = fleet.select(&query, now) else { break };
            queue.pop_front();
            let request = &mut requests[number];
            fleet.start(&choice.endpoint, request.size);
            request.ahead = fleet.dispatch_load(&choice.endpoint, now);
            request.sent = at;
            request.endpoint = index(&choice.endpoint);
            let left = u32::try_from(request.size.output.0).unwrap();
            let engine = &mut engines[request.endpoint];
            let unread = request.prompt;
            engine.waiting.push_back(Stream { request: number, unread, left, last_event: at });
            result.choices.push(choice.endpoint);
        }
    }
    let end = Time::from_millis(case.end_ms.into());
    let estimates = (0..case.speeds.len()).map(|number| fleet.estimate(&id(number), end));
    result.token_ms = estimates.map(|estimate| estimate?.token_ms).collect();
    result
}

#[allow(clippy::too_many_arguments, reason = "a step of the replay")]
fn end_step(
    engine: &mut Engine,
    number: usize,
    at: f64,
    requests: &mut [Request],
    fleet: &mut Fleet,
    now: Time,
    warm: f64,
    result: &mut Result,
) {
    let endpoint = id(number);
    for stream in &mut engine.batch {
        let gap = at - stream.last_event;
        stream.last_event = at;
        stream.left -= 1;
        fleet.record_gap(&endpoint, Duration::from_secs_f64(gap / 1_000.0), 1);
        if at >= warm {
            result.gaps_ms.push(gap);
        }
    }
    if let Some(head) = engine.waiting.front_mut() {
        head.unread -= std::mem::take(&mut engine.chunk);
        if head.unread <= 0.0 {
            let mut stream = engine.waiting.pop_front().unwrap();
            let request = &mut requests[stream.request];
            request.first = true;
            let own = request.size.prompt;
            fleet.record_first_response(&endpoint, request.size);
            if let Some(ahead) = request.ahead {
                let elapsed = Duration::from_secs_f64((at - request.sent) / 1_000.0);
                fleet.record_first_time(&endpoint, own, ahead, elapsed, now);
            }
            if at >= warm {
                result.first_ms.push(at - request.arrived);
            }
            stream.last_event = at;
            stream.left -= 1;
            engine.batch.push(stream);
        }
    }
    engine.batch.retain(|stream| {
        if stream.left == 0 {
            let request = &requests[stream.request];
            let hold = Duration::from_secs_f64((at - request.sent) / 1_000.0);
            fleet.record_hold_time(&endpoint, hold);
            fleet.finish(&endpoint, request.size, request.first, Outcome::Completed, now);
        }
        stream.left > 0
    });
}
