//! A request that crashes each worker that begins to run it, and sound ones that
//! differ from it in one respect.
//!
//! The deadly request comes again all the time, at any node. All of these
//! requests carry a field that is new each time.

use crate::{caller::Pool, record::Kind};
use fake_host::{Request, worker::Deadly};
use http::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{ops::Range, sync::Arc, time::Duration};

/// Path of all requests.
const PATH: &str = "/safe/record";
/// Path and query of the deadly request, if its query is its own.
const DEADLY_TARGET: &str = "/safe/record?id=0";
/// Media type that the deadly request accepts, if this field is its own.
const DEADLY_TYPE: &str = "text/csv";
/// Pause before each deadly request, in ms. Crashes within 100 ms of each other count once.
const DEADLY_PAUSE_MS: Range<u64> = 200..900;
/// Pause before each similar request, in ms.
const SIMILAR_PAUSE_MS: Range<u64> = 10..50;

/// What the deadly request differs in from sound ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Difference {
    /// Query.
    Query,
    /// Method.
    Method,
    /// Header field.
    Header,
}

impl Difference {
    /// Difference in the run with this seed.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        match seed % 3 {
            0 => Self::Query,
            1 => Self::Method,
            _ => Self::Header,
        }
    }

    /// Requests under which workers crash.
    #[must_use]
    pub fn deadly(self) -> Deadly {
        match self {
            Self::Query => Deadly::target(DEADLY_TARGET),
            Self::Method => Deadly::target(PATH).with_method(Method::DELETE.as_str()),
            Self::Header => Deadly::target(PATH).with_header("accept", DEADLY_TYPE),
        }
    }

    /// Request of an attempt, deadly or similar.
    #[must_use]
    pub fn request(self, kind: Kind, attempt: &str, number: u64) -> Request {
        let trace = format!("00-{number:032x}-{number:016x}-01");
        let request = Request::new(PATH, attempt).with_header("traceparent", &trace);
        match (self, kind) {
            (Self::Query, Kind::Deadly) => Request { path: DEADLY_TARGET.into(), ..request },
            (Self::Query, _) => Request { path: format!("{PATH}?id={}", 1 + number), ..request },
            (Self::Method, Kind::Deadly) => Request { method: Method::DELETE, ..request },
            (Self::Header, Kind::Deadly) => request.with_header("accept", DEADLY_TYPE),
            (Self::Method | Self::Header, _) => request.with_header("accept", "text/html"),
        }
    }
}

/// Sends requests of one kind, each to another node, until the pool ends them.
pub async fn run(pool: Arc<Pool>, seed: u64, kind: Kind) {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0xdead);
    let pause = if kind == Kind::Deadly { DEADLY_PAUSE_MS } else { SIMILAR_PAUSE_MS };
    while !pool.has_calmed() {
        tokio::time::sleep(Duration::from_millis(random.random_range(pause.clone()))).await;
        pool.send_one(kind, &mut random).await;
    }
}
