//! What became of a request at the endpoints that it was sent to.
//!
//! Decides whether it may go to one more, and what the caller is told
//! otherwise: "not run" only while no endpoint may have run it.

use crate::{
    admission::AcceptedRequest,
    blackboard::Blackboard,
    dispatcher::Refusal,
    reply::{RETRY_DELAY, Refused, millis},
};
use codes::{Code, Event};
use http::StatusCode;
use slog::info;
use units::{EndpointId, Time};

/// Part of the time left after which a caller is asked to return at the latest; callers do not
/// wait for longer than a third.
const RETRY_AFTER_DIVISOR: u32 = 4;
/// Connections that may fail before the request is refused.
const MAX_CONNECT_FAILURES: u32 = 6;

/// Why an endpoint gave no answer.
#[derive(Debug)]
pub enum Failure {
    /// Nothing left for the endpoint.
    Unsent(Box<str>),
    /// The endpoint did not run the request.
    NotRun(StatusCode),
    /// The request may have run.
    Lost(Box<str>),
    /// The time was over.
    TimedOut,
}

/// Endpoints that a request was sent to, and what became of it there.
#[derive(Debug, Default)]
pub struct History {
    /// Endpoints that it should not go to again.
    pub tried: Vec<EndpointId>,
    /// Endpoints that it may have run at.
    pub possible_runs: u32,
    /// Connections that could not be made.
    pub connect_failures: u32,
}

impl History {
    /// Notes a failure and says whether the request may go to another endpoint.
    ///
    /// # Errors
    /// What the caller is told instead.
    pub fn record_failure(
        &mut self,
        board: &Blackboard,
        accepted: &AcceptedRequest,
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

    /// Whether the request may run at one more endpoint, the budget of repeats aside.
    #[must_use]
    pub fn may_run_again(&self, accepted: &AcceptedRequest) -> bool {
        accepted.route.kind.is_repeatable() && self.possible_runs + 1 < accepted.route.max_attempts
    }

    /// Refusal of a request that found no endpoint.
    #[must_use]
    pub fn refuse_unplaced(
        &self,
        accepted: &AcceptedRequest,
        refusal: Refusal,
        now: Time,
    ) -> Refused {
        let time_left = accepted.deadline.since(now);
        let cause =
            format!("{} expects to wait {} ms", accepted.submission.service, millis(refusal.wait));
        let refused = self.refuse(refusal.code, &cause);
        let jitter = rand::random_range(0.8..1.2);
        let wait =
            refusal.wait.max(RETRY_DELAY).min(time_left / RETRY_AFTER_DIVISOR).mul_f64(jitter);
        if self.possible_runs > 0 { refused } else { refused.with_retry_after(wait) }
    }

    /// Refusal that promises "not run" only if that is so.
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
            Self::TimedOut => "timed_out",
        }
    }
}
