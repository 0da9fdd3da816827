//! Comparison of the candidate with the stable release.
//!
//! Failures: responses of the candidate that fail or are several times slower,
//! on all routes or on one, from the start or later. Not to be taken for one: a
//! fault of a single endpoint, and speeds that differ between endpoints.
//!
//! Bad responses are compared per route and for all routes together. A latency
//! is slow above a bound that is taken from the stable release's distribution
//! on the route; a request in flight that has reached the bound is slow, too, so
//! that one without a response counts. An excess counts if chance does not explain it and if it
//! remains without the group of endpoints that has most of it, since a fault
//! of one endpoint is in one group. Apart from that, an excess of
//! [`HARD_LIMIT`] is enough, or one of [`ONE_GROUP_LIMIT`] failures if all other
//! groups are sound.

use super::tally::{Report, Route, Tally};
use std::{collections::BTreeMap, fmt};

/// Excess of bad responses that is enough without regard to significance: below the 50 of the
/// guarantee, as reports take up to a second.
const HARD_LIMIT: f64 = 30.0;
/// The same for failures if nearly all of the excess is in one group of endpoints while the others
/// are sound. Slow responses of one group have no limit: the third of the canary requests that one
/// slow endpoint gets within a minute would exceed any.
const ONE_GROUP_LIMIT: f64 = 45.0;
/// Part of the unexplained bad responses up to which groups are sound.
const MAX_SOUND_PART: f64 = 0.15;
/// Excess at which a node stops on its own.
const OWN_LIMIT: f64 = 10.0;
/// Standard deviations of the expected number that are added to these limits: among thousands of
/// responses, chance alone exceeds them.
const LIMIT_DEVIATIONS: f64 = 3.0;
/// Probability below which chance does not explain an excess. It is tested four times a second for
/// each route.
const SIGNIFICANCE: f64 = 1e-4;
/// The same for the groups other than the worst one.
const REST_SIGNIFICANCE: f64 = 1e-2;
/// Least significant excess.
const MIN_EXCESS: f64 = 5.0;
/// Least excess of the groups other than the worst one.
const MIN_REST_EXCESS: f64 = 2.0;
/// Least significant excess if nearly all responses come from one group: more than the requests in
/// flight at an endpoint that crashes.
const MIN_ONE_GROUP_EXCESS: f64 = 16.0;
/// Responses of the other groups from which they say something.
const MIN_REST_ANSWERS: f64 = 10.0;
/// Stable responses on a route from which its distribution is known.
const MIN_BASELINE: u32 = 20;
/// Least rate of failures that is expected of the candidate. With 0.01, the version with a tenth of
/// failures of the replay was found too late among 1,800 requests.
const MIN_FAILURE_RATE: f64 = 0.003;
/// Least share of slow responses that is expected.
const MIN_SLOW_RATE: f64 = 0.02;
/// Bounds for slow responses.
///
/// The lower one finds responses of fast endpoints that are several times slower and thus as slow
/// as usual ones of slow endpoints; the higher one finds those that are slower than all usual ones.
const SLOW_BOUNDS: [SlowBound; 2] =
    [SlowBound { quantile: 0.8, spread: 1.5 }, SlowBound { quantile: 0.95, spread: 1.0 }];
/// Endpoints of the candidate in `Canary`, at least: one in each of three zones.
const CANARY_ENDPOINTS: u32 = 3;
/// Least margin of the share of slow responses: neighbours slow down several endpoints at once.
const MIN_SLOW_MARGIN: f64 = 1.5;
/// Significance of a suspicion, which delays the next stage.
const SUSPICION: f64 = 0.05;
/// Least excess of a suspicion.
const MIN_SUSPICION: f64 = 1.5;
/// Significance of a doubt, for which the next stage does not begin. It is tested once.
const DOUBT: f64 = 1e-3;
/// Least excess of a doubt.
const MIN_DOUBT: f64 = 3.0;
/// Buckets between a quantile and the bound: a factor of 1.4 to 2.
const SLOW_BUCKETS: usize = 2;
/// Standard deviations that are added to the stable release's count of bad responses.
const RATE_DEVIATIONS: f64 = 1.5;

/// Bound for slow responses.
struct SlowBound {
    /// Quantile of the stable release's latencies from which the bound is taken.
    quantile: f64,
    /// What is added to the stable release's share of slow responses, relative to it, if the candidate
    /// has few endpoints: most of them may be of the slowest third.
    spread: f64,
}

impl SlowBound {
    /// Factor on the stable release's share of slow responses; the differences between endpoints
    /// average out with their number.
    fn margin(&self, endpoints: u32) -> f64 {
        let few = f64::from(CANARY_ENDPOINTS) / f64::from(endpoints.max(CANARY_ENDPOINTS));
        (1.0 + self.spread * few.sqrt()).max(MIN_SLOW_MARGIN)
    }
}

/// Why the candidate is bad.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// What exceeds the stable release.
    pub kind: Kind,
    /// Route on which it does; none for all routes together.
    pub route: Option<u32>,
    /// Bad responses of the candidate.
    pub bad: u32,
    /// Responses of the candidate.
    pub answers: u32,
    /// Bad responses that the stable release's rate explains.
    pub expected: f64,
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Failures.
    Failures,
    /// Slow responses.
    Slow,
    /// Failures and slow responses reach a limit.
    Limit,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.kind {
            Kind::Failures => "failures",
            Kind::Slow => "slow responses",
            Kind::Limit => "failures or slow responses",
        };
        write!(f, "{} {what} of {} responses, ", self.bad, self.answers)?;
        write!(f, "{:.1} explained by the stable release", self.expected)?;
        match self.route {
            Some(route) => write!(f, ", on route {route:08x}"),
            None => Ok(()),
        }
    }
}

/// Verdict on the candidate.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Good,
    /// It is worse than the stable release.
    Bad(Fault),
}

/// Candidate responses of a group of endpoints, and the bad ones that were to be expected.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    answers: u32,
    bad: u32,
    /// At the stable release's rate.
    explained: f64,
    /// At an upper bound of that rate.
    expected: f64,
}

impl Sample {
    fn add(&mut self, other: &Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
        self.explained += other.explained;
        self.expected += other.expected;
    }

    fn excess(&self) -> f64 {
        f64::from(self.bad) - self.expected
    }

    fn is_significant(&self, least_excess: f64, probability: f64) -> bool {
        self.excess() >= least_excess && poisson_tail(self.bad, self.expected) < probability
    }

    fn unexplained(&self) -> f64 {
        f64::from(self.bad) - self.explained
    }

    fn reaches(&self, limit: f64) -> bool {
        self.unexplained() >= limit + LIMIT_DEVIATIONS * self.explained.sqrt()
    }

    fn fault(&self, kind: Kind, route: Option<u32>) -> Fault {
        let expected = self.explained;
        Fault { kind, route, bad: self.bad, answers: self.answers, expected }
    }
}

/// Samples by group of endpoints.
#[derive(Debug, Clone, Default)]
struct Samples(BTreeMap<u8, Sample>);

impl Samples {
    fn add(&mut self, other: &Self) {
        for (group, sample) in &other.0 {
            self.0.entry(*group).or_default().add(sample);
        }
    }

    fn total(&self) -> Sample {
        self.without(None)
    }

    fn without(&self, left_out: Option<u8>) -> Sample {
        let mut sum = Sample::default();
        let kept = self.0.iter().filter(|(group, _)| Some(**group) != left_out);
        kept.for_each(|(_, sample)| sum.add(sample));
        sum
    }

    /// Sum of all groups but the one with most bad responses.
    fn rest(&self) -> Sample {
        self.without(self.0.iter().max_by_key(|(_, sample)| sample.bad).map(|(group, _)| *group))
    }

    fn is_bad(&self) -> bool {
        let rest = self.rest();
        if f64::from(rest.answers) < MIN_REST_ANSWERS {
            return self.total().is_significant(MIN_ONE_GROUP_EXCESS, SIGNIFICANCE);
        }
        self.total().is_significant(MIN_EXCESS, SIGNIFICANCE)
            && rest.is_significant(MIN_REST_EXCESS, REST_SIGNIFICANCE)
            && !self.is_one_group()
    }

    /// A single endpoint that fails raises no suspicion.
    fn is_suspicious(&self) -> bool {
        let rest = self.rest();
        self.total().is_significant(MIN_SUSPICION, SUSPICION)
            && (rest.bad > 0 || f64::from(rest.answers) < MIN_REST_ANSWERS)
    }

    fn is_doubtful(&self) -> bool {
        self.total().is_significant(MIN_DOUBT, DOUBT)
            && self.rest().is_significant(MIN_SUSPICION, REST_SIGNIFICANCE)
    }

    /// Whether all groups but the one with most bad responses are sound.
    fn is_one_group(&self) -> bool {
        let rest = self.rest();
        f64::from(rest.answers) >= MIN_REST_ANSWERS
            && rest.unexplained() < MAX_SOUND_PART * self.total().unexplained()
    }
}

/// Bad responses that are to be expected of the candidate on a route.
#[derive(Debug, Clone, Copy)]
struct Rate {
    explained: f64,
    expected: f64,
}

impl Rate {
    fn new(bad: u32, answers: u32, least: f64, margin: f64) -> Self {
        let answers = f64::from(answers.max(MIN_BASELINE));
        let bad = f64::from(bad);
        let upper = (bad + 1.0 + RATE_DEVIATIONS * bad.sqrt()) / answers;
        Self {
            explained: (margin * bad / answers).min(1.0),
            expected: (margin * upper).max(least).min(1.0),
        }
    }

    fn sample(self, bad: u32, answers: u32) -> Sample {
        let count = f64::from(answers);
        Sample { answers, bad, explained: self.explained * count, expected: self.expected * count }
    }
}

fn samples(route: &Route, sample: impl Fn(&Tally) -> Sample) -> Samples {
    Samples(route.candidate.iter().map(|(group, tally)| (*group, sample(tally))).collect())
}

fn failures(route: &Route) -> Samples {
    let stable = &route.stable;
    let rate = Rate::new(stable.failures, stable.answers, MIN_FAILURE_RATE, 1.0);
    samples(route, |tally| rate.sample(tally.failures, tally.answers))
}

/// Latencies of responses from `bucket` on and of all, and of requests in flight that have reached
/// it. One that has not may still be slow, and is not counted yet.
fn slow_counts(tally: &Tally, bucket: usize) -> (u32, u32) {
    let pending = tally.pending.count_from(bucket);
    let count = |answers: u32| answers.saturating_add(pending);
    (count(tally.latency.count_from(bucket)), count(tally.latency.total()))
}

/// Slow responses; none if the stable release has had too few responses for a bound.
fn slow(route: &Route, bound: &SlowBound, endpoints: u32) -> Samples {
    let stable = &route.stable.latency;
    let usual = stable.quantile_bucket(bound.quantile);
    let Some(usual) = usual.filter(|_| stable.total() >= MIN_BASELINE) else {
        return Samples::default();
    };
    let bucket = usual + SLOW_BUCKETS;
    let margin = bound.margin(endpoints);
    let (bad, answers) = slow_counts(&route.stable, bucket);
    let rate = Rate::new(bad, answers, MIN_SLOW_RATE, margin);
    samples(route, |tally| {
        let (bad, answers) = slow_counts(tally, bucket);
        rate.sample(bad, answers)
    })
}

/// Failures and slow responses together. Their rates add up, so that their answers count once.
fn both(failures: &Samples, slow: &Samples) -> Samples {
    let mut sum = failures.clone();
    for (group, sample) in &slow.0 {
        sum.0.entry(*group).or_default().add(&Sample { answers: 0, ..*sample });
    }
    sum
}

/// Evaluation of the counts of all nodes.
#[derive(Debug)]
pub struct Judge<'a> {
    routes: &'a BTreeMap<u32, Route>,
    endpoints: u32,
}

impl<'a> Judge<'a> {
    /// Evaluation of counts by route.
    #[must_use]
    pub const fn new(routes: &'a BTreeMap<u32, Route>) -> Self {
        Self { routes, endpoints: CANARY_ENDPOINTS }
    }

    /// Evaluation of counts during the shift, to which all `endpoints` of the candidate contribute.
    #[must_use]
    pub const fn with_endpoints(self, endpoints: u32) -> Self {
        Self { endpoints, ..self }
    }

    /// Verdict on the candidate.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let faults = SLOW_BOUNDS.iter().find_map(|bound| self.find_fault(bound));
        faults.map_or(Verdict::Good, Verdict::Bad)
    }

    /// Whether there are more failures than usual, too few for a verdict. More responses should be
    /// awaited before the next stage.
    #[must_use]
    pub fn is_suspicious(&self) -> bool {
        let (routes, all) = self.failures();
        all.is_suspicious() || routes.values().any(Samples::is_suspicious)
    }

    /// Failures that are too few for a verdict at any time, and too many for the next stage.
    #[must_use]
    pub fn doubt(&self) -> Option<Fault> {
        let (routes, all) = self.failures();
        let fault = |samples: &Samples, route| samples.total().fault(Kind::Failures, route);
        if let Some((id, samples)) = routes.iter().find(|(_, samples)| samples.is_doubtful()) {
            return Some(fault(samples, Some(*id)));
        }
        all.is_doubtful().then(|| fault(&all, None))
    }

    /// Failures by route, and on all routes.
    fn failures(&self) -> (BTreeMap<u32, Samples>, Samples) {
        let routes: BTreeMap<u32, Samples> =
            self.routes.iter().map(|(id, route)| (*id, failures(route))).collect();
        let mut all = Samples::default();
        routes.values().for_each(|samples| all.add(samples));
        (routes, all)
    }

    fn find_fault(&self, bound: &SlowBound) -> Option<Fault> {
        let (mut all_failures, mut all_slow) = (Samples::default(), Samples::default());
        for (id, route) in self.routes {
            let (failures, slow) = (failures(route), slow(route, bound, self.endpoints));
            let fault = find_fault(&failures, &slow, Some(*id));
            if fault.is_some() {
                return fault;
            }
            all_failures.add(&failures);
            all_slow.add(&slow);
        }
        find_fault(&all_failures, &all_slow, None)
    }
}

fn find_fault(failures: &Samples, slow: &Samples, route: Option<u32>) -> Option<Fault> {
    let both = both(failures, slow);
    let reaches_limit = if both.is_one_group() {
        failures.total().reaches(ONE_GROUP_LIMIT)
    } else {
        both.total().reaches(HARD_LIMIT)
    };
    if failures.is_bad() {
        Some(failures.total().fault(Kind::Failures, route))
    } else if slow.is_bad() {
        Some(slow.total().fault(Kind::Slow, route))
    } else if reaches_limit {
        Some(both.total().fault(Kind::Limit, route))
    } else {
        None
    }
}

/// Why a node stops on its own: its own counts show an excess of bad responses.
#[must_use]
pub fn must_stop(report: &Report) -> Option<Fault> {
    let [_, highest] = &SLOW_BOUNDS;
    let mut sum = Samples::default();
    for route in report.routes.values() {
        sum.add(&both(&failures(route), &slow(route, highest, CANARY_ENDPOINTS)));
    }
    let total = sum.total();
    // A node's own counts of the stable release are small, so the upper bound is used.
    let is_excess = Sample { explained: total.expected, ..total }.reaches(OWN_LIMIT);
    is_excess.then(|| total.fault(Kind::Limit, None))
}

/// Probability that a Poisson variable with this mean is at least `count`.
fn poisson_tail(count: u32, mean: f64) -> f64 {
    if f64::from(count) <= mean {
        return 1.0;
    }
    if mean <= 0.0 {
        return 0.0;
    }
    let count = f64::from(count);
    let mut term = (count * mean.ln() - mean - ln_factorial(count)).exp();
    let (mut sum, mut next) = (term, count + 1.0);
    while term > sum * f64::EPSILON {
        term *= mean / next;
        sum += term;
        next += 1.0;
    }
    sum.min(1.0)
}

/// Stirling's series; exact to 1e-4 for 1 and better above.
fn ln_factorial(count: f64) -> f64 {
    let x = count.max(1.0);
    x * x.ln() - x + 0.5 * (std::f64::consts::TAU * x).ln() + 1.0 / (12.0 * x)
        - 1.0 / (360.0 * x * x * x)
}
