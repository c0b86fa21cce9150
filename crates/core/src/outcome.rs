//! The outcome of a request as reported to the caller, and the decision after a failed attempt.

use std::fmt;

use cinderspoke_schema::operator::{Call, Service};

/// The maximum number of attempts at one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The complete answer follows, or the stream ends with an error.
    Answered,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request is invalid and did not run.
    Bad,
}

impl Outcome {
    /// The name of the outcome, as sent to callers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Bad => "bad-request",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The agent answered that it has not forwarded the request and will not.
    Refused,
    /// The request was sent, and its outcome is unknown.
    Lost,
}

/// Whether a request may run more than once, and so may be retried after it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run again.
    Allowed,
    /// The request must not run again.
    Forbidden,
}

/// The next action after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Retry on another replica.
    Retry,
    /// Report this outcome to the caller.
    Respond(Outcome),
}

/// Decides what to do after a failed attempt.
///
/// `lost` is whether an earlier attempt, or this one, may have run. `attempts` is the number of
/// attempts made so far.
#[must_use]
pub fn after_failure(failure: Failure, lost: bool, attempts: u32, repeat: Repeat) -> Next {
    let may_have_run = lost || failure == Failure::Lost;
    if may_have_run && repeat == Repeat::Forbidden {
        return Next::Respond(Outcome::Unknown);
    }
    if attempts < MAX_ATTEMPTS {
        return Next::Retry;
    }
    Next::Respond(if may_have_run { Outcome::Unknown } else { Outcome::NotRun })
}

/// Whether a service's rules allow a call to be repeated.
#[must_use]
pub fn repeat(service: &Service, method: &str, path: &str) -> Repeat {
    let forbidden = service.not_repeatable.iter().any(|call| matches(call, method, path));
    if forbidden { Repeat::Forbidden } else { Repeat::Allowed }
}

fn matches(call: &Call, method: &str, path: &str) -> bool {
    let same_path = match call.path.strip_suffix('*') {
        Some(start) => path.starts_with(start),
        None => call.path == path,
    };
    call.method.to_string() == method && same_path
}
