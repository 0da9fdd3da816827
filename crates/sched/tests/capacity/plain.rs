//! Virtual-time replay of endpoints that run plain calls.

use super::*;
use sched::fleet::Load;

/// How calls are placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// The fleet without learning.
    Fixed,
    /// The fleet with learning.
    Learning,
    /// Any endpoint with a free slot.
    Random,
    /// The less loaded of two.
    TwoChoices,
    /// The least load that endpoints reported with a response.
    LeastReported,
}

/// What endpoints report about their slowdown.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reports {
    /// The actual one.
    True,
    /// Nothing.
    None,
    /// The first one says that it is slow, the others that they are not.
    False,
}

/// Factor of the duration of work at an endpoint at a time in ms.
pub type Phase = fn(usize, u32) -> f64;

/// Endpoints and load.
#[derive(Clone, Copy)]
pub struct Case {
    pub speeds: &'static [f64],
    pub slots: u32,
    /// Concurrency above which each call slows the others down.
    pub knee: u32,
    /// Growth of the duration by each call above the knee.
    pub growth: f64,
    pub work_ms: f64,
    pub per_second: f64,
    /// Duration factor of an endpoint at a time.
    pub phase: Phase,
    /// Decision makers, each with its part of the load.
    pub nodes: usize,
    pub reports: Reports,
    /// When another node, which knows nothing, takes the place of the first.
    pub owner_change: Option<u32>,
    /// Whether the load alternates between its crest and three tenths of it.
    pub wave: bool,
    pub end_ms: u32,
    pub seed: u64,
}

struct Call {
    left: f64,
    arrived: u32,
    sent: u32,
    node: usize,
    at_dispatch: Usage,
}

#[derive(Default)]
pub struct Result {
    /// Times from arrival to response, in ms.
    pub times: Vec<f64>,
    pub sent: Vec<Vec<u32>>,
    pub choices: Vec<EndpointId>,
    pub fleets: Vec<Fleet>,
}

impl Result {
    pub fn late(&self, target_ms: f64) -> f64 {
        let late = self.times.iter().filter(|time| **time > target_ms).count();
        late as f64 / self.times.len() as f64
    }
}

/// Noise of an endpoint's neighbours: a sixth of the time it is 2.5 times slower, for 600 ms.
pub fn noisy(endpoint: usize, ms: u32) -> f64 {
    let slot = u64::from(ms / 600) * 31 + endpoint as u64 * 17;
    let hash = slot.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
    if hash.is_multiple_of(6) { 2.5 } else { 1.0 }
}

pub fn steady(_: usize, _: u32) -> f64 {
    1.0
}

/// Runs a load; `sent` has the calls sent to each endpoint in each second.
pub fn replay(case: &Case, policy: Policy) -> Result {
    let mut rng = Pcg64::seed_from_u64(case.seed);
    let count = case.speeds.len();
    let service = service();
    let mut result = Result::default();
    let is_single = case.nodes == 1;
    for _ in 0..case.nodes {
        let mut fleet = fleet(count, case.slots);
        fleet.set_learning(&service, policy == Policy::Learning);
        if is_single {
            fleet.set_owned([service.clone()]);
        }
        result.fleets.push(fleet);
    }
    let mut running: Vec<Vec<Call>> = (0..count).map(|_| Vec::new()).collect();
    let mut queues: Vec<VecDeque<u32>> = vec![VecDeque::new(); case.nodes];
    let mut reported = vec![0_u32; count];
    let mut due = 0.0;
    let none = Size { prompt: Tokens(0), output: Tokens(0) };
    for ms in 0..case.end_ms {
        let now = Time::from_millis(ms.into());
        if ms % 1_000 == 0 {
            result.sent.push(vec![0; count]);
        }
        if case.owner_change == Some(ms) {
            let mut fleet = fleet(count, case.slots);
            fleet.set_learning(&service, policy == Policy::Learning);
            fleet.set_owned([service.clone()]);
            for (number, calls) in running.iter().enumerate() {
                calls.iter().for_each(|_| fleet.start(&id(number), none));
            }
            result.fleets[0] = fleet;
        }
        if ms % 100 == 0 {
            exchange(&mut result.fleets, &mut rng, now);
        }
        for (number, calls) in running.iter_mut().enumerate() {
            let over = (calls.len() as u32).saturating_sub(case.knee);
            let crowd = 1.0 + case.growth * f64::from(over);
            let duration = case.speeds[number] * (case.phase)(number, ms) * crowd;
            for call in calls.iter_mut() {
                call.left -= 1.0 / duration;
            }
            while let Some(at) = calls.iter().position(|call| call.left <= 0.0) {
                let call = calls.swap_remove(at);
                reported[number] = calls.len() as u32;
                let fleet = &mut result.fleets[call.node];
                let hold = Duration::from_millis((ms - call.sent).into());
                fleet.record_plain(&id(number), call.at_dispatch, hold, now);
                fleet.record_hold_time(&id(number), hold);
                let slowdown = match case.reports {
                    Reports::True => Some((case.phase)(number, ms)),
                    Reports::None => None,
                    Reports::False => Some(if number == 0 { 6.0 } else { 1.0 }),
                };
                if let Some(slowdown) = slowdown {
                    let running = calls.len() as u32;
                    let load = Load { running, waiting: 0, slots: case.slots, slowdown };
                    fleet.record_load(&id(number), load, now);
                }
                fleet.finish(&id(number), none, true, Outcome::Completed, now);
                if ms > case.end_ms / 4 {
                    result.times.push(f64::from(ms - call.arrived));
                }
            }
        }
        let wave = if case.wave && ms % 8_000 < 4_000 { 0.3 } else { 1.0 };
        due += wave * case.per_second / 1_000.0 * (0.5 + unit(&mut rng));
        while due >= 1.0 {
            due -= 1.0;
            let node = (unit(&mut rng) * case.nodes as f64) as usize;
            queues[node].push_back(ms);
        }
        for (node, queue) in queues.iter_mut().enumerate() {
            while let Some(&arrived) = queue.front() {
                let loads: Vec<u32> = running.iter().map(|calls| calls.len() as u32).collect();
                let free = |number: &usize| loads[*number] < case.slots;
                let open: Vec<usize> = (0..count).filter(free).collect();
                let mut any = || open[(unit(&mut rng) * open.len() as f64) as usize];
                let fleet = &result.fleets[node];
                let choice = match policy {
                    Policy::Fixed | Policy::Learning => {
                        let choice = fleet.select(&query(&service, false), now);
                        choice.map(|choice| index(&choice.endpoint))
                    }
                    _ if open.is_empty() => None,
                    Policy::Random => Some(any()),
                    Policy::TwoChoices => {
                        let (a, b) = (any(), any());
                        Some(if loads[b] < loads[a] { b } else { a })
                    }
                    Policy::LeastReported => {
                        let least = |number: &&usize| reported[**number];
                        open.iter().min_by_key(least).copied()
                    }
                };
                let Some(number) = choice else { break };
                queue.pop_front();
                let fleet = &mut result.fleets[node];
                fleet.start(&id(number), none);
                let at_dispatch = fleet.dispatch_load(&id(number), now).unwrap_or_default();
                // Work of calls differs by a factor of up to three from its mean.
                let work = case.work_ms * -(1.0 - unit(&mut rng)).ln().clamp(-3.0, -0.1);
                let call = Call { left: work, arrived, sent: ms, node, at_dispatch };
                running[number].push(call);
                result.sent.last_mut().unwrap()[number] += 1;
                result.choices.push(id(number));
            }
        }
    }
    // Calls that wait at the end count with their age.
    let waiting = queues.iter().flatten().map(|arrived| f64::from(case.end_ms - arrived));
    result.times.extend(waiting);
    result
}

/// Digests between the nodes, and an allocation at each.
fn exchange(fleets: &mut [Fleet], rng: &mut Pcg64, now: Time) {
    let nodes = fleets.len();
    let usages: Vec<HashMap<EndpointId, Usage>> = fleets
        .iter()
        .map(|fleet| fleet.usage(|_| true).map(|(id, usage)| (id.clone(), usage)).collect())
        .collect();
    for (node, fleet) in fleets.iter_mut().enumerate() {
        for (other, usage) in usages.iter().enumerate().filter(|(other, _)| *other != node) {
            let peer = InstanceId::new(&format!("n-{other}")).unwrap();
            fleet.set_peer_usage(&peer, usage, now);
        }
        fleet.allocate(|_| 1.0 / nodes as f64, INTERVAL, || unit(rng), now);
    }
}
