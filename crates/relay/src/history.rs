//! What became of a request at the endpoints that it was sent to.
//!
//! Decides whether it may go to one more, and what the caller is told
//! otherwise: "not run" only while no endpoint may have run it.

use crate::{
    admission::AcceptedRequest,
    blackboard::Blackboard,
    dispatcher::Refusal,
    reply::{RETRY_SOON, Refused, millis},
};
use codes::{Code, Event};
use http::StatusCode;
use slog::info;
use units::{EndpointId, Time};

/// Part of the time left after which a caller is asked to return at the latest; callers do not
/// wait for longer than a third.
const RETURN_PART: u32 = 4;
/// Connections that may fail before the request is refused.
const MAX_UNSENT: u32 = 6;

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
    pub runs: u32,
    /// Connections that could not be made.
    pub unsent: u32,
}

impl History {
    /// Notes a failure and says whether the request may go to another endpoint.
    ///
    /// # Errors
    /// What the caller is told instead.
    pub fn note(
        &mut self,
        board: &Blackboard,
        accepted: &AcceptedRequest,
        endpoint: &EndpointId,
        failure: &Failure,
    ) -> Result<(), Refused> {
        info!(board.log, "attempt failed"; Event::AttemptFailed,
            "request" => &*accepted.head.attempt, "endpoint" => %endpoint,
            "failure" => format!("{failure:?}"), "runs" => self.runs);
        board.metrics.count("attempt_failed", failure.name());
        self.tried.push(endpoint.clone());
        match failure {
            Failure::Unsent(cause) => {
                self.unsent += 1;
                if self.unsent >= MAX_UNSENT {
                    return Err(self.refused(Code::NoEndpoint, cause));
                }
                return Ok(());
            }
            Failure::NotRun(status) => {
                if board.may_repeat(&accepted.submission.service) {
                    return Ok(());
                }
                return Err(self.refused(Code::QueueFull, &format!("endpoint answered {status}")));
            }
            Failure::Lost(cause) => {
                let again = self.may_run_again(accepted);
                self.runs += 1;
                if !again {
                    return Err(Refused::new(Code::AnswerCut, cause.clone()));
                }
            }
            Failure::TimedOut => {
                return Err(Refused::new(Code::EndpointTimeout, "no answer before the deadline"));
            }
        }
        if board.may_repeat(&accepted.submission.service) {
            Ok(())
        } else {
            Err(Refused::new(Code::AnswerCut, "the budget of repeats is used up"))
        }
    }

    /// Whether the request may run at one more endpoint, the budget of repeats aside.
    #[must_use]
    pub fn may_run_again(&self, accepted: &AcceptedRequest) -> bool {
        accepted.route.kind.is_repeatable() && self.runs + 1 < accepted.route.max_attempts
    }

    /// Refusal of a request that found no endpoint.
    #[must_use]
    pub fn turned_away(&self, accepted: &AcceptedRequest, refusal: Refusal, now: Time) -> Refused {
        let left = accepted.deadline.since(now);
        let cause =
            format!("{} expects to wait {} ms", accepted.submission.service, millis(refusal.wait));
        let refused = self.refused(refusal.code, &cause);
        let spread = rand::random_range(0.8..1.2);
        let wait = refusal.wait.max(RETRY_SOON).min(left / RETURN_PART).mul_f64(spread);
        if self.runs > 0 { refused } else { refused.with_retry_after(wait) }
    }

    /// Refusal that promises "not run" only if that is so.
    fn refused(&self, code: Code, cause: &str) -> Refused {
        if self.runs > 0 {
            return Refused::new(Code::AnswerCut, cause);
        }
        Refused::new(code, cause).with_retry_after(RETRY_SOON)
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
