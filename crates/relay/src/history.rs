//! Outcomes of a request's attempts at endpoints.
//!
//! Decides whether another endpoint may be tried, and how the caller is refused
//! otherwise: "not run" is promised only while no endpoint may have run the
//! request.

use crate::{
    admission,
    blackboard::Blackboard,
    dispatcher::Refusal,
    reply::{RETRY_DELAY, RETRY_OTHER_NODE_DELAY, Refused, millis},
};
use codes::{Code, Event};
use http::StatusCode;
use slog::info;
use std::error::Error;
use units::{EndpointId, Time};

/// Longest retry delay stated to a caller, as a divisor of its remaining time; callers wait for at
/// most a third of it.
const RETRY_AFTER_DIVISOR: u32 = 4;
/// A request is refused after this number of attempts that failed before anything was sent.
const MAX_CONNECT_FAILURES: u32 = 6;

/// Reason why an endpoint gave no usable response.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent to the endpoint.
    Unsent(Box<str>),
    /// The endpoint did not run the request.
    NotRun(StatusCode),
    /// The request may have been run.
    Lost(Box<str>),
    /// The request has been run, and there is no memory for its response.
    NoMemory,
    /// The deadline passed.
    TimedOut,
}

/// Cause of a connection's failure, with that of the socket below it.
#[must_use]
pub fn describe(error: &hyper::Error) -> Box<str> {
    match error.source() {
        Some(source) => format!("{error}: {source}").into(),
        None => error.to_string().into(),
    }
}

/// Endpoints that a request was sent to, and the outcomes.
#[derive(Debug, Default)]
pub struct History {
    /// Endpoints to avoid in further attempts.
    pub tried: Vec<EndpointId>,
    /// Number of endpoints that may have run the request.
    pub possible_runs: u32,
    /// Number of attempts that failed before anything was sent.
    pub connect_failures: u32,
}

impl History {
    /// Records a failure; `Ok` if another endpoint may be tried.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    pub fn record_failure(
        &mut self,
        board: &Blackboard,
        accepted: &admission::Request,
        endpoint: &EndpointId,
        failure: &Failure,
    ) -> Result<(), Refused> {
        info!(board.log, "attempt failed"; Event::AttemptFailed,
            "request" => &*accepted.head.attempt, "endpoint" => %endpoint,
            "failure" => format!("{failure:?}"), "runs" => self.possible_runs);
        board.metrics.count("attempt_failed", failure.name());
        self.tried.push(endpoint.clone());
        match failure {
            Failure::Unsent(cause) => {
                self.connect_failures += 1;
                if self.connect_failures >= MAX_CONNECT_FAILURES {
                    return Err(self.refuse(Code::NoEndpoint, cause));
                }
                return Ok(());
            }
            Failure::NotRun(status) => {
                if board.try_retry(&accepted.submission.service) {
                    return Ok(());
                }
                return Err(self.refuse(Code::QueueFull, &format!("endpoint answered {status}")));
            }
            Failure::Lost(cause) => {
                let may_run_again = self.may_run_again(accepted);
                self.possible_runs += 1;
                if !may_run_again {
                    return Err(Refused::new(Code::AnswerCut, cause.clone()));
                }
            }
            Failure::NoMemory => {
                self.possible_runs += 1;
                return Err(Refused::new(Code::AnswerCut, "no memory for the response"));
            }
            Failure::TimedOut => {
                return Err(Refused::new(Code::EndpointTimeout, "no answer before the deadline"));
            }
        }
        if board.try_retry(&accepted.submission.service) {
            Ok(())
        } else {
            Err(Refused::new(Code::AnswerCut, "the budget of repeats is used up"))
        }
    }

    /// Whether another endpoint may run the request after the current one, regardless of the retry
    /// budget.
    #[must_use]
    pub fn may_run_again(&self, accepted: &admission::Request) -> bool {
        accepted.route.kind.is_repeatable() && self.possible_runs + 1 < accepted.route.max_attempts
    }

    /// Refusal of a request that got no slot.
    #[must_use]
    pub fn refuse_unplaced(
        &self,
        accepted: &admission::Request,
        refusal: Refusal,
        now: Time,
    ) -> Refused {
        let time_left = accepted.deadline.since(now);
        let cause =
            format!("{} expects to wait {} ms", accepted.submission.service, millis(refusal.wait));
        let refused = self.refuse(refusal.code, &cause);
        let jitter = rand::random_range(0.8..1.2);
        let wait = match refusal.code {
            Code::AllotmentSpent => refusal.wait,
            Code::Draining => RETRY_OTHER_NODE_DELAY,
            _ => refusal.wait.max(RETRY_DELAY).min(time_left / RETRY_AFTER_DIVISOR).mul_f64(jitter),
        };
        if self.possible_runs > 0 { refused } else { refused.with_retry_after(wait) }
    }

    /// Refusal for a reason that came up before another attempt.
    #[must_use]
    pub fn refuse_again(&self, refused: Refused) -> Refused {
        if self.possible_runs > 0 { self.refuse(refused.code, &refused.cause) } else { refused }
    }

    /// Refusal that promises "not run" only if no endpoint may have run the request.
    fn refuse(&self, code: Code, cause: &str) -> Refused {
        if self.possible_runs > 0 {
            return Refused::new(Code::AnswerCut, cause);
        }
        Refused::new(code, cause).with_retry_after(RETRY_DELAY)
    }
}

impl Failure {
    const fn name(&self) -> &'static str {
        match self {
            Self::Unsent(_) => "unsent",
            Self::NotRun(_) => "not_run",
            Self::Lost(_) => "lost",
            Self::NoMemory => "no_memory",
            Self::TimedOut => "timed_out",
        }
    }
}
