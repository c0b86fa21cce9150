//! One attempt of a caller, as caller and endpoints have seen it.

use std::time::Duration;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Safe,
    Unsafe,
    /// Events, of which another endpoint may give the rest.
    Resumable,
    /// Events that one endpoint gives.
    Stream,
}

impl Kind {
    /// Whether it may run more than once.
    pub(crate) fn repeats(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether work on it has to end with its caller.
    pub(crate) fn ends_with_caller(self) -> bool {
        self != Self::Unsafe
    }
}

/// How an attempt ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum End {
    /// A whole answer; what is wrong with it, if anything is.
    Answered { status: u16, signed: bool, wrong: Option<String> },
    /// The connection ended without a whole answer.
    Cut,
    /// Nothing came, long after the route's time was over.
    Silent,
    /// The caller closed its connection.
    Left,
}

/// An arrival at an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) endpoint: String,
    pub(crate) came: Duration,
    // Whether work was begun on it.
    pub(crate) ran: bool,
    // When the endpoint was done with it or noticed that nobody waits; none while it works.
    pub(crate) ended: Option<Duration>,
    // Whether the endpoint itself broke it off.
    pub(crate) broken_off: bool,
    // Of the model, where the endpoint has one.
    pub(crate) version: Option<u64>,
    // What was not as the caller had sent it.
    pub(crate) wrong: Option<String>,
}

/// One attempt of a caller; times are since the start of the soak.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) id: String,
    pub(crate) gateway: usize,
    pub(crate) kind: Kind,
    // The route's prefix and the key: both have to be in force.
    pub(crate) route: String,
    pub(crate) key: String,
    pub(crate) sent: Duration,
    pub(crate) runs: Vec<Run>,
    pub(crate) end: Option<(Duration, End)>,
}
