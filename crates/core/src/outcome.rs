//! What a caller is told of its request, and what follows a failed attempt.

use std::fmt;

use cinderspoke_schema::operator::{Call, Service};

/// The most attempts at one request, the first among them.
pub const MAX_ATTEMPTS: u32 = 3;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The whole answer follows, or the stream ends with an error.
    Answered,
    /// It did not run, and will not.
    NotRun,
    /// It may have run.
    Unknown,
    /// It cannot be understood, and did not run.
    Bad,
}

impl Outcome {
    /// The outcome's name, as callers read it.
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

/// How far an attempt had come when it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte of it had left this process.
    NotSent,
    /// The agent answered that it has not passed it on and will not.
    Refused,
    /// It was sent, and what became of it is not known.
    Lost,
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It may.
    Allowed,
    /// It may not.
    Forbidden,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Try another replica.
    Retry,
    /// Tell the caller this.
    Respond(Outcome),
}

/// Decides what follows a failed attempt.
///
/// `lost` tells whether any earlier attempt, or this one, may have run.
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
